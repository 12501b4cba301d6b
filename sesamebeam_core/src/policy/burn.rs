//! Burn of each organisation's objectives over several windows.
//!
//! A burn rate of 1 uses up the allowance exactly; both windows of a pair must
//! burn fast before it counts, so that a short spike that is over does not
//! alert, and a slow burn does.

use std::{
    collections::VecDeque,
    time::Duration, //
};

use indexmap::IndexMap;
use serde::{
    Deserialize,
    Serialize, //
};

use crate::{
    fleet::{
        Fleet,
        Target, //
    },
    ids::{
        ClassId,
        MonoTime,
        OrgId, //
    },
};

/// Length of a fine bucket.
const FINE: Duration = Duration::from_secs(30);

/// Fine buckets kept: six hours.
const FINE_KEPT: usize = 720;

/// Length of a coarse bucket.
const COARSE: Duration = Duration::from_secs(900);

/// Coarse buckets kept: a day.
const COARSE_KEPT: usize = 96;

/// Window pairs with the burn rate at which both alert.
const PAIRS: [(Duration, Duration, f64); 3] = [
    (Duration::from_secs(5 * 60), Duration::from_secs(3600), 14.4),
    (
        Duration::from_secs(30 * 60),
        Duration::from_secs(6 * 3600),
        6.0,
    ),
    (
        Duration::from_secs(2 * 3600),
        Duration::from_secs(24 * 3600),
        3.0,
    ),
];

/// Objectives kept at most; further ones are counted and left out.
const MAX_OBJECTIVES: usize = 4096;

/// What an objective is about.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Indicator {
    /// Whole answers within the deadline.
    Whole,
    /// Answers within the stated latency.
    Latency,
    /// Good answers among the rated.
    Quality,
}

impl Indicator {
    /// Every indicator, in the order of reports.
    pub const ALL: [Self; 3] = [Self::Whole, Self::Latency, Self::Quality];
}

/// Burn of one objective.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ObjectiveBurn {
    /// Organisation whose objective it is.
    pub org: OrgId,
    /// Class of requests.
    pub class: ClassId,
    /// What the objective is about.
    pub indicator: Indicator,
    /// Share that must be good.
    pub objective: f64,
    /// Burn over each pair of windows.
    pub pairs: Vec<PairBurn>,
    /// Burn rate in each of the last buckets, oldest first, for plots.
    pub history: Vec<f64>,
}

impl ObjectiveBurn {
    /// Tells whether any pair alerts.
    pub fn alerts(&self) -> bool {
        self.pairs.iter().any(|pair| pair.alerts)
    }
}

/// Burn over a pair of windows.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PairBurn {
    /// Short window.
    pub short: WindowBurn,
    /// Long window.
    pub long: WindowBurn,
    /// Burn rate at which both alert.
    pub limit: f64,
    /// Whether both are at or above the limit.
    pub alerts: bool,
}

/// Burn over one window.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct WindowBurn {
    /// Length of the window.
    #[serde(with = "humantime_serde")]
    pub window: Duration,
    /// Events in it.
    pub total: u64,
    /// Bad ones among them.
    pub bad: u64,
    /// Burn rate: share of bad ones over the share allowed.
    pub rate: f64,
}

/// Burn of every objective.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct BurnReport {
    /// Time since the entry started.
    #[serde(with = "humantime_serde")]
    pub up: Duration,
    /// Objectives with their burn.
    pub objectives: Vec<ObjectiveBurn>,
    /// Length of one step of the histories.
    #[serde(with = "humantime_serde")]
    pub step: Duration,
}

/// Events and bad ones among them, by indicator.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct Tally {
    total: [u32; 3],
    bad: [u32; 3],
}

impl Tally {
    fn add(&mut self, indicator: Indicator, bad: bool) {
        let at = indicator as usize;
        self.total[at] = self.total[at].saturating_add(1);
        self.bad[at] = self.bad[at].saturating_add(u32::from(bad));
    }
}

/// Buckets of one length, newest last, only those with events.
#[derive(Clone, Debug, Default)]
struct Series {
    buckets: VecDeque<(u64, Tally)>,
}

impl Series {
    fn at(&mut self, number: u64, kept: usize) -> &mut Tally {
        if self.buckets.back().is_none_or(|(last, _)| *last < number) {
            self.buckets.push_back((number, Tally::default()));
        }
        while self.buckets.len() > kept {
            self.buckets.pop_front();
        }
        let last = self.buckets.len() - 1;
        &mut self.buckets[last].1
    }

    fn sum(&self, from: u64, indicator: Indicator) -> (u64, u64) {
        let at = indicator as usize;
        self.buckets
            .iter()
            .rev()
            .take_while(|(number, _)| *number >= from)
            .fold((0, 0), |(total, bad), (_, tally)| {
                (
                    total + u64::from(tally.total[at]),
                    bad + u64::from(tally.bad[at]),
                )
            })
    }
}

/// Events of one organisation's class.
#[derive(Clone, Debug)]
struct Objective {
    target: Target,
    fine: Series,
    coarse: Series,
}

/// Burn of every organisation's objectives.
#[derive(Clone, Debug, Default)]
pub struct Burn {
    objectives: IndexMap<(OrgId, ClassId), Objective>,
    left_out: u64,
}

impl Burn {
    /// Starts without events.
    pub fn new() -> Self {
        Self::default()
    }

    /// Takes the objectives of a fleet file; events of those that stay are kept.
    pub fn configure(&mut self, fleet: &Fleet) {
        let mut objectives = IndexMap::new();
        self.left_out = 0;
        for org in &fleet.organisations {
            for target in &org.targets {
                if objectives.len() >= MAX_OBJECTIVES {
                    self.left_out += 1;
                    continue;
                }
                let key = (org.name.clone(), target.class.clone());
                let known = self.objectives.swap_remove(&key);
                let (fine, coarse) = known.map_or_else(Default::default, |o| (o.fine, o.coarse));
                let objective = Objective {
                    target: target.clone(),
                    fine,
                    coarse,
                };
                objectives.insert(key, objective);
            }
        }
        self.objectives = objectives;
    }

    /// Counts a request that ended: its latency if it was answered whole within
    /// its deadline. A refusal counts as not answered.
    pub fn ended(&mut self, now: MonoTime, org: &OrgId, class: &ClassId, whole: Option<Duration>) {
        let Some(objective) = self.objectives.get_mut(&(org.clone(), class.clone())) else {
            return;
        };
        objective.add(now, Indicator::Whole, whole.is_none());
        if let Some(latency) = whole {
            let late = latency > objective.target.latency;
            objective.add(now, Indicator::Latency, late);
        }
    }

    /// Counts a rated answer.
    pub fn rated(&mut self, now: MonoTime, org: &OrgId, class: &ClassId, good: bool) {
        if let Some(objective) = self.objectives.get_mut(&(org.clone(), class.clone())) {
            objective.add(now, Indicator::Quality, !good);
        }
    }

    /// Reports the burn of every objective, or of one organisation's.
    pub fn report(&self, now: MonoTime, only: Option<&str>) -> BurnReport {
        let mut objectives = Vec::new();
        for ((org, class), objective) in &self.objectives {
            if only.is_some_and(|only| only != org) {
                continue;
            }
            for indicator in Indicator::ALL {
                objectives.push(ObjectiveBurn {
                    org: org.clone(),
                    class: class.clone(),
                    indicator,
                    objective: objective.share(indicator),
                    pairs: objective.pairs(now, indicator),
                    history: objective.history(now, indicator),
                });
            }
        }
        BurnReport {
            up: now,
            objectives,
            step: COARSE,
        }
    }

    /// Gives the objectives that were left out because there are too many.
    pub fn left_out(&self) -> u64 {
        self.left_out
    }
}

impl Objective {
    fn add(&mut self, now: MonoTime, indicator: Indicator, bad: bool) {
        self.fine
            .at(number(now, FINE), FINE_KEPT)
            .add(indicator, bad);
        self.coarse
            .at(number(now, COARSE), COARSE_KEPT)
            .add(indicator, bad);
    }

    fn share(&self, indicator: Indicator) -> f64 {
        match indicator {
            Indicator::Whole => self.target.whole,
            Indicator::Latency => self.target.latency_share,
            Indicator::Quality => self.target.quality,
        }
    }

    fn pairs(&self, now: MonoTime, indicator: Indicator) -> Vec<PairBurn> {
        let pair = |(short, long, limit): (Duration, Duration, f64)| {
            let short = self.window(now, short, indicator);
            let long = self.window(now, long, indicator);
            let alerts = short.rate >= limit && long.rate >= limit;
            PairBurn {
                short,
                long,
                limit,
                alerts,
            }
        };
        PAIRS.into_iter().map(pair).collect()
    }

    fn window(&self, now: MonoTime, window: Duration, indicator: Indicator) -> WindowBurn {
        let from = now.saturating_sub(window);
        let (total, bad) = if window <= FINE * FINE_KEPT as u32 {
            self.fine.sum(number(from, FINE), indicator)
        } else {
            self.coarse.sum(number(from, COARSE), indicator)
        };
        WindowBurn {
            window,
            total,
            bad,
            rate: rate(total, bad, self.share(indicator)),
        }
    }

    fn history(&self, now: MonoTime, indicator: Indicator) -> Vec<f64> {
        let last = number(now, COARSE);
        let first = last.saturating_sub(COARSE_KEPT as u64 - 1);
        let mut rates = vec![0.0; (last - first + 1) as usize];
        let at = indicator as usize;
        for (bucket, tally) in &self.coarse.buckets {
            if (first..=last).contains(bucket) {
                let (total, bad) = (tally.total[at].into(), tally.bad[at].into());
                rates[(bucket - first) as usize] = rate(total, bad, self.share(indicator));
            }
        }
        rates
    }
}

fn number(at: MonoTime, length: Duration) -> u64 {
    at.as_secs() / length.as_secs()
}

/// Gives the share of bad events over the share that the objective allows.
fn rate(total: u64, bad: u64, objective: f64) -> f64 {
    if total == 0 {
        return 0.0;
    }
    bad as f64 / total as f64 / (1.0 - objective).max(1e-4)
}
