//! Sizes of fleets.

/// How large a fleet is and what it is asked to do.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Size {
    /// Name.
    pub name: &'static str,
    /// Entries.
    pub entries: f64,
    /// Instances set aside for control.
    pub controls: f64,
    /// Regions.
    pub regions: f64,
    /// Failure domains.
    pub domains: f64,
    /// Backend servers.
    pub runners: f64,
    /// Requests a second.
    pub requests: f64,
    /// Tokens a second.
    pub tokens: f64,
    /// Seconds between two tokens of a stream.
    pub token_gap: f64,
    /// Versions in use.
    pub versions: f64,
    /// Changes of configuration a day.
    pub changes: f64,
    /// Processes that start a day, replaced ones included.
    pub starts: f64,
    /// Share of requests that run at most once: an assumption.
    pub keyed: f64,
}

/// Share of requests that run at most once, where nothing is known of it.
const KEYED: f64 = 0.05;

/// The size in two years, from the users' letter: 720 daemons, 17 of them for
/// control; 72 failures and 560 restarts a day.
pub const TWO_YEARS: Size = Size {
    name: "two years on",
    entries: 703.0,
    controls: 17.0,
    regions: 5.0,
    domains: 15.0,
    runners: 10_000.0,
    requests: 63_000.0,
    tokens: 17e6,
    token_gap: 0.038,
    versions: 27.0,
    changes: 12_000.0,
    starts: 632.0,
    keyed: KEYED,
};

/// Requests and tokens a second of one backend server in two years. The brief
/// gives no rates of today; these are taken.
const REQUESTS_A_RUNNER: f64 = 6.3;
const TOKENS_A_RUNNER: f64 = 1700.0;

/// The sizes of today, from the brief, with backend servers as busy as those
/// of the size in two years, and changes and starts in proportion.
pub const TODAY: [Size; 2] = [
    Size {
        name: "Huallaga today",
        entries: 9.0,
        controls: 3.0,
        regions: 1.0,
        domains: 3.0,
        runners: 12.0,
        requests: 9.0 * REQUESTS_A_RUNNER,
        tokens: 9.0 * TOKENS_A_RUNNER,
        versions: 5.0,
        changes: 200.0,
        starts: 8.0,
        ..TWO_YEARS
    },
    Size {
        name: "Vazna today",
        entries: 9.0,
        controls: 3.0,
        regions: 1.0,
        domains: 3.0,
        runners: 21.0,
        requests: 18.0 * REQUESTS_A_RUNNER,
        tokens: 18.0 * TOKENS_A_RUNNER,
        versions: 5.0,
        changes: 200.0,
        starts: 8.0,
        ..TWO_YEARS
    },
];

impl Size {
    /// Backend servers of one failure domain.
    pub fn near(&self) -> f64 {
        self.runners / self.domains
    }

    /// Changes of configuration a second, evenly spread.
    pub fn change_rate(&self) -> f64 {
        self.changes / 86_400.0
    }

    /// Streams open at one entry.
    pub fn streams(&self) -> f64 {
        self.tokens * self.token_gap / self.entries
    }

    /// Claims a second over the whole fleet.
    pub fn claims(&self) -> f64 {
        self.requests * self.keyed
    }
}
