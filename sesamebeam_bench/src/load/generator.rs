//! Callers that send at a fixed rate, whether or not answers keep up.

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
use futures::future::join_all;
use hdrhistogram::Histogram;
use http_body_util::{
    BodyExt,
    Full, //
};
use hyper::{
    Request,
    StatusCode,
    client::conn::http1::{
        SendRequest,
        handshake, //
    },
    header, //
};
use hyper_util::rt::TokioIo;
use thiserror::Error;
use tokio::{
    net::TcpStream,
    time::{
        Instant,
        sleep_until,
        timeout, //
    },
};

/// Events of a stream that are not tokens: the usage and the end mark.
const CLOSING_EVENTS: u64 = 2;

/// Longest latency that is told apart, in microseconds.
const LONGEST: u64 = 600_000_000;

/// Longest wait for one answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(120);

/// Why a call came to nothing.
#[derive(Debug, Error)]
pub enum CallError {
    /// The connection failed.
    #[error("cannot connect: {0}")]
    Connect(#[from] std::io::Error),
    /// The exchange failed.
    #[error("the exchange broke: {0}")]
    Http(#[from] hyper::Error),
    /// The request cannot be built.
    #[error("cannot build the request: {0}")]
    Request(#[from] hyper::http::Error),
    /// No whole answer in time.
    #[error("no answer in time")]
    Timeout,
}

/// Where and how a chat request is sent.
#[derive(Clone, Debug)]
pub enum Target {
    /// To an entry, with an organisation's key and a class.
    Entry {
        /// Address for callers.
        addr: SocketAddr,
        /// Key of the organisation.
        key: String,
        /// Class of the request.
        class: &'static str,
    },
    /// Straight to a runner, as an entry would.
    Runner {
        /// Address of the runner.
        addr: SocketAddr,
        /// Full name of the version.
        version: String,
    },
}

impl Target {
    fn addr(&self) -> SocketAddr {
        match self {
            Self::Entry { addr, .. } | Self::Runner { addr, .. } => *addr,
        }
    }

    fn request(&self, tokens: u32) -> Result<Request<Full<Bytes>>, hyper::http::Error> {
        let model = match self {
            Self::Entry { .. } => "auto",
            Self::Runner { version, .. } => version,
        };
        let body = format!(
            "{{\"model\":\"{model}\",\"stream\":true,\"max_tokens\":{tokens},\
             \"messages\":[{{\"role\":\"user\",\"content\":\"{PROMPT}\"}}]}}"
        );
        let req = Request::post("/v1/chat/completions")
            .header(header::HOST, self.addr().to_string())
            .header(header::CONTENT_TYPE, "application/json");
        let req = match self {
            Self::Entry { key, class, .. } => req
                .header(header::AUTHORIZATION, format!("Bearer {key}"))
                .header("x-class", *class),
            Self::Runner { .. } => req
                .header("x-request-id", format!("{:032x}", rand::random::<u128>()))
                .header("x-priority", "normal")
                .header("x-prefix", "0000000000000001"),
        };
        req.body(Full::new(body.into()))
    }
}

/// Prompt of every request, about as long as an electrician's question.
const PROMPT: &str = "El diferencial del tablero salta al conectar la terma de la cocina. \
    Ya medi el aislamiento de la resistencia y da dos megaohmios. Que reviso ahora antes \
    de cambiar el diferencial y que anoto en el parte de obra para el certificado?";

/// Counts that are read while the load runs.
#[derive(Debug, Default)]
pub struct Counters {
    /// Whole answers.
    pub whole: AtomicU64,
    /// Tokens of answers, also of those under way.
    pub tokens: AtomicU64,
    /// Pieces in which they came.
    pub pieces: AtomicU64,
}

/// Counts at one moment.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counted {
    /// Whole answers.
    pub whole: u64,
    /// Tokens.
    pub tokens: u64,
    /// Pieces.
    pub pieces: u64,
}

impl Counters {
    /// Reads the counts.
    pub fn read(&self) -> Counted {
        Counted {
            whole: self.whole.load(Ordering::Relaxed),
            tokens: self.tokens.load(Ordering::Relaxed),
            pieces: self.pieces.load(Ordering::Relaxed),
        }
    }
}

/// What one call saw.
#[derive(Clone, Debug)]
pub struct Seen {
    /// Status of the answer.
    pub status: StatusCode,
    /// Whether an answer with status 200 ended with `[DONE]`.
    pub whole: bool,
    /// Outcome that a refusal states.
    pub outcome: Option<String>,
    /// Time from sending to the first piece of the body.
    pub first: Duration,
    /// Time from sending to the end.
    pub total: Duration,
}

/// A connection that sends one request after the other.
pub struct Connection {
    target: Target,
    sender: Option<SendRequest<Full<Bytes>>>,
    counters: Arc<Counters>,
}

impl Connection {
    /// Prepares a connection, which is made at the first call.
    pub fn new(target: Target, counters: Arc<Counters>) -> Self {
        Self {
            target,
            sender: None,
            counters,
        }
    }

    /// Sends a request and reads the answer to its end.
    ///
    /// # Errors
    ///
    /// Fails if there is no whole exchange in time; the next call connects anew.
    pub async fn call(&mut self, tokens: u32) -> Result<Seen, CallError> {
        let seen = timeout(ANSWER_TIMEOUT, self.exchange(tokens)).await;
        match seen {
            Ok(Ok(seen)) => Ok(seen),
            Ok(Err(e)) => {
                self.sender = None;
                Err(e)
            }
            Err(_) => {
                self.sender = None;
                Err(CallError::Timeout)
            }
        }
    }

    async fn exchange(&mut self, tokens: u32) -> Result<Seen, CallError> {
        let req = self.target.request(tokens)?;
        let sender = match &mut self.sender {
            Some(sender) if !sender.is_closed() => sender,
            slot => slot.insert(connect(self.target.addr()).await?),
        };
        sender.ready().await?;
        let sent = Instant::now();
        let answer = sender.send_request(req).await?;
        let status = answer.status();
        let mut body = answer.into_body();
        let (mut first, mut events, mut last) = (None, 0, Bytes::new());
        while let Some(frame) = body.frame().await {
            let Ok(piece) = frame?.into_data() else {
                continue;
            };
            first.get_or_insert_with(|| sent.elapsed());
            if status == StatusCode::OK {
                let more = count_events(&piece);
                events += more;
                self.counters.tokens.fetch_add(more, Ordering::Relaxed);
                self.counters.pieces.fetch_add(1, Ordering::Relaxed);
            }
            last = piece;
        }
        let whole = status == StatusCode::OK && last.ends_with(b"data: [DONE]\n\n");
        if whole {
            self.counters
                .tokens
                .fetch_sub(CLOSING_EVENTS.min(events), Ordering::Relaxed);
            self.counters.whole.fetch_add(1, Ordering::Relaxed);
        }
        Ok(Seen {
            status,
            whole,
            outcome: outcome(status, &last),
            first: first.unwrap_or_else(|| sent.elapsed()),
            total: sent.elapsed(),
        })
    }
}

async fn connect(addr: SocketAddr) -> Result<SendRequest<Full<Bytes>>, CallError> {
    let stream = TcpStream::connect(addr).await?;
    stream.set_nodelay(true)?;
    let (sender, conn) = handshake(TokioIo::new(stream)).await?;
    tokio::spawn(async move {
        // Errors reach the call that uses the connection.
        let _ = conn.await;
    });
    Ok(sender)
}

fn count_events(piece: &[u8]) -> u64 {
    piece.windows(2).filter(|w| *w == b"\n\n").count() as u64
}

fn outcome(status: StatusCode, body: &[u8]) -> Option<String> {
    if status == StatusCode::OK {
        return None;
    }
    let document: serde_json::Value = serde_json::from_slice(body).ok()?;
    document["outcome"].as_str().map(str::to_owned)
}

/// A load of a fixed rate.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Load {
    /// Requests a second.
    pub rate: f64,
    /// Tokens of an answer.
    pub tokens: u32,
    /// Callers; enough that one is always free at this rate.
    pub callers: usize,
    /// Time until the last request is sent.
    pub length: Duration,
}

/// Latencies and ends of a load's requests.
#[derive(Debug)]
pub struct Tally {
    /// Time to the first piece, from the moment at which it was due to be sent.
    pub first: Histogram<u64>,
    /// Time to the end of whole answers, from the same moment.
    pub total: Histogram<u64>,
    /// Time to the end of refusals, from the same moment.
    pub refusal: Histogram<u64>,
    /// Whole answers.
    pub whole: u64,
    /// Refusals that state `not_run`.
    pub not_run: u64,
    /// Other refusals.
    pub other: u64,
    /// Answers that broke off or never came.
    pub broken: u64,
}

impl Default for Tally {
    fn default() -> Self {
        Self {
            first: histogram(),
            total: histogram(),
            refusal: histogram(),
            whole: 0,
            not_run: 0,
            other: 0,
            broken: 0,
        }
    }
}

impl Tally {
    /// Takes what one call saw, sent `late` after it was due.
    pub fn take(&mut self, late: Duration, seen: Result<Seen, CallError>) {
        let Ok(seen) = seen else {
            self.broken += 1;
            return;
        };
        if seen.status != StatusCode::OK {
            record(&mut self.refusal, late + seen.total);
            match seen.outcome.as_deref() {
                Some("not_run") => self.not_run += 1,
                _ => self.other += 1,
            }
        } else if seen.whole {
            self.whole += 1;
            record(&mut self.first, late + seen.first);
            record(&mut self.total, late + seen.total);
        } else {
            self.broken += 1;
        }
    }

    /// Adds what other callers saw.
    pub fn merge(&mut self, other: &Self) {
        // Both have the same bounds, so that adding cannot fail.
        let _ = self.first.add(&other.first);
        let _ = self.total.add(&other.total);
        let _ = self.refusal.add(&other.refusal);
        self.whole += other.whole;
        self.not_run += other.not_run;
        self.other += other.other;
        self.broken += other.broken;
    }
}

/// Makes a histogram of microseconds.
///
/// # Panics
///
/// Never: the bounds are constants that fit.
pub fn histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, LONGEST, 3).expect("the bounds are fit")
}

/// Records a time in a histogram of microseconds.
pub fn record(histogram: &mut Histogram<u64>, time: Duration) {
    let micros = u64::try_from(time.as_micros()).unwrap_or(LONGEST);
    histogram.saturating_record(micros.max(1));
}

/// Reads a quantile as a time.
pub fn quantile(histogram: &Histogram<u64>, q: f64) -> Duration {
    Duration::from_micros(histogram.value_at_quantile(q))
}

/// Runs a load to the end of its last answer.
///
/// Latencies count from the moment at which a request was due, so that a
/// stalled system cannot hide behind callers that wait for it.
pub async fn run(target: &Target, load: Load, counters: &Arc<Counters>) -> Tally {
    let start = Instant::now();
    let next = Arc::new(AtomicU64::new(0));
    let callers = (0..load.callers).map(|_| {
        let connection = Connection::new(target.clone(), Arc::clone(counters));
        tokio::spawn(caller(connection, load, start, Arc::clone(&next)))
    });
    let mut all = Tally::default();
    for tally in join_all(callers.collect::<Vec<_>>()).await {
        match tally {
            Ok(tally) => all.merge(&tally),
            Err(_) => all.broken += 1,
        }
    }
    all
}

async fn caller(
    mut connection: Connection,
    load: Load,
    start: Instant,
    next: Arc<AtomicU64>,
) -> Tally {
    let mut tally = Tally::default();
    loop {
        let number = next.fetch_add(1, Ordering::Relaxed);
        let due = start + Duration::from_secs_f64(number as f64 / load.rate);
        if due >= start + load.length {
            return tally;
        }
        sleep_until(due).await;
        let late = due.elapsed();
        let seen = connection.call(load.tokens).await;
        tally.take(late, seen);
    }
}
