//! Settings of a runner.

use std::{
    net::{
        Ipv4Addr,
        SocketAddr, //
    },
    time::Duration, //
};

use sesamebeam_core::ids::{
    Incarnation,
    VersionId, //
};

use crate::announce::AnnounceConfig;

/// Settings of a runner.
#[derive(Clone, Debug)]
pub struct RunnerConfig {
    /// Address to listen on; port 0 draws a free one.
    pub addr: SocketAddr,
    /// Incarnation of the first life; drawn from the clock by default.
    pub incarnation: Option<Incarnation>,
    /// Announcements.
    pub announce: AnnounceConfig,
    /// Versions that are loaded when the runner starts.
    pub versions: Vec<VersionId>,
    /// Requests run side by side.
    pub slots: usize,
    /// Requests that wait inside the runner before it refuses more.
    pub max_waiting: usize,
    /// Time between two tokens of a stream when nothing else runs; zero gives
    /// the whole answer at once. The timer rounds up to milliseconds.
    pub token_delay: Duration,
    /// Tokens that each running stream gains at a step.
    pub tokens_per_step: u32,
    /// Growth of the step by each further running request, as a share of
    /// `token_delay`.
    pub batch_slowdown: f64,
    /// Time to read one prompt token that the prefix cache doesn't cover.
    pub prefill_delay: Duration,
    /// Time for which a stream is kept after its end.
    pub retention: Duration,
    /// Tokens that the KV cache holds, of running requests and prefixes together.
    pub kv_tokens: u32,
    /// Delay of cache events.
    pub cache_lag: Duration,
    /// Share of cache events that are lost (0 to 1).
    pub cache_loss: f64,
    /// Age of the load report.
    pub load_lag: Duration,
    /// Seed of everything that is drawn at random.
    pub seed: u64,
    /// Whether an order with an old fencing number is refused.
    pub checks_fencing: bool,
    /// Weight store; without one a load takes no time.
    pub weights: Option<SocketAddr>,
    /// Whether the books are kept; a load run does without.
    pub keeps_books: bool,
    /// Time after which a crashed runner comes back by itself.
    pub restart_after: Option<Duration>,
}

impl Default for RunnerConfig {
    fn default() -> Self {
        Self {
            addr: SocketAddr::from((Ipv4Addr::LOCALHOST, 0)),
            incarnation: None,
            announce: AnnounceConfig::default(),
            versions: Vec::new(),
            slots: 32,
            max_waiting: 64,
            token_delay: Duration::ZERO,
            tokens_per_step: 1,
            batch_slowdown: 0.02,
            prefill_delay: Duration::ZERO,
            retention: Duration::from_secs(10),
            kv_tokens: 1 << 18,
            cache_lag: Duration::from_millis(200),
            cache_loss: 0.1,
            load_lag: Duration::from_millis(250),
            seed: 0,
            checks_fencing: true,
            weights: None,
            keeps_books: true,
            restart_after: None,
        }
    }
}
