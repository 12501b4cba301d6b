//! Directory of backend servers, built from their announcements.
//!
//! An announcement is made to any control replica, forwarded to all replicas and entries,
//! and may arrive in any order. Sequence numbers make the result of merging independent of
//! that order.

mod index;

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    time::Duration, //
};

use serde::{
    Deserialize,
    Serialize, //
};
use smol_str::SmolStr;

use self::index::Index;
pub(super) use self::index::IndexedServer;
pub use self::index::{
    ServerGroup,
    Window, //
};
use super::{
    config::ServiceId,
    digests::{
        self,
        BucketSet,
        Digests,
        Section,
        SectionDigests, //
    },
    loads::{
        self,
        ServerKey, //
    },
};
use crate::ids::{
    DomainId,
    ModelId,
    MonoTime, //
};

/// Id of a backend server. A restarted server may have the same id or another one.
pub type ServerId = SmolStr;

/// Start time of a backend server in Unix milliseconds by its own clock; 0 if it does not
/// provide one.
pub type StartTime = u64;

/// Start time of an incarnation that left and about which nothing else is known. No
/// announcement with the same id can bring it back.
pub const START_TIME_UNKNOWN: StartTime = StartTime::MAX;

/// One incarnation of a backend server. Its state and its sequence numbers end with it.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ServerIncarnation {
    /// Id of the backend server.
    pub id: ServerId,
    /// Start time.
    pub started_at: StartTime,
}

/// Number of ended incarnations that are remembered, so that a late announcement does not
/// revive one. 8,192 cover an hour at two replacements per second; each takes about 200
/// bytes.
const MAX_GONE: usize = 8192;

/// How much later than previously announced the end of the cold phase must be to count as
/// news. It exceeds the delay of announcements over a lossy network, and is less than any
/// cold phase.
const COLD_MARGIN: Duration = Duration::from_millis(1000);

/// Whether a backend server accepts requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum ServerState {
    /// Accepts requests.
    Ready,
    /// Will leave soon and accepts no new requests.
    Draining,
    /// Has left, or may leave without further notice.
    Gone,
}

/// Announcement of a backend server.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Announcement {
    /// Id of the backend server.
    pub id: ServerId,
    /// Start time of this incarnation.
    pub started_at: StartTime,
    /// Service that it belongs to.
    pub service: ServiceId,
    /// Address for requests.
    pub addr: SocketAddr,
    /// Failure domain.
    pub domain: DomainId,
    /// Version of its software.
    pub version: SmolStr,
    /// Number of requests it runs concurrently.
    pub slots: u32,
    /// Whether it accepts requests.
    pub state: ServerState,
    /// Remaining time for which it is cold: slow, and sensitive to more than a few
    /// requests.
    pub cold: Duration,
    /// Models that it has loaded.
    pub models: Vec<ModelId>,
    /// Increases with each announcement of this incarnation.
    pub sequence: u64,
}

/// A backend server as known to this process.
#[derive(Clone, Debug)]
pub struct ServerRecord {
    /// The newest announcement.
    pub announcement: Announcement,
    /// When it was last heard of, directly or through others.
    pub last_heard_at: MonoTime,
    /// When its cold phase ends, according to its announcement.
    pub cold_until: MonoTime,
}

/// All known backend servers.
#[derive(Clone, Debug, Default)]
pub struct Directory {
    servers: BTreeMap<ServerId, ServerRecord>,
    index: Index,
    /// Digests of the directory's contents.
    digests: Digests,
    /// Number of records examined to merge announcements.
    examined_records: u64,
}

impl Directory {
    /// Merges an announcement and returns whether it contains anything new beyond showing
    /// that the backend server is alive.
    ///
    /// An incarnation that has left stays gone, and a new incarnation at an address ends
    /// the older one there: otherwise an announcement delayed by a network partition would
    /// direct requests to a process that no longer exists. A server that restarts under the
    /// same id is a new incarnation, identified by its start time. Its sequence numbers
    /// start again, and announcements of older incarnations are ignored.
    ///
    /// `service_exists` tells whether the service is a known one. An announcement by a
    /// third party for a service that nobody provides must not end a working incarnation.
    pub fn merge(
        &mut self,
        now: MonoTime,
        announcement: Announcement,
        service_exists: bool,
    ) -> bool {
        self.examined_records += 1;
        let started_at = self
            .servers
            .get(&announcement.id)
            .map(|record| record.announcement.started_at);
        match started_at {
            Some(started_at) if announcement.started_at < started_at => return false,
            Some(started_at) if announcement.started_at == started_at => {
                let id = announcement.id.clone();
                return self.modify(&id, |record| record.update(now, announcement)) == Some(true);
            }
            Some(_) | None => {}
        }
        let mut announcement = announcement;
        if announcement.state != ServerState::Gone && self.is_superseded(&announcement) {
            announcement.state = ServerState::Gone;
        }
        if announcement.state != ServerState::Gone && service_exists {
            self.end_older_at_address(now, &announcement);
        }
        self.insert(ServerRecord {
            cold_until: now + announcement.cold,
            last_heard_at: now,
            announcement,
        });
        self.evict_oldest_gone();
        true
    }

    /// Returns the digests of the incarnations that are not gone.
    pub fn digests(&self) -> &Digests {
        &self.digests
    }

    /// Returns whether the announced service has any other backend server.
    pub fn has_other_server(&self, announcement: &Announcement) -> bool {
        let this = self.servers.get(&announcement.id);
        let is_of_it = this.is_some_and(|k| k.announcement.service == announcement.service);
        self.index.count_of_service(&announcement.service) > usize::from(is_of_it)
    }

    /// Marks a backend server as gone, identified by its id and optionally its start time.
    pub fn mark_gone(
        &mut self,
        now: MonoTime,
        id: &str,
        started_at: Option<StartTime>,
    ) -> Option<Announcement> {
        let record = self.servers.get(id)?;
        if started_at.is_some_and(|started_at| started_at != record.announcement.started_at) {
            return None;
        }
        let mut announcement = record.announcement.clone();
        announcement.state = ServerState::Gone;
        announcement.sequence += 1;
        self.modify(id, |record| record.update(now, announcement.clone()));
        Some(announcement)
    }

    /// Returns a backend server.
    pub fn get(&self, id: &str) -> Option<&ServerRecord> {
        self.servers.get(id)
    }

    /// Iterates over the backend servers that share a key, usually one.
    pub fn with_key(&self, key: ServerKey) -> impl Iterator<Item = &ServerRecord> {
        self.with_keys((key, key))
    }

    fn with_keys(&self, keys: (ServerKey, ServerKey)) -> impl Iterator<Item = &ServerRecord> {
        let ids = self.index.with_keys(keys);
        ids.filter_map(|id| self.servers.get(id))
    }

    /// Iterates over current announcements of the backend servers in some buckets,
    /// including those that are gone.
    pub fn announcements_in_buckets(
        &self,
        now: MonoTime,
        buckets: BucketSet,
    ) -> impl Iterator<Item = Announcement> {
        let keys = buckets.iter().map(digests::bucket_keys);
        let records = keys.flat_map(|keys| self.with_keys(keys));
        records.map(move |record| record.to_announcement(now))
    }

    /// Iterates over current announcements of the backend servers in some sections,
    /// including those that are gone.
    pub fn announcements_in_sections<'a>(
        &'a self,
        now: MonoTime,
        sections: &'a [Section],
    ) -> impl Iterator<Item = Announcement> + 'a {
        let keys = sections.iter().map(|&s| digests::section_keys(s));
        let records = keys.flat_map(|keys| self.with_keys(keys));
        records.map(move |record| record.to_announcement(now))
    }

    /// Returns the number of backend servers in a bucket, including those that are gone.
    pub fn count_in_bucket(&self, bucket: usize) -> usize {
        self.with_keys(digests::bucket_keys(bucket)).count()
    }

    /// Returns the section digests of some buckets.
    pub fn section_digests(&self, buckets: BucketSet) -> Vec<SectionDigests> {
        buckets
            .iter()
            .map(|bucket| self.digests_of_bucket(bucket))
            .collect()
    }

    /// Returns the sections that differ from those of another directory.
    pub fn differing_sections(&self, details: &[SectionDigests]) -> Vec<Section> {
        let differing = details.iter().filter_map(|other| {
            let own = self.digests_of_bucket(other.bucket()?);
            Some(own.differing(other).collect::<Vec<_>>())
        });
        differing.flatten().collect()
    }

    fn digests_of_bucket(&self, bucket: usize) -> SectionDigests {
        let records = self.with_keys(digests::bucket_keys(bucket));
        SectionDigests::compute(bucket, records.map(IndexedServer::from_record))
    }

    /// Iterates over current announcements of all backend servers, including those that are
    /// gone.
    pub fn announcements(&self, now: MonoTime) -> impl Iterator<Item = Announcement> + '_ {
        self.servers
            .values()
            .map(move |record| record.to_announcement(now))
    }

    /// Iterates over all known backend servers, including those that are gone.
    pub fn all(&self) -> impl Iterator<Item = &ServerRecord> + '_ {
        self.servers.values()
    }

    /// Returns the number of known backend servers, including those that are gone.
    pub fn count(&self) -> usize {
        self.servers.len()
    }

    /// Iterates over the ready backend servers of a service in groups.
    pub fn groups<'a>(&'a self, service: &str) -> impl Iterator<Item = ServerGroup<'a>> + use<'a> {
        self.index.groups(service)
    }

    /// Iterates over the backend servers of a group with a key in a window.
    pub fn members<'a>(
        &'a self,
        group: &ServerGroup<'a>,
        window: Window,
    ) -> impl Iterator<Item = &'a ServerRecord> + use<'a> {
        let ids = group.in_window(window);
        ids.filter_map(|id| self.servers.get(id))
    }

    /// Iterates over the ready backend servers of a service.
    pub fn ready<'a>(&'a self, service: &str) -> impl Iterator<Item = &'a ServerRecord> + use<'a> {
        let groups = self.groups(service);
        groups.flat_map(|group| self.members(&group, Window::ALL))
    }

    /// Returns the number of records examined to merge announcements.
    pub fn examined_records(&self) -> u64 {
        self.examined_records
    }

    /// Returns whether another incarnation has announced itself in place of one: under the same
    /// id, or at its address.
    pub fn is_replaced(&self, server: &ServerIncarnation, addr: SocketAddr) -> bool {
        let known = self.servers.get(&server.id);
        if known.is_some_and(|k| k.announcement.started_at > server.started_at) {
            return true;
        }
        let is_gone = |id: &ServerId| {
            let record = self.servers.get(id);
            record.is_none_or(|k| k.announcement.state == ServerState::Gone)
        };
        let others = self.index.by_address(addr).iter();
        is_gone(&server.id) && others.filter(|o| **o != server.id).any(|o| !is_gone(o))
    }

    /// Returns whether an incarnation that started later is at the same address.
    fn is_superseded(&mut self, announcement: &Announcement) -> bool {
        let at_address = self.index.by_address(announcement.addr);
        self.examined_records += at_address.len() as u64;
        let mut records = at_address.iter().filter_map(|id| self.servers.get(id));
        records.any(|k| k.announcement.started_at > announcement.started_at)
    }

    fn end_older_at_address(&mut self, now: MonoTime, newer: &Announcement) {
        let at_address = self.index.by_address(newer.addr).to_vec();
        self.examined_records += at_address.len() as u64;
        for id in at_address.into_iter().filter(|id| *id != newer.id) {
            self.modify(&id, |record| {
                if record.announcement.started_at <= newer.started_at {
                    record.announcement.state = ServerState::Gone;
                    record.last_heard_at = now;
                }
            });
        }
    }

    fn evict_oldest_gone(&mut self) {
        let (ended, oldest) = self.index.gone();
        let oldest = oldest.filter(|_| ended > MAX_GONE).cloned();
        if let Some(id) = oldest {
            self.remove(&id);
        }
    }

    /// Modifies a record and keeps the index and digests in sync.
    fn modify<T>(&mut self, id: &str, modify: impl FnOnce(&mut ServerRecord) -> T) -> Option<T> {
        let record = self.servers.get_mut(id)?;
        let before = IndexedServer::from_record(record);
        let result = modify(record);
        let after = IndexedServer::from_record(record);
        if before != after {
            self.index.remove(&before);
            self.index.insert(&after);
            self.digests.toggle(&before);
            self.digests.toggle(&after);
        }
        Some(result)
    }

    /// Inserts a record in place of any previous incarnation with the same id.
    fn insert(&mut self, record: ServerRecord) {
        self.remove(&record.announcement.id);
        let indexed = IndexedServer::from_record(&record);
        self.index.insert(&indexed);
        self.digests.toggle(&indexed);
        self.servers.insert(record.announcement.id.clone(), record);
    }

    fn remove(&mut self, id: &str) {
        if let Some(record) = self.servers.remove(id) {
            let indexed = IndexedServer::from_record(&record);
            self.index.remove(&indexed);
            self.digests.toggle(&indexed);
        }
    }
}

impl ServerRecord {
    /// Returns the key.
    pub fn key(&self) -> ServerKey {
        loads::key(&self.announcement.id)
    }

    /// Returns the incarnation.
    pub fn incarnation(&self) -> ServerIncarnation {
        ServerIncarnation {
            id: self.announcement.id.clone(),
            started_at: self.announcement.started_at,
        }
    }

    /// Returns the announcement to pass on now, with the cold time reduced by the time that
    /// has passed since it was received.
    pub fn to_announcement(&self, now: MonoTime) -> Announcement {
        Announcement {
            cold: self.cold_until.saturating_sub(now),
            ..self.announcement.clone()
        }
    }

    /// Updates the end of the cold phase from a newer announcement, and returns whether the
    /// server has become cold again.
    ///
    /// Announcements repeat the same remaining time, so an end that is later by less than
    /// [`COLD_MARGIN`] only shows that the announcement was delayed for longer.
    fn update_cold(&mut self, now: MonoTime, announcement: &Announcement) -> bool {
        if announcement.sequence <= self.announcement.sequence {
            return false;
        }
        let before = std::mem::replace(&mut self.cold_until, now + announcement.cold);
        !announcement.cold.is_zero() && self.cold_until > before + COLD_MARGIN
    }

    /// Merges a newer announcement of the same incarnation and returns whether it contains
    /// anything new. The service and address of an incarnation never change; an
    /// announcement that differs in them was not made by the server itself.
    fn update(&mut self, now: MonoTime, announcement: Announcement) -> bool {
        let is_older = announcement.sequence <= self.announcement.sequence
            && announcement.state <= self.announcement.state;
        let has_moved = announcement.state != ServerState::Gone
            && (&announcement.service, announcement.addr)
                != (&self.announcement.service, self.announcement.addr);
        if self.announcement.state == ServerState::Gone || is_older || has_moved {
            return false;
        }
        self.last_heard_at = now;
        let is_cold_again = self.update_cold(now, &announcement);
        let sequence = self.announcement.sequence.max(announcement.sequence);
        let state = self.announcement.state.max(announcement.state);
        let is_same = Announcement {
            sequence: self.announcement.sequence,
            cold: self.announcement.cold,
            ..announcement.clone()
        } == self.announcement;
        self.announcement = Announcement {
            sequence,
            state,
            ..announcement
        };
        !is_same || is_cold_again
    }
}
