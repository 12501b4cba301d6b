//! Decision whether a delayed request moves to another engine.
//!
//! A prediction made when a request is sent may turn out wrong: an engine slows down, stops
//! reading prompts, or gets more work than it can do. A move discards what the engine has
//! done so far, so it must clearly shorten the request, and a request moves once at most.

use std::time::Duration;

use super::Forecast;

/// Minimum time between two checks of one request.
pub const CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// Multiple of the predicted wait from which a first event is overdue, and the least wait.
/// Shorter waits vary by as much without anything being wrong.
const OVERDUE_FACTOR: u32 = 2;
const MIN_OVERDUE: Duration = Duration::from_millis(250);

/// Part of the objective before which no first event is overdue. A move starts the wait
/// again, so it pays only when the objective is at risk, and must leave time to meet it.
const OBJECTIVE_PART: u32 = 2;

/// Factor by which a first event must come earlier elsewhere.
const WAIT_GAIN: u32 = 2;

/// Wait of a send for its first event.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Wait {
    /// Wait predicted at the time of the send.
    pub predicted: Duration,
    /// Time since the send.
    pub waited: Duration,
    /// Time within which the route's callers expect a first event.
    pub objective: Duration,
}

/// A decision to move, with the times on which it is based.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Move {
    /// Expected time to the first event at the current engine.
    pub expected: Duration,
    /// The same at the other engine.
    pub elsewhere: Duration,
}

/// Progress of one request.
#[derive(Clone, Debug, Default)]
pub struct Progress {
    has_moved: bool,
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

    /// Decides whether a request without a first event moves.
    ///
    /// The first event was predicted to come `predicted` after the send, and has not come
    /// `waited` after it. It is expected to take as long again as it is late by now: the
    /// engine's statements do not explain the delay, so its duration is the only evidence.
    pub fn judge_waiting(
        &self,
        wait: Wait,
        elsewhere: &Forecast,
        time_left: Duration,
    ) -> Option<Move> {
        let expected = wait.waited.saturating_sub(wait.predicted);
        let is_overdue = wait.waited >= overdue_after(wait.predicted, wait.objective);
        let is_better = elsewhere.first_event.saturating_mul(WAIT_GAIN) < expected;
        let is_in_time = elsewhere.first_event < time_left;
        let moves = !self.has_moved && is_overdue && is_better && is_in_time;
        moves.then_some(Move {
            expected,
            elsewhere: elsewhere.first_event,
        })
    }
}

/// Returns the wait after which a first event is overdue.
pub fn overdue_after(predicted: Duration, objective: Duration) -> Duration {
    let late = predicted.saturating_mul(OVERDUE_FACTOR);
    late.max(objective / OBJECTIVE_PART).max(MIN_OVERDUE)
}
