//! Leases: how long a leader may trust that no other leads.
//!
//! A follower that hears a leader votes for nobody for [`ReplicaConfig::lease`]
//! on its own clock. The leader counts its lease from before it sent what the
//! follower heard, and shortens it for the worst pair of clocks: its own slow
//! by the bound, the follower's fast by it.
//!
//! [`ReplicaConfig::lease`]: super::ReplicaConfig::lease

use std::{
    collections::BTreeMap,
    time::Duration, //
};

use crate::ids::MonoTime;

/// Returns how long a leader may hold a lease on its own clock when followers
/// keep their promise for `lease` on theirs.
///
/// A clock that runs at `1 - drift` shows `d` after `d / (1 - drift)` of true
/// time; one that runs at `1 + drift` shows `lease` after `lease / (1 + drift)`.
/// The former must not be later than the latter.
pub fn leader_lease(lease: Duration, drift: f64) -> Duration {
    lease.mul_f64((1.0 - drift) / (1.0 + drift))
}

/// Sending rounds of a leader and the last one that a quorum has heard.
#[derive(Debug)]
pub(super) struct Rounds {
    /// Number of the last round.
    last: u64,
    /// Time of sending of the rounds that a quorum has not passed yet.
    sent: BTreeMap<u64, MonoTime>,
    /// Last round that a quorum has heard.
    heard: u64,
    /// Time of sending of that round.
    heard_sent: Option<MonoTime>,
}

impl Rounds {
    /// Starts without any round.
    pub(super) fn new() -> Self {
        Rounds {
            last: 0,
            sent: BTreeMap::new(),
            heard: 0,
            heard_sent: None,
        }
    }

    /// Returns the number of the last round.
    pub(super) fn last(&self) -> u64 {
        self.last
    }

    /// Returns the last round that a quorum has heard.
    pub(super) fn heard(&self) -> u64 {
        self.heard
    }

    /// Returns when the last round that a quorum has heard was sent.
    pub(super) fn heard_sent(&self) -> Option<MonoTime> {
        self.heard_sent
    }

    /// Starts a round, or goes on with the last if no time has passed.
    pub(super) fn begin(&mut self, now: MonoTime) {
        if self.sent.last_key_value().map(|(_, &at)| at) == Some(now) {
            return;
        }
        self.renew(now);
    }

    /// Starts a round. A read needs one that was sent after it came.
    pub(super) fn renew(&mut self, now: MonoTime) {
        self.last += 1;
        self.sent.insert(self.last, now);
    }

    /// Notes the last round that a quorum has heard.
    pub(super) fn note_heard(&mut self, round: u64) {
        if round <= self.heard {
            return;
        }
        self.heard = round;
        if let Some(&at) = self.sent.get(&round) {
            self.heard_sent = Some(at);
        }
        self.sent = self.sent.split_off(&round);
    }
}
