//! What an entry holds and has seen, and what it is told of what others have.

use super::Router;
use crate::{
    gateway::{
        directory::ServerId,
        limits::LimitOf,
        loads::LoadOf,
        messages::{
            Evidence,
            Report,
            SyncState,
            UnreachableServer, //
        },
        pool::Doubt,
        rollout::Phase,
        shortage::ShareOf,
        subscription::Holding,
        waits::MeanWait,
    },
    ids::MonoTime,
};

impl Router {
    /// Returns what this entry holds of what control replicas tell.
    pub fn held(&mut self) -> SyncState {
        SyncState {
            config: self.version(),
            servers: self.directory.digests().clone(),
            entries: self.budget.entries(),
        }
    }

    /// Returns the same in brief.
    pub fn holding(&mut self) -> Holding {
        Holding {
            config: self.version(),
            index: self.index,
            servers: self.directory.digests().combined(),
        }
    }

    /// Notes loads and waits that any entry has heard.
    pub fn told_loads(&mut self, now: MonoTime, told: Vec<LoadOf>, waits: Vec<MeanWait>) {
        self.cascade.told(now, waits);
        for load in told {
            for known in self.directory.with_key(load.server) {
                self.balance.told(now, &known.announcement.id, load);
            }
        }
    }

    /// Takes limits of backend servers that any entry has heard, and those that have ended,
    /// and returns the names of those that are news.
    pub fn told_limits(&mut self, now: MonoTime, told: &[LimitOf]) -> Vec<ServerId> {
        let mut news = Vec::new();
        for LimitOf { server, limit } in told {
            for id in self.directory.with_key(*server).map(|k| &k.announcement.id) {
                if self.limits.told(now, id, *limit) {
                    news.push(id.clone());
                }
            }
        }
        news
    }

    /// Takes the shares of requests that are admitted to services that are short.
    pub fn set_shares(&mut self, now: MonoTime, shares: impl IntoIterator<Item = ShareOf>) {
        self.admission.told(now, shares);
    }

    /// Takes the backend servers that fail more often than their service.
    pub fn set_doubts(&mut self, doubts: impl IntoIterator<Item = Doubt>) {
        self.balance.set_doubts(doubts);
    }

    /// Notes backend servers that other entries could not reach just now.
    pub fn told_unreached(&mut self, now: MonoTime, told: &[UnreachableServer]) {
        for unreached in told.iter().filter(|u| u.from == self.cfg.domain) {
            for said in self
                .directory
                .with_key(unreached.server)
                .map(|k| &k.announcement)
            {
                self.balance
                    .told_unreached(now, &said.id, &said.domain, unreached.is_down);
            }
        }
    }

    /// Returns whether a failure was seen that is not reported yet, or a backend
    /// server that could not be reached.
    pub fn has_failures(&self) -> bool {
        self.balance.has_failures()
    }

    /// Takes what has been seen since the last call and others should know.
    pub fn take_report(&mut self, now: MonoTime) -> Report {
        Report {
            evidence: self.take_evidence(),
            loads: self.balance.take_heard(now).unwrap_or_default(),
            limits: self.limits.take_fresh(),
            outcomes: self.balance.take_outcomes(),
            unreachable: self.take_unreached(),
            waits: self.cascade.take_fresh(),
            work: self.admission.take_fresh(),
            crashes: self.suspects.take_crashes(),
            retained_sessions: self.sessions.take_fresh(),
            rollout_ages: Vec::new(),
        }
    }

    /// Takes the backend servers that could not be reached.
    fn take_unreached(&mut self) -> Vec<UnreachableServer> {
        let from = &self.cfg.domain;
        let unreached = |(server, is_down)| UnreachableServer {
            from: from.clone(),
            server,
            is_down,
        };
        let servers = self.balance.take_unreached();
        servers.into_iter().map(unreached).collect()
    }

    /// Takes the answers of services with a roll-out that may still be stopped.
    /// Of others nobody judges by them.
    fn take_evidence(&mut self) -> Vec<Evidence> {
        let mut evidence = self.tallies.take();
        evidence.retain(|counts| self.is_watched(&counts.service));
        evidence
    }

    fn is_watched(&self, service: &str) -> bool {
        let rollout = self.orders.rollouts.get(service);
        rollout.is_some_and(|r| matches!(r.phase, Phase::Canary | Phase::Promoted))
    }
}
