//! Indexes of the directory, which keep the cost of merging announcements and of sampling
//! candidates independent of its size.

use std::{
    collections::{
        BTreeMap,
        BTreeSet,
        HashMap, //
    },
    net::SocketAddr,
    ops::Bound,
};

use smol_str::SmolStr;

use super::{
    ServerId,
    ServerIncarnation,
    ServerRecord,
    ServerState, //
};
use crate::{
    gateway::{
        config::ServiceId,
        loads::{
            self,
            ServerKey, //
        },
    },
    ids::{
        DomainId,
        MonoTime, //
    },
};

/// Backend servers ordered by key, which gives the same order in every process.
type ServerSet = BTreeSet<(ServerKey, ServerId)>;

/// Indexed properties of a backend server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(in crate::gateway) struct IndexedServer {
    key: ServerKey,
    pub(in crate::gateway) incarnation: ServerIncarnation,
    pub(in crate::gateway) state: ServerState,
    pub(in crate::gateway) version: SmolStr,
    service: ServiceId,
    domain: DomainId,
    addr: SocketAddr,
    /// When it was last heard of, once it is gone.
    gone_at: Option<MonoTime>,
}

impl IndexedServer {
    /// Extracts the indexed properties of a record.
    pub(super) fn from_record(record: &ServerRecord) -> Self {
        let announcement = &record.announcement;
        Self {
            key: loads::key(&announcement.id),
            incarnation: record.incarnation(),
            state: announcement.state,
            version: announcement.version.clone(),
            service: announcement.service.clone(),
            domain: announcement.domain.clone(),
            addr: announcement.addr,
            gone_at: (announcement.state == ServerState::Gone).then_some(record.last_heard_at),
        }
    }

    pub(in crate::gateway) fn key(&self) -> ServerKey {
        self.key
    }

    fn member(&self) -> (ServerKey, ServerId) {
        (self.key, self.incarnation.id.clone())
    }
}

/// Number of keys.
const KEY_SPACE: u64 = 1 << ServerKey::BITS;

/// Range of the key space, which may wrap around.
#[derive(Clone, Copy, Debug)]
pub struct Window {
    from: ServerKey,
    width: u64,
}

impl Window {
    /// The whole key space.
    pub const ALL: Self = Self {
        from: 0,
        width: KEY_SPACE,
    };

    /// Returns the range from a key on that is expected to hold between `max_servers / 2`
    /// and `max_servers` of `total` backend servers.
    ///
    /// Its width changes in powers of two, so that processes whose directories differ by a
    /// few backend servers use the same range.
    pub fn new(from: ServerKey, max_servers: usize, total: usize) -> Self {
        let window_count = total
            .div_ceil(max_servers.max(1))
            .max(1)
            .next_power_of_two();
        match window_count {
            1 => Self::ALL,
            _ => Self {
                from,
                width: (KEY_SPACE / window_count as u64).max(1),
            },
        }
    }

    /// Returns whether the window covers the whole key space.
    pub fn is_all(&self) -> bool {
        self.width >= KEY_SPACE
    }
}

/// Ready backend servers of a service with the same version and failure domain.
#[derive(Clone, Copy, Debug)]
pub struct ServerGroup<'a> {
    /// Failure domain.
    pub domain: &'a DomainId,
    /// Version.
    pub version: &'a SmolStr,
    members: &'a ServerSet,
}

impl<'a> ServerGroup<'a> {
    /// Returns the number of backend servers.
    pub fn count(&self) -> usize {
        self.members.len()
    }

    /// Iterates over the backend servers with a key in a window.
    pub(super) fn in_window(&self, window: Window) -> impl Iterator<Item = &'a ServerId> + use<'a> {
        let at = |point| (point, ServerId::default());
        let from = u64::from(window.from);
        let end = from + window.width;
        let wrapped = ServerKey::try_from(end.saturating_sub(KEY_SPACE)).unwrap_or(window.from);
        let until = match ServerKey::try_from(end) {
            Ok(end) => Bound::Excluded(at(end)),
            Err(_) => Bound::Unbounded,
        };
        let after = self
            .members
            .range((Bound::Included(at(window.from)), until));
        let before = self.members.range(..at(wrapped.min(window.from)));
        after.chain(before).map(|(_, id)| id)
    }
}

/// All indexes of a directory.
#[derive(Clone, Debug, Default)]
pub(super) struct Index {
    /// Ready backend servers.
    ready: BTreeMap<ServiceId, BTreeMap<(DomainId, SmolStr), ServerSet>>,
    /// Number of known backend servers of each service, including those that are gone.
    server_counts: BTreeMap<ServiceId, usize>,
    /// Backend servers at an address that are not gone.
    by_address: HashMap<SocketAddr, Vec<ServerId>>,
    by_key: ServerSet,
    /// Backend servers that are gone, oldest first.
    gone: BTreeSet<(MonoTime, ServerId)>,
}

impl Index {
    pub(super) fn insert(&mut self, indexed: &IndexedServer) {
        self.by_key.insert(indexed.member());
        *self
            .server_counts
            .entry(indexed.service.clone())
            .or_default() += 1;
        if let Some(at) = indexed.gone_at {
            self.gone.insert((at, indexed.incarnation.id.clone()));
            return;
        }
        let at = self.by_address.entry(indexed.addr).or_default();
        at.push(indexed.incarnation.id.clone());
        if indexed.state == ServerState::Ready {
            let groups = self.ready.entry(indexed.service.clone()).or_default();
            let group = (indexed.domain.clone(), indexed.version.clone());
            groups.entry(group).or_default().insert(indexed.member());
        }
    }

    pub(super) fn remove(&mut self, indexed: &IndexedServer) {
        let id = &indexed.incarnation.id;
        self.by_key.remove(&indexed.member());
        if let Some(count) = self.server_counts.get_mut(&indexed.service) {
            *count -= 1;
        }
        self.server_counts.retain(|_, count| *count > 0);
        if let Some(at) = indexed.gone_at {
            self.gone.remove(&(at, id.clone()));
            return;
        }
        if let Some(at) = self.by_address.get_mut(&indexed.addr) {
            at.retain(|there| there != id);
            if at.is_empty() {
                self.by_address.remove(&indexed.addr);
            }
        }
        if let Some(groups) = self.ready.get_mut(&indexed.service) {
            let group = (indexed.domain.clone(), indexed.version.clone());
            if let Some(members) = groups.get_mut(&group) {
                members.remove(&indexed.member());
            }
            groups.retain(|_, members| !members.is_empty());
        }
    }

    /// Returns the number of known backend servers of a service, including those that are
    /// gone.
    pub(super) fn count_of_service(&self, service: &str) -> usize {
        self.server_counts.get(service).copied().unwrap_or_default()
    }

    /// Returns the backend servers at an address that are not gone.
    pub(super) fn by_address(&self, addr: SocketAddr) -> &[ServerId] {
        self.by_address.get(&addr).map_or(&[], Vec::as_slice)
    }

    /// Iterates over the backend servers in an inclusive range of keys.
    pub(super) fn with_keys(
        &self,
        (first, last): (ServerKey, ServerKey),
    ) -> impl Iterator<Item = &ServerId> {
        let from = self.by_key.range((first, ServerId::default())..);
        from.take_while(move |(k, _)| *k <= last).map(|(_, id)| id)
    }

    /// Iterates over the groups of a service.
    pub(super) fn groups<'a>(
        &'a self,
        service: &str,
    ) -> impl Iterator<Item = ServerGroup<'a>> + use<'a> {
        let groups = self.ready.get(service).into_iter().flatten();
        groups.map(|((domain, version), members)| ServerGroup {
            domain,
            version,
            members,
        })
    }

    /// Returns the number of backend servers that are gone, and the one that went first.
    pub(super) fn gone(&self) -> (usize, Option<&ServerId>) {
        let oldest = self.gone.first().map(|(_, id)| id);
        (self.gone.len(), oldest)
    }
}
