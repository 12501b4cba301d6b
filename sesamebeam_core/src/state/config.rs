//! The fleet file, its revisions and the verdicts on changes by operators.

use std::{
    collections::{
        BTreeMap,
        VecDeque, //
    },
    time::Duration,
};

use serde::{
    Deserialize,
    Serialize, //
};
use smol_str::SmolStr;

use super::delta;
use crate::{
    fleet::{
        Fleet,
        VersionState, //
    },
    ids::{
        Digest,
        Revision, //
    },
    message::{
        command::{
            Change,
            Conflict,
            Denial,
            Retention,
            Verdict, //
        },
        control::FleetChange,
    },
};

/// Number of previous files that are kept, from which differences are computed
/// for entries that lag behind. An entry that lags further behind receives the
/// whole file.
const MAX_PREVIOUS_FILES: usize = 8;

/// Maximum number of differences that a conflict lists.
const MAX_DIFFERENCES: usize = 64;

/// Identifier of a change: its base revision and its digest.
type ChangeId = (Revision, Digest);

/// The configuration of the fleet.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub(super) struct Config {
    /// Last accepted revision; 0 if none was accepted yet.
    pub(super) revision: Revision,
    /// Highest revision known to be in force on every entry.
    pub(super) in_force: Revision,
    /// Last accepted file.
    pub(super) fleet: Fleet,
    /// Operator who sent the last accepted file.
    operator: SmolStr,
    /// Previous files, newest last.
    previous: VecDeque<PreviousFile>,
    /// Verdicts by identifier of the change.
    verdicts: BTreeMap<ChangeId, Verdict>,
    /// Time of each verdict with the identifier of the change, oldest first.
    verdict_times: VecDeque<(Duration, ChangeId)>,
}

/// A file that was replaced.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
struct PreviousFile {
    revision: Revision,
    operator: SmolStr,
    fleet: Fleet,
}

impl Config {
    /// Decides on a change. A change that is sent again gets its previous
    /// verdict.
    ///
    /// The reply to an `apply` can be lost, in which case the operator sends
    /// the file again. A second decision would report a conflict of the file
    /// with itself, because its base is no longer the newest revision. Verdicts
    /// are therefore kept by identifier of the change, on every replica and in
    /// snapshots.
    pub(super) fn decide(&mut self, change: &Change, clock: Duration) -> Verdict {
        let id = (change.base, change.digest);
        if let Some(verdict) = self.verdicts.get(&id) {
            return verdict.clone();
        }
        let verdict = if change.base == self.revision {
            self.accept(change)
        } else {
            self.conflict(change)
        };
        self.verdicts.insert(id, verdict.clone());
        self.verdict_times.push_back((clock, id));
        verdict
    }

    /// Returns the verdict on a change, if it is still kept.
    pub(super) fn verdict(&self, change: &Change) -> Option<&Verdict> {
        self.verdicts.get(&(change.base, change.digest))
    }

    /// Removes verdicts whose retention has ended, and the oldest ones above
    /// the maximum number.
    pub(super) fn expire(&mut self, clock: Duration, retention: &Retention) {
        while let Some(&(at, id)) = self.verdict_times.front() {
            let expired = at + retention.verdicts <= clock;
            if !expired && self.verdict_times.len() <= retention.max_verdicts as usize {
                return;
            }
            self.verdict_times.pop_front();
            self.verdicts.remove(&id);
        }
    }

    /// Returns the change that updates an entry from `revision` to the newest
    /// revision.
    pub(super) fn change_from(&self, revision: Revision) -> Option<FleetChange> {
        if revision >= self.revision {
            return None;
        }
        let previous = self
            .previous
            .iter()
            .find(|previous| previous.revision == revision);
        Some(match previous {
            Some(previous) => delta::change(revision, &previous.fleet, &self.fleet),
            None => FleetChange::Whole(Box::new(self.fleet.clone())),
        })
    }

    /// Checks whether an organisation may start new work on a version.
    pub(super) fn check_usable(&self, org: &str, version: &str) -> Result<(), Denial> {
        let org = self.fleet.organisation(org).ok_or(Denial::NotAllowed)?;
        if !org.allow.iter().any(|allowed| allowed == version) {
            return Err(Denial::NotAllowed);
        }
        let (_, version) = self.fleet.version(version).ok_or(Denial::NotAllowed)?;
        match version.state {
            VersionState::Settled | VersionState::Rolling => Ok(()),
            VersionState::Withdrawn => Err(Denial::Withdrawn),
        }
    }

    /// Removes all verdicts.
    pub(super) fn clear_verdicts(&mut self) {
        self.verdicts.clear();
        self.verdict_times.clear();
    }

    fn accept(&mut self, change: &Change) -> Verdict {
        let previous = PreviousFile {
            revision: self.revision,
            operator: std::mem::replace(&mut self.operator, change.operator.clone()),
            fleet: std::mem::replace(&mut self.fleet, (*change.fleet).clone()),
        };
        self.previous.push_back(previous);
        if self.previous.len() > MAX_PREVIOUS_FILES {
            self.previous.pop_front();
        }
        self.revision += 1;
        Verdict::Accepted(self.revision)
    }

    fn conflict(&self, change: &Change) -> Verdict {
        let mut differences = delta::differences(&self.fleet, &change.fleet);
        differences.truncate(MAX_DIFFERENCES);
        Verdict::Conflict(Conflict {
            current: self.revision,
            winner: self.winner_after(change.base),
            differences,
        })
    }

    /// Returns the operator whose change from the base revision was accepted.
    fn winner_after(&self, base: Revision) -> SmolStr {
        if base + 1 >= self.revision {
            return self.operator.clone();
        }
        let winner = self
            .previous
            .iter()
            .find(|previous| previous.revision == base + 1);
        winner.map_or_else(
            || self.operator.clone(),
            |previous| previous.operator.clone(),
        )
    }
}
