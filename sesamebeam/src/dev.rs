//! Everything on loopback in one process, for a first look.

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
        AskError,
        Client, //
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

/// Fleet file that is applied.
const FLEET: &str = include_str!("../../examples/huallaga/fleet.toml");

/// Organisation that sends the sample requests, and its key.
const ORG: &str = "cuadrilla-norte";
const KEY: &str = "example-cuadrilla-norte";

/// Backend servers of each pool.
const SERVERS: usize = 3;

/// Time between two tokens of a fake engine.
const TOKEN_DELAY: Duration = Duration::from_millis(15);

/// Longest wait for a part to be ready.
const READY: Duration = Duration::from_secs(30);

/// Longest wait for a sample answer.
const ANSWER: Duration = Duration::from_secs(30);

/// What the command line says about the run.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct DevOptions {
    /// Whether to end after the sample requests.
    pub once: bool,
}

/// Why the run ended early.
#[derive(Debug, Error)]
pub enum DevError {
    /// A part cannot start.
    #[error(transparent)]
    Local(#[from] LocalError),
    /// The operator's link cannot be opened.
    #[error(transparent)]
    Link(#[from] LinkError),
    /// The control group does not answer.
    #[error(transparent)]
    Ask(#[from] AskError),
    /// The example's fleet file was not accepted.
    #[error("the example's fleet file was not accepted: {0:?}")]
    Refused(Box<ControlReply>),
    /// A part is not ready in time.
    #[error("{0} is not ready after {READY:?}")]
    NotReady(&'static str),
    /// A sample request was not answered.
    #[error("a sample request was not answered: {0}")]
    NoAnswer(String),
    /// The operating system refuses.
    #[error(transparent)]
    Io(#[from] io::Error),
}

/// Runs a small fleet on loopback, sends sample requests and serves until
/// Ctrl-C.
///
/// # Errors
///
/// Fails if a part cannot be started or a sample request is not answered.
pub async fn run(options: DevOptions) -> Result<(), DevError> {
    let root = std::env::temp_dir().join(format!("sesamebeam-dev-{}", std::process::id()));
    fs::create_dir_all(&root)?;
    let cancel = CancellationToken::new();
    let done = run_in(&root, options, &cancel).await;
    cancel.cancel();
    fs::remove_dir_all(&root)?;
    done
}

async fn run_in(
    root: &std::path::Path,
    options: DevOptions,
    cancel: &CancellationToken,
) -> Result<(), DevError> {
    let fleet: Fleet =
        toml::from_str(FLEET).map_err(|e| io::Error::new(io::ErrorKind::InvalidData, e))?;
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
    let servers = LocalServers::start(&fleet, |_| SERVERS, entries, &base, cancel).await?;
    let wanted = servers.runners.len() + servers.services.len();
    wait("a backend server", || {
        local
            .entries()
            .iter()
            .all(|entry| entry.servers() >= wanted)
    })
    .await?;
    println!("{wanted} fake backend servers announced themselves");
    let callers = local.entries()[0].addrs().callers;
    samples(callers).await?;
    if options.once {
        local.stop().await;
        return Ok(());
    }
    println!("\nserving until Ctrl-C; try:\n\n{}", try_it(callers));
    signal::ctrl_c().await?;
    println!("stopping as planned");
    local.stop().await;
    Ok(())
}

async fn apply(local: &LocalFleet, fleet: &Fleet) -> Result<u64, DevError> {
    let client = Client::open(&local.settings.operator)?;
    let change = Change {
        base: 0,
        digest: xxhash_rust::xxh3::xxh3_128(FLEET.as_bytes()),
        fleet: Box::new(fleet.clone()),
        operator: "dev".into(),
        at: unix_millis(),
    };
    match client.ask(&ControlRequest::Apply(change)).await? {
        ControlReply::Verdict(Verdict::Accepted(revision)) => {
            wait("the configuration", || {
                local.entries().iter().all(|e| e.revision() >= revision)
            })
            .await?;
            Ok(revision)
        }
        other => Err(DevError::Refused(Box::new(other))),
    }
}

async fn samples(entry: SocketAddr) -> Result<(), DevError> {
    let client = HttpClient::new(ANSWER);
    println!("\nan electrician asks from a job site ({ORG}):\n");
    let question = "Que seccion de cable necesita una ducha electrica de 5500 W a 18 m?";
    let head = chat(&client, entry, "question", question, None).await?;
    show_answer(&client, entry, head).await?;
    println!("\nand closes the repair with a job sheet, which runs at most once:\n");
    let sheet =
        "Cierra el parte 4711: ducha reemplazada, 18 m de cable 6 mm2, diferencial probado.";
    let head = chat(&client, entry, "job-sheet", sheet, Some("parte-4711")).await?;
    show_answer(&client, entry, head).await?;
    println!("\nits answer is lost, so the sheet is sent again with the same key:\n");
    let (answer, lease) = chat(&client, entry, "job-sheet", sheet, Some("parte-4711")).await?;
    let replayed = answer.headers().contains_key("x-replayed");
    answer
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

/// Prints an answer as it comes, then the decision behind it.
async fn show_answer(
    client: &HttpClient,
    entry: SocketAddr,
    (answer, lease): (Response<Incoming>, ConnectionGuard),
) -> Result<(), DevError> {
    let version = text(&answer, "x-version");
    let request = text(&answer, "x-request-id");
    print!("  ");
    let mut body = answer.into_body();
    let mut cutter = EventSplitter::default();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|e| DevError::NoAnswer(e.to_string()))?;
        let Ok(piece) = frame.into_data() else {
            continue;
        };
        if let sse::SplitResult::Events(events) | sse::SplitResult::Done(events) =
            cutter.push(piece)
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
    let (answer, lease) = send(client, entry, req).await?;
    let body = answer
        .into_body()
        .collect()
        .await
        .map_err(|e| DevError::NoAnswer(e.to_string()))?;
    lease.release();
    let found: Explanation =
        serde_json::from_slice(&body.to_bytes()).map_err(|e| DevError::NoAnswer(e.to_string()))?;
    for step in &found.steps {
        println!("  {:>8.1?}  {}", step.at, step.what);
        for detail in &step.details {
            println!("            {detail}");
        }
    }
    for line in &found.passed_over {
        println!("            passed over {line}");
    }
    Ok(())
}

async fn chat(
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
    let (answer, lease) = send(client, entry, req).await?;
    if answer.status() != 200 {
        let status = answer.status();
        let body = answer.into_body().collect().await;
        let body = body.map(|b| b.to_bytes()).unwrap_or_default();
        let text = String::from_utf8_lossy(&body);
        return Err(DevError::NoAnswer(format!("{status}: {text}")));
    }
    Ok((answer, lease))
}

async fn send(
    client: &HttpClient,
    entry: SocketAddr,
    req: Request<Full<Bytes>>,
) -> Result<(Response<Incoming>, ConnectionGuard), DevError> {
    let terms = SendOptions {
        reuse: Reuse::Any,
        header_timeout: ANSWER,
        send_by: None,
    };
    client
        .send(entry, req, terms)
        .await
        .map_err(|e| DevError::NoAnswer(e.to_string()))
}

async fn wait(what: &'static str, ready: impl Fn() -> bool) -> Result<(), DevError> {
    let until = Instant::now() + READY;
    while !ready() {
        if Instant::now() >= until {
            return Err(DevError::NotReady(what));
        }
        sleep(Duration::from_millis(20)).await;
    }
    Ok(())
}

fn text(answer: &Response<Incoming>, name: &str) -> String {
    answer
        .headers()
        .get(name)
        .and_then(|v| v.to_str().ok())
        .unwrap_or_default()
        .to_owned()
}

fn try_it(entry: SocketAddr) -> String {
    format!(
        "curl -N http://{entry}/v1/chat/completions \\
  -H 'authorization: Bearer {KEY}' -H 'x-class: question' \\
  -d '{{\"model\":\"auto\",\"stream\":true,\"messages\":[{{\"role\":\"user\",\"content\":\"hola\"}}]}}'"
    )
}
