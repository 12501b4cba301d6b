//! Which orders engines need: what is loaded against what should be.

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

/// Most backend servers kept; announcements of further ones are passed over.
const MAX_SERVERS: usize = 20_000;

/// Backend servers as entries report them, and orders under way.
///
/// Held by the leader alone and never replicated: a new leader hears it anew
/// within one round of announcements, and an order is a desired state that does
/// no harm when it is given again.
#[derive(Clone, Debug, Default)]
pub(super) struct Orders {
    servers: BTreeMap<ServerAddr, Seen>,
    flights: BTreeMap<ServerAddr, Flight>,
    /// Time until which the weight store is taken.
    store_free: MonoTime,
    /// Time from which each withdrawn version was out of force everywhere.
    withdrawn: BTreeMap<VersionId, MonoTime>,
}

/// A backend server as last reported.
#[derive(Clone, Debug)]
struct Seen {
    announcement: Announcement,
    at: MonoTime,
}

/// An order under way.
#[derive(Clone, Debug)]
struct Flight {
    desired: Desired,
    fencing: Option<Fencing>,
    until: MonoTime,
    failed: bool,
}

impl Orders {
    /// Takes in what an entry reports of its failure domain.
    pub(super) fn see(&mut self, announcements: Vec<Announcement>, now: MonoTime) {
        for announcement in announcements {
            let addr = announcement.addr;
            let known = self.servers.get(&addr);
            let older = known.is_some_and(|seen| {
                seen.announcement.incarnation == announcement.incarnation
                    && seen.announcement.seq > announcement.seq
            });
            if older || (known.is_none() && self.servers.len() >= MAX_SERVERS) {
                continue;
            }
            let done = self
                .flights
                .get(&addr)
                .is_some_and(|flight| flight.desired.is_met_by(&announcement));
            if done {
                self.flights.remove(&addr);
            }
            let seen = Seen {
                announcement,
                at: now,
            };
            self.servers.insert(addr, seen);
        }
    }

    /// Drops silent backend servers and orders that showed no effect in time.
    pub(super) fn expire(&mut self, cfg: &ControlConfig, now: MonoTime) {
        self.servers
            .retain(|_, seen| seen.at + cfg.server_silence > now);
        self.flights.retain(|_, flight| flight.until > now);
    }

    /// Notes the fencing number that an order was given.
    pub(super) fn numbered(&mut self, order: &Order) {
        if let Some(flight) = self.flights.get_mut(&order.server) {
            flight.fencing = Some(order.fencing);
        }
    }

    /// Notes that an engine did not take an order. It is asked again when the
    /// order's time is over; until then another engine may be.
    pub(super) fn failed(&mut self, server: ServerAddr, fencing: Fencing) {
        if let Some(flight) = self.flights.get_mut(&server)
            && flight.fencing == Some(fencing)
        {
            flight.failed = true;
        }
    }

    /// Returns whether enough backend servers have a version loaded.
    pub(super) fn has_copies(&self, rollout: &Rollout, model: &Model) -> bool {
        let loaded = self.pool(&model.pool).filter(|a| a.has(&rollout.version));
        loaded.count() >= rollout.copies.max(1) as usize
    }

    /// Picks the next order that is needed and may be given now, and takes it as
    /// under way.
    pub(super) fn next(
        &mut self,
        cfg: &ControlConfig,
        state: &State,
        now: MonoTime,
    ) -> Option<Order> {
        self.follow_withdrawn(state, now);
        let order = self
            .next_load(cfg, state, now)
            .or_else(|| self.next_unload(cfg, state, now))?;
        let load = match &order.desired {
            Desired::Loaded(version) => load_time(cfg, state.fleet(), version),
            Desired::Unloaded(_) | Desired::Role(_) => Duration::ZERO,
        };
        self.store_free = self.store_free.max(now) + load;
        let flight = Flight {
            desired: order.desired.clone(),
            fencing: None,
            until: now + load + cfg.order_retry,
            failed: false,
        };
        self.flights.insert(order.server, flight);
        Some(order)
    }

    /// Takes back an order that the log did not take.
    pub(super) fn dropped(&mut self, server: ServerAddr) {
        self.flights.remove(&server);
    }

    /// Returns when an order may next become due by time alone.
    pub(super) fn next_wake(&self, now: MonoTime) -> Option<MonoTime> {
        let ends = self.flights.values().map(|flight| flight.until);
        let free = Some(self.store_free).filter(|free| *free > now);
        ends.chain(free).min()
    }

    fn next_load(&self, cfg: &ControlConfig, state: &State, now: MonoTime) -> Option<Order> {
        if self.store_free > now && !cfg.faults.ignore_load_pacing {
            return None;
        }
        let fleet = state.fleet();
        fleet.rollouts.iter().find_map(|rollout| {
            let active = match state.rollout(&rollout.version)? {
                RolloutState::Held => false,
                RolloutState::Loading | RolloutState::At(_) | RolloutState::Done => true,
            };
            let (model, _) = fleet.version(&rollout.version)?;
            if !active || self.copies(rollout, model) >= rollout.copies.max(1) as usize {
                return None;
            }
            let server = self.server_to_load(cfg, rollout, model)?;
            Some(order(server, Desired::Loaded(rollout.version.clone())))
        })
    }

    /// Counts the backend servers that have a version or are loading it.
    fn copies(&self, rollout: &Rollout, model: &Model) -> usize {
        let has = |a: &&Announcement| a.has(&rollout.version) || self.loads(a, &rollout.version);
        self.pool(&model.pool).filter(has).count()
    }

    fn loads(&self, announcement: &Announcement, version: &str) -> bool {
        let flight = self.flights.get(&announcement.addr);
        flight.is_some_and(|flight| {
            !flight.failed && matches!(&flight.desired, Desired::Loaded(v) if v == version)
        })
    }

    /// Picks the backend server to load a version on: in the failure domain with
    /// the fewest copies, the least loaded.
    ///
    /// An engine that loads may take no work meanwhile. With each engine of a
    /// pool loading at once, the pool answers nobody; so one always stays as it
    /// is. A pool of a single engine is loaded only while it serves nothing.
    fn server_to_load(
        &self,
        cfg: &ControlConfig,
        rollout: &Rollout,
        model: &Model,
    ) -> Option<ServerAddr> {
        let serving = self.pool(&model.pool).count();
        let busy = self.pool(&model.pool).filter(|a| self.is_busy(a)).count();
        let spare = busy + 1 < serving || cfg.faults.ignore_load_pacing;
        let candidates = self.pool(&model.pool).filter(|a| {
            let alone_and_empty = serving == 1 && a.versions.is_empty();
            !self.is_busy(a) && !a.has(&rollout.version) && (spare || alone_and_empty)
        });
        let best = candidates.min_by_key(|a| {
            let domain = &a.domain;
            let same_domain = |other: &&Announcement| {
                other.domain == *domain
                    && (other.has(&rollout.version) || self.loads(other, &rollout.version))
            };
            let copies = self.pool(&model.pool).filter(same_domain).count();
            (copies, a.load.running + a.load.waiting, a.addr)
        });
        best.map(|a| a.addr)
    }

    /// Picks a withdrawn version to unload, once every request that was sent to
    /// it before the withdrawal came in force is over.
    fn next_unload(&self, cfg: &ControlConfig, state: &State, now: MonoTime) -> Option<Order> {
        let deadlines = state.fleet().classes.iter().map(|class| class.deadline);
        let grace = deadlines.max().unwrap_or_default() + cfg.dispatch_bound;
        let over = |since: &MonoTime| *since + grace <= now;
        let mut versions = self.withdrawn.iter().filter(|(_, since)| over(since));
        versions.find_map(|(version, _)| {
            let mut servers = self.servers.values().map(|seen| &seen.announcement);
            let server = servers.find(|a| a.has(version) && !self.is_busy(a))?;
            Some(order(server.addr, Desired::Unloaded(version.clone())))
        })
    }

    fn follow_withdrawn(&mut self, state: &State, now: MonoTime) {
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
        self.flights.contains_key(&announcement.addr)
    }

    /// Lists the backend servers of a pool that take work.
    fn pool<'a>(&'a self, pool: &'a PoolId) -> impl Iterator<Item = &'a Announcement> {
        let servers = self.servers.values().map(|seen| &seen.announcement);
        servers.filter(move |a| a.pool == *pool && !a.leaving)
    }
}

impl Announcement {
    /// Tells whether the backend server has a version loaded.
    fn has(&self, version: &str) -> bool {
        self.versions.iter().any(|loaded| loaded == version)
    }
}

impl Desired {
    /// Tells whether an announcement shows this state.
    fn is_met_by(&self, announcement: &Announcement) -> bool {
        match self {
            Self::Loaded(version) => announcement.has(version),
            Self::Unloaded(version) => !announcement.has(version),
            Self::Role(_) => false,
        }
    }
}

fn order(server: ServerAddr, desired: Desired) -> Order {
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

/// Returns how long the weight store takes to give a version's weights.
fn load_time(cfg: &ControlConfig, fleet: &Fleet, version: &str) -> Duration {
    let bytes = fleet.version(version).map_or(0, |(_, v)| v.weight_bytes);
    Duration::from_secs_f64(bytes as f64 / cfg.weight_rate.max(1) as f64)
}
