//! A plain service whose calls may not all be repeated.

pub mod config;

mod routes;

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{
        Arc,
        Mutex,
        MutexGuard, //
    },
    time::Duration, //
};

use bytes::Bytes;
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

pub use self::routes::expected_reply;
use self::{
    config::ServiceConfig,
    routes::route, //
};
use crate::{
    announce::{
        AnnounceCounts,
        Announcer, //
    },
    error::FakeError,
    site::{
        Life,
        Site, //
    }, //
};

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
