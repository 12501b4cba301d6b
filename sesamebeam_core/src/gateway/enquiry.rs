//! Whom a process without a place in the group asks for one.

use std::collections::BTreeSet;

use crate::ids::ProcessAddr;

/// Whom to ask next. Only the leader gives places away: once it is known, the others are
/// not asked, as each question is a connection of its own and most processes of a large
/// fleet wait in reserve for as long as they run.
#[derive(Clone, Debug, Default)]
pub struct Enquiry {
    leader: Option<ProcessAddr>,
}

impl Enquiry {
    /// Returns whom to ask, of those that may know.
    pub fn targets(&self, known: BTreeSet<ProcessAddr>) -> BTreeSet<ProcessAddr> {
        match self.leader {
            Some(leader) => BTreeSet::from([leader]),
            None => known,
        }
    }

    /// Notes whether a process leads the group; none if it did not answer.
    pub fn answered(&mut self, addr: ProcessAddr, leads: Option<bool>) {
        if leads == Some(true) {
            self.leader = Some(addr);
        } else {
            self.leader.take_if(|leader| *leader == addr);
        }
    }
}
