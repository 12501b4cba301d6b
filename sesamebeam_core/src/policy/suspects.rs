//! Detection of requests that crash backend servers.
//!
//! Requests are identified by a fingerprint of their body, so a request that is
//! resent with a new key or through another entry is recognised. When a backend
//! server crashes, every request in flight on it becomes a suspect. Suspects
//! are isolated from each other, so a second crash has only one suspect in
//! flight and identifies it; other requests in flight are not suspected then. A
//! suspect that completes is cleared. Fingerprints that completed recently are
//! never suspected, because a common request is in flight during many crashes
//! by coincidence.

use std::time::Duration;

use indexmap::{
    IndexMap,
    IndexSet, //
};

use crate::{
    ids::{
        Digest,
        MonoTime, //
    },
    message::record::{
        CrashReport,
        ServerIncarnation, //
    },
};

/// Settings of crash detection.
#[derive(Clone, Debug, PartialEq)]
pub struct SuspectsConfig {
    /// Whether crashes are attributed to requests.
    pub attribute_crashes: bool,
    /// Whether suspects run isolated from each other.
    pub isolate: bool,
    /// Number of crashes after which this entry quarantines a fingerprint. The
    /// control group quarantines it on all entries.
    pub crashes_to_quarantine: u32,
    /// Time after which a suspicion expires.
    pub suspicion_ttl: Duration,
    /// Number of backend servers that must crash within
    /// [`SuspectsConfig::outage_window`] for the crashes to be treated as an
    /// outage, which is not attributed to requests.
    pub outage_crashes: usize,
    /// Time within which crashes are counted as one outage.
    pub outage_window: Duration,
    /// Maximum number of completed fingerprints that are remembered.
    pub max_completed: usize,
    /// Maximum number of suspects.
    pub max_suspects: usize,
}

impl Default for SuspectsConfig {
    fn default() -> Self {
        Self {
            attribute_crashes: true,
            isolate: true,
            crashes_to_quarantine: 2,
            suspicion_ttl: Duration::from_secs(3600),
            outage_crashes: 4,
            outage_window: Duration::from_secs(3),
            max_completed: 16_384,
            max_suspects: 4096,
        }
    }
}

/// Whether a request may run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SuspectStatus {
    /// The request is not suspected.
    Clear,
    /// The request was in flight during a crash and must be isolated from other
    /// suspects.
    Suspect,
    /// The request crashes backend servers and must not run.
    Quarantined,
}

/// Evidence against a suspect.
#[derive(Clone, Debug, Default)]
struct Suspicion {
    crashes: u32,
    last_crash: MonoTime,
    /// Backend servers on which it is currently running.
    running: Vec<ServerIncarnation>,
}

/// Tracks the fingerprints of requests that were in flight during crashes.
#[derive(Clone, Debug)]
pub struct Suspects {
    cfg: SuspectsConfig,
    suspects: IndexMap<Digest, Suspicion>,
    /// Fingerprints quarantined by the control group.
    fleet_quarantine: IndexSet<Digest>,
    /// Fingerprints quarantined by this entry, before the control group does
    /// so.
    local_quarantine: IndexSet<Digest>,
    completed: IndexSet<Digest>,
    completed_cursor: usize,
    recent_crashes: Vec<(MonoTime, Vec<Digest>)>,
}

impl Suspects {
    /// Creates a tracker without suspects.
    pub fn new(cfg: SuspectsConfig) -> Self {
        Self {
            cfg,
            suspects: IndexMap::new(),
            fleet_quarantine: IndexSet::new(),
            local_quarantine: IndexSet::new(),
            completed: IndexSet::new(),
            completed_cursor: 0,
            recent_crashes: Vec::new(),
        }
    }

    /// Replaces the quarantine of the control group.
    pub fn quarantine(&mut self, fingerprints: impl IntoIterator<Item = Digest>) {
        self.fleet_quarantine = fingerprints.into_iter().collect();
    }

    /// Adds suspects reported by another entry of the failure domain.
    pub fn add_suspects(&mut self, now: MonoTime, fingerprints: impl IntoIterator<Item = Digest>) {
        for fingerprint in fingerprints {
            if !self.completed.contains(&fingerprint) {
                self.add_suspicion(now, fingerprint, 1);
            }
        }
    }

    /// Returns whether a request may run.
    pub fn status(&self, fingerprint: Digest) -> SuspectStatus {
        if self.fleet_quarantine.contains(&fingerprint)
            || self.local_quarantine.contains(&fingerprint)
        {
            SuspectStatus::Quarantined
        } else if self.suspects.contains_key(&fingerprint) {
            SuspectStatus::Suspect
        } else {
            SuspectStatus::Clear
        }
    }

    /// Returns the backend servers on which a suspect must not run now because
    /// another suspect is running there.
    pub fn occupied_servers(&self, fingerprint: Digest) -> Vec<ServerIncarnation> {
        if !self.cfg.isolate || !self.suspects.contains_key(&fingerprint) {
            return Vec::new();
        }
        let others = self
            .suspects
            .iter()
            .filter(|(other, _)| **other != fingerprint);
        others
            .flat_map(|(_, s)| s.running.iter().copied())
            .collect()
    }

    /// Records that a request was sent.
    pub fn started(&mut self, fingerprint: Digest, server: ServerIncarnation) {
        if let Some(suspicion) = self.suspects.get_mut(&fingerprint) {
            suspicion.running.push(server);
        }
    }

    /// Records that a request ended without a crash of its backend server. A
    /// complete answer clears the request.
    pub fn finished(&mut self, fingerprint: Digest, server: ServerIncarnation, whole: bool) {
        if whole {
            self.suspects.swap_remove(&fingerprint);
            self.local_quarantine.swap_remove(&fingerprint);
            self.record_completed(fingerprint);
            return;
        }
        if let Some(suspicion) = self.suspects.get_mut(&fingerprint)
            && let Some(at) = suspicion.running.iter().position(|s| *s == server)
        {
            suspicion.running.swap_remove(at);
        }
    }

    /// Records a crash of a backend server with the requests in flight on it.
    /// Returns the report for the control group if any request is suspected.
    ///
    /// Only confirmed crashes may be passed (a new incarnation, a refused
    /// connection), because silence may be caused by a network partition.
    pub fn record_crash(
        &mut self,
        now: MonoTime,
        server: ServerIncarnation,
        in_flight: &[Digest],
    ) -> Option<CrashReport> {
        if !self.cfg.attribute_crashes {
            return None;
        }
        for suspicion in self.suspects.values_mut() {
            suspicion.running.retain(|s| *s != server);
        }
        if self.is_outage(now) {
            return None;
        }
        let suspected = self.attribute(in_flight);
        for fingerprint in &suspected {
            self.add_suspicion(now, *fingerprint, 1);
            let crashes = self.suspects[fingerprint].crashes;
            if suspected.len() == 1 && crashes >= self.cfg.crashes_to_quarantine {
                self.local_quarantine.insert(*fingerprint);
            }
        }
        self.recent_crashes.push((now, suspected.clone()));
        if suspected.is_empty() {
            return None;
        }
        Some(CrashReport {
            server,
            suspects: suspected,
        })
    }

    /// Removes expired suspicions.
    pub fn tick(&mut self, now: MonoTime) {
        let suspicion_ttl = self.cfg.suspicion_ttl;
        self.suspects.retain(|_, s| {
            !s.running.is_empty() || now.saturating_sub(s.last_crash) < suspicion_ttl
        });
        let suspects = &self.suspects;
        self.local_quarantine
            .retain(|fingerprint| suspects.contains_key(fingerprint));
    }

    /// Returns the suspects, to be shared with the other entries of the failure
    /// domain.
    pub fn suspected(&self) -> Vec<Digest> {
        self.suspects.keys().copied().collect()
    }

    /// Selects the requests that a crash is attributed to: those already
    /// suspected, or else all that have not completed recently.
    fn attribute(&self, in_flight: &[Digest]) -> Vec<Digest> {
        let mut known: Vec<Digest> = in_flight
            .iter()
            .copied()
            .filter(|fingerprint| self.suspects.contains_key(fingerprint))
            .collect();
        if known.is_empty() {
            known = in_flight
                .iter()
                .copied()
                .filter(|fingerprint| !self.completed.contains(fingerprint))
                .collect();
        }
        known.sort_unstable();
        known.dedup();
        known
    }

    fn add_suspicion(&mut self, now: MonoTime, fingerprint: Digest, crashes: u32) {
        if self.suspects.len() >= self.cfg.max_suspects && !self.suspects.contains_key(&fingerprint)
        {
            self.suspects.shift_remove_index(0);
        }
        let suspicion = self.suspects.entry(fingerprint).or_default();
        suspicion.crashes = suspicion.crashes.saturating_add(crashes);
        suspicion.last_crash = now;
    }

    /// Returns whether so many backend servers crashed together that no single
    /// request explains it. In that case, suspicions from the recent crashes
    /// are discarded.
    fn is_outage(&mut self, now: MonoTime) -> bool {
        let outage_window = self.cfg.outage_window;
        self.recent_crashes
            .retain(|(at, _)| now.saturating_sub(*at) <= outage_window);
        if self.recent_crashes.len() + 1 < self.cfg.outage_crashes {
            return false;
        }
        for (_, suspected) in std::mem::take(&mut self.recent_crashes) {
            for fingerprint in suspected {
                self.suspects.swap_remove(&fingerprint);
                self.local_quarantine.swap_remove(&fingerprint);
            }
        }
        // Crashes that follow in the same outage are recognised by these
        // entries.
        self.recent_crashes = vec![(now, Vec::new()); self.cfg.outage_crashes];
        true
    }

    fn record_completed(&mut self, fingerprint: Digest) {
        if self.completed.contains(&fingerprint) {
            return;
        }
        if self.completed.len() >= self.cfg.max_completed {
            self.completed_cursor = (self.completed_cursor + 1) % self.completed.len();
            self.completed.swap_remove_index(self.completed_cursor);
        }
        self.completed.insert(fingerprint);
    }
}
