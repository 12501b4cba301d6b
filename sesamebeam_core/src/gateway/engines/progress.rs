//! Decision whether a delayed request moves to another engine.
//!
//! A prediction made when a request is sent may turn out wrong: an engine slows down, stops
//! reading prompts, or gets more work than it can do. A move discards what the engine has
//! done so far, so it must clearly shorten the request, and a request moves once at most.

use std::{
    collections::VecDeque,
    time::Duration, //
};

use super::{
    Forecast,
    MAX_FORECAST, //
};
use crate::ids::MonoTime;

/// Minimum time between two checks of one request.
pub const CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// Multiple of the predicted wait from which a first event is overdue, and the least wait.
/// Shorter waits vary by as much without anything being wrong.
const OVERDUE_FACTOR: u32 = 2;
const MIN_OVERDUE: Duration = Duration::from_millis(250);

/// Factor by which a first event must come earlier elsewhere.
const WAIT_GAIN: u32 = 2;

/// Period over which the rate of events is measured. Short periods of other work on an
/// engine's instance take about half a second.
const RATE_PERIOD: Duration = Duration::from_secs(1);

/// Number of events below which the rate is measured over twice that period. An engine that
/// prefills a long prompt of another request sends nothing for more than a second.
const MIN_RATE_EVENTS: u64 = 4;

/// Factor by which the predicted time to complete a stream elsewhere is extended before it
/// is compared with the deadline.
const COMPLETION_MARGIN: f64 = 1.25;

/// Why a request moves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MoveReason {
    /// Its first event is overdue.
    Waiting,
    /// Its stream is too slow to be complete by the deadline.
    Running,
}

impl MoveReason {
    /// Returns the name in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Waiting => "waiting",
            Self::Running => "running",
        }
    }
}

/// A decision to move, with the times on which it is based.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Move {
    /// Reason.
    pub reason: MoveReason,
    /// Expected time to the first event, or to completion, at the current engine.
    pub expected: Duration,
    /// The same at the other engine.
    pub elsewhere: Duration,
}

/// Number of events that a run had sent at a point in time.
#[derive(Clone, Copy, Debug)]
struct Sample {
    at: MonoTime,
    events: u64,
}

impl Sample {
    /// Returns whether the time since this sample suffices to measure a rate.
    fn is_enough(&self, now: MonoTime, events: u64) -> bool {
        let has_events = events.saturating_sub(self.events) >= MIN_RATE_EVENTS;
        let factor = if has_events { 1 } else { 2 };
        now.saturating_sub(self.at) >= RATE_PERIOD * factor
    }
}

/// Progress of one request.
#[derive(Clone, Debug, Default)]
pub struct Progress {
    has_moved: bool,
    /// Start of the measured period and later times at which events had arrived.
    samples: VecDeque<Sample>,
    /// When the running stream was checked last.
    checked_at: MonoTime,
}

impl Progress {
    /// Returns whether the request has been moved.
    pub fn has_moved(&self) -> bool {
        self.has_moved
    }

    /// Records that the request is moved.
    pub fn record_move(&mut self) {
        self.has_moved = true;
    }

    /// Records the start of a stream, at an engine that continues after `events` events.
    pub fn record_start(&mut self, now: MonoTime, events: u64) {
        self.samples.clear();
        self.samples.push_back(Sample { at: now, events });
        self.checked_at = now;
    }

    /// Returns when the running stream is checked next; none if it cannot move any more.
    pub fn next_check(&self) -> Option<MonoTime> {
        let can_move = !self.has_moved && !self.samples.is_empty();
        can_move.then(|| self.checked_at + CHECK_INTERVAL)
    }

    /// Records the number of events of the running stream at a check.
    ///
    /// A check that comes late means that the entry did not run or that the caller does not
    /// read. What arrived meanwhile does not indicate the rate of the engine, so the
    /// measurement starts again.
    pub fn record_events(&mut self, now: MonoTime, events: u64) {
        if now.saturating_sub(self.checked_at) >= 2 * CHECK_INTERVAL {
            return self.record_start(now, events);
        }
        self.checked_at = now;
        if self.samples.back().is_some_and(|last| last.events < events) {
            self.samples.push_back(Sample { at: now, events });
        }
        let may_start_at = |next: &Sample| next.events < events && next.is_enough(now, events);
        while self.samples.get(1).is_some_and(may_start_at) {
            self.samples.pop_front();
        }
    }

    /// Returns the time between events over about the last second, as of the last check;
    /// none while the stream is too young. Without any event since the start, the time
    /// since then is taken for one interval.
    pub fn event_time(&self) -> Option<Duration> {
        let (first, last) = (self.samples.front()?, self.samples.back()?);
        let events = last.events.saturating_sub(first.events).max(1);
        let period = self.checked_at.saturating_sub(first.at);
        first
            .is_enough(self.checked_at, last.events)
            .then(|| period.div_f64(events as f64))
    }

    /// Decides whether a request without a first event moves.
    ///
    /// The first event was predicted to come `predicted` after the send, and has not come
    /// `waited` after it. It is expected to take as long again as it is late by now: the
    /// engine's statements do not explain the delay, so its duration is the only evidence.
    pub fn judge_waiting(
        &self,
        predicted: Duration,
        waited: Duration,
        elsewhere: &Forecast,
        time_left: Duration,
    ) -> Option<Move> {
        let expected = waited.saturating_sub(predicted);
        let is_overdue = waited >= overdue_after(predicted);
        let is_better = elsewhere.first_event.saturating_mul(WAIT_GAIN) < expected;
        let is_in_time = elsewhere.first_event < time_left;
        let moves = !self.has_moved && is_overdue && is_better && is_in_time;
        moves.then_some(Move {
            reason: MoveReason::Waiting,
            expected,
            elsewhere: elsewhere.first_event,
        })
    }

    /// Decides whether a running stream moves that has `remaining` events left.
    ///
    /// The forecast elsewhere is that of a request that prefills the part of the prompt that
    /// is not shared and the output generated so far. The shared part is added, because the
    /// other engine need not have it cached.
    pub fn judge_running(
        &self,
        remaining: f64,
        elsewhere: &Forecast,
        time_left: Duration,
    ) -> Option<Move> {
        let expected = self.completion(remaining)?;
        let elsewhere = elsewhere
            .completion
            .saturating_add(elsewhere.shared_prefill);
        let is_late = expected > time_left;
        let is_in_time = elsewhere.min(MAX_FORECAST).mul_f64(COMPLETION_MARGIN) <= time_left;
        let moves = !self.has_moved && is_late && is_in_time;
        moves.then_some(Move {
            reason: MoveReason::Running,
            expected,
            elsewhere,
        })
    }

    /// Returns the time for the remaining events of the running stream at its current rate.
    pub fn completion(&self, remaining: f64) -> Option<Duration> {
        let seconds = self.event_time()?.as_secs_f64() * remaining.max(0.0);
        let completion = Duration::try_from_secs_f64(seconds).unwrap_or(MAX_FORECAST);
        Some(completion.min(MAX_FORECAST))
    }
}

/// Returns the wait after which a first event is overdue.
pub fn overdue_after(predicted: Duration) -> Duration {
    predicted.saturating_mul(OVERDUE_FACTOR).max(MIN_OVERDUE)
}
