//! Callers who open a connection for each request: now and then most of them come to one entry,
//! more than its link bears.

use std::{
    collections::BTreeSet,
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
    body::Incoming, //
};
use tokio::{
    io::{
        AsyncReadExt,
        AsyncWriteExt, //
    },
    net::TcpStream,
    task::JoinSet,
    time::{
        sleep,
        timeout, //
    },
};
use tokio_util::sync::CancellationToken;

use crate::{
    schedule::CONTACT_MS,
    server::{
        self,
        Body, //
    },
};

/// Number of backend servers of these callers.
pub const SERVERS: usize = 6;

/// Time that these backend servers work.
const WORK: Duration = Duration::from_millis(10);

/// Bytes of a request body, and time that a caller waits for its answer.
const BODY_BYTES: usize = 2400;
const DEADLINE: Duration = Duration::from_secs(3);

/// Callers a second in a crowd, of whom nine of ten come to one entry, and otherwise.
const CROWD_PER_S: f64 = 250.0;
const USUAL_PER_S: f64 = 20.0;

/// Time after a crowd has gone from which all is as before, in milliseconds.
const RECOVERY_MS: u64 = 2000;

/// Share of the requests read that must be served in a crowd, and failures that do not count.
const LEAST_SERVED: f64 = 0.95;
const FAILED_SLACK: usize = 3;

/// Requests a second that an entry must serve in a crowd: a quarter of what its link bears.
const LEAST_PER_S: f64 = 25.0;

/// What a request came to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum End {
    /// The answer was whole.
    Served,
    /// The connection was refused, or closed before any answer.
    Unread,
    /// Anything else.
    Failed,
}

/// Request of a caller.
#[derive(Clone, Copy, Debug)]
struct Try {
    entry: usize,
    sent_ms: u64,
    end: End,
}

/// Time in which something happened to an entry, in milliseconds of the run.
#[derive(Clone, Debug)]
struct Span {
    entry: usize,
    ms: Range<u64>,
}

#[derive(Debug, Default)]
struct Seen {
    /// Entry to which most callers come.
    crowded: Option<usize>,
    tries: Vec<Try>,
    /// Times of crowds, and of faults of entries.
    crowds: Vec<Span>,
    faults: Vec<Span>,
}

/// Callers at all entries, and what they saw.
#[derive(Debug)]
pub struct Crowds {
    began: Instant,
    seen: Mutex<Seen>,
}

impl Default for Crowds {
    fn default() -> Self {
        Self {
            began: Instant::now(),
            seen: Mutex::default(),
        }
    }
}

impl Crowds {
    /// Returns the milliseconds since the run began.
    pub fn now_ms(&self) -> u64 {
        self.began.elapsed().as_millis() as u64
    }

    /// Has most callers come to one entry for some time.
    pub async fn crowd(&self, entry: usize, lasting: Duration) {
        let from_ms = self.now_ms();
        self.lock().crowded = Some(entry);
        sleep(lasting).await;
        let ms = from_ms..self.now_ms();
        let mut seen = self.lock();
        if seen.crowded == Some(entry) {
            seen.crowded = None;
        }
        seen.crowds.push(Span { entry, ms });
    }

    /// Records that an entry could not serve callers from then until now.
    pub fn record_fault(&self, entry: usize, from_ms: u64) {
        let ms = from_ms..self.now_ms();
        self.lock().faults.push(Span { entry, ms });
    }

    /// Sends callers to the entries until cancelled.
    pub async fn call(self: Arc<Self>, fronts: Vec<SocketAddr>, cancel: CancellationToken) {
        let mut callers = JoinSet::new();
        for n in 0usize.. {
            let crowded = self.lock().crowded;
            let (entry, per_s) = match crowded {
                Some(entry) if !n.is_multiple_of(10) => (entry, CROWD_PER_S),
                Some(_) => (n / 10 % fronts.len(), CROWD_PER_S),
                None => (n % fronts.len(), USUAL_PER_S),
            };
            let (crowds, front) = (Arc::clone(&self), fronts[entry]);
            callers.spawn(async move {
                let sent_ms = crowds.now_ms();
                let end = ask(front, n).await;
                let ended = Try {
                    entry,
                    sent_ms,
                    end,
                };
                crowds.lock().tries.push(ended);
            });
            while callers.try_join_next().is_some() {}
            tokio::select! {
                () = cancel.cancelled() => return,
                () = sleep(Duration::from_secs_f64(1.0 / per_s)) => {}
            }
        }
    }

    /// Returns a line for each time in which callers of an entry got less than they must.
    pub fn broken(&self) -> Vec<String> {
        let seen = self.lock();
        let mut lines = Vec::new();
        for crowd in &seen.crowds {
            let ms = crowd.ms.start + CONTACT_MS..crowd.ms.end;
            let [served, unread, failed] = seen.count(crowd.entry, ms.clone(), false);
            let calm_ms = ms.clone().filter(|ms| seen.is_calm(crowd.entry, *ms));
            let time_s = calm_ms.count() as f64 / 1000.0;
            let most_failed = (served + failed) as f64 * (1.0 - LEAST_SERVED);
            if failed > FAILED_SLACK + most_failed as usize
                || (served as f64) < LEAST_PER_S * time_s
            {
                lines.push(format!(
                    "a crowd at entry {} from {ms:?} ms, {time_s:.1} s of it without faults: \
                     {served} served, {unread} unread, {failed} failed",
                    crowd.entry
                ));
            }
        }
        let entries: BTreeSet<_> = seen.tries.iter().map(|t| t.entry).collect();
        for entry in entries {
            let all = 0..u64::MAX;
            let [served, unread, failed] = seen.count(entry, all, true);
            if unread + failed > 0 {
                lines.push(format!(
                    "entry {entry} without a crowd: {served} served, {unread} unread, {failed} \
                     failed"
                ));
            }
        }
        lines
    }

    fn lock(&self) -> MutexGuard<'_, Seen> {
        self.seen.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Span {
    /// Returns whether something that began then at an entry may have met this, or its effects
    /// for some time after it.
    fn meets(&self, entry: usize, at_ms: u64, after_ms: u64) -> bool {
        let from_ms = self.ms.start.saturating_sub(DEADLINE.as_millis() as u64);
        self.entry == entry && (from_ms..self.ms.end + after_ms).contains(&at_ms)
    }
}

impl Seen {
    /// Returns how many requests that were sent to an entry then were served, not read, and
    /// failed; without those beside its faults and, if asked for, beside crowds.
    fn count(&self, entry: usize, ms: Range<u64>, without_crowds: bool) -> [usize; 3] {
        let mut counts = [0; 3];
        for t in self.tries.iter().filter(|t| t.entry == entry) {
            let in_crowd = |crowd: &Span| crowd.meets(entry, t.sent_ms, RECOVERY_MS);
            let is_excluded = without_crowds && self.crowds.iter().any(in_crowd);
            if ms.contains(&t.sent_ms) && self.is_calm(entry, t.sent_ms) && !is_excluded {
                counts[t.end as usize] += 1;
            }
        }
        counts
    }

    /// Returns whether no fault of an entry has an effect at a time.
    fn is_calm(&self, entry: usize, at_ms: u64) -> bool {
        let is_hit = |fault: &Span| fault.meets(entry, at_ms, CONTACT_MS);
        !self.faults.iter().any(is_hit)
    }
}

/// Answers a request as a backend server of these callers.
pub async fn answer(req: Request<Incoming>, life: String) -> Response<Body> {
    let text = |name: &str| {
        let value = req.headers().get(name).and_then(|v| v.to_str().ok());
        value.unwrap_or_default().to_owned()
    };
    if text("expect-instance") != life {
        return server::misdirected();
    }
    sleep(WORK).await;
    let response = Response::builder()
        .header("Request-Id", text("request-id"))
        .header("Response-Seal", "mark")
        .body(Full::new(Bytes::from_static(b"fine")).boxed_unsync());
    // Ids come from our own callers and are valid in a header.
    response.unwrap_or_else(|_| server::misdirected())
}

/// Sends a request on a connection of its own.
async fn ask(front: SocketAddr, n: usize) -> End {
    let req = format!(
        "POST /crowd/1 HTTP/1.1\r\nHost: desk.example\r\nRequest-Id: crowd-{n:x}\r\n\
         Credential: k1\r\nDeadline-Ms: {}\r\nConnection: close\r\n\
         Content-Length: {BODY_BYTES}\r\n\r\n{}",
        DEADLINE.as_millis(),
        "x".repeat(BODY_BYTES)
    );
    let mut answer = Vec::new();
    let asked = async {
        let mut stream = TcpStream::connect(front).await?;
        stream.write_all(req.as_bytes()).await?;
        stream.read_to_end(&mut answer).await
    };
    match timeout(DEADLINE, asked).await {
        Ok(_) if answer.is_empty() => End::Unread,
        Ok(Ok(_)) if answer.starts_with(b"HTTP/1.1 200") && answer.ends_with(b"fine") => {
            End::Served
        }
        _ => End::Failed,
    }
}
