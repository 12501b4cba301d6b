//! Answers of backend servers as all entries together see them.
//!
//! Of 295 entries each sends less than one request a second to a service of five
//! backend servers. Three of these broke off two in five of their answers for four
//! seconds, and no entry saw enough to go elsewhere: 266 callers got no answer to a
//! request that may not run twice. Together the entries see 70 answers a second of
//! each, and a few of them are enough.

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

/// Time in which an answer counts half for what a backend server does now: what
/// goes wrong lasts for seconds.
const RECENT: Duration = Duration::from_millis(1000);

/// The same for what a service fails by itself: some requests fail wherever they
/// run, 4 in 100 on one deployment.
const USUAL: Duration = Duration::from_secs(20);

/// Answers that a service is thought to have given before any was seen, and the
/// failures among them.
const PRIOR_ANSWERS: f64 = 20.0;
const PRIOR_FAILURES: f64 = 1.0;

/// By how much the share of failures of a backend server that went bad is thought to
/// be above the usual one: those that are known to happen fail a fifth to a half.
const EXCESS: f64 = 0.25;

/// Sum of evidence, as a logarithm, from which a backend server is doubted. The sum
/// starts anew whenever it speaks for the backend server, so that good answers of
/// long ago do not weigh against what it does now. `pool::good_one_doubted` gives
/// how often chance reaches it, `pool::bad_one_found` how soon a bad one does.
const EVIDENCE: f64 = 7.0;

/// Highest share of failures that is suspected.
const MOST_FAILING: f64 = 0.95;

/// Share of failures above the usual one down to which a doubt stands.
const CLEARED: f64 = 0.05;

/// Answers within which a doubt is cleared.
const MIN_CLEARING: f64 = 5.0;

/// Answers of late below which nothing is known of a backend server any more, so
/// that it is tried again: 70 fade to that within six seconds.
const FORGOTTEN: f64 = 1.0;

/// What one or more entries have seen of a backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Outcomes {
    /// Which.
    pub server: ServerKey,
    /// Good answers.
    pub good: u32,
    /// Answers that failed or broke off.
    pub bad: u32,
}

impl Outcomes {
    /// Adds what others have seen.
    pub fn add(&mut self, other: &Self) {
        self.good += other.good;
        self.bad += other.bad;
    }
}

/// A backend server that fails more often than its service does.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Doubt {
    /// Which.
    pub server: ServerKey,
    /// Share of its answers that fail, in percent.
    pub failing: u8,
}

/// Counts that fade.
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

/// What is known of one backend server.
#[derive(Clone, Copy, Debug, Default)]
struct Seen {
    recent: Tally,
    /// Sum of the evidence against it since it was last above all suspicion.
    evidence: f64,
    is_doubted: bool,
}

/// What all entries have seen.
#[derive(Clone, Debug, Default)]
pub struct Pool {
    servers: HashMap<ServerKey, Seen>,
    /// What each service fails by itself.
    usual: HashMap<ServiceId, Tally>,
    /// What was seen since the last judgement.
    fresh: HashMap<ServerKey, (u32, u32)>,
    doubts: Vec<Doubt>,
}

impl Pool {
    /// Takes what entries have seen.
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

    /// Judges by what was seen up to now, and returns whether the doubts are others.
    pub fn judge(&mut self, now: MonoTime, directory: &Directory) -> bool {
        if self.fresh.is_empty() && self.doubts.is_empty() {
            return false;
        }
        let fresh = std::mem::take(&mut self.fresh);
        let mut doubts = Vec::new();
        // Of others nothing is new: their evidence stands as it was.
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

    /// Forgets those that are gone, once they are as many as those that are known.
    fn forget(&mut self, directory: &Directory) {
        if self.servers.len() <= 2 * directory.count() {
            return;
        }
        self.servers
            .retain(|&key, _| living(directory, key).is_some());
    }
}

impl Seen {
    /// Judges by the share of failures that is usual for the service, and by the
    /// newest answers.
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

/// Returns the backend server of a key that has not left.
fn living(directory: &Directory, key: ServerKey) -> Option<&Announcement> {
    let mut of_key = directory.with_key(key).map(|k| &k.announcement);
    of_key.find(|said| said.state != ServerState::Gone)
}

/// Returns the share of answers that a service fails by itself.
fn usual_share(usual: &Tally) -> f64 {
    (usual.bad + PRIOR_FAILURES) / (usual.count() + PRIOR_ANSWERS)
}
