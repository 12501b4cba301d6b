//! Backend servers that fail requests, at times read nothing, and count the retries that they
//! read.

use std::{
    collections::BTreeMap,
    future::ready,
    io,
    net::SocketAddr,
    ops::Range,
    sync::{
        Arc,
        Mutex,
        MutexGuard,
        PoisonError, //
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
        MissedTickBehavior,
        interval,
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
    server::{
        self,
        Body, //
    },
};

/// Number of these backend servers.
const SERVERS: usize = 4;

/// Requests a second at each entry, and time that their callers wait.
const PER_S: u32 = 50;
const DEADLINE: Duration = Duration::from_secs(3);

/// Bound on retries: for each request, of all entries together, and in which time.
const RATIO: f64 = 0.9;
const SLACK: f64 = 60.0;
const WINDOW_MS: u64 = 10_000;

/// Step at which windows are tried, in milliseconds.
const STEP_MS: usize = 100;

#[derive(Debug, Default)]
struct Seen {
    /// When callers sent requests.
    sent: Vec<u64>,
    /// Times that each request was read.
    reads: BTreeMap<String, u32>,
    /// When any was read again.
    retries: Vec<u64>,
}

/// Requests and retries of these backend servers, in milliseconds of the run.
#[derive(Debug)]
pub struct Counts {
    began: Instant,
    /// Share of requests that fail, in percent.
    fails_percent: u64,
    seen: Mutex<Seen>,
}

impl Counts {
    /// Creates counts of nothing.
    pub fn new(fails_percent: u64) -> Self {
        Self {
            began: Instant::now(),
            fails_percent,
            seen: Mutex::default(),
        }
    }

    /// Counts a request that a backend server has read, and answers it.
    pub fn answer(&self, req: &Request<Incoming>) -> Response<Body> {
        let id = req
            .headers()
            .get("request-id")
            .and_then(|v| v.to_str().ok());
        let id = id.unwrap_or_default();
        let now_ms = self.now_ms();
        let mut seen = self.seen();
        let reads = seen.reads.entry(id.to_owned()).or_default();
        *reads += 1;
        if *reads > 1 {
            seen.retries.push(now_ms);
        }
        // A prime step spreads the failures over requests and backend servers.
        let number = (seen.reads.len() + seen.retries.len()) as u64;
        drop(seen);
        let status = match number * 61 % 100 < self.fails_percent {
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
        let seen = self.seen();
        let end = seen.retries.last().copied()?;
        let shares = (0..=end).step_by(STEP_MS).map(|from| {
            let retries = within(&seen.retries, &(from..from + WINDOW_MS));
            (retries, from, bound(&seen.sent, from))
        });
        let share = |(retries, _, bound): &(usize, u64, f64)| *retries as f64 / bound;
        let worst = shares.max_by(|a, b| share(a).total_cmp(&share(b)))?;
        let (retries, from, bound) = worst;
        (retries as f64 > bound).then(|| {
            format!("{retries} retries were read in 10 s from {from} ms on, {bound:.0} are allowed")
        })
    }

    fn now_ms(&self) -> u64 {
        self.began.elapsed().as_millis() as u64
    }

    fn seen(&self) -> MutexGuard<'_, Seen> {
        self.seen.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Returns the retries that are allowed in a window, by the requests in it, in the one before it
/// or in the one half a window before it.
fn bound(sent: &[u64], from: u64) -> f64 {
    let most = [0, WINDOW_MS / 2, WINDOW_MS].map(|back| {
        let window = from.saturating_sub(back)..(from + WINDOW_MS).saturating_sub(back);
        within(sent, &window)
    });
    RATIO * most.into_iter().max().unwrap_or(0) as f64 + SLACK
}

fn within(times: &[u64], window: &Range<u64>) -> usize {
    times.iter().filter(|at| window.contains(at)).count()
}

/// Starts the backend servers and returns where they listen until they end. They read nothing
/// while connections are held.
///
/// # Errors
///
/// Fails if no port can be had.
pub async fn start(
    counts: &Arc<Counts>,
    mode: &watch::Receiver<Mode>,
    ended: CancellationToken,
) -> io::Result<Vec<SocketAddr>> {
    let mut addrs = Vec::new();
    for _ in 0..SERVERS {
        let counts = Arc::clone(counts);
        let answer = move |req| ready(counts.answer(&req));
        let addr = server::listen(answer, ended.clone()).await?;
        addrs.push(proxy::start(addr, mode.clone()).await?);
    }
    Ok(addrs)
}

/// Sends requests to an entry until cancelled, whether it answers or not.
pub async fn call(entry: usize, front: SocketAddr, counts: Arc<Counts>, cancel: CancellationToken) {
    let client = Client::new(Duration::from_millis(500));
    let mut ticks = interval(Duration::from_secs(1) / PER_S);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut callers = JoinSet::new();
    for number in 0.. {
        tokio::select! {
            () = cancel.cancelled() => break,
            _ = ticks.tick() => {}
        }
        while callers.try_join_next().is_some() {}
        let req = Request::post(format!("/{FAILING_POOL}/1"))
            .header("Host", "desk.example")
            .header("Request-Id", format!("f{entry}-{number}"))
            .header("Credential", "k1")
            .header("Deadline-Ms", DEADLINE.as_millis().to_string())
            .body(Full::default());
        let Ok(req) = req else {
            return;
        };
        let now_ms = counts.now_ms();
        counts.seen().sent.push(now_ms);
        callers.spawn(ask(client.clone(), front, req));
    }
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
