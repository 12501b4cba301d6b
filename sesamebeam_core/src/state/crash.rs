//! Quarantine of requests that crash backend servers, by fingerprint.
//!
//! When a backend server crashes, every request that it was running is a
//! suspect. The culprit is a suspect of each of its crashes. A bystander that
//! is resent is often a suspect of a second crash together with the culprit,
//! but seldom of a third.
//!
//! The culprits are recomputed from all kept crashes, in order, whenever a
//! crash is reported or suspects are cleared. A late report can therefore also
//! lift a quarantine. The rules are:
//!
//! 1. A crash with a known culprit among its suspects is explained by it and
//!    does not count against the other suspects.
//! 2. The suspect of a crash with the most unexplained crashes is a culprit if
//!    it has at least two and no other suspect has as many.
//! 3. Several suspects with the same number of crashes are all culprits only
//!    from the third crash on. Before that, another crash or a cleared suspect
//!    usually tells them apart.
//! 4. A suspect that completes on another backend server is cleared of all
//!    earlier crashes.

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
            ServerIncarnation, //
        },
    },
};

/// Maximum number of kept crashes; the oldest is removed first.
const MAX_CRASHES: usize = 128;

/// Maximum number of suspects kept per crash.
const MAX_SUSPECTS: usize = 512;

/// Maximum number of quarantined fingerprints; the oldest is released first.
const MAX_QUARANTINED: usize = 1024;

/// Number of unexplained crashes from which a suspect is a culprit if no other
/// suspect has as many.
const MIN_CRASHES_SINGLE: usize = 2;

/// Number of unexplained crashes from which several suspects with the same
/// number are all culprits.
const MIN_CRASHES_TIED: usize = 3;

/// The kept crashes and the resulting quarantine.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub(super) struct Crashes {
    /// Crashes, oldest first.
    kept: VecDeque<Crash>,
    /// Quarantined fingerprints with the time of the start of the quarantine.
    quarantine: BTreeMap<Digest, Duration>,
}

/// A crash, merged from all reports on one incarnation of a backend server.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
struct Crash {
    at: Duration,
    server: ServerIncarnation,
    suspects: BTreeSet<Digest>,
}

impl Crashes {
    /// Adds a crash report. Each entry reports only the requests that it ran
    /// itself, and may report twice.
    pub(super) fn report(
        &mut self,
        clock: Duration,
        report: &CrashReport,
        quarantine_bystanders: bool,
    ) {
        let crash = self.crash_mut(clock, report.server);
        for suspect in &report.suspects {
            if crash.suspects.len() < MAX_SUSPECTS {
                crash.suspects.insert(*suspect);
            }
        }
        self.update_quarantine(clock, quarantine_bystanders);
    }

    /// Clears suspects of all crashes so far.
    pub(super) fn clear(&mut self, clock: Duration, cleared: &[Digest]) {
        for crash in &mut self.kept {
            for fingerprint in cleared {
                crash.suspects.remove(fingerprint);
            }
        }
        self.update_quarantine(clock, false);
    }

    /// Removes crashes and quarantines whose retention has ended.
    pub(super) fn expire(&mut self, clock: Duration, retention: &Retention) {
        while let Some(crash) = self.kept.front()
            && crash.at + retention.crashes <= clock
        {
            self.kept.pop_front();
        }
        self.quarantine
            .retain(|_, at| *at + retention.quarantine > clock);
    }

    /// Returns the quarantined fingerprints.
    pub(super) fn quarantined(&self) -> Vec<Digest> {
        self.quarantine.keys().copied().collect()
    }

    fn crash_mut(&mut self, clock: Duration, server: ServerIncarnation) -> &mut Crash {
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

    fn update_quarantine(&mut self, clock: Duration, quarantine_bystanders: bool) {
        let culprits = self.culprits(quarantine_bystanders);
        let kept_suspects = self.kept.iter().flat_map(|crash| &crash.suspects);
        let kept_suspects: BTreeSet<_> = kept_suspects.copied().collect();
        // A fingerprint whose crashes have all expired stays quarantined for
        // the full time.
        self.quarantine.retain(|fingerprint, _| {
            culprits.contains(fingerprint) || !kept_suspects.contains(fingerprint)
        });
        for fingerprint in culprits {
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

    /// Determines the culprits by processing the crashes in order.
    fn culprits(&self, quarantine_bystanders: bool) -> BTreeSet<Digest> {
        let mut culprits = BTreeSet::new();
        let mut explained = BTreeSet::new();
        let mut crashes_by_suspect: BTreeMap<Digest, Vec<usize>> = BTreeMap::new();
        for (at, crash) in self.kept.iter().enumerate() {
            if !quarantine_bystanders && !crash.suspects.is_disjoint(&culprits) {
                explained.insert(at);
                continue;
            }
            let mut counts = Vec::new();
            for suspect in &crash.suspects {
                let crashes = crashes_by_suspect.entry(*suspect).or_default();
                crashes.push(at);
                let unexplained = crashes.iter().filter(|at| !explained.contains(*at));
                counts.push((unexplained.count(), *suspect));
            }
            for fingerprint in select_culprits(&counts, quarantine_bystanders) {
                culprits.insert(fingerprint);
                explained.extend(crashes_by_suspect.get(&fingerprint).into_iter().flatten());
            }
        }
        culprits
    }
}

/// Selects the culprits of one crash by the number of unexplained crashes of
/// each suspect.
fn select_culprits(counts: &[(usize, Digest)], quarantine_bystanders: bool) -> Vec<Digest> {
    let max_count = counts.iter().map(|(count, _)| *count).max().unwrap_or(0);
    let threshold = if quarantine_bystanders {
        MIN_CRASHES_SINGLE
    } else {
        max_count.max(MIN_CRASHES_SINGLE)
    };
    let found = counts.iter().filter(|(count, _)| *count >= threshold);
    let found: Vec<Digest> = found.map(|(_, fingerprint)| *fingerprint).collect();
    if quarantine_bystanders || found.len() == 1 || max_count >= MIN_CRASHES_TIED {
        found
    } else {
        Vec::new()
    }
}
