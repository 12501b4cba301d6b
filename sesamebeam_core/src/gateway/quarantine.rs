//! Requests that crash backend servers, as seen by one entry.

use std::collections::HashSet;

use indexmap::IndexSet;

use super::{
    directory::ServerIncarnation,
    messages::Crash, //
};
use crate::ids::Digest;

/// Number of recently completed requests to remember: a few minutes of an entry's
/// traffic, in 100 KB.
const MAX_COMPLETED: usize = 2048;

/// What one entry knows about requests that crash backend servers.
#[derive(Debug, Default)]
pub(super) struct Quarantine {
    /// Requests that the control replicas have quarantined.
    quarantined: HashSet<Digest>,
    /// Crashes to report.
    crashes: Vec<Crash>,
    /// Recently completed requests, oldest first.
    completed: IndexSet<Digest>,
}

impl Quarantine {
    /// Adds requests that the control replicas have quarantined.
    pub(super) fn add(&mut self, fingerprints: impl IntoIterator<Item = Digest>) {
        self.quarantined.extend(fingerprints);
    }

    /// Returns whether a request may be executed.
    pub(super) fn may_run(&self, fingerprint: Digest) -> bool {
        !self.quarantined.contains(&fingerprint) || self.completed.contains(&fingerprint)
    }

    /// Records that a request completed.
    ///
    /// A common request without a body has the same fingerprint every time and is in
    /// flight during many crashes by coincidence. Completed requests are therefore never
    /// blamed.
    pub(super) fn record_completion(&mut self, fingerprint: Digest) {
        if self.completed.len() >= MAX_COMPLETED {
            self.completed.shift_remove_index(0);
        }
        self.completed.insert(fingerprint);
    }

    /// Records that a request was running when a backend server crashed.
    pub(super) fn record_crash(&mut self, fingerprint: Digest, server: ServerIncarnation) {
        if self.completed.contains(&fingerprint) {
            return;
        }
        self.crashes.push(Crash {
            fingerprint,
            server,
        });
    }

    /// Takes the crashes since the last call.
    pub(super) fn take_crashes(&mut self) -> Vec<Crash> {
        std::mem::take(&mut self.crashes)
    }
}
