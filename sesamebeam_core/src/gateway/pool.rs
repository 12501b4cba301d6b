//! Detection of backend servers with a high failure rate (outliers) from the answers to
//! all entries.
//!
//! Of 295 entries, each sends less than one request a second to a service of five backend
//! servers. When three of these cut off two in five answers for four seconds, no single
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
const RECENT: Duration = Duration::from_millis(1000);

/// Half-life of answers in the baseline failure rate of a service: some requests fail on
/// any backend server, 4 in 100 in one deployment.
const USUAL: Duration = Duration::from_secs(20);

/// Prior of the baseline failure rate: assumed answers of a service and failures among
/// them.
const PRIOR_ANSWERS: f64 = 20.0;
const PRIOR_FAILURES: f64 = 1.0;

/// Assumed excess of a faulty backend server's failure rate over the baseline; observed
/// faults affect a fifth to a half of the answers.
const EXCESS: f64 = 0.25;

/// Log-likelihood ratio at which a backend server is doubted. The sum restarts at 0 when
/// it becomes negative (CUSUM test), so that good answers from long ago do not hide a new
/// fault. `pool::good_one_doubted` measures the rate of false positives,
/// `pool::bad_one_found` the detection time.
const EVIDENCE: f64 = 7.0;

/// Upper bound of the failure rate that is assumed for a faulty backend server.
const MOST_FAILING: f64 = 0.95;

/// Excess over the baseline failure rate below which a doubt ends.
const CLEARED: f64 = 0.05;

/// Minimum number of recent answers for ending a doubt.
const MIN_CLEARING: f64 = 5.0;

/// Number of recent answers below which a doubt expires, so that the backend server is
/// tried again: 70 answers decay to this within six seconds.
const FORGOTTEN: f64 = 1.0;

/// Counts of answers from one backend server, seen by one or more entries.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Outcomes {
    /// Key of the backend server.
    pub server: ServerKey,
    /// Successful answers.
    pub good: u32,
    /// Answers that were errors or were cut off.
    pub bad: u32,
}

impl Outcomes {
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
struct Tally {
    good: f64,
    bad: f64,
    at: MonoTime,
}

impl Tally {
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

    fn share(&self) -> f64 {
        self.bad / self.count().max(f64::EPSILON)
    }
}

/// Detection state of one backend server.
#[derive(Clone, Copy, Debug, Default)]
struct Seen {
    recent: Tally,
    /// Log-likelihood ratio of the fault hypothesis since it was last 0.
    evidence: f64,
    is_doubted: bool,
}

/// Outlier detector over the answers to all entries.
#[derive(Clone, Debug, Default)]
pub struct Pool {
    servers: HashMap<ServerKey, Seen>,
    /// Baseline counts of each service.
    usual: HashMap<ServiceId, Tally>,
    /// Counts since the last evaluation.
    fresh: HashMap<ServerKey, (u32, u32)>,
    doubts: Vec<Doubt>,
}

impl Pool {
    /// Adds reported counts.
    pub fn take(&mut self, outcomes: impl IntoIterator<Item = Outcomes>) {
        for Outcomes { server, good, bad } in outcomes {
            let counts = self.fresh.entry(server).or_default();
            counts.0 += good;
            counts.1 += bad;
        }
    }

    /// Returns the backend servers that are doubted.
    pub fn doubts(&self) -> &[Doubt] {
        &self.doubts
    }

    /// Evaluates the counts since the last call and returns whether the doubts changed.
    pub fn judge(&mut self, now: MonoTime, directory: &Directory) -> bool {
        if self.fresh.is_empty() && self.doubts.is_empty() {
            return false;
        }
        let fresh = std::mem::take(&mut self.fresh);
        let mut doubts = Vec::new();
        // Backend servers without new answers or a doubt keep their state.
        let mut due: BTreeSet<ServerKey> = fresh.keys().copied().collect();
        due.extend(self.doubts.iter().map(|d| d.server));
        for key in due {
            let Some(server) = living(directory, key) else {
                continue;
            };
            let mut seen = self.servers.get(&key).copied().unwrap_or_default();
            let (good, bad) = fresh.get(&key).copied().unwrap_or_default();
            seen.recent.add(now, RECENT, good, bad);
            let usual = self.usual.entry(server.service.clone()).or_default();
            seen.judge(usual_share(usual), good, bad);
            if !seen.is_doubted {
                usual.add(now, USUAL, good, bad);
            } else {
                let failing = (seen.recent.share() * 100.0).round() as u8;
                doubts.push(Doubt {
                    server: key,
                    failing,
                });
            }
            self.servers.insert(key, seen);
        }
        self.forget(directory);
        doubts.sort_by_key(|d| d.server);
        let others = |d: &[Doubt]| {
            d.iter()
                .map(|d| (d.server, d.failing / 10))
                .collect::<Vec<_>>()
        };
        let changed = others(&doubts) != others(&self.doubts);
        self.doubts = doubts;
        changed
    }

    /// Removes backend servers that are gone once the state holds twice as many as the
    /// directory.
    fn forget(&mut self, directory: &Directory) {
        if self.servers.len() <= 2 * directory.count() {
            return;
        }
        self.servers
            .retain(|&key, _| living(directory, key).is_some());
    }
}

impl Seen {
    /// Updates the state from the baseline failure rate and the newest answers.
    fn judge(&mut self, usual: f64, good: u32, bad: u32) {
        let suspected = (usual + EXCESS).min(MOST_FAILING);
        let of_bad = (suspected / usual).ln();
        let of_good = ((1.0 - suspected) / (1.0 - usual)).ln();
        let added = f64::from(bad) * of_bad + f64::from(good) * of_good;
        self.evidence = (self.evidence + added).max(0.0);
        if self.is_doubted {
            let count = self.recent.count();
            let is_cleared = count >= MIN_CLEARING && self.recent.share() < usual + CLEARED;
            self.is_doubted = !is_cleared && count >= FORGOTTEN;
        } else {
            self.is_doubted = self.evidence >= EVIDENCE;
        }
        if self.is_doubted {
            self.evidence = 0.0;
        }
    }
}

/// Returns the announcement of a backend server that is not gone.
fn living(directory: &Directory, key: ServerKey) -> Option<&Announcement> {
    let mut of_key = directory.with_key(key).map(|k| &k.said);
    of_key.find(|said| said.state != ServerState::Gone)
}

/// Returns the baseline failure rate of a service.
fn usual_share(usual: &Tally) -> f64 {
    (usual.bad + PRIOR_FAILURES) / (usual.count() + PRIOR_ANSWERS)
}
