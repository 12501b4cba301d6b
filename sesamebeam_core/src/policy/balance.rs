//! Load balancing: selects the backend server with the least expected response
//! time among a small random sample.

mod server_state;

use std::time::Duration;

use indexmap::IndexMap;
use rand::{
    RngExt,
    SeedableRng,
    rngs::StdRng, //
};
use smol_str::SmolStr;

use self::server_state::ServerState;
use super::backoff::RequestedPause;
use crate::{
    fleet::{
        Fleet,
        Priority, //
    },
    ids::{
        DomainId,
        MonoTime,
        PoolId,
        ServerAddr,
        VersionId, //
    },
    message::{
        record::ServerIncarnation,
        server::{
            Announcement,
            Load, //
        },
    },
};

/// Maximum number of backend servers recorded per prefix.
const MAX_HOLDERS: usize = 4;

/// Maximum number of recorded prefixes. When it is reached, each new prefix
/// evicts one, in cyclic order of the table's positions.
const MAX_PREFIXES: usize = 65_536;

/// Largest number of running or waiting requests that a load report may state.
const MAX_LOAD: u32 = 100_000;

/// Largest generation speed, in tokens per second, that an announcement may
/// state.
const MAX_SPEED: f32 = 100_000.0;

/// Settings of load balancing.
#[derive(Clone, Debug, PartialEq)]
pub struct BalanceConfig {
    /// Number of backend servers sampled per request; 1 disables the
    /// comparison.
    pub sample_size: usize,
    /// Whether the load reported by backend servers is used in addition to this
    /// entry's own in-flight requests.
    pub reported_load: bool,
    /// Half-life of the weight of a load report.
    pub load_half_life: Duration,
    /// Whether prefix cache hints are used.
    pub prefix_hints: bool,
    /// Time over which the share of a new backend server grows to its full
    /// value; zero disables slow start.
    pub slow_start: Duration,
    /// Expected queueing time in the local failure domain above which other
    /// failure domains are considered.
    pub spill_threshold: Duration,
    /// Penalty added to the expected response time of backend servers in other
    /// failure domains.
    pub remote_penalty: Duration,
    /// Prefill speed in prompt tokens per second.
    pub prefill_speed: f64,
    /// Time for which an unresponsive backend server is not selected.
    pub avoid_duration: Duration,
    /// Maximum number of requests that this entry has in flight on one backend
    /// server, as a multiple of its slots. It bounds the number of connections;
    /// requests to a pool without room are refused.
    pub max_in_flight_per_slot: f64,
}

impl Default for BalanceConfig {
    fn default() -> Self {
        Self {
            sample_size: 3,
            reported_load: true,
            load_half_life: Duration::from_secs(2),
            prefix_hints: true,
            slow_start: Duration::from_secs(10),
            spill_threshold: Duration::from_millis(50),
            remote_penalty: Duration::from_millis(5),
            prefill_speed: 4000.0,
            avoid_duration: Duration::from_secs(10),
            max_in_flight_per_slot: 2.0,
        }
    }
}

/// Destination of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Route<'a> {
    /// Backend servers that have a version loaded, given by its full name.
    Version(&'a str),
    /// Backend servers of a pool of plain services.
    Service(&'a str),
}

/// Input of one selection.
#[derive(Clone, Copy, Debug)]
pub struct PickInput<'a> {
    /// Destination of the request.
    pub route: Route<'a>,
    /// Hash of the prompt's prefix, if the prefix is worth caching.
    pub prefix: Option<u64>,
    /// Number of tokens in the prompt.
    pub prompt_tokens: u32,
    /// Maximum number of tokens in the answer.
    pub max_tokens: u32,
    /// Priority of the request.
    pub priority: Priority,
    /// Backend servers to skip because an earlier attempt there failed.
    pub exclude: &'a [ServerAddr],
    /// Whether the request must run isolated from other requests because it is
    /// suspected of crashing backend servers.
    pub isolated: bool,
}

/// A backend server that was considered, with its score.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ScoredServer {
    /// Address at which it receives requests.
    pub addr: ServerAddr,
    /// Expected time until the complete answer.
    pub wait: Duration,
    /// Whether its cache is expected to hold the prefix.
    pub cached: bool,
    /// Whether it is in the same failure domain as this entry.
    pub local: bool,
    /// Whether it cannot accept another request.
    pub full: bool,
}

/// The selected backend server and the alternatives considered.
#[derive(Clone, Debug, PartialEq)]
pub struct Pick {
    /// The selected backend server and its incarnation.
    pub server: ServerIncarnation,
    /// Expected time until the complete answer.
    pub wait: Duration,
    /// All backend servers that were considered.
    pub considered: Vec<ScoredServer>,
}

/// Counts of rejected load reports since the start, by reason.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LoadCounts {
    /// Reports with a value that is not a number, negative or above the
    /// accepted maximum.
    pub out_of_range: u64,
    /// Reports that were too old to be useful.
    pub stale: u64,
}

/// Indices of the backend servers that serve one route, by failure domain.
#[derive(Clone, Debug, Default)]
struct RouteServers {
    local: Vec<u32>,
    remote: Vec<u32>,
}

/// Backend servers and their load, as seen by this entry.
#[derive(Debug)]
pub struct Balance {
    cfg: BalanceConfig,
    domain: DomainId,
    rng: StdRng,
    slots_by_pool: IndexMap<PoolId, u32>,
    servers: IndexMap<ServerAddr, ServerState>,
    versions: IndexMap<VersionId, RouteServers>,
    services: IndexMap<PoolId, RouteServers>,
    prefixes: IndexMap<u64, Vec<ServerAddr>>,
    prefix_cursor: usize,
    routes_dirty: bool,
    /// Latest time passed in by a caller.
    latest_time: MonoTime,
    counts: LoadCounts,
    scratch: Vec<u32>,
}

impl Balance {
    /// Creates a balancer without backend servers for a failure domain, with a
    /// random seed.
    pub fn new(cfg: BalanceConfig, domain: DomainId, seed: u64) -> Self {
        Self {
            cfg,
            domain,
            rng: StdRng::seed_from_u64(seed),
            slots_by_pool: IndexMap::new(),
            servers: IndexMap::new(),
            versions: IndexMap::new(),
            services: IndexMap::new(),
            prefixes: IndexMap::new(),
            prefix_cursor: 0,
            routes_dirty: false,
            latest_time: MonoTime::ZERO,
            counts: LoadCounts::default(),
            scratch: Vec::new(),
        }
    }

    /// Applies the slots per pool of a fleet file.
    pub fn configure(&mut self, fleet: &Fleet) {
        self.slots_by_pool = fleet
            .pools
            .iter()
            .map(|p| (p.name.clone(), p.slots.max(1)))
            .collect();
        for state in self.servers.values_mut() {
            state.slots = self.slots_by_pool.get(&state.pool).copied().unwrap_or(1);
        }
    }

    /// Adds or updates a backend server from its announcement.
    pub fn upsert(&mut self, now: MonoTime, server: &Announcement) {
        let slots = self.slots_by_pool.get(&server.pool).copied().unwrap_or(1);
        let local = server.domain == self.domain;
        let known = self
            .servers
            .get(&server.addr)
            .is_some_and(|state| state.incarnation == server.incarnation);
        if !known {
            self.servers
                .insert(server.addr, ServerState::new(now, server, slots, local));
            self.routes_dirty = true;
        }
        let state = &mut self.servers[&server.addr];
        if state.versions != server.versions || state.leaving != server.leaving {
            state.versions.clone_from(&server.versions);
            state.leaving = server.leaving;
            self.routes_dirty = true;
        }
        if server.speed.is_finite() && (1.0..MAX_SPEED).contains(&server.speed) {
            state.speed = f64::from(server.speed);
        }
        self.apply_load(now, server.addr, server.load);
        for event in &server.cache {
            match event.held {
                true => self.add_prefix_holder(event.prefix, server.addr),
                false => self.remove_prefix_holder(event.prefix, server.addr),
            }
        }
    }

    /// Applies a load report, or counts why it is rejected.
    pub fn apply_load(&mut self, now: MonoTime, addr: ServerAddr, load: Load) {
        self.latest_time = self.latest_time.max(now);
        let out_of_range = load.running > MAX_LOAD
            || load.waiting > MAX_LOAD
            || !(0.0..=1.0).contains(&load.kv_used);
        if out_of_range {
            self.counts.out_of_range += 1;
            return;
        }
        let age = Duration::from_millis(u64::from(load.age_ms));
        if age > self.cfg.load_half_life * 8 {
            self.counts.stale += 1;
            return;
        }
        if let Some(state) = self.servers.get_mut(&addr) {
            state.apply_load(now, age, load);
        }
    }

    /// Removes a backend server that is no longer a member.
    pub fn remove(&mut self, addr: ServerAddr) {
        if self.servers.swap_remove(&addr).is_some() {
            self.routes_dirty = true;
        }
    }

    /// Stops selecting a backend server for a while because it did not respond.
    pub fn avoid(&mut self, now: MonoTime, addr: ServerAddr) {
        let until = now + self.cfg.avoid_duration;
        if let Some(state) = self.servers.get_mut(&addr) {
            state.avoid_until = until;
        }
    }

    /// Records that a backend server rejected a request because it had no room.
    pub fn refused(&mut self, now: MonoTime, addr: ServerAddr) {
        if let Some(state) = self.servers.get_mut(&addr) {
            state.refused(now);
        }
    }

    /// Applies the pause that an incarnation of a backend server requested, if
    /// any, unless an earlier pause ends later. A pause ends only when its time
    /// is over.
    pub fn pause(&mut self, now: MonoTime, server: ServerIncarnation, requested: Option<Duration>) {
        let state = self.servers.get_mut(&server.addr);
        let state = state.filter(|state| state.incarnation == server.incarnation);
        let (Some(state), Some(requested)) = (state, requested) else {
            return;
        };
        let pause = RequestedPause::new(now, requested);
        if state.pause.is_none_or(|known| pause.ends_after(known)) {
            state.pause = Some(pause);
        }
    }

    /// Returns the pause that ends first if every backend server that serves a
    /// route has requested one, or `None` otherwise.
    pub fn route_pause(&self, now: MonoTime, route: Route<'_>) -> Option<RequestedPause> {
        let serving = self.servers.values().filter(|state| !state.leaving);
        let serving = serving.filter(|state| state.serves(route));
        let pauses: Option<Vec<RequestedPause>> =
            serving.map(|state| state.pause_at(now)).collect();
        pauses?.into_iter().min_by_key(|pause| pause.until())
    }

    /// Makes a backend server selectable again because it responded.
    pub fn answered(&mut self, addr: ServerAddr) {
        if let Some(state) = self.servers.get_mut(&addr) {
            state.avoid_until = MonoTime::ZERO;
        }
    }

    /// Records that a request was sent.
    pub fn started(&mut self, addr: ServerAddr, prefix: Option<u64>, isolated: bool) {
        if let Some(state) = self.servers.get_mut(&addr) {
            state.set_in_flight(self.latest_time, state.in_flight + 1);
            state.isolated += u32::from(isolated);
        }
        if let Some(prefix) = prefix {
            self.add_prefix_holder(prefix, addr);
        }
    }

    /// Records that a request ended, with its response time if the answer was
    /// complete.
    pub fn finished(&mut self, addr: ServerAddr, isolated: bool, took: Option<Duration>) {
        let Some(state) = self.servers.get_mut(&addr) else {
            return;
        };
        state.set_in_flight(self.latest_time, state.in_flight.saturating_sub(1));
        state.isolated = state.isolated.saturating_sub(u32::from(isolated));
        if let Some(took) = took {
            state.record_duration(took);
        }
    }

    /// Selects a backend server, or `None` if every one that serves the route
    /// is full, avoided, paused or excluded.
    ///
    /// A small random sample is compared by expected response time. If the
    /// least loaded backend server were always selected, all entries would send
    /// to the same one until its next load report.
    pub fn pick(&mut self, now: MonoTime, input: &PickInput<'_>) -> Option<Pick> {
        self.latest_time = self.latest_time.max(now);
        self.refresh_routes();
        let mut considered = Vec::with_capacity(self.cfg.sample_size + MAX_HOLDERS);
        self.sample_servers(input, true);
        self.score_sampled(now, input, &mut considered);
        let best_local = best(&considered);
        if best_local.is_none_or(|index| {
            considered[index].wait > self.cfg.spill_threshold + self.unqueued_time(input)
        }) {
            self.sample_servers(input, false);
            self.score_sampled(now, input, &mut considered);
        }
        let index = best(&considered).or_else(|| self.score_all(now, input, &mut considered))?;
        let (_, state) = self.servers.get_key_value(&considered[index].addr)?;
        Some(Pick {
            server: ServerIncarnation {
                addr: considered[index].addr,
                incarnation: state.incarnation,
            },
            wait: considered[index].wait,
            considered,
        })
    }

    /// Returns whether a backend server may still receive new requests: it is
    /// known with this incarnation, is not leaving and has not requested a
    /// pause. Checked again immediately before sending.
    pub fn accepts_requests(&self, now: MonoTime, server: ServerIncarnation) -> bool {
        let state = self.servers.get(&server.addr);
        let state = state.filter(|state| state.incarnation == server.incarnation);
        state.is_some_and(|state| !state.leaving && state.pause_at(now).is_none())
    }

    /// Returns whether any backend server currently serves a route.
    pub fn serves(&mut self, route: Route<'_>) -> bool {
        self.refresh_routes();
        self.servers_of(route)
            .is_some_and(|serving| !serving.local.is_empty() || !serving.remote.is_empty())
    }

    /// Returns the slots of a pool that this entry may use: the free slots in
    /// its own failure domain, and half of the free slots in other failure
    /// domains, which other entries may use as well.
    pub fn capacity(&self, now: MonoTime, pool: &str) -> u32 {
        let mut local = 0.0;
        let mut remote = 0.0;
        for state in self.servers.values() {
            let unavailable =
                state.leaving || state.avoid_until > now || state.pause_at(now).is_some();
            if state.pool != pool || unavailable {
                continue;
            }
            let free_slots = state.free_slots(now, &self.cfg);
            match state.local {
                true => local += free_slots,
                false => remote += free_slots,
            }
        }
        (local + remote / 2.0) as u32
    }

    /// Returns the number of requests that this entry has in flight on a
    /// backend server.
    pub fn in_flight(&self, addr: ServerAddr) -> u32 {
        self.servers.get(&addr).map_or(0, |state| state.in_flight)
    }

    /// Returns the pool of a backend server.
    pub fn pool_of(&self, addr: ServerAddr) -> Option<&SmolStr> {
        self.servers.get(&addr).map(|state| &state.pool)
    }

    /// Returns the counts of rejected load reports.
    pub fn counts(&self) -> LoadCounts {
        self.counts
    }

    fn add_prefix_holder(&mut self, prefix: u64, addr: ServerAddr) {
        if !self.prefixes.contains_key(&prefix) && self.prefixes.len() >= MAX_PREFIXES {
            self.prefix_cursor = (self.prefix_cursor + 1) % MAX_PREFIXES;
            self.prefixes.swap_remove_index(self.prefix_cursor);
        }
        let holders = self.prefixes.entry(prefix).or_default();
        if holders.contains(&addr) {
            return;
        }
        if holders.len() >= MAX_HOLDERS {
            holders.remove(0);
        }
        holders.push(addr);
    }

    fn remove_prefix_holder(&mut self, prefix: u64, addr: ServerAddr) {
        if let Some(holders) = self.prefixes.get_mut(&prefix) {
            holders.retain(|holder| *holder != addr);
            if holders.is_empty() {
                self.prefixes.swap_remove(&prefix);
            }
        }
    }

    fn servers_of(&self, route: Route<'_>) -> Option<&RouteServers> {
        match route {
            Route::Version(version) => self.versions.get(version),
            Route::Service(pool) => self.services.get(pool),
        }
    }

    /// Rebuilds the route lists if the membership has changed.
    fn refresh_routes(&mut self) {
        if !std::mem::take(&mut self.routes_dirty) {
            return;
        }
        self.versions.clear();
        self.services.clear();
        for (index, state) in self.servers.values().enumerate() {
            if state.leaving {
                continue;
            }
            let index = index as u32;
            for version in &state.versions {
                self.versions
                    .entry(version.clone())
                    .or_default()
                    .add(index, state.local);
            }
            if state.versions.is_empty() {
                self.services
                    .entry(state.pool.clone())
                    .or_default()
                    .add(index, state.local);
            }
        }
    }

    /// Samples backend servers of the route into `scratch` and adds those that
    /// hold the prefix.
    fn sample_servers(&mut self, input: &PickInput<'_>, local: bool) {
        let mut sampled = std::mem::take(&mut self.scratch);
        sampled.clear();
        let serving = match input.route {
            Route::Version(version) => self.versions.get(version),
            Route::Service(pool) => self.services.get(pool),
        };
        let candidates: &[u32] = match serving {
            Some(serving) if local => &serving.local,
            Some(serving) => &serving.remote,
            None => &[],
        };
        if candidates.len() <= self.cfg.sample_size {
            sampled.extend_from_slice(candidates);
        } else {
            while sampled.len() < self.cfg.sample_size.max(1) {
                let index = candidates[self.rng.random_range(0..candidates.len())];
                if !sampled.contains(&index) {
                    sampled.push(index);
                }
            }
            self.add_prefix_holders(input, local, &mut sampled);
        }
        self.scratch = sampled;
    }

    fn add_prefix_holders(&self, input: &PickInput<'_>, local: bool, sampled: &mut Vec<u32>) {
        if !self.cfg.prefix_hints {
            return;
        }
        let holders = input.prefix.and_then(|prefix| self.prefixes.get(&prefix));
        for addr in holders.into_iter().flatten() {
            let Some((index, _, state)) = self.servers.get_full(addr) else {
                continue;
            };
            let index = index as u32;
            if state.local == local
                && !state.leaving
                && state.serves(input.route)
                && !sampled.contains(&index)
            {
                sampled.push(index);
            }
        }
    }

    fn score_sampled(
        &mut self,
        now: MonoTime,
        input: &PickInput<'_>,
        considered: &mut Vec<ScoredServer>,
    ) {
        let sampled = std::mem::take(&mut self.scratch);
        considered.extend(
            sampled
                .iter()
                .filter_map(|index| self.score(now, input, *index)),
        );
        self.scratch = sampled;
    }

    /// Scores every backend server of the route. Used when all sampled ones are
    /// full or avoided, because a request may only be refused if the whole pool
    /// is full.
    fn score_all(
        &mut self,
        now: MonoTime,
        input: &PickInput<'_>,
        considered: &mut Vec<ScoredServer>,
    ) -> Option<usize> {
        let serving = self.servers_of(input.route)?;
        let all: Vec<u32> = serving
            .local
            .iter()
            .chain(&serving.remote)
            .copied()
            .collect();
        considered.clear();
        considered.extend(
            all.iter()
                .filter_map(|index| self.score(now, input, *index)),
        );
        let found = best(considered);
        if let Some(index) = found {
            considered.swap(0, index);
            considered.truncate(self.cfg.sample_size.max(1));
            return Some(0);
        }
        considered.truncate(self.cfg.sample_size.max(1));
        None
    }

    fn score(&self, now: MonoTime, input: &PickInput<'_>, index: u32) -> Option<ScoredServer> {
        let (addr, state) = self.servers.get_index(index as usize)?;
        let unavailable = state.avoid_until > now || state.pause_at(now).is_some();
        if input.exclude.contains(addr) || unavailable {
            return None;
        }
        let cached = self.cfg.prefix_hints
            && input
                .prefix
                .and_then(|prefix| self.prefixes.get(&prefix))
                .is_some_and(|holders| holders.contains(addr));
        let max_in_flight =
            (f64::from(state.slots) * self.cfg.max_in_flight_per_slot).ceil() as u32;
        let full = state.in_flight >= max_in_flight || state.isolated > 0;
        let wait = state.expected_time(now, &self.cfg, input, cached);
        let remote_penalty = if state.local {
            Duration::ZERO
        } else {
            self.cfg.remote_penalty
        };
        let isolation_penalty = match input.isolated {
            true => Duration::from_secs(u64::from(state.in_flight)),
            false => Duration::ZERO,
        };
        Some(ScoredServer {
            addr: *addr,
            wait: wait + remote_penalty + isolation_penalty,
            cached,
            local: state.local,
            full,
        })
    }

    /// Returns the response time on a backend server with a single free slot. A
    /// longer expected time implies queueing.
    fn unqueued_time(&self, input: &PickInput<'_>) -> Duration {
        let serving = self.servers_of(input.route);
        let first = serving.and_then(|s| s.local.first().or(s.remote.first()));
        let speed = first
            .and_then(|index| self.servers.get_index(*index as usize))
            .map_or(server_state::DEFAULT_SPEED, |(_, state)| state.speed);
        server_state::last_slot_time(&self.cfg, input, speed)
    }
}

impl RouteServers {
    fn add(&mut self, index: u32, local: bool) {
        match local {
            true => self.local.push(index),
            false => self.remote.push(index),
        }
    }
}

fn best(considered: &[ScoredServer]) -> Option<usize> {
    (0..considered.len())
        .filter(|&index| !considered[index].full)
        .min_by_key(|&index| considered[index].wait)
}
