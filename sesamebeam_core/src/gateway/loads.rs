//! Loads of backend servers as all entries together know them.
//!
//! With many entries each one hears from a backend server once in many seconds.
//! What one hears is passed on to the others by the leader of the control
//! replicas. What a process sends stays the same however many backend servers
//! there are: beyond [`MOST_TOLD`] only those with the highest load are told,
//! which are the ones to pass over.

use std::{
    collections::HashMap,
    time::Duration, //
};

use serde::{
    Deserialize,
    Serialize, //
};

use super::{
    directory::ServerId,
    request::Load, //
};
use crate::{
    ids::MonoTime,
    policy::hash, //
};

/// Least pause between two reports of what was heard, a little less than the
/// 200 ms between looks at what is due. A queue that matters lasts for longer.
pub const TELL_EVERY: Duration = Duration::from_millis(180);

/// Most loads in one report: with seven bytes each, 9 KB a second, which with
/// the rest stays below the 14 KB that an entry may receive.
pub const MOST_TOLD: usize = 256;

/// Hash of a backend server's name. Two that share one pass for each other,
/// which with 10,000 of them happens to one in a hundred.
pub type ServerKey = u32;

/// Returns the key of a backend server.
pub fn key(id: &ServerId) -> ServerKey {
    // The low half of a good hash is as good.
    hash::name(id.as_bytes()) as ServerKey
}

/// Load of one backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadOf {
    /// Which.
    pub server: ServerKey,
    /// Requests that it runs.
    pub running: u32,
    /// Requests that wait there.
    pub waiting: u32,
}

impl LoadOf {
    /// Makes one of what a backend server said.
    pub fn new(id: &ServerId, load: Load) -> Self {
        Self {
            server: key(id),
            running: load.running,
            waiting: load.waiting,
        }
    }

    fn total(&self) -> u32 {
        self.running.saturating_add(self.waiting)
    }
}

/// Loads that were heard since the last report.
#[derive(Clone, Debug, Default)]
pub struct Loads {
    fresh: HashMap<ServerKey, LoadOf>,
    told_at: MonoTime,
}

impl Loads {
    /// Takes loads that were heard. Of several of one backend server the highest
    /// is told: what waits there was heard of by one entry, and others may hear of
    /// the time before it later.
    pub fn take(&mut self, loads: impl IntoIterator<Item = LoadOf>) {
        for load in loads {
            let held = self.fresh.entry(load.server).or_insert(load);
            if load.total() > held.total() {
                *held = load;
            }
        }
    }

    /// Returns what is to be told now, if its time has come.
    pub fn due(&mut self, now: MonoTime) -> Option<Vec<LoadOf>> {
        if self.fresh.is_empty() || now < self.told_at + TELL_EVERY {
            return None;
        }
        self.told_at = now;
        let mut told: Vec<LoadOf> = self.fresh.drain().map(|(_, load)| load).collect();
        told.sort_by_key(|load| (std::cmp::Reverse(load.total()), load.server));
        told.truncate(MOST_TOLD);
        Some(told)
    }
}
