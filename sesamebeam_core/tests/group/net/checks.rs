//! The invariants, checked after each step.

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
    /// Asserts that nothing bad was seen.
    pub(crate) fn assert_sound(&self) {
        assert_eq!(self.violations, []);
    }

    /// Returns whether a kind of violation was seen.
    pub(crate) fn saw(&self, f: impl Fn(&Violation) -> bool) -> bool {
        self.violations.iter().any(f)
    }

    /// Applies an entry and compares it with what others applied.
    pub(super) fn apply(
        &mut self,
        id: NodeId,
        index: LogIndex,
        ticket: Option<Ticket>,
        data: Vec<u8>,
    ) {
        let node = self.nodes.get_mut(&id).unwrap();
        let passed_over = self.chosen.range(node.applied + 1..index).next();
        if let Some((&lost, _)) = passed_over {
            self.violations.push(Violation::Lost(lost));
        }
        if *self.chosen.entry(index).or_insert_with(|| data.clone()) != data {
            self.violations.push(Violation::Diverged(index));
        }
        node.state.push((index, data));
        node.applied = index;
        if let Some(ticket) = ticket {
            self.acked.insert(ticket, index);
        }
    }

    /// Checks that a read sees what was acknowledged before it.
    pub(super) fn finish_read(&mut self, id: NodeId, ticket: Ticket) {
        self.read.insert(ticket);
        let wanted = self.reads.get(&ticket).copied().unwrap_or(0);
        if self.nodes[&id].applied < wanted {
            self.violations.push(Violation::StaleRead(id));
        }
    }

    /// Checks what must hold at every moment.
    pub(super) fn check(&mut self) {
        self.check_leaders();
        self.check_leases();
        self.check_synced();
    }

    /// One leader a term.
    fn check_leaders(&mut self) {
        for id in self.leaders() {
            let life = self.nodes[&id].life;
            let term = self.replica(id).term();
            let seen = *self.leaders.entry(term).or_insert((id, life));
            if seen != (id, life) {
                self.note(Violation::TwoLeaders(term));
            }
        }
    }

    /// One lease at a time.
    fn check_leases(&mut self) {
        let holds = |(id, node): (&NodeId, &Node)| {
            let now = self.local(*id, self.now);
            let held = node.replica.as_ref().is_some_and(|r| r.has_lease(now));
            held.then_some(*id)
        };
        let holders: Vec<NodeId> = self.nodes.iter().filter_map(holds).collect();
        if let [a, b, ..] = holders[..] {
            self.note(Violation::TwoLeases(a, b));
        }
    }

    /// Committed entries are on a quorum of disks, and none is passed over.
    fn check_synced(&mut self) {
        let best = self.nodes.values().filter_map(|node| {
            let replica = node.replica.as_ref()?;
            Some((replica.committed(), replica.members().clone()))
        });
        let Some((committed, members)) = best.max_by_key(|(committed, _)| *committed) else {
            return;
        };
        if committed <= self.counted {
            return;
        }
        self.counted = committed;
        let holds = |id: NodeId| {
            let node = self.nodes.get(&id);
            node.is_some_and(|n| n.synced().max(n.lost) >= committed)
        };
        let holding = members.voters().filter(|&id| holds(id)).count();
        if holding < members.quorum() {
            self.note(Violation::Unsynced(committed));
        }
    }

    /// Notes a violation once.
    fn note(&mut self, violation: Violation) {
        if self.violations.last() != Some(&violation) {
            self.violations.push(violation);
        }
    }
}
