//! Watchdog that detects a blocked event loop.
//!
//! A process whose only event loop thread is blocked forever keeps its connections
//! open without answering, and nothing outside terminates it: its load balancer sends
//! new callers elsewhere, while the connected ones wait until they give up.

use std::{
    io,
    sync::{
        Arc,
        atomic::{
            AtomicU64,
            Ordering, //
        },
    },
    thread, //
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
    GaugeKind, //
};

/// Interval between two counted ticks.
const TICK_INTERVAL: Duration = Duration::from_millis(200);

/// Delay above which a late tick is logged: callers of plain services wait no longer
/// than this.
const LATE_TICK_THRESHOLD: Duration = Duration::from_secs(1);

/// Interval between two checks by the watchdog thread.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// Number of consecutive checks without a tick after which the loop counts as stopped.
/// Only checks that the watchdog thread actually runs count: a process that was suspended
/// has this many checks to tick again, which is enough even with a hundredth of its CPU
/// time.
const MAX_MISSED_CHECKS: u32 = 10;

/// Counter of event loop ticks, incremented by a task on that loop.
#[derive(Clone, Debug, Default)]
pub struct TickCounter(Arc<AtomicU64>);

impl TickCounter {
    /// Counts ticks until cancelled, and reports the delay of each one.
    pub async fn run(self, metrics: Arc<Exposition>, halt: CancellationToken) {
        let mut ticks = interval(TICK_INTERVAL);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            let before = Instant::now();
            tokio::select! {
                () = halt.cancelled() => return,
                _ = ticks.tick() => {}
            }
            self.0.fetch_add(1, Ordering::Relaxed);
            let late = before.elapsed().saturating_sub(TICK_INTERVAL);
            metrics.set_gauge(GaugeKind::LoopDelay, late.as_millis() as u64);
            if late > LATE_TICK_THRESHOLD {
                log::warn!(late_ms = late.as_millis() as u64; "loop turned late");
            }
        }
    }

    /// Starts a thread that calls `on_stopped` once the loop no longer ticks.
    ///
    /// # Errors
    ///
    /// Fails if the thread cannot be created.
    pub fn spawn_watchdog(&self, on_stopped: impl FnOnce() + Send + 'static) -> io::Result<()> {
        let ticks = self.clone();
        let run = move || {
            let mut watchdog = Watchdog::default();
            while !watchdog.check(ticks.0.load(Ordering::Relaxed)) {
                thread::sleep(CHECK_INTERVAL);
            }
            on_stopped();
        };
        let thread = thread::Builder::new().name("watch".to_owned());
        thread.spawn(run).map(drop)
    }
}

/// State of the watchdog thread.
#[derive(Debug, Default)]
pub struct Watchdog {
    ticks: u64,
    missed_checks: u32,
}

impl Watchdog {
    /// Checks the current number of ticks and returns whether the loop has stopped.
    pub fn check(&mut self, ticks: u64) -> bool {
        if ticks == self.ticks {
            self.missed_checks += 1;
        } else {
            self.missed_checks = 0;
        }
        self.ticks = ticks;
        self.missed_checks >= MAX_MISSED_CHECKS
    }
}
