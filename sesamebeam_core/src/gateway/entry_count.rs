//! Number of entries among which shared budgets are divided.
//!
//! No entry sees the total of what all entries consume: retries beyond a share of the
//! requests, requests to backend servers that are cold or rate-limited, and connections.
//! Each entry uses an equal portion of the total, and must not assume fewer entries than
//! there are.
//!
//! A control replica counts the entries connected to it. It publishes the number once the
//! count has settled, or once an entry that followed another replica before reports a
//! number. Published immediately after all processes have started together, the count would
//! make the first entry assume that it is alone. An entry that starts later is told
//! immediately.

use std::time::Duration;

use crate::ids::MonoTime;

/// Time after the first entry has connected to a control replica by which all others have:
/// entries connect to every replica within 1.2 s of their first connection.
const SETTLE_TIME: Duration = Duration::from_millis(1500);

/// Count of the entries connected to a control replica.
#[derive(Clone, Copy, Debug, Default)]
pub struct EntryCounter {
    max: u32,
    /// When the first entry connected.
    since: Option<MonoTime>,
    /// Whether an entry has reported a number.
    reported: bool,
    /// Number last published, by `take_changed`.
    last_returned: u32,
}

impl EntryCounter {
    /// Records the number of connected entries.
    pub fn record_connected(&mut self, now: MonoTime, entries: u32) {
        self.since.get_or_insert(now);
        self.max = self.max.max(entries);
    }

    /// Records the number that an entry knows; 0 if it knows none.
    pub fn record_reported(&mut self, entries: u32) {
        self.reported |= entries > 0;
        self.max = self.max.max(entries);
    }

    /// Returns the largest number of simultaneously connected entries; 0 while it is not
    /// known.
    pub fn count(&self, now: MonoTime) -> u32 {
        let settled = self.since.is_some_and(|since| now >= since + SETTLE_TIME);
        match settled || self.reported {
            true => self.max,
            false => 0,
        }
    }

    /// Returns the number last returned as changed; 0 if there is none.
    pub fn published(&self) -> u32 {
        self.last_returned
    }

    /// Returns whether the number has changed since the last call.
    pub fn take_changed(&mut self, now: MonoTime) -> bool {
        let count = self.count(now);
        std::mem::replace(&mut self.last_returned, count) != count
    }
}

/// Largest number of entries that an entry has been told of. The maximum is kept because
/// during a network partition each side sees only its own entries.
#[derive(Clone, Copy, Debug, Default)]
pub struct KnownEntryCount {
    max: u32,
    /// When the first number was received.
    since: MonoTime,
}

impl KnownEntryCount {
    /// Records a number of entries and returns whether it is a new maximum.
    pub fn record(&mut self, now: MonoTime, entries: u32) -> bool {
        if self.max == 0 {
            self.since = now;
        }
        let is_larger = entries > self.max;
        self.max = self.max.max(entries);
        is_larger
    }

    /// Returns the largest number received; 0 if there is none.
    pub fn max(&self) -> u32 {
        self.max
    }

    /// Returns when the first number was received.
    pub fn since(&self) -> Option<MonoTime> {
        (self.max > 0).then_some(self.since)
    }
}
