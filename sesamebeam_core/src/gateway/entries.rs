//! How many entries share what is borne in common.
//!
//! What all entries spend together, none of them sees: repeated sends beyond a share of the
//! requests, sends to backend servers that are cold or name a limit, connections. Each takes
//! its part of the whole, for which it must not take itself for one of fewer than there are.
//!
//! A control replica counts the entries that are connected to it, and says how many there
//! are once that count has settled, or one that has followed another replica knows it. Told
//! at once after all processes had started together, the first entry would take itself for
//! the only one. An entry that starts alone is told at once.

use std::time::Duration;

use crate::ids::MonoTime;

/// Time after the first entry has connected to a control replica in which all others have:
/// they connect to every replica within 1.2 s of their first connection.
const SETTLES_IN: Duration = Duration::from_millis(1500);

/// The entries that a control replica has counted.
#[derive(Clone, Copy, Debug, Default)]
pub struct Counted {
    most: u32,
    /// When the first one connected.
    since: Option<MonoTime>,
    /// Whether an entry knew that there are so many.
    confirmed: bool,
    /// What was last told.
    told: u32,
}

impl Counted {
    /// Notes how many are connected.
    pub fn connected(&mut self, now: MonoTime, entries: u32) {
        self.since.get_or_insert(now);
        self.most = self.most.max(entries);
    }

    /// Notes how many an entry knows of; 0 if it does not know.
    pub fn confirmed(&mut self, entries: u32) {
        self.confirmed |= entries > 0;
        self.most = self.most.max(entries);
    }

    /// Returns the most that there were at once; 0 while that is not known.
    pub fn known(&self, now: MonoTime) -> u32 {
        let settled = self.since.is_some_and(|since| now >= since + SETTLES_IN);
        match settled || self.confirmed {
            true => self.most,
            false => 0,
        }
    }

    /// Returns whether it has changed since the last call.
    pub fn has_news(&mut self, now: MonoTime) -> bool {
        let known = self.known(now);
        std::mem::replace(&mut self.told, known) != known
    }
}

/// The most entries that an entry was ever told of: after a cut each side sees only its
/// own.
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

    /// Returns since when there is a count.
    pub fn since(&self) -> Option<MonoTime> {
        (self.most > 0).then_some(self.since)
    }
}
