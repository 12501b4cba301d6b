//! Fingerprints of requests that crash the backend servers that run them.
//!
//! A crash takes down every request that the backend server ran, and all of
//! them are suspects. The guilty one is in each further crash; a bystander that
//! was sent again often shares one further crash with it, seldom two.
//!
//! The rule, worked out anew over the kept crashes in their order whenever one is
//! reported, so that a late report can also lift a quarantine:
//!
//! 1. A crash in which a fingerprint found guilty took part is explained by it
//!    and counts against nobody else.
//! 2. Of the suspects of a crash, the one with the most unexplained crashes is
//!    guilty if these are two or more and no other suspect has as many.
//! 3. Several with as many are found guilty together only from the third crash
//!    on: a further crash or a clearing mostly tells them apart before.
//! 4. A suspect that runs to its end elsewhere is cleared of earlier crashes.

use std::{
    collections::{
        BTreeMap,
        BTreeSet,
        VecDeque, //
    },
    time::Duration,
};

use serde::{
    Deserialize,
    Serialize, //
};

use crate::{
    ids::Digest,
    message::{
        command::Retention,
        record::{
            CrashReport,
            ServerLife, //
        },
    },
};

/// Most crashes kept; the oldest goes first.
const MAX_CRASHES: usize = 128;

/// Most suspects kept of one crash.
const MAX_SUSPECTS: usize = 512;

/// Most fingerprints quarantined; the oldest goes first.
const MAX_QUARANTINED: usize = 1024;

/// Crashes from which a fingerprint is guilty that no other suspect equals.
const ALONE: usize = 2;

/// Crashes from which several equal suspects are guilty together.
const TOGETHER: usize = 3;

/// The crashes that are kept, and what follows from them.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub(super) struct Crashes {
    /// Crashes, the oldest first.
    kept: VecDeque<Crash>,
    /// Quarantined fingerprints with the time at which each was quarantined.
    quarantine: BTreeMap<Digest, Duration>,
}

/// One crash: every report on one life of a backend server together.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
struct Crash {
    at: Duration,
    server: ServerLife,
    suspects: BTreeSet<Digest>,
}

impl Crashes {
    /// Applies a report. Entries report apart what each of them ran, and may
    /// report twice.
    pub(super) fn report(&mut self, clock: Duration, report: &CrashReport, bystanders: bool) {
        let crash = self.crash_of(clock, report.server);
        for suspect in &report.suspects {
            if crash.suspects.len() < MAX_SUSPECTS {
                crash.suspects.insert(*suspect);
            }
        }
        self.judge(clock, bystanders);
    }

    /// Clears suspects of the crashes so far.
    pub(super) fn clear(&mut self, clock: Duration, cleared: &[Digest]) {
        for crash in &mut self.kept {
            for fingerprint in cleared {
                crash.suspects.remove(fingerprint);
            }
        }
        self.judge(clock, false);
    }

    /// Drops crashes and quarantines over their time.
    pub(super) fn expire(&mut self, clock: Duration, retention: &Retention) {
        while let Some(crash) = self.kept.front()
            && crash.at + retention.crashes <= clock
        {
            self.kept.pop_front();
        }
        self.quarantine
            .retain(|_, at| *at + retention.quarantine > clock);
    }

    /// Lists the quarantined fingerprints.
    pub(super) fn quarantined(&self) -> Vec<Digest> {
        self.quarantine.keys().copied().collect()
    }

    fn crash_of(&mut self, clock: Duration, server: ServerLife) -> &mut Crash {
        let found = self.kept.iter().position(|crash| crash.server == server);
        let at = found.unwrap_or_else(|| {
            if self.kept.len() == MAX_CRASHES {
                self.kept.pop_front();
            }
            self.kept.push_back(Crash {
                at: clock,
                server,
                suspects: BTreeSet::new(),
            });
            self.kept.len() - 1
        });
        &mut self.kept[at]
    }

    fn judge(&mut self, clock: Duration, bystanders: bool) {
        let guilty = self.guilty(bystanders);
        let in_kept = self.kept.iter().flat_map(|crash| &crash.suspects);
        let in_kept: BTreeSet<_> = in_kept.copied().collect();
        // What no kept crash speaks of any more keeps its quarantine to the end.
        self.quarantine
            .retain(|print, _| guilty.contains(print) || !in_kept.contains(print));
        for fingerprint in guilty {
            self.quarantine.entry(fingerprint).or_insert(clock);
        }
        while self.quarantine.len() > MAX_QUARANTINED {
            let oldest = self.quarantine.iter().min_by_key(|(_, at)| **at);
            let Some(oldest) = oldest.map(|(fingerprint, _)| *fingerprint) else {
                return;
            };
            self.quarantine.remove(&oldest);
        }
    }

    /// Goes through the crashes as they happened and finds who is guilty.
    fn guilty(&self, bystanders: bool) -> BTreeSet<Digest> {
        let mut guilty = BTreeSet::new();
        let mut explained = BTreeSet::new();
        let mut lives: BTreeMap<Digest, Vec<usize>> = BTreeMap::new();
        for (at, crash) in self.kept.iter().enumerate() {
            if !bystanders && !crash.suspects.is_disjoint(&guilty) {
                explained.insert(at);
                continue;
            }
            let mut counts = Vec::new();
            for suspect in &crash.suspects {
                let crashes = lives.entry(*suspect).or_default();
                crashes.push(at);
                let open = crashes.iter().filter(|at| !explained.contains(*at));
                counts.push((open.count(), *suspect));
            }
            for fingerprint in most_suspect(&counts, bystanders) {
                guilty.insert(fingerprint);
                explained.extend(lives.get(&fingerprint).into_iter().flatten());
            }
        }
        guilty
    }
}

/// Picks who is guilty of one crash, by the unexplained crashes of each suspect.
fn most_suspect(counts: &[(usize, Digest)], bystanders: bool) -> Vec<Digest> {
    let most = counts.iter().map(|(count, _)| *count).max().unwrap_or(0);
    let least = if bystanders { ALONE } else { most.max(ALONE) };
    let found = counts.iter().filter(|(count, _)| *count >= least);
    let found: Vec<Digest> = found.map(|(_, fingerprint)| *fingerprint).collect();
    if bystanders || found.len() == 1 || most >= TOGETHER {
        found
    } else {
        Vec::new()
    }
}
