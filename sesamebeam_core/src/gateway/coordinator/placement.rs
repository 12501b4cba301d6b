//! Distribution of the voters over failure domains.
//!
//! The loss of one failure domain must leave a quorum, and entries follow a replica of
//! their own domain if it has a voter. A vacancy therefore goes to a process in the domain
//! with the fewest voters among those that ask to join.

use std::{
    collections::BTreeMap,
    time::Duration, //
};

use crate::ids::{
    DomainId,
    MonoTime,
    NodeId, //
};

/// Time within which every process that wants to join has asked: two of its polling rounds.
const JOIN_REQUEST_WINDOW: Duration = Duration::from_millis(600);

/// Known failure domains of replicas, and recent requests to join.
#[derive(Debug, Default)]
pub(super) struct VoterPlacement {
    domains: BTreeMap<NodeId, DomainId>,
    /// When a process of each failure domain last asked to join.
    last_asked: BTreeMap<DomainId, MonoTime>,
    /// Since when the group has had a vacancy.
    vacant_since: Option<MonoTime>,
}

impl VoterPlacement {
    /// Records the failure domain of a replica.
    pub(super) fn set_domain(&mut self, node: NodeId, domain: DomainId) {
        self.domains.insert(node, domain);
    }

    /// Drops replicas that are no longer members.
    pub(super) fn retain(&mut self, is_member: impl Fn(NodeId) -> bool) {
        self.domains.retain(|&node, _| is_member(node));
    }

    /// Returns the known failure domains.
    pub(super) fn domains(&self) -> &BTreeMap<NodeId, DomainId> {
        &self.domains
    }

    /// Returns whether a process of a failure domain may fill the vacancy, if there is one,
    /// given the replicas that stay.
    pub(super) fn may_join<'a>(
        &mut self,
        now: MonoTime,
        domain: &DomainId,
        is_vacant: bool,
        remaining: impl Iterator<Item = &'a NodeId>,
    ) -> bool {
        self.last_asked.insert(domain.clone(), now);
        self.last_asked
            .retain(|_, at| now < *at + JOIN_REQUEST_WINDOW);
        if !is_vacant {
            self.vacant_since = None;
            return false;
        }
        let since = *self.vacant_since.get_or_insert(now);
        let mut voters: BTreeMap<&DomainId, usize> = BTreeMap::new();
        for domain in remaining.filter_map(|node| self.domains.get(node)) {
            *voters.entry(domain).or_default() += 1;
        }
        let count = |domain| voters.get(domain).copied().unwrap_or_default();
        let min_count = self.last_asked.keys().map(count).min().unwrap_or_default();
        let own_count = count(domain);
        let admitted =
            own_count == 0 || own_count == min_count && now >= since + JOIN_REQUEST_WINDOW;
        if admitted {
            self.vacant_since = None;
        }
        admitted
    }
}
