//! Requests that crash what runs them, as one entry sees it.

use std::collections::HashSet;

use indexmap::IndexSet;

use super::{
    directory::ServerIncarnation,
    messages::Crash, //
};
use crate::ids::Digest;

/// Requests that completed of late and are kept in mind: some minutes of an
/// entry's traffic, in 100 KB.
const MAX_COMPLETED: usize = 2048;

/// What one entry knows of requests that crash backend servers.
#[derive(Debug, Default)]
pub(super) struct Suspects {
    /// Those that the control replicas have found.
    quarantined: HashSet<Digest>,
    /// Crashes that are to be reported.
    crashes: Vec<Crash>,
    /// Requests that completed of late, the oldest first.
    completed: IndexSet<Digest>,
}

impl Suspects {
    /// Takes those that the control replicas have found.
    pub(super) fn quarantine(&mut self, fingerprints: impl IntoIterator<Item = Digest>) {
        self.quarantined.extend(fingerprints);
    }

    /// Returns whether a request may run.
    pub(super) fn may_run(&self, fingerprint: Digest) -> bool {
        !self.quarantined.contains(&fingerprint) || self.completed.contains(&fingerprint)
    }

    /// Notes that a request ran to its end.
    ///
    /// A common question without a body has the same fingerprint each time, and
    /// is on board of many crashes by chance; it is never blamed.
    pub(super) fn completed(&mut self, fingerprint: Digest) {
        if self.completed.len() >= MAX_COMPLETED {
            self.completed.shift_remove_index(0);
        }
        self.completed.insert(fingerprint);
    }

    /// Notes that a request was running when a backend server went down.
    pub(super) fn crashed(&mut self, fingerprint: Digest, server: ServerIncarnation) {
        if self.completed.contains(&fingerprint) {
            return;
        }
        self.crashes.push(Crash {
            fingerprint,
            server,
        });
    }

    /// Takes the crashes noted since the last call.
    pub(super) fn take_crashes(&mut self) -> Vec<Crash> {
        std::mem::take(&mut self.crashes)
    }
}
