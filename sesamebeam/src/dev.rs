//! `sesamebeam dev`: a small fleet on loopback in one process, with sample requests.

use std::{
    fs,
    io::{
        self,
        Write, //
    },
    net::SocketAddr,
    time::{
        Duration,
        Instant, //
    },
};

use bytes::Bytes;
use http_body_util::{
    BodyExt,
    Full, //
};
use hyper::{
    Request,
    Response,
    body::Incoming,
    header, //
};
use sesamebeam_core::{
    entry::explain::Explanation,
    fleet::Fleet,
    message::{
        command::{
            Change,
            Verdict, //
        },
        control::{
            ControlReply,
            ControlRequest, //
        }, //
    }, //
};
use sesamebeam_fakes::{
    RatingConfig,
    RatingService,
    RunnerConfig, //
};
use thiserror::Error;
use tokio::{
    signal,
    time::sleep, //
};
use tokio_util::sync::CancellationToken;

use crate::{
    client::{
        Client,
        ControlCallError, //
    },
    entry::unix_millis,
    http::{
        client::{
            Client as HttpClient,
            ConnectionGuard,
            Reuse,
            SendOptions, //
        },
        sse::{
            self,
            EventSplitter, //
        }, //
    },
    link::LinkError,
    local::{
        LocalError,
        LocalFleet,
        LocalPlan,
        LocalServers, //
    },
};

/// Fleet file of the example deployment.
const FLEET_FILE: &str = include_str!("../../examples/huallaga/fleet.toml");

/// Organisation that sends the sample requests, and its API key.
const ORG: &str = "cuadrilla-norte";
const KEY: &str = "example-cuadrilla-norte";

/// Number of backend servers in each pool.
const SERVERS_PER_POOL: usize = 3;

/// Time between two tokens of a fake engine.
const TOKEN_DELAY: Duration = Duration::from_millis(15);

/// Timeout for the configuration and the backend servers to be ready.
const READY_TIMEOUT: Duration = Duration::from_secs(30);

/// Timeout for connecting and for the response headers of a sample request.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(30);

/// Command-line options of `sesamebeam dev`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct DevOptions {
    /// Whether to exit after the sample requests.
    pub once: bool,
}

/// Error that ends the run.
#[derive(Debug, Error)]
pub enum DevError {
    /// A component of the local fleet cannot start.
    #[error(transparent)]
    Local(#[from] LocalError),
    /// The operator's link cannot be opened.
    #[error(transparent)]
    Link(#[from] LinkError),
    /// The control group does not answer.
    #[error(transparent)]
    ControlCall(#[from] ControlCallError),
    /// The example's fleet file was not accepted.
    #[error("the example's fleet file was not accepted: {0:?}")]
    Refused(Box<ControlReply>),
    /// A component is not ready before the timeout.
    #[error("{0} is not ready after {READY_TIMEOUT:?}")]
    NotReady(&'static str),
    /// A sample request was not answered.
    #[error("a sample request was not answered: {0}")]
    NoAnswer(String),
    /// An I/O operation failed.
    #[error(transparent)]
    Io(#[from] io::Error),
}

/// Runs a small fleet on loopback, sends sample requests and serves until
/// Ctrl-C.
///
/// # Errors
///
/// Fails if a component cannot be started or a sample request is not answered.
pub async fn run(options: DevOptions) -> Result<(), DevError> {
    let root = std::env::temp_dir().join(format!("sesamebeam-dev-{}", std::process::id()));
    fs::create_dir_all(&root)?;
    let cancel = CancellationToken::new();
    let result = run_in(&root, options, &cancel).await;
    cancel.cancel();
    fs::remove_dir_all(&root)?;
    result
}

async fn run_in(
    root: &std::path::Path,
    options: DevOptions,
    cancel: &CancellationToken,
) -> Result<(), DevError> {
    let fleet: Fleet =
        toml::from_str(FLEET_FILE).map_err(|e| io::Error::new(io::ErrorKind::InvalidData, e))?;
    let domains: Vec<&str> = fleet.domains.iter().map(|d| d.as_str()).collect();
    println!(
        "starting 3 control replicas and 3 entries, one of each in {}",
        domains.join(", ")
    );
    let rating = RatingService::start(RatingConfig::default(), cancel.clone())
        .await
        .map_err(LocalError::from)?;
    let mut plan = LocalPlan::small(&domains);
    plan.rating = Some(rating.addr());
    let local = LocalFleet::start(&plan, root).await?;
    println!("applying the example's fleet file (examples/huallaga/fleet.toml)");
    let revision = apply(&local, &fleet).await?;
    println!("revision {revision} is in force at every entry");
    let base = RunnerConfig {
        token_delay: TOKEN_DELAY,
        ..RunnerConfig::default()
    };
    let entries = |domain: &str| local.announce_addrs(domain);
    let servers = LocalServers::start(&fleet, |_| SERVERS_PER_POOL, entries, &base, cancel).await?;
    let expected = servers.runners.len() + servers.services.len();
    wait_until_ready("a backend server", || {
        local
            .entries()
            .iter()
            .all(|entry| entry.servers() >= expected)
    })
    .await?;
    println!("{expected} fake backend servers announced themselves");
    let callers = local.entries()[0].addrs().callers;
    send_samples(callers).await?;
    if options.once {
        local.stop().await;
        return Ok(());
    }
    println!(
        "\nserving until Ctrl-C; try:\n\n{}",
        example_command(callers)
    );
    signal::ctrl_c().await?;
    println!("stopping as planned");
    local.stop().await;
    Ok(())
}

async fn apply(local: &LocalFleet, fleet: &Fleet) -> Result<u64, DevError> {
    let client = Client::open(&local.settings.operator)?;
    let change = Change {
        base: 0,
        digest: xxhash_rust::xxh3::xxh3_128(FLEET_FILE.as_bytes()),
        fleet: Box::new(fleet.clone()),
        operator: "dev".into(),
        at: unix_millis(),
    };
    match client.call_control(&ControlRequest::Apply(change)).await? {
        ControlReply::Verdict(Verdict::Accepted(revision)) => {
            wait_until_ready("the configuration", || {
                local.entries().iter().all(|e| e.revision() >= revision)
            })
            .await?;
            Ok(revision)
        }
        other => Err(DevError::Refused(Box::new(other))),
    }
}

async fn send_samples(entry: SocketAddr) -> Result<(), DevError> {
    let client = HttpClient::new(RESPONSE_TIMEOUT);
    println!("\nan electrician asks from a job site ({ORG}):\n");
    let question = "Que seccion de cable necesita una ducha electrica de 5500 W a 18 m?";
    let response = send_chat(&client, entry, "question", question, None).await?;
    print_response(&client, entry, response).await?;
    println!("\nand closes the repair with a job sheet, which runs at most once:\n");
    let sheet =
        "Cierra el parte 4711: ducha reemplazada, 18 m de cable 6 mm2, diferencial probado.";
    let response = send_chat(&client, entry, "job-sheet", sheet, Some("parte-4711")).await?;
    print_response(&client, entry, response).await?;
    println!("\nits answer is lost, so the sheet is sent again with the same key:\n");
    let (response, lease) =
        send_chat(&client, entry, "job-sheet", sheet, Some("parte-4711")).await?;
    let replayed = response.headers().contains_key("x-replayed");
    response
        .into_body()
        .collect()
        .await
        .map_err(|e| DevError::NoAnswer(e.to_string()))?;
    lease.release();
    println!(
        "  the same answer comes from the record{}",
        if replayed {
            "; nothing ran again"
        } else {
            "'s stream"
        }
    );
    Ok(())
}

/// Prints a streamed response as it arrives, then explains how it was routed.
async fn print_response(
    client: &HttpClient,
    entry: SocketAddr,
    (response, lease): (Response<Incoming>, ConnectionGuard),
) -> Result<(), DevError> {
    let version = header_text(&response, "x-version");
    let request = header_text(&response, "x-request-id");
    print!("  ");
    let mut body = response.into_body();
    let mut splitter = EventSplitter::default();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|e| DevError::NoAnswer(e.to_string()))?;
        let Ok(chunk) = frame.into_data() else {
            continue;
        };
        if let sse::SplitResult::Events(events) | sse::SplitResult::Done(events) =
            splitter.push(chunk)
        {
            print!("{}", sse::assemble(&events).text);
            io::stdout().flush()?;
        }
    }
    lease.release();
    println!("\n\n  answered by {version}; why:");
    explain(client, entry, &request).await
}

async fn explain(client: &HttpClient, entry: SocketAddr, request: &str) -> Result<(), DevError> {
    let path = format!("/v1/requests/{request}/explain");
    let req = Request::get(path)
        .header(header::HOST, entry.to_string())
        .header(header::AUTHORIZATION, format!("Bearer {KEY}"))
        .body(Full::default())
        .map_err(|e| DevError::NoAnswer(e.to_string()))?;
    let (response, lease) = send(client, entry, req).await?;
    let body = response
        .into_body()
        .collect()
        .await
        .map_err(|e| DevError::NoAnswer(e.to_string()))?;
    lease.release();
    let explanation: Explanation =
        serde_json::from_slice(&body.to_bytes()).map_err(|e| DevError::NoAnswer(e.to_string()))?;
    for step in &explanation.steps {
        println!("  {:>8.1?}  {}", step.at, step.what);
        for detail in &step.details {
            println!("            {detail}");
        }
    }
    for line in &explanation.passed_over {
        println!("            passed over {line}");
    }
    Ok(())
}

async fn send_chat(
    client: &HttpClient,
    entry: SocketAddr,
    class: &str,
    prompt: &str,
    key: Option<&str>,
) -> Result<(Response<Incoming>, ConnectionGuard), DevError> {
    let body = serde_json::json!({
        "model": "auto",
        "stream": true,
        "max_tokens": 24,
        "messages": [{"role": "user", "content": prompt}],
    });
    let mut builder = Request::post("/v1/chat/completions")
        .header(header::HOST, entry.to_string())
        .header(header::AUTHORIZATION, format!("Bearer {KEY}"))
        .header("x-class", class);
    if let Some(key) = key {
        builder = builder.header("idempotency-key", key);
    }
    let req = builder
        .body(Full::new(Bytes::from(body.to_string())))
        .map_err(|e| DevError::NoAnswer(e.to_string()))?;
    let (response, lease) = send(client, entry, req).await?;
    if response.status() != 200 {
        let status = response.status();
        let body = response.into_body().collect().await;
        let body = body.map(|b| b.to_bytes()).unwrap_or_default();
        let text = String::from_utf8_lossy(&body);
        return Err(DevError::NoAnswer(format!("{status}: {text}")));
    }
    Ok((response, lease))
}

async fn send(
    client: &HttpClient,
    entry: SocketAddr,
    req: Request<Full<Bytes>>,
) -> Result<(Response<Incoming>, ConnectionGuard), DevError> {
    let send_options = SendOptions {
        reuse: Reuse::Any,
        header_timeout: RESPONSE_TIMEOUT,
        send_by: None,
    };
    client
        .send(entry, req, send_options)
        .await
        .map_err(|e| DevError::NoAnswer(e.to_string()))
}

async fn wait_until_ready(what: &'static str, ready: impl Fn() -> bool) -> Result<(), DevError> {
    let deadline = Instant::now() + READY_TIMEOUT;
    while !ready() {
        if Instant::now() >= deadline {
            return Err(DevError::NotReady(what));
        }
        sleep(Duration::from_millis(20)).await;
    }
    Ok(())
}

fn header_text(response: &Response<Incoming>, name: &str) -> String {
    response
        .headers()
        .get(name)
        .and_then(|v| v.to_str().ok())
        .unwrap_or_default()
        .to_owned()
}

fn example_command(entry: SocketAddr) -> String {
    format!(
        "curl -N http://{entry}/v1/chat/completions \\
  -H 'authorization: Bearer {KEY}' -H 'x-class: question' \\
  -d '{{\"model\":\"auto\",\"stream\":true,\"messages\":[{{\"role\":\"user\",\"content\":\"hola\"}}]}}'"
    )
}
