//! Forwarding of requests between entries.
//!
//! An entry that reaches no backend server of a service has another entry serve its callers'
//! requests. A request is forwarded once at most: the entry that receives it sends it to
//! backend servers or declines it. That entry makes all decisions about the sends and
//! charges them to its retry budget; the forwarding entry only passes the answer on.

use std::collections::HashMap;

use serde::{
    Deserialize,
    Serialize, //
};

use super::config::ServiceId;
use crate::{
    ids::{
        DomainId,
        MonoTime,
        ProcessAddr, //
    },
    policy::hash,
};

/// Maximum number of entries to which one request is offered.
pub const MAX_PEERS_TRIED: usize = 3;

/// Maximum number of offers that an entry is told. Several are left if most of them have
/// been withdrawn since.
pub const MAX_OFFERS: usize = 16;

/// Pause for an entry that could not be reached: a few offers are refreshed by then.
const UNREACHABLE_PAUSE: MonoTime = MonoTime::from_millis(1000);

/// Pause for an entry without a free slot: a few of its requests end in this time.
const BUSY_PAUSE: MonoTime = MonoTime::from_millis(20);

/// Requests in flight at one entry beyond the mean from which another one is preferred.
const IN_FLIGHT_MARGIN: usize = 4;

/// An entry's offer to serve requests of other entries.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ForwardingOffer {
    /// Where the entry accepts them.
    pub addr: ProcessAddr,
    /// Secret that authorizes a connection, drawn when the entry started.
    pub key: u128,
    /// Failure domain of the entry.
    pub domain: DomainId,
    /// Services none of whose backend servers the entry reaches.
    pub isolated_from: Vec<ServiceId>,
}

/// Other entries that serve requests of this one.
#[derive(Clone, Debug, Default)]
pub(super) struct ForwardingPeers {
    offers: Vec<ForwardingOffer>,
    /// Requests in flight at each.
    in_flight: HashMap<ProcessAddr, usize>,
    /// Until when an entry is left out, for one service or for all.
    paused_until: HashMap<(ProcessAddr, Option<ServiceId>), MonoTime>,
}

impl ForwardingPeers {
    /// Sets the offers of other entries.
    pub(super) fn set_offers(&mut self, offers: Vec<ForwardingOffer>) {
        let is_offered = |addr: &ProcessAddr| offers.iter().any(|o| o.addr == *addr);
        self.paused_until.retain(|(addr, _), _| is_offered(addr));
        self.offers = offers;
    }

    /// Returns the number of entries that reach a service.
    pub(super) fn count(&self, service: &str) -> usize {
        self.offers.iter().filter(|o| o.reaches(service)).count()
    }

    /// Chooses the entry that gets a request, and counts the request there. Only holders of
    /// leases get requests to a service that has any.
    ///
    /// Requests with the same affinity go to the same entry unless it has more in flight
    /// than others.
    pub(super) fn choose(
        &mut self,
        now: MonoTime,
        service: &ServiceId,
        lease_holders: Option<&[ForwardingOffer]>,
        affinity: &[u8],
        tried: &[ProcessAddr],
    ) -> Option<ForwardingOffer> {
        let is_usable = |offer: &&ForwardingOffer| {
            let is_paused = |service| {
                let until = self.paused_until.get(&(offer.addr, service));
                until.is_some_and(|until| *until > now)
            };
            offer.reaches(service)
                && !tried.contains(&offer.addr)
                && !is_paused(None)
                && !is_paused(Some(service.clone()))
        };
        let offers = lease_holders.unwrap_or(&self.offers);
        let usable: Vec<&ForwardingOffer> = offers.iter().filter(is_usable).collect();
        let in_flight = |o: &ForwardingOffer| self.in_flight.get(&o.addr).copied().unwrap_or(0);
        let total: usize = usable.iter().map(|o| in_flight(o)).sum();
        let bound = total / usable.len().max(1) + IN_FLIGHT_MARGIN;
        let free = usable.into_iter().filter(|o| in_flight(o) <= bound);
        let weight = |o: &&ForwardingOffer| hash::rendezvous(&o.addr.to_string(), affinity);
        let chosen = free.max_by_key(weight)?.clone();
        *self.in_flight.entry(chosen.addr).or_default() += 1;
        Some(chosen)
    }

    /// Records that a request ended.
    pub(super) fn record_end(&mut self, addr: ProcessAddr) {
        if let Some(count) = self.in_flight.get_mut(&addr) {
            *count -= 1;
            if *count == 0 {
                self.in_flight.remove(&addr);
            }
        }
    }

    /// Records that an entry could not be reached, or declined a request to any service.
    pub(super) fn record_unreachable(&mut self, now: MonoTime, addr: ProcessAddr) {
        self.paused_until
            .insert((addr, None), now + UNREACHABLE_PAUSE);
    }

    /// Records that an entry declined a request to a service, as it reaches none of its backend
    /// servers. It may well serve requests to others.
    pub(super) fn record_declined(
        &mut self,
        now: MonoTime,
        addr: ProcessAddr,
        service: &ServiceId,
    ) {
        self.paused_until
            .insert((addr, Some(service.clone())), now + UNREACHABLE_PAUSE);
    }

    /// Records that an entry had no slot for a request to a service.
    pub(super) fn record_busy(&mut self, now: MonoTime, addr: ProcessAddr, service: &ServiceId) {
        self.paused_until
            .insert((addr, Some(service.clone())), now + BUSY_PAUSE);
    }
}

impl ForwardingOffer {
    /// Returns whether the entry reaches a service.
    pub(super) fn reaches(&self, service: &str) -> bool {
        !self.isolated_from.iter().any(|s| s == service)
    }
}
