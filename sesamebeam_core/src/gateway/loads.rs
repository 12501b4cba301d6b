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
    balance::LOAD_ALLOWANCE,
    directory::ServerId,
    engines::Slowdown,
    request::Load, //
};
use crate::{
    ids::MonoTime,
    policy::hash, //
};

/// Minimum interval between two load reports, slightly less than the 200 ms interval at
/// which due messages are checked. A queue that matters lasts longer than this.
pub const REPORT_INTERVAL: Duration = Duration::from_millis(180);

/// Maximum number of loads in one report. At ten bytes each this is 12.8 KB a second,
/// which leaves 1.2 KB for the other messages within the 14 KB a second that an entry may
/// receive.
pub const MAX_REPORTED: usize = 256;

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
pub struct ServerLoad {
    /// Key of the backend server.
    pub server: ServerKey,
    /// Number of running requests.
    pub running: u32,
    /// Number of queued requests.
    pub waiting: u32,
    /// Remaining prefill time of long prompts, in milliseconds.
    pub prefill_ms: u16,
    /// Stated slowdown in percent; 0 if none was stated.
    pub slowdown_percent: u16,
}

impl ServerLoad {
    /// Creates a record from the load that a backend server has reported.
    pub fn new(id: &ServerId, load: Load) -> Self {
        Self {
            server: key(id),
            running: load.running,
            waiting: load.waiting,
            prefill_ms: 0,
            slowdown_percent: load.slowdown.map_or(0, Slowdown::percent),
        }
    }

    /// Sets the remaining prefill time of long prompts.
    pub fn with_prefill(self, remaining: Duration) -> Self {
        let prefill_ms = u16::try_from(remaining.as_millis()).unwrap_or(u16::MAX);
        Self { prefill_ms, ..self }
    }

    /// Returns the remaining prefill time of long prompts.
    pub fn prefill_time(&self) -> Duration {
        Duration::from_millis(self.prefill_ms.into())
    }

    /// Returns the stated slowdown.
    pub fn slowdown(&self) -> Option<Slowdown> {
        Slowdown::from_percent(self.slowdown_percent.into())
    }

    /// Adds what another record of the same backend server states beside its load.
    pub fn merge_details(&mut self, other: &Self) {
        self.prefill_ms = self.prefill_ms.max(other.prefill_ms);
        if self.slowdown_percent == 0 {
            self.slowdown_percent = other.slowdown_percent;
        }
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
    pending: HashMap<ServerKey, (ServerLoad, MonoTime)>,
    reported_at: MonoTime,
}

impl Loads {
    /// Merges received loads. The highest of several loads of one backend server is
    /// reported: a queue is seen first by a single entry, and reports from before it
    /// formed may arrive later from others.
    pub fn merge(&mut self, now: MonoTime, loads: impl IntoIterator<Item = ServerLoad>) {
        for load in loads {
            let until = now + load.prefill_time();
            let (current, current_until) = self.pending.entry(load.server).or_insert((load, until));
            let known_slowdown = current.slowdown_percent;
            if load.total() > current.total() {
                *current = load;
            }
            // The newest statement describes the present best.
            current.slowdown_percent = match load.slowdown_percent {
                0 => known_slowdown,
                stated => stated,
            };
            *current_until = until.max(*current_until);
        }
    }

    /// Returns the loads to report, if a report is due.
    ///
    /// `server_count` is the number of backend servers, or 0 if it is unknown. If these are
    /// mostly idle, loads up to [`LOAD_ALLOWANCE`] are omitted, since balancing ignores them.
    pub fn take_due(&mut self, now: MonoTime, server_count: usize) -> Option<Vec<ServerLoad>> {
        if self.pending.is_empty() || now < self.reported_at + REPORT_INTERVAL {
            return None;
        }
        self.reported_at = now;
        let pending = self.pending.drain();
        let remaining = |(_, (load, until)): (_, (ServerLoad, MonoTime))| {
            load.with_prefill(until.saturating_sub(now))
        };
        let mut reported: Vec<ServerLoad> = pending.map(remaining).collect();
        let total: f64 = reported.iter().map(|load| f64::from(load.total())).sum();
        if total < IDLE_MEAN * server_count as f64 {
            reported.retain(|load| f64::from(load.total()) > LOAD_ALLOWANCE || load.prefill_ms > 0);
        }
        reported.sort_by_key(|load| {
            (
                std::cmp::Reverse((load.prefill_ms, load.total())),
                load.server,
            )
        });
        reported.truncate(MAX_REPORTED);
        Some(reported)
    }
}
