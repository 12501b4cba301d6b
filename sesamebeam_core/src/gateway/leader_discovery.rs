//! Discovery of the leader by a process that wants to join the group.

use std::collections::BTreeSet;

use crate::ids::ProcessAddr;

/// Chooses the processes to send a join request to. Only the leader admits members, so once
/// it is known the others are no longer asked: each request is a separate connection, and
/// most processes of a large fleet stay on standby for their whole runtime.
#[derive(Clone, Debug, Default)]
pub struct LeaderDiscovery {
    leader: Option<ProcessAddr>,
}

impl LeaderDiscovery {
    /// Returns the processes to ask, given those that may know the group.
    pub fn targets(&self, candidates: BTreeSet<ProcessAddr>) -> BTreeSet<ProcessAddr> {
        match self.leader {
            Some(leader) => BTreeSet::from([leader]),
            None => candidates,
        }
    }

    /// Records whether a process leads the group; `None` if it did not reply.
    pub fn record_reply(&mut self, addr: ProcessAddr, leads: Option<bool>) {
        if leads == Some(true) {
            self.leader = Some(addr);
        } else {
            self.leader.take_if(|leader| *leader == addr);
        }
    }
}
