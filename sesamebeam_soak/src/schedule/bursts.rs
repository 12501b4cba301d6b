//! Callers that come in bursts, beside entries that restart in series.

use std::ops::Range;

use rand::{
    RngExt,
    SeedableRng,
    rngs::StdRng, //
};
use serde::{
    Deserialize,
    Serialize, //
};

use super::{
    ENTRIES,
    Event,
    Fault,
    SHORTEST_MS,
    Schedule,
    Target, //
};

/// Bursts of callers in a run, how long they last, how long after the end of the one before they
/// begin, and requests a second, of which powers of two are as likely as each other.
const BURSTS: Range<usize> = 2..7;
const BURST_MS: Range<u64> = 300..6000;
const BURST_AFTER_MS: Range<u64> = 0..8000;
const BURST_PER_S: Range<f64> = 3.0..300.0;
const BURST_FAILS_PERCENT: [u64; 4] = [0, 20, 70, 100];

/// Restarts of entries in series: how many, and at which interval in milliseconds.
const SERIES: Range<u64> = 0..12;
const SERIES_EVERY_MS: Range<u64> = 300..2500;

/// Requests a second of callers that come evenly, at all entries together.
const EVEN_PER_S: u64 = 100;

/// Callers of backend servers that fail requests, which come evenly for a while.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Burst {
    /// When, in milliseconds from the start.
    pub at_ms: u64,
    /// For how long.
    pub for_ms: u64,
    /// Requests a second.
    pub per_s: u64,
    /// Share of them that come to the first entry, in percent; the others come to the next.
    pub first_entry_percent: u64,
    /// Share of requests that fail meanwhile, in percent.
    pub fails_percent: u64,
}

impl Schedule {
    /// Draws a schedule with backend servers that fail requests and read nothing at times, whose
    /// callers come in bursts beside restarts of entries in series and faults of daemons.
    pub fn draw_bursts(seed: u64) -> Self {
        let held = Self::draw_held(seed);
        let mut rng = StdRng::seed_from_u64(seed);
        let mut at_ms = 0;
        let bursts: Vec<_> = (0..rng.random_range(BURSTS))
            .map(|_| {
                at_ms += rng.random_range(BURST_AFTER_MS);
                let for_ms = rng.random_range(BURST_MS);
                let rates = BURST_PER_S.start.log2()..BURST_PER_S.end.log2();
                let per_s = rng.random_range(rates).exp2();
                let fails = BURST_FAILS_PERCENT;
                let burst = Burst {
                    at_ms,
                    for_ms,
                    per_s: per_s as u64,
                    first_entry_percent: rng.random_range(0..=100),
                    fails_percent: fails[rng.random_range(0..fails.len())],
                };
                at_ms += for_ms;
                burst
            })
            .collect();
        let length_ms = at_ms.max(held.length_ms);
        let mut events = held.events;
        let (every, from) = (
            rng.random_range(SERIES_EVERY_MS),
            rng.random_range(0..length_ms),
        );
        events.extend((0..rng.random_range(SERIES)).map(|n| Event {
            at_ms: from + n * every,
            for_ms: SHORTEST_MS,
            fault: Fault::Kill(Target::Entry(n as usize % ENTRIES)),
        }));
        events.retain(|event| event.at_ms < length_ms);
        events.sort_by_key(|event| event.at_ms);
        Self {
            length_ms,
            bursts,
            events,
            ..held
        }
    }

    /// Returns the bursts of callers; one as long as the run if callers come evenly.
    pub fn all_bursts(&self) -> Vec<Burst> {
        let even = self.fails_percent.map(|fails_percent| Burst {
            at_ms: 0,
            for_ms: self.length_ms,
            per_s: EVEN_PER_S,
            first_entry_percent: 50,
            fails_percent,
        });
        match self.bursts.is_empty() {
            true => even.into_iter().collect(),
            false => self.bursts.clone(),
        }
    }
}
