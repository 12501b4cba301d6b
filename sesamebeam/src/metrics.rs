//! Metrics in StatsD form to a UDP address.
//!
//! Metrics go through a bounded queue to a thread with a socket that does not
//! block. What finds the queue full is dropped and counted.

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
    time::Duration,
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

/// Metrics that may wait to be sent.
const QUEUE: usize = 4096;

/// Time after which a metric is sent though its datagram is not full.
const FLUSH_EVERY: Duration = Duration::from_secs(1);

/// Prefix if the settings give none.
const PREFIX: &str = "sesamebeam";

/// Why metrics could not be started.
#[derive(Debug, Error)]
pub enum MetricsError {
    /// There is no socket or thread for them.
    #[error("cannot start metrics: {0}")]
    Io(#[from] io::Error),
    /// The address cannot be used.
    #[error("cannot send metrics: {0}")]
    Address(#[from] MetricError),
}

/// Something that is counted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Counter {
    /// Attempts at requests.
    Attempts,
    /// Tokens of prompts.
    PromptTokens,
    /// Generated tokens.
    CompletionTokens,
    /// Bad input that was ignored.
    Ignored,
    /// Versions held by this process's own test.
    Held,
    /// Backend servers that went out.
    ServersDown,
    /// Fingerprints quarantined.
    Quarantined,
    /// Changes accepted.
    Accepted,
    /// Orders to engines that failed.
    OrdersFailed,
}

/// Something that has a value at a time.
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
            Self::Ignored => "ignored",
            Self::Held => "versions.held",
            Self::ServersDown => "servers.down",
            Self::Quarantined => "quarantined",
            Self::Accepted => "changes.accepted",
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

/// Where a process sends its metrics.
#[derive(Clone)]
pub struct Metrics {
    client: Arc<StatsdClient>,
    dropped: Arc<AtomicU64>,
}

impl Metrics {
    /// Starts sending; without an address nothing is sent.
    ///
    /// `role` stands behind the prefix in every name, such as `entry`.
    ///
    /// # Errors
    ///
    /// Fails if there is no socket or thread.
    pub fn start(settings: &MetricsSettings, role: &str) -> Result<Self, MetricsError> {
        let Some(addr) = settings.addr else {
            return Ok(Self::off());
        };
        let socket = UdpSocket::bind(local(addr))?;
        socket.set_nonblocking(true)?;
        let sink = BufferedUdpMetricSink::from(addr, socket)?;
        let dropped = Arc::new(AtomicU64::new(0));
        let count = Arc::clone(&dropped);
        let prefix = match settings.prefix.as_str() {
            "" => PREFIX,
            prefix => prefix,
        };
        let client = StatsdClient::builder(
            &format!("{prefix}.{role}"),
            QueuingMetricSink::with_capacity(sink, QUEUE),
        )
        .with_error_handler(move |_| {
            count.fetch_add(1, Ordering::Relaxed);
        })
        .build();
        let client = Arc::new(client);
        flush_always(&client)?;
        Ok(Self { client, dropped })
    }

    /// Sends nothing.
    pub fn off() -> Self {
        Self {
            client: Arc::new(StatsdClient::from_sink(PREFIX, NopMetricSink)),
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

    /// Counts a request that ended, with its time, by class and outcome.
    pub fn ended(&self, ended: &Ended) {
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

    /// Returns the number of metrics dropped since the start.
    pub fn dropped(&self) -> u64 {
        self.dropped.load(Ordering::Relaxed)
    }
}

/// Returns an address to send from.
fn local(to: SocketAddr) -> SocketAddr {
    match to {
        SocketAddr::V4(_) => (Ipv4Addr::UNSPECIFIED, 0).into(),
        SocketAddr::V6(_) => (Ipv6Addr::UNSPECIFIED, 0).into(),
    }
}

/// Sends what waits for a full datagram, until the client is gone.
fn flush_always(client: &Arc<StatsdClient>) -> io::Result<()> {
    let client = Arc::downgrade(client);
    thread::Builder::new()
        .name("metrics".to_owned())
        .spawn(move || {
            loop {
                thread::sleep(FLUSH_EVERY);
                let Some(client) = client.upgrade() else {
                    return;
                };
                // A datagram that cannot be sent is lost, as any may be.
                let _ = client.flush();
            }
        })?;
    Ok(())
}
