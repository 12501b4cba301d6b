//! State exchanged with the control replicas: what this entry reports, and what it learns
//! about other entries.

use super::Router;
use crate::{
    gateway::{
        directory::ServerId,
        isolation::Reach,
        limits::LimitOf,
        loads::ServerLoad,
        messages::{
            Evidence,
            Report,
            SyncState,
            UnreachableServer, //
        },
        outliers::Doubt,
        rollout::Phase,
        shortage::ShareOf,
        subscription::LocalSummary,
        waits::MeanWait,
    },
    ids::MonoTime,
};

impl Router {
    /// Returns the versions and digests of the control state that this entry has.
    pub fn sync_state(&mut self) -> SyncState {
        SyncState {
            config: self.version(),
            servers: self.directory.digests().clone(),
            entries: self.budget.entries(),
        }
    }

    /// Returns a summary of the control state that this entry has.
    pub fn local_summary(&mut self) -> LocalSummary {
        LocalSummary {
            config: self.version(),
            index: self.log_index,
            servers: self.directory.digests().combined(),
        }
    }

    /// Applies loads and waiting times measured by all entries.
    pub fn apply_loads(&mut self, now: MonoTime, loads: Vec<ServerLoad>, waits: Vec<MeanWait>) {
        self.cascade.set_fleet_means(now, waits);
        for load in loads {
            for known in self.directory.with_key(load.server) {
                let announcement = &known.announcement;
                self.balancer.apply_load(now, &announcement.id, load);
                if self.runs_models(&announcement.service) {
                    self.engines
                        .apply_load(now, &announcement.service, &announcement.id, &load);
                }
            }
        }
    }

    /// Applies rate limits received by other entries, including limits that ended.
    /// Returns the backend servers whose limit changed.
    pub fn apply_limits(&mut self, now: MonoTime, limits: &[LimitOf]) -> Vec<ServerId> {
        let mut changed = Vec::new();
        for LimitOf { server, limit } in limits {
            for id in self.directory.with_key(*server).map(|k| &k.announcement.id) {
                if self.limits.apply(now, id, *limit) {
                    changed.push(id.clone());
                }
            }
        }
        changed
    }

    /// Sets the admitted shares of services that are short of capacity.
    pub fn set_shares(&mut self, now: MonoTime, shares: impl IntoIterator<Item = ShareOf>) {
        self.admission.set_shares(now, shares);
    }

    /// Sets the backend servers whose failure rate is above that of their service.
    pub fn set_doubts(&mut self, doubts: impl IntoIterator<Item = Doubt>) {
        self.balancer.set_doubts(doubts);
    }

    /// Applies reports of other entries in this failure domain about unreachable backend
    /// servers.
    pub fn apply_unreachable(&mut self, now: MonoTime, reports: &[UnreachableServer]) {
        for unreached in reports.iter().filter(|u| u.from == self.cfg.domain) {
            for announcement in self
                .directory
                .with_key(unreached.server)
                .map(|k| &k.announcement)
            {
                self.balancer.apply_unreachable(
                    now,
                    &announcement.id,
                    &announcement.domain,
                    unreached.is_down,
                );
            }
        }
    }

    /// Returns whether there are unreported failures, unreachable backend servers, or news of
    /// requests that crash them.
    pub fn has_failures(&self) -> bool {
        self.balancer.has_failures() || self.quarantine.has_urgent()
    }

    /// Takes all observations since the last call for the next report.
    pub fn take_report(&mut self, now: MonoTime) -> Report {
        Report {
            evidence: self.take_evidence(),
            loads: self.balancer.take_loads(now).unwrap_or_default(),
            limits: self.limits.take_unreported(),
            outcomes: self.balancer.take_outcomes(),
            unreachable: self.take_unreached(),
            waits: self.cascade.take_unreported(),
            work: self.admission.take_unreported(),
            crashes: self.quarantine.take_crashes(now),
            part_answers: self.quarantine.take_answers(now),
            part_refusals: self.quarantine.take_refusals(),
            fatal_parts: Vec::new(),
            retained_sessions: self.sessions.take_unreported(),
            rollout_ages: Vec::new(),
        }
    }

    /// Takes the unreachable backend servers whose service this entry is known to reach.
    ///
    /// An entry that reaches nobody says nothing about backend servers: the other entries of
    /// its failure domain would avoid all of them. What it cannot tell yet waits.
    fn take_unreached(&mut self) -> Vec<UnreachableServer> {
        let mut unreachable = Vec::new();
        for (server, is_down) in self.balancer.take_unreached() {
            let known = self.directory.with_key(server).next();
            match known.map(|k| self.isolation.reach(&k.announcement.service)) {
                Some(Reach::Unknown) => self.balancer.restore_unreached(server, is_down),
                Some(Reach::None) => {}
                Some(Reach::Some) | None => unreachable.push(UnreachableServer {
                    from: self.cfg.domain.clone(),
                    server,
                    is_down,
                }),
            }
        }
        unreachable
    }

    /// Takes the answer counts of services whose rollout can still be rolled back.
    /// Counts of other services are not evaluated.
    fn take_evidence(&mut self) -> Vec<Evidence> {
        let mut evidence = self.response_counts.take();
        evidence.retain(|counts| self.is_watched(&counts.service));
        evidence
    }

    fn is_watched(&self, service: &str) -> bool {
        let rollout = self.orders.rollouts.get(service);
        rollout.is_some_and(|r| matches!(r.phase, Phase::Canary | Phase::Promoted))
    }
}
