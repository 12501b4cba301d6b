//! Metrics in StatsD format over UDP.
//!
//! Metrics pass through a bounded queue to a thread with a non-blocking socket.
//! A metric that finds the queue full is dropped and counted.

use std::{
    io,
    net::{
        Ipv4Addr,
        Ipv6Addr,
        SocketAddr,
        UdpSocket, //
    },
    sync::{
        Arc,
        atomic::{
            AtomicU64,
            Ordering, //
        },
    },
    thread,
    time::Duration, //
};

use cadence::{
    BufferedUdpMetricSink,
    Counted,
    Gauged,
    MetricError,
    NopMetricSink,
    QueuingMetricSink,
    StatsdClient,
    Timed, //
};
use sesamebeam_core::entry::event::Ended;
use thiserror::Error;

use crate::settings::MetricsSettings;

/// Maximum number of queued metrics.
const QUEUE_CAPACITY: usize = 4096;

/// Interval at which datagrams that are not yet full are sent.
const FLUSH_INTERVAL: Duration = Duration::from_secs(1);

/// Metric name prefix if the settings have none.
const DEFAULT_PREFIX: &str = "sesamebeam";

/// Error when starting the metrics client.
#[derive(Debug, Error)]
pub enum MetricsError {
    /// The socket or thread cannot be created.
    #[error("cannot start metrics: {0}")]
    Io(#[from] io::Error),
    /// The address cannot be used.
    #[error("cannot send metrics: {0}")]
    Address(#[from] MetricError),
}

/// Counter metric.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Counter {
    /// Attempts to run a request.
    Attempts,
    /// Prompt tokens.
    PromptTokens,
    /// Generated tokens.
    CompletionTokens,
    /// Invalid inputs that were ignored.
    InvalidInputs,
    /// Versions that this process held because of its own evidence.
    VersionsHeld,
    /// Backend servers that went down.
    ServersDown,
    /// Quarantined fingerprints.
    Quarantined,
    /// Accepted changes.
    ChangesAccepted,
    /// Failed orders to engines.
    OrdersFailed,
}

/// Gauge metric.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Gauge {
    /// Revision in force.
    Revision,
    /// 1 while the configuration lease is held, else 0.
    Lease,
    /// 1 while this replica leads, else 0.
    Leader,
}

impl Counter {
    fn name(self) -> &'static str {
        match self {
            Self::Attempts => "attempts",
            Self::PromptTokens => "tokens.prompt",
            Self::CompletionTokens => "tokens.completion",
            Self::InvalidInputs => "ignored",
            Self::VersionsHeld => "versions.held",
            Self::ServersDown => "servers.down",
            Self::Quarantined => "quarantined",
            Self::ChangesAccepted => "changes.accepted",
            Self::OrdersFailed => "orders.failed",
        }
    }
}

impl Gauge {
    fn name(self) -> &'static str {
        match self {
            Self::Revision => "revision",
            Self::Lease => "lease",
            Self::Leader => "leader",
        }
    }
}

/// StatsD client of a process.
#[derive(Clone)]
pub struct Metrics {
    client: Arc<StatsdClient>,
    dropped: Arc<AtomicU64>,
}

impl Metrics {
    /// Starts the client. Without an address in the settings nothing is sent.
    ///
    /// `role`, such as `entry`, follows the prefix in every metric name.
    ///
    /// # Errors
    ///
    /// Fails if the socket or thread cannot be created, or the address cannot be used.
    pub fn start(settings: &MetricsSettings, role: &str) -> Result<Self, MetricsError> {
        let Some(addr) = settings.addr else {
            return Ok(Self::disabled());
        };
        let socket = UdpSocket::bind(local_addr_for(addr))?;
        socket.set_nonblocking(true)?;
        let sink = BufferedUdpMetricSink::from(addr, socket)?;
        let dropped = Arc::new(AtomicU64::new(0));
        let dropped_count = Arc::clone(&dropped);
        let prefix = match settings.prefix.as_str() {
            "" => DEFAULT_PREFIX,
            prefix => prefix,
        };
        let client = StatsdClient::builder(
            &format!("{prefix}.{role}"),
            QueuingMetricSink::with_capacity(sink, QUEUE_CAPACITY),
        )
        .with_error_handler(move |_| {
            dropped_count.fetch_add(1, Ordering::Relaxed);
        })
        .build();
        let client = Arc::new(client);
        spawn_flush_thread(&client)?;
        Ok(Self { client, dropped })
    }

    /// Creates a client that sends nothing.
    pub fn disabled() -> Self {
        Self {
            client: Arc::new(StatsdClient::from_sink(DEFAULT_PREFIX, NopMetricSink)),
            dropped: Arc::default(),
        }
    }

    /// Adds to a counter.
    pub fn count(&self, counter: Counter, n: u64) {
        if n > 0 {
            self.client.count_with_tags(counter.name(), n).send();
        }
    }

    /// Sets a gauge.
    pub fn gauge(&self, gauge: Gauge, value: u64) {
        self.client.gauge_with_tags(gauge.name(), value).send();
    }

    /// Records a finished request by organisation, class and outcome, and the duration of a
    /// complete one.
    pub fn record_request(&self, ended: &Ended) {
        let outcome = match &ended.refusal {
            None if ended.whole => "whole",
            None => "cut",
            Some(refusal) => refusal.outcome.name(),
        };
        self.client
            .count_with_tags("requests", 1)
            .with_tag("organisation", &ended.org)
            .with_tag("class", &ended.class)
            .with_tag("outcome", outcome)
            .send();
        if ended.whole {
            self.client
                .time_with_tags("request", ended.took)
                .with_tag("class", &ended.class)
                .send();
        }
        self.count(Counter::Attempts, ended.attempts.into());
        self.count(Counter::PromptTokens, ended.usage.prompt_tokens.into());
        self.count(
            Counter::CompletionTokens,
            ended.usage.completion_tokens.into(),
        );
    }

    /// Returns the number of metrics dropped since the client was started.
    pub fn dropped(&self) -> u64 {
        self.dropped.load(Ordering::Relaxed)
    }
}

/// Returns the local address to bind for sending to `to`.
fn local_addr_for(to: SocketAddr) -> SocketAddr {
    match to {
        SocketAddr::V4(_) => (Ipv4Addr::UNSPECIFIED, 0).into(),
        SocketAddr::V6(_) => (Ipv6Addr::UNSPECIFIED, 0).into(),
    }
}

/// Spawns a thread that flushes partly filled datagrams until the client is dropped.
fn spawn_flush_thread(client: &Arc<StatsdClient>) -> io::Result<()> {
    let client = Arc::downgrade(client);
    thread::Builder::new()
        .name("metrics".to_owned())
        .spawn(move || {
            loop {
                thread::sleep(FLUSH_INTERVAL);
                let Some(client) = client.upgrade() else {
                    return;
                };
                // A datagram that cannot be sent is lost, as any UDP datagram may be.
                let _ = client.flush();
            }
        })?;
    Ok(())
}
