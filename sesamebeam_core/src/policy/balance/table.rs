//! One backend server as the choice sees it.

use std::{
    collections::VecDeque,
    time::Duration, //
};

use super::{
    BalanceConfig,
    PickInput,
    Route, //
};
use crate::{
    fleet::Priority,
    ids::{
        Incarnation,
        MonoTime,
        PoolId,
        VersionId, //
    },
    message::server::{
        Announcement,
        Load, //
    },
    policy::backoff::RequestedPause,
};

/// Tokens a second of a backend server that does not say.
pub(super) const USUAL_SPEED: f64 = 40.0;

/// Slowdown of a stream on a backend server whose slots are all taken.
const FULL_SLOWDOWN: f64 = 1.0;

/// Weight of a new time in the average.
const LEARN: f64 = 0.1;

/// Share of the queue inside a backend server that an urgent request waits for
/// beside the first slot to come free: engines honour priorities, yet do not
/// stop what runs.
const URGENT_QUEUE: f64 = 0.1;

/// Changes of the own work that are remembered, to compare with late reports.
const HISTORY: usize = 256;

/// Least share of its slots that a new backend server is counted with.
const SLOW_START_FLOOR: f64 = 0.1;

/// One backend server and the work in flight on it.
#[derive(Clone, Debug)]
pub(super) struct Slot {
    pub(super) pool: PoolId,
    pub(super) incarnation: Incarnation,
    pub(super) versions: Vec<VersionId>,
    pub(super) near: bool,
    pub(super) leaving: bool,
    /// Requests it runs side by side.
    pub(super) slots: u32,
    /// Tokens a second of one stream when nothing else runs.
    pub(super) speed: f64,
    /// Requests of this entry in flight.
    pub(super) own: u32,
    /// Requests among them that must run apart from others.
    pub(super) reserved: u32,
    /// Not chosen before this time.
    pub(super) avoid_until: MonoTime,
    /// Pause that it asked for last.
    pub(super) pause: Option<RequestedPause>,
    since: MonoTime,
    /// Own requests in flight after each of the last changes.
    history: VecDeque<(MonoTime, u32)>,
    /// Requests of others when the load was measured.
    others: f64,
    /// Average of that over reports.
    usual_others: f64,
    /// Average distance of a report from the one before.
    swing: f64,
    measured: MonoTime,
    /// Average time of a request, in seconds.
    usual: f64,
}

impl Slot {
    pub(super) fn new(now: MonoTime, server: &Announcement, slots: u32, near: bool) -> Self {
        Self {
            pool: server.pool.clone(),
            incarnation: server.incarnation,
            versions: server.versions.clone(),
            near,
            leaving: server.leaving,
            slots,
            speed: USUAL_SPEED,
            own: 0,
            reserved: 0,
            avoid_until: MonoTime::ZERO,
            pause: None,
            since: now,
            history: VecDeque::new(),
            others: 0.0,
            usual_others: 0.0,
            swing: 0.0,
            measured: now,
            usual: 1.0,
        }
    }

    /// Takes a load report. What was not ours when it was measured is the work
    /// of other entries.
    ///
    /// Compared with what is ours now, requests of ours that ended since would
    /// look like work of others, and the entry would give up slots it has.
    pub(super) fn report(&mut self, now: MonoTime, age: Duration, load: Load) {
        let measured = now.saturating_sub(age);
        let all = f64::from(load.running) + f64::from(load.waiting);
        let others = (all - f64::from(self.own_at(measured))).max(0.0);
        self.swing += LEARN * ((others - self.others).abs() - self.swing);
        self.others = others;
        self.measured = measured;
        self.usual_others += LEARN * (self.others - self.usual_others);
    }

    /// Learns that it refused a request because it had no room.
    pub(super) fn refused(&mut self, now: MonoTime) {
        let room = f64::from(self.slots) - f64::from(self.own);
        self.others = self.others.max(room + 1.0);
        self.measured = now;
    }

    /// Returns the pause that it asked for, unless that is over.
    pub(super) fn pause_at(&self, now: MonoTime) -> Option<RequestedPause> {
        self.pause.filter(|pause| !pause.is_over(now))
    }

    /// Counts a request that starts or ends.
    pub(super) fn change_own(&mut self, now: MonoTime, own: u32) {
        self.own = own;
        if self.history.len() >= HISTORY {
            self.history.pop_front();
        }
        self.history.push_back((now, own));
    }

    fn own_at(&self, at: MonoTime) -> u32 {
        let later = self.history.partition_point(|(change, _)| *change <= at);
        let last = self.history.get(later.saturating_sub(1));
        last.map_or(self.own, |(_, own)| *own)
    }

    pub(super) fn learn_time(&mut self, took: Duration) {
        self.usual += LEARN * (took.as_secs_f64() - self.usual);
    }

    pub(super) fn serves(&self, route: Route<'_>) -> bool {
        match route {
            Route::Version(version) => self.versions.iter().any(|v| v == version),
            Route::Service(pool) => self.pool == pool,
        }
    }

    /// Gives the expected time until the whole answer.
    pub(super) fn expected(
        &self,
        now: MonoTime,
        cfg: &BalanceConfig,
        input: &PickInput<'_>,
        cached: bool,
    ) -> Duration {
        let slots = f64::from(self.slots) * self.warmth(now, cfg);
        let busy = f64::from(self.own) + self.others(now, cfg);
        let queue = (busy + 1.0 - slots).max(0.0);
        let ahead = match input.priority {
            Priority::Urgent => queue.min(1.0) + queue * URGENT_QUEUE,
            Priority::Normal | Priority::Deferrable => queue,
        };
        let queued = ahead * self.usual / slots.max(1.0);
        let share = (busy / slots.max(0.1)).min(1.0);
        let idle = idle_time(cfg, input, cached, self.speed).as_secs_f64();
        Duration::from_secs_f64(queued + idle * (1.0 + FULL_SLOWDOWN * share))
    }

    /// Gives the slots that the work of other entries leaves to this one.
    pub(super) fn free(&self, now: MonoTime, cfg: &BalanceConfig) -> f64 {
        (f64::from(self.slots) - self.others(now, cfg)).max(0.0)
    }

    /// Gives the work of other entries: the last report, which gives way to the
    /// average the older it is. Given way to nothing instead, a full backend
    /// server would look idle between two reports. What it usually changes
    /// between reports is added: a slot that only seems free costs a request
    /// the wait for a whole answer of somebody else.
    fn others(&self, now: MonoTime, cfg: &BalanceConfig) -> f64 {
        if !cfg.reported_load {
            return 0.0;
        }
        let age = now.saturating_sub(self.measured).as_secs_f64();
        let half = cfg.load_half_life.as_secs_f64().max(1e-3);
        let fresh = 0.5f64.powf(age / half);
        self.usual_others + (self.others - self.usual_others) * fresh + self.swing
    }

    /// Gives the share of its slots that a backend server is counted with. A
    /// new one has cold caches and looks idle to every entry at once; counted
    /// in full it would be flooded.
    fn warmth(&self, now: MonoTime, cfg: &BalanceConfig) -> f64 {
        if cfg.slow_start.is_zero() {
            return 1.0;
        }
        let up = now.saturating_sub(self.since).as_secs_f64();
        (up / cfg.slow_start.as_secs_f64()).clamp(SLOW_START_FLOOR, 1.0)
    }
}

/// Gives the time that an answer takes on an idle backend server.
pub(super) fn idle_time(
    cfg: &BalanceConfig,
    input: &PickInput<'_>,
    cached: bool,
    speed: f64,
) -> Duration {
    let prefill = if cached {
        0.0
    } else {
        f64::from(input.prompt_tokens) / cfg.prefill_speed
    };
    Duration::from_secs_f64(prefill + f64::from(input.max_tokens) / speed)
}

/// Gives the time that an answer takes on a backend server whose slots are all
/// taken but one.
pub(super) fn full_time(cfg: &BalanceConfig, input: &PickInput<'_>, speed: f64) -> Duration {
    idle_time(cfg, input, false, speed).mul_f64(1.0 + FULL_SLOWDOWN)
}
