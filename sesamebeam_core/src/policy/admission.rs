//! Bounded queues before each pool, with fair shares and truthful refusals.
//!
//! Within one priority, organisations share by start-time fair queueing: each
//! has a virtual time that grows by work over share, and the least goes first.
//! Urgent work goes before normal and normal before deferrable, and a part of
//! the slots is kept for urgent work. A deferrable request whose last chance to
//! start comes near counts as normal. What cannot be answered within its
//! deadline is refused at once, with the time after which it would fit.

mod queue;

use std::time::Duration;

use indexmap::IndexMap;

use self::queue::{
    PoolQueue,
    Waiting, //
};
use super::hash;
use crate::{
    fleet::{
        Fleet,
        Priority, //
    },
    ids::{
        MonoTime,
        OrgId,
        PoolId,
        RequestId, //
    },
};

/// Settings of admission.
#[derive(Clone, Debug, PartialEq)]
pub struct AdmissionConfig {
    /// Whether organisations share by weight; without, first come first served.
    pub fair: bool,
    /// Whether priorities are kept apart.
    pub priorities: bool,
    /// Whether what would miss its deadline is refused at once.
    pub refuse_early: bool,
    /// Most requests waiting before one pool.
    pub longest: usize,
    /// Share of that which one organisation may take.
    pub most_of_one: f64,
    /// Share of a pool's slots that is kept for urgent work.
    pub kept_for_urgent: f64,
    /// Shortest time told to wait before a later call.
    pub least_retry_after: Duration,
    /// Longest time told to wait before a later call.
    pub most_retry_after: Duration,
    /// Share of the time that a request is expected to run which must be left
    /// over when it starts, beyond that time itself.
    pub spare: f64,
}

impl Default for AdmissionConfig {
    fn default() -> Self {
        Self {
            fair: true,
            priorities: true,
            refuse_early: true,
            longest: 2048,
            most_of_one: 0.5,
            kept_for_urgent: 0.1,
            least_retry_after: Duration::from_millis(500),
            most_retry_after: Duration::from_secs(60),
            spare: 0.25,
        }
    }
}

/// A request that asks to start.
#[derive(Clone, Debug, PartialEq)]
pub struct Ticket {
    /// Number of the request.
    pub request: RequestId,
    /// Organisation of the caller.
    pub org: OrgId,
    /// Pool it will run on.
    pub pool: PoolId,
    /// How urgent it is.
    pub priority: Priority,
    /// When the whole answer is due.
    pub deadline: MonoTime,
    /// Time that it is expected to run.
    pub takes: Duration,
}

/// What becomes of a request that asks to start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Offered {
    /// It may start now and holds a slot until [`Admission::finished`].
    Run,
    /// It waits; [`Admission::next`] lets it start or [`Admission::expired`]
    /// gives it up.
    Queued,
    /// It is refused, not run.
    Refused {
        /// Time after which a later call would fit.
        retry_after: Duration,
    },
}

/// A request that is given up while it waits: its final answer is due at once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct GivenUp {
    /// Number of the request.
    pub request: RequestId,
    /// Time after which a later call would fit.
    pub retry_after: Duration,
}

/// Requests counted by what became of them, for one organisation.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct AdmissionCounts {
    /// Started.
    pub started: u64,
    /// Refused at once.
    pub refused: u64,
    /// Given up while waiting.
    pub given_up: u64,
}

/// Queues before every pool.
#[derive(Clone, Debug)]
pub struct Admission {
    cfg: AdmissionConfig,
    shares: IndexMap<OrgId, f64>,
    pools: IndexMap<PoolId, PoolQueue>,
    counts: IndexMap<OrgId, AdmissionCounts>,
}

impl Admission {
    /// Starts with empty queues.
    pub fn new(cfg: AdmissionConfig) -> Self {
        Self {
            cfg,
            shares: IndexMap::new(),
            pools: IndexMap::new(),
            counts: IndexMap::new(),
        }
    }

    /// Takes the organisations' shares from a fleet file.
    pub fn configure(&mut self, fleet: &Fleet) {
        self.shares = fleet
            .organisations
            .iter()
            .map(|org| (org.name.clone(), org.share.clamp(1e-3, 1e3)))
            .collect();
        let shares = &self.shares;
        self.counts.retain(|org, _| shares.contains_key(org));
    }

    /// Sets the slots of a pool that this entry may fill.
    pub fn set_capacity(&mut self, pool: &PoolId, slots: u32) {
        self.pools.entry(pool.clone()).or_default().slots = slots;
    }

    /// Decides on a request: start, wait, or be refused.
    pub fn offer(&mut self, now: MonoTime, ticket: Ticket) -> Offered {
        let kept = self.kept(&ticket.pool);
        let share = self.share(&ticket.org);
        let priority = self.level(ticket.priority);
        let cfg = &self.cfg;
        let pool = self.pools.entry(ticket.pool.clone()).or_default();
        let idle = pool.waiting_at_or_above(priority) == 0 && pool.has_room(priority, kept);
        let wait = if idle {
            Duration::ZERO
        } else {
            pool.wait(now, &ticket.org, share, priority)
        };
        let needed = wait + ticket.takes + ticket.takes.mul_f64(cfg.spare);
        let late = (now + needed).saturating_sub(ticket.deadline);
        let impossible = now + ticket.takes > ticket.deadline;
        let crowded = !idle && pool.is_crowded(&ticket.org, cfg.longest, cfg.most_of_one);
        if crowded || impossible || (cfg.refuse_early && !idle && !late.is_zero()) {
            let retry_after = if crowded { late.max(wait) } else { late };
            let retry_after = spread(cfg, retry_after, ticket.request);
            self.counts.entry(ticket.org).or_default().refused += 1;
            return Offered::Refused { retry_after };
        }
        if idle {
            pool.start(&ticket.org, share, ticket.request, ticket.takes);
            self.counts.entry(ticket.org).or_default().started += 1;
            return Offered::Run;
        }
        pool.push(
            now,
            Waiting {
                request: ticket.request,
                org: ticket.org,
                priority,
                deadline: ticket.deadline,
                takes: ticket.takes,
                share,
            },
        );
        Offered::Queued
    }

    /// Gives back the slot of a request that ended, with the time it ran.
    pub fn finished(&mut self, pool: &str, request: RequestId, ran: Duration) {
        if let Some(pool) = self.pools.get_mut(pool) {
            pool.finish(request, ran);
        }
    }

    /// Forgets a waiting request, because its caller left.
    pub fn cancel(&mut self, pool: &str, request: RequestId) -> bool {
        self.pools
            .get_mut(pool)
            .is_some_and(|pool| pool.cancel(request))
    }

    /// Lets waiting requests start, as many as there is room for.
    pub fn next(&mut self, now: MonoTime) -> Vec<RequestId> {
        let mut started = Vec::new();
        for pool in self.pools.values_mut() {
            let kept = (f64::from(pool.slots) * self.cfg.kept_for_urgent) as u32;
            let kept = if self.cfg.priorities { kept } else { 0 };
            while let Some(waiting) = pool.pop(now, kept, self.cfg.fair, self.cfg.spare) {
                pool.start(&waiting.org, waiting.share, waiting.request, waiting.takes);
                self.counts.entry(waiting.org).or_default().started += 1;
                started.push(waiting.request);
            }
        }
        started
    }

    /// Gives up waiting requests that can no longer be answered in time.
    ///
    /// They are told at once, not when their deadline has passed: the caller
    /// can still turn elsewhere with the time that is left.
    pub fn expired(&mut self, now: MonoTime) -> Vec<GivenUp> {
        let mut given_up = Vec::new();
        for pool in self.pools.values_mut() {
            for waiting in pool.take_late(now) {
                self.counts.entry(waiting.org.clone()).or_default().given_up += 1;
                let wait = pool.wait(now, &waiting.org, waiting.share, waiting.priority);
                given_up.push(GivenUp {
                    request: waiting.request,
                    retry_after: spread(&self.cfg, wait, waiting.request),
                });
            }
        }
        given_up
    }

    /// Gives the time at which [`Admission::expired`] next has something.
    pub fn next_expiry(&self) -> Option<MonoTime> {
        self.pools.values().filter_map(PoolQueue::next_late).min()
    }

    /// Gives the requests waiting before a pool.
    pub fn waiting(&self, pool: &str) -> usize {
        self.pools.get(pool).map_or(0, PoolQueue::len)
    }

    /// Gives the requests of a pool that hold a slot.
    pub fn running(&self, pool: &str) -> usize {
        self.pools.get(pool).map_or(0, PoolQueue::running)
    }

    /// Gives the requests of all pools that hold a slot.
    pub fn total_running(&self) -> usize {
        self.pools.values().map(PoolQueue::running).sum()
    }

    /// Counts an organisation's requests by what became of them.
    pub fn counts(&self, org: &str) -> AdmissionCounts {
        self.counts.get(org).copied().unwrap_or_default()
    }

    fn share(&self, org: &str) -> f64 {
        self.shares.get(org).copied().unwrap_or(1.0)
    }

    fn kept(&self, pool: &str) -> u32 {
        let slots = self.pools.get(pool).map_or(0, |pool| pool.slots);
        match self.cfg.priorities {
            true => (f64::from(slots) * self.cfg.kept_for_urgent) as u32,
            false => 0,
        }
    }

    fn level(&self, priority: Priority) -> Priority {
        match self.cfg.priorities {
            true => priority,
            false => Priority::Normal,
        }
    }
}

/// Spreads a time to wait by up to half, so that callers refused together do
/// not come back together.
fn spread(cfg: &AdmissionConfig, wait: Duration, request: RequestId) -> Duration {
    let wait = wait.clamp(cfg.least_retry_after, cfg.most_retry_after);
    wait.mul_f64(1.0 + 0.5 * hash::unit(&request.to_le_bytes(), "retry-after"))
}
