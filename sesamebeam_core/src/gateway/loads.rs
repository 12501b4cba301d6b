//! Loads of backend servers, shared among all entries.
//!
//! With many entries, each one gets a response from a given backend server only once in
//! many seconds. The control replicas therefore pass on the loads that any entry has
//! seen. The size of a report is bounded regardless of the number of backend servers: if
//! there are more than [`MAX_REPORTED`], only those with the highest load are included,
//! as these are the ones to avoid.

use std::{
    collections::HashMap,
    time::Duration, //
};

use serde::{
    Deserialize,
    Serialize, //
};

use super::{
    balance::LOAD_SPARE,
    directory::ServerId,
    request::Load, //
};
use crate::{
    ids::MonoTime,
    policy::hash, //
};

/// Minimum interval between two load reports, slightly less than the 200 ms interval at
/// which due messages are checked. A queue that matters lasts longer than this.
pub const TELL_EVERY: Duration = Duration::from_millis(180);

/// Maximum number of loads in one report. At eight bytes each this is 11 KB a second,
/// which leaves room for the other messages within the 14 KB a second that an entry may
/// receive.
pub const MOST_TOLD: usize = 256;

/// Mean number of requests per backend server below which small loads are not reported.
const IDLE_MEAN: f64 = 0.25;

/// Hash of a backend server's name. With 10,000 backend servers, a collision exists with
/// a probability of about one in a hundred; the servers concerned are then taken for each
/// other.
pub type ServerKey = u32;

/// Returns the key of a backend server.
pub fn key(id: &ServerId) -> ServerKey {
    // The lower half of a 64-bit hash is sufficiently uniform.
    hash::name(id.as_bytes()) as ServerKey
}

/// Load of one backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadOf {
    /// Key of the backend server.
    pub server: ServerKey,
    /// Number of running requests.
    pub running: u32,
    /// Number of queued requests.
    pub waiting: u32,
    /// Remaining prefill time of long prompts, in milliseconds.
    pub reading: u16,
}

impl LoadOf {
    /// Creates a record from the load that a backend server has reported.
    pub fn new(id: &ServerId, load: Load) -> Self {
        Self {
            server: key(id),
            running: load.running,
            waiting: load.waiting,
            reading: 0,
        }
    }

    /// Sets the remaining prefill time of long prompts.
    pub fn reading(self, left: Duration) -> Self {
        let reading = u16::try_from(left.as_millis()).unwrap_or(u16::MAX);
        Self { reading, ..self }
    }

    /// Returns the remaining prefill time of long prompts.
    pub fn reads_for(&self) -> Duration {
        Duration::from_millis(self.reading.into())
    }

    /// Returns the number of running and queued requests.
    pub fn total(&self) -> u32 {
        self.running.saturating_add(self.waiting)
    }
}

/// Loads that were received since the last report.
#[derive(Clone, Debug, Default)]
pub struct Loads {
    /// Each load with the time at which the prefill of its long prompts will be finished.
    fresh: HashMap<ServerKey, (LoadOf, MonoTime)>,
    told_at: MonoTime,
}

impl Loads {
    /// Merges received loads. The highest of several loads of one backend server is
    /// reported: a queue is seen first by a single entry, and reports from before it
    /// formed may arrive later from others.
    pub fn take(&mut self, now: MonoTime, loads: impl IntoIterator<Item = LoadOf>) {
        for load in loads {
            let until = now + load.reads_for();
            let (held, held_until) = self.fresh.entry(load.server).or_insert((load, until));
            if load.total() > held.total() {
                *held = load;
            }
            *held_until = until.max(*held_until);
        }
    }

    /// Returns the loads to report, if a report is due.
    ///
    /// `among` is the number of backend servers, or 0 if it is unknown. If these are
    /// mostly idle, loads up to [`LOAD_SPARE`] are omitted, since balancing ignores them.
    pub fn due(&mut self, now: MonoTime, among: usize) -> Option<Vec<LoadOf>> {
        if self.fresh.is_empty() || now < self.told_at + TELL_EVERY {
            return None;
        }
        self.told_at = now;
        let fresh = self.fresh.drain();
        let left =
            |(_, (load, until)): (_, (LoadOf, MonoTime))| load.reading(until.saturating_sub(now));
        let mut told: Vec<LoadOf> = fresh.map(left).collect();
        let total: f64 = told.iter().map(|load| f64::from(load.total())).sum();
        if total < IDLE_MEAN * among as f64 {
            told.retain(|load| f64::from(load.total()) > LOAD_SPARE || load.reading > 0);
        }
        told.sort_by_key(|load| (std::cmp::Reverse((load.reading, load.total())), load.server));
        told.truncate(MOST_TOLD);
        Some(told)
    }
}
