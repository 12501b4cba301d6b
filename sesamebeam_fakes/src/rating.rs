//! Rating service that rates a sample of answers, late.

pub mod quality;

use std::{
    collections::{
        BTreeMap,
        VecDeque, //
    },
    net::{
        Ipv4Addr,
        SocketAddr, //
    },
    sync::{
        Arc,
        Mutex,
        MutexGuard, //
    },
    time::Duration, //
};

use hyper::{
    Method,
    Request,
    Response,
    StatusCode,
    body::Incoming, //
};
use serde::{
    Deserialize,
    Serialize, //
};
use sesamebeam_core::ids::{
    ClassId,
    VersionId, //
};
use smol_str::SmolStr;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use self::quality::Quality;
use crate::{
    answer::share,
    error::FakeError,
    reply::{
        self,
        Body, //
    },
    site::Site, //
};

/// Ratings kept for readers; older ones are forgotten.
const MAX_KEPT: usize = 100_000;

/// Ratings given at once if the reader names no limit.
const DEFAULT_LIMIT: usize = 1000;

/// Seed offset of the draw whether an answer is rated.
const SAMPLE_SEED: u64 = 1;

/// Seed offset of the draw of a rating's lag.
const LAG_SEED: u64 = 2;

/// Settings of a rating service.
#[derive(Clone, Debug)]
pub struct RatingConfig {
    /// Address to listen on; port 0 draws a free one.
    pub addr: SocketAddr,
    /// Shortest time from an answer to its rating.
    pub lag: Duration,
    /// Further time, drawn evenly from zero to this.
    pub jitter: Duration,
    /// Share of answers that are rated (0 to 1).
    pub sample: f64,
    /// Time that `/v1/rate` takes.
    pub rate_delay: Duration,
    /// True quality of answers.
    pub quality: Quality,
}

impl Default for RatingConfig {
    fn default() -> Self {
        Self {
            addr: SocketAddr::from((Ipv4Addr::LOCALHOST, 0)),
            lag: Duration::from_millis(500),
            jitter: Duration::from_millis(500),
            sample: 1.0,
            rate_delay: Duration::ZERO,
            quality: Quality::default(),
        }
    }
}

/// How the service behaves.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Mode {
    /// As configured.
    #[default]
    Normal,
    /// Every rating, also `/v1/rate`, takes this much longer.
    Slow(Duration),
    /// Answers are taken and never rated; `/v1/rate` never answers.
    Silent,
    /// Every score is the wrong way round.
    Wrong,
}

/// An answer to rate.
#[derive(Clone, Debug, Deserialize)]
struct Submission {
    request: SmolStr,
    class: ClassId,
    version: VersionId,
    #[serde(default)]
    answer: String,
}

/// A rating as readers get it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct GivenRating {
    /// Request, as the answer named it.
    pub request: SmolStr,
    /// Class of the request.
    pub class: ClassId,
    /// Version that answered.
    pub version: VersionId,
    /// 1 for a good answer, 0 for a poor one.
    pub score: f64,
}

/// Some ratings, and where the next reading begins.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RatingPage {
    /// Number to read after next time.
    pub next: u64,
    /// Ratings in the order in which they were made.
    pub ratings: Vec<GivenRating>,
}

/// Answer of `/v1/rate`.
#[derive(Serialize)]
struct Score {
    score: f64,
}

/// Handle of a rating service. Clones share it; it stops with the token given to
/// `start`.
#[derive(Clone, Debug)]
pub struct RatingService {
    inner: Arc<Inner>,
}

#[derive(Debug)]
struct Inner {
    cfg: RatingConfig,
    site: Site,
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    mode: Mode,
    taken: u64,
    /// Ratings by the time at which they are due.
    pending: BTreeMap<(Instant, u64), GivenRating>,
    /// Ratings that readers see; the first has number `forgotten + 1`.
    given: VecDeque<GivenRating>,
    forgotten: u64,
}

impl RatingService {
    /// Starts a rating service.
    ///
    /// # Errors
    ///
    /// Fails if the address can't be listened on or the token is cancelled.
    pub async fn start(cfg: RatingConfig, cancel: CancellationToken) -> Result<Self, FakeError> {
        let inner = Arc::new(Inner {
            site: Site::bind(cfg.addr, cancel)?,
            state: Mutex::default(),
            cfg,
        });
        begin(&inner).await?;
        Ok(Self { inner })
    }

    /// Address of the service.
    pub fn addr(&self) -> SocketAddr {
        self.inner.site.addr
    }

    /// Changes how the service behaves.
    pub fn set_mode(&self, mode: Mode) {
        self.inner.lock().mode = mode;
    }

    /// Number of answers that were sent to be rated.
    pub fn taken(&self) -> u64 {
        self.inner.lock().taken
    }

    /// Makes every open connection silent for good; new ones work.
    pub fn silence(&self) {
        self.inner.site.gate.silence_open();
    }

    /// Stops answering altogether, or goes on.
    pub fn mute(&self, muted: bool) {
        self.inner.site.gate.mute(muted);
    }

    /// Crashes: drops every connection. Ratings are kept.
    pub async fn die(&self) {
        self.inner.site.end().await;
    }

    /// Comes back on the same address.
    ///
    /// # Errors
    ///
    /// Fails if the address can't be listened on or the token is cancelled.
    pub async fn restart(&self) -> Result<(), FakeError> {
        self.die().await;
        begin(&self.inner).await
    }
}

impl Inner {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no panic under the lock")
    }

    fn score(&self, mode: Mode, sub: &Submission) -> f64 {
        let quality = &self.cfg.quality;
        let score = quality.score(&sub.class, &sub.version, &sub.answer);
        match mode {
            Mode::Wrong => 1.0 - score,
            Mode::Normal | Mode::Slow(_) | Mode::Silent => score,
        }
    }

    fn draw(&self, seed: u64, sub: &Submission) -> f64 {
        let seed = self.cfg.quality.seed ^ seed;
        share(seed, &[&sub.request, &sub.version, &sub.answer])
    }

    /// Time from an answer to its rating; none if it is not rated at all.
    fn lag(&self, mode: Mode, sub: &Submission) -> Option<Duration> {
        if mode == Mode::Silent || self.draw(SAMPLE_SEED, sub) >= self.cfg.sample {
            return None;
        }
        let jitter = self.cfg.jitter.mul_f64(self.draw(LAG_SEED, sub));
        let lag = self.cfg.lag + jitter;
        match mode {
            Mode::Slow(more) => Some(lag + more),
            Mode::Normal | Mode::Silent | Mode::Wrong => Some(lag),
        }
    }

    fn take(&self, sub: Submission) {
        let mut state = self.lock();
        state.taken += 1;
        let mode = state.mode;
        let Some(lag) = self.lag(mode, &sub) else {
            return;
        };
        let score = self.score(mode, &sub);
        let due = (Instant::now() + lag, state.taken);
        let rating = GivenRating {
            request: sub.request,
            class: sub.class,
            version: sub.version,
            score,
        };
        state.pending.insert(due, rating);
    }

    async fn rate_now(&self, sub: &Submission) -> Score {
        let mode = self.lock().mode;
        let delay = match mode {
            Mode::Silent => return std::future::pending().await,
            Mode::Slow(more) => self.cfg.rate_delay + more,
            Mode::Normal | Mode::Wrong => self.cfg.rate_delay,
        };
        if !delay.is_zero() {
            tokio::time::sleep(delay).await;
        }
        let score = self.score(mode, sub);
        Score { score }
    }
}

impl State {
    /// Shows the ratings that are due by now.
    fn publish(&mut self, now: Instant) {
        while let Some(first) = self.pending.first_entry()
            && first.key().0 <= now
        {
            self.given.push_back(first.remove());
        }
        while self.given.len() > MAX_KEPT {
            self.given.pop_front();
            self.forgotten += 1;
        }
    }

    fn page(&mut self, after: u64, limit: usize) -> RatingPage {
        self.publish(Instant::now());
        let newest = self.forgotten + self.given.len() as u64;
        let first = after.clamp(self.forgotten, newest);
        let skipped = usize::try_from(first - self.forgotten).unwrap_or(usize::MAX);
        let ratings: Vec<_> = self
            .given
            .iter()
            .skip(skipped)
            .take(limit)
            .cloned()
            .collect();
        RatingPage {
            next: first + ratings.len() as u64,
            ratings,
        }
    }
}

/// Begins a life.
async fn begin(inner: &Arc<Inner>) -> Result<(), FakeError> {
    let (life, listener) = inner.site.begin(None).await?;
    let handler = {
        let inner = Arc::clone(inner);
        move |req| route(Arc::clone(&inner), req)
    };
    inner.site.serve(&life, listener, handler);
    Ok(())
}

async fn route(inner: Arc<Inner>, req: Request<Incoming>) -> Response<Body> {
    let answer = dispatch(&inner, req).await;
    answer.unwrap_or_else(|early| *early)
}

async fn dispatch(
    inner: &Inner,
    req: Request<Incoming>,
) -> Result<Response<Body>, Box<Response<Body>>> {
    let (head, body) = req.into_parts();
    match (head.method, head.uri.path()) {
        (Method::POST, "/v1/ratings") => {
            inner.take(reply::read_json(body).await?);
            Ok(reply::empty(StatusCode::ACCEPTED))
        }
        (Method::POST, "/v1/rate") => {
            let sub = reply::read_json(body).await?;
            Ok(reply::json(StatusCode::OK, &inner.rate_now(&sub).await))
        }
        (Method::GET, "/v1/ratings") => {
            let query = head.uri.query().unwrap_or_default();
            let after = number(query, "after").unwrap_or(0);
            let limit = number(query, "limit").and_then(|n| usize::try_from(n).ok());
            let page = inner.lock().page(after, limit.unwrap_or(DEFAULT_LIMIT));
            Ok(reply::json(StatusCode::OK, &page))
        }
        _ => Ok(reply::fault(StatusCode::NOT_FOUND, "no such call")),
    }
}

fn number(query: &str, name: &str) -> Option<u64> {
    let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    pairs.find(|(key, _)| *key == name)?.1.parse().ok()
}
