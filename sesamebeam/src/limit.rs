//! Rate limits for log messages about repeated events.

use std::{
    sync::Mutex,
    time::{
        Duration,
        Instant, //
    },
};

/// Minimum time between two log lines about the same kind of invalid input.
pub const LOG_PERIOD: Duration = Duration::from_secs(60);

/// Allows one event per period and counts the suppressed ones.
///
/// Without a limit, a peer that sends invalid input in a loop fills the disk with log
/// lines and hides every other message. One line per period with the number of
/// suppressed events tells the operator as much.
#[derive(Debug)]
pub struct LogLimit {
    period: Duration,
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    /// Time of the last allowed event.
    last_allowed: Option<Instant>,
    /// Number of events suppressed since then.
    suppressed: u64,
}

impl LogLimit {
    /// Creates a limit of one event per `period`.
    pub const fn new(period: Duration) -> Self {
        let state = State {
            last_allowed: None,
            suppressed: 0,
        };
        Self {
            period,
            state: Mutex::new(state),
        }
    }

    /// Returns the number of events suppressed since the last allowed one if this event
    /// may be logged, and `None` if it is suppressed as well.
    pub fn allow(&self) -> Option<u64> {
        self.allow_at(Instant::now())
    }

    /// Like [`LogLimit::allow`], for an event at `now`.
    pub fn allow_at(&self, now: Instant) -> Option<u64> {
        let mut state = self.state.lock().unwrap_or_else(|e| e.into_inner());
        let allowed = state
            .last_allowed
            .is_none_or(|last| now.saturating_duration_since(last) >= self.period);
        if !allowed {
            state.suppressed += 1;
            return None;
        }
        state.last_allowed = Some(now);
        Some(std::mem::take(&mut state.suppressed))
    }
}

impl Default for LogLimit {
    fn default() -> Self {
        Self::new(LOG_PERIOD)
    }
}
