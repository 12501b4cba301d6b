//! Invariants, checked after each step.

use sesamebeam_core::{
    ids::{
        LogIndex,
        NodeId, //
    },
    replica::Ticket,
};

use super::{
    Net,
    Node,
    Violation, //
};

impl Net {
    /// Asserts that no invariant was violated.
    pub(crate) fn assert_no_violations(&self) {
        assert_eq!(self.violations, []);
    }

    /// Returns whether a matching violation was recorded.
    pub(crate) fn has_violation(&self, f: impl Fn(&Violation) -> bool) -> bool {
        self.violations.iter().any(f)
    }

    /// Applies an entry and compares it with the one that other replicas applied at
    /// the same index.
    pub(super) fn apply(
        &mut self,
        id: NodeId,
        index: LogIndex,
        ticket: Option<Ticket>,
        data: Vec<u8>,
    ) {
        let node = self.nodes.get_mut(&id).unwrap();
        let skipped = self.applied_entries.range(node.applied + 1..index).next();
        if let Some((&lost, _)) = skipped {
            self.violations.push(Violation::Lost(lost));
        }
        if *self
            .applied_entries
            .entry(index)
            .or_insert_with(|| data.clone())
            != data
        {
            self.violations.push(Violation::Diverged(index));
        }
        node.state.push((index, data));
        node.applied = index;
        if let Some(ticket) = ticket {
            self.acked.insert(ticket, index);
        }
    }

    /// Checks that a read observes all entries acknowledged before it.
    pub(super) fn finish_read(&mut self, id: NodeId, ticket: Ticket) {
        self.completed_reads.insert(ticket);
        let required = self.acked_at_read.get(&ticket).copied().unwrap_or(0);
        if self.nodes[&id].applied < required {
            self.violations.push(Violation::StaleRead(id));
        }
    }

    /// Checks the invariants that hold at all times.
    pub(super) fn check(&mut self) {
        self.check_leaders();
        self.check_leases();
        self.check_synced();
    }

    /// Checks that there is at most one leader per term.
    fn check_leaders(&mut self) {
        for id in self.leaders() {
            let start_count = self.nodes[&id].start_count;
            let term = self.replica(id).term();
            let seen = *self.leaders.entry(term).or_insert((id, start_count));
            if seen != (id, start_count) {
                self.note(Violation::TwoLeaders(term));
            }
        }
    }

    /// Checks that at most one replica holds a lease.
    fn check_leases(&mut self) {
        let holds = |(id, node): (&NodeId, &Node)| {
            let now = self.local_time(*id, self.now);
            let held = node.replica.as_ref().is_some_and(|r| r.has_lease(now));
            held.then_some(*id)
        };
        let holders: Vec<NodeId> = self.nodes.iter().filter_map(holds).collect();
        if let [a, b, ..] = holders[..] {
            self.note(Violation::TwoLeases(a, b));
        }
    }

    /// Checks that committed entries are synced by a quorum.
    fn check_synced(&mut self) {
        let best = self.nodes.values().filter_map(|node| {
            let replica = node.replica.as_ref()?;
            Some((replica.committed(), replica.members().clone()))
        });
        let Some((committed, members)) = best.max_by_key(|(committed, _)| *committed) else {
            return;
        };
        if committed <= self.checked_commit {
            return;
        }
        self.checked_commit = committed;
        let holds = |id: NodeId| {
            let node = self.nodes.get(&id);
            node.is_some_and(|n| n.synced().max(n.lost_synced) >= committed)
        };
        let synced_voters = members.voters().filter(|&id| holds(id)).count();
        if synced_voters < members.quorum() {
            self.note(Violation::Unsynced(committed));
        }
    }

    /// Records a violation unless it equals the last one.
    fn note(&mut self, violation: Violation) {
        if self.violations.last() != Some(&violation) {
            self.violations.push(violation);
        }
    }
}
