//! Detection of backend servers with a high failure rate (outliers) from the answers to
//! all entries.
//!
//! Of 295 entries, each sends less than one request a second to a service of five backend
//! servers. When three of these truncate two in five answers for four seconds, no single
//! entry saw enough failures to avoid them, and 266 non-repeatable requests failed. All
//! entries together see 70 answers a second from each backend server, and a few are
//! enough for detection.

use std::{
    collections::{
        BTreeSet,
        HashMap, //
    },
    time::Duration, //
};

use serde::{
    Deserialize,
    Serialize, //
};

use super::{
    config::ServiceId,
    directory::{
        Announcement,
        Directory,
        ServerState, //
    },
    loads::ServerKey,
};
use crate::ids::MonoTime;

/// Half-life of answers in the recent failure rate of a backend server; faults last for
/// seconds.
const RECENT_HALF_LIFE: Duration = Duration::from_millis(1000);

/// Half-life of answers in the baseline failure rate of a service: some requests fail on
/// any backend server, 4 in 100 in one deployment.
const BASELINE_HALF_LIFE: Duration = Duration::from_secs(20);

/// Prior of the baseline failure rate: assumed answers of a service and failures among
/// them.
const PRIOR_ANSWERS: f64 = 20.0;
const PRIOR_FAILURES: f64 = 1.0;

/// Assumed excess of a faulty backend server's failure rate over the baseline; observed
/// faults affect a fifth to a half of the answers.
const ASSUMED_EXCESS: f64 = 0.25;

/// Log-likelihood ratio at which a backend server is doubted. The sum restarts at 0 when
/// it becomes negative (CUSUM test), so that good answers from long ago do not hide a new
/// fault. `outliers::false_positives_are_rare` measures the rate of false positives,
/// `outliers::faulty_server_is_detected` the detection time.
const EVIDENCE_THRESHOLD: f64 = 7.0;

/// Upper bound of the failure rate that is assumed for a faulty backend server.
const MAX_ASSUMED_RATE: f64 = 0.95;

/// Excess over the baseline failure rate below which a doubt ends.
const CLEARED_EXCESS: f64 = 0.05;

/// Minimum number of recent answers for ending a doubt.
const MIN_CLEARING_ANSWERS: f64 = 5.0;

/// Number of recent answers below which a doubt expires, so that the backend server is
/// tried again: 70 answers decay to this within six seconds.
const MIN_RECENT_ANSWERS: f64 = 1.0;

/// Counts of answers from one backend server, seen by one or more entries.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AnswerCounts {
    /// Key of the backend server.
    pub server: ServerKey,
    /// Successful answers.
    pub good: u32,
    /// Answers that were errors or were truncated.
    pub bad: u32,
}

impl AnswerCounts {
    /// Adds the counts of another report.
    pub fn add(&mut self, other: &Self) {
        self.good += other.good;
        self.bad += other.bad;
    }
}

/// Backend server with a failure rate above that of its service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Doubt {
    /// Key of the backend server.
    pub server: ServerKey,
    /// Failure rate of its recent answers, in percent.
    pub failing: u8,
}

/// Exponentially decaying counts of answers.
#[derive(Clone, Copy, Debug, Default)]
struct DecayingCounts {
    good: f64,
    bad: f64,
    at: MonoTime,
}

impl DecayingCounts {
    fn add(&mut self, now: MonoTime, half_life: Duration, good: u32, bad: u32) {
        let age = now.saturating_sub(self.at).as_secs_f64();
        let factor = 0.5f64.powf(age / half_life.as_secs_f64());
        self.good = self.good * factor + f64::from(good);
        self.bad = self.bad * factor + f64::from(bad);
        self.at = now;
    }

    fn count(&self) -> f64 {
        self.good + self.bad
    }

    fn failure_rate(&self) -> f64 {
        self.bad / self.count().max(f64::EPSILON)
    }
}

/// Detection state of one backend server.
#[derive(Clone, Copy, Debug, Default)]
struct DetectionState {
    recent: DecayingCounts,
    /// Log-likelihood ratio of the fault hypothesis since it was last 0.
    evidence: f64,
    is_doubted: bool,
}

/// Outlier detector over the answers to all entries.
#[derive(Clone, Debug, Default)]
pub struct OutlierDetector {
    servers: HashMap<ServerKey, DetectionState>,
    /// Baseline counts of each service.
    baseline: HashMap<ServiceId, DecayingCounts>,
    /// Counts since the last evaluation.
    pending: HashMap<ServerKey, (u32, u32)>,
    doubts: Vec<Doubt>,
}

impl OutlierDetector {
    /// Adds reported counts.
    pub fn record(&mut self, outcomes: impl IntoIterator<Item = AnswerCounts>) {
        for AnswerCounts { server, good, bad } in outcomes {
            let counts = self.pending.entry(server).or_default();
            counts.0 += good;
            counts.1 += bad;
        }
    }

    /// Returns the backend servers that are doubted.
    pub fn doubts(&self) -> &[Doubt] {
        &self.doubts
    }

    /// Evaluates the counts since the last call and returns whether the doubts changed.
    pub fn evaluate(&mut self, now: MonoTime, directory: &Directory) -> bool {
        if self.pending.is_empty() && self.doubts.is_empty() {
            return false;
        }
        let pending = std::mem::take(&mut self.pending);
        let mut doubts = Vec::new();
        // Backend servers without new answers or a doubt keep their state.
        let mut to_evaluate: BTreeSet<ServerKey> = pending.keys().copied().collect();
        to_evaluate.extend(self.doubts.iter().map(|d| d.server));
        for key in to_evaluate {
            let Some(server) = find_present(directory, key) else {
                continue;
            };
            let mut state = self.servers.get(&key).copied().unwrap_or_default();
            let (good, bad) = pending.get(&key).copied().unwrap_or_default();
            state.recent.add(now, RECENT_HALF_LIFE, good, bad);
            let baseline = self.baseline.entry(server.service.clone()).or_default();
            state.evaluate(baseline_rate(baseline), good, bad);
            if !state.is_doubted {
                baseline.add(now, BASELINE_HALF_LIFE, good, bad);
            } else {
                let failing = (state.recent.failure_rate() * 100.0).round() as u8;
                doubts.push(Doubt {
                    server: key,
                    failing,
                });
            }
            self.servers.insert(key, state);
        }
        self.remove_gone(directory);
        doubts.sort_by_key(|d| d.server);
        let coarse = |d: &[Doubt]| {
            d.iter()
                .map(|d| (d.server, d.failing / 10))
                .collect::<Vec<_>>()
        };
        let changed = coarse(&doubts) != coarse(&self.doubts);
        self.doubts = doubts;
        changed
    }

    /// Removes backend servers that are gone once the state holds twice as many as the
    /// directory.
    fn remove_gone(&mut self, directory: &Directory) {
        if self.servers.len() <= 2 * directory.count() {
            return;
        }
        self.servers
            .retain(|&key, _| find_present(directory, key).is_some());
    }
}

impl DetectionState {
    /// Updates the state from the baseline failure rate and the newest answers.
    fn evaluate(&mut self, baseline: f64, good: u32, bad: u32) {
        let assumed = (baseline + ASSUMED_EXCESS).min(MAX_ASSUMED_RATE);
        let bad_weight = (assumed / baseline).ln();
        let good_weight = ((1.0 - assumed) / (1.0 - baseline)).ln();
        let log_ratio = f64::from(bad) * bad_weight + f64::from(good) * good_weight;
        self.evidence = (self.evidence + log_ratio).max(0.0);
        if self.is_doubted {
            let count = self.recent.count();
            let is_cleared = count >= MIN_CLEARING_ANSWERS
                && self.recent.failure_rate() < baseline + CLEARED_EXCESS;
            self.is_doubted = !is_cleared && count >= MIN_RECENT_ANSWERS;
        } else {
            self.is_doubted = self.evidence >= EVIDENCE_THRESHOLD;
        }
        if self.is_doubted {
            self.evidence = 0.0;
        }
    }
}

/// Returns the announcement of a backend server that is not gone.
fn find_present(directory: &Directory, key: ServerKey) -> Option<&Announcement> {
    let mut with_key = directory.with_key(key).map(|k| &k.announcement);
    with_key.find(|said| said.state != ServerState::Gone)
}

/// Returns the baseline failure rate of a service.
fn baseline_rate(baseline: &DecayingCounts) -> f64 {
    (baseline.bad + PRIOR_FAILURES) / (baseline.count() + PRIOR_ANSWERS)
}
