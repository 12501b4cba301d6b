//! Backend servers that fail requests, at times read nothing, and count the retries that they
//! read.

use std::{
    future::ready,
    io,
    net::SocketAddr,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{
            AtomicU64,
            Ordering, //
        },
    },
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
    StatusCode,
    body::Incoming, //
};
use sesamebeam::http::client::{
    Client,
    Reuse,
    SendOptions, //
};
use tokio::{
    sync::watch,
    task::JoinSet,
    time::{
        sleep_until,
        timeout, //
    },
};
use tokio_util::sync::CancellationToken;

use crate::{
    operator::FAILING_POOL,
    proxy::{
        self,
        Mode, //
    },
    retry_counts::{
        RETRY_SLACK,
        RetryCounts, //
    },
    schedule::Burst,
    server::{
        self,
        Body, //
    },
};

/// Number of these backend servers.
const SERVERS: usize = 4;

/// Time that callers wait.
const DEADLINE: Duration = Duration::from_secs(3);

/// Requests and retries of these backend servers, in milliseconds of the run.
#[derive(Debug)]
pub struct Failing {
    began: Instant,
    /// Share of requests that fail, in percent.
    fails_percent: AtomicU64,
    counts: Mutex<RetryCounts>,
}

impl Default for Failing {
    fn default() -> Self {
        Self::new()
    }
}

impl Failing {
    /// Creates counts of nothing.
    pub fn new() -> Self {
        Self {
            began: Instant::now(),
            fails_percent: AtomicU64::new(0),
            counts: Mutex::new(RetryCounts::new(RETRY_SLACK)),
        }
    }

    /// Counts a request that a backend server has read, and answers it.
    pub fn answer(&self, req: &Request<Incoming>) -> Response<Body> {
        let id = req
            .headers()
            .get("request-id")
            .and_then(|v| v.to_str().ok());
        let id = id.unwrap_or_default();
        let number = self.counts().record_read(self.now_ms(), id);
        // A prime step spreads the failures over requests and backend servers.
        let fails_percent = self.fails_percent.load(Ordering::Relaxed);
        let status = match number * 61 % 100 < fails_percent {
            true => StatusCode::INTERNAL_SERVER_ERROR,
            false => StatusCode::OK,
        };
        let body = Full::new(Bytes::from_static(b"read")).boxed_unsync();
        let response = Response::builder()
            .status(status)
            .header("Request-Id", id)
            .header("Response-Seal", "mark")
            .body(body);
        response.unwrap_or_default()
    }

    /// Returns a line if more retries were read in a window than its requests allow.
    pub fn broken(&self) -> Option<String> {
        self.counts().broken(FAILING_POOL)
    }

    fn now_ms(&self) -> u64 {
        self.began.elapsed().as_millis() as u64
    }

    fn counts(&self) -> MutexGuard<'_, RetryCounts> {
        self.counts.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Starts the backend servers and returns where they listen until they end. They read nothing
/// while connections are held.
///
/// # Errors
///
/// Fails if no port can be had.
pub async fn start(
    failing: &Arc<Failing>,
    mode: &watch::Receiver<Mode>,
    ended: CancellationToken,
) -> io::Result<Vec<SocketAddr>> {
    let mut addrs = Vec::new();
    for _ in 0..SERVERS {
        let failing = Arc::clone(failing);
        let answer = move |req| ready(failing.answer(&req));
        let addr = server::listen(answer, ended.clone()).await?;
        addrs.push(proxy::start(addr, mode.clone()).await?);
    }
    Ok(addrs)
}

/// Sends the requests of bursts to two entries, whether they answer or not. Each caller opens a
/// connection or uses an idle one.
pub async fn call(
    fronts: Vec<SocketAddr>,
    bursts: Vec<Burst>,
    failing: Arc<Failing>,
    cancel: CancellationToken,
) {
    let began = Instant::now();
    let client = Client::new(Duration::from_millis(500));
    let mut callers = JoinSet::new();
    for (number, burst) in bursts.iter().enumerate() {
        let from = began + Duration::from_millis(burst.at_ms);
        for n in 0..burst.for_ms * burst.per_s / 1000 {
            let due = from + Duration::from_secs(n) / burst.per_s as u32;
            tokio::select! {
                () = cancel.cancelled() => return,
                () = sleep_until(due.into()) => {}
            }
            let percent = burst.fails_percent;
            failing.fails_percent.store(percent, Ordering::Relaxed);
            while callers.try_join_next().is_some() {}
            // A prime step spreads the entries over the burst.
            let is_first = n * 61 % 100 < burst.first_entry_percent;
            let Some(req) = request(&format!("f{number}-{n}")) else {
                return;
            };
            let now_ms = failing.now_ms();
            failing.counts().record_sent(now_ms);
            let front = fronts[usize::from(!is_first) % fronts.len()];
            callers.spawn(ask(client.clone(), front, req));
        }
    }
    cancel.run_until_cancelled(callers.join_all()).await;
}

fn request(id: &str) -> Option<Request<Full<Bytes>>> {
    let req = Request::post(format!("/{FAILING_POOL}/1"))
        .header("Host", "desk.example")
        .header("Request-Id", id)
        .header("Credential", "k1")
        .header("Deadline-Ms", DEADLINE.as_millis().to_string())
        .body(Full::default());
    req.ok()
}

/// Sends a request and reads the answer; what it is does not matter.
async fn ask(client: Client, front: SocketAddr, req: Request<Full<Bytes>>) {
    let options = SendOptions {
        reuse: Reuse::Any,
        header_timeout: DEADLINE,
        send_by: None,
    };
    if let Ok((response, conn)) = client.send(front, req, options).await
        && let Ok(Ok(_)) = timeout(DEADLINE, response.into_body().collect()).await
    {
        conn.release();
    }
}
