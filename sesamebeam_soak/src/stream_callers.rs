//! Callers of engines, of two organisations of which one sends several times as much.

use std::{
    net::SocketAddr,
    sync::Arc,
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
use hyper::Request;
use rand::{
    RngExt,
    SeedableRng,
    rngs::StdRng, //
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
    callers::NOT_RUN,
    engines::{
        EVENTS,
        event, //
    },
    operator::MODELS_POOL,
};

/// Organisations, their keys and how many callers each has at every entry.
pub const ORGANISATIONS: [(&str, &str, u64); 2] = [("harbour", "k2", 5), ("light", "k3", 1)];

/// Deadline of a request.
const DEADLINE: Duration = Duration::from_millis(2500);

/// Time after its deadline at which a request must be over for its caller: the machine may
/// be busy with other work.
const LATE_BY: Duration = Duration::from_millis(1000);

/// Time for which a caller waits: an entry may stand still for most of it.
const PATIENCE: Duration = Duration::from_secs(8);

/// Longest pause between two requests of a caller, in milliseconds, and pause after one that
/// failed: there is no use in refusals alone.
const MAX_PAUSE_MS: u64 = 40;
const FAILED_PAUSE: Duration = Duration::from_millis(150);

/// A caller.
#[derive(Clone, Copy, Debug)]
pub struct Caller {
    /// Number of its entry.
    pub entry: usize,
    /// Where that takes requests.
    pub front: SocketAddr,
    /// Name of its organisation.
    pub organisation: &'static str,
    /// Its key.
    pub key: &'static str,
    /// Number among those of its organisation at this entry.
    pub number: u64,
}

/// How a request ended for its caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum End {
    /// All events came.
    Answered,
    /// The entry refused it, failed it or broke off.
    Failed,
    /// No answer came: the entry may be gone.
    Unreachable,
}

impl Caller {
    /// Sends requests to its entry, one after the other, until cancelled.
    pub async fn call(self, seed: u64, books: Arc<Books>, cancel: CancellationToken) {
        let client = Client::new(Duration::from_millis(500));
        let name = format!("{}{}.{}", self.organisation, self.entry, self.number);
        let own = name
            .bytes()
            .fold(seed, |s, b| s.rotate_left(7) ^ u64::from(b));
        let mut rng = StdRng::seed_from_u64(own);
        for count in 0u64.. {
            if cancel.is_cancelled() {
                return;
            }
            let id = format!("{name}-{count:x}");
            let path = match rng.random_range(0..4) {
                0 => "/once/1",
                _ => "/tale/1",
            };
            let sent_at = Instant::now();
            let end = self.ask(&client, path, &id, &books).await;
            if sent_at.elapsed() > DEADLINE + LATE_BY {
                books.late(&id, self.entry, sent_at);
            }
            if end != End::Unreachable {
                books.served(self.organisation, end == End::Answered);
            }
            if end != End::Answered {
                sleep(FAILED_PAUSE).await;
            }
            sleep(Duration::from_millis(rng.random_range(0..MAX_PAUSE_MS))).await;
        }
    }

    async fn ask(&self, client: &Client, path: &str, id: &str, books: &Books) -> End {
        let req = Request::post(path)
            .header("Host", "desk.example")
            .header("Request-Id", id)
            .header("Credential", self.key)
            .header("Model", "*")
            .header("Token-Counts", format!("400,{EVENTS}"))
            .header("Deadline-Ms", DEADLINE.as_millis().to_string())
            .body(Full::new(Bytes::from(id.to_owned())));
        let Ok(req) = req else {
            books.broke(format!("request {id} cannot be made"));
            return End::Unreachable;
        };
        books.sent(MODELS_POOL);
        let terms = SendOptions {
            reuse: Reuse::Any,
            header_timeout: PATIENCE,
            send_by: None,
        };
        let Ok((response, lease)) = client.send(self.front, req, terms).await else {
            return End::Unreachable;
        };
        let status = response.status().as_u16();
        if NOT_RUN.contains(&status) {
            books.told_not_run(id);
        }
        let Ok(Ok(body)) = timeout(PATIENCE, response.into_body().collect()).await else {
            return End::Failed;
        };
        lease.release();
        if status != 200 {
            return End::Failed;
        }
        let wanted: String = (1..=EVENTS).map(|n| event(id, n)).collect();
        let text = String::from_utf8_lossy(&body.to_bytes()).into_owned();
        if text != wanted {
            books.broke(format!("request {id}: complete, but it is {text:?}"));
        }
        End::Answered
    }
}
