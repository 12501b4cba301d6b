//! Leader leases: the time for which a leader can rely on being the only one.
//!
//! A follower that receives a message from a leader grants no vote for
//! [`ReplicaConfig::lease`] on its own clock. The leader's lease starts when it
//! sent that message, and is shortened for the worst case of clock drift: its own
//! clock slow and the follower's fast, both by the bound.
//!
//! [`ReplicaConfig::lease`]: super::ReplicaConfig::lease

use std::{
    collections::BTreeMap,
    time::Duration, //
};

use crate::ids::MonoTime;

/// Returns how long a leader's lease lasts on its own clock when followers withhold
/// their votes for `lease` on theirs.
///
/// A clock that runs at `1 - drift` shows `d` after `d / (1 - drift)` of true time;
/// one that runs at `1 + drift` shows `lease` after `lease / (1 + drift)`. The
/// former must not exceed the latter.
pub fn leader_lease(lease: Duration, drift: f64) -> Duration {
    lease.mul_f64((1.0 - drift) / (1.0 + drift))
}

/// A leader's message rounds and the last one acknowledged by a quorum.
#[derive(Debug)]
pub(super) struct Rounds {
    /// Number of the latest round.
    last: u64,
    /// Send times of the last acknowledged round and all later ones.
    sent_at: BTreeMap<u64, MonoTime>,
    /// Last round acknowledged by a quorum.
    acked: u64,
    /// Send time of that round.
    acked_sent_at: Option<MonoTime>,
}

impl Rounds {
    /// Creates a tracker with no rounds.
    pub(super) fn new() -> Self {
        Rounds {
            last: 0,
            sent_at: BTreeMap::new(),
            acked: 0,
            acked_sent_at: None,
        }
    }

    /// Returns the number of the latest round.
    pub(super) fn last(&self) -> u64 {
        self.last
    }

    /// Returns the last round acknowledged by a quorum.
    pub(super) fn acked(&self) -> u64 {
        self.acked
    }

    /// Returns the send time of the last round acknowledged by a quorum.
    pub(super) fn acked_sent_at(&self) -> Option<MonoTime> {
        self.acked_sent_at
    }

    /// Starts a round, or reuses the latest if it started at the same time.
    pub(super) fn begin(&mut self, now: MonoTime) {
        if self.sent_at.last_key_value().map(|(_, &at)| at) == Some(now) {
            return;
        }
        self.begin_new(now);
    }

    /// Always starts a new round. A read needs a round that starts after its
    /// arrival.
    pub(super) fn begin_new(&mut self, now: MonoTime) {
        self.last += 1;
        self.sent_at.insert(self.last, now);
    }

    /// Records the last round acknowledged by a quorum.
    pub(super) fn note_acked_round(&mut self, round: u64) {
        if round <= self.acked {
            return;
        }
        self.acked = round;
        if let Some(&at) = self.sent_at.get(&round) {
            self.acked_sent_at = Some(at);
        }
        self.sent_at = self.sent_at.split_off(&round);
    }
}
