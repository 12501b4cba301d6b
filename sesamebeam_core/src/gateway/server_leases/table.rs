//! Leases as the leader of the control replicas assigns them.

use std::{
    collections::{
        BTreeMap,
        BTreeSet, //
    },
    time::Duration,
};

use super::{
    LEASE_DURATION,
    Lease,
    LeaseRequest,
    LeasedService,
    Statement, //
};
use crate::{
    gateway::{
        config::ServiceId,
        coordinator::EntryId,
        directory::{
            Directory,
            ServerRecord,
            ServerState, //
        },
        forwarding::ForwardingOffer,
        loads::ServerKey,
    },
    ids::{
        DomainId,
        MonoTime, //
    },
};

/// How much longer than its holder the leader counts a lease as valid.
const MARGIN: Duration = Duration::from_millis(500);

/// Time after a statement of one backend server in which another one does not end the leases
/// of a service.
const REPORT_DELAY: Duration = Duration::from_millis(500);

/// Time for which requests in flight count after they were last reported.
const IN_FLIGHT_RETENTION: Duration = Duration::from_secs(4);

/// An entry that may hold leases.
#[derive(Clone, Copy, Debug)]
pub struct Candidate<'a> {
    /// The entry.
    pub entry: EntryId,
    /// What it offers to others.
    pub offer: &'a ForwardingOffer,
}

/// A service with backend servers that crash under rejections.
#[derive(Clone, Debug, Default)]
struct FragileService {
    /// What its backend servers have stated, and when.
    statements: BTreeMap<ServerKey, (Option<u32>, MonoTime)>,
    /// When one last stated how many rejections it survives.
    stated_at: MonoTime,
}

#[derive(Clone, Copy, Debug)]
struct AssignedLease {
    holder: EntryId,
    until: MonoTime,
    /// Whether it is not renewed, as the backend server needs no lease at the moment. Its
    /// holder may use it until it runs out.
    is_revoked: bool,
}

/// What an entry has reported.
#[derive(Clone, Debug)]
struct EntryReport {
    /// Backend servers at which it has requests in flight.
    in_flight: Vec<ServerKey>,
    unusable: Vec<ServiceId>,
    at: MonoTime,
}

/// Leases of all backend servers that crash under rejections.
#[derive(Clone, Debug, Default)]
pub struct LeaseTable {
    /// When leases of an earlier leader have run out; none while this replica does not lead.
    settled_at: Option<MonoTime>,
    services: BTreeMap<ServiceId, FragileService>,
    /// When the backend servers of services without leases last stated that they survive any
    /// rejections.
    sound_at: BTreeMap<ServiceId, MonoTime>,
    leases: BTreeMap<ServerKey, AssignedLease>,
    /// Leases by their holders.
    held: BTreeMap<EntryId, BTreeSet<ServerKey>>,
    reports: BTreeMap<EntryId, EntryReport>,
    /// Entries that let a lease run out and have not asked for any since.
    lapsed: BTreeSet<EntryId>,
    /// Requests in flight at each backend server, by entry.
    in_flight: BTreeMap<ServerKey, BTreeMap<EntryId, u32>>,
    version: u64,
}

impl LeaseTable {
    /// Starts to assign leases. An earlier leader may have assigned some that are unknown
    /// here: these are renewed for entries that ask for them, and no others are assigned
    /// until they have run out. `version` is one that no earlier leader has used.
    pub fn start(&mut self, now: MonoTime, version: u64) {
        *self = Self {
            settled_at: Some(now + LEASE_DURATION + MARGIN),
            version,
            ..Self::default()
        };
    }

    /// Stops to assign leases.
    pub fn stop(&mut self) {
        self.settled_at = None;
    }

    /// Returns whether this replica assigns leases.
    pub fn is_started(&self) -> bool {
        self.settled_at.is_some()
    }

    /// Returns whether all leases of earlier leaders are known or have run out.
    pub fn is_settled(&self, now: MonoTime) -> bool {
        self.settled_at.is_some_and(|at| now >= at)
    }

    /// Returns the version of the list of services.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Returns the number of assigned leases.
    pub fn count(&self) -> usize {
        self.leases.values().filter(|l| !l.is_revoked).count()
    }

    /// Applies a request, and renews the leases of its sender. Returns whether there is
    /// something to assign.
    pub fn apply_request(
        &mut self,
        now: MonoTime,
        entry: EntryId,
        request: &LeaseRequest,
        directory: &Directory,
    ) -> bool {
        let version = self.version;
        let report = self.reports.get(&entry);
        let could_use = report.is_none_or(|report| report.unusable.is_empty());
        let is_back = !could_use && request.unusable.is_empty() || self.lapsed.contains(&entry);
        for statement in &request.statements {
            self.apply_statement(now, statement, directory);
        }
        for service in &request.services {
            if !self.is_settled(now) && !self.services.contains_key(service) {
                let service = service.clone();
                self.services.insert(service, FragileService::default());
                self.version += 1;
            }
        }
        self.lapsed.remove(&entry);
        self.set_report(now, entry, request);
        for &server in &request.held {
            let is_free = self.leases.get(&server).is_none_or(|l| l.until <= now);
            if is_free {
                self.set_lease(now, server, entry);
            }
        }
        for server in self.held.get(&entry).cloned().unwrap_or_default() {
            if is_unusable(server, directory, &request.unusable) {
                self.remove_lease(server);
            } else if let Some(lease) = self.leases.get_mut(&server)
                && !lease.is_revoked
            {
                lease.until = now + LEASE_DURATION + MARGIN;
            }
        }
        is_back || self.version != version
    }

    fn set_report(&mut self, now: MonoTime, entry: EntryId, request: &LeaseRequest) {
        self.remove_report(entry);
        for &(server, count) in &request.in_flight {
            self.in_flight
                .entry(server)
                .or_default()
                .insert(entry, count);
        }
        let report = EntryReport {
            in_flight: request
                .in_flight
                .iter()
                .map(|(server, _)| *server)
                .collect(),
            unusable: request.unusable.clone(),
            at: now,
        };
        self.reports.insert(entry, report);
    }

    fn remove_report(&mut self, entry: EntryId) {
        let report = self.reports.remove(&entry);
        for server in report.into_iter().flat_map(|report| report.in_flight) {
            if let Some(counts) = self.in_flight.get_mut(&server) {
                counts.remove(&entry);
                if counts.is_empty() {
                    self.in_flight.remove(&server);
                }
            }
        }
    }

    fn set_lease(&mut self, now: MonoTime, server: ServerKey, holder: EntryId) {
        self.remove_lease(server);
        let lease = AssignedLease {
            holder,
            until: now + LEASE_DURATION + MARGIN,
            is_revoked: false,
        };
        self.leases.insert(server, lease);
        self.held.entry(holder).or_default().insert(server);
        self.version += 1;
    }

    fn remove_lease(&mut self, server: ServerKey) {
        let Some(lease) = self.leases.remove(&server) else {
            return;
        };
        if let Some(held) = self.held.get_mut(&lease.holder) {
            held.remove(&server);
            if held.is_empty() {
                self.held.remove(&lease.holder);
            }
        }
        self.version += 1;
    }

    fn apply_statement(&mut self, now: MonoTime, statement: &Statement, directory: &Directory) {
        let at = now.saturating_sub(statement.age);
        let Some(known) = directory.with_key(statement.server).next() else {
            return;
        };
        let name = &known.announcement.service;
        let is_new = !self.services.contains_key(name);
        // Entries report for a while what they heard before the leases ended.
        let is_outdated = self.sound_at.get(name).is_some_and(|sound| at <= *sound);
        if is_new && (statement.max_rejections.is_none() || is_outdated) {
            return;
        }
        let service = self.services.entry(name.clone()).or_default();
        let before = service.statements.get(&statement.server).copied();
        if before.is_some_and(|(_, before)| before > at) {
            return;
        }
        if statement.max_rejections.is_some() {
            service.stated_at = service.stated_at.max(at);
        }
        let stated = (statement.max_rejections, at);
        service.statements.insert(statement.server, stated);
        let is_changed = before.map(|(stated, _)| stated) != Some(statement.max_rejections);
        self.version += u64::from(is_new || is_changed);
    }

    /// Ends what has ended, and assigns leases where there are none. Returns the entries
    /// that got any.
    pub fn update<'a>(
        &mut self,
        now: MonoTime,
        directory: &Directory,
        evacuated: &BTreeSet<DomainId>,
        candidates: impl IntoIterator<Item = Candidate<'a>>,
    ) -> BTreeSet<EntryId> {
        if self.services.is_empty() && self.leases.is_empty() {
            return BTreeSet::new();
        }
        let is_old =
            |(_, report): &(&EntryId, &EntryReport)| now >= report.at + IN_FLIGHT_RETENTION;
        let old: Vec<EntryId> = self
            .reports
            .iter()
            .filter(is_old)
            .map(|(e, _)| *e)
            .collect();
        old.into_iter().for_each(|entry| self.remove_report(entry));
        if !self.is_settled(now) {
            return BTreeSet::new();
        }
        self.end_services(now, directory);
        self.revoke(directory, evacuated);
        let ended = self.leases.iter().filter(|(_, lease)| now >= lease.until);
        let ended: Vec<_> = ended.map(|(server, lease)| (*server, *lease)).collect();
        for (server, lease) in ended {
            if !lease.is_revoked {
                self.lapsed.insert(lease.holder);
            }
            self.remove_lease(server);
        }
        self.assign(now, directory, evacuated, candidates)
    }

    /// Stops to renew the leases of backend servers that need none, and renews them again if
    /// they need one before it has run out.
    fn revoke(&mut self, directory: &Directory, evacuated: &BTreeSet<DomainId>) {
        let is_needed = |server: &ServerKey| {
            let mut known = directory.with_key(*server);
            known.any(|k| self.is_leasable(k, evacuated))
        };
        let is_changed =
            |(server, lease): &(&ServerKey, &AssignedLease)| lease.is_revoked == is_needed(server);
        let changed = self.leases.iter().filter(is_changed);
        let changed: Vec<ServerKey> = changed.map(|(server, _)| *server).collect();
        self.version += changed.len() as u64;
        for server in changed {
            if let Some(lease) = self.leases.get_mut(&server) {
                lease.is_revoked = !lease.is_revoked;
            }
        }
    }

    /// Ends the leases of services whose backend servers all survive any rejections.
    fn end_services(&mut self, now: MonoTime, directory: &Directory) {
        let before = self.services.len();
        let sound_at = &mut self.sound_at;
        self.services.retain(|name, service| {
            let is_living = |server: &ServerKey| {
                let mut known = directory.with_key(*server);
                known.any(|k| k.announcement.state == ServerState::Ready)
            };
            service.statements.retain(|server, _| is_living(server));
            let has_ended = !service.statements.is_empty()
                && service
                    .statements
                    .values()
                    .all(|(stated, _)| stated.is_none())
                && now >= service.stated_at + REPORT_DELAY;
            if has_ended && let Some(at) = service.statements.values().map(|(_, at)| *at).max() {
                sound_at.insert(name.clone(), at);
            }
            !has_ended
        });
        self.version += u64::from(self.services.len() < before);
    }

    /// Assigns each backend server without a lease to the entry with the fewest, in the same
    /// failure domain if there is any.
    fn assign<'a>(
        &mut self,
        now: MonoTime,
        directory: &Directory,
        evacuated: &BTreeSet<DomainId>,
        candidates: impl IntoIterator<Item = Candidate<'a>>,
    ) -> BTreeSet<EntryId> {
        let mut holders = BTreeSet::new();
        let candidates: Vec<Candidate<'a>> = candidates.into_iter().collect();
        for name in self.services.keys().cloned().collect::<Vec<_>>() {
            let is_unassigned = |known: &&ServerRecord| {
                self.is_leasable(known, evacuated) && !self.leases.contains_key(&known.key())
            };
            let unassigned: Vec<&ServerRecord> =
                directory.ready(&name).filter(is_unassigned).collect();
            if unassigned.is_empty() {
                continue;
            }
            let mut free = self.free_candidates(&name, &candidates);
            for server in unassigned {
                let Some(holder) = take_least(&mut free, &server.announcement.domain) else {
                    break;
                };
                self.set_lease(now, server.key(), holder);
                holders.insert(holder);
            }
        }
        holders
    }

    /// Returns the entries that may get leases of a service by failure domain, each with its
    /// number of leases.
    fn free_candidates<'a>(
        &self,
        service: &ServiceId,
        candidates: &[Candidate<'a>],
    ) -> BTreeMap<&'a DomainId, BTreeSet<(usize, EntryId)>> {
        let mut free: BTreeMap<&DomainId, BTreeSet<(usize, EntryId)>> = BTreeMap::new();
        for candidate in candidates {
            let report = self.reports.get(&candidate.entry);
            let is_usable = report.is_none_or(|report| !report.unusable.contains(service));
            let is_usable = is_usable && !self.lapsed.contains(&candidate.entry);
            if is_usable && candidate.offer.reaches(service) {
                let count = self.held.get(&candidate.entry).map_or(0, BTreeSet::len);
                let of_domain = free.entry(&candidate.offer.domain).or_default();
                of_domain.insert((count, candidate.entry));
            }
        }
        free
    }

    /// Returns whether a backend server needs a lease and accepts requests.
    fn is_leasable(&self, known: &ServerRecord, evacuated: &BTreeSet<DomainId>) -> bool {
        let announcement = &known.announcement;
        let Some(service) = self.services.get(&announcement.service) else {
            return false;
        };
        let stated = service.statements.get(&known.key());
        announcement.state == ServerState::Ready
            && !evacuated.contains(&announcement.domain)
            && !matches!(stated, Some((None, _)))
    }

    /// Returns the leases of an entry.
    pub fn leases_of(&self, entry: EntryId) -> Vec<Lease> {
        let lease = |&server: &ServerKey| {
            let counts = self.in_flight.get(&server).into_iter().flatten();
            let others = counts.filter(|(other, _)| **other != entry);
            Lease {
                server,
                others: others.map(|(_, count)| count).sum(),
            }
        };
        let held = self.held.get(&entry).into_iter().flatten();
        let is_valid = |server: &&ServerKey| self.leases.get(server).is_some_and(|l| !l.is_revoked);
        held.filter(is_valid).map(lease).collect()
    }

    /// Returns the entries that hold leases, by service.
    pub fn holders(&self, directory: &Directory) -> BTreeMap<ServiceId, BTreeSet<EntryId>> {
        let mut holders: BTreeMap<ServiceId, BTreeSet<EntryId>> = BTreeMap::new();
        for (&server, lease) in self.leases.iter().filter(|(_, l)| !l.is_revoked) {
            for known in directory.with_key(server) {
                let of_service = holders.entry(known.announcement.service.clone());
                of_service.or_default().insert(lease.holder);
            }
        }
        holders
    }

    /// Returns the services with leases, without their holders.
    pub fn services(&self) -> Vec<LeasedService> {
        let told = |(name, service): (&ServiceId, &FragileService)| {
            let statements = service.statements.iter();
            let sound = statements
                .clone()
                .filter(|(_, (stated, _))| stated.is_none());
            LeasedService {
                service: name.clone(),
                max_rejections: statements
                    .filter_map(|(_, (stated, _))| *stated)
                    .min()
                    .unwrap_or_default(),
                sound: sound.map(|(server, _)| *server).collect(),
                holders: Vec::new(),
            }
        };
        self.services.iter().map(told).collect()
    }
}

/// Takes the entry with the fewest leases, in a failure domain if it has any, and counts one
/// more.
fn take_least(
    free: &mut BTreeMap<&DomainId, BTreeSet<(usize, EntryId)>>,
    domain: &DomainId,
) -> Option<EntryId> {
    let domain = match free.get_key_value(domain) {
        Some((domain, _)) => *domain,
        None => {
            let least = free.iter().min_by_key(|(_, entries)| entries.first());
            least.map(|(domain, _)| *domain)?
        }
    };
    let entries = free.get_mut(domain)?;
    let (count, holder) = entries.pop_first()?;
    entries.insert((count + 1, holder));
    Some(holder)
}

/// Returns whether a backend server is of a service that an entry cannot use.
fn is_unusable(server: ServerKey, directory: &Directory, unusable: &[ServiceId]) -> bool {
    let mut known = directory.with_key(server);
    known.any(|k| unusable.contains(&k.announcement.service))
}
