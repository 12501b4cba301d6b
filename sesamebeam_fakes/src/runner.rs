//! A model engine over HTTP that generates answers which a test can foretell.

pub mod books;
pub mod config;
pub mod orders;

mod cache;
mod engine;
mod knobs;
mod load;
mod routes;
mod script;
mod stream;

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        Mutex,
        MutexGuard, //
    },
    time::Duration, //
};

use sesamebeam_core::{
    ids::{
        Incarnation,
        VersionId, //
    },
    message::server::{
        Announcement,
        Load, //
    }, //
};
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use self::{
    books::Books,
    config::RunnerConfig,
    engine::Engine,
    knobs::Knobs,
    orders::{
        Order,
        OrderEntry,
        OrderVerdict,
        Role, //
    }, //
};
use crate::{
    announce::{
        AnnounceCounts,
        Announcer, //
    },
    error::FakeError,
    site::Site, //
};

/// Announced speed of a runner that takes no time for a token.
const INSTANT_SPEED: f32 = 100_000.0;

/// Handle of a runner. Clones share it; it stops with the token given to `start`.
#[derive(Clone, Debug)]
pub struct Runner {
    inner: Arc<Inner>,
}

/// What outlasts the lives of a runner.
#[derive(Debug)]
pub(crate) struct Inner {
    cfg: Arc<RunnerConfig>,
    site: Site,
    announcer: Arc<Announcer>,
    books: Arc<Books>,
    knobs: Arc<Mutex<Knobs>>,
    orders: Mutex<Vec<OrderEntry>>,
    engine: Mutex<Option<Arc<Engine>>>,
    left_at: Mutex<Option<Instant>>,
}

impl Runner {
    /// Starts a runner.
    ///
    /// # Errors
    ///
    /// Fails if the address can't be listened on or the token is cancelled.
    pub async fn start(cfg: RunnerConfig, cancel: CancellationToken) -> Result<Self, FakeError> {
        let site = Site::bind(cfg.addr, cancel)?;
        let first = cfg.incarnation;
        let inner = Arc::new(Inner {
            site,
            announcer: Announcer::new(cfg.announce.clone()),
            books: Arc::new(Books::new(cfg.keeps_books)),
            knobs: Arc::new(Mutex::new(Knobs::new(&cfg))),
            orders: Mutex::default(),
            engine: Mutex::default(),
            left_at: Mutex::default(),
            cfg: Arc::new(cfg),
        });
        begin(&inner, first).await?;
        if let Some(pause) = inner.cfg.restart_after {
            let root = inner.site.root().clone();
            let restarts = come_back(Arc::clone(&inner), pause);
            tokio::spawn(async move { root.run_until_cancelled_owned(restarts).await });
        }
        Ok(Self { inner })
    }

    /// Address at which the runner takes requests, the same over all lives.
    pub fn addr(&self) -> SocketAddr {
        self.inner.site.addr
    }

    /// Number of the life of now, or of the last one.
    pub fn incarnation(&self) -> Incarnation {
        self.inner.site.life().incarnation
    }

    /// Whether the runner has crashed or stopped.
    pub fn is_down(&self) -> bool {
        self.inner.site.is_down()
    }

    /// Waits until the runner has crashed or stopped.
    pub async fn down(&self) {
        self.inner.site.life().token.cancelled().await;
    }

    /// What the runner did, over all lives.
    pub fn books(&self) -> &Books {
        &self.inner.books
    }

    /// Orders that came, with their verdicts.
    pub fn orders(&self) -> Vec<OrderEntry> {
        self.inner
            .orders
            .lock()
            .expect("no panic under the lock")
            .clone()
    }

    /// Versions that are loaded now.
    pub fn versions(&self) -> Vec<VersionId> {
        self.read(|engine| engine.lock().versions.iter().cloned().collect())
    }

    /// Role of now.
    pub fn role(&self) -> Role {
        self.read(|engine| engine.lock().role)
    }

    /// Load of this moment, without the lag of the report.
    pub fn load(&self) -> Load {
        self.read(Engine::load_now)
    }

    /// What entries answered to announcements.
    pub fn announcements(&self) -> AnnounceCounts {
        self.inner.announcer.counts()
    }

    /// Changes the entries that are told.
    pub fn set_entries(&self, entries: Vec<SocketAddr>) {
        self.inner.announcer.set_entries(entries);
    }

    /// Stops announcing, or goes on.
    pub fn pause_announcements(&self, paused: bool) {
        self.inner.announcer.pause(paused);
    }

    /// Crashes: drops every connection and forgets everything.
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

    /// Announces that the runner is leaving. It still runs what it is sent, and
    /// the books tell of it.
    pub fn leave(&self) {
        self.read(|engine| engine.lock().leaving = true);
        let mut left_at = self.inner.left_at.lock().expect("no panic under the lock");
        left_at.get_or_insert_with(Instant::now);
        self.inner.announcer.nudge();
    }

    /// Time at which the runner of this life announced that it was leaving.
    pub fn left_at(&self) -> Option<Instant> {
        *self.inner.left_at.lock().expect("no panic under the lock")
    }

    /// Makes every open connection silent for good; new ones work.
    pub fn silence(&self) {
        self.inner.site.gate.silence_open();
    }

    /// Stops answering and announcing altogether, as behind a network partition,
    /// or goes on.
    pub fn mute(&self, muted: bool) {
        self.inner.site.gate.mute(muted);
        self.inner.announcer.pause(muted);
    }

    /// Makes a version answer poorly, or well again.
    pub fn set_bad(&self, version: &str, bad: bool) {
        let mut knobs = self.knobs();
        if bad {
            knobs.bad.insert(VersionId::new(version));
        } else {
            knobs.bad.remove(version);
        }
    }

    /// Makes every request whose prompt holds the text crash the runner.
    pub fn add_killer(&self, text: &str) {
        self.knobs().killers.insert(text.to_owned());
    }

    /// Cuts the connection of each stream after so many events, or no longer.
    /// The stream goes on inside and can be resumed.
    pub fn cut_streams(&self, after: Option<usize>) {
        self.knobs().cut_after = after;
    }

    /// Changes the time between two tokens when nothing else runs.
    pub fn set_token_delay(&self, delay: Duration) {
        self.knobs().token_delay = delay;
        self.read(Engine::change_speed);
    }

    /// Refuses all new work with 503 and asks for a pause, or no longer.
    pub fn refuse(&self, pause: Option<Duration>) {
        self.knobs().refuses = pause;
    }

    fn knobs(&self) -> MutexGuard<'_, Knobs> {
        self.inner.knobs.lock().expect("no panic under the lock")
    }

    fn read<T>(&self, read: impl FnOnce(&Engine) -> T) -> T {
        read(&self.inner.engine())
    }
}

impl Inner {
    fn engine(&self) -> Arc<Engine> {
        let engine = self.engine.lock().expect("no panic under the lock");
        Arc::clone(engine.as_ref().expect("a runner starts with an engine"))
    }

    fn note_order(&self, order: &Order, verdict: OrderVerdict) {
        let entry = OrderEntry {
            what: order.desired.to_string(),
            fencing: order.fencing,
            obeyed: !matches!(verdict, OrderVerdict::Old(_)),
        };
        let mut orders = self.orders.lock().expect("no panic under the lock");
        orders.push(entry);
    }

    fn announcement(&self, engine: &Engine, seq: u64) -> Announcement {
        let cfg = self.announcer.config();
        let load = engine.load();
        let delay = engine.knobs().token_delay;
        let mut state = engine.lock();
        Announcement {
            pool: cfg.pool.clone(),
            domain: cfg.domain.clone(),
            addr: self.site.addr,
            incarnation: engine.life.incarnation,
            seq,
            leaving: state.leaving,
            load,
            versions: state.versions.iter().cloned().collect(),
            cache: state.cache.take_events(Instant::now()),
            speed: speed(delay, self.cfg.tokens_per_step),
        }
    }
}

/// Begins a life.
async fn begin(inner: &Arc<Inner>, first: Option<Incarnation>) -> Result<(), FakeError> {
    let (life, listener) = inner.site.begin(first).await?;
    let engine = Engine::new(
        Arc::clone(&inner.cfg),
        life.clone(),
        Arc::clone(&inner.books),
        Arc::clone(&inner.knobs),
    );
    *inner.left_at.lock().expect("no panic under the lock") = None;
    *inner.engine.lock().expect("no panic under the lock") = Some(Arc::clone(&engine));
    life.spawn(Arc::clone(&engine).run());
    let source = {
        let (inner, engine) = (Arc::clone(inner), Arc::clone(&engine));
        move |seq| inner.announcement(&engine, seq)
    };
    life.spawn(Arc::clone(&inner.announcer).run(source));
    let handler = {
        let inner = Arc::clone(inner);
        move |req| routes::route(Arc::clone(&inner), Arc::clone(&engine), req)
    };
    inner.site.serve(&life, listener, handler);
    Ok(())
}

/// Starts the runner again each time that a killer request has crashed it.
async fn come_back(inner: Arc<Inner>, pause: Duration) {
    let mut crashes = inner.books.watch_crashes();
    while crashes.changed().await.is_ok() {
        tokio::time::sleep(pause).await;
        // A test that has restarted the runner meanwhile was first: that is fine.
        let _ = begin(&inner, None).await;
    }
}

fn speed(delay: Duration, tokens: u32) -> f32 {
    if delay.is_zero() {
        return INSTANT_SPEED;
    }
    tokens.max(1) as f32 / delay.as_secs_f32()
}
