//! Round trips to other instances.
//!
//! They pass the link of the instance in both directions, and tell its delay whatever fills it.
//! Of a delay that rises they tell late, by that delay, so that those without an answer count
//! too.

use std::{
    collections::VecDeque,
    time::Duration, //
};

use super::{
    connections::Patience,
    queue_delay::{
        QueueDelay,
        Window, //
    },
};
use crate::ids::MonoTime;

/// Least time over which a delay is estimated.
const WINDOW: Duration = Duration::from_millis(250);

/// Share of the longest wait of callers that a round trip may take longer than without load.
const DELAY_SHARE: u32 = 4;

/// Timeout for connecting to a backend server: many round trips within a region. An
/// unreachable server doesn't answer at all, and a lost SYN packet is retransmitted only
/// after a second, while booking requests have deadlines of 0.1 to 0.3 s.
pub const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);

/// Share of that time that it may take longer in any case: connections pass the link too.
const CONNECT_SHARE: u32 = 2;

/// Probes that must be unanswered for the delay to count as too long before it is measured: one
/// or two may have met an instance that does not answer.
const MIN_UNANSWERED: usize = 3;

/// Requests after which the round trip is measured again, and the time for which it is not
/// measured more often than needed.
const TAKEN_PER_PROBE: u32 = 16;
const PROBE_INTERVAL: Duration = Duration::from_millis(90);

/// Most probes that are remembered until they are answered, and the longest delay that is told
/// where none are.
const MAX_UNANSWERED: usize = 32;
const MAX_DELAY: Duration = Duration::from_secs(2);

/// Round trips to other instances, and the delay that they tell.
#[derive(Debug)]
pub struct RoundTrips {
    max_delay: Duration,
    delay: QueueDelay,
    /// Requests taken on since the round trip was measured last, and when.
    unprobed: u32,
    probed_at: MonoTime,
    /// When the probes began that are not answered, oldest first.
    unanswered: VecDeque<MonoTime>,
    /// When one was answered last.
    answered_at: Option<MonoTime>,
    /// Whether anything was late since then.
    is_late: bool,
}

impl Default for RoundTrips {
    fn default() -> Self {
        Self {
            max_delay: allowed_delay(Patience::default().max_wait()),
            delay: QueueDelay::new(WINDOW),
            unprobed: 0,
            probed_at: MonoTime::ZERO,
            unanswered: VecDeque::new(),
            answered_at: None,
            is_late: false,
        }
    }
}

impl RoundTrips {
    /// Sets how long callers wait for their requests to be read.
    pub fn set_max_wait(&mut self, max_wait: Duration) {
        self.max_delay = allowed_delay(max_wait);
    }

    /// Returns by how much round trips may be longer than without load.
    pub fn max_delay(&self) -> Duration {
        self.max_delay
    }

    /// Records that a request was taken on, or the connection that it comes on.
    pub fn record_taken(&mut self) {
        self.unprobed += 1;
    }

    /// Records how long something took that passes the link. Only round trips tell the delay;
    /// others tell when it is worth to measure one.
    pub fn record_passed(&mut self, took: Duration) {
        self.is_late |= took > self.max_delay;
    }

    /// Records that anything that was sent at a time has been answered. The link delayed it by no
    /// more, so that slow instances don't look like a full link. What was sent before has passed
    /// the link too, so that a probe without an answer says nothing about it.
    pub fn record_answered(&mut self, now: MonoTime, sent_at: MonoTime) {
        self.delay.record_bound(now.saturating_sub(sent_at));
        self.unanswered.retain(|probe| *probe > sent_at);
    }

    /// Returns whether the round trip should be measured now.
    pub fn take_probe(&mut self, now: MonoTime, is_limited: bool) -> bool {
        let is_due = self.unprobed >= TAKEN_PER_PROBE || self.is_late || is_limited;
        if !is_due || now.saturating_sub(self.probed_at) < PROBE_INTERVAL {
            return false;
        }
        self.unprobed = 0;
        self.is_late = false;
        self.probed_at = now;
        if self.unanswered.len() == MAX_UNANSWERED {
            self.unanswered.pop_front();
        }
        self.unanswered.push_back(now);
        true
    }

    /// Records a round trip. Returns what was seen in the window that ends with it.
    pub fn record(&mut self, now: MonoTime, began: MonoTime) -> Option<Window> {
        let took = now.saturating_sub(began);
        self.record_passed(took);
        self.answered_at = Some(now);
        self.record_answered(now, began);
        self.delay.record(now, took)
    }

    /// Returns by how much round trips are longer than without load, as far as is known: those
    /// that are under way tell when it rises.
    pub fn delay(&self, now: MonoTime) -> Duration {
        let so_far = self.unanswered_for(now).unwrap_or_default();
        self.delay.delay(now).max(so_far).min(MAX_DELAY)
    }

    /// Returns whether the delay is already longer than allowed, although no round trip that
    /// tells so has ended.
    pub fn is_rising(&self, now: MonoTime) -> bool {
        self.is_unanswered_for(now, self.max_delay)
    }

    /// Returns whether several round trips have had no answer for longer than a time.
    pub fn is_unanswered_for(&self, now: MonoTime, time: Duration) -> bool {
        let unanswered_for = self.unanswered_for(now);
        self.unanswered.len() >= MIN_UNANSWERED && unanswered_for.is_some_and(|t| t > time)
    }

    /// Returns whether a probe was answered of late.
    pub fn has_recent_answer(&self, now: MonoTime) -> bool {
        let is_recent = |at| now.saturating_sub(at) < MAX_DELAY;
        self.answered_at.is_some_and(is_recent)
    }

    /// Returns for how long the oldest probe has been without an answer. If none was answered
    /// for longer than a delay can be, it is the instances asked that do not answer.
    fn unanswered_for(&self, now: MonoTime) -> Option<Duration> {
        let oldest = self.unanswered.front()?;
        let is_known = self.has_recent_answer(now);
        is_known.then(|| now.saturating_sub(*oldest))
    }
}

fn allowed_delay(max_wait: Duration) -> Duration {
    (max_wait / DELAY_SHARE).min(CONNECT_TIMEOUT / CONNECT_SHARE)
}
