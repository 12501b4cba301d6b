//! Choice of a backend server: few choices on expected wait.

mod table;

use std::time::Duration;

use indexmap::IndexMap;
use rand::{
    RngExt,
    SeedableRng,
    rngs::StdRng, //
};
use smol_str::SmolStr;

use self::table::Slot;
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
        record::ServerLife,
        server::{
            Announcement,
            Load, //
        },
    },
};

/// Backend servers remembered for one prefix.
const HOLDERS: usize = 4;

/// Prefixes remembered; the oldest is forgotten first.
const MAX_PREFIXES: usize = 65_536;

/// Largest number of running or waiting requests that is believed.
const MAX_LOAD: u32 = 100_000;

/// Largest speed in tokens a second that is believed.
const MAX_SPEED: f32 = 100_000.0;

/// Settings of the choice.
#[derive(Clone, Debug, PartialEq)]
pub struct BalanceConfig {
    /// Backend servers looked at for one request; 1 turns the comparison off.
    pub choices: usize,
    /// Whether reported load counts beside own in-flight work.
    pub reported_load: bool,
    /// Time after which a reported load counts half.
    pub load_half_life: Duration,
    /// Whether prefix cache hints count.
    pub prefix_hints: bool,
    /// Time over which a new backend server's share grows; zero turns it off.
    pub slow_start: Duration,
    /// Expected wait above which other failure domains are looked at.
    pub spill: Duration,
    /// Cost of another failure domain, added to its expected wait.
    pub far: Duration,
    /// Prefill speed in prompt tokens a second.
    pub prefill_speed: f64,
    /// Time for which a backend server that did not answer is avoided.
    pub avoid: Duration,
    /// Most requests in flight from here on one backend server, as a multiple
    /// of its slots: connections are bounded and a full pool is refused.
    pub most_in_flight: f64,
}

impl Default for BalanceConfig {
    fn default() -> Self {
        Self {
            choices: 3,
            reported_load: true,
            load_half_life: Duration::from_secs(2),
            prefix_hints: true,
            slow_start: Duration::from_secs(10),
            spill: Duration::from_millis(50),
            far: Duration::from_millis(5),
            prefill_speed: 4000.0,
            avoid: Duration::from_secs(10),
            most_in_flight: 2.0,
        }
    }
}

/// What a request is sent to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Route<'a> {
    /// Backend servers that have a version loaded, by full name.
    Version(&'a str),
    /// Backend servers of a pool of plain services.
    Service(&'a str),
}

/// What the choice is made from.
#[derive(Clone, Copy, Debug)]
pub struct PickInput<'a> {
    /// What the request is sent to.
    pub route: Route<'a>,
    /// Hash of the prompt's prefix, if it has one worth caching.
    pub prefix: Option<u64>,
    /// Tokens of the prompt.
    pub prompt_tokens: u32,
    /// Tokens that the answer may have.
    pub max_tokens: u32,
    /// How urgent the request is.
    pub priority: Priority,
    /// Backend servers not to be used, because an attempt there failed.
    pub exclude: &'a [ServerAddr],
    /// Whether the request must run apart from others, being suspected of
    /// crashing backend servers.
    pub alone: bool,
}

/// A backend server that was looked at.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Looked {
    /// Where it takes requests.
    pub addr: ServerAddr,
    /// Expected time until the whole answer.
    pub wait: Duration,
    /// Whether its cache is thought to hold the prefix.
    pub cached: bool,
    /// Whether it is in the entry's own failure domain.
    pub near: bool,
    /// Whether it has no room.
    pub full: bool,
}

/// The backend server chosen, with those that were looked at.
#[derive(Clone, Debug, PartialEq)]
pub struct Pick {
    /// The backend server in its present life.
    pub server: ServerLife,
    /// Expected time until the whole answer.
    pub wait: Duration,
    /// All that were looked at.
    pub looked: Vec<Looked>,
}

/// Why a load report was not believed, counted since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LoadCounts {
    /// Not a number, negative, or larger than any backend server has.
    pub absurd: u64,
    /// So old that it says nothing.
    pub stale: u64,
}

/// Positions of the backend servers that serve one route.
#[derive(Clone, Debug, Default)]
struct Serving {
    near: Vec<u32>,
    far: Vec<u32>,
}

/// Backend servers and the work in flight on them, as this entry sees it.
#[derive(Debug)]
pub struct Balance {
    cfg: BalanceConfig,
    domain: DomainId,
    rng: StdRng,
    slots_of: IndexMap<PoolId, u32>,
    servers: IndexMap<ServerAddr, Slot>,
    versions: IndexMap<VersionId, Serving>,
    services: IndexMap<PoolId, Serving>,
    prefixes: IndexMap<u64, Vec<ServerAddr>>,
    prefix_cursor: usize,
    stale_lists: bool,
    /// Time of the last call that told it.
    clock: MonoTime,
    counts: LoadCounts,
    scratch: Vec<u32>,
}

impl Balance {
    /// Starts without backend servers, in a failure domain, with a seed.
    pub fn new(cfg: BalanceConfig, domain: DomainId, seed: u64) -> Self {
        Self {
            cfg,
            domain,
            rng: StdRng::seed_from_u64(seed),
            slots_of: IndexMap::new(),
            servers: IndexMap::new(),
            versions: IndexMap::new(),
            services: IndexMap::new(),
            prefixes: IndexMap::new(),
            prefix_cursor: 0,
            stale_lists: false,
            clock: MonoTime::ZERO,
            counts: LoadCounts::default(),
            scratch: Vec::new(),
        }
    }

    /// Takes the slots of each pool from a fleet file.
    pub fn configure(&mut self, fleet: &Fleet) {
        self.slots_of = fleet
            .pools
            .iter()
            .map(|p| (p.name.clone(), p.slots.max(1)))
            .collect();
        for slot in self.servers.values_mut() {
            slot.slots = self.slots_of.get(&slot.pool).copied().unwrap_or(1);
        }
    }

    /// Takes a new or changed backend server.
    pub fn upsert(&mut self, now: MonoTime, server: &Announcement) {
        let slots = self.slots_of.get(&server.pool).copied().unwrap_or(1);
        let near = server.domain == self.domain;
        let known = self
            .servers
            .get(&server.addr)
            .is_some_and(|slot| slot.incarnation == server.incarnation);
        if !known {
            self.servers
                .insert(server.addr, Slot::new(now, server, slots, near));
            self.stale_lists = true;
        }
        let slot = &mut self.servers[&server.addr];
        if slot.versions != server.versions || slot.leaving != server.leaving {
            slot.versions.clone_from(&server.versions);
            slot.leaving = server.leaving;
            self.stale_lists = true;
        }
        if server.speed.is_finite() && (1.0..MAX_SPEED).contains(&server.speed) {
            slot.speed = f64::from(server.speed);
        }
        self.load(now, server.addr, server.load);
        for event in &server.cache {
            match event.held {
                true => self.hint(event.prefix, server.addr),
                false => self.unhint(event.prefix, server.addr),
            }
        }
    }

    /// Takes a load report, or counts why it is not believed.
    pub fn load(&mut self, now: MonoTime, addr: ServerAddr, load: Load) {
        self.clock = self.clock.max(now);
        let absurd = load.running > MAX_LOAD
            || load.waiting > MAX_LOAD
            || !(0.0..=1.0).contains(&load.kv_used);
        if absurd {
            self.counts.absurd += 1;
            return;
        }
        let age = Duration::from_millis(u64::from(load.age_ms));
        if age > self.cfg.load_half_life * 8 {
            self.counts.stale += 1;
            return;
        }
        if let Some(slot) = self.servers.get_mut(&addr) {
            slot.report(now, age, load);
        }
    }

    /// Forgets a backend server that is out.
    pub fn remove(&mut self, addr: ServerAddr) {
        if self.servers.swap_remove(&addr).is_some() {
            self.stale_lists = true;
        }
    }

    /// Avoids a backend server for a while, because it did not answer.
    pub fn avoid(&mut self, now: MonoTime, addr: ServerAddr) {
        let until = now + self.cfg.avoid;
        if let Some(slot) = self.servers.get_mut(&addr) {
            slot.avoid_until = until;
        }
    }

    /// Learns that a backend server refused a request for want of room.
    pub fn refused(&mut self, now: MonoTime, addr: ServerAddr) {
        if let Some(slot) = self.servers.get_mut(&addr) {
            slot.refused(now);
        }
    }

    /// Keeps to the pause that a life of a backend server asked for, if it did, unless an
    /// earlier one lasts longer. Nothing but its time ends it.
    pub fn pause(&mut self, now: MonoTime, server: ServerLife, asked: Option<Duration>) {
        let slot = self.servers.get_mut(&server.addr);
        let slot = slot.filter(|slot| slot.incarnation == server.incarnation);
        let (Some(slot), Some(asked)) = (slot, asked) else {
            return;
        };
        let pause = RequestedPause::new(now, asked);
        if slot.pause.is_none_or(|known| pause.outlasts(known)) {
            slot.pause = Some(pause);
        }
    }

    /// Returns the pause that ends first, if every backend server that serves a route has
    /// asked for one; none if one of them has not.
    pub fn pause_of_all(&self, now: MonoTime, route: Route<'_>) -> Option<RequestedPause> {
        let serving = self.servers.values().filter(|slot| !slot.leaving);
        let serving = serving.filter(|slot| slot.serves(route));
        let pauses: Option<Vec<RequestedPause>> = serving.map(|slot| slot.pause_at(now)).collect();
        pauses?.into_iter().min_by_key(|pause| pause.until())
    }

    /// Ends the avoiding of a backend server, because it answered.
    pub fn answered(&mut self, addr: ServerAddr) {
        if let Some(slot) = self.servers.get_mut(&addr) {
            slot.avoid_until = MonoTime::ZERO;
        }
    }

    /// Counts a request that was sent.
    pub fn started(&mut self, addr: ServerAddr, prefix: Option<u64>, alone: bool) {
        if let Some(slot) = self.servers.get_mut(&addr) {
            slot.change_own(self.clock, slot.own + 1);
            slot.reserved += u32::from(alone);
        }
        if let Some(prefix) = prefix {
            self.hint(prefix, addr);
        }
    }

    /// Counts a request that ended, with its time if its answer was whole.
    pub fn finished(&mut self, addr: ServerAddr, alone: bool, took: Option<Duration>) {
        let Some(slot) = self.servers.get_mut(&addr) else {
            return;
        };
        slot.change_own(self.clock, slot.own.saturating_sub(1));
        slot.reserved = slot.reserved.saturating_sub(u32::from(alone));
        if let Some(took) = took {
            slot.learn_time(took);
        }
    }

    /// Chooses a backend server; none if every one that serves the route is
    /// full, avoided or excluded.
    ///
    /// A few are drawn at random and compared on expected wait. Always taking
    /// the least loaded would send every entry to the one that last looked
    /// idle until its next report.
    pub fn pick(&mut self, now: MonoTime, input: &PickInput<'_>) -> Option<Pick> {
        self.clock = self.clock.max(now);
        self.refresh_lists();
        let mut looked = Vec::with_capacity(self.cfg.choices + HOLDERS);
        self.draw(input, true);
        self.look(now, input, &mut looked);
        let best_near = best(&looked);
        if best_near.is_none_or(|at| looked[at].wait > self.cfg.spill + self.unqueued(input)) {
            self.draw(input, false);
            self.look(now, input, &mut looked);
        }
        let at = best(&looked).or_else(|| self.scan(now, input, &mut looked))?;
        let (_, slot) = self.servers.get_key_value(&looked[at].addr)?;
        Some(Pick {
            server: ServerLife {
                addr: looked[at].addr,
                incarnation: slot.incarnation,
            },
            wait: looked[at].wait,
            looked,
        })
    }

    /// Tells whether a backend server may still be sent new work: known, in
    /// this life, not leaving, and in no pause that it asked for. Checked again
    /// just before sending.
    pub fn takes_work(&self, now: MonoTime, server: ServerLife) -> bool {
        let slot = self.servers.get(&server.addr);
        let slot = slot.filter(|slot| slot.incarnation == server.incarnation);
        slot.is_some_and(|slot| !slot.leaving && slot.pause_at(now).is_none())
    }

    /// Tells whether any backend server serves a route at present.
    pub fn serves(&mut self, route: Route<'_>) -> bool {
        self.refresh_lists();
        self.serving(route)
            .is_some_and(|serving| !serving.near.is_empty() || !serving.far.is_empty())
    }

    /// Gives the slots of a pool that this entry may count on: those in its own
    /// failure domain, and half of what reports leave free in others, which
    /// other entries may turn to as well.
    pub fn capacity(&self, now: MonoTime, pool: &str) -> u32 {
        let mut near = 0.0;
        let mut far = 0.0;
        for slot in self.servers.values() {
            let is_out = slot.leaving || slot.avoid_until > now || slot.pause_at(now).is_some();
            if slot.pool != pool || is_out {
                continue;
            }
            let free = slot.free(now, &self.cfg);
            match slot.near {
                true => near += free,
                false => far += free,
            }
        }
        (near + far / 2.0) as u32
    }

    /// Gives the requests of this entry in flight on a backend server.
    pub fn in_flight(&self, addr: ServerAddr) -> u32 {
        self.servers.get(&addr).map_or(0, |slot| slot.own)
    }

    /// Gives the pool of a backend server.
    pub fn pool_of(&self, addr: ServerAddr) -> Option<&SmolStr> {
        self.servers.get(&addr).map(|slot| &slot.pool)
    }

    /// Counts load reports that were not believed.
    pub fn counts(&self) -> LoadCounts {
        self.counts
    }

    fn hint(&mut self, prefix: u64, addr: ServerAddr) {
        if !self.prefixes.contains_key(&prefix) && self.prefixes.len() >= MAX_PREFIXES {
            self.prefix_cursor = (self.prefix_cursor + 1) % MAX_PREFIXES;
            self.prefixes.swap_remove_index(self.prefix_cursor);
        }
        let holders = self.prefixes.entry(prefix).or_default();
        if holders.contains(&addr) {
            return;
        }
        if holders.len() >= HOLDERS {
            holders.remove(0);
        }
        holders.push(addr);
    }

    fn unhint(&mut self, prefix: u64, addr: ServerAddr) {
        if let Some(holders) = self.prefixes.get_mut(&prefix) {
            holders.retain(|holder| *holder != addr);
            if holders.is_empty() {
                self.prefixes.swap_remove(&prefix);
            }
        }
    }

    fn serving(&self, route: Route<'_>) -> Option<&Serving> {
        match route {
            Route::Version(version) => self.versions.get(version),
            Route::Service(pool) => self.services.get(pool),
        }
    }

    /// Rebuilds the lists of routes after a change of membership.
    fn refresh_lists(&mut self) {
        if !std::mem::take(&mut self.stale_lists) {
            return;
        }
        self.versions.clear();
        self.services.clear();
        for (at, slot) in self.servers.values().enumerate() {
            if slot.leaving {
                continue;
            }
            let at = at as u32;
            for version in &slot.versions {
                self.versions
                    .entry(version.clone())
                    .or_default()
                    .add(at, slot.near);
            }
            if slot.versions.is_empty() {
                self.services
                    .entry(slot.pool.clone())
                    .or_default()
                    .add(at, slot.near);
            }
        }
    }

    /// Draws a few backend servers into `scratch`, and those that hold the prefix.
    fn draw(&mut self, input: &PickInput<'_>, near: bool) {
        let mut drawn = std::mem::take(&mut self.scratch);
        drawn.clear();
        let serving = match input.route {
            Route::Version(version) => self.versions.get(version),
            Route::Service(pool) => self.services.get(pool),
        };
        let list: &[u32] = match serving {
            Some(serving) if near => &serving.near,
            Some(serving) => &serving.far,
            None => &[],
        };
        if list.len() <= self.cfg.choices {
            drawn.extend_from_slice(list);
        } else {
            while drawn.len() < self.cfg.choices.max(1) {
                let at = list[self.rng.random_range(0..list.len())];
                if !drawn.contains(&at) {
                    drawn.push(at);
                }
            }
            self.add_holders(input, near, &mut drawn);
        }
        self.scratch = drawn;
    }

    fn add_holders(&self, input: &PickInput<'_>, near: bool, drawn: &mut Vec<u32>) {
        if !self.cfg.prefix_hints {
            return;
        }
        let holders = input.prefix.and_then(|prefix| self.prefixes.get(&prefix));
        for addr in holders.into_iter().flatten() {
            let Some((at, _, slot)) = self.servers.get_full(addr) else {
                continue;
            };
            let at = at as u32;
            if slot.near == near
                && !slot.leaving
                && slot.serves(input.route)
                && !drawn.contains(&at)
            {
                drawn.push(at);
            }
        }
    }

    fn look(&mut self, now: MonoTime, input: &PickInput<'_>, looked: &mut Vec<Looked>) {
        let drawn = std::mem::take(&mut self.scratch);
        looked.extend(drawn.iter().filter_map(|at| self.score(now, input, *at)));
        self.scratch = drawn;
    }

    /// Looks at every backend server of the route, when the few drawn were all
    /// full or avoided: a refusal must be true of the whole pool.
    fn scan(
        &mut self,
        now: MonoTime,
        input: &PickInput<'_>,
        looked: &mut Vec<Looked>,
    ) -> Option<usize> {
        let serving = self.serving(input.route)?;
        let all: Vec<u32> = serving.near.iter().chain(&serving.far).copied().collect();
        looked.clear();
        looked.extend(all.iter().filter_map(|at| self.score(now, input, *at)));
        let found = best(looked);
        if let Some(at) = found {
            looked.swap(0, at);
            looked.truncate(self.cfg.choices.max(1));
            return Some(0);
        }
        looked.truncate(self.cfg.choices.max(1));
        None
    }

    fn score(&self, now: MonoTime, input: &PickInput<'_>, at: u32) -> Option<Looked> {
        let (addr, slot) = self.servers.get_index(at as usize)?;
        let is_out = slot.avoid_until > now || slot.pause_at(now).is_some();
        if input.exclude.contains(addr) || is_out {
            return None;
        }
        let cached = self.cfg.prefix_hints
            && input
                .prefix
                .and_then(|prefix| self.prefixes.get(&prefix))
                .is_some_and(|holders| holders.contains(addr));
        let most = (f64::from(slot.slots) * self.cfg.most_in_flight).ceil() as u32;
        let full = slot.own >= most || slot.reserved > 0;
        let wait = slot.expected(now, &self.cfg, input, cached);
        let far = if slot.near {
            Duration::ZERO
        } else {
            self.cfg.far
        };
        let apart = match input.alone {
            true => Duration::from_secs(u64::from(slot.own)),
            false => Duration::ZERO,
        };
        Some(Looked {
            addr: *addr,
            wait: wait + far + apart,
            cached,
            near: slot.near,
            full,
        })
    }

    /// Gives the time that the answer takes on a backend server whose slots are
    /// all taken but one: whatever takes longer waits in a queue.
    fn unqueued(&self, input: &PickInput<'_>) -> Duration {
        let serving = self.serving(input.route);
        let first = serving.and_then(|s| s.near.first().or(s.far.first()));
        let speed = first
            .and_then(|at| self.servers.get_index(*at as usize))
            .map_or(table::USUAL_SPEED, |(_, slot)| slot.speed);
        table::full_time(&self.cfg, input, speed)
    }
}

impl Serving {
    fn add(&mut self, at: u32, near: bool) {
        match near {
            true => self.near.push(at),
            false => self.far.push(at),
        }
    }
}

fn best(looked: &[Looked]) -> Option<usize> {
    (0..looked.len())
        .filter(|&at| !looked[at].full)
        .min_by_key(|&at| looked[at].wait)
}
