//! Counters, gauges and latency histograms in the OpenMetrics text format.
//!
//! For platforms that scrape metrics over HTTP; [`metrics`](crate::metrics) sends
//! them in StatsD format.

use std::{
    convert::Infallible,
    net::SocketAddr,
    sync::Arc,
    time::Duration, //
};

use bytes::Bytes;
use http_body_util::Full;
use hyper::{
    Request,
    Response,
    StatusCode,
    body::Incoming,
    header::{
        CONTENT_TYPE,
        HeaderValue, //
    },
    service::service_fn, //
};
use hyper_util::rt::TokioIo;
use prometheus_client::{
    encoding::{
        EncodeLabelSet,
        EncodeLabelValue,
        text::encode, //
    },
    metrics::{
        counter::Counter,
        family::Family,
        gauge::Gauge,
        histogram::{
            Histogram,
            exponential_buckets, //
        },
    },
    registry::Registry,
};
use sesamebeam_core::gateway::engines::escalation::Step;
use tokio_util::sync::CancellationToken;

use crate::{
    intake::{
        Connections,
        Resources, //
    },
    listen::{
        self,
        ListenError, //
    },
};

/// Content type of the text format.
const OPENMETRICS_CONTENT_TYPE: &str = "application/openmetrics-text; version=1.0.0; charset=utf-8";

/// Upper bound of the first histogram bucket in seconds: a round trip.
const FIRST_BUCKET_BOUND: f64 = 0.001;

/// Number of histogram buckets. Each bound is twice the one before, up to half a
/// minute, the longest that callers wait.
const BUCKET_COUNT: u16 = 16;

/// Outcome of a request as its caller sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, EncodeLabelValue)]
pub enum RequestEnd {
    /// The caller received a complete response of a backend server, with any status.
    Answered,
    /// The caller received every event of a stream.
    StreamComplete,
    /// The stream ended before its last event.
    StreamBroken,
    /// The caller disconnected.
    Left,
    /// The request was rejected without being run.
    Refused,
    /// The request may have been run but has no response.
    Unknown,
}

/// What became of a request that an entry offered to another one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, EncodeLabelValue)]
pub enum ForwardingEnd {
    /// The other entry answered.
    Answered,
    /// It declined the request.
    Declined,
    /// It could not be reached.
    Unreachable,
    /// The connection failed; the request may have run.
    Lost,
}

/// Outcome of one send of a request to a backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, EncodeLabelValue)]
pub enum SendEnd {
    /// The backend server sent a complete response.
    Good,
    /// The send failed, or the response was truncated.
    Failed,
    /// The backend server rejected the request without running it.
    Refused,
    /// The backend server could not be reached.
    Unreachable,
    /// The send was abandoned for a reason unrelated to the backend server.
    Dropped,
}

/// Why a request is sent again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, EncodeLabelValue)]
pub enum RetryReason {
    /// The backend server rejected the request without running it.
    Refused,
    /// It answered with a failure.
    Failed,
    /// The connection failed, or the answer was broken or another request's.
    BrokenOff,
    /// It did not answer in time.
    Silent,
    /// A larger model is asked.
    LargerModel,
    /// The request moves to another engine.
    Moved,
    /// The stream goes on after its last complete event.
    Resumed,
    /// It is sent by more than one entry.
    Forwarded,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct RetryLabels {
    reason: RetryReason,
    allowed: bool,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct RequestLabels {
    end: RequestEnd,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct ForwardingLabels {
    end: ForwardingEnd,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct AcceptedLabels {
    accepted: bool,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct SendLabels {
    end: SendEnd,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct CrashCheckLabels {
    finding: &'static str,
}

/// Direction of a message between a control replica and an entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, EncodeLabelValue)]
pub enum MessageDirection {
    /// From a control replica to entries.
    ToEntries,
    /// From an entry to a control replica.
    ToControl,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct MessageLabels {
    way: MessageDirection,
    kind: &'static str,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct EscalationLabels {
    step: &'static str,
}

/// Gauge of a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GaugeKind {
    /// Version of the configuration that is in force, or committed.
    ConfigVersion,
    /// Whether new callers are accepted.
    Ready,
    /// Whether this replica is the leader.
    IsLeader,
    /// Number of voters that the group of this leader can lose and still commit.
    SpareVoters,
    /// Number of connected entries.
    ConnectedEntries,
    /// Number of evacuated failure domains.
    EvacuatedDomains,
    /// Number of backend servers that announce a concurrency limit.
    LimitedServers,
    /// Number of backend servers that asked for a pause or are shutting down.
    BackedOffServers,
    /// Number of backend servers that are leased to this entry.
    LeasedServers,
    /// Number of services none of whose backend servers this entry reaches.
    IsolatedServices,
    /// Number of prompt parts, or of sets of them, that are refused.
    FatalParts,
    /// Whether any service is scheduled by engine time.
    EngineTime,
    /// Number of organisations that use more than their share of engine time.
    OrganisationsAhead,
    /// Delay of the latest event loop tick in milliseconds.
    LoopDelay,
}

/// The metrics of one process.
#[derive(Debug)]
pub struct Exposition {
    registry: Registry,
    requests: Family<RequestLabels, Counter>,
    sends: Family<SendLabels, Counter>,
    crash_checks: Family<CrashCheckLabels, Counter>,
    retries: Family<RetryLabels, Counter>,
    given_up: Histogram,
    moves: Counter,
    forwardings: Family<ForwardingLabels, Counter>,
    accepted: Family<AcceptedLabels, Counter>,
    messages: Family<MessageLabels, Counter>,
    message_bytes: Family<MessageLabels, Counter>,
    escalations: Family<EscalationLabels, Counter>,
    connections: Counter,
    connection_wait: Histogram,
    first_read: Histogram,
    server_connect: Histogram,
    listener_closings: Counter,
    expired_connections: Counter,
    first_byte: Histogram,
    request_duration: Histogram,
    config: Gauge,
    ready: Gauge,
    leads: Gauge,
    spare_voters: Gauge,
    entries: Gauge,
    evacuated: Gauge,
    limited: Gauge,
    backed_off: Gauge,
    leased: Gauge,
    isolated: Gauge,
    engine_time: Gauge,
    forecast_error: Histogram,
    organisations_ahead: Gauge,
    engine_refusals: Counter,
    quarantine_refusals: Counter,
    slot_refusals: Counter,
    fatal_parts: Gauge,
    loop_delay: Gauge,
}

impl Default for Exposition {
    fn default() -> Self {
        let histogram =
            || Histogram::new(exponential_buckets(FIRST_BUCKET_BOUND, 2.0, BUCKET_COUNT));
        let mut exposition = Self {
            registry: Registry::with_prefix("sesamebeam"),
            requests: Family::default(),
            sends: Family::default(),
            crash_checks: Family::default(),
            retries: Family::default(),
            given_up: histogram(),
            moves: Counter::default(),
            forwardings: Family::default(),
            accepted: Family::default(),
            messages: Family::default(),
            message_bytes: Family::default(),
            escalations: Family::default(),
            connections: Counter::default(),
            connection_wait: histogram(),
            first_read: histogram(),
            server_connect: histogram(),
            listener_closings: Counter::default(),
            expired_connections: Counter::default(),
            first_byte: histogram(),
            request_duration: histogram(),
            config: Gauge::default(),
            ready: Gauge::default(),
            leads: Gauge::default(),
            spare_voters: Gauge::default(),
            entries: Gauge::default(),
            evacuated: Gauge::default(),
            limited: Gauge::default(),
            backed_off: Gauge::default(),
            leased: Gauge::default(),
            isolated: Gauge::default(),
            engine_time: Gauge::default(),
            forecast_error: histogram(),
            organisations_ahead: Gauge::default(),
            engine_refusals: Counter::default(),
            quarantine_refusals: Counter::default(),
            slot_refusals: Counter::default(),
            fatal_parts: Gauge::default(),
            loop_delay: Gauge::default(),
        };
        exposition.register();
        exposition
    }
}

impl Exposition {
    /// Records a finished request and its duration.
    pub fn record_request(&self, end: RequestEnd, took: Duration) {
        self.requests.get_or_create(&RequestLabels { end }).inc();
        self.request_duration.observe(took.as_secs_f64());
    }

    /// Records a request that was refused because no engine could complete it in time.
    pub fn record_engine_refusal(&self) {
        self.engine_refusals.inc();
    }

    /// Records a request that was refused because it crashes backend servers.
    pub fn record_quarantine_refusal(&self) {
        self.quarantine_refusals.inc();
    }

    /// Counts a request for which there was no free slot of a leased backend server.
    pub fn record_slot_refusal(&self) {
        self.slot_refusals.inc();
    }

    /// Counts a check of a backend server whose connection broke, by what it found.
    pub fn record_crash_check(&self, finding: &'static str) {
        let labels = CrashCheckLabels { finding };
        self.crash_checks.get_or_create(&labels).inc();
    }

    /// Records a finished send.
    pub fn record_send(&self, end: SendEnd) {
        self.sends.get_or_create(&SendLabels { end }).inc();
    }

    /// Records whether the budget allowed another send of a request.
    pub fn record_retry(&self, reason: RetryReason, allowed: bool) {
        let labels = RetryLabels { reason, allowed };
        self.retries.get_or_create(&labels).inc();
    }

    /// Records how long a send had no answer when it was given up.
    pub fn record_given_up(&self, unanswered: Duration) {
        self.given_up.observe(unanswered.as_secs_f64());
    }

    /// Records a delayed request that is moved to another engine.
    pub fn record_move(&self) {
        self.moves.inc();
    }

    /// Records what became of a request that was offered to another entry.
    pub fn record_forwarding(&self, end: ForwardingEnd) {
        let labels = ForwardingLabels { end };
        self.forwardings.get_or_create(&labels).inc();
    }

    /// Records whether a request of another entry was accepted.
    pub fn record_accepted(&self, accepted: bool) {
        let labels = AcceptedLabels { accepted };
        self.accepted.get_or_create(&labels).inc();
    }

    /// Records a message of `bytes` bytes that is sent to each of `receivers` receivers.
    pub fn record_message(
        &self,
        way: MessageDirection,
        kind: &'static str,
        bytes: usize,
        receivers: usize,
    ) {
        let labels = MessageLabels { way, kind };
        let count = receivers as u64;
        self.messages.get_or_create(&labels).inc_by(count);
        let bytes = count * bytes as u64;
        self.message_bytes.get_or_create(&labels).inc_by(bytes);
    }

    /// Records whether an answer of a small model was kept or a larger model was asked.
    pub fn record_escalation(&self, step: Step) {
        let labels = EscalationLabels { step: step.name() };
        self.escalations.get_or_create(&labels).inc();
    }

    /// Records the time from accepting a caller's connection to reading its first request.
    pub fn record_connection_wait(&self, waited: Duration) {
        self.connections.inc();
        self.connection_wait.observe(waited.as_secs_f64());
    }

    /// Records the time from taking a caller's connection to the end of its first request.
    pub fn record_first_read(&self, took: Duration) {
        self.first_read.observe(took.as_secs_f64());
    }

    /// Returns the histogram of the times in which connections to backend servers are
    /// established, in seconds.
    pub fn server_connect_times(&self) -> Histogram {
        self.server_connect.clone()
    }

    /// Counts times at which the callers' listener was closed, and connections that were closed
    /// unread.
    pub fn record_turned_away(&self, closings: u64, expired: u64) {
        self.listener_closings.inc_by(closings);
        self.expired_connections.inc_by(expired);
    }

    /// Records the time from a send to the first byte of its response.
    pub fn record_first_byte(&self, took: Duration) {
        self.first_byte.observe(took.as_secs_f64());
    }

    /// Records the absolute error of the forecast of a first event.
    pub fn record_forecast_error(&self, error: Duration) {
        self.forecast_error.observe(error.as_secs_f64());
    }

    /// Sets a gauge. A value above `i64::MAX` is reported as `i64::MAX`.
    pub fn set_gauge(&self, gauge: GaugeKind, value: u64) {
        let value = i64::try_from(value).unwrap_or(i64::MAX);
        match gauge {
            GaugeKind::ConfigVersion => self.config.set(value),
            GaugeKind::Ready => self.ready.set(value),
            GaugeKind::IsLeader => self.leads.set(value),
            GaugeKind::SpareVoters => self.spare_voters.set(value),
            GaugeKind::ConnectedEntries => self.entries.set(value),
            GaugeKind::EvacuatedDomains => self.evacuated.set(value),
            GaugeKind::LimitedServers => self.limited.set(value),
            GaugeKind::BackedOffServers => self.backed_off.set(value),
            GaugeKind::LeasedServers => self.leased.set(value),
            GaugeKind::IsolatedServices => self.isolated.set(value),
            GaugeKind::FatalParts => self.fatal_parts.set(value),
            GaugeKind::EngineTime => self.engine_time.set(value),
            GaugeKind::OrganisationsAhead => self.organisations_ahead.set(value),
            GaugeKind::LoopDelay => self.loop_delay.set(value),
        };
    }

    /// Encodes the metrics in the text format.
    pub fn to_text(&self) -> String {
        let mut text = String::new();
        // Writing to a string cannot fail.
        let _ = encode(&mut text, &self.registry);
        text
    }

    /// Serves the metrics over HTTP until cancelled.
    ///
    /// # Errors
    ///
    /// Fails if the address cannot be listened on.
    pub async fn serve(
        self: Arc<Self>,
        addr: SocketAddr,
        resources: Resources,
        halt: CancellationToken,
    ) -> Result<(), ListenError> {
        let listener = listen::bind(addr).await?;
        let scrapers = Connections::new(resources.service_connections());
        tokio::spawn(listen::accept(
            listener,
            scrapers,
            halt,
            move |stream, _| {
                let exposition = Arc::clone(&self);
                async move {
                    let service = service_fn(|_: Request<Incoming>| {
                        let response = respond(exposition.to_text());
                        async move { Ok::<_, Infallible>(response) }
                    });
                    // A scraper whose connection fails scrapes again later.
                    let _ = listen::service_http()
                        .serve_connection(TokioIo::new(stream), service)
                        .await;
                }
            },
        ));
        Ok(())
    }

    fn register(&mut self) {
        let registry = &mut self.registry;
        registry.register(
            "requests",
            "Requests by how they ended",
            self.requests.clone(),
        );
        registry.register("sends", "Sends by how they ended", self.sends.clone());
        registry.register(
            "crash_checks",
            "Checks of backend servers whose connections broke, by what they found",
            self.crash_checks.clone(),
        );
        registry.register(
            "retries",
            "Sends of a request beyond its first by their reason, and whether the budget allowed them",
            self.retries.clone(),
        );
        registry.register(
            "given_up_seconds",
            "Time that a send had no answer when it was given up",
            self.given_up.clone(),
        );
        registry.register(
            "moves",
            "Delayed requests moved to another engine",
            self.moves.clone(),
        );
        registry.register(
            "forwardings",
            "Requests offered to other entries by what became of them",
            self.forwardings.clone(),
        );
        registry.register(
            "forwarded_requests",
            "Requests of other entries by whether they were accepted",
            self.accepted.clone(),
        );
        registry.register(
            "messages",
            "Messages between control replicas and entries by kind",
            self.messages.clone(),
        );
        registry.register(
            "message_bytes",
            "Bytes of these messages",
            self.message_bytes.clone(),
        );
        registry.register(
            "escalations",
            "Answers of small models by whether a larger model was asked",
            self.escalations.clone(),
        );
        registry.register(
            "connections",
            "Callers' connections whose first request was read",
            self.connections.clone(),
        );
        registry.register(
            "connection_wait_seconds",
            "Time from accepting a caller's connection to reading its first request",
            self.connection_wait.clone(),
        );
        registry.register(
            "first_read_seconds",
            "Time from taking a caller's connection to the end of its first request",
            self.first_read.clone(),
        );
        registry.register(
            "server_connect_seconds",
            "Time in which a connection to a backend server was established",
            self.server_connect.clone(),
        );
        registry.register(
            "listener_closings",
            "Times at which the callers' listener was closed under overload",
            self.listener_closings.clone(),
        );
        registry.register(
            "expired_connections",
            "Callers' connections closed unread after they had waited for too long",
            self.expired_connections.clone(),
        );
        registry.register(
            "first_byte_seconds",
            "Time from a send to the first byte of its answer",
            self.first_byte.clone(),
        );
        registry.register(
            "request_seconds",
            "Time from a request to the end of its answer",
            self.request_duration.clone(),
        );
        registry.register("config_version", "Configuration known", self.config.clone());
        registry.register("ready", "Whether callers are taken", self.ready.clone());
        registry.register("leads", "Whether this replica leads", self.leads.clone());
        registry.register(
            "spare_voters",
            "Voters that the group of this leader can lose and still commit",
            self.spare_voters.clone(),
        );
        registry.register("entries", "Entries connected", self.entries.clone());
        registry.register(
            "evacuated_domains",
            "Failure domains that are evacuated",
            self.evacuated.clone(),
        );
        registry.register(
            "limited_servers",
            "Backend servers that name how many requests they take",
            self.limited.clone(),
        );
        registry.register(
            "backed_off_servers",
            "Backend servers that asked this entry for a pause, or leave",
            self.backed_off.clone(),
        );
        registry.register(
            "leased_servers",
            "Backend servers that are leased to this entry, as they crash under rejections",
            self.leased.clone(),
        );
        registry.register(
            "isolated_services",
            "Services none of whose backend servers this entry reaches",
            self.isolated.clone(),
        );
        registry.register(
            "engine_time",
            "Whether any service is scheduled by engine time",
            self.engine_time.clone(),
        );
        registry.register(
            "forecast_error_seconds",
            "Absolute error of the forecast of the first event",
            self.forecast_error.clone(),
        );
        registry.register(
            "organisations_ahead",
            "Organisations that use more than their share of engine time",
            self.organisations_ahead.clone(),
        );
        registry.register(
            "quarantine_refusals",
            "Requests refused because they crash backend servers",
            self.quarantine_refusals.clone(),
        );
        registry.register(
            "slot_refusals",
            "Requests without a free slot of a leased backend server here",
            self.slot_refusals.clone(),
        );
        registry.register(
            "fatal_parts",
            "Sets of prompt parts for which requests are refused",
            self.fatal_parts.clone(),
        );
        registry.register(
            "engine_refusals",
            "Requests refused because no engine could complete them in time",
            self.engine_refusals.clone(),
        );
        registry.register(
            "loop_delay_milliseconds",
            "By how much the loop turned late",
            self.loop_delay.clone(),
        );
    }
}

fn respond(text: String) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(text.into()));
    *response.status_mut() = StatusCode::OK;
    let headers = response.headers_mut();
    headers.insert(
        CONTENT_TYPE,
        HeaderValue::from_static(OPENMETRICS_CONTENT_TYPE),
    );
    response
}
