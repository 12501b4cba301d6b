//! State of one backend server for load balancing.

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

/// Assumed generation speed, in tokens per second, of a backend server that
/// does not announce one.
pub(super) const DEFAULT_SPEED: f64 = 40.0;

/// Relative slowdown of a stream on a backend server whose slots are all in
/// use.
const FULL_SLOWDOWN: f64 = 1.0;

/// Weight of a new sample in the moving averages.
const AVERAGE_WEIGHT: f64 = 0.1;

/// Share of a backend server's internal queue that an urgent request waits for,
/// in addition to the first slot that becomes free. Engines honour priorities
/// but do not preempt running requests.
const URGENT_QUEUE: f64 = 0.1;

/// Number of changes of the in-flight count that are kept for comparison with
/// delayed load reports.
const MAX_HISTORY: usize = 256;

/// Smallest share of its slots that is assumed for a new backend server.
const SLOW_START_FLOOR: f64 = 0.1;

/// A backend server and the load on it.
#[derive(Clone, Debug)]
pub(super) struct ServerState {
    pub(super) pool: PoolId,
    pub(super) incarnation: Incarnation,
    pub(super) versions: Vec<VersionId>,
    pub(super) local: bool,
    pub(super) leaving: bool,
    /// Requests that it runs concurrently.
    pub(super) slots: u32,
    /// Tokens per second of a single stream on an otherwise idle server.
    pub(super) speed: f64,
    /// Requests of this entry that are in flight.
    pub(super) in_flight: u32,
    /// Those of the in-flight requests that must run isolated.
    pub(super) isolated: u32,
    /// Time before which it is not selected.
    pub(super) avoid_until: MonoTime,
    /// Pause that it requested and that ends last.
    pub(super) pause: Option<RequestedPause>,
    added_at: MonoTime,
    /// In-flight count of this entry after each of the most recent changes.
    in_flight_history: VecDeque<(MonoTime, u32)>,
    /// Requests of other entries at the time of the last load report.
    external_load: f64,
    /// Moving average of `external_load` over load reports.
    mean_external_load: f64,
    /// Moving average of the absolute change between consecutive reports.
    mean_load_change: f64,
    measured_at: MonoTime,
    /// Moving average of response times, in seconds.
    mean_duration: f64,
}

impl ServerState {
    pub(super) fn new(now: MonoTime, server: &Announcement, slots: u32, local: bool) -> Self {
        Self {
            pool: server.pool.clone(),
            incarnation: server.incarnation,
            versions: server.versions.clone(),
            local,
            leaving: server.leaving,
            slots,
            speed: DEFAULT_SPEED,
            in_flight: 0,
            isolated: 0,
            avoid_until: MonoTime::ZERO,
            pause: None,
            added_at: now,
            in_flight_history: VecDeque::new(),
            external_load: 0.0,
            mean_external_load: 0.0,
            mean_load_change: 0.0,
            measured_at: now,
            mean_duration: 1.0,
        }
    }

    /// Applies a load report. Requests beyond those that this entry had in
    /// flight at the time of the measurement belong to other entries.
    ///
    /// A comparison with the current in-flight count would attribute requests
    /// of this entry that have since ended to other entries, and this entry
    /// would stop using slots that are free.
    pub(super) fn apply_load(&mut self, now: MonoTime, age: Duration, load: Load) {
        let measured_at = now.saturating_sub(age);
        let total = f64::from(load.running) + f64::from(load.waiting);
        let external_load = (total - f64::from(self.in_flight_at(measured_at))).max(0.0);
        self.mean_load_change +=
            AVERAGE_WEIGHT * ((external_load - self.external_load).abs() - self.mean_load_change);
        self.external_load = external_load;
        self.measured_at = measured_at;
        self.mean_external_load += AVERAGE_WEIGHT * (self.external_load - self.mean_external_load);
    }

    /// Records that it rejected a request because it had no room.
    pub(super) fn refused(&mut self, now: MonoTime) {
        let free_slots = f64::from(self.slots) - f64::from(self.in_flight);
        self.external_load = self.external_load.max(free_slots + 1.0);
        self.measured_at = now;
    }

    /// Returns the requested pause, unless it has ended.
    pub(super) fn pause_at(&self, now: MonoTime) -> Option<RequestedPause> {
        self.pause.filter(|pause| !pause.is_over(now))
    }

    /// Updates the in-flight count after a request starts or ends.
    pub(super) fn set_in_flight(&mut self, now: MonoTime, in_flight: u32) {
        self.in_flight = in_flight;
        if self.in_flight_history.len() >= MAX_HISTORY {
            self.in_flight_history.pop_front();
        }
        self.in_flight_history.push_back((now, in_flight));
    }

    fn in_flight_at(&self, at: MonoTime) -> u32 {
        let next = self
            .in_flight_history
            .partition_point(|(changed_at, _)| *changed_at <= at);
        let last = self.in_flight_history.get(next.saturating_sub(1));
        last.map_or(self.in_flight, |(_, in_flight)| *in_flight)
    }

    pub(super) fn record_duration(&mut self, took: Duration) {
        self.mean_duration += AVERAGE_WEIGHT * (took.as_secs_f64() - self.mean_duration);
    }

    pub(super) fn serves(&self, route: Route<'_>) -> bool {
        match route {
            Route::Version(version) => self.versions.iter().any(|v| v == version),
            Route::Service(pool) => self.pool == pool,
        }
    }

    /// Returns the expected time until the complete answer.
    pub(super) fn expected_time(
        &self,
        now: MonoTime,
        cfg: &BalanceConfig,
        input: &PickInput<'_>,
        cached: bool,
    ) -> Duration {
        let slots = f64::from(self.slots) * self.slow_start_factor(now, cfg);
        let busy = f64::from(self.in_flight) + self.current_external_load(now, cfg);
        let queue = (busy + 1.0 - slots).max(0.0);
        let ahead = match input.priority {
            Priority::Urgent => queue.min(1.0) + queue * URGENT_QUEUE,
            Priority::Normal | Priority::Deferrable => queue,
        };
        let queued = ahead * self.mean_duration / slots.max(1.0);
        let share = (busy / slots.max(0.1)).min(1.0);
        let idle = idle_time(cfg, input, cached, self.speed).as_secs_f64();
        Duration::from_secs_f64(queued + idle * (1.0 + FULL_SLOWDOWN * share))
    }

    /// Returns the slots that other entries leave free for this one.
    pub(super) fn free_slots(&self, now: MonoTime, cfg: &BalanceConfig) -> f64 {
        (f64::from(self.slots) - self.current_external_load(now, cfg)).max(0.0)
    }

    /// Returns the estimated load from other entries: the last report, which
    /// decays to the moving average with age. If it decayed to zero, a full
    /// backend server would look idle between two reports. The average change
    /// between reports is added, because a slot that is wrongly assumed to be
    /// free makes a request wait for a complete answer of another one.
    fn current_external_load(&self, now: MonoTime, cfg: &BalanceConfig) -> f64 {
        if !cfg.reported_load {
            return 0.0;
        }
        let age = now.saturating_sub(self.measured_at).as_secs_f64();
        let half_life = cfg.load_half_life.as_secs_f64().max(1e-3);
        let weight = 0.5f64.powf(age / half_life);
        self.mean_external_load
            + (self.external_load - self.mean_external_load) * weight
            + self.mean_load_change
    }

    /// Returns the share of its slots that is assumed for a backend server. A
    /// new one has cold caches and looks idle to every entry at the same time,
    /// and would be overloaded if all its slots were counted.
    fn slow_start_factor(&self, now: MonoTime, cfg: &BalanceConfig) -> f64 {
        if cfg.slow_start.is_zero() {
            return 1.0;
        }
        let up = now.saturating_sub(self.added_at).as_secs_f64();
        (up / cfg.slow_start.as_secs_f64()).clamp(SLOW_START_FLOOR, 1.0)
    }
}

/// Returns the response time on an idle backend server.
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

/// Returns the response time on a backend server with a single free slot.
pub(super) fn last_slot_time(cfg: &BalanceConfig, input: &PickInput<'_>, speed: f64) -> Duration {
    idle_time(cfg, input, false, speed).mul_f64(1.0 + FULL_SLOWDOWN)
}
