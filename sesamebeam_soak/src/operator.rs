//! Operators that change the configuration, race each other and resend, and
//! backend servers' announcements.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{
            AtomicU64,
            Ordering, //
        },
    },
    time::Duration,
};

use bytes::Bytes;
use http_body_util::{
    BodyExt,
    Full, //
};
use hyper::{
    Method,
    Request, //
};
use sesamebeam::http::client::{
    Client,
    Reuse,
    SendOptions, //
};
use tokio::time::{
    sleep,
    timeout, //
};
use tokio_util::sync::CancellationToken;

use crate::{
    books::Books,
    engines,
    stream_callers, //
};

/// Time that an operator waits for an answer.
const PATIENCE: Duration = Duration::from_millis(1200);

/// Pause between two calls.
pub const PAUSE: Duration = Duration::from_millis(60);

/// Time for which a failure domain stays evacuated: longer than it takes until nothing
/// may go there, so that there is something to check.
const EVACUATED_FOR: Duration = Duration::from_millis(8000);

/// Redirections that are followed.
const REDIRECTIONS: usize = 2;

/// Service of plain backend servers.
pub const POOL: &str = "pool";

/// Service of engines.
pub const MODELS_POOL: &str = "models";

/// Service of backend servers that a prompt part takes down.
pub const FRAGILE_POOL: &str = "fragile";

/// Service of the backend servers that go down under rejections.
pub const BRITTLE_POOL: &str = "brittle";

/// Service of callers with new connections.
pub const CROWD_POOL: &str = "crowd";

/// Service of backend servers that fail requests.
pub const FAILING_POOL: &str = "failing";

/// Slots that each backend server announces.
pub const SLOTS: usize = 8;

/// What configurations hold beside the plain routes.
#[derive(Clone, Copy, Debug)]
pub struct ConfigKind {
    /// Whether there are routes to engines.
    pub has_engines: bool,
    /// Number of routes that nobody uses.
    pub extra_routes: usize,
}

/// Returns a configuration.
pub fn config(version: u64, kind: ConfigKind) -> String {
    let (mut routes, mut services, mut tenants) = <(String, String, String)>::default();
    if kind.has_engines {
        (routes, services, tenants) = engine_parts();
    }
    for number in 0..kind.extra_routes {
        routes += &format!(
            r#",{{"name":"extra-{number}","host":"desk.example","path_prefix":"/extra-{number}/",
            "kind":"idempotent","timeout_ms":4000,"service":"{POOL}","max_attempts":2}}"#
        );
    }
    let route = |name: &str, kind: &str, more: &str| {
        let service = match name {
            FRAGILE_POOL | BRITTLE_POOL | CROWD_POOL | FAILING_POOL => name,
            _ => POOL,
        };
        format!(
            r#"{{"name":"{name}","host":"desk.example","path_prefix":"/{name}/","kind":"{kind}",
            "timeout_ms":4000,"service":"{service}","max_attempts":3{more}}}"#
        )
    };
    format!(
        r#"{{"version":{version},"routes":[{},{},{},{},{},{},{}{routes}],
        "services":[{{"name":"pool","health_path":"/health","max_connections":500}},
        {{"name":"{FRAGILE_POOL}","health_path":"/health","max_connections":500}},
        {{"name":"{BRITTLE_POOL}","health_path":"/health","max_connections":500}},
        {{"name":"{CROWD_POOL}","health_path":"/health","max_connections":500}},
        {{"name":"{FAILING_POOL}","health_path":"/health","max_connections":500}}{services}],
        "tenants":[{{"name":"quay","api_keys":["k1"]}}{tenants}]}}"#,
        route("book", "non_idempotent", ""),
        route("read", "idempotent", ""),
        route("notes", "streaming", r#","stream_resume":true"#),
        route(FRAGILE_POOL, "streaming", r#","stream_resume":true"#),
        route(BRITTLE_POOL, "idempotent", r#","target_latency_ms":800"#),
        route(CROWD_POOL, "idempotent", ""),
        route(FAILING_POOL, "idempotent", ""),
    )
}

/// Returns the routes, services and organisations that a configuration has for engines: one
/// route whose streams may be resumed and escalated, and one whose requests run once.
fn engine_parts() -> (String, String, String) {
    let route = |name: &str, sizes: &[&str], resume: bool| {
        format!(
            r#",{{"name":"{name}","host":"desk.example","path_prefix":"/{name}/",
            "kind":"streaming","timeout_ms":4000,"target_latency_ms":500,"priority":1,
            "service":"{MODELS_POOL}","max_attempts":3,"stream_resume":{resume},
            "sizes":{sizes:?}}}"#
        )
    };
    let costs = engines::MODELS.iter().zip([1, 3, 10]);
    let models: Vec<String> = costs
        .map(|(name, cost)| format!(r#"{{"name":"{name}","cost":{cost}}}"#))
        .collect();
    let service = format!(
        r#",{{"name":"{MODELS_POOL}","health_path":"/health","max_connections":500,
        "engine":{{"slots":{},"kv_capacity":100000,"models":[{}]}}}}"#,
        engines::SLOTS,
        models.join(",")
    );
    let tenants = stream_callers::ORGANISATIONS
        .iter()
        .map(|(name, key, _)| format!(r#",{{"name":"{name}","api_keys":["{key}"]}}"#))
        .collect();
    let tale = route("tale", &engines::MODELS, true);
    let once = route("once", &engines::MODELS[..1], false);
    (tale + &once, service, tenants)
}

/// Calls a replica and returns status and body; redirections are followed.
pub async fn call(
    client: &Client,
    mut addr: SocketAddr,
    method: &Method,
    path: &str,
    body: &str,
) -> Option<(u16, Bytes)> {
    for _ in 0..=REDIRECTIONS {
        let req = Request::builder()
            .method(method.clone())
            .uri(path)
            .header("Host", "control")
            .body(Full::new(Bytes::from(body.to_owned())))
            .ok()?;
        let terms = SendOptions {
            reuse: Reuse::Never,
            header_timeout: PATIENCE,
            send_by: None,
        };
        let (response, _lease) = client.send(addr, req, terms).await.ok()?;
        let status = response.status().as_u16();
        let to = response.headers().get("location").cloned();
        let body = timeout(PATIENCE, response.into_body().collect()).await;
        let body = body.ok()?.ok()?.to_bytes();
        if status != 307 {
            return Some((status, body));
        }
        let to = to?.to_str().ok()?.strip_prefix("http://")?.to_owned();
        addr = to.split('/').next()?.parse().ok()?;
    }
    None
}

/// Puts one configuration after the other in force until cancelled. Several
/// operators share the counter and race.
pub async fn change(
    controls: Vec<SocketAddr>,
    next: Arc<AtomicU64>,
    books: Arc<Books>,
    kind: ConfigKind,
    cancel: CancellationToken,
) {
    let client = Client::new(Duration::from_millis(500));
    while !cancel.is_cancelled() {
        let version = next.fetch_add(1, Ordering::Relaxed);
        let text = config(version, kind);
        for addr in controls.iter().cycle().skip(version as usize % 3).take(9) {
            let answer = call(&client, *addr, &Method::PUT, "/config", &text).await;
            match answer {
                Some((200, _)) => {
                    books.acknowledged(version);
                    break;
                }
                Some((status @ 400..=499, _)) => {
                    books.broke(format!("configuration {version} was refused with {status}"));
                    break;
                }
                _ => sleep(PAUSE).await,
            }
        }
        sleep(PAUSE).await;
    }
}

/// Evacuates a failure domain and takes it back, by turns, until cancelled. Each order
/// goes to one replica after the other until it is acknowledged, and once more then, as
/// one does whose acknowledgement was lost.
pub async fn evacuate(
    domain: &'static str,
    controls: Vec<SocketAddr>,
    books: Arc<Books>,
    cancel: CancellationToken,
) {
    let client = Client::new(Duration::from_millis(500));
    let path = format!("/evacuations/{domain}");
    while !cancel.is_cancelled() {
        for method in [Method::POST, Method::DELETE] {
            let evacuates = method == Method::POST;
            if !evacuates {
                books.evacuated(false);
            }
            for _ in 0..2 {
                order(&client, &controls, &method, &path, &books, &cancel).await;
            }
            if evacuates && !cancel.is_cancelled() {
                books.evacuated(true);
            }
            let lasts = if evacuates { EVACUATED_FOR } else { PAUSE };
            tokio::select! {
                () = cancel.cancelled() => {}
                () = sleep(lasts) => {}
            }
        }
    }
}

/// Repeats an order until one replica acknowledges it.
async fn order(
    client: &Client,
    controls: &[SocketAddr],
    method: &Method,
    path: &str,
    books: &Books,
    cancel: &CancellationToken,
) {
    for addr in controls.iter().cycle() {
        if cancel.is_cancelled() {
            return;
        }
        match call(client, *addr, method, path, "").await {
            Some((200, _)) => return,
            Some((status @ 400..=499, _)) => {
                return books.broke(format!("{method} {path} was refused with {status}"));
            }
            _ => sleep(PAUSE).await,
        }
    }
}

/// Reads the configuration at every replica until cancelled. An answer that is
/// older than what was acknowledged before the question breaks a promise.
pub async fn read(controls: Vec<SocketAddr>, books: Arc<Books>, cancel: CancellationToken) {
    let client = Client::new(Duration::from_millis(500));
    for addr in controls.iter().cycle() {
        if cancel.is_cancelled() {
            return;
        }
        let least = books.newest();
        if let Some((200, body)) = call(&client, *addr, &Method::GET, "/config", "").await {
            let read = version_of(&body);
            if read.is_none_or(|version| version < least) {
                books.broke(format!(
                    "{addr} read {read:?} after {least} was acknowledged"
                ));
            }
        }
        sleep(PAUSE).await;
    }
}

/// Returns the number of a configuration that was read.
pub fn version_of(body: &[u8]) -> Option<u64> {
    let value: serde_json::Value = serde_json::from_slice(body).ok()?;
    value["version"].as_u64()
}

/// Announces a backend server until cancelled.
pub async fn announce(
    life: String,
    service: &'static str,
    domain: &'static str,
    addr: SocketAddr,
    controls: Vec<SocketAddr>,
    cancel: CancellationToken,
) {
    let client = Client::new(Duration::from_millis(500));
    let mut sequence = 0u64;
    for control in controls.iter().cycle() {
        if cancel.is_cancelled() {
            return;
        }
        sequence += 1;
        let beat = format!(
            r#"{{"service":"{service}","address":"{addr}","zone":"{domain}","version":"v1","slots":{SLOTS},
            "state":"ready","cold_remaining_ms":0,"sequence":{sequence}}}"#
        );
        let path = format!("/instances/{life}");
        // One that is not acknowledged goes to the next replica.
        let answer = call(&client, *control, &Method::PUT, &path, &beat).await;
        let pause = if answer.is_some_and(|(status, _)| status == 200) {
            PAUSE * 5
        } else {
            PAUSE
        };
        sleep(pause).await;
    }
}
