//! A plain service whose calls may not all be repeated.

use std::{
    collections::BTreeMap,
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

use base64::{
    Engine as _,
    prelude::BASE64_STANDARD, //
};
use bytes::Bytes;
use hyper::{
    HeaderMap,
    Request,
    Response,
    StatusCode,
    body::Incoming, //
};
use serde::Serialize;
use sesamebeam_core::{
    ids::{
        IdempotencyKey,
        Incarnation, //
    },
    message::server::{
        Announcement,
        Load, //
    }, //
};
use smol_str::SmolStr;
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;

use crate::{
    announce::{
        AnnounceConfig,
        AnnounceCounts,
        Announcer, //
    },
    answer::digest,
    error::FakeError,
    reply::{
        self,
        Body, //
    },
    site::{
        Life,
        Site, //
    }, //
};

/// Path under which calls are looked up.
const LOOKUP: &str = "/lookup/";

/// Content type of every answer.
const JSON: &str = "application/json";

/// Settings of a plain service.
#[derive(Clone, Debug)]
pub struct ServiceConfig {
    /// Address to listen on; port 0 draws a free one.
    pub addr: SocketAddr,
    /// Incarnation of the first life; drawn from the clock by default.
    pub incarnation: Option<Incarnation>,
    /// Announcements.
    pub announce: AnnounceConfig,
    /// Time that a call takes.
    pub delay: Duration,
    /// Whether calls can be looked up by request id.
    pub lookup: bool,
}

impl Default for ServiceConfig {
    fn default() -> Self {
        Self {
            addr: SocketAddr::from((Ipv4Addr::LOCALHOST, 0)),
            incarnation: None,
            announce: AnnounceConfig::default(),
            delay: Duration::ZERO,
            lookup: false,
        }
    }
}

/// What happens to a call.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Fault {
    /// It is run and answered.
    #[default]
    None,
    /// It is refused with 503 and not run.
    Refuse,
    /// The service crashes before the call has an effect.
    CrashBefore,
    /// The service crashes after the effect, before the answer.
    CrashAfter,
    /// The call has its effect, and the connection breaks without an answer.
    LoseAnswer,
    /// The call has its effect, and the answer never comes.
    Hang,
}

/// One call, for the books.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallEntry {
    /// Value of `x-request-id`.
    pub request: SmolStr,
    /// Value of `idempotency-key`.
    pub key: IdempotencyKey,
    /// Method and path.
    pub target: SmolStr,
    /// Body.
    pub body: Bytes,
    /// Life in which it came.
    pub incarnation: Incarnation,
    /// Whether the call had its effect.
    pub ran: bool,
    /// Whether the service had announced that it was leaving.
    pub leaving: bool,
}

/// Handle of a plain service. Clones share it; it stops with the token given to
/// `start`.
#[derive(Clone, Debug)]
pub struct Service {
    inner: Arc<Inner>,
}

#[derive(Debug)]
struct Inner {
    cfg: ServiceConfig,
    site: Site,
    announcer: Arc<Announcer>,
    state: Mutex<State>,
}

/// State that outlasts crashes: the service has a data base.
#[derive(Debug, Default)]
struct State {
    calls: Vec<CallEntry>,
    /// Answers of the calls that had their effect, by request id.
    answers: BTreeMap<SmolStr, Bytes>,
    /// Calls under way by request id; true once they have had their effect.
    under_way: BTreeMap<SmolStr, watch::Receiver<bool>>,
    running: u32,
    leaving: bool,
    faults: Vec<Fault>,
    delay: Duration,
}

/// Answer of a call.
#[derive(Serialize)]
struct CallAnswer<'a> {
    target: &'a str,
    digest: &'a str,
}

/// Answer of a look-up.
#[derive(Serialize)]
struct LookupAnswer<'a> {
    state: &'a str,
    status: u16,
    content_type: &'a str,
    body: String,
}

/// Answer to a call with that method, path and body.
pub fn expected_reply(method: &str, path: &str, body: &[u8]) -> Bytes {
    let answer = CallAnswer {
        target: &format!("{method} {path}"),
        digest: &format!("{:032x}", digest(body)),
    };
    Bytes::from(serde_json::to_vec(&answer).expect("strings are always JSON"))
}

impl Service {
    /// Starts a plain service.
    ///
    /// # Errors
    ///
    /// Fails if the address can't be listened on or the token is cancelled.
    pub async fn start(cfg: ServiceConfig, cancel: CancellationToken) -> Result<Self, FakeError> {
        let site = Site::bind(cfg.addr, cancel)?;
        let first = cfg.incarnation;
        let state = State {
            delay: cfg.delay,
            ..State::default()
        };
        let inner = Arc::new(Inner {
            site,
            announcer: Announcer::new(cfg.announce.clone()),
            state: Mutex::new(state),
            cfg,
        });
        begin(&inner, first).await?;
        Ok(Self { inner })
    }

    /// Address at which the service takes calls, the same over all lives.
    pub fn addr(&self) -> SocketAddr {
        self.inner.site.addr
    }

    /// Number of the life of now, or of the last one.
    pub fn incarnation(&self) -> Incarnation {
        self.inner.site.life().incarnation
    }

    /// Whether the service has crashed or stopped.
    pub fn is_down(&self) -> bool {
        self.inner.site.is_down()
    }

    /// Waits until the service has crashed or stopped.
    pub async fn down(&self) {
        self.inner.site.life().token.cancelled().await;
    }

    /// Every call that came, in order, over all lives.
    pub fn calls(&self) -> Vec<CallEntry> {
        self.inner.lock().calls.clone()
    }

    /// How often a call with this idempotency key had its effect.
    pub fn effects_of_key(&self, key: &str) -> usize {
        self.effects(|call| call.key == key)
    }

    /// How often a call with this request id had its effect.
    pub fn effects_of_request(&self, request: &str) -> usize {
        self.effects(|call| call.request == request)
    }

    /// What entries answered to announcements.
    pub fn announcements(&self) -> AnnounceCounts {
        self.inner.announcer.counts()
    }

    /// Changes the entries that are told.
    pub fn set_entries(&self, entries: Vec<SocketAddr>) {
        self.inner.announcer.set_entries(entries);
    }

    /// Gives the next calls these faults, the first to the next one.
    pub fn inject(&self, faults: impl IntoIterator<Item = Fault>) {
        self.inner.lock().faults.extend(faults);
    }

    /// Changes the time that a call takes.
    pub fn set_delay(&self, delay: Duration) {
        self.inner.lock().delay = delay;
    }

    /// Crashes: drops every connection and every call without an effect so far.
    pub async fn die(&self) {
        self.inner.site.end().await;
    }

    /// Comes back on the same address with a greater incarnation, dying first
    /// if it still runs.
    ///
    /// # Errors
    ///
    /// Fails if the address can't be listened on or the token is cancelled.
    pub async fn restart(&self) -> Result<(), FakeError> {
        self.die().await;
        begin(&self.inner, None).await
    }

    /// Announces that the service is leaving.
    pub fn leave(&self) {
        self.inner.lock().leaving = true;
        self.inner.announcer.nudge();
    }

    /// Makes every open connection silent for good; new ones work.
    pub fn silence(&self) {
        self.inner.site.gate.silence_open();
    }

    /// Stops answering and announcing altogether, or goes on.
    pub fn mute(&self, muted: bool) {
        self.inner.site.gate.mute(muted);
        self.inner.announcer.pause(muted);
    }

    fn effects(&self, wanted: impl Fn(&CallEntry) -> bool) -> usize {
        let state = self.inner.lock();
        let ran = state.calls.iter().filter(|call| call.ran && wanted(call));
        ran.count()
    }
}

impl Inner {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no panic under the lock")
    }

    fn announcement(&self, life: &Life, seq: u64) -> Announcement {
        let cfg = self.announcer.config();
        let state = self.lock();
        Announcement {
            pool: cfg.pool.clone(),
            domain: cfg.domain.clone(),
            addr: self.site.addr,
            incarnation: life.incarnation,
            seq,
            leaving: state.leaving,
            load: Load {
                running: state.running,
                ..Load::default()
            },
            versions: Vec::new(),
            cache: Vec::new(),
            speed: 0.0,
        }
    }
}

/// Begins a life.
async fn begin(inner: &Arc<Inner>, first: Option<Incarnation>) -> Result<(), FakeError> {
    let (life, listener) = inner.site.begin(first).await?;
    {
        let mut state = inner.lock();
        state.running = 0;
        state.leaving = false;
    }
    let source = {
        let (inner, life) = (Arc::clone(inner), life.clone());
        move |seq| inner.announcement(&life, seq)
    };
    life.spawn(Arc::clone(&inner.announcer).run(source));
    let handler = {
        let (inner, life) = (Arc::clone(inner), life.clone());
        move |req| route(Arc::clone(&inner), life.clone(), req)
    };
    inner.site.serve(&life, listener, handler);
    Ok(())
}

async fn route(inner: Arc<Inner>, life: Life, req: Request<Incoming>) -> Response<Body> {
    let (head, body) = req.into_parts();
    if let Some(id) = head.uri.path().strip_prefix(LOOKUP)
        && inner.cfg.lookup
    {
        return look_up(&inner, id).await;
    }
    let body = match reply::read(body).await {
        Ok(body) => body,
        Err(early) => return *early,
    };
    let method = head.method.as_str();
    let path = head
        .uri
        .path_and_query()
        .map_or(head.uri.path(), |p| p.as_str());
    let answer = expected_reply(method, path, &body);
    let call = CallEntry {
        request: text(&head.headers, "x-request-id"),
        key: text(&head.headers, "idempotency-key"),
        target: SmolStr::from(format!("{method} {path}")),
        body,
        incarnation: life.incarnation,
        ran: false,
        leaving: inner.lock().leaving,
    };
    run(inner, life, call, answer).await
}

/// Runs a call, also if its caller goes away meanwhile.
async fn run(inner: Arc<Inner>, life: Life, call: CallEntry, answer: Bytes) -> Response<Body> {
    let (tx, mut rx) = watch::channel(false);
    let (fault, delay, number) = {
        let mut state = inner.lock();
        let fault = if state.faults.is_empty() {
            Fault::None
        } else {
            state.faults.remove(0)
        };
        if fault != Fault::Refuse && fault != Fault::CrashBefore {
            state.under_way.insert(call.request.clone(), rx.clone());
            state.running += 1;
        }
        state.calls.push(call.clone());
        (fault, state.delay, state.calls.len() - 1)
    };
    match fault {
        Fault::Refuse => return reply::fault(StatusCode::SERVICE_UNAVAILABLE, "not run"),
        Fault::CrashBefore => {
            life.token.cancel();
            return std::future::pending().await;
        }
        Fault::None | Fault::CrashAfter | Fault::LoseAnswer | Fault::Hang => {}
    }
    let effect = {
        let (inner, life, answer) = (Arc::clone(&inner), life.clone(), answer.clone());
        async move {
            if !delay.is_zero() {
                tokio::time::sleep(delay).await;
            }
            let mut state = inner.lock();
            state.calls[number].ran = true;
            state.running = state.running.saturating_sub(1);
            state.answers.insert(call.request, answer);
            // Nobody may be waiting.
            let _ = tx.send(true);
            if fault == Fault::CrashAfter {
                life.token.cancel();
            }
        }
    };
    life.spawn(effect);
    // An error means that the service crashes: this task ends with it.
    if rx.wait_for(|&ran| ran).await.is_err() {
        return std::future::pending().await;
    }
    match fault {
        Fault::LoseAnswer => reply::broken(),
        Fault::CrashAfter | Fault::Hang => std::future::pending().await,
        Fault::None | Fault::Refuse | Fault::CrashBefore => {
            reply::bytes(StatusCode::OK, JSON, answer)
        }
    }
}

/// Looks a call up. A call that still runs is neither `ran` nor `never`: the
/// answer waits for its end, as a caller told `never` would send it again.
async fn look_up(inner: &Inner, id: &str) -> Response<Body> {
    let under_way = inner.lock().under_way.get(id).cloned();
    if let Some(mut rx) = under_way {
        // An error means that a crash came before the effect.
        let _ = rx.wait_for(|&ran| ran).await;
    }
    let Some(body) = inner.lock().answers.get(id).cloned() else {
        return reply::state(StatusCode::OK, "never");
    };
    reply::json(
        StatusCode::OK,
        &LookupAnswer {
            state: "ran",
            status: StatusCode::OK.as_u16(),
            content_type: JSON,
            body: BASE64_STANDARD.encode(body),
        },
    )
}

fn text(headers: &HeaderMap, name: &str) -> SmolStr {
    let value = headers.get(name).and_then(|v| v.to_str().ok());
    SmolStr::new(value.unwrap_or_default())
}
