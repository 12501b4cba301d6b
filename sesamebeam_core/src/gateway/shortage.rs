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
const SHORT_FROM: f64 = 0.03;

/// Minimum number of these rejections; a smaller sample gives no reliable share.
const SHORT_LEAST: u32 = 5;

/// Target of the mean response time, as a share of the time in which an answer is on
/// time. The queue oscillates with the delay of the reports: with 0.6 it was empty at
/// times, and 84 in 100 callers were served instead of 89
/// (`shortage::one_of_three_left`).
const AIM: f64 = 0.9;

/// Gain of the control loop from the relative error of the response time to the admitted
/// share, and the maximum growth and decrease in a step.
const GAIN: f64 = 0.2;
const MOST_GROWTH: f64 = 0.2;
const MOST_FALL: f64 = 0.3;

/// Weight of the rejected share in the decrease of a step. Rejections come in bursts:
/// with a weight of 1, 88 in 100 callers were served and 80 on time; with a half, 90 and
/// 79 (`shortage::one_of_three_left`).
const TURNED_WEIGHT: f64 = 0.5;

/// Growth in a step when the queues are nearly empty and the shortage is over.
const FREE_GROWTH: f64 = 0.2;

/// Waiting requests for each slot below which the queues count as nearly empty.
const HARDLY: f64 = 0.1;

/// Minimum admitted share; the admitted requests show when capacity is back.
const LEAST: f64 = 0.05;

/// Time after a step until reports show its effect: entries report five times a second,
/// and shares are published as often.
const SETTLES_IN: Duration = Duration::from_millis(400);

/// Time over which reports are collected for a step.
const GATHER: Duration = Duration::from_millis(300);

/// Time for which a share is valid; shares are published five times a second.
const TOLD_FOR: Duration = Duration::from_millis(1500);

/// Share of a route's median deadline above which a request is a first attempt; a retry
/// comes at least 0.2 s later.
const FIRST_FROM: f64 = 0.95;

/// Number of deadlines kept for each route. Most requests are first attempts, so the
/// median is a full deadline; the maximum may come from a caller with a far longer
/// deadline, compared with which all others would look like retries.
const KEPT: usize = 15;

/// Load of a non-streaming service since the last report.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct WorkOf {
    /// Key of the service.
    pub service: ServiceKey,
    /// Answered requests.
    pub done: u32,
    /// Requests that found all backend servers full.
    pub turned_away: u32,
    /// Sum of response times, each as a share of the time in which an answer is on time.
    pub time: f32,
    /// Sum of waiting requests for each slot, as reported with the answers.
    pub waiting: f32,
}

impl WorkOf {
    /// Creates an empty report.
    fn none(service: ServiceKey) -> Self {
        Self {
            service,
            done: 0,
            turned_away: 0,
            time: 0.0,
            waiting: 0.0,
        }
    }

    /// Adds another report.
    pub fn add(&mut self, other: &Self) {
        self.done += other.done;
        self.turned_away += other.turned_away;
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
struct Flow {
    /// Currently admitted share.
    share: f64,
    /// Sum of reports since `from`.
    seen: WorkOf,
    /// Time before which reports are ignored.
    from: MonoTime,
}

/// Admission control of all services, on a control replica.
#[derive(Clone, Debug, Default)]
pub struct Shortages {
    flows: BTreeMap<ServiceKey, Flow>,
}

impl Shortages {
    /// Adds reports of entries.
    pub fn take(&mut self, now: MonoTime, work: impl IntoIterator<Item = WorkOf>) {
        for of_service in work {
            let new = Flow {
                share: 1.0,
                seen: WorkOf::none(of_service.service),
                from: now,
            };
            let flow = self.flows.entry(of_service.service).or_insert(new);
            if now >= flow.from {
                flow.seen.add(&of_service);
            }
        }
    }

    /// Runs the control steps that are due and returns the shares of all services short
    /// of capacity.
    pub fn shares(&mut self, now: MonoTime) -> Vec<ShareOf> {
        for flow in self.flows.values_mut() {
            flow.step(now);
        }
        let short = self.flows.iter().filter(|(_, flow)| flow.share < 1.0);
        let share = |(&service, flow): (&ServiceKey, &Flow)| ShareOf {
            service,
            share: flow.share as f32,
        };
        short.map(share).collect()
    }
}

impl Flow {
    /// Computes the share if enough time has passed since the last step.
    ///
    /// Each step waits for the effect of the previous one. With a step for each report,
    /// three would respond to the same full queue before the first took effect.
    fn step(&mut self, now: MonoTime) {
        if now < self.from + GATHER {
            return;
        }
        let before = self.share;
        self.share = self.next();
        self.seen = WorkOf::none(self.seen.service);
        let settles = if self.share < 1.0 || before < 1.0 {
            SETTLES_IN
        } else {
            Duration::ZERO
        };
        self.from = now + settles;
    }

    /// Returns the next admitted share.
    fn next(&self) -> f64 {
        let WorkOf {
            done,
            turned_away,
            time,
            waiting,
            ..
        } = self.seen;
        let all = f64::from(done + turned_away);
        let turned = f64::from(turned_away) / all.max(1.0);
        let is_short = turned >= SHORT_FROM && turned_away >= SHORT_LEAST;
        if self.share >= 1.0 && !is_short {
            return 1.0;
        }
        let answers = f64::from(done.max(1));
        if turned_away == 0 && f64::from(waiting) / answers < HARDLY {
            return (self.share * (1.0 + FREE_GROWTH)).min(1.0);
        }
        let off = GAIN * (AIM - f64::from(time) / answers) / AIM;
        let towards_aim = 1.0 + off.clamp(-MOST_FALL, MOST_GROWTH);
        let room = 1.0 - TURNED_WEIGHT * turned;
        (self.share * room * towards_aim).clamp(LEAST, 1.0)
    }
}

/// Admission state of one entry.
#[derive(Debug, Default)]
pub struct Admission {
    /// Loads to report.
    fresh: HashMap<ServiceKey, WorkOf>,
    /// Admitted shares of services short of capacity, and when they arrived.
    told: HashMap<ServiceKey, (f64, MonoTime)>,
    /// Deadlines of the last requests on each route.
    patience: HashMap<RouteId, VecDeque<Duration>>,
}

impl Admission {
    /// Records an answer and the queue length reported with it.
    pub fn answered(
        &mut self,
        service: &str,
        took: Duration,
        target: Duration,
        load: Option<Load>,
    ) {
        let work = self.work(service);
        work.done += 1;
        work.time += (took.as_secs_f64() / target.as_secs_f64().max(0.001)) as f32;
        if let Some(load) = load {
            work.waiting += load.waiting as f32 / load.slots.max(1) as f32;
        }
    }

    /// Records a request that found all backend servers full.
    pub fn turned_away(&mut self, service: &str) {
        self.work(service).turned_away += 1;
    }

    /// Takes the loads to report.
    pub fn take_fresh(&mut self) -> Vec<WorkOf> {
        self.fresh.drain().map(|(_, work)| work).collect()
    }

    /// Replaces the shares of all services short of capacity.
    pub fn told(&mut self, now: MonoTime, shares: impl IntoIterator<Item = ShareOf>) {
        let told = |of: ShareOf| (of.service, (f64::from(of.share), now));
        self.told = shares.into_iter().map(told).collect();
    }

    /// Returns whether a request is admitted.
    pub fn admits(
        &mut self,
        now: MonoTime,
        service: &str,
        route: &RouteConfig,
        head: &Head,
    ) -> bool {
        let is_first = self.comes_first(route, head);
        let Some(&(share, at)) = self.told.get(&waits::key(service)) else {
            return true;
        };
        if now >= at + TOLD_FOR {
            return true;
        }
        is_first && hash::unit(head.id.as_bytes(), "admission") < share
    }

    /// Returns whether a request is a first attempt, judged by its remaining time.
    fn comes_first(&mut self, route: &RouteConfig, head: &Head) -> bool {
        let Some(left) = head.deadline else {
            return true;
        };
        let kept = self.patience.entry(route.name.clone()).or_default();
        kept.push_back(left);
        if kept.len() > KEPT {
            kept.pop_front();
        }
        let mut times: Vec<Duration> = kept.iter().copied().collect();
        times.sort_unstable();
        left >= times[times.len() / 2].mul_f64(FIRST_FROM)
    }

    fn work(&mut self, service: &str) -> &mut WorkOf {
        let key = waits::key(service);
        self.fresh.entry(key).or_insert(WorkOf::none(key))
    }
}
