//! The entry daemon: network and task layer around [`EntryCore`].
//!
//! Requests run on the runtime of the caller of [`Entry::start`]. The link to
//! other processes of the fleet, the ticks and the renewals of the configuration
//! lease run on a separate thread, so that they never wait behind request work.

mod announce;
mod background;
mod callers;
mod control_client;
mod driver;
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

pub use self::hub::unix_millis;
use self::{
    background::BackgroundWorker,
    callers::CallerServer,
    control_client::ControlClient,
    driver::DriverContext,
    hub::{
        BackgroundJob,
        Hub, //
    },
    notices::NoticeRecorder,
    peers::Peers,
    rating::RatingClient,
    token::TokenSigner, //
};
use crate::{
    http::client::Client,
    intake::Bodies,
    keys::{
        Credentials,
        KeyError, //
    },
    link::{
        Link,
        LinkError,
        PeerPool, //
    },
    listen::{
        self,
        paced::{
            CallerLoad, //
            PacedListener,
        },
    },
    metrics::{
        Metrics,
        MetricsError, //
    },
    settings::EntrySettings,
};

/// Maximum wait for requests in progress at a planned stop.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(600);

/// Maximum wait for records to be stored at a planned stop, after the last
/// request.
const RECORD_TIMEOUT: Duration = Duration::from_secs(20);

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
    /// The background thread cannot be started.
    #[error("cannot start a thread: {0}")]
    Thread(io::Error),
}

/// Addresses on which an entry listens.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EntryAddrs {
    /// HTTP requests of callers.
    pub callers: SocketAddr,
    /// Announcements of backend servers.
    pub announcements: SocketAddr,
    /// Link to other processes of the fleet.
    pub link: SocketAddr,
}

/// A running entry.
pub struct Entry {
    addrs: EntryAddrs,
    stopped: JoinHandle<()>,
    hub: Arc<Hub>,
}

impl Entry {
    /// Starts an entry that performs a planned stop when `stop` is cancelled.
    ///
    /// # Errors
    ///
    /// Fails if an address is in use or the keys or the secret cannot be read.
    pub async fn start(
        settings: EntrySettings,
        stop: CancellationToken,
    ) -> Result<Self, EntryError> {
        let creds = Credentials::load(&settings.keys)?;
        let secret = std::fs::read(&settings.session_secret).map_err(EntryError::Secret)?;
        Self::start_with_credentials(settings, &creds, &secret, stop).await
    }

    /// Starts an entry with credentials from memory.
    ///
    /// # Errors
    ///
    /// Fails if an address is in use.
    pub async fn start_with_credentials(
        settings: EntrySettings,
        creds: &Credentials,
        secret: &[u8],
        stop: CancellationToken,
    ) -> Result<Self, EntryError> {
        let callers_listener = bind(settings.listen.callers)?;
        let announce_listener = bind(settings.listen.announcements)?;
        let (hub, rx) = Hub::new(EntryCore::new(core_config(&settings)), Instant::now());
        let client = Client::new(settings.timings.connect_timeout)
            .with_max_idle(settings.limits.idle_per_server);
        let halt = CancellationToken::new();
        let drained = CancellationToken::new();
        let link = spawn_background_thread(
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
            .map(|addr| RatingClient::start(addr, client.clone(), Arc::clone(&hub), halt.clone()));
        let context = DriverContext {
            hub: Arc::clone(&hub),
            client,
            ratings,
            max_kept_bytes: settings.limits.answer_bytes,
            max_body_bytes: settings.limits.body_bytes,
            resume_timeout: settings.timings.probe_timeout,
        };
        let addrs = EntryAddrs {
            callers: bound_addr(&callers_listener, settings.listen.callers)?,
            announcements: bound_addr(&announce_listener, settings.listen.announcements)?,
            link,
        };
        let bodies = Bodies::new(settings.limits.held_body_bytes());
        let signer = TokenSigner::new(secret);
        let callers = CallerServer::new(context, signer, settings.limits.clone(), bodies.clone());
        tokio::spawn(announce::serve(
            announce_listener,
            Arc::clone(&hub),
            settings.announce_key_sha256.clone(),
            settings.limits.clone(),
            bodies,
            halt.clone(),
        ));
        let load = CallerLoad::default();
        let callers_listener = PacedListener::new(callers_listener, addrs.callers, load);
        let stopped = tokio::spawn(serve_until_stopped(
            callers,
            callers_listener,
            Arc::clone(&hub),
            settings.timings.drain_notice,
            StopSignals {
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

    /// Returns the addresses on which the entry listens.
    pub fn addrs(&self) -> EntryAddrs {
        self.addrs
    }

    /// Returns the configuration revision in force; 0 before the first.
    pub fn revision(&self) -> u64 {
        self.hub.with(|core| core.view().revision())
    }

    /// Returns the number of reachable backend servers.
    pub fn servers(&self) -> usize {
        self.hub.with(|core| core.servers().reachable().count())
    }

    /// Waits until a planned stop is complete.
    pub async fn stopped(self) {
        let _ = self.stopped.await;
    }
}

struct StopSignals {
    /// Starts the planned stop.
    stop: CancellationToken,
    /// Cancelled when every request has ended and is recorded.
    drained: CancellationToken,
    /// Stops all other tasks.
    halt: CancellationToken,
}

/// Serves callers until a planned stop. The stop first reports the entry as not
/// ready, so that the load balancer sends no more requests, then closes the
/// listener, then waits for the requests in progress and for their records.
async fn serve_until_stopped(
    callers: Arc<CallerServer>,
    listener: PacedListener,
    hub: Arc<Hub>,
    notice: Duration,
    stops: StopSignals,
) {
    let closing = CancellationToken::new();
    let serving = tokio::spawn(Arc::clone(&callers).serve(listener, closing.clone()));
    stops.stop.cancelled().await;
    log::info!("stop begins: not ready; accepting connections for another {notice:?}");
    callers.set_not_ready();
    sleep(notice).await;
    closing.cancel();
    let _ = tokio::time::timeout(DRAIN_TIMEOUT, serving).await;
    hub.handle_event(EntryEvent::Stop);
    let _ = tokio::time::timeout(RECORD_TIMEOUT, stops.drained.cancelled()).await;
    // Leaves time to send the last messages to the other entries and the
    // control group.
    sleep(Duration::from_millis(100)).await;
    stops.halt.cancel();
    log::info!("stopped");
}

/// Starts the thread that runs the link, the ticks and the background jobs; returns the link's address.
async fn spawn_background_thread(
    settings: &EntrySettings,
    creds: Credentials,
    hub: Arc<Hub>,
    rx: tokio::sync::mpsc::UnboundedReceiver<BackgroundJob>,
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
        let pool = PeerPool::new(Arc::clone(&link), rand::random());
        let worker = BackgroundWorker {
            hub: Arc::clone(&hub),
            peers: Peers::start(settings.domain.clone(), &settings.peers, &pool, &halt),
            control: Arc::new(ControlClient::new(pool, &settings.control)),
            client,
            notices: NoticeRecorder::new(metrics),
            drained,
        };
        let me = (settings.instance.clone(), settings.domain.clone());
        tokio::spawn(peers::serve(Arc::clone(&link), hub, me, halt.clone()));
        let _ = tx.send(Ok(addr));
        worker.run(rx, halt).await;
        link.close();
        link.wait_closed().await;
    };
    thread::Builder::new()
        .name("side".to_owned())
        .spawn(move || run_on_own_runtime(work))
        .map_err(EntryError::Thread)?;
    started
        .await
        .unwrap_or_else(|_| Err(EntryError::Thread(io::ErrorKind::Other.into())))
}

fn run_on_own_runtime(work: impl Future<Output = ()>) {
    match tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
    {
        Ok(runtime) => runtime.block_on(work),
        Err(e) => log::error!("cannot start the background runtime: {e}"),
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

fn bind(addr: SocketAddr) -> Result<TcpListener, EntryError> {
    listen::open(addr).map_err(|e| EntryError::Listen(addr, e))
}

fn bound_addr(listener: &TcpListener, wanted: SocketAddr) -> Result<SocketAddr, EntryError> {
    listener
        .local_addr()
        .map_err(|e| EntryError::Listen(wanted, e))
}
