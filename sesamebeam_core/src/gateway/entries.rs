//! How many entries share what is borne in common.
//!
//! What all entries spend together, none of them sees: repeated sends beyond a share of the
//! requests, sends to backend servers that are cold or name a limit, connections. Each takes
//! its part of the whole, for which it must not take itself for one of fewer than there are.

use std::time::Duration;

use crate::ids::MonoTime;

/// Time after an entry first heard of others until it knows of all. A control replica
/// counts who is connected to it: after all processes have started together, the first
/// entry would take itself for the only one. Entries connect to every replica within
/// 1.2 s of their first connection.
pub const SETTLES_IN: Duration = Duration::from_secs(2);

/// The most entries that were ever heard of: after a cut each side sees only its own.
#[derive(Clone, Copy, Debug, Default)]
pub struct EntryCount {
    most: u32,
    /// When the first count came.
    since: MonoTime,
}

impl EntryCount {
    /// Notes how many there are and returns whether that are more than before.
    pub fn hear(&mut self, now: MonoTime, entries: u32) -> bool {
        if self.most == 0 {
            self.since = now;
        }
        let grew = entries > self.most;
        self.most = self.most.max(entries);
        grew
    }

    /// Returns the most that were heard of; 0 before any.
    pub fn most(&self) -> u32 {
        self.most
    }

    /// Returns how many share, once that is known.
    pub fn settled(&self, now: MonoTime) -> Option<u32> {
        let settled_at = self.settled_at()?;
        (now >= settled_at).then_some(self.most)
    }

    /// Returns from when on the count holds for all, if there is one.
    pub fn settled_at(&self) -> Option<MonoTime> {
        (self.most > 0).then_some(self.since + SETTLES_IN)
    }
}
