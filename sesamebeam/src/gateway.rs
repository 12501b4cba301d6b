//! Daemon of an entry that proxies requests: connects the sans-I/O
//! [`Router`](sesamebeam_core::gateway::router::Router) to sockets and timers.

mod admission;
mod control_connections;
mod crash_check;
mod dispatch;
mod event_splitter;
mod forwarding;
mod hop_by_hop;
mod in_flight;
mod listener;
mod moving;
mod probes;
mod protocol;
mod response;
mod retries;
mod send;
mod slot_queue;
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

use rand::RngExt;
use sesamebeam_core::{
    gateway::router::{
        Choice,
        Plan,
        Router,
        RouterConfig, //
    },
    ids::MonoTime,
    policy::round_trips::CONNECT_TIMEOUT, //
};
use smol_str::SmolStr;
use tokio::{
    sync::{
        Notify,
        Semaphore,
        watch, //
    },
    time::sleep,
};
use tokio_util::sync::CancellationToken;

pub use self::protocol::{
    EntryProtocol,
    RequestHeadError, //
};
use crate::{
    exposition::Exposition,
    http::client::Client,
    intake::{
        Bodies,
        Resources, //
    },
    listen::{
        ListenError,
        paced::CallerLoad, //
    },
};

/// How long after the first configuration new requests are assumed to have waited for it.
const STARTUP_WINDOW: Duration = Duration::from_millis(50);

/// Interval of an entry's signs of life, by which it notices that it stood still.
const ALIVE_INTERVAL: Duration = Duration::from_millis(50);

/// Settings of an entry.
#[derive(Clone, Debug)]
pub struct GatewaySettings {
    /// Name of the entry in logs.
    pub name: SmolStr,
    /// Listen address for callers.
    pub caller_addr: SocketAddr,
    /// Listen address for the load balancer's readiness checks.
    pub readiness_addr: SocketAddr,
    /// Listen address for requests of other entries; none if the entry serves none.
    pub forwarding_addr: Option<SocketAddr>,
    /// Port on which control replicas accept connections from entries.
    pub control_port: u16,
    /// Time between the termination signal and the forced kill.
    pub shutdown_grace: Duration,
    /// Memory and descriptors of the instance.
    pub resources: Resources,
    /// Configuration of the router.
    pub router: RouterConfig,
}

/// State shared by all tasks of an entry.
pub struct Gateway {
    settings: GatewaySettings,
    protocol: Arc<dyn EntryProtocol>,
    router: Mutex<Router>,
    client: Client,
    /// Secret that authorizes requests of other entries.
    forwarding_key: u128,
    /// Where requests of other entries are accepted.
    forwarding_addr: OnceLock<SocketAddr>,
    /// Permits to serve requests of other entries.
    accepted: Arc<Semaphore>,
    metrics: Arc<Exposition>,
    /// Bodies of requests.
    bodies: Bodies,
    /// How callers load this entry.
    caller_load: CallerLoad,
    start: Instant,
    /// Notified when a configuration or announcements of backend servers are received.
    state_changed: Notify,
    /// Notified when a slot of a leased backend server may have become free.
    slot_freed: Notify,
    /// When the first configuration was applied.
    first_config_at: OnceLock<Instant>,
    /// Cancelled when shutdown is requested.
    stopping: CancellationToken,
    /// Cancelled during shutdown when idle connections are closed.
    closing_idle: CancellationToken,
    /// Cancelled shortly before the process exits: requests that have no answer yet get one.
    ending: CancellationToken,
    /// When that happens, once shutdown is requested.
    answer_by: OnceLock<Instant>,
}

impl Gateway {
    /// Returns the time since the entry started.
    fn now(&self) -> MonoTime {
        self.start.elapsed()
    }

    fn router(&self) -> MutexGuard<'_, Router> {
        self.router.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns whether the first configuration was applied so recently that all requests
    /// waiting for it are released at the same moment.
    fn has_just_started(&self) -> bool {
        let applied = self.first_config_at.get();
        applied.is_some_and(|at| at.elapsed() < STARTUP_WINDOW)
    }

    /// Returns the time in which answers must end, if shutdown was requested.
    fn time_to_answer(&self) -> Option<Duration> {
        let answer_by = self.answer_by.get()?;
        Some(answer_by.saturating_duration_since(Instant::now()))
    }

    /// Returns whether a new request would outlast this process, given its deadline.
    fn outlasts_shutdown(&self, plan: &Plan, deadline: Instant) -> bool {
        let Some(time) = self.time_to_answer() else {
            return false;
        };
        if plan.route.streaming {
            return self.closing_idle.is_cancelled();
        }
        let deadline = deadline.saturating_duration_since(Instant::now());
        !self.router().ends_within(time, plan, deadline)
    }

    /// Returns whether a send is expected to outlast this process.
    fn send_outlasts_shutdown(&self, choice: &Choice) -> bool {
        let time = self.time_to_answer();
        let forecast = choice.forecast;
        time.zip(forecast)
            .is_some_and(|(time, forecast)| forecast.completion > time)
    }

    /// Returns whether the load balancer may send new callers to this entry.
    fn is_ready(&self) -> bool {
        !self.stopping.is_cancelled() && self.router().table().is_some()
    }
}

/// Gives signs of life until cancelled.
async fn record_alive(gateway: Arc<Gateway>, halt: CancellationToken) {
    while halt
        .run_until_cancelled(sleep(ALIVE_INTERVAL))
        .await
        .is_some()
    {
        gateway.router().record_alive(gateway.now());
    }
}

/// Runs an entry until shutdown is requested and its requests have ended, or the grace
/// period is nearly over.
///
/// # Errors
///
/// Returns an error if a listen address cannot be bound.
pub async fn run(
    settings: GatewaySettings,
    protocol: Arc<dyn EntryProtocol>,
    seeds: watch::Receiver<Vec<SocketAddr>>,
    metrics: Arc<Exposition>,
    stopping: CancellationToken,
) -> Result<(), ListenError> {
    let gateway = Arc::new(Gateway {
        router: Mutex::new(Router::new(settings.router.clone())),
        client: Client::new(CONNECT_TIMEOUT).with_connect_times(metrics.server_connect_times()),
        forwarding_key: rand::rng().random(),
        forwarding_addr: OnceLock::new(),
        accepted: Arc::new(Semaphore::new(forwarding::MAX_ACCEPTED)),
        bodies: Bodies::new(settings.resources.body_bytes()),
        caller_load: CallerLoad::default(),
        start: Instant::now(),
        settings,
        protocol,
        metrics,
        state_changed: Notify::new(),
        slot_freed: Notify::new(),
        first_config_at: OnceLock::new(),
        stopping,
        closing_idle: CancellationToken::new(),
        ending: CancellationToken::new(),
        answer_by: OnceLock::new(),
    });
    let halt = CancellationToken::new();
    tokio::spawn(control_connections::run(
        Arc::clone(&gateway),
        seeds,
        halt.clone(),
    ));
    tokio::spawn(probes::run(Arc::clone(&gateway), halt.clone()));
    tokio::spawn(crash_check::run(Arc::clone(&gateway), halt.clone()));
    tokio::spawn(record_alive(Arc::clone(&gateway), halt.clone()));
    let result = listener::run(gateway, halt.clone()).await;
    halt.cancel();
    result
}
