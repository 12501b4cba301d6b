//! Services none of whose backend servers this entry reaches, and the entries that serve
//! requests to them instead.

use std::net::SocketAddr;

use super::{
    Plan,
    Router, //
};
use crate::{
    gateway::{
        balance::Outcome,
        config::ServiceId,
        directory::{
            ServerId,
            ServerRecord,
            Window, //
        },
        forwarding::ForwardingOffer,
    },
    ids::{
        MonoTime,
        ProcessAddr, //
    },
    policy::hash,
};

/// Number of entries that probe a leased service within the usual interval.
const MAX_PROBING_ENTRIES: u32 = 16;

/// Mean number of entries that probe a backend server when it starts.
const STARTUP_PROBES: f64 = 4.0;

/// A backend server to which a connection is opened to find out whether it is reachable.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Probe {
    /// Its service.
    pub service: ServiceId,
    /// Its identifier.
    pub id: ServerId,
    /// Its address.
    pub addr: SocketAddr,
}

impl Router {
    /// Returns the services none of whose backend servers this entry reaches, by name.
    pub fn isolated_services(&self) -> Vec<ServiceId> {
        let mut services: Vec<ServiceId> = self.isolation.services().cloned().collect();
        services.sort();
        services
    }

    /// Returns whether this entry reaches no backend server of a service.
    pub fn is_isolated(&self, service: &str) -> bool {
        self.isolation.contains(service)
    }

    /// Returns the backend servers to be probed now. `random` returns a number below its
    /// argument.
    pub fn take_due_probes(
        &mut self,
        now: MonoTime,
        mut random: impl FnMut(usize) -> usize,
    ) -> Vec<Probe> {
        let mut probes = Vec::new();
        // A new connection may take a slot for a moment, which leased backend servers may not
        // have.
        let entries = self.budget.entries();
        let leases = &self.leases;
        let interval_factor = |service: &str| match leases.is_leased(service) {
            true => entries.div_ceil(MAX_PROBING_ENTRIES).max(1),
            false => 1,
        };
        for (service, count) in self.isolation.take_due_probes(now, interval_factor) {
            let mut servers: Vec<&ServerRecord> = self.open_servers(&service).collect();
            for _ in 0..count.min(servers.len()) {
                let server = servers.swap_remove(random(servers.len()));
                probes.push(Probe {
                    service: service.clone(),
                    id: server.announcement.id.clone(),
                    addr: server.announcement.addr,
                });
            }
        }
        probes
    }

    /// Has a backend server that has started probed by some of the entries that do not reach
    /// its service.
    pub(super) fn record_started(&mut self, id: &ServerId, service: &ServiceId) {
        let place = hash::unit(id.as_bytes(), &self.cfg.name);
        if place * f64::from(self.budget.entries()) < STARTUP_PROBES {
            self.isolation.record_started(service);
        }
    }

    /// Records the result of a probe.
    pub fn record_probe(&mut self, now: MonoTime, probe: &Probe, is_reachable: bool) {
        if is_reachable {
            self.record_reached(now, &probe.service);
        } else {
            self.record_unreached(&probe.service, &probe.id);
        }
    }

    /// Records a response from a service.
    ///
    /// When it ends an isolation, no backend server is paused any longer: their pauses say
    /// nothing about them, and the first one that responds would get all requests.
    pub(super) fn record_reached(&mut self, now: MonoTime, service: &ServiceId) {
        if self.isolation.record_response(now, service) {
            let groups = self.directory.groups(service);
            let servers = groups.flat_map(|g| self.directory.members(&g, Window::ALL));
            self.balancer.end_pauses(servers);
        }
    }

    /// Records that a backend server of a service could not be reached.
    pub(super) fn record_unreached(&mut self, service: &ServiceId, id: &ServerId) {
        let known = self.directory.groups(service).map(|g| g.count()).sum();
        self.isolation.record_unreachable(service, id, known);
    }

    /// Updates the isolation of a service after a send.
    pub(super) fn record_reachability(
        &mut self,
        service: &ServiceId,
        id: &ServerId,
        outcome: Outcome,
    ) {
        match outcome {
            Outcome::Unreachable | Outcome::Down | Outcome::Silent => {
                self.record_unreached(service, id);
            }
            Outcome::Good | Outcome::Failed | Outcome::Refused | Outcome::Dropped => {}
        }
    }

    /// Sets the offers of other entries to serve requests.
    pub fn set_offers(&mut self, offers: Vec<ForwardingOffer>) {
        self.peers.set_offers(offers);
    }

    /// Returns the number of other entries that offer to serve requests to a service.
    pub fn offer_count(&self, service: &str) -> usize {
        self.peers.count(service)
    }

    /// Chooses the entry that serves a request instead of this one.
    pub fn choose_peer(
        &mut self,
        now: MonoTime,
        plan: &Plan,
        tried: &[ProcessAddr],
    ) -> Option<ForwardingOffer> {
        let seed = plan.seed.to_le_bytes();
        let affinity = plan.session.as_ref().map_or(&seed[..], |s| s.as_bytes());
        let holders = self.leases.holders(&plan.service);
        self.peers
            .choose(now, &plan.service, holders, affinity, tried)
    }

    /// Records that a forwarded request ended.
    pub fn record_forwarded_end(&mut self, peer: ProcessAddr) {
        self.peers.record_end(peer);
    }

    /// Records that another entry could not be reached, or declined a request to any service.
    pub fn record_peer_unavailable(&mut self, now: MonoTime, peer: ProcessAddr) {
        self.peers.record_unreachable(now, peer);
    }

    /// Records that another entry reaches no backend server of a plan's service either.
    pub fn record_peer_isolated(&mut self, now: MonoTime, peer: ProcessAddr, plan: &Plan) {
        self.peers.record_declined(now, peer, &plan.service);
    }

    /// Records that another entry had no slot of a leased backend server for a request.
    pub fn record_peer_busy(&mut self, now: MonoTime, peer: ProcessAddr, plan: &Plan) {
        self.peers.record_busy(now, peer, &plan.service);
    }

    /// Records a sign of life of this entry, one of a series.
    pub fn record_alive(&mut self, now: MonoTime) {
        self.budget.record_alive(now);
    }

    /// Returns whether a request that is read now may have been sent long before.
    pub fn reads_late(&mut self, now: MonoTime) -> bool {
        self.budget.record_activity(now);
        self.budget.is_late(now)
    }

    /// Records that a request that was not sent yet is offered to another entry. Returns whether
    /// it counts for the retry budget there, if that one sends it: counted at both, it would
    /// allow twice the retries, also if the answer of the other entry is lost. It goes on to
    /// count here if retries that were spent need it.
    pub fn record_offered(&mut self, now: MonoTime, plan: &Plan) -> bool {
        self.budget
            .withdraw_request(now, plan.read_at, &plan.service)
    }

    /// Records that another entry declined such a request, which counts here again.
    pub fn record_declined(&mut self, plan: &Plan) {
        self.budget.record_request(plan.read_at, &plan.service);
    }

    /// Records that the first send of a forwarded request was made here, so that it counts here.
    pub fn record_accepted(&mut self, plan: &Plan) {
        self.budget.record_request(plan.read_at, &plan.service);
    }
}
