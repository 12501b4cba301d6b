//! The fleet file, its revisions and the verdicts on operators' changes.

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

/// Files kept besides the one in force, for differences to entries that lag. An
/// entry that lags further gets the whole file.
const PAST_FILES: usize = 8;

/// Most differences that a conflict names.
const MAX_DIFFERENCES: usize = 64;

/// Id of a change: the revision that it was made from, and its digest.
type ChangeId = (Revision, Digest);

/// The configuration of the fleet.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub(super) struct Config {
    /// Revision accepted last; 0 before the first.
    pub(super) revision: Revision,
    /// Highest revision found to be in force at every entry.
    pub(super) in_force: Revision,
    /// The file accepted last.
    pub(super) fleet: Fleet,
    /// Who sent the file accepted last.
    operator: SmolStr,
    /// Files before it, the newest last.
    past: VecDeque<Past>,
    /// Verdicts by id of the change.
    verdicts: BTreeMap<ChangeId, Verdict>,
    /// Ids in the order of their verdicts, with the time of each.
    judged: VecDeque<(Duration, ChangeId)>,
}

/// A file that was replaced.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
struct Past {
    revision: Revision,
    operator: SmolStr,
    fleet: Fleet,
}

impl Config {
    /// Judges a change. A change that was judged before gets that verdict.
    ///
    /// The answer to an `apply` can be lost, and its sender then sends the file
    /// again. Judged anew, it would lose against itself: its base is no longer
    /// the revision in force, so the sender would read of a conflict although
    /// its own file is in force. The verdict under the id of the change tells
    /// the same again, on every replica and after a snapshot.
    pub(super) fn judge(&mut self, change: &Change, clock: Duration) -> Verdict {
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
        self.judged.push_back((clock, id));
        verdict
    }

    /// Finds the verdict that a change was given.
    pub(super) fn verdict(&self, change: &Change) -> Option<&Verdict> {
        self.verdicts.get(&(change.base, change.digest))
    }

    /// Drops verdicts over their time, and the oldest over their number.
    pub(super) fn expire(&mut self, clock: Duration, retention: &Retention) {
        while let Some(&(at, id)) = self.judged.front() {
            let old = at + retention.verdicts <= clock;
            if !old && self.judged.len() <= retention.max_verdicts as usize {
                return;
            }
            self.judged.pop_front();
            self.verdicts.remove(&id);
        }
    }

    /// Computes what an entry at a revision needs to have the newest file.
    pub(super) fn change_from(&self, revision: Revision) -> Option<FleetChange> {
        if revision >= self.revision {
            return None;
        }
        let past = self.past.iter().find(|past| past.revision == revision);
        Some(match past {
            Some(past) => delta::change(revision, &past.fleet, &self.fleet),
            None => FleetChange::Whole(Box::new(self.fleet.clone())),
        })
    }

    /// Tells whether an organisation may start new work on a version.
    pub(super) fn usable(&self, org: &str, version: &str) -> Result<(), Denial> {
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

    /// Forgets every verdict.
    pub(super) fn forget_verdicts(&mut self) {
        self.verdicts.clear();
        self.judged.clear();
    }

    fn accept(&mut self, change: &Change) -> Verdict {
        let past = Past {
            revision: self.revision,
            operator: std::mem::replace(&mut self.operator, change.operator.clone()),
            fleet: std::mem::replace(&mut self.fleet, (*change.fleet).clone()),
        };
        self.past.push_back(past);
        if self.past.len() > PAST_FILES {
            self.past.pop_front();
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

    /// Names who sent the change that was accepted over a base.
    fn winner_after(&self, base: Revision) -> SmolStr {
        if base + 1 >= self.revision {
            return self.operator.clone();
        }
        let winner = self.past.iter().find(|past| past.revision == base + 1);
        winner.map_or_else(|| self.operator.clone(), |past| past.operator.clone())
    }
}
