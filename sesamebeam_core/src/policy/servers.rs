//! Membership of backend servers, from what they announce.
//!
//! A backend server is in while its lease lasts. Announcements are ordered by
//! incarnation and sequence number; what is older changes nothing. One that is
//! silent for a lease is out. Many of one failure domain that fall silent
//! together are a cut between them and this entry, not as many deaths: they are
//! kept as unreachable and are back with their first announcement.

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

/// Versions that one announcement may list.
const MAX_VERSIONS: usize = 256;

/// Settings of membership.
#[derive(Clone, Debug, PartialEq)]
pub struct ServersConfig {
    /// Silence after which a backend server is out.
    pub lease: Duration,
    /// Whether many silent at once are taken as a cut.
    pub see_cuts: bool,
    /// Share of a failure domain's backend servers whose silence is a cut.
    pub cut_share: f64,
    /// Fewest silent backend servers that are a cut.
    pub cut_least: usize,
    /// Time for which those behind a cut are kept.
    pub keep: Duration,
    /// Backend servers of one pool that this entry uses; the rest is left to
    /// other entries.
    pub subset: usize,
    /// Backend servers that are remembered.
    pub most: usize,
}

impl Default for ServersConfig {
    fn default() -> Self {
        Self {
            lease: Duration::from_secs(6),
            see_cuts: true,
            cut_share: 0.5,
            cut_least: 3,
            keep: Duration::from_secs(2 * 3600),
            subset: 700,
            most: 20_000,
        }
    }
}

/// What an announcement changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Announced {
    /// A backend server that was not known, or was out.
    New,
    /// One that was behind a cut is back.
    Back,
    /// A known one, in a new life; what ran in the old one is lost.
    Restarted {
        /// The life that is over.
        old: Incarnation,
    },
    /// Versions or leaving changed.
    Changed,
    /// It is leaving from now on.
    Leaving,
    /// Only its load and lease.
    Refreshed,
    /// Older than what is known: nothing.
    Old,
    /// Nothing, for a fault of the announcement.
    Ignored(Fault),
}

impl Announced {
    /// Tells whether other entries of the failure domain should hear of it.
    pub fn spreads(self) -> bool {
        match self {
            Self::New | Self::Back | Self::Restarted { .. } | Self::Changed | Self::Leaving => true,
            Self::Refreshed | Self::Old | Self::Ignored(_) => false,
        }
    }
}

/// Why an announcement is ignored.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// The configuration does not know the failure domain.
    Domain,
    /// The configuration does not know the pool.
    Pool,
    /// The incarnation is zero.
    Incarnation,
    /// Too many backend servers or versions.
    TooMany,
}

/// Announcements by what became of them, since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct AnnouncementCounts {
    /// Taken.
    pub taken: u64,
    /// Older than what is known.
    pub old: u64,
    /// Unknown failure domain.
    pub domain: u64,
    /// Unknown pool.
    pub pool: u64,
    /// Incarnation zero.
    pub incarnation: u64,
    /// Too many.
    pub too_many: u64,
    /// Unknown versions, left out of announcements that were taken.
    pub versions: u64,
}

/// What time changed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ServerEvent {
    /// Silent for a lease: out.
    Out(ServerAddr),
    /// Behind a cut: not chosen, but kept.
    Unreachable(ServerAddr),
    /// Many backend servers of a failure domain fell silent together.
    Cut(DomainId),
}

/// Whether a backend server can be reached.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Reach {
    In,
    Unreachable,
}

/// A known backend server.
#[derive(Clone, Debug)]
struct Member {
    last: Announcement,
    heard: MonoTime,
    reach: Reach,
}

/// Backend servers that announced themselves.
#[derive(Clone, Debug)]
pub struct Servers {
    cfg: ServersConfig,
    domains: IndexSet<DomainId>,
    pools: IndexMap<PoolId, PoolKind>,
    versions: IndexSet<VersionId>,
    members: IndexMap<ServerAddr, Member>,
    /// Last life of those that are out, against late announcements.
    gone: IndexMap<ServerAddr, (Incarnation, u64)>,
    spread: IndexSet<ServerAddr>,
    counts: AnnouncementCounts,
}

impl Servers {
    /// Starts without backend servers.
    pub fn new(cfg: ServersConfig) -> Self {
        Self {
            cfg,
            domains: IndexSet::new(),
            pools: IndexMap::new(),
            versions: IndexSet::new(),
            members: IndexMap::new(),
            gone: IndexMap::new(),
            spread: IndexSet::new(),
            counts: AnnouncementCounts::default(),
        }
    }

    /// Takes failure domains, pools and versions of a fleet file. Backend
    /// servers of a pool that is gone are out; they are listed.
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

    /// Takes an announcement, from the backend server or from another entry.
    pub fn announce(&mut self, now: MonoTime, announcement: &Announcement) -> Announced {
        let announced = match self.fault(announcement) {
            Some(fault) => Announced::Ignored(fault),
            None => self.take(now, announcement),
        };
        match announced {
            Announced::Old => self.counts.old += 1,
            Announced::Ignored(Fault::Domain) => self.counts.domain += 1,
            Announced::Ignored(Fault::Pool) => self.counts.pool += 1,
            Announced::Ignored(Fault::Incarnation) => self.counts.incarnation += 1,
            Announced::Ignored(Fault::TooMany) => self.counts.too_many += 1,
            _ => self.counts.taken += 1,
        }
        if announced.spreads() {
            self.spread.insert(announcement.addr);
        }
        announced
    }

    /// Counts an answer of a backend server as a sign of life.
    ///
    /// Announcements and requests take different ways: when only the way of
    /// announcements is cut, backend servers that answer must not be expelled.
    pub fn heard(&mut self, now: MonoTime, addr: ServerAddr) {
        if let Some(member) = self.members.get_mut(&addr) {
            member.heard = member.heard.max(now);
        }
    }

    /// Drops those whose lease is over, or keeps them as unreachable if the
    /// silence looks like a cut.
    pub fn tick(&mut self, now: MonoTime) -> Vec<ServerEvent> {
        let mut events = Vec::new();
        let silent: Vec<ServerAddr> = self
            .members
            .iter()
            .filter(|(_, m)| m.reach == Reach::In && self.silence(now, m) > self.cfg.lease)
            .map(|(addr, _)| *addr)
            .collect();
        let mut cut = IndexSet::new();
        for addr in &silent {
            let domain = self.members[addr].last.domain.clone();
            if !cut.contains(&domain) && self.is_cut(now, &domain) {
                events.push(ServerEvent::Cut(domain.clone()));
                cut.insert(domain);
            }
        }
        for addr in silent {
            let member = &mut self.members[&addr];
            if cut.contains(&member.last.domain) && !member.last.leaving {
                member.reach = Reach::Unreachable;
                events.push(ServerEvent::Unreachable(addr));
            } else {
                self.expel(addr);
                events.push(ServerEvent::Out(addr));
            }
        }
        self.drop_kept(now, &mut events);
        events
    }

    /// Gives the last announcement of a backend server that is in.
    pub fn get(&self, addr: ServerAddr) -> Option<&Announcement> {
        let member = self.members.get(&addr)?;
        (member.reach == Reach::In).then_some(&member.last)
    }

    /// Lists the backend servers that are in.
    pub fn all(&self) -> impl Iterator<Item = &Announcement> {
        self.members
            .values()
            .filter(|member| member.reach == Reach::In)
            .map(|member| &member.last)
    }

    /// Takes the announcements that other entries should hear of.
    pub fn take_deltas(&mut self) -> Vec<Announcement> {
        let spread = std::mem::take(&mut self.spread);
        spread
            .iter()
            .filter_map(|addr| self.get(*addr).cloned())
            .collect()
    }

    /// Chooses the backend servers of a pool that an entry uses: the same ones
    /// after a restart, and spread evenly over the entries.
    pub fn subset(&self, entry: &InstanceId, pool: &str) -> Vec<ServerAddr> {
        let mut ranked: Vec<(u64, ServerAddr)> = self
            .all()
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

    /// Counts announcements by what became of them.
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
        let full =
            self.members.len() >= self.cfg.most && !self.members.contains_key(&announcement.addr);
        (full || announcement.versions.len() > MAX_VERSIONS).then_some(Fault::TooMany)
    }

    fn take(&mut self, now: MonoTime, announcement: &Announcement) -> Announced {
        let addr = announcement.addr;
        let Some(member) = self.members.get(&addr) else {
            return self.take_new(now, announcement);
        };
        let last = &member.last;
        let newer_life = announcement.incarnation != last.incarnation;
        if newer_life && self.was_before(addr, announcement.incarnation) {
            return Announced::Old;
        }
        if !newer_life && announcement.seq <= last.seq {
            return Announced::Old;
        }
        let old = last.incarnation;
        let was_leaving = last.leaving && !newer_life;
        let next = self.cleaned(announcement, was_leaving);
        let member = &mut self.members[&addr];
        let same = member.last.versions == next.versions && member.last.leaving == next.leaving;
        let back = member.reach == Reach::Unreachable;
        let announced = match () {
            () if newer_life => Announced::Restarted { old },
            () if back => Announced::Back,
            () if next.leaving && !was_leaving => Announced::Leaving,
            () if same => Announced::Refreshed,
            () => Announced::Changed,
        };
        let last_seq = member.last.seq;
        *member = Member {
            last: next,
            heard: now,
            reach: Reach::In,
        };
        if newer_life {
            self.bury(addr, old, last_seq);
        }
        announced
    }

    fn take_new(&mut self, now: MonoTime, announcement: &Announcement) -> Announced {
        let addr = announcement.addr;
        if let Some((incarnation, seq)) = self.gone.get(&addr)
            && *incarnation == announcement.incarnation
            && announcement.seq <= *seq
        {
            return Announced::Old;
        }
        let last = self.cleaned(announcement, false);
        let member = Member {
            last,
            heard: now,
            reach: Reach::In,
        };
        self.members.insert(addr, member);
        Announced::New
    }

    /// Tells whether a life of an address ended before the present one began.
    ///
    /// Incarnations are random, so their order says nothing: an announcement of
    /// the old life that comes late would else bring it back.
    fn was_before(&self, addr: ServerAddr, incarnation: Incarnation) -> bool {
        self.gone
            .get(&addr)
            .is_some_and(|(old, _)| *old == incarnation)
    }

    /// Leaves out versions that the configuration does not know, and keeps a
    /// life that is leaving from coming back.
    fn cleaned(&mut self, announcement: &Announcement, was_leaving: bool) -> Announcement {
        let mut next = announcement.clone();
        next.versions
            .retain(|version| self.versions.contains(version));
        self.counts.versions += (announcement.versions.len() - next.versions.len()) as u64;
        next.leaving |= was_leaving;
        next
    }

    fn silence(&self, now: MonoTime, member: &Member) -> Duration {
        now.saturating_sub(member.heard)
    }

    /// Tells whether the silence in a failure domain is a cut. Announcements
    /// come at different times, so those overdue by half a lease count as
    /// silent too: the first whose lease ends would else look alone.
    fn is_cut(&self, now: MonoTime, domain: &str) -> bool {
        if !self.cfg.see_cuts {
            return false;
        }
        let staying = || {
            self.members
                .values()
                .filter(|m| m.last.domain == domain && !m.last.leaving)
        };
        let all = staying().count();
        let silent = staying()
            .filter(|m| m.reach == Reach::Unreachable || self.silence(now, m) > self.cfg.lease / 2)
            .count();
        silent >= self.cfg.cut_least && silent as f64 >= all as f64 * self.cfg.cut_share
    }

    fn drop_kept(&mut self, now: MonoTime, events: &mut Vec<ServerEvent>) {
        let over: Vec<ServerAddr> = self
            .members
            .iter()
            .filter(|(_, m)| m.reach == Reach::Unreachable && self.silence(now, m) > self.cfg.keep)
            .map(|(addr, _)| *addr)
            .collect();
        for addr in over {
            self.expel(addr);
            events.push(ServerEvent::Out(addr));
        }
    }

    fn expel(&mut self, addr: ServerAddr) {
        if let Some(member) = self.members.swap_remove(&addr) {
            self.bury(addr, member.last.incarnation, member.last.seq);
        }
    }

    fn bury(&mut self, addr: ServerAddr, incarnation: Incarnation, seq: u64) {
        if self.gone.len() >= self.cfg.most && !self.gone.contains_key(&addr) {
            self.gone.swap_remove_index(0);
        }
        self.gone.insert(addr, (incarnation, seq));
    }
}
