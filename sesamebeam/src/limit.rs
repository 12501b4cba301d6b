//! Limits on how often a repeated event is logged.

use std::{
    sync::Mutex,
    time::{
        Duration,
        Instant, //
    },
};

/// Time between two log lines about the same kind of bad input.
pub const LOG_EVERY: Duration = Duration::from_secs(60);

/// Lets one event through in each period and counts those that it holds back.
///
/// Without it a peer that sends garbage in a loop fills the disk with log lines
/// and hides every other message. One line a period with the count of the rest
/// tells the operator as much.
#[derive(Debug)]
pub struct LogLimit {
    period: Duration,
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    /// When an event was last let through.
    last: Option<Instant>,
    /// Events held back since then.
    held: u64,
}

impl LogLimit {
    /// Makes a limit of one event a `period`.
    pub const fn new(period: Duration) -> Self {
        let state = State {
            last: None,
            held: 0,
        };
        Self {
            period,
            state: Mutex::new(state),
        }
    }

    /// Returns the number of events held back since the last one if this one
    /// may be logged, and nothing if it is held back as well.
    pub fn pass(&self) -> Option<u64> {
        self.pass_at(Instant::now())
    }

    /// Does the same as [`LogLimit::pass`] for an event at `now`.
    pub fn pass_at(&self, now: Instant) -> Option<u64> {
        let mut state = self.state.lock().unwrap_or_else(|e| e.into_inner());
        let open = state
            .last
            .is_none_or(|last| now.saturating_duration_since(last) >= self.period);
        if !open {
            state.held += 1;
            return None;
        }
        state.last = Some(now);
        Some(std::mem::take(&mut state.held))
    }
}

impl Default for LogLimit {
    fn default() -> Self {
        Self::new(LOG_EVERY)
    }
}
