//! Admission control of services that are short of capacity.
//!
//! An overloaded non-streaming service has full queues in which every request waits too
//! long, and rejects as many requests as it would with short ones: a backend server with
//! six slots, a queue of 24 and 30 ms for each request received 214 requests per second
//! and answered 36 in 100 on time. No entry sees the queue early enough to keep it short;
//! each of 74 hears from the service three times a second.
//!
//! Entries therefore report answers, their latency, and rejections by full backend
//! servers. From the sum, the control replicas compute the share of requests that can be
//! served, and each entry admits that share, selected by a hash of the request id. The
//! computation starts when requests are rejected for lack of capacity and ends when all
//! are admitted again. First attempts take precedence over retries: the number served is
//! the same, but first attempts are served on time.

use std::{
    collections::{
        BTreeMap,
        HashMap,
        VecDeque, //
    },
    time::Duration,
};

use serde::{
    Deserialize,
    Serialize, //
};

use super::{
    config::{
        RouteConfig,
        RouteId, //
    },
    request::{
        Head,
        Load, //
    },
    waits::{
        self,
        ServiceKey, //
    },
};
use crate::{
    ids::MonoTime,
    policy::hash, //
};

/// Share of requests rejected by full backend servers from which the service counts as
/// short of capacity. Bursts of some milliseconds, which cannot be foreseen, cause
/// rejections below it.
const SHORTAGE_MIN_SHARE: f64 = 0.03;

/// Minimum number of these rejections; a smaller sample gives no reliable share.
const SHORTAGE_MIN_REJECTED: u32 = 5;

/// Target of the mean response time, as a share of the time in which an answer is on
/// time. The queue oscillates with the delay of the reports: with 0.6 it was empty at
/// times, and 84 in 100 callers were served instead of 89
/// (`shortage::one_of_three_left`).
const TARGET_RESPONSE_TIME: f64 = 0.9;

/// Gain of the control loop from the relative error of the response time to the admitted
/// share, and the maximum growth and decrease in a step.
const GAIN: f64 = 0.2;
const MAX_GROWTH: f64 = 0.2;
const MAX_DECREASE: f64 = 0.3;

/// Weight of the rejected share in the decrease of a step. Rejections come in bursts:
/// with a weight of 1, 88 in 100 callers were served and 80 on time; with a half, 90 and
/// 79 (`shortage::one_of_three_left`).
const REJECTED_WEIGHT: f64 = 0.5;

/// Growth in a step when the queues are nearly empty and the shortage is over.
const RECOVERY_GROWTH: f64 = 0.2;

/// Waiting requests for each slot below which the queues count as nearly empty.
const EMPTY_QUEUE: f64 = 0.1;

/// Minimum admitted share; the admitted requests show when capacity is back.
const MIN_SHARE: f64 = 0.05;

/// Time after a step until reports show its effect: entries report five times a second,
/// and shares are published as often.
const SETTLE_TIME: Duration = Duration::from_millis(400);

/// Time over which reports are collected for a step.
const COLLECT_TIME: Duration = Duration::from_millis(300);

/// Time for which a share is valid; shares are published five times a second.
const SHARE_LIFETIME: Duration = Duration::from_millis(1500);

/// Share of a route's median deadline above which a request is a first attempt; a retry
/// comes at least 0.2 s later.
const FIRST_ATTEMPT_SHARE: f64 = 0.95;

/// Number of deadlines kept for each route. Most requests are first attempts, so the
/// median is a full deadline; the maximum may come from a caller with a far longer
/// deadline, compared with which all others would look like retries.
const KEPT_DEADLINES: usize = 15;

/// Load of a non-streaming service since the last report.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct ServiceLoad {
    /// Key of the service.
    pub service: ServiceKey,
    /// Answered requests.
    pub done: u32,
    /// Requests that found all backend servers full.
    pub rejected: u32,
    /// Sum of response times, each as a share of the time in which an answer is on time.
    pub time: f32,
    /// Sum of waiting requests for each slot, as reported with the answers.
    pub waiting: f32,
}

impl ServiceLoad {
    /// Creates an empty report.
    fn empty(service: ServiceKey) -> Self {
        Self {
            service,
            done: 0,
            rejected: 0,
            time: 0.0,
            waiting: 0.0,
        }
    }

    /// Adds another report.
    pub fn add(&mut self, other: &Self) {
        self.done += other.done;
        self.rejected += other.rejected;
        self.time += other.time;
        self.waiting += other.waiting;
    }
}

/// Admitted share of the requests to a service.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct ShareOf {
    /// Key of the service.
    pub service: ServiceKey,
    /// Share, below 1.
    pub share: f32,
}

/// Control loop of one service.
#[derive(Clone, Copy, Debug)]
struct ControlLoop {
    /// Currently admitted share.
    share: f64,
    /// Sum of reports since `counts_from`.
    reports: ServiceLoad,
    /// Time before which reports are ignored.
    counts_from: MonoTime,
}

/// Admission control of all services, on a control replica.
#[derive(Clone, Debug, Default)]
pub struct AdmissionControl {
    services: BTreeMap<ServiceKey, ControlLoop>,
}

impl AdmissionControl {
    /// Adds reports of entries.
    pub fn record(&mut self, now: MonoTime, work: impl IntoIterator<Item = ServiceLoad>) {
        for load in work {
            let new = ControlLoop {
                share: 1.0,
                reports: ServiceLoad::empty(load.service),
                counts_from: now,
            };
            let control = self.services.entry(load.service).or_insert(new);
            if now >= control.counts_from {
                control.reports.add(&load);
            }
        }
    }

    /// Runs the control steps that are due and returns the shares of all services short
    /// of capacity.
    pub fn shares(&mut self, now: MonoTime) -> Vec<ShareOf> {
        for control in self.services.values_mut() {
            control.step(now);
        }
        let short = self
            .services
            .iter()
            .filter(|(_, control)| control.share < 1.0);
        let share = |(&service, control): (&ServiceKey, &ControlLoop)| ShareOf {
            service,
            share: control.share as f32,
        };
        short.map(share).collect()
    }
}

impl ControlLoop {
    /// Computes the share if enough time has passed since the last step.
    ///
    /// Each step waits for the effect of the previous one. With a step for each report,
    /// three would respond to the same full queue before the first took effect.
    fn step(&mut self, now: MonoTime) {
        if now < self.counts_from + COLLECT_TIME {
            return;
        }
        let before = self.share;
        self.share = self.next_share();
        self.reports = ServiceLoad::empty(self.reports.service);
        let settle_time = if self.share < 1.0 || before < 1.0 {
            SETTLE_TIME
        } else {
            Duration::ZERO
        };
        self.counts_from = now + settle_time;
    }

    /// Returns the next admitted share.
    fn next_share(&self) -> f64 {
        let ServiceLoad {
            done,
            rejected,
            time,
            waiting,
            ..
        } = self.reports;
        let all = f64::from(done + rejected);
        let rejected_share = f64::from(rejected) / all.max(1.0);
        let is_short = rejected_share >= SHORTAGE_MIN_SHARE && rejected >= SHORTAGE_MIN_REJECTED;
        if self.share >= 1.0 && !is_short {
            return 1.0;
        }
        let answers = f64::from(done.max(1));
        if rejected == 0 && f64::from(waiting) / answers < EMPTY_QUEUE {
            return (self.share * (1.0 + RECOVERY_GROWTH)).min(1.0);
        }
        let error =
            GAIN * (TARGET_RESPONSE_TIME - f64::from(time) / answers) / TARGET_RESPONSE_TIME;
        let correction = 1.0 + error.clamp(-MAX_DECREASE, MAX_GROWTH);
        let room = 1.0 - REJECTED_WEIGHT * rejected_share;
        (self.share * room * correction).clamp(MIN_SHARE, 1.0)
    }
}

/// Admission state of one entry.
#[derive(Debug, Default)]
pub struct Admission {
    /// Loads to report.
    unreported: HashMap<ServiceKey, ServiceLoad>,
    /// Admitted shares of services short of capacity, and when they arrived.
    shares: HashMap<ServiceKey, (f64, MonoTime)>,
    /// Deadlines of the last requests on each route.
    deadlines: HashMap<RouteId, VecDeque<Duration>>,
}

impl Admission {
    /// Records an answer and the queue length reported with it.
    pub fn record_answer(
        &mut self,
        service: &str,
        took: Duration,
        target: Duration,
        load: Option<Load>,
    ) {
        let work = self.load_of(service);
        work.done += 1;
        work.time += (took.as_secs_f64() / target.as_secs_f64().max(0.001)) as f32;
        if let Some(load) = load {
            work.waiting += load.waiting as f32 / load.slots.max(1) as f32;
        }
    }

    /// Records a request that found all backend servers full.
    pub fn record_rejected(&mut self, service: &str) {
        self.load_of(service).rejected += 1;
    }

    /// Takes the loads to report.
    pub fn take_unreported(&mut self) -> Vec<ServiceLoad> {
        self.unreported.drain().map(|(_, work)| work).collect()
    }

    /// Replaces the shares of all services short of capacity.
    pub fn set_shares(&mut self, now: MonoTime, shares: impl IntoIterator<Item = ShareOf>) {
        let with_time = |share: ShareOf| (share.service, (f64::from(share.share), now));
        self.shares = shares.into_iter().map(with_time).collect();
    }

    /// Returns whether a request is admitted.
    pub fn admits(
        &mut self,
        now: MonoTime,
        service: &str,
        route: &RouteConfig,
        head: &Head,
    ) -> bool {
        let is_first_attempt = self.is_first_attempt(route, head);
        let Some(&(share, at)) = self.shares.get(&waits::key(service)) else {
            return true;
        };
        if now >= at + SHARE_LIFETIME {
            return true;
        }
        is_first_attempt && hash::unit(head.id.as_bytes(), "admission") < share
    }

    /// Returns whether a request is a first attempt, judged by its remaining time.
    fn is_first_attempt(&mut self, route: &RouteConfig, head: &Head) -> bool {
        let Some(left) = head.deadline else {
            return true;
        };
        let deadlines = self.deadlines.entry(route.name.clone()).or_default();
        deadlines.push_back(left);
        if deadlines.len() > KEPT_DEADLINES {
            deadlines.pop_front();
        }
        let mut sorted: Vec<Duration> = deadlines.iter().copied().collect();
        sorted.sort_unstable();
        left >= sorted[sorted.len() / 2].mul_f64(FIRST_ATTEMPT_SHARE)
    }

    fn load_of(&mut self, service: &str) -> &mut ServiceLoad {
        let key = waits::key(service);
        self.unreported
            .entry(key)
            .or_insert(ServiceLoad::empty(key))
    }
}
