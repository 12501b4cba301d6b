//! Selection of the control replica that an entry follows, and of the replicas that it
//! asks to resynchronise.
//!
//! An entry prefers a replica in its own failure domain: updates from there cause no
//! traffic between failure domains and don't depend on the network between them. All
//! other connected replicas send a summary of their state twice a second. If the followed
//! replica is partitioned from the control group, these summaries show that the entry
//! lags behind, and the entry requests the missing state from a replica that is ahead.

use std::{
    collections::BTreeMap,
    time::Duration, //
};

use super::{
    config::ConfigVersion,
    messages::StateSummary, //
};
use crate::{
    ids::{
        DomainId,
        LogIndex,
        MonoTime,
        ProcessAddr, //
    },
    policy::hash,
};

/// How long the followed replica may know no leader before the entry switches to a
/// replica that knows one. Longer than an election.
const LEADERLESS_TIMEOUT: Duration = Duration::from_millis(1000);

/// How long a replica in the entry's own failure domain must have been connected before
/// the entry switches back to it. A replica that has just started still has to rebuild
/// its log and directory. An entry without a followed replica takes any replica at once.
const FAILBACK_DELAY: Duration = Duration::from_secs(2);

/// How long another replica may be ahead of the entry before it is asked for its state.
/// Pushes from the followed replica arrive within a few milliseconds.
const LAG_TOLERANCE: Duration = Duration::from_millis(300);

/// Minimum interval between two resync requests to one replica.
const RESYNC_INTERVAL: Duration = Duration::from_millis(500);

/// Number of consecutive summaries with a different server digest before the replica is
/// asked for its state. A single mismatch is usually an update that is still in flight.
const MISMATCHES_BEFORE_RESYNC: u32 = 2;

/// Upper limit of that number. It doubles after each request that does not resolve the
/// mismatch, because two directories can differ for a long time in records that one of
/// them has expired.
const MAX_MISMATCHES_BEFORE_RESYNC: u32 = 64;

/// An action that the entry has to perform.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SubscriptionAction {
    /// Follow this replica, which then pushes updates.
    Follow(ProcessAddr),
    /// Stop following this replica.
    Unfollow(ProcessAddr),
    /// Request the state that the entry lacks from this replica.
    Ask(ProcessAddr),
}

/// Summary of the entry's own state, for comparison with those of the replicas.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LocalSummary {
    /// Version of its configuration.
    pub config: Option<ConfigVersion>,
    /// Log index of its operator orders.
    pub index: LogIndex,
    /// Digest of its server directory.
    pub servers: u32,
}

/// A connected replica.
#[derive(Clone, Debug)]
struct Replica {
    /// Time of the connection.
    connected_at: MonoTime,
    /// Failure domain of the replica, once known.
    domain: Option<DomainId>,
    summary: StateSummary,
    /// Start of the period in which the replica has known no leader.
    leaderless_since: Option<MonoTime>,
    /// Start of the period in which the replica has been ahead of the entry.
    ahead_since: Option<MonoTime>,
    /// Earliest time of the next resync request.
    next_resync_at: MonoTime,
    /// Consecutive summaries with a different server digest.
    mismatches: u32,
    /// Value of `mismatches` from which the replica is asked.
    resync_threshold: u32,
}

/// The control replicas to which an entry is connected.
#[derive(Clone, Debug)]
pub struct Subscription {
    /// Name of this entry. It spreads the entries without a local replica over the
    /// others.
    name: String,
    domain: DomainId,
    replicas: BTreeMap<ProcessAddr, Replica>,
    followed: Option<ProcessAddr>,
}

impl Subscription {
    /// Creates a subscription without any connected replica.
    pub fn new(name: &str, domain: &DomainId) -> Self {
        Self {
            name: name.to_owned(),
            domain: domain.clone(),
            replicas: BTreeMap::new(),
            followed: None,
        }
    }

    /// Returns the replica that this entry follows.
    pub fn followed(&self) -> Option<ProcessAddr> {
        self.followed
    }

    /// Records a new connection.
    pub fn connected(&mut self, now: MonoTime, addr: ProcessAddr) {
        let replica = Replica {
            connected_at: now,
            domain: None,
            summary: StateSummary::default(),
            leaderless_since: Some(now),
            ahead_since: None,
            next_resync_at: MonoTime::ZERO,
            mismatches: 0,
            resync_threshold: MISMATCHES_BEFORE_RESYNC,
        };
        self.replicas.insert(addr, replica);
    }

    /// Records that a connection was closed.
    pub fn disconnected(&mut self, addr: ProcessAddr) {
        self.replicas.remove(&addr);
        self.followed.take_if(|followed| *followed == addr);
    }

    /// Records the failure domain of a replica.
    pub fn set_domain(&mut self, addr: ProcessAddr, domain: DomainId) {
        if let Some(replica) = self.replicas.get_mut(&addr) {
            replica.domain = Some(domain);
        }
    }

    /// Records the summary that a replica has sent, and compares it with the entry's own.
    pub fn summary_received(
        &mut self,
        now: MonoTime,
        addr: ProcessAddr,
        summary: StateSummary,
        local: &LocalSummary,
    ) {
        let Some(replica) = self.replicas.get_mut(&addr) else {
            return;
        };
        replica.summary = summary;
        if summary.settled {
            replica.leaderless_since = None;
        } else {
            replica.leaderless_since.get_or_insert(now);
        }
        if summary.servers == local.servers {
            replica.mismatches = 0;
            replica.resync_threshold = MISMATCHES_BEFORE_RESYNC;
        } else {
            replica.mismatches += 1;
        }
    }

    /// Returns the actions that are due.
    pub fn poll(&mut self, now: MonoTime, local: &LocalSummary) -> Vec<SubscriptionAction> {
        let mut actions = self.choose_followed(now);
        for (&addr, replica) in &mut self.replicas {
            if replica.should_resync(now, local) {
                actions.push(SubscriptionAction::Ask(addr));
            }
        }
        actions
    }

    /// Chooses the replica to follow and returns the actions for a change.
    fn choose_followed(&mut self, now: MonoTime) -> Vec<SubscriptionAction> {
        let Some(best_replica) = self.best_replica(now) else {
            return Vec::new();
        };
        let current = self
            .followed
            .and_then(|t| Some((t, self.replicas.get(&t)?)));
        let Some((followed, replica)) = current else {
            self.followed = Some(best_replica);
            return vec![SubscriptionAction::Follow(best_replica)];
        };
        let is_leaderless = replica.is_leaderless(now);
        let best_state = &self.replicas[&best_replica];
        let should_fail_back = !self.is_local(replica)
            && self.is_local(best_state)
            && now.saturating_sub(best_state.connected_at) >= FAILBACK_DELAY;
        let should_switch = best_state.summary.settled && (is_leaderless || should_fail_back);
        if best_replica == followed || !should_switch {
            return Vec::new();
        }
        self.followed = Some(best_replica);
        vec![
            SubscriptionAction::Unfollow(followed),
            SubscriptionAction::Follow(best_replica),
        ]
    }

    /// Returns the best replica to follow.
    fn best_replica(&self, now: MonoTime) -> Option<ProcessAddr> {
        let rank = |(addr, replica): &(&ProcessAddr, &Replica)| {
            let weight = hash::rendezvous(&self.name, addr.to_string().as_bytes());
            (!replica.is_leaderless(now), self.is_local(replica), weight)
        };
        let best_replica = self.replicas.iter().max_by_key(rank);
        best_replica.map(|(&addr, _)| addr)
    }

    fn is_local(&self, replica: &Replica) -> bool {
        replica.domain.as_ref() == Some(&self.domain)
    }
}

impl Replica {
    /// Returns whether the replica has known no leader for too long.
    fn is_leaderless(&self, now: MonoTime) -> bool {
        let since = self.leaderless_since;
        since.is_some_and(|since| now.saturating_sub(since) >= LEADERLESS_TIMEOUT)
    }

    /// Returns whether the replica should be asked to resynchronise, and schedules the
    /// next request if so.
    fn should_resync(&mut self, now: MonoTime, local: &LocalSummary) -> bool {
        let summary = &self.summary;
        let is_ahead = summary.config > local.config || summary.index > local.index;
        let ahead_since = match is_ahead {
            true => *self.ahead_since.get_or_insert(now),
            false => {
                self.ahead_since = None;
                now
            }
        };
        let is_behind = now.saturating_sub(ahead_since) >= LAG_TOLERANCE;
        let differs = self.mismatches >= self.resync_threshold;
        if now < self.next_resync_at || !is_behind && !differs {
            return false;
        }
        self.next_resync_at = now + RESYNC_INTERVAL;
        if differs {
            self.mismatches = 0;
            self.resync_threshold = (self.resync_threshold * 2).min(MAX_MISMATCHES_BEFORE_RESYNC);
        }
        true
    }
}
