//! Times at which a process has stood still, and reads late what came meanwhile.

use std::{
    ops::Range,
    time::Duration, //
};

use crate::ids::MonoTime;

/// Last time at which a process stood still.
#[derive(Clone, Debug)]
pub struct Stalls {
    /// Longest time between two signs of life of a process that runs.
    max_gap: Duration,
    /// Time after a stall until all is read that came in it.
    catch_up: Duration,
    alive_at: Option<MonoTime>,
    late: Range<MonoTime>,
}

impl Stalls {
    /// Creates the state of a process that has given no sign of life yet.
    pub fn new(max_gap: Duration, catch_up: Duration) -> Self {
        Self {
            max_gap,
            catch_up,
            alive_at: None,
            late: MonoTime::ZERO..MonoTime::ZERO,
        }
    }

    /// Records a sign of life, one of a series.
    pub fn record_alive(&mut self, now: MonoTime) {
        self.record_activity(now);
        self.alive_at = Some(now);
    }

    /// Records that the process does anything, which it may do before the sign of life that is due
    /// after a stall.
    pub fn record_activity(&mut self, now: MonoTime) {
        if let Some(before) = &mut self.alive_at
            && now > *before + self.max_gap
        {
            self.late = *before..now + self.catch_up;
            *before = now;
        }
    }

    /// Returns whether what was read at a time may have come long before.
    pub fn is_late(&self, read_at: MonoTime) -> bool {
        self.late.contains(&read_at)
    }
}
