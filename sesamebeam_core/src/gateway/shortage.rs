//! Services that cannot serve all that is asked of them.
//!
//! A plain service that is short of capacity has a full queue, in which everybody waits
//! too long, and turns away as many as it would with a short one: one backend server of
//! six slots and 24 places, at 30 ms a request, was asked by 214 callers a second and
//! answered 36 in 100 of them in time. Nobody sees the queue in time to keep it short: an
//! entry of 74 hears from the service three times a second.
//!
//! So entries report what was answered, how late, and who found all backend servers full;
//! the control replicas work out from the sum the share of the requests that can be
//! served, and each entry admits that share, drawn by the request's id. It is worked out
//! only from the moment on at which callers are turned away for want of room, and ends
//! when all are admitted again. Callers that come for the first time go before those that
//! come back: as many are served either way, but these ones in time.

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

/// Share of the requests that find all backend servers full from which the service is
/// short: below it, bursts of some milliseconds are turned away that nobody could have
/// foreseen.
const SHORT_FROM: f64 = 0.03;

/// Least number of them. Fewer say nothing of a share.
const SHORT_LEAST: u32 = 5;

/// Mean time to an answer, as a share of the time in which it is on time, that is aimed
/// at. The queue swings while reports are on their way: with 0.6 it ran empty at times,
/// and 84 in 100 callers were served in place of 89 (`shortage::one_of_three_left`).
const AIM: f64 = 0.9;

/// By which part the share of the requests that is admitted follows the distance from
/// that aim at each step, and the most that it grows or falls by it.
const GAIN: f64 = 0.2;
const MOST_GROWTH: f64 = 0.2;
const MOST_FALL: f64 = 0.3;

/// By which part of the requests that were turned away the share falls at a step. They
/// come in clumps: with all of them, 88 in 100 callers were served and 80 in time; with
/// half, 90 and 79 (`shortage::one_of_three_left`).
const TURNED_WEIGHT: f64 = 0.5;

/// Growth at a step if hardly anybody waits: the shortage is over.
const FREE_GROWTH: f64 = 0.2;

/// Waiting requests for each slot below which hardly anybody waits.
const HARDLY: f64 = 0.1;

/// Least share that is admitted. What is admitted shows when capacity is back.
const LEAST: f64 = 0.05;

/// Time after a step until what entries report comes from it: they report five times a
/// second, and what is admitted is told as often.
const SETTLES_IN: Duration = Duration::from_millis(400);

/// Time for which reports are gathered for the next step.
const GATHER: Duration = Duration::from_millis(300);

/// Time for which a share is believed; it is told five times a second.
const TOLD_FOR: Duration = Duration::from_millis(1500);

/// Share of the time that callers of a route mostly have, from which a caller comes for
/// the first time: one that comes back has waited, for 0.2 s at least.
const FIRST_FROM: f64 = 0.95;

/// Callers of a route whose times are kept. Most of them come for the first time, so that
/// the middle one has all of its time; the longest may be that of a caller with far more
/// patience than the others, beside whom all would seem to come back.
const KEPT: usize = 15;

/// What became of requests to a plain service since the last report.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct WorkOf {
    /// Which service.
    pub service: ServiceKey,
    /// Requests that were answered.
    pub done: u32,
    /// Requests that found all backend servers full.
    pub turned_away: u32,
    /// Sum of the times to the answers, each as a share of that in which it is on time.
    pub time: f32,
    /// Sum of the requests that waited, as told with the answers, for each slot.
    pub waiting: f32,
}

impl WorkOf {
    /// Starts with none.
    fn none(service: ServiceKey) -> Self {
        Self {
            service,
            done: 0,
            turned_away: 0,
            time: 0.0,
            waiting: 0.0,
        }
    }

    /// Adds what others have seen.
    pub fn add(&mut self, other: &Self) {
        self.done += other.done;
        self.turned_away += other.turned_away;
        self.time += other.time;
        self.waiting += other.waiting;
    }
}

/// Share of the requests for a service that is admitted.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct ShareOf {
    /// Which service.
    pub service: ServiceKey,
    /// The share, below 1.
    pub share: f32,
}

/// One service, as a control replica sees it.
#[derive(Clone, Copy, Debug)]
struct Flow {
    /// Share that is admitted.
    share: f64,
    /// What was reported since `from`.
    seen: WorkOf,
    /// From when on reports count.
    from: MonoTime,
}

/// The services that are short, as a control replica works out.
#[derive(Clone, Debug, Default)]
pub struct Shortages {
    flows: BTreeMap<ServiceKey, Flow>,
}

impl Shortages {
    /// Takes what entries have seen.
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

    /// Takes the steps that are due and returns the shares of all that are short.
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
    /// Works the share out anew if enough time has passed since the last step.
    ///
    /// Steps wait for their effect. Taken at each report, three would answer the same
    /// full queue before the first one showed.
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

    /// Returns the share that is to be admitted from now on.
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

/// What one entry has seen of services, and which share of the requests it admits.
#[derive(Debug, Default)]
pub struct Admission {
    /// What is to be reported.
    fresh: HashMap<ServiceKey, WorkOf>,
    /// Shares of services that are short, and when they were told.
    told: HashMap<ServiceKey, (f64, MonoTime)>,
    /// Times that the last callers of a route have said they wait.
    patience: HashMap<RouteId, VecDeque<Duration>>,
}

impl Admission {
    /// Notes an answer, and what waited at its backend server.
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

    /// Notes a request that found all backend servers full.
    pub fn turned_away(&mut self, service: &str) {
        self.work(service).turned_away += 1;
    }

    /// Takes what is to be reported.
    pub fn take_fresh(&mut self) -> Vec<WorkOf> {
        self.fresh.drain().map(|(_, work)| work).collect()
    }

    /// Takes the shares of all services that are short.
    pub fn told(&mut self, now: MonoTime, shares: impl IntoIterator<Item = ShareOf>) {
        let told = |of: ShareOf| (of.service, (f64::from(of.share), now));
        self.told = shares.into_iter().map(told).collect();
    }

    /// Returns whether a request to a service is let through.
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

    /// Returns whether a caller comes for the first time, by the time that it has left.
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
