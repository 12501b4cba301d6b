//! Detection of requests that crash backend servers.
//!
//! Such a request is retried through any entry and crashes a backend server each time. It
//! is identified by its path, caller and body. All other requests that were running at
//! the same backend server are counted as well, so a request is only quarantined after
//! crashes of several different backend servers.

use std::collections::{
    BTreeSet,
    VecDeque, //
};

use super::{
    directory::ServerIncarnation,
    messages::Crash,
    request::AnswerStage, //
};
use crate::ids::Digest;

/// Number of crashes after which a request is quarantined. An unrelated request that was
/// running at the same time is counted once, rarely twice, as it is retried elsewhere.
const QUARANTINE_THRESHOLD: usize = 3;

/// Maximum number of requests to track; the oldest are dropped. An outage of all backend
/// servers reports a few thousand.
const MAX_TRACKED: usize = 4096;

/// Crashed backend servers by running request.
#[derive(Clone, Debug, Default)]
pub struct CrashTracker {
    tracked: VecDeque<(Digest, BTreeSet<ServerIncarnation>)>,
}

impl CrashTracker {
    /// Counts a crash and returns whether its request is now quarantined.
    ///
    /// A request whose answer was under way doesn't count: nothing tells it from the others that
    /// were, often a hundred, and a quarantine has no end.
    pub fn record(&mut self, crash: &Crash) -> bool {
        if let AnswerStage::UnderWay { .. } = crash.stage {
            return false;
        }
        let found = self
            .tracked
            .iter_mut()
            .find(|(f, _)| *f == crash.fingerprint);
        if let Some((_, servers)) = found {
            return servers.insert(crash.server.clone()) && servers.len() == QUARANTINE_THRESHOLD;
        }
        if self.tracked.len() >= MAX_TRACKED {
            self.tracked.pop_front();
        }
        let servers = BTreeSet::from([crash.server.clone()]);
        self.tracked.push_back((crash.fingerprint, servers));
        false
    }

    /// Returns the quarantined requests.
    pub fn quarantined(&self) -> Vec<Digest> {
        let quarantined = self
            .tracked
            .iter()
            .filter(|(_, s)| s.len() >= QUARANTINE_THRESHOLD);
        quarantined.map(|(fingerprint, _)| *fingerprint).collect()
    }
}
