//! Watching that the loop of a process turns.
//!
//! A process whose only thread waits for something that never comes keeps its
//! connections open, answers nobody, and nothing outside ends it: its balancer takes
//! new callers elsewhere, those that it has wait until they give up.

use std::{
    io,
    sync::{
        Arc,
        atomic::{
            AtomicU64,
            Ordering, //
        },
    },
    thread,
    time::{
        Duration,
        Instant, //
    },
};

use tokio::time::{
    MissedTickBehavior,
    interval, //
};
use tokio_util::sync::CancellationToken;

use crate::exposition::{
    Exposition,
    Level, //
};

/// Pause between two turns that are counted.
const TURN_EVERY: Duration = Duration::from_millis(200);

/// Delay of a turn that is logged: callers of plain services wait no longer.
const LATE: Duration = Duration::from_secs(1);

/// Pause between two looks of the thread that watches.
const LOOK_EVERY: Duration = Duration::from_secs(1);

/// Looks in a row without a turn after which the loop has stopped. They count only
/// while this thread runs itself, so that a process that was suspended has these to
/// turn in, and one with a hundredth of its processor does.
const STOPPED_AFTER: u32 = 10;

/// Turns of a loop, counted by itself.
#[derive(Clone, Debug, Default)]
pub struct Turns(Arc<AtomicU64>);

impl Turns {
    /// Counts turns until cancelled, and says how late the latest was.
    pub async fn count(self, meters: Arc<Exposition>, halt: CancellationToken) {
        let mut ticks = interval(TURN_EVERY);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            let before = Instant::now();
            tokio::select! {
                () = halt.cancelled() => return,
                _ = ticks.tick() => {}
            }
            self.0.fetch_add(1, Ordering::Relaxed);
            let late = before.elapsed().saturating_sub(TURN_EVERY);
            meters.set(Level::LoopDelay, late.as_millis() as u64);
            if late > LATE {
                log::warn!(late_ms = late.as_millis() as u64; "loop turned late");
            }
        }
    }

    /// Starts a thread that calls `stopped` once the loop turns no more.
    ///
    /// # Errors
    ///
    /// Fails if there can be no further thread.
    pub fn watch(&self, stopped: impl FnOnce() + Send + 'static) -> io::Result<()> {
        let turns = self.clone();
        let watching = move || {
            let mut watch = Watch::default();
            while !watch.look(turns.0.load(Ordering::Relaxed)) {
                thread::sleep(LOOK_EVERY);
            }
            stopped();
        };
        let thread = thread::Builder::new().name("watch".to_owned());
        thread.spawn(watching).map(drop)
    }
}

/// What the thread that watches has seen.
#[derive(Debug, Default)]
pub struct Watch {
    turns: u64,
    same: u32,
}

impl Watch {
    /// Takes the number of turns and returns whether the loop has stopped.
    pub fn look(&mut self, turns: u64) -> bool {
        if turns == self.turns {
            self.same += 1;
        } else {
            self.same = 0;
        }
        self.turns = turns;
        self.same >= STOPPED_AFTER
    }
}
