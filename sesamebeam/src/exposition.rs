//! Counters and latency histograms in the text format that scrapers read.
//!
//! For platforms that fetch metrics over HTTP; [`metrics`](crate::metrics) sends
//! them in StatsD form.

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
    server::conn::http1,
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
use tokio_util::sync::CancellationToken;

use crate::listen::{
    self,
    ListenError, //
};

/// Format of the text, as scrapers ask for it.
const FORMAT: &str = "application/openmetrics-text; version=1.0.0; charset=utf-8";

/// Shortest time that a histogram tells apart, in seconds: a round trip.
const FIRST_BUCKET: f64 = 0.001;

/// Buckets of a histogram; each is twice as wide as the one before, up to half a
/// minute, which is the longest that callers wait.
const BUCKETS: u16 = 16;

/// How a request ended, as its caller sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, EncodeLabelValue)]
pub enum RequestEnd {
    /// A whole answer of a backend server, whatever its status.
    Answered,
    /// Every event of a stream.
    StreamComplete,
    /// A stream that ended before its last event.
    StreamBroken,
    /// Its caller left.
    Left,
    /// It has not run and was refused.
    Refused,
    /// It may have run and has no answer.
    Unknown,
}

/// How a send to a backend server ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, EncodeLabelValue)]
pub enum SendEnd {
    /// An answer.
    Good,
    /// A failure, or an answer that broke off.
    Failed,
    /// The backend server did not run it.
    Refused,
    /// It could not be reached.
    Unreachable,
    /// It was given up for reasons of the request's own.
    Dropped,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct RequestLabels {
    end: RequestEnd,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct SendLabels {
    end: SendEnd,
}

/// Which way a message between a control replica and an entry went.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, EncodeLabelValue)]
pub enum Way {
    /// To entries.
    ToEntries,
    /// To a control replica.
    ToControl,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct MessageLabels {
    way: Way,
    kind: &'static str,
}

/// Something that has a value at each moment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Level {
    /// Number of the configuration in force, or committed.
    Config,
    /// Whether new callers are taken.
    Ready,
    /// Whether this replica leads.
    Leads,
    /// Entries that are connected.
    Entries,
    /// Failure domains that are evacuated.
    Evacuated,
    /// Backend servers that name a limit.
    Limited,
    /// Backend servers that asked for a pause, or leave.
    BackedOff,
    /// Milliseconds by which the loop turned late.
    LoopDelay,
}

/// The metrics of one process.
#[derive(Debug)]
pub struct Exposition {
    registry: Registry,
    requests: Family<RequestLabels, Counter>,
    sends: Family<SendLabels, Counter>,
    messages: Family<MessageLabels, Counter>,
    message_bytes: Family<MessageLabels, Counter>,
    first_byte: Histogram,
    whole: Histogram,
    config: Gauge,
    ready: Gauge,
    leads: Gauge,
    entries: Gauge,
    evacuated: Gauge,
    limited: Gauge,
    backed_off: Gauge,
    loop_delay: Gauge,
}

impl Default for Exposition {
    fn default() -> Self {
        let histogram = || Histogram::new(exponential_buckets(FIRST_BUCKET, 2.0, BUCKETS));
        let mut made = Self {
            registry: Registry::with_prefix("sesamebeam"),
            requests: Family::default(),
            sends: Family::default(),
            messages: Family::default(),
            message_bytes: Family::default(),
            first_byte: histogram(),
            whole: histogram(),
            config: Gauge::default(),
            ready: Gauge::default(),
            leads: Gauge::default(),
            entries: Gauge::default(),
            evacuated: Gauge::default(),
            limited: Gauge::default(),
            backed_off: Gauge::default(),
            loop_delay: Gauge::default(),
        };
        made.register();
        made
    }
}

impl Exposition {
    /// Counts a request that ended, with its time.
    pub fn request(&self, end: RequestEnd, took: Duration) {
        self.requests.get_or_create(&RequestLabels { end }).inc();
        self.whole.observe(took.as_secs_f64());
    }

    /// Counts a send that ended.
    pub fn send(&self, end: SendEnd) {
        self.sends.get_or_create(&SendLabels { end }).inc();
    }

    /// Counts a message of some bytes that goes to several receivers.
    pub fn message(&self, way: Way, kind: &'static str, bytes: usize, receivers: usize) {
        let labels = MessageLabels { way, kind };
        let count = receivers as u64;
        self.messages.get_or_create(&labels).inc_by(count);
        let bytes = count * bytes as u64;
        self.message_bytes.get_or_create(&labels).inc_by(bytes);
    }

    /// Counts the time from a send to the first byte of its answer.
    pub fn first_byte(&self, took: Duration) {
        self.first_byte.observe(took.as_secs_f64());
    }

    /// Sets a value. One beyond the format's range shows as its highest.
    pub fn set(&self, level: Level, value: u64) {
        let value = i64::try_from(value).unwrap_or(i64::MAX);
        match level {
            Level::Config => self.config.set(value),
            Level::Ready => self.ready.set(value),
            Level::Leads => self.leads.set(value),
            Level::Entries => self.entries.set(value),
            Level::Evacuated => self.evacuated.set(value),
            Level::Limited => self.limited.set(value),
            Level::BackedOff => self.backed_off.set(value),
            Level::LoopDelay => self.loop_delay.set(value),
        };
    }

    /// Returns the metrics as text.
    pub fn text(&self) -> String {
        let mut text = String::new();
        // Writing to a string does not fail.
        let _ = encode(&mut text, &self.registry);
        text
    }

    /// Serves the text until cancelled.
    ///
    /// # Errors
    ///
    /// Fails if the address cannot be used.
    pub async fn serve(
        self: Arc<Self>,
        addr: SocketAddr,
        halt: CancellationToken,
    ) -> Result<(), ListenError> {
        let listener = listen::bind(addr).await?;
        tokio::spawn(listen::accept(listener, halt, move |stream| {
            let exposition = Arc::clone(&self);
            async move {
                let service = service_fn(|_: Request<Incoming>| {
                    let response = respond(exposition.text());
                    async move { Ok::<_, Infallible>(response) }
                });
                // A scraper that leaves early asks again.
                let _ = http1::Builder::new()
                    .serve_connection(TokioIo::new(stream), service)
                    .await;
            }
        }));
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
            "first_byte_seconds",
            "Time from a send to the first byte of its answer",
            self.first_byte.clone(),
        );
        registry.register(
            "request_seconds",
            "Time from a request to the end of its answer",
            self.whole.clone(),
        );
        registry.register("config_version", "Configuration known", self.config.clone());
        registry.register("ready", "Whether callers are taken", self.ready.clone());
        registry.register("leads", "Whether this replica leads", self.leads.clone());
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
    headers.insert(CONTENT_TYPE, HeaderValue::from_static(FORMAT));
    response
}
