//! Requests that crash backend servers, told from those that were only beside.
//!
//! A request is known by the fingerprint of its body, so that a resend with a
//! new key or through another entry is the same suspect. When a backend server
//! dies, every request on it is suspected. A suspect runs again only where no
//! other suspect runs, so a second crash has one suspect on board and singles
//! it out; the others on board are not suspected then. A suspect that completes
//! is cleared, and so is any fingerprint that completed lately: a common
//! question is on board of many crashes by chance.

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
        ServerLife, //
    },
};

/// Settings of suspicion.
#[derive(Clone, Debug, PartialEq)]
pub struct SuspectsConfig {
    /// Whether crashes are traced to requests.
    pub trace: bool,
    /// Whether a suspect is kept away from other suspects.
    pub isolate: bool,
    /// Crashes after which a fingerprint is quarantined here; the control group
    /// quarantines it everywhere.
    pub crashes: u32,
    /// Time after which a suspicion is forgotten.
    pub forget: Duration,
    /// Backend servers that die within [`SuspectsConfig::together`] before it
    /// counts as an outage, of which no request is suspected.
    pub outage: usize,
    /// Time within which deaths count as together.
    pub together: Duration,
    /// Fingerprints of completed requests that are remembered.
    pub completed: usize,
    /// Suspects that are remembered.
    pub remembered: usize,
}

impl Default for SuspectsConfig {
    fn default() -> Self {
        Self {
            trace: true,
            isolate: true,
            crashes: 2,
            forget: Duration::from_secs(3600),
            outage: 4,
            together: Duration::from_secs(3),
            completed: 16_384,
            remembered: 4096,
        }
    }
}

/// How a request stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Standing {
    /// Nothing speaks against it.
    Clear,
    /// It was on board of a crash: it runs only where no other suspect does.
    Suspect,
    /// It crashes backend servers and is not run.
    Quarantined,
}

/// What is known of a suspect.
#[derive(Clone, Debug, Default)]
struct Suspicion {
    crashes: u32,
    since: MonoTime,
    /// Backend servers on which it runs now.
    running: Vec<ServerLife>,
}

/// Fingerprints on board of crashes.
#[derive(Clone, Debug)]
pub struct Suspects {
    cfg: SuspectsConfig,
    suspects: IndexMap<Digest, Suspicion>,
    /// Quarantined by the control group.
    fleet: IndexSet<Digest>,
    /// Quarantined here before the control group knows.
    local: IndexSet<Digest>,
    completed: IndexSet<Digest>,
    completed_cursor: usize,
    deaths: Vec<(MonoTime, Vec<Digest>)>,
}

impl Suspects {
    /// Starts without suspicion.
    pub fn new(cfg: SuspectsConfig) -> Self {
        Self {
            cfg,
            suspects: IndexMap::new(),
            fleet: IndexSet::new(),
            local: IndexSet::new(),
            completed: IndexSet::new(),
            completed_cursor: 0,
            deaths: Vec::new(),
        }
    }

    /// Takes the control group's quarantine.
    pub fn quarantine(&mut self, fingerprints: impl IntoIterator<Item = Digest>) {
        self.fleet = fingerprints.into_iter().collect();
    }

    /// Takes suspects of another entry of the failure domain.
    pub fn alarm(&mut self, now: MonoTime, fingerprints: impl IntoIterator<Item = Digest>) {
        for fingerprint in fingerprints {
            if !self.completed.contains(&fingerprint) {
                self.suspect(now, fingerprint, 1);
            }
        }
    }

    /// Tells how a request stands.
    pub fn standing(&self, fingerprint: Digest) -> Standing {
        if self.fleet.contains(&fingerprint) || self.local.contains(&fingerprint) {
            Standing::Quarantined
        } else if self.suspects.contains_key(&fingerprint) {
            Standing::Suspect
        } else {
            Standing::Clear
        }
    }

    /// Lists the backend servers on which a suspect may not run now, because
    /// another suspect does.
    pub fn occupied(&self, fingerprint: Digest) -> Vec<ServerLife> {
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

    /// Counts a request that was sent.
    pub fn started(&mut self, fingerprint: Digest, server: ServerLife) {
        if let Some(suspicion) = self.suspects.get_mut(&fingerprint) {
            suspicion.running.push(server);
        }
    }

    /// Counts a request that ended while its backend server lived. Whole
    /// answers clear the request.
    pub fn finished(&mut self, fingerprint: Digest, server: ServerLife, whole: bool) {
        if whole {
            self.suspects.swap_remove(&fingerprint);
            self.local.swap_remove(&fingerprint);
            self.remember(fingerprint);
            return;
        }
        if let Some(suspicion) = self.suspects.get_mut(&fingerprint)
            && let Some(at) = suspicion.running.iter().position(|s| *s == server)
        {
            suspicion.running.swap_remove(at);
        }
    }

    /// Takes the death of a backend server with the requests on board, and
    /// gives the report for the control group if any is suspected.
    ///
    /// Only a proved death counts (a new incarnation, a refused connection):
    /// silence may be a cut.
    pub fn died(
        &mut self,
        now: MonoTime,
        server: ServerLife,
        on_board: &[Digest],
    ) -> Option<CrashReport> {
        if !self.cfg.trace {
            return None;
        }
        for suspicion in self.suspects.values_mut() {
            suspicion.running.retain(|s| *s != server);
        }
        if self.is_outage(now) {
            return None;
        }
        let blamed = self.blame(on_board);
        for fingerprint in &blamed {
            self.suspect(now, *fingerprint, 1);
            let crashes = self.suspects[fingerprint].crashes;
            if blamed.len() == 1 && crashes >= self.cfg.crashes {
                self.local.insert(*fingerprint);
            }
        }
        self.deaths.push((now, blamed.clone()));
        if blamed.is_empty() {
            return None;
        }
        Some(CrashReport {
            server,
            suspects: blamed,
        })
    }

    /// Forgets old suspicions.
    pub fn tick(&mut self, now: MonoTime) {
        let forget = self.cfg.forget;
        self.suspects
            .retain(|_, s| !s.running.is_empty() || now.saturating_sub(s.since) < forget);
        let suspects = &self.suspects;
        self.local
            .retain(|fingerprint| suspects.contains_key(fingerprint));
    }

    /// Lists the suspects, for the other entries of the failure domain.
    pub fn suspected(&self) -> Vec<Digest> {
        self.suspects.keys().copied().collect()
    }

    /// Chooses whom a crash is blamed on: known suspects if any were on board,
    /// else all that did not complete lately.
    fn blame(&self, on_board: &[Digest]) -> Vec<Digest> {
        let mut known: Vec<Digest> = on_board
            .iter()
            .copied()
            .filter(|fingerprint| self.suspects.contains_key(fingerprint))
            .collect();
        if known.is_empty() {
            known = on_board
                .iter()
                .copied()
                .filter(|fingerprint| !self.completed.contains(fingerprint))
                .collect();
        }
        known.sort_unstable();
        known.dedup();
        known
    }

    fn suspect(&mut self, now: MonoTime, fingerprint: Digest, crashes: u32) {
        if self.suspects.len() >= self.cfg.remembered && !self.suspects.contains_key(&fingerprint) {
            self.suspects.shift_remove_index(0);
        }
        let suspicion = self.suspects.entry(fingerprint).or_default();
        suspicion.crashes = suspicion.crashes.saturating_add(crashes);
        suspicion.since = now;
    }

    /// Tells whether so many backend servers died together that no single
    /// request explains it; what was blamed on requests meanwhile is dropped.
    fn is_outage(&mut self, now: MonoTime) -> bool {
        let together = self.cfg.together;
        self.deaths
            .retain(|(at, _)| now.saturating_sub(*at) <= together);
        if self.deaths.len() + 1 < self.cfg.outage {
            return false;
        }
        for (_, blamed) in std::mem::take(&mut self.deaths) {
            for fingerprint in blamed {
                self.suspects.swap_remove(&fingerprint);
                self.local.swap_remove(&fingerprint);
            }
        }
        // The rest of the outage is recognised by what is kept here.
        self.deaths = vec![(now, Vec::new()); self.cfg.outage];
        true
    }

    fn remember(&mut self, fingerprint: Digest) {
        if self.completed.contains(&fingerprint) {
            return;
        }
        if self.completed.len() >= self.cfg.completed {
            self.completed_cursor = (self.completed_cursor + 1) % self.completed.len();
            self.completed.swap_remove_index(self.completed_cursor);
        }
        self.completed.insert(fingerprint);
    }
}
