//! The entry daemon: edges round [`EntryCore`].
//!
//! Requests run on the runtime of the caller of [`Entry::start`]. The link to
//! our own processes, the ticks and the renewals of the configuration lease run
//! on a thread of their own, so that they never wait behind request work.

mod announce;
mod asks;
mod callers;
mod driver;
mod errands;
mod hub;
mod notices;
mod parse;
mod peers;
mod rating;
mod token;
mod upstream;

use std::{
    io,
    net::SocketAddr,
    sync::Arc,
    thread, //
    time::{
        Duration,
        Instant, //
    },
};

pub use self::hub::unix_millis;
use sesamebeam_core::entry::{
    EntryConfig,
    EntryCore,
    event::EntryEvent, //
};
use thiserror::Error;
use tokio::{
    net::TcpListener,
    sync::oneshot,
    task::JoinHandle,
    time::sleep, //
};
use tokio_util::sync::CancellationToken;

use self::{
    asks::Asks,
    callers::Callers,
    driver::Tools,
    errands::Errands,
    hub::{
        Errand,
        Hub, //
    },
    notices::Notices,
    peers::Peers,
    rating::Ratings,
    token::TokenSigner, //
};
use crate::{
    http::client::Client,
    keys::{
        Credentials,
        KeyError, //
    },
    link::{
        Link,
        LinkError,
        Pool, //
    },
    metrics::{
        Metrics,
        MetricsError, //
    },
    settings::EntrySettings,
};

/// Longest wait for requests under way at a planned stop.
const STOP_LIMIT: Duration = Duration::from_secs(600);

/// Longest wait for records at a planned stop, after the last request.
const RECORD_LIMIT: Duration = Duration::from_secs(20);

/// Why an entry could not start.
#[derive(Debug, Error)]
pub enum EntryError {
    /// An address cannot be listened on.
    #[error("cannot listen on {0}: {1}")]
    Listen(SocketAddr, io::Error),
    /// The keys cannot be read.
    #[error(transparent)]
    Keys(#[from] KeyError),
    /// The link cannot be opened.
    #[error(transparent)]
    Link(#[from] LinkError),
    /// Metrics cannot be sent.
    #[error(transparent)]
    Metrics(#[from] MetricsError),
    /// The session secret cannot be read.
    #[error("cannot read the session secret: {0}")]
    Secret(io::Error),
    /// The side thread cannot be started.
    #[error("cannot start a thread: {0}")]
    Thread(io::Error),
}

/// Addresses that an entry got.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EntryAddrs {
    /// Callers' HTTP.
    pub callers: SocketAddr,
    /// Announcements.
    pub announcements: SocketAddr,
    /// Link to our own processes.
    pub link: SocketAddr,
}

/// A running entry.
pub struct Entry {
    addrs: EntryAddrs,
    stopped: JoinHandle<()>,
    hub: Arc<Hub>,
}

impl Entry {
    /// Starts an entry that stops as planned when `stop` is cancelled.
    ///
    /// # Errors
    ///
    /// Fails if an address is taken or keys or secret cannot be read.
    pub async fn start(
        settings: EntrySettings,
        stop: CancellationToken,
    ) -> Result<Self, EntryError> {
        let creds = Credentials::load(&settings.keys)?;
        let secret = std::fs::read(&settings.session_secret).map_err(EntryError::Secret)?;
        Self::start_with(settings, &creds, &secret, stop).await
    }

    /// Starts an entry with credentials from memory.
    ///
    /// # Errors
    ///
    /// Fails if an address is taken.
    pub async fn start_with(
        settings: EntrySettings,
        creds: &Credentials,
        secret: &[u8],
        stop: CancellationToken,
    ) -> Result<Self, EntryError> {
        let callers_listener = listen(settings.listen.callers).await?;
        let announce_listener = listen(settings.listen.announcements).await?;
        let (hub, rx) = Hub::new(EntryCore::new(core_config(&settings)), Instant::now());
        let client = Client::new(settings.timings.connect_timeout)
            .with_max_idle(settings.limits.idle_per_server);
        let halt = CancellationToken::new();
        let drained = CancellationToken::new();
        let link = start_side(
            &settings,
            creds.clone(),
            Arc::clone(&hub),
            rx,
            client.clone(),
            (drained.clone(), halt.clone()),
        )
        .await?;
        let ratings = settings
            .rating
            .map(|addr| Ratings::start(addr, client.clone(), Arc::clone(&hub), halt.clone()));
        let tools = Tools {
            hub: Arc::clone(&hub),
            client,
            ratings,
            keep: settings.limits.answer_bytes,
            max_body: settings.limits.body_bytes,
            probe: settings.timings.probe_timeout,
        };
        let addrs = EntryAddrs {
            callers: local(&callers_listener, settings.listen.callers)?,
            announcements: local(&announce_listener, settings.listen.announcements)?,
            link,
        };
        let callers = Callers::new(tools, TokenSigner::new(secret), settings.limits.clone());
        tokio::spawn(announce::serve(
            announce_listener,
            Arc::clone(&hub),
            settings.announce_key_sha256.clone(),
            settings.limits.clone(),
            halt.clone(),
        ));
        let stopped = tokio::spawn(serve_until_stopped(
            callers,
            callers_listener,
            Arc::clone(&hub),
            settings.timings.drain_notice,
            Stops {
                stop,
                drained,
                halt,
            },
        ));
        Ok(Self {
            addrs,
            stopped,
            hub,
        })
    }

    /// Addresses that the entry got.
    pub fn addrs(&self) -> EntryAddrs {
        self.addrs
    }

    /// Revision in force; 0 before the first.
    pub fn revision(&self) -> u64 {
        self.hub.with(|core| core.view().revision())
    }

    /// Backend servers known here.
    pub fn servers(&self) -> usize {
        self.hub.with(|core| core.servers().reachable().count())
    }

    /// Waits until a planned stop is over.
    pub async fn stopped(self) {
        let _ = self.stopped.await;
    }
}

struct Stops {
    /// Begins the planned stop.
    stop: CancellationToken,
    /// Every request has ended and is recorded.
    drained: CancellationToken,
    /// Ends everything else.
    halt: CancellationToken,
}

/// Serves callers; at a stop first tells the balancer, then refuses new
/// requests, then waits for those under way and for their records.
async fn serve_until_stopped(
    callers: Arc<Callers>,
    listener: TcpListener,
    hub: Arc<Hub>,
    notice: Duration,
    stops: Stops,
) {
    let closing = CancellationToken::new();
    let serving = tokio::spawn(Arc::clone(&callers).serve(listener, closing.clone()));
    stops.stop.cancelled().await;
    log::info!("stop begins: not ready, serving on for {notice:?}");
    callers.leave();
    sleep(notice).await;
    closing.cancel();
    let _ = tokio::time::timeout(STOP_LIMIT, serving).await;
    hub.event(EntryEvent::Stop);
    let _ = tokio::time::timeout(RECORD_LIMIT, stops.drained.cancelled()).await;
    // The messages to the other entries and the control group go out.
    sleep(Duration::from_millis(100)).await;
    stops.halt.cancel();
    log::info!("stopped");
}

/// Starts the thread for link, ticks and errands; returns the link's address.
async fn start_side(
    settings: &EntrySettings,
    creds: Credentials,
    hub: Arc<Hub>,
    rx: tokio::sync::mpsc::UnboundedReceiver<Errand>,
    client: Client,
    (drained, halt): (CancellationToken, CancellationToken),
) -> Result<SocketAddr, EntryError> {
    let (tx, started) = oneshot::channel();
    let settings = settings.clone();
    let metrics = Metrics::start(&settings.metrics, "entry")?;
    let work = async move {
        let link = match Link::bind(settings.listen.link, &creds) {
            Ok(link) => Arc::new(link),
            Err(e) => return drop(tx.send(Err(EntryError::Link(e)))),
        };
        let addr = link.local_addr().unwrap_or(settings.listen.link);
        let pool = Pool::new(Arc::clone(&link), rand::random());
        let errands = Errands {
            hub: Arc::clone(&hub),
            peers: Peers::start(settings.domain.clone(), &settings.peers, &pool, &halt),
            asks: Arc::new(Asks::new(pool, &settings.control)),
            client,
            notices: Notices::new(metrics),
            drained,
        };
        let me = (settings.instance.clone(), settings.domain.clone());
        tokio::spawn(peers::serve(Arc::clone(&link), hub, me, halt.clone()));
        let _ = tx.send(Ok(addr));
        errands.run(rx, halt).await;
        link.close();
        link.wait_closed().await;
    };
    thread::Builder::new()
        .name("side".to_owned())
        .spawn(move || run_side(work))
        .map_err(EntryError::Thread)?;
    started
        .await
        .unwrap_or_else(|_| Err(EntryError::Thread(io::ErrorKind::Other.into())))
}

fn run_side(work: impl Future<Output = ()>) {
    match tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
    {
        Ok(runtime) => runtime.block_on(work),
        Err(e) => log::error!("cannot start the side runtime: {e}"),
    }
}

fn core_config(settings: &EntrySettings) -> EntryConfig {
    let incarnation = rand::random::<u64>().max(1);
    let mut cfg = EntryConfig::new(
        settings.instance.clone(),
        settings.domain.clone(),
        incarnation,
    );
    let timings = &settings.timings;
    cfg.renew_pause = timings.renew_pause;
    cfg.max_in_flight = settings.limits.in_flight;
    cfg.dispatch_window = timings.claim_window;
    cfg.claim_timeout = timings.control_timeout;
    cfg.progress_timeout = timings.progress_timeout;
    cfg.evidence_every = timings.evidence_every;
    cfg.alive_every = timings.spread_every;
    cfg.explained = settings.limits.explained;
    cfg.has_rater = settings.rating.is_some();
    cfg.policy.servers.lease = timings.server_lease;
    cfg.policy.admission.max_queue_len = settings.limits.queued.max(1);
    cfg
}

async fn listen(addr: SocketAddr) -> Result<TcpListener, EntryError> {
    TcpListener::bind(addr)
        .await
        .map_err(|e| EntryError::Listen(addr, e))
}

fn local(listener: &TcpListener, wanted: SocketAddr) -> Result<SocketAddr, EntryError> {
    listener
        .local_addr()
        .map_err(|e| EntryError::Listen(wanted, e))
}
