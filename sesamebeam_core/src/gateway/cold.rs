//! Backend servers that are cold: each bears a few requests a second, from all entries
//! together, and crashes well above.
//!
//! No entry sees what the others send. So a cold one gets nothing while the warm ones have
//! room, and in turns where they have not or none can be reached: after the loss of a
//! failure domain's power, or where a service has few backend servers, all of them may be
//! cold at once.
//!
//! An entry has a turn at a cold backend server once in a period that is as long as all
//! entries need to take one each at half of the rate that is borne. When in the period
//! it comes follows from the names of both, so that turns are spread like requests that
//! come by chance, whatever else an entry believes, and one that was not used is lost:
//! permissions that were kept would all be used at once. The sum over any second is
//! binomial. Of 74 entries, at a backend server that bears 14 requests a second and must
//! get no more than 26 in any, each has its turn in a given second, with the 0.4 s that
//! it stands on top, with probability 0.13; more than 26 have in less than one of 100,000
//! (`cold::worst_second`).

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
        ServerId, //
        ServerRecord,
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

/// Share of the rate that a cold backend server bears which all turns at it make: what
/// is left is for the chance that many fall together, and for sends that are held up.
pub const SHARE: f64 = 0.5;

/// Mean load of the warm ones, as a share of their slots, from which cold ones take a part
/// of it. Below it a prompt that warm ones keep is served better there.
pub const PRESSED: f64 = 0.75;

/// Longest time for which a turn stands. An entry of a large fleet sends a few requests
/// a second and needs one of them to fall into it.
pub const TURN: Duration = Duration::from_millis(400);

/// What one entry knows of cold backend servers, and its turns.
#[derive(Debug)]
pub struct Cold {
    /// Name of this entry, which places its turns.
    name: SmolStr,
    /// Entries that take turns; none does before there is a count.
    entries: KnownEntryCount,
    /// When failure domains were last taken back.
    readmitted: BTreeMap<DomainId, MonoTime>,
    /// Last turn that was used at each backend server.
    used: HashMap<ServerId, u64>,
}

impl Cold {
    /// Starts with nothing known.
    pub fn new(name: SmolStr) -> Self {
        Self {
            name,
            entries: KnownEntryCount::default(),
            readmitted: BTreeMap::new(),
            used: HashMap::new(),
        }
    }

    /// Notes how many entries there are.
    pub fn set_entries(&mut self, now: MonoTime, entries: u32) {
        self.entries.record(now, entries);
    }

    /// Notes that a failure domain is no longer evacuated.
    pub fn readmit(&mut self, now: MonoTime, domain: DomainId) {
        self.readmitted.insert(domain, now);
    }

    /// Returns whether a backend server is cold, or may be.
    ///
    /// In a failure domain that is taken back they may have become so moments before,
    /// of which they tell with their next announcement, over a second later.
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
        let may_be = readmitted.is_some_and(|at| now < *at + limits.lasts);
        may_be || now < known.cold_until
    }

    /// Returns whether this entry has a turn at a cold backend server now that it has
    /// not used.
    pub fn has_turn(&self, now: MonoTime, id: &ServerId, limits: &ColdConfig) -> bool {
        let turn = self.turn(now, id, limits);
        turn.is_some_and(|turn| self.used.get(id) != Some(&turn))
    }

    /// Uses the turn at a backend server, if there is one now.
    pub fn use_turn(&mut self, now: MonoTime, id: &ServerId, limits: &ColdConfig) {
        if let Some(turn) = self.turn(now, id, limits) {
            self.used.insert(id.clone(), turn);
        }
    }

    /// Forgets turns at backend servers that are gone.
    pub fn retain(&mut self, known: impl Fn(&ServerId) -> bool) {
        self.used.retain(|id, _| known(id));
    }

    /// Returns the number of this entry's turn at a backend server, if it is now.
    fn turn(&self, now: MonoTime, id: &ServerId, limits: &ColdConfig) -> Option<u64> {
        let rate = limits.per_second * SHARE;
        let entries = self.entries.max();
        if entries == 0 || rate <= 0.0 {
            return None;
        }
        let period = f64::from(entries) / rate;
        let turn = TURN.as_secs_f64().min(period);
        let at = now.as_secs_f64() / period + hash::unit(id.as_bytes(), &self.name);
        (at.fract() * period < turn).then_some(at.floor() as u64)
    }
}
