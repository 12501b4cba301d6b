//! Requests that crash the backend servers that run them.
//!
//! Such a request comes again and again, through any entry, and takes a backend
//! server with it each time. It is known by its path, caller and body. Whatever
//! ran beside it when a backend server went down is counted once as well, so
//! that only several crashes of different backend servers convict.

use std::collections::{
    BTreeSet,
    VecDeque, //
};

use super::{
    directory::ServerIncarnation,
    messages::Crash, //
};
use crate::ids::Digest;

/// Crashes after which a request is not run any more. A request that merely ran
/// beside is there for one, rarely for two, as it goes on elsewhere.
const CONVICTING: usize = 3;

/// Requests that are kept in mind; the oldest are forgotten. An outage of all
/// backend servers reports some thousand.
const MAX_KEPT: usize = 4096;

/// Crashes by the request that was running.
#[derive(Clone, Debug, Default)]
pub struct Crashes {
    kept: VecDeque<(Digest, BTreeSet<ServerIncarnation>)>,
}

impl Crashes {
    /// Counts a crash and returns whether it convicts its request.
    pub fn count(&mut self, crash: Crash) -> bool {
        let found = self.kept.iter_mut().find(|(f, _)| *f == crash.fingerprint);
        if let Some((_, servers)) = found {
            return servers.insert(crash.server) && servers.len() == CONVICTING;
        }
        if self.kept.len() >= MAX_KEPT {
            self.kept.pop_front();
        }
        let servers = BTreeSet::from([crash.server]);
        self.kept.push_back((crash.fingerprint, servers));
        false
    }

    /// Returns the requests that are not to be run any more.
    pub fn quarantined(&self) -> Vec<Digest> {
        let convicted = self.kept.iter().filter(|(_, s)| s.len() >= CONVICTING);
        convicted.map(|(fingerprint, _)| *fingerprint).collect()
    }
}
