//! What one entry knows of a backend server, and its load by that.

use std::time::Duration;

use crate::{
    gateway::{
        loads::LoadOf,
        pause::Pause,
        reading::Queue, //
    },
    ids::{
        DomainId,
        MonoTime, //
    },
};

/// How much more a waiting request says of the load than a running one: it
/// holds up all that comes, where a running one only slows it.
const WAITING_WEIGHT: f64 = 3.0;

/// Time in which a reported load is worth half: engines turn over within it.
const LOAD_HALF_LIFE: Duration = Duration::from_millis(500);

/// What one entry knows of a backend server from its own requests.
#[derive(Clone, Debug, Default)]
pub(super) struct Seen {
    /// Its failure domain.
    pub(super) domain: DomainId,
    /// Own requests that are there.
    pub(super) in_flight: u32,
    /// Load that it reported to this entry.
    pub(super) load: Option<Reported>,
    /// Load that it reported to another entry.
    pub(super) shared: Option<Reported>,
    /// Share of its answers that failed.
    pub(super) failures: f64,
    /// Pause in which it gets nothing, as it could not be reached.
    pub(super) pause: Pause,
    /// When anything last came from it.
    pub(super) heard_at: MonoTime,
    /// Long prompts that it has yet to read.
    pub(super) queue: Queue,
    /// When it last said, to any entry, that nothing waits there.
    pub(super) idle_at: MonoTime,
}

/// What is known of a load, in shares of the slots.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Estimate {
    /// Own requests.
    pub(super) own: f64,
    /// Requests of others, as of the newest report.
    pub(super) others: f64,
    /// How much that report counts, 0 to 1.
    pub(super) weight: f64,
}

/// Load that a backend server reported.
#[derive(Clone, Copy, Debug)]
pub(super) struct Reported {
    pub(super) running: u32,
    pub(super) waiting: u32,
    /// When it came here.
    pub(super) at: MonoTime,
    /// Own requests that were there at that time.
    pub(super) own: u32,
}

impl Seen {
    /// Returns the newest report that any entry has heard.
    pub(super) fn newest(&self) -> Option<Reported> {
        let reports = [self.load, self.shared].into_iter().flatten();
        reports.max_by_key(|reported| reported.at)
    }

    /// Returns the requests there as a share of the slots.
    ///
    /// A report gives way to what this entry sees itself: left standing, an old
    /// report of an idle engine draws every entry to it at once.
    pub(super) fn load(&self, now: MonoTime, slots: u32, reported: Option<Reported>) -> f64 {
        let own = f64::from(self.in_flight);
        let others = reported.map_or(0.0, |r| r.others() * r.weight(now));
        (own + others) / f64::from(slots.max(1))
    }

    /// Returns what any entry has heard of it.
    pub(super) fn estimate(&self, now: MonoTime, slots: u32) -> Estimate {
        let slots = f64::from(slots.max(1));
        let newest = self.newest();
        Estimate {
            own: f64::from(self.in_flight) / slots,
            others: newest.map_or(0.0, |r| r.others() / slots),
            weight: newest.map_or(0.0, |r| r.weight(now)),
        }
    }

    /// Notes that nothing waits there, if that was said.
    pub(super) fn note_idle(&mut self, now: MonoTime, load: LoadOf) {
        if load.waiting == 0 {
            self.idle_at = now;
        }
    }

    /// Makes a report of what was said now.
    pub(super) fn reported(&self, now: MonoTime, load: LoadOf) -> Reported {
        Reported {
            running: load.running,
            waiting: load.waiting,
            at: now,
            own: self.in_flight,
        }
    }
}

impl Reported {
    /// Returns the requests there that are not this entry's.
    pub(super) fn others(&self) -> f64 {
        let there = f64::from(self.running) + WAITING_WEIGHT * f64::from(self.waiting);
        (there - f64::from(self.own)).max(0.0)
    }

    /// Returns how much it still counts.
    pub(super) fn weight(&self, now: MonoTime) -> f64 {
        let age = now.saturating_sub(self.at).as_secs_f64();
        0.5f64.powf(age / LOAD_HALF_LIFE.as_secs_f64())
    }
}
