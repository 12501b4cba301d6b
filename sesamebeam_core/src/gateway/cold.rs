//! Load limits for cold backend servers: each can handle only a few requests a second
//! from all entries together, and crashes well above that.
//!
//! Entries don't see each other's requests. A cold backend server gets no requests while
//! the warm ones have capacity left. Otherwise, or if no warm one is reachable, it gets
//! requests in turns: after a power loss in a failure domain, or if a service has few
//! backend servers, all of them can be cold at once.
//!
//! Each entry has one turn at a cold backend server per period. A period is as long as
//! all entries need for one turn each at half of the tolerated rate. The position of the
//! turn within the period follows from the names of the entry and the backend server, so
//! that the turns are distributed like random arrivals, independent of the state of any
//! entry. Unused turns expire; if they were saved, all of them could be used at once. The
//! number of turns within any second is binomially distributed. For example, with 74
//! entries and a backend server that handles 14 requests a second and must never get more
//! than 26 in one, an entry's turn overlaps a given second (extended by the 0.4 s that a
//! turn lasts) with probability 0.13, and more than 26 turns do so with probability below
//! one in 100,000 (test `cold::worst_second`).

use std::{
    collections::{
        BTreeMap,
        HashMap, //
    },
    time::Duration,
};

use smol_str::SmolStr;

use super::{
    config::ColdConfig,
    directory::{
        ServerId,
        ServerRecord, //
    },
    entry_count::KnownEntryCount,
};
use crate::{
    ids::{
        DomainId,
        MonoTime, //
    },
    policy::hash,
};

/// Share of a cold backend server's tolerated rate that is assigned to turns. The rest is
/// a margin for turns that coincide by chance and for delayed sends.
pub const TURN_SHARE: f64 = 0.5;

/// Mean load of the warm backend servers, relative to their slots, from which cold ones
/// also get requests. Below it, requests are better served by the warm ones, which have
/// prompts cached.
pub const OVERFLOW_LOAD: f64 = 0.75;

/// Maximum length of a turn. An entry in a large fleet sends only a few requests a
/// second, one of which has to fall into the turn.
pub const MAX_TURN: Duration = Duration::from_millis(400);

/// Cold backend servers as seen by one entry, and its turns at them.
#[derive(Debug)]
pub struct ColdServers {
    /// Name of this entry, which determines the position of its turns.
    name: SmolStr,
    /// Number of entries that share the turns. There are no turns until it is known.
    entries: KnownEntryCount,
    /// Time at which the evacuation of each failure domain last ended.
    readmitted: BTreeMap<DomainId, MonoTime>,
    /// Number of the last used turn at each backend server.
    used_turns: HashMap<ServerId, u64>,
}

impl ColdServers {
    /// Creates an empty table.
    pub fn new(name: SmolStr) -> Self {
        Self {
            name,
            entries: KnownEntryCount::default(),
            readmitted: BTreeMap::new(),
            used_turns: HashMap::new(),
        }
    }

    /// Sets the number of entries.
    pub fn set_entries(&mut self, now: MonoTime, entries: u32) {
        self.entries.record(now, entries);
    }

    /// Records that the evacuation of a failure domain has ended.
    pub fn readmit(&mut self, now: MonoTime, domain: DomainId) {
        self.readmitted.insert(domain, now);
    }

    /// Returns whether a backend server is cold or may be.
    ///
    /// In a failure domain whose evacuation has just ended, backend servers may have
    /// restarted a moment before. Their next announcement says so, but can take more than
    /// a second.
    pub fn is_cold(
        &self,
        now: MonoTime,
        known: &ServerRecord,
        limits: Option<&ColdConfig>,
    ) -> bool {
        let Some(limits) = limits else {
            return false;
        };
        let readmitted = self.readmitted.get(&known.announcement.domain);
        let may_have_restarted = readmitted.is_some_and(|at| now < *at + limits.duration);
        may_have_restarted || now < known.cold_until
    }

    /// Returns whether this entry currently has an unused turn at a cold backend server.
    pub fn has_turn(&self, now: MonoTime, id: &ServerId, limits: &ColdConfig) -> bool {
        let turn = self.turn(now, id, limits);
        turn.is_some_and(|turn| self.used_turns.get(id) != Some(&turn))
    }

    /// Marks the current turn at a backend server as used, if there is one.
    pub fn use_turn(&mut self, now: MonoTime, id: &ServerId, limits: &ColdConfig) {
        if let Some(turn) = self.turn(now, id, limits) {
            self.used_turns.insert(id.clone(), turn);
        }
    }

    /// Removes the turns at backend servers that no longer exist.
    pub fn retain(&mut self, known: impl Fn(&ServerId) -> bool) {
        self.used_turns.retain(|id, _| known(id));
    }

    /// Returns the number of this entry's turn at a backend server, if it is in progress.
    fn turn(&self, now: MonoTime, id: &ServerId, limits: &ColdConfig) -> Option<u64> {
        let rate = limits.per_second * TURN_SHARE;
        let entries = self.entries.max();
        if entries == 0 || rate <= 0.0 {
            return None;
        }
        let period = f64::from(entries) / rate;
        let turn = MAX_TURN.as_secs_f64().min(period);
        let at = now.as_secs_f64() / period + hash::unit(id.as_bytes(), &self.name);
        (at.fract() * period < turn).then_some(at.floor() as u64)
    }
}
