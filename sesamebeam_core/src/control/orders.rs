//! Orders to engines: compares loaded versions with the desired ones.

use std::{
    collections::BTreeMap,
    time::Duration, //
};

use crate::{
    control::message::ControlConfig,
    fleet::{
        Fleet,
        Model,
        Rollout,
        VersionState, //
    },
    ids::{
        Fencing,
        MonoTime,
        PoolId,
        ServerAddr,
        VersionId, //
    },
    message::{
        command::{
            Desired,
            Order,
            RolloutState, //
        },
        server::Announcement,
    },
    state::State,
};

/// Maximum number of known backend servers. Announcements of further ones are
/// ignored.
const MAX_SERVERS: usize = 20_000;

/// Backend servers as reported by entries, and pending orders.
///
/// Held by the leader only and not replicated: a new leader learns the backend
/// servers within one announcement interval, and orders are idempotent because
/// they name a desired state.
#[derive(Clone, Debug, Default)]
pub(super) struct Orders {
    servers: BTreeMap<ServerAddr, KnownServer>,
    pending: BTreeMap<ServerAddr, PendingOrder>,
    /// Time until which the weight store is in use.
    store_busy_until: MonoTime,
    /// Time at which the withdrawal of each version was found to be in force.
    withdrawn: BTreeMap<VersionId, MonoTime>,
}

/// Last report about a backend server.
#[derive(Clone, Debug)]
struct KnownServer {
    announcement: Announcement,
    last_seen: MonoTime,
}

/// An order whose effect has not been announced yet.
#[derive(Clone, Debug)]
struct PendingOrder {
    desired: Desired,
    fencing: Option<Fencing>,
    deadline: MonoTime,
    failed: bool,
}

impl Orders {
    /// Records the backend servers that an entry reports of its failure domain.
    pub(super) fn record_announcements(&mut self, announcements: Vec<Announcement>, now: MonoTime) {
        for announcement in announcements {
            let addr = announcement.addr;
            let previous = self.servers.get(&addr);
            let stale = previous.is_some_and(|known| {
                known.announcement.incarnation == announcement.incarnation
                    && known.announcement.seq > announcement.seq
            });
            if stale || (previous.is_none() && self.servers.len() >= MAX_SERVERS) {
                continue;
            }
            let reached = self
                .pending
                .get(&addr)
                .is_some_and(|pending| pending.desired.is_reached_in(&announcement));
            if reached {
                self.pending.remove(&addr);
            }
            let known = KnownServer {
                announcement,
                last_seen: now,
            };
            self.servers.insert(addr, known);
        }
    }

    /// Removes silent backend servers and orders without effect in time.
    pub(super) fn remove_expired(&mut self, cfg: &ControlConfig, now: MonoTime) {
        self.servers
            .retain(|_, known| known.last_seen + cfg.server_timeout > now);
        self.pending.retain(|_, pending| pending.deadline > now);
    }

    /// Records the fencing number of a committed order.
    pub(super) fn set_fencing(&mut self, order: &Order) {
        if let Some(pending) = self.pending.get_mut(&order.server) {
            pending.fencing = Some(order.fencing);
        }
    }

    /// Records that an engine did not accept an order. The engine is selected again
    /// only after the deadline of the order; until then another one may be.
    pub(super) fn mark_failed(&mut self, server: ServerAddr, fencing: Fencing) {
        if let Some(pending) = self.pending.get_mut(&server)
            && pending.fencing == Some(fencing)
        {
            pending.failed = true;
        }
    }

    /// Returns whether enough backend servers have a version loaded.
    pub(super) fn has_copies(&self, rollout: &Rollout, model: &Model) -> bool {
        let loaded = self
            .pool_servers(&model.pool)
            .filter(|a| a.has_loaded(&rollout.version));
        loaded.count() >= rollout.copies.max(1) as usize
    }

    /// Selects the next order that is due and adds it to the pending ones.
    pub(super) fn next_order(
        &mut self,
        cfg: &ControlConfig,
        state: &State,
        now: MonoTime,
    ) -> Option<Order> {
        self.update_withdrawn(state, now);
        let order = self
            .next_load(cfg, state, now)
            .or_else(|| self.next_unload(cfg, state, now))?;
        let load = match &order.desired {
            Desired::Loaded(version) => load_time(cfg, state.fleet(), version),
            Desired::Unloaded(_) | Desired::Role(_) => Duration::ZERO,
        };
        self.store_busy_until = self.store_busy_until.max(now) + load;
        let pending = PendingOrder {
            desired: order.desired.clone(),
            fencing: None,
            deadline: now + load + cfg.order_retry,
            failed: false,
        };
        self.pending.insert(order.server, pending);
        Some(order)
    }

    /// Removes an order that the log rejected.
    pub(super) fn cancel(&mut self, server: ServerAddr) {
        self.pending.remove(&server);
    }

    /// Returns when an order may next become due without another event.
    pub(super) fn next_deadline(&self, now: MonoTime) -> Option<MonoTime> {
        let deadlines = self.pending.values().map(|pending| pending.deadline);
        let store_free = Some(self.store_busy_until).filter(|store_free| *store_free > now);
        deadlines.chain(store_free).min()
    }

    fn next_load(&self, cfg: &ControlConfig, state: &State, now: MonoTime) -> Option<Order> {
        if self.store_busy_until > now && !cfg.faults.ignore_load_pacing {
            return None;
        }
        let fleet = state.fleet();
        fleet.rollouts.iter().find_map(|rollout| {
            let active = match state.rollout(&rollout.version)? {
                RolloutState::Held => false,
                RolloutState::Loading | RolloutState::At(_) | RolloutState::Done => true,
            };
            let (model, _) = fleet.version(&rollout.version)?;
            if !active || self.count_copies(rollout, model) >= rollout.copies.max(1) as usize {
                return None;
            }
            let server = self.server_to_load(cfg, rollout, model)?;
            Some(new_order(server, Desired::Loaded(rollout.version.clone())))
        })
    }

    /// Returns the number of backend servers that have a version or are loading it.
    fn count_copies(&self, rollout: &Rollout, model: &Model) -> usize {
        let has_or_loads = |a: &&Announcement| {
            a.has_loaded(&rollout.version) || self.is_loading(a, &rollout.version)
        };
        self.pool_servers(&model.pool).filter(has_or_loads).count()
    }

    fn is_loading(&self, announcement: &Announcement, version: &str) -> bool {
        let pending = self.pending.get(&announcement.addr);
        pending.is_some_and(|pending| {
            !pending.failed && matches!(&pending.desired, Desired::Loaded(v) if v == version)
        })
    }

    /// Selects the backend server on which a version is loaded: the one with the
    /// least load in the failure domain with the fewest copies.
    ///
    /// An engine may not serve requests while it loads a version. If all engines
    /// of a pool loaded at once, the pool would be unavailable, so one engine
    /// always has no order pending. The only engine of a pool loads only while it
    /// has no version to serve.
    fn server_to_load(
        &self,
        cfg: &ControlConfig,
        rollout: &Rollout,
        model: &Model,
    ) -> Option<ServerAddr> {
        let serving = self.pool_servers(&model.pool).count();
        let busy = self
            .pool_servers(&model.pool)
            .filter(|a| self.is_busy(a))
            .count();
        let spare = busy + 1 < serving || cfg.faults.ignore_load_pacing;
        let candidates = self.pool_servers(&model.pool).filter(|a| {
            let alone_and_empty = serving == 1 && a.versions.is_empty();
            !self.is_busy(a) && !a.has_loaded(&rollout.version) && (spare || alone_and_empty)
        });
        let best = candidates.min_by_key(|a| {
            let domain = &a.domain;
            let same_domain = |other: &&Announcement| {
                other.domain == *domain
                    && (other.has_loaded(&rollout.version)
                        || self.is_loading(other, &rollout.version))
            };
            let copies = self.pool_servers(&model.pool).filter(same_domain).count();
            (copies, a.load.running + a.load.waiting, a.addr)
        });
        best.map(|a| a.addr)
    }

    /// Selects a withdrawn version to unload, once all requests that were sent to
    /// it before the withdrawal came into force are over.
    fn next_unload(&self, cfg: &ControlConfig, state: &State, now: MonoTime) -> Option<Order> {
        let deadlines = state.fleet().classes.iter().map(|class| class.deadline);
        let grace = deadlines.max().unwrap_or_default() + cfg.network_bound;
        let drained = |since: &MonoTime| *since + grace <= now;
        let mut versions = self.withdrawn.iter().filter(|(_, since)| drained(since));
        versions.find_map(|(version, _)| {
            let mut servers = self.servers.values().map(|known| &known.announcement);
            let server = servers.find(|a| a.has_loaded(version) && !self.is_busy(a))?;
            Some(new_order(server.addr, Desired::Unloaded(version.clone())))
        })
    }

    fn update_withdrawn(&mut self, state: &State, now: MonoTime) {
        let fleet = state.fleet();
        self.withdrawn
            .retain(|version, _| is_withdrawn(fleet, version));
        if state.in_force() < state.revision() {
            return;
        }
        for model in &fleet.models {
            for version in &model.versions {
                if version.state == VersionState::Withdrawn {
                    let full = crate::ids::join_version(&model.name, &version.name);
                    self.withdrawn.entry(full).or_insert(now);
                }
            }
        }
    }

    fn is_busy(&self, announcement: &Announcement) -> bool {
        self.pending.contains_key(&announcement.addr)
    }

    /// Returns the backend servers of a pool that are not leaving.
    fn pool_servers<'a>(&'a self, pool: &'a PoolId) -> impl Iterator<Item = &'a Announcement> {
        let servers = self.servers.values().map(|known| &known.announcement);
        servers.filter(move |a| a.pool == *pool && !a.leaving)
    }
}

impl Announcement {
    /// Returns whether the backend server has a version loaded.
    fn has_loaded(&self, version: &str) -> bool {
        self.versions.iter().any(|loaded| loaded == version)
    }
}

impl Desired {
    /// Returns whether an announcement shows this state.
    fn is_reached_in(&self, announcement: &Announcement) -> bool {
        match self {
            Self::Loaded(version) => announcement.has_loaded(version),
            Self::Unloaded(version) => !announcement.has_loaded(version),
            Self::Role(_) => false,
        }
    }
}

fn new_order(server: ServerAddr, desired: Desired) -> Order {
    Order {
        server,
        desired,
        fencing: 0,
    }
}

fn is_withdrawn(fleet: &Fleet, version: &str) -> bool {
    let found = fleet.version(version);
    found.is_some_and(|(_, version)| version.state == VersionState::Withdrawn)
}

/// Returns how long the weight store takes to transfer the weights of a version.
fn load_time(cfg: &ControlConfig, fleet: &Fleet, version: &str) -> Duration {
    let bytes = fleet.version(version).map_or(0, |(_, v)| v.weight_bytes);
    Duration::from_secs_f64(bytes as f64 / cfg.weight_store_bandwidth.max(1) as f64)
}
