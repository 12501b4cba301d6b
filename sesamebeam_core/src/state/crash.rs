//! Fingerprints of requests that crash the backend servers that run them.
//!
//! A crash takes down every request that the backend server ran, and all of
//! them are suspects. The guilty one is in each further crash; a bystander that
//! was sent again often shares one further crash with it, seldom two.
//!
//! The rule, worked out anew from the crashes that are kept whenever one is
//! reported, so that a late report can also lift a quarantine:
//!
//! 1. A crash in which a quarantined fingerprint took part is explained by it
//!    and counts against nobody else.
//! 2. A fingerprint is quarantined when it is the only one that took part in
//!    each of the two or more unexplained crashes it was in.
//! 3. Several that took part in the same crashes are quarantined together only
//!    from the third crash on.
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

/// Crashes that quarantine a fingerprint which no other shares.
const ALONE: usize = 2;

/// Crashes that quarantine fingerprints which share all of them.
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
        let mut guilty = BTreeSet::new();
        loop {
            let found = self.guilty_besides(&guilty, bystanders);
            if found.is_empty() {
                break;
            }
            guilty.extend(found);
        }
        let in_kept = self.kept.iter().flat_map(|crash| &crash.suspects);
        let in_kept: BTreeSet<_> = in_kept.copied().collect();
        // What no kept crash speaks of any more keeps its quarantine to the end.
        self.quarantine.retain(|fingerprint, _| {
            guilty.contains(fingerprint) || !in_kept.contains(fingerprint)
        });
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

    /// Finds who is guilty of the crashes that `known` does not explain: those
    /// in most of them first, so that they explain the rest.
    fn guilty_besides(&self, known: &BTreeSet<Digest>, bystanders: bool) -> Vec<Digest> {
        let mut lives: BTreeMap<Digest, Vec<usize>> = BTreeMap::new();
        for (at, crash) in self.kept.iter().enumerate() {
            let explained = !crash.suspects.is_disjoint(known);
            if explained && !bystanders {
                continue;
            }
            for suspect in crash.suspects.difference(known) {
                lives.entry(*suspect).or_default().push(at);
            }
        }
        let most = lives.values().map(Vec::len).max().unwrap_or(0);
        if most < ALONE {
            return Vec::new();
        }
        let mut tied: BTreeMap<&[usize], Vec<Digest>> = BTreeMap::new();
        for (fingerprint, crashes) in &lives {
            if crashes.len() == most || (bystanders && crashes.len() >= ALONE) {
                tied.entry(crashes).or_default().push(*fingerprint);
            }
        }
        let sets = tied.into_iter();
        sets.filter(|(crashes, group)| bystanders || group.len() == 1 || crashes.len() >= TOGETHER)
            .flat_map(|(_, group)| group)
            .collect()
    }
}
