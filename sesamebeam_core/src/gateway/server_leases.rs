//! Leases of backend servers that crash if they have to reject too many requests.
//!
//! Such a backend server states in its answers how many rejections a second it survives. The
//! requests that it rejects come from all entries together, none of which sees the sum. The
//! leader of the control replicas therefore leases each of these backend servers to one
//! entry, the only one that sends there. This entry keeps the requests in flight within the
//! slots; it queues the rest for a moment, and other entries forward theirs to it.
//!
//! A lease lasts for [`LEASE_DURATION`] from the moment at which the entry asked for it, and
//! longer at the leader than at the entry, so that an entry which is cut off from the leader
//! stops sending before the backend server is leased to another.

mod queue;
mod table;

use std::{
    collections::{
        BTreeMap,
        BTreeSet,
        HashMap, //
    },
    time::Duration,
};

use serde::{
    Deserialize,
    Serialize, //
};

use self::queue::SlotQueue;
pub use self::{
    queue::QueueTicket,
    table::{
        Candidate,
        LeaseTable, //
    },
};
use super::{
    config::ServiceId,
    directory::{
        Announcement,
        ServerId, //
    },
    forwarding::ForwardingOffer,
    loads::{
        self,
        ServerKey, //
    },
    request::Load,
};
use crate::{
    ids::MonoTime,
    policy::slot_window::SlotWindow, //
};

/// Time for which an entry may use a lease after it has asked for it: several renewals, and
/// an election.
pub const LEASE_DURATION: Duration = Duration::from_secs(2);

/// Interval at which an entry asks for its leases.
const RENEWAL_INTERVAL: Duration = Duration::from_millis(400);

/// Time for which what a backend server has stated is reported.
const STATEMENT_RETENTION: Duration = Duration::from_secs(10);

/// Maximum number of unanswered requests for leases whose times are kept.
const MAX_UNANSWERED: usize = 8;

/// Weight of the newest run in the mean run time.
const RUN_TIME_WEIGHT: f64 = 0.1;

/// Half of the time over which the most requests in flight are kept.
const PEAK_PERIOD: Duration = Duration::from_millis(500);

/// Time for which an entry cannot use a service before it gives its leases up. Slow backend
/// servers look unreachable for a moment.
const GIVE_UP_DELAY: Duration = Duration::from_millis(500);

/// Run time that is assumed before the first run has ended.
const INITIAL_RUN_TIME: Duration = Duration::from_millis(100);

/// What a backend server has stated in an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Statement {
    /// Key of the backend server.
    pub server: ServerKey,
    /// Rejections a second that it survives; none if any number.
    pub max_rejections: Option<u32>,
    /// Time since the answer.
    pub age: Duration,
}

/// Request of an entry for its leases.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct LeaseRequest {
    /// Number of the request, which the answer repeats.
    pub number: u64,
    /// What backend servers have stated in recent answers to the sender.
    pub statements: Vec<Statement>,
    /// Services that are leased as far as the sender knows.
    pub services: Vec<ServiceId>,
    /// Backend servers of which the sender holds a lease.
    pub held: Vec<ServerKey>,
    /// Requests of the sender in flight at backend servers of these services.
    pub in_flight: Vec<(ServerKey, u32)>,
    /// Services whose backend servers the sender cannot use at the moment.
    pub unusable: Vec<ServiceId>,
    /// Version of the sender's list of services.
    pub version: u64,
}

/// Lease of one backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Lease {
    /// Key of the backend server.
    pub server: ServerKey,
    /// Requests of other entries in flight there.
    pub others: u32,
}

/// Service whose backend servers are leased.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeasedService {
    /// Its name.
    pub service: ServiceId,
    /// Fewest rejections a second that one of its backend servers survives.
    pub max_rejections: u32,
    /// Backend servers that are not leased, as they survive any number of rejections.
    pub sound: Vec<ServerKey>,
    /// Some of the entries that hold leases.
    pub holders: Vec<ForwardingOffer>,
}

/// Answer to a request for leases, or news.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct LeaseGrant {
    /// Number of the request that this answers; none for news, which grants nothing.
    pub number: Option<u64>,
    /// All leases of the receiver.
    pub leases: Vec<Lease>,
    /// Version of the list of services.
    pub version: u64,
    /// All services with leases, unless the receiver knows this version of them.
    pub services: Option<Vec<LeasedService>>,
}

/// A lease that this entry holds.
#[derive(Clone, Debug, Default)]
struct HeldLease {
    until: MonoTime,
    /// Requests of other entries, as the leader knows them.
    others: u32,
    /// Requests that the backend server has counted beyond those of this entry, and when.
    uncounted: u32,
    counted_at: MonoTime,
    peak: InFlightPeak,
    /// When sends ended whose requests may run on.
    aborted: Vec<MonoTime>,
    window: SlotWindow,
}

/// Most requests in flight in the last moments, for comparison with loads that were counted
/// some time before they arrive.
#[derive(Clone, Copy, Debug, Default)]
struct InFlightPeak {
    /// Most in the current period and in the one before.
    peaks: [u32; 2],
    period: u64,
}

impl InFlightPeak {
    fn record(&mut self, now: MonoTime, in_flight: u32) {
        let period = now.as_millis() as u64 / PEAK_PERIOD.as_millis() as u64;
        if period > self.period {
            let is_next = period == self.period + 1;
            self.peaks = [0, if is_next { self.peaks[0] } else { 0 }];
            self.period = period;
        }
        self.peaks[0] = self.peaks[0].max(in_flight);
    }

    fn max(&self) -> u32 {
        self.peaks[0].max(self.peaks[1])
    }
}

/// A service with leases.
#[derive(Clone, Debug, Default)]
struct Service {
    max_rejections: u32,
    sound: BTreeSet<ServerKey>,
    holders: Vec<ForwardingOffer>,
    queue: SlotQueue,
    run_time: Option<Duration>,
}

/// Leases as one entry knows them.
#[derive(Clone, Debug, Default)]
pub struct ServerLeases {
    services: BTreeMap<ServiceId, Service>,
    held: HashMap<ServerKey, HeldLease>,
    /// What backend servers have stated in answers to this entry, and when.
    statements: HashMap<ServerKey, (Option<u32>, MonoTime)>,
    /// Version of the list of services.
    version: u64,
    /// When unanswered requests for leases were made.
    requests: BTreeMap<u64, MonoTime>,
    next_number: u64,
    requested_at: Option<MonoTime>,
    /// Since when this entry reaches no backend server of a service.
    isolated_since: BTreeMap<ServiceId, MonoTime>,
    /// Services whose backend servers this entry could not use when it last asked.
    unusable: Vec<ServiceId>,
    /// Whether something is to be reported at once.
    has_news: bool,
}

impl ServerLeases {
    /// Returns whether the backend servers of a service are leased.
    pub fn is_leased(&self, service: &str) -> bool {
        self.services.contains_key(service)
    }

    /// Returns the number of leases that this entry holds.
    pub fn held_count(&self, now: MonoTime) -> usize {
        let held = self.held.values();
        held.filter(|lease| now < lease.until).count()
    }

    /// Iterates over the backend servers that are leased to this entry.
    pub fn held_servers(&self, now: MonoTime) -> impl Iterator<Item = ServerKey> {
        let held = self.held.iter();
        held.filter(move |(_, lease)| now < lease.until)
            .map(|(server, _)| *server)
    }

    /// Iterates over the services with leases.
    pub fn services(&self) -> impl Iterator<Item = &ServiceId> {
        self.services.keys()
    }

    /// Returns whether any backend server crashes under rejections, as far as this entry
    /// knows.
    pub fn is_active(&self) -> bool {
        let is_fragile = |(stated, _): &(Option<u32>, MonoTime)| stated.is_some();
        self.has_news || !self.services.is_empty() || self.statements.values().any(is_fragile)
    }

    /// Returns the entries that hold leases of a service.
    pub fn holders(&self, service: &str) -> Option<&[ForwardingOffer]> {
        let service = self.services.get(service)?;
        Some(&service.holders)
    }

    /// Records what an answer has stated of rejections. Returns whether that is news.
    ///
    /// An answer without such a statement ends one only if its request was sent later, as
    /// answers on different connections may arrive out of order.
    pub fn record_statement(
        &mut self,
        now: MonoTime,
        server: &Announcement,
        sent_at: MonoTime,
        max_rejections: Option<u32>,
    ) -> bool {
        let known = loads::key(&server.id);
        let before = self.statements.get(&known).copied();
        let is_later = before.is_none_or(|(_, at)| sent_at >= at);
        if max_rejections.is_none() {
            let is_relevant = before.is_some() || self.is_leased(&server.service);
            if !is_relevant || !is_later {
                return false;
            }
        }
        self.statements.insert(known, (max_rejections, now));
        let is_news = before.map(|(stated, _)| stated) != Some(max_rejections);
        self.has_news |= is_news;
        is_news
    }

    /// Records the load that a backend server has stated, with the number of requests that
    /// this entry has in flight there.
    pub fn record_load(&mut self, now: MonoTime, id: &ServerId, load: Load, in_flight: u32) {
        if let Some(lease) = self.held.get_mut(&loads::key(id)) {
            let counted = load.running.saturating_add(load.waiting);
            lease.peak.record(now, in_flight);
            lease.uncounted = counted.saturating_sub(lease.peak.max());
            lease.counted_at = now;
            if counted <= in_flight {
                lease.aborted.clear();
            }
            lease
                .window
                .record_load(load.running, load.waiting, load.slots);
        }
    }

    /// Records a send, with the number of requests that this entry has in flight there.
    pub fn record_send(&mut self, now: MonoTime, id: &ServerId, in_flight: u32) {
        if let Some(lease) = self.held.get_mut(&loads::key(id)) {
            lease.peak.record(now, in_flight);
        }
    }

    /// Records a rejection for lack of capacity, with the number of other requests that
    /// this entry has in flight there. Returns whether this entry holds a lease.
    pub fn record_rejection(&mut self, now: MonoTime, id: &ServerId, in_flight: u32) -> bool {
        let lease = self.held.get_mut(&loads::key(id));
        lease.is_some_and(|lease| {
            lease.window.record_rejection(now, in_flight);
            true
        })
    }

    /// Records a complete answer and the time that it took.
    pub fn record_answer(&mut self, now: MonoTime, server: &Announcement, took: Duration) {
        if let Some(service) = self.services.get_mut(&server.service) {
            let mean = service.run_time.unwrap_or(took);
            let mean = mean.mul_f64(1.0 - RUN_TIME_WEIGHT) + took.mul_f64(RUN_TIME_WEIGHT);
            service.run_time = Some(mean);
        }
        if let Some(lease) = self.held.get_mut(&loads::key(&server.id)) {
            lease.window.record_answer(now, server.slots);
        }
    }

    /// Records a send that was given up. Its request may run on.
    pub fn record_aborted(&mut self, now: MonoTime, id: &ServerId) {
        if let Some(lease) = self.held.get_mut(&loads::key(id)) {
            lease.aborted.push(now);
        }
    }

    /// Returns whether a request may be sent to a backend server now, with the number of
    /// requests that this entry has in flight there.
    pub fn allows_send(&self, now: MonoTime, server: &Announcement, in_flight: u32) -> bool {
        let Some(service) = self.services.get(&server.service) else {
            return true;
        };
        service.sound.contains(&loads::key(&server.id))
            || self.free_slots(now, server, in_flight) > 0
    }

    /// Returns the number of slots of a leased backend server that this entry may use now.
    pub fn free_slots(&self, now: MonoTime, server: &Announcement, in_flight: u32) -> u32 {
        let Some(service) = self.services.get(&server.service) else {
            return 0;
        };
        let lease = self.held.get(&loads::key(&server.id));
        let Some(lease) = lease.filter(|lease| now < lease.until) else {
            return 0;
        };
        let run_time = service.run_time.unwrap_or(INITIAL_RUN_TIME);
        let uncounted = match now < lease.counted_at + run_time {
            true => lease.uncounted,
            false => 0,
        };
        let may_run = |at: &&MonoTime| now < **at + run_time;
        let aborted = lease.aborted.iter().filter(may_run).count() as u32;
        let others = uncounted.max(lease.others + aborted);
        let window = lease.window.size(now, server.slots, service.max_rejections);
        window.saturating_sub(in_flight.saturating_add(others))
    }

    /// Returns whether requests to a service wait for slots.
    pub fn has_queue(&self, service: &str) -> bool {
        let service = self.services.get(service);
        service.is_some_and(|s| !s.queue.is_empty())
    }

    /// Queues a request for a slot, if this entry has `slots` of the service and the expected
    /// wait does not exceed a maximum.
    pub fn join_queue(
        &mut self,
        service: &str,
        slots: u32,
        max_wait: Duration,
    ) -> Option<QueueTicket> {
        let service = self.services.get_mut(service)?;
        let run_time = service.run_time.unwrap_or(INITIAL_RUN_TIME);
        let ahead = service.queue.len() as u32 + 1;
        if slots == 0 || run_time * ahead / slots > max_wait {
            return None;
        }
        Some(service.queue.join())
    }

    /// Returns whether a queued request may take one of the free slots.
    pub fn is_turn(&self, service: &str, ticket: QueueTicket, free_slots: u32) -> bool {
        let service = self.services.get(service);
        service.is_none_or(|s| s.queue.position(ticket) < free_slots as usize)
    }

    /// Removes a request from the queue.
    pub fn leave_queue(&mut self, service: &str, ticket: QueueTicket) {
        if let Some(service) = self.services.get_mut(service) {
            service.queue.leave(ticket);
        }
    }

    /// Records the services none of whose backend servers this entry reaches, and returns
    /// those for which that has lasted.
    pub fn record_isolated(
        &mut self,
        now: MonoTime,
        isolated: impl IntoIterator<Item = ServiceId>,
    ) -> Vec<ServiceId> {
        let mut before = std::mem::take(&mut self.isolated_since);
        for service in isolated {
            let since = before.remove(&service).unwrap_or(now);
            self.isolated_since.insert(service, since);
        }
        let has_lasted = |(_, since): &(&ServiceId, &MonoTime)| now >= **since + GIVE_UP_DELAY;
        let lasting = self.isolated_since.iter().filter(has_lasted);
        lasting.map(|(service, _)| service.clone()).collect()
    }

    /// Gives up the leases of a service whose backend servers this entry cannot use.
    pub fn give_up(&mut self, is_given_up: impl Fn(ServerKey) -> bool) {
        let before = self.held.len();
        self.held.retain(|server, _| !is_given_up(*server));
        self.has_news |= self.held.len() < before;
    }

    /// Takes the request for leases, if one is due. `in_flight` are the requests in flight
    /// at backend servers of leased services, `unusable` the services whose backend servers
    /// this entry cannot use.
    pub fn take_request(
        &mut self,
        now: MonoTime,
        in_flight: impl IntoIterator<Item = (ServerKey, u32)>,
        unusable: Vec<ServiceId>,
    ) -> Option<LeaseRequest> {
        self.statements
            .retain(|_, (_, at)| now < *at + STATEMENT_RETENTION);
        let is_due = self
            .requested_at
            .is_none_or(|at| now >= at + RENEWAL_INTERVAL);
        self.has_news |= unusable != self.unusable;
        if !(self.has_news || self.is_active() && is_due) {
            return None;
        }
        self.has_news = false;
        self.unusable.clone_from(&unusable);
        self.requested_at = Some(now);
        self.next_number += 1;
        self.requests.insert(self.next_number, now);
        if self.requests.len() > MAX_UNANSWERED {
            self.requests.pop_first();
        }
        let statement =
            |(&server, &(max_rejections, at)): (&ServerKey, &(Option<u32>, MonoTime))| Statement {
                server,
                max_rejections,
                age: now.saturating_sub(at),
            };
        let held = self.held.iter().filter(|(_, lease)| now < lease.until);
        Some(LeaseRequest {
            number: self.next_number,
            statements: self.statements.iter().map(statement).collect(),
            services: self.services.keys().cloned().collect(),
            held: held.map(|(server, _)| *server).collect(),
            in_flight: in_flight.into_iter().collect(),
            unusable,
            version: self.version,
        })
    }

    /// Returns whether something is to be reported at once.
    pub fn has_news(&self) -> bool {
        self.has_news
    }

    /// Applies an answer of the leader, or news. Returns whether the services or the set of
    /// held leases have changed.
    pub fn apply(&mut self, grant: LeaseGrant) -> bool {
        let mut changed = false;
        if let Some(services) = grant.services {
            changed = true;
            self.set_services(services);
            self.version = grant.version;
        }
        let requested_at = grant.number.and_then(|n| self.requests.remove(&n));
        let Some(requested_at) = requested_at else {
            // A lease that was assigned begins with the request for it.
            let is_new = |lease: &Lease| !self.held.contains_key(&lease.server);
            self.has_news |= grant.leases.iter().any(is_new);
            return changed;
        };
        let mut held = HashMap::new();
        for lease in &grant.leases {
            let mut known = self.held.remove(&lease.server).unwrap_or_else(|| {
                changed = true;
                HeldLease::default()
            });
            known.until = known.until.max(requested_at + LEASE_DURATION);
            known.others = lease.others;
            held.insert(lease.server, known);
        }
        changed |= !self.held.is_empty();
        self.held = held;
        changed
    }

    fn set_services(&mut self, services: Vec<LeasedService>) {
        let mut before = std::mem::take(&mut self.services);
        for told in services {
            let known = before.remove(&told.service).unwrap_or_default();
            let service = Service {
                max_rejections: told.max_rejections,
                sound: told.sound.into_iter().collect(),
                holders: told.holders,
                ..known
            };
            self.services.insert(told.service, service);
        }
    }
}
