//! Listener that takes connections at the pace at which the event loop serves them.

use std::{
    io,
    net::SocketAddr,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{
            AtomicBool,
            Ordering, //
        },
    },
    time::{
        Duration,
        Instant, //
    },
};

use futures::FutureExt;
use hyper::http::Extensions;
use sesamebeam_core::{
    ids::MonoTime,
    policy::{
        connections::{
            ConnectionQueue,
            Patience, //
        },
        link_load::LinkLoad,
        reads::ReadId,
    },
};
use tokio::{
    net::{
        TcpListener,
        TcpStream, //
    },
    sync::Notify,
    task::{
        unconstrained,
        yield_now, //
    },
    time::{
        sleep,
        timeout, //
    },
};

use super::{
    ACCEPT_RETRY_DELAY,
    ListenError,
    bind,
    set_nodelay, //
};
use crate::limit::LogLimit;

/// Minimum time between two log lines about overload.
const OVERLOAD_LOG_PERIOD: Duration = Duration::from_secs(1);

/// Least time for which nothing listens while the link is full.
const MIN_CLOSED: Duration = Duration::from_millis(2);

/// What a listener and those who read requests tell each other.
#[derive(Clone, Debug, Default)]
pub(crate) struct CallerLoad(Arc<SharedLoad>);

#[derive(Debug)]
struct SharedLoad {
    start: Instant,
    patience: Mutex<Patience>,
    link: Mutex<LinkLoad>,
    /// Notified when there may be room for connections: a request has been read, or will not
    /// be, or a round trip has ended.
    room: Notify,
    is_overloaded: AtomicBool,
    /// Of lines about requests and round trips that are late.
    log_limits: [LogLimit; 2],
}

impl Default for SharedLoad {
    fn default() -> Self {
        Self {
            start: Instant::now(),
            patience: Mutex::default(),
            link: Mutex::default(),
            room: Notify::new(),
            is_overloaded: AtomicBool::new(false),
            log_limits: [const { LogLimit::new(OVERLOAD_LOG_PERIOD) }; 2],
        }
    }
}

impl CallerLoad {
    /// Records the time that a caller leaves for its request.
    pub(crate) fn record_deadline(&self, deadline: Duration) {
        lock(&self.0.patience).record_deadline(deadline);
    }

    /// Returns whether callers wait without a break, or the link is full, so that no work
    /// should be taken on for others.
    pub(crate) fn is_overloaded(&self) -> bool {
        self.0.is_overloaded.load(Ordering::Relaxed) || self.link().is_full(self.now())
    }

    /// Returns whether a further request on an open connection may be taken on: not if those
    /// fill the link by themselves.
    pub(crate) fn take_further(&self) -> bool {
        self.link().take_further(self.now())
    }

    /// Returns whether the time of a round trip to another instance should be measured now.
    pub(crate) fn take_probe(&self) -> bool {
        self.link().take_probe(self.now())
    }

    /// Returns the time since the start, by which round trips are measured.
    pub(crate) fn now(&self) -> MonoTime {
        self.0.start.elapsed()
    }

    /// Records a round trip that began at a time of [`CallerLoad::now`].
    pub(crate) fn record_round_trip(&self, began: MonoTime) {
        let now = self.now();
        let mut link = self.link();
        let was_limited = link.accept_limit().is_some();
        let window = link.record_round_trip(now, began);
        self.0.room.notify_one();
        let Some(window) = window else {
            return;
        };
        let (limit, further) = (link.accept_limit(), link.further_limit());
        drop(link);
        if (limit.is_some() || was_limited)
            && let Some(suppressed) = self.0.log_limits[1].allow()
        {
            log::info!(
                delay_ms = window.delay.as_millis() as u64, limit_per_s:? = limit,
                further_limit_per_s:? = further,
                suppressed = suppressed;
                "round trips are late"
            );
        }
    }

    /// Records that what was sent this long ago has been answered.
    pub(crate) fn record_answered(&self, took: Duration) {
        let now = self.now();
        let sent_at = now.saturating_sub(took);
        self.link().record_answered(now, sent_at);
    }

    /// Returns by how much round trips are longer than without load.
    pub(crate) fn link_delay(&self) -> Duration {
        self.link().delay(self.now())
    }

    fn max_wait(&self) -> Duration {
        lock(&self.0.patience).max_wait()
    }

    fn link(&self) -> MutexGuard<'_, LinkLoad> {
        lock(&self.0.link)
    }

    fn record_whole(&self, now: MonoTime, id: ReadId, took: Duration) {
        let mut link = self.link();
        link.record_passed(took);
        let was_full = link.reads.is_link_full(now);
        let Some(window) = link.reads.record_whole(now, id, took) else {
            return;
        };
        let (limit, reading) = (link.reads.limit(), link.reads.len());
        drop(link);
        if (limit.is_some() || was_full)
            && let Some(suppressed) = self.0.log_limits[0].allow()
        {
            log::info!(
                delay_ms = window.delay.as_millis() as u64, per_s = window.rate(),
                reading = reading, limit:? = limit, suppressed = suppressed;
                "requests arrive late"
            );
        }
    }

    /// Records that the first request of a connection is going to be read.
    fn begin_read(&self) -> FirstRead {
        let taken_at = self.now();
        FirstRead(Arc::new(BegunRead {
            id: self.link().reads.begin(taken_at),
            taken_at,
            load: self.clone(),
        }))
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// The reading of the first request of a connection, until all copies are dropped.
///
/// It is an extension of that request.
#[derive(Clone, Debug)]
pub(crate) struct FirstRead(Arc<BegunRead>);

#[derive(Debug)]
struct BegunRead {
    id: ReadId,
    taken_at: MonoTime,
    load: CallerLoad,
}

impl FirstRead {
    /// Records that the request with these extensions was read whole. Returns how long it
    /// took since its connection was taken, if it was the first there.
    pub(crate) fn finish(extensions: &mut Extensions) -> Option<Duration> {
        let read = extensions.remove::<Self>()?;
        let BegunRead { id, taken_at, load } = &*read.0;
        let now = load.now();
        let took = now.saturating_sub(*taken_at);
        load.record_whole(now, *id, took);
        Some(took)
    }
}

impl Drop for BegunRead {
    fn drop(&mut self) {
        self.load.link().reads.record_gone(self.id);
        self.load.0.room.notify_one();
    }
}

/// Hands the reading of the first request of a connection to that request.
#[derive(Debug)]
pub(crate) struct FirstReadOnce(Mutex<Option<FirstRead>>);

impl FirstReadOnce {
    /// Makes it an extension of a request, and returns whether that is the first one.
    pub(crate) fn attach(&self, extensions: &mut Extensions) -> bool {
        let first_read = lock(&self.0).take();
        let is_first = first_read.is_some();
        if let Some(first_read) = first_read {
            extensions.insert(first_read);
        }
        is_first
    }
}

/// A connection that is to be served.
#[derive(Debug)]
pub(crate) struct TakenConnection {
    pub(crate) stream: TcpStream,
    /// When it came at the earliest.
    pub(crate) came_at: Instant,
    pub(crate) first_read: FirstReadOnce,
}

/// Listener for callers that refuses connections while the process is overloaded.
///
/// One connection is handed out in each turn of the event loop, so that work that has begun
/// goes before new work. While more wait than will be served in time, nothing listens: the
/// system resets connections that were not accepted and refuses new ones, which costs this
/// process nothing, however many there are.
#[derive(Debug)]
pub(crate) struct PacedListener {
    addr: SocketAddr,
    /// None while connections are refused.
    listener: Option<TcpListener>,
    /// Whether the event loop has not turned since the listener was opened, so that it does
    /// not know yet who waits there.
    is_fresh: bool,
    queue: ConnectionQueue<TcpStream>,
    load: CallerLoad,
    /// When no connection was left to accept, for the last time.
    drained_at: MonoTime,
    /// Until when nothing listens after an error, such as too few file descriptors.
    paused_until: MonoTime,
    /// How often the listener was closed.
    closings: u64,
    overload: Overload,
}

/// How connections were turned away since the start.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct TurnedAway {
    /// How often the listener was closed, which resets what was not accepted.
    pub(crate) closings: u64,
    /// Connections closed because they had waited for too long.
    pub(crate) expired: u64,
}

/// What is logged of an overload.
#[derive(Debug)]
struct Overload {
    /// Since when, and what had been turned away before.
    since: Option<(MonoTime, TurnedAway)>,
    log_limit: LogLimit,
}

impl PacedListener {
    /// Listens on an address.
    ///
    /// # Errors
    ///
    /// Fails if the address cannot be bound.
    pub(crate) async fn bind(addr: SocketAddr, load: CallerLoad) -> Result<Self, ListenError> {
        Ok(Self::new(bind(addr).await?, addr, load))
    }

    /// Wraps a listener on an address.
    pub(crate) fn new(listener: TcpListener, addr: SocketAddr, load: CallerLoad) -> Self {
        Self {
            addr,
            listener: Some(listener),
            is_fresh: false,
            queue: ConnectionQueue::default(),
            load,
            drained_at: MonoTime::ZERO,
            paused_until: MonoTime::ZERO,
            closings: 0,
            overload: Overload {
                since: None,
                log_limit: LogLimit::new(OVERLOAD_LOG_PERIOD),
            },
        }
    }

    /// Returns the next connection that is to be served.
    ///
    /// No connection is lost if the future is dropped.
    pub(crate) async fn accept(&mut self) -> TakenConnection {
        // Work that is ready goes before the next connection.
        yield_now().await;
        loop {
            let max_wait = self.load.max_wait();
            self.queue.set_max_wait(max_wait);
            self.load.link().set_max_wait(max_wait);
            self.accept_waiting().await;
            let taken = self.queue.pop(self.now());
            self.update_overload();
            if let Some((came, stream)) = taken {
                return TakenConnection {
                    stream,
                    came_at: self.load.0.start + came,
                    first_read: FirstReadOnce(Mutex::new(Some(self.load.begin_read()))),
                };
            }
            self.wait_for_connection().await;
        }
    }

    /// Returns how connections were turned away since the start.
    pub(crate) fn turned_away(&self) -> TurnedAway {
        TurnedAway {
            closings: self.closings,
            expired: self.queue.expired(),
        }
    }

    /// Accepts connections as long as they will be served in time, and refuses others.
    async fn accept_waiting(&mut self) {
        let now = self.now();
        while !self.is_full(now) {
            self.listen(now).await;
            let Some(listener) = &self.listener else {
                return;
            };
            let Some(accepted) = unconstrained(listener.accept()).now_or_never() else {
                if self.is_fresh {
                    self.is_fresh = false;
                    return;
                }
                self.drained_at = now;
                if self.queue.is_empty() {
                    self.queue.record_idle();
                }
                return;
            };
            self.add(accepted, self.drained_at);
        }
        if self.listener.take().is_some() {
            self.closings += 1;
        }
    }

    fn is_full(&mut self, now: MonoTime) -> bool {
        self.queue.is_full(now, &mut self.load.link())
    }

    /// Waits until a connection comes, or until the listener may be opened again.
    async fn wait_for_connection(&mut self) {
        match &self.listener {
            Some(listener) => {
                let accepted = listener.accept().await;
                self.drained_at = self.now();
                self.add(accepted, self.drained_at);
            }
            None if self.now() < self.paused_until => {
                sleep(self.paused_until.saturating_sub(self.now())).await;
            }
            None => {
                // Requests that take longer than callers wait stop counting by then.
                let max_wait = self.load.max_wait();
                let half_empty = self.load.link().half_empty_in(self.now());
                let room = self.load.0.room.notified();
                let wait = half_empty.map_or(max_wait, |wait| wait.min(max_wait));
                // At least a tick of the timer.
                let _ = timeout(wait.max(MIN_CLOSED), room).await;
            }
        }
    }

    fn add(&mut self, accepted: io::Result<(TcpStream, SocketAddr)>, came: MonoTime) {
        match accepted {
            Ok((stream, _)) => {
                set_nodelay(&stream);
                let now = self.now();
                self.load.link().record_accepted(now);
                self.queue.push(now, came, stream);
            }
            Err(e) if e.kind() == io::ErrorKind::ConnectionAborted => {}
            Err(e) => {
                log::warn!(error:% = e; "failed to accept a connection");
                self.pause();
            }
        }
    }

    /// Listens, unless it is too early after an error.
    async fn listen(&mut self, now: MonoTime) {
        if self.listener.is_some() || now < self.paused_until {
            return;
        }
        match bind(self.addr).await {
            Ok(listener) => {
                self.listener = Some(listener);
                self.is_fresh = true;
                self.drained_at = now;
            }
            Err(e) => {
                log::warn!(error:% = e; "failed to listen again");
                self.pause();
            }
        }
    }

    fn pause(&mut self) {
        self.listener = None;
        self.paused_until = self.now() + ACCEPT_RETRY_DELAY;
    }

    fn update_overload(&mut self) {
        let now = self.now();
        let is_overloaded = self.queue.is_standing(now);
        let shared = &self.load.0.is_overloaded;
        shared.store(is_overloaded, Ordering::Relaxed);
        let turned_away = self.turned_away();
        match self.overload.since {
            None if is_overloaded => {
                self.overload.since = Some((now, turned_away));
                if let Some(suppressed) = self.overload.log_limit.allow() {
                    log::warn!(
                        waiting = self.queue.len(), suppressed = suppressed,
                        max_wait_ms = self.load.max_wait().as_millis() as u64;
                        "overloaded"
                    );
                }
            }
            Some((since, before)) if !is_overloaded => {
                log::info!(
                    for_ms = now.saturating_sub(since).as_millis() as u64,
                    closings = turned_away.closings - before.closings,
                    expired = turned_away.expired - before.expired;
                    "no longer overloaded"
                );
                self.overload.since = None;
            }
            _ => {}
        }
    }

    fn now(&self) -> MonoTime {
        self.load.now()
    }
}
