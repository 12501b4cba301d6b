//! Parts of a prompt that are held to be fatal together, until an answer shows otherwise.

use std::time::Duration;

use crate::{
    gateway::{
        messages::FatalParts,
        request::{
            AnswerProgress,
            PartId, //
        },
    },
    ids::MonoTime,
};

/// Time after which one request may find out whether a verdict still holds, and the factor
/// by which that grows with each. A right verdict costs a backend server each time.
const FIRST_PROBE_AFTER: Duration = Duration::from_secs(20);
const PROBE_FACTOR: u32 = 4;

/// Maximum time between two such requests.
const MAX_PROBE_INTERVAL: Duration = Duration::from_secs(3600);

/// Parts of a prompt that are held to be fatal if a request has all of them.
#[derive(Clone, Debug, PartialEq)]
pub struct Verdict {
    /// The parts, in ascending order.
    pub parts: Vec<PartId>,
    /// Number of crashes that it rests on.
    pub crashes: u32,
    /// When it was reached.
    pub since: MonoTime,
    /// Number of requests refused for it.
    pub refused: u64,
    /// When a backend server last crashed under these parts.
    pub(super) last_crash_at: MonoTime,
    /// Number of events that answers on these parts had at most when they crashed theirs.
    pub(super) events: u32,
    last_refused_at: MonoTime,
    probes: u32,
    next_probe_at: MonoTime,
}

impl Verdict {
    /// Creates a verdict that nothing has been refused for yet.
    pub(super) fn new(now: MonoTime, mut parts: Vec<PartId>, crashes: u32) -> Self {
        parts.sort_unstable();
        parts.dedup();
        Self {
            parts,
            crashes,
            since: now,
            refused: 0,
            last_crash_at: MonoTime::ZERO,
            events: 0,
            last_refused_at: now,
            probes: 0,
            next_probe_at: now + FIRST_PROBE_AFTER,
        }
    }

    /// Returns whether a prompt has all parts of the verdict.
    pub(super) fn covers(&self, prompt: &[PartId]) -> bool {
        self.parts.iter().all(|p| prompt.contains(p))
    }

    /// Takes a part out on which an answer has come clearly further, since the last crash, than
    /// those that ended in crashes. Returns whether it was in the verdict.
    pub(super) fn clear(&mut self, part: PartId, at: MonoTime, progress: AnswerProgress) -> bool {
        let before = self.parts.len();
        if at > self.last_crash_at && progress.is_beyond(self.events) {
            self.parts.retain(|p| *p != part);
        }
        self.parts.len() != before
    }

    pub(super) fn record_refusals(&mut self, now: MonoTime, count: u32) {
        self.refused += u64::from(count);
        self.last_refused_at = now;
    }

    /// Returns when the verdict was last of use.
    pub(super) fn last_used_at(&self) -> MonoTime {
        self.last_refused_at.max(self.last_crash_at)
    }

    /// Returns whether a request may find out now whether the verdict still holds.
    pub(super) fn take_probe(&mut self, now: MonoTime) -> bool {
        if now < self.next_probe_at {
            return false;
        }
        self.probes += 1;
        let factor = PROBE_FACTOR.saturating_pow(self.probes);
        let interval = FIRST_PROBE_AFTER.saturating_mul(factor);
        self.next_probe_at = now + interval.min(MAX_PROBE_INTERVAL);
        true
    }

    /// Returns the message that tells entries of the verdict.
    pub fn message(&self, now: MonoTime) -> FatalParts {
        FatalParts {
            parts: self.parts.clone(),
            crashes: self.crashes,
            events: self.events,
            age: now.saturating_sub(self.since),
        }
    }
}
