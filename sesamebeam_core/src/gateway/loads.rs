//! Loads of backend servers as all entries together know them.
//!
//! With many entries each one hears from a backend server once in many seconds.
//! What one hears is passed on to the others by the control replicas. What a process sends stays the same however many backend servers
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
    balance::LOAD_ALLOWANCE,
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

/// Most loads in one report: with eight bytes each, 11 KB a second, which with
/// the rest stays below the 14 KB that an entry may receive.
pub const MOST_TOLD: usize = 256;

/// Mean number of requests at a backend server below which those with a few are like the
/// others.
const IDLE_MEAN: f64 = 0.25;

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
    /// Milliseconds for which it reads long prompts.
    pub reading: u16,
}

impl LoadOf {
    /// Makes one of what a backend server said.
    pub fn new(id: &ServerId, load: Load) -> Self {
        Self {
            server: key(id),
            running: load.running,
            waiting: load.waiting,
            reading: 0,
        }
    }

    /// Adds for how long it reads long prompts.
    pub fn reading(self, left: Duration) -> Self {
        let reading = u16::try_from(left.as_millis()).unwrap_or(u16::MAX);
        Self { reading, ..self }
    }

    /// Returns for how long it reads long prompts.
    pub fn reads_for(&self) -> Duration {
        Duration::from_millis(self.reading.into())
    }

    /// Returns the requests that it runs and that wait there.
    pub fn total(&self) -> u32 {
        self.running.saturating_add(self.waiting)
    }
}

/// Loads that were heard since the last report.
#[derive(Clone, Debug, Default)]
pub struct Loads {
    /// Each with when the engine will have read its long prompts.
    fresh: HashMap<ServerKey, (LoadOf, MonoTime)>,
    told_at: MonoTime,
}

impl Loads {
    /// Takes loads that were heard. Of several of one backend server the highest
    /// is told: what waits there was heard of by one entry, and others may hear of
    /// the time before it later.
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

    /// Returns what is to be told now, if its time has come.
    ///
    /// `among` is the number of backend servers, 0 if it is not known. Where these have
    /// hardly any requests, loads up to [`LOAD_ALLOWANCE`] are left out: a choice passes over
    /// none of them.
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
            told.retain(|load| f64::from(load.total()) > LOAD_ALLOWANCE || load.reading > 0);
        }
        told.sort_by_key(|load| (std::cmp::Reverse((load.reading, load.total())), load.server));
        told.truncate(MOST_TOLD);
        Some(told)
    }
}
