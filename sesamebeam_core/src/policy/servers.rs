//! Membership of backend servers, based on their announcements.
//!
//! A backend server is a member while its lease lasts. Announcements are
//! ordered by incarnation and sequence number, and stale ones are ignored. A
//! backend server that is silent for the length of a lease expires. If many
//! backend servers of one failure domain fall silent together, a network
//! partition between them and this entry is assumed rather than as many
//! crashes: they are kept as unreachable and rejoin with their first
//! announcement.

use std::time::Duration;

use indexmap::{
    IndexMap,
    IndexSet, //
};
use serde::{
    Deserialize,
    Serialize, //
};

use super::hash;
use crate::{
    fleet::{
        Fleet,
        PoolKind, //
    },
    ids::{
        DomainId,
        Incarnation,
        InstanceId,
        MonoTime,
        PoolId,
        ServerAddr,
        VersionId, //
    },
    message::server::Announcement,
};

/// Maximum number of versions in one announcement.
const MAX_VERSIONS: usize = 256;

/// Settings of membership.
#[derive(Clone, Debug, PartialEq)]
pub struct ServersConfig {
    /// Silence after which a backend server expires.
    pub lease: Duration,
    /// Whether the simultaneous silence of many backend servers is treated as a
    /// network partition.
    pub detect_partitions: bool,
    /// Share of a failure domain's backend servers that must be silent for a
    /// partition to be assumed.
    pub partition_share: f64,
    /// Minimum number of silent backend servers for a partition to be assumed.
    pub partition_min_servers: usize,
    /// Time for which backend servers behind a partition are kept.
    pub unreachable_retention: Duration,
    /// Maximum number of backend servers of one pool that this entry uses. The
    /// others are left to other entries.
    pub subset: usize,
    /// Maximum number of backend servers.
    pub max_servers: usize,
}

impl Default for ServersConfig {
    fn default() -> Self {
        Self {
            lease: Duration::from_secs(6),
            detect_partitions: true,
            partition_share: 0.5,
            partition_min_servers: 3,
            unreachable_retention: Duration::from_secs(2 * 3600),
            subset: 700,
            max_servers: 20_000,
        }
    }
}

/// Effect of an announcement.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Announced {
    /// A backend server that was unknown or had expired.
    New,
    /// A backend server behind a partition became reachable again.
    Reconnected,
    /// A known backend server with a new incarnation. Requests that ran in the
    /// old one are lost.
    Restarted {
        /// The incarnation that ended.
        old: Incarnation,
    },
    /// The versions or the leaving flag changed.
    Changed,
    /// The backend server started to leave.
    Leaving,
    /// Only the load and the lease were updated.
    Refreshed,
    /// The announcement is older than the last known one and was ignored.
    Stale,
    /// The announcement is invalid and was ignored.
    Ignored(Fault),
}

impl Announced {
    /// Returns whether the announcement is passed on to other entries of the
    /// failure domain.
    pub fn should_propagate(self) -> bool {
        match self {
            Self::New
            | Self::Reconnected
            | Self::Restarted { .. }
            | Self::Changed
            | Self::Leaving => true,
            Self::Refreshed | Self::Stale | Self::Ignored(_) => false,
        }
    }
}

/// Reason why an announcement is invalid.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// The failure domain is not in the configuration.
    Domain,
    /// The pool is not in the configuration.
    Pool,
    /// The incarnation is zero.
    Incarnation,
    /// Too many backend servers or versions.
    TooMany,
}

/// Counts of announcements since the start, by outcome.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct AnnouncementCounts {
    /// Accepted.
    pub accepted: u64,
    /// Older than the last known one.
    pub stale: u64,
    /// Unknown failure domain.
    pub domain: u64,
    /// Unknown pool.
    pub pool: u64,
    /// Incarnation zero.
    pub incarnation: u64,
    /// Too many backend servers or versions.
    pub too_many: u64,
    /// Unknown versions that were removed from accepted announcements.
    pub versions: u64,
}

/// Membership change caused by the passage of time.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ServerEvent {
    /// The lease of a backend server ended.
    Expired(ServerAddr),
    /// A backend server is behind a partition: it is kept but not selected.
    Unreachable(ServerAddr),
    /// Many backend servers of a failure domain fell silent together.
    Partitioned(DomainId),
}

/// Reachability of a backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Reachability {
    Reachable,
    Unreachable,
}

/// A known backend server.
#[derive(Clone, Debug)]
struct Member {
    last: Announcement,
    last_contact: MonoTime,
    reachability: Reachability,
}

/// Table of the backend servers that have announced themselves.
#[derive(Clone, Debug)]
pub struct Servers {
    cfg: ServersConfig,
    domains: IndexSet<DomainId>,
    pools: IndexMap<PoolId, PoolKind>,
    versions: IndexSet<VersionId>,
    members: IndexMap<ServerAddr, Member>,
    /// Incarnation and sequence number of former members, to detect
    /// announcements that arrive late.
    former_members: IndexMap<ServerAddr, (Incarnation, u64)>,
    pending_deltas: IndexSet<ServerAddr>,
    counts: AnnouncementCounts,
}

impl Servers {
    /// Creates an empty table.
    pub fn new(cfg: ServersConfig) -> Self {
        Self {
            cfg,
            domains: IndexSet::new(),
            pools: IndexMap::new(),
            versions: IndexSet::new(),
            members: IndexMap::new(),
            former_members: IndexMap::new(),
            pending_deltas: IndexSet::new(),
            counts: AnnouncementCounts::default(),
        }
    }

    /// Applies the failure domains, pools and versions of a fleet file. Removes
    /// backend servers of pools or failure domains that are no longer
    /// configured and returns them.
    pub fn configure(&mut self, fleet: &Fleet) -> Vec<ServerAddr> {
        self.domains = fleet.domains.iter().cloned().collect();
        self.pools = fleet
            .pools
            .iter()
            .map(|p| (p.name.clone(), p.kind))
            .collect();
        self.versions.clear();
        for model in &fleet.models {
            let full = |v: &crate::fleet::Version| crate::ids::join_version(&model.name, &v.name);
            self.versions.extend(model.versions.iter().map(full));
        }
        let (pools, domains) = (&self.pools, &self.domains);
        let unknown =
            |m: &Member| !pools.contains_key(&m.last.pool) || !domains.contains(&m.last.domain);
        let out: Vec<ServerAddr> = self
            .members
            .iter()
            .filter(|(_, member)| unknown(member))
            .map(|(addr, _)| *addr)
            .collect();
        for addr in &out {
            self.members.swap_remove(addr);
        }
        out
    }

    /// Applies an announcement received from the backend server or from another
    /// entry.
    pub fn announce(&mut self, now: MonoTime, announcement: &Announcement) -> Announced {
        let announced = match self.fault(announcement) {
            Some(fault) => Announced::Ignored(fault),
            None => self.apply(now, announcement),
        };
        match announced {
            Announced::Stale => self.counts.stale += 1,
            Announced::Ignored(Fault::Domain) => self.counts.domain += 1,
            Announced::Ignored(Fault::Pool) => self.counts.pool += 1,
            Announced::Ignored(Fault::Incarnation) => self.counts.incarnation += 1,
            Announced::Ignored(Fault::TooMany) => self.counts.too_many += 1,
            _ => self.counts.accepted += 1,
        }
        if announced.should_propagate() {
            self.pending_deltas.insert(announcement.addr);
        }
        announced
    }

    /// Renews the lease of a backend server because it answered a request.
    ///
    /// Announcements and requests use different network paths. If only the path
    /// of announcements fails, backend servers that still answer must not
    /// expire.
    pub fn renew_lease(&mut self, now: MonoTime, addr: ServerAddr) {
        if let Some(member) = self.members.get_mut(&addr) {
            member.last_contact = member.last_contact.max(now);
        }
    }

    /// Removes backend servers whose lease has ended, or keeps them as
    /// unreachable if a partition is likely.
    pub fn tick(&mut self, now: MonoTime) -> Vec<ServerEvent> {
        let mut events = Vec::new();
        let silent: Vec<ServerAddr> = self
            .members
            .iter()
            .filter(|(_, m)| {
                m.reachability == Reachability::Reachable && self.silence(now, m) > self.cfg.lease
            })
            .map(|(addr, _)| *addr)
            .collect();
        let mut partitioned = IndexSet::new();
        for addr in &silent {
            let domain = self.members[addr].last.domain.clone();
            if !partitioned.contains(&domain) && self.is_partitioned(now, &domain) {
                events.push(ServerEvent::Partitioned(domain.clone()));
                partitioned.insert(domain);
            }
        }
        for addr in silent {
            let member = &mut self.members[&addr];
            if partitioned.contains(&member.last.domain) && !member.last.leaving {
                member.reachability = Reachability::Unreachable;
                events.push(ServerEvent::Unreachable(addr));
            } else {
                self.expire(addr);
                events.push(ServerEvent::Expired(addr));
            }
        }
        self.expire_unreachable(now, &mut events);
        events
    }

    /// Returns the last announcement of a reachable member.
    pub fn get(&self, addr: ServerAddr) -> Option<&Announcement> {
        let member = self.members.get(&addr)?;
        (member.reachability == Reachability::Reachable).then_some(&member.last)
    }

    /// Returns the last announcements of all reachable members.
    pub fn reachable(&self) -> impl Iterator<Item = &Announcement> {
        self.members
            .values()
            .filter(|member| member.reachability == Reachability::Reachable)
            .map(|member| &member.last)
    }

    /// Removes and returns the announcements that are to be sent to other
    /// entries.
    pub fn take_deltas(&mut self) -> Vec<Announcement> {
        let pending_deltas = std::mem::take(&mut self.pending_deltas);
        pending_deltas
            .iter()
            .filter_map(|addr| self.get(*addr).cloned())
            .collect()
    }

    /// Selects the backend servers of a pool that an entry uses. The selection
    /// is stable across restarts and even over the entries.
    pub fn subset(&self, entry: &InstanceId, pool: &str) -> Vec<ServerAddr> {
        let mut ranked: Vec<(u64, ServerAddr)> = self
            .reachable()
            .filter(|server| server.pool == pool)
            .map(|server| {
                let name = smol_str::format_smolstr!("{}", server.addr);
                (hash::rendezvous(entry, name.as_bytes()), server.addr)
            })
            .collect();
        ranked.sort_unstable_by(|a, b| b.cmp(a));
        ranked.truncate(self.cfg.subset);
        ranked.into_iter().map(|(_, addr)| addr).collect()
    }

    /// Returns the counts of announcements by outcome.
    pub fn counts(&self) -> AnnouncementCounts {
        self.counts
    }

    fn fault(&self, announcement: &Announcement) -> Option<Fault> {
        if announcement.incarnation == 0 {
            return Some(Fault::Incarnation);
        }
        if !self.domains.contains(&announcement.domain) {
            return Some(Fault::Domain);
        }
        if !self.pools.contains_key(&announcement.pool) {
            return Some(Fault::Pool);
        }
        let full = self.members.len() >= self.cfg.max_servers
            && !self.members.contains_key(&announcement.addr);
        (full || announcement.versions.len() > MAX_VERSIONS).then_some(Fault::TooMany)
    }

    fn apply(&mut self, now: MonoTime, announcement: &Announcement) -> Announced {
        let addr = announcement.addr;
        let Some(member) = self.members.get(&addr) else {
            return self.add_member(now, announcement);
        };
        let last = &member.last;
        let new_incarnation = announcement.incarnation != last.incarnation;
        if new_incarnation && self.has_ended(addr, announcement.incarnation) {
            return Announced::Stale;
        }
        if !new_incarnation && announcement.seq <= last.seq {
            return Announced::Stale;
        }
        let old = last.incarnation;
        let was_leaving = last.leaving && !new_incarnation;
        let updated = self.sanitized(announcement, was_leaving);
        let member = &mut self.members[&addr];
        let unchanged =
            member.last.versions == updated.versions && member.last.leaving == updated.leaving;
        let was_unreachable = member.reachability == Reachability::Unreachable;
        let announced = match () {
            () if new_incarnation => Announced::Restarted { old },
            () if was_unreachable => Announced::Reconnected,
            () if updated.leaving && !was_leaving => Announced::Leaving,
            () if unchanged => Announced::Refreshed,
            () => Announced::Changed,
        };
        let last_seq = member.last.seq;
        *member = Member {
            last: updated,
            last_contact: now,
            reachability: Reachability::Reachable,
        };
        if new_incarnation {
            self.record_former_member(addr, old, last_seq);
        }
        announced
    }

    fn add_member(&mut self, now: MonoTime, announcement: &Announcement) -> Announced {
        let addr = announcement.addr;
        if let Some((incarnation, seq)) = self.former_members.get(&addr)
            && *incarnation == announcement.incarnation
            && announcement.seq <= *seq
        {
            return Announced::Stale;
        }
        let last = self.sanitized(announcement, false);
        let member = Member {
            last,
            last_contact: now,
            reachability: Reachability::Reachable,
        };
        self.members.insert(addr, member);
        Announced::New
    }

    /// Returns whether an incarnation of an address ended before the present
    /// one began.
    ///
    /// Incarnations are random and cannot be ordered. Without this check a late
    /// announcement of an old incarnation would replace the present one.
    fn has_ended(&self, addr: ServerAddr, incarnation: Incarnation) -> bool {
        self.former_members
            .get(&addr)
            .is_some_and(|(old, _)| *old == incarnation)
    }

    /// Removes versions that are not configured, and keeps the leaving flag set
    /// once an incarnation is leaving.
    fn sanitized(&mut self, announcement: &Announcement, was_leaving: bool) -> Announcement {
        let mut updated = announcement.clone();
        updated
            .versions
            .retain(|version| self.versions.contains(version));
        self.counts.versions += (announcement.versions.len() - updated.versions.len()) as u64;
        updated.leaving |= was_leaving;
        updated
    }

    fn silence(&self, now: MonoTime, member: &Member) -> Duration {
        now.saturating_sub(member.last_contact)
    }

    /// Returns whether a failure domain is likely behind a partition.
    /// Announcements arrive at different times, so backend servers that are
    /// overdue by half a lease count as silent too. Otherwise the first whose
    /// lease ends would look like a single failure.
    fn is_partitioned(&self, now: MonoTime, domain: &str) -> bool {
        if !self.cfg.detect_partitions {
            return false;
        }
        let staying = || {
            self.members
                .values()
                .filter(|m| m.last.domain == domain && !m.last.leaving)
        };
        let all = staying().count();
        let silent = staying()
            .filter(|m| {
                m.reachability == Reachability::Unreachable
                    || self.silence(now, m) > self.cfg.lease / 2
            })
            .count();
        silent >= self.cfg.partition_min_servers
            && silent as f64 >= all as f64 * self.cfg.partition_share
    }

    fn expire_unreachable(&mut self, now: MonoTime, events: &mut Vec<ServerEvent>) {
        let expired: Vec<ServerAddr> = self
            .members
            .iter()
            .filter(|(_, m)| {
                m.reachability == Reachability::Unreachable
                    && self.silence(now, m) > self.cfg.unreachable_retention
            })
            .map(|(addr, _)| *addr)
            .collect();
        for addr in expired {
            self.expire(addr);
            events.push(ServerEvent::Expired(addr));
        }
    }

    fn expire(&mut self, addr: ServerAddr) {
        if let Some(member) = self.members.swap_remove(&addr) {
            self.record_former_member(addr, member.last.incarnation, member.last.seq);
        }
    }

    fn record_former_member(&mut self, addr: ServerAddr, incarnation: Incarnation, seq: u64) {
        if self.former_members.len() >= self.cfg.max_servers
            && !self.former_members.contains_key(&addr)
        {
            self.former_members.swap_remove_index(0);
        }
        self.former_members.insert(addr, (incarnation, seq));
    }
}
