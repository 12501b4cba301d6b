//! The daemon of an entry that passes requests through: edges round
//! [`Router`](sesamebeam_core::gateway::router::Router).

mod answer;
mod arrival;
mod attempt;
mod events;
mod feed;
mod flight;
mod front;
mod head;
mod protocol;
mod send;
mod stream;

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        Mutex,
        MutexGuard,
        OnceLock,
        PoisonError, //
    },
    time::{
        Duration,
        Instant, //
    },
};

use sesamebeam_core::{
    gateway::router::{
        Router,
        RouterConfig, //
    },
    ids::MonoTime,
};
use smol_str::SmolStr;
use tokio::sync::{
    Notify,
    watch, //
};
use tokio_util::sync::CancellationToken;

pub use self::protocol::{
    EntryProtocol,
    HeadFault, //
};
use crate::{
    exposition::Exposition,
    http::client::Client,
    listen::ListenError, //
};

/// Longest wait for a connection to a backend server: many round trips within a
/// region. One that is dark does not answer at all, and a packet that is lost on the
/// way is repeated only after a second. Bookings are on time for 0.1 to 0.3 s.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);

/// Time after an entry has learned its first configuration for which callers are
/// taken to have waited for it.
const JUST_STARTED: Duration = Duration::from_millis(50);

/// Settings of an entry.
#[derive(Clone, Debug)]
pub struct GatewaySettings {
    /// Name for logs.
    pub name: SmolStr,
    /// Where callers connect.
    pub front: SocketAddr,
    /// Where the balancer asks whether this entry takes callers.
    pub ready: SocketAddr,
    /// Port at which control replicas listen for entries.
    pub feed_port: u16,
    /// Time between the signal to stop and the kill.
    pub grace: Duration,
    /// Settings of the router.
    pub router: RouterConfig,
}

/// What all tasks of an entry share.
pub struct Gateway {
    settings: GatewaySettings,
    protocol: Arc<dyn EntryProtocol>,
    router: Mutex<Router>,
    client: Client,
    meters: Arc<Exposition>,
    start: Instant,
    /// Tells that a configuration or backend servers were learned.
    learned: Notify,
    /// When the first configuration was learned.
    first_config: OnceLock<Instant>,
    /// Cancelled when a stop was asked for.
    stopping: CancellationToken,
    /// Cancelled when idle connections are closed during a stop.
    closing: CancellationToken,
    /// Cancelled when the end is so near that no request is taken any more.
    ending: CancellationToken,
}

impl Gateway {
    /// Returns the time since the start.
    fn now(&self) -> MonoTime {
        self.start.elapsed()
    }

    fn router(&self) -> MutexGuard<'_, Router> {
        self.router.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns whether the first configuration was learned just now, so that callers
    /// that have waited for it are let go together.
    fn has_just_started(&self) -> bool {
        let first = self.first_config.get();
        first.is_some_and(|at| at.elapsed() < JUST_STARTED)
    }

    /// Returns whether a stop is so far that a request would be cut off by it.
    fn is_too_late_for(&self, streaming: bool) -> bool {
        self.ending.is_cancelled() || streaming && self.closing.is_cancelled()
    }

    /// Returns whether new callers may be sent here.
    fn is_ready(&self) -> bool {
        !self.stopping.is_cancelled() && self.router().table().is_some()
    }
}

/// Runs an entry until it is asked to stop and its requests have ended, or the
/// grace period is nearly over.
///
/// # Errors
///
/// Fails if an address cannot be used.
pub async fn run(
    settings: GatewaySettings,
    protocol: Arc<dyn EntryProtocol>,
    seeds: watch::Receiver<Vec<SocketAddr>>,
    meters: Arc<Exposition>,
    stopping: CancellationToken,
) -> Result<(), ListenError> {
    let gateway = Arc::new(Gateway {
        router: Mutex::new(Router::new(settings.router.clone())),
        client: Client::new(CONNECT_TIMEOUT),
        start: Instant::now(),
        settings,
        protocol,
        meters,
        learned: Notify::new(),
        first_config: OnceLock::new(),
        stopping,
        closing: CancellationToken::new(),
        ending: CancellationToken::new(),
    });
    let halt = CancellationToken::new();
    tokio::spawn(feed::run(Arc::clone(&gateway), seeds, halt.clone()));
    let ended = front::run(gateway, halt.clone()).await;
    halt.cancel();
    ended
}
