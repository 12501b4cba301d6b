//! Error budget burn rates of each organisation's objectives over several
//! windows.
//!
//! A burn rate of 1 uses up exactly the error budget. An alert fires only if
//! both windows of a pair are at or above the limit, so that a short spike that
//! has ended does not alert while a sustained slow burn does.

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

/// Length of a fine-grained bucket.
const FINE_BUCKET: Duration = Duration::from_secs(30);

/// Number of fine-grained buckets kept: six hours.
const MAX_FINE_BUCKETS: usize = 720;

/// Length of a coarse-grained bucket.
const COARSE_BUCKET: Duration = Duration::from_secs(900);

/// Number of coarse-grained buckets kept: one day.
const MAX_COARSE_BUCKETS: usize = 96;

/// Short and long window of each pair, with the burn rate at which it alerts.
const WINDOW_PAIRS: [(Duration, Duration, f64); 3] = [
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

/// Maximum number of objectives. Further ones are counted and ignored.
const MAX_OBJECTIVES: usize = 4096;

/// Service level indicator of an objective.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Indicator {
    /// Share of requests answered completely within the deadline.
    Whole,
    /// Share of complete answers within the target latency.
    Latency,
    /// Share of good answers among the rated ones.
    Quality,
}

impl Indicator {
    /// All indicators, in report order.
    pub const ALL: [Self; 3] = [Self::Whole, Self::Latency, Self::Quality];
}

/// Burn rates of one objective.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ObjectiveBurn {
    /// Organisation that the objective belongs to.
    pub org: OrgId,
    /// Class of requests.
    pub class: ClassId,
    /// What the objective is about.
    pub indicator: Indicator,
    /// Required share of good events.
    pub objective: f64,
    /// Burn rates over each pair of windows.
    pub pairs: Vec<PairBurn>,
    /// Burn rate in each of the last coarse-grained buckets, oldest first, for
    /// plots.
    pub history: Vec<f64>,
}

impl ObjectiveBurn {
    /// Returns whether any pair of windows alerts.
    pub fn alerts(&self) -> bool {
        self.pairs.iter().any(|pair| pair.alerts)
    }
}

/// Burn rates over a pair of windows.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PairBurn {
    /// Short window.
    pub short: WindowBurn,
    /// Long window.
    pub long: WindowBurn,
    /// Burn rate at which the pair alerts.
    pub limit: f64,
    /// Whether both windows are at or above the limit.
    pub alerts: bool,
}

/// Burn rate over one window.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct WindowBurn {
    /// Length of the window.
    #[serde(with = "humantime_serde")]
    pub window: Duration,
    /// Number of events in the window.
    pub total: u64,
    /// Number of bad events in the window.
    pub bad: u64,
    /// Burn rate: the share of bad events divided by the allowed share.
    pub rate: f64,
}

/// Burn rates of all objectives.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct BurnReport {
    /// Time since the entry started.
    #[serde(with = "humantime_serde")]
    pub up: Duration,
    /// Burn rates by objective and indicator.
    pub objectives: Vec<ObjectiveBurn>,
    /// Time between two values of the histories.
    #[serde(with = "humantime_serde")]
    pub step: Duration,
}

/// Number of events and of bad events, by indicator.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct EventCounts {
    total: [u32; 3],
    bad: [u32; 3],
}

impl EventCounts {
    fn add(&mut self, indicator: Indicator, bad: bool) {
        let column = indicator as usize;
        self.total[column] = self.total[column].saturating_add(1);
        self.bad[column] = self.bad[column].saturating_add(u32::from(bad));
    }
}

/// Time series of buckets of equal length, newest last. Empty buckets are not
/// stored.
#[derive(Clone, Debug, Default)]
struct Series {
    buckets: VecDeque<(u64, EventCounts)>,
}

impl Series {
    fn bucket_mut(&mut self, index: u64, max_buckets: usize) -> &mut EventCounts {
        if self.buckets.back().is_none_or(|(last, _)| *last < index) {
            self.buckets.push_back((index, EventCounts::default()));
        }
        while self.buckets.len() > max_buckets {
            self.buckets.pop_front();
        }
        let last = self.buckets.len() - 1;
        &mut self.buckets[last].1
    }

    fn sum(&self, from: u64, indicator: Indicator) -> (u64, u64) {
        let column = indicator as usize;
        self.buckets
            .iter()
            .rev()
            .take_while(|(index, _)| *index >= from)
            .fold((0, 0), |(total, bad), (_, counts)| {
                (
                    total + u64::from(counts.total[column]),
                    bad + u64::from(counts.bad[column]),
                )
            })
    }
}

/// Events of one organisation and class.
#[derive(Clone, Debug)]
struct ObjectiveEvents {
    target: Target,
    fine: Series,
    coarse: Series,
}

/// Tracks the burn rates of all objectives.
#[derive(Clone, Debug, Default)]
pub struct BurnTracker {
    objectives: IndexMap<(OrgId, ClassId), ObjectiveEvents>,
    ignored_objectives: u64,
}

impl BurnTracker {
    /// Creates a tracker without events.
    pub fn new() -> Self {
        Self::default()
    }

    /// Applies the objectives of a fleet file. Events of objectives that remain
    /// are kept.
    pub fn configure(&mut self, fleet: &Fleet) {
        let mut objectives = IndexMap::new();
        self.ignored_objectives = 0;
        for org in &fleet.organisations {
            for target in &org.targets {
                if objectives.len() >= MAX_OBJECTIVES {
                    self.ignored_objectives += 1;
                    continue;
                }
                let key = (org.name.clone(), target.class.clone());
                let known = self.objectives.swap_remove(&key);
                let (fine, coarse) = known.map_or_else(Default::default, |o| (o.fine, o.coarse));
                let objective = ObjectiveEvents {
                    target: target.clone(),
                    fine,
                    coarse,
                };
                objectives.insert(key, objective);
            }
        }
        self.objectives = objectives;
    }

    /// Records a request that ended, with its latency if it was answered
    /// completely within its deadline. A refused request counts as not
    /// answered.
    pub fn record_request(
        &mut self,
        now: MonoTime,
        org: &OrgId,
        class: &ClassId,
        whole: Option<Duration>,
    ) {
        let Some(objective) = self.objectives.get_mut(&(org.clone(), class.clone())) else {
            return;
        };
        objective.add(now, Indicator::Whole, whole.is_none());
        if let Some(latency) = whole {
            let late = latency > objective.target.latency;
            objective.add(now, Indicator::Latency, late);
        }
    }

    /// Records a rated answer.
    pub fn record_rating(&mut self, now: MonoTime, org: &OrgId, class: &ClassId, good: bool) {
        if let Some(objective) = self.objectives.get_mut(&(org.clone(), class.clone())) {
            objective.add(now, Indicator::Quality, !good);
        }
    }

    /// Returns the burn rates of all objectives, or of one organisation.
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
            step: COARSE_BUCKET,
        }
    }

    /// Returns the number of objectives that were ignored because there are too
    /// many.
    pub fn ignored_objectives(&self) -> u64 {
        self.ignored_objectives
    }
}

impl ObjectiveEvents {
    fn add(&mut self, now: MonoTime, indicator: Indicator, bad: bool) {
        self.fine
            .bucket_mut(bucket_index(now, FINE_BUCKET), MAX_FINE_BUCKETS)
            .add(indicator, bad);
        self.coarse
            .bucket_mut(bucket_index(now, COARSE_BUCKET), MAX_COARSE_BUCKETS)
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
        WINDOW_PAIRS.into_iter().map(pair).collect()
    }

    fn window(&self, now: MonoTime, window: Duration, indicator: Indicator) -> WindowBurn {
        let from = now.saturating_sub(window);
        let (total, bad) = if window <= FINE_BUCKET * MAX_FINE_BUCKETS as u32 {
            self.fine.sum(bucket_index(from, FINE_BUCKET), indicator)
        } else {
            self.coarse
                .sum(bucket_index(from, COARSE_BUCKET), indicator)
        };
        WindowBurn {
            window,
            total,
            bad,
            rate: rate(total, bad, self.share(indicator)),
        }
    }

    fn history(&self, now: MonoTime, indicator: Indicator) -> Vec<f64> {
        let last = bucket_index(now, COARSE_BUCKET);
        let first = last.saturating_sub(MAX_COARSE_BUCKETS as u64 - 1);
        let mut rates = vec![0.0; (last - first + 1) as usize];
        let column = indicator as usize;
        for (index, counts) in &self.coarse.buckets {
            if (first..=last).contains(index) {
                let (total, bad) = (counts.total[column].into(), counts.bad[column].into());
                rates[(index - first) as usize] = rate(total, bad, self.share(indicator));
            }
        }
        rates
    }
}

fn bucket_index(at: MonoTime, length: Duration) -> u64 {
    at.as_secs() / length.as_secs()
}

/// Returns the share of bad events divided by the share that the objective
/// allows.
fn rate(total: u64, bad: u64, objective: f64) -> f64 {
    if total == 0 {
        return 0.0;
    }
    bad as f64 / total as f64 / (1.0 - objective).max(1e-4)
}
