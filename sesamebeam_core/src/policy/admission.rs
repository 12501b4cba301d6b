//! Bounded queues in front of each pool, with fair sharing and early rejection.
//!
//! Within one priority, organisations share a pool by start-time fair queueing:
//! each organisation has a virtual time that grows by the work done divided by
//! its share, and the organisation with the least virtual time is served first.
//! Urgent requests go before normal ones and normal ones before deferrable
//! ones, and some slots are reserved for urgent requests. A deferrable request
//! whose latest possible start is near is treated as normal. A request that
//! cannot be answered within its deadline is refused immediately, with the time
//! after which it would succeed.

mod queue;

use std::time::Duration;

use indexmap::IndexMap;

use self::queue::{
    PoolQueue,
    QueuedRequest, //
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
    /// Whether organisations share by weight; otherwise the queue whose first
    /// request has the earliest deadline goes first.
    pub fair: bool,
    /// Whether requests are separated by priority.
    pub priorities: bool,
    /// Whether requests that would miss their deadline are refused on arrival.
    pub refuse_early: bool,
    /// Maximum number of requests queued for one pool.
    pub max_queue_len: usize,
    /// Share of the maximum queue length that one organisation may use.
    pub max_org_share: f64,
    /// Share of a pool's slots that is reserved for urgent requests.
    pub urgent_reserve: f64,
    /// Smallest `retry_after` returned to callers, before jitter.
    pub min_retry_after: Duration,
    /// Largest `retry_after` returned to callers, before jitter.
    pub max_retry_after: Duration,
    /// Extra time before the deadline that must remain when a request starts,
    /// as a fraction of its expected duration.
    pub deadline_margin: f64,
}

impl Default for AdmissionConfig {
    fn default() -> Self {
        Self {
            fair: true,
            priorities: true,
            refuse_early: true,
            max_queue_len: 2048,
            max_org_share: 0.5,
            urgent_reserve: 0.1,
            min_retry_after: Duration::from_millis(500),
            max_retry_after: Duration::from_secs(60),
            deadline_margin: 0.25,
        }
    }
}

/// A request submitted for admission.
#[derive(Clone, Debug, PartialEq)]
pub struct AdmissionRequest {
    /// Identifier of the request.
    pub request: RequestId,
    /// Organisation of the caller.
    pub org: OrgId,
    /// Pool it will run on.
    pub pool: PoolId,
    /// How urgent it is.
    pub priority: Priority,
    /// Time by which the complete answer is due.
    pub deadline: MonoTime,
    /// Expected run time.
    pub expected_duration: Duration,
}

/// Outcome of submitting a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdmissionOutcome {
    /// The request may start now and holds a slot until
    /// [`Admission::finished`].
    Run,
    /// The request is queued until [`Admission::next`] starts it or
    /// [`Admission::expired`] drops it.
    Queued,
    /// The request is refused without being run.
    Refused {
        /// Time after which a retry is expected to succeed.
        retry_after: Duration,
    },
}

/// A queued request that can no longer be answered in time. Its final answer is
/// due immediately.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ExpiredRequest {
    /// Identifier of the request.
    pub request: RequestId,
    /// Time after which a retry is expected to succeed.
    pub retry_after: Duration,
}

/// Request counts of one organisation by outcome.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct AdmissionCounts {
    /// Requests that were started.
    pub started: u64,
    /// Requests that were refused on arrival.
    pub refused: u64,
    /// Requests that were dropped from the queue because they could no longer
    /// be answered in time.
    pub expired: u64,
}

/// Admission queues of all pools.
#[derive(Clone, Debug)]
pub struct Admission {
    cfg: AdmissionConfig,
    shares: IndexMap<OrgId, f64>,
    pools: IndexMap<PoolId, PoolQueue>,
    counts: IndexMap<OrgId, AdmissionCounts>,
}

impl Admission {
    /// Creates an instance with empty queues.
    pub fn new(cfg: AdmissionConfig) -> Self {
        Self {
            cfg,
            shares: IndexMap::new(),
            pools: IndexMap::new(),
            counts: IndexMap::new(),
        }
    }

    /// Applies the organisations' shares of a fleet file.
    pub fn configure(&mut self, fleet: &Fleet) {
        self.shares = fleet
            .organisations
            .iter()
            .map(|org| (org.name.clone(), org.share.clamp(1e-3, 1e3)))
            .collect();
        let shares = &self.shares;
        self.counts.retain(|org, _| shares.contains_key(org));
    }

    /// Sets the number of slots of a pool that this entry may use.
    pub fn set_capacity(&mut self, pool: &PoolId, slots: u32) {
        self.pools.entry(pool.clone()).or_default().slots = slots;
    }

    /// Starts, queues or refuses a request.
    pub fn submit(&mut self, now: MonoTime, request: AdmissionRequest) -> AdmissionOutcome {
        let reserved = self.reserved_slots(&request.pool);
        let share = self.share_of(&request.org);
        let priority = self.effective_priority(request.priority);
        let cfg = &self.cfg;
        let pool = self.pools.entry(request.pool.clone()).or_default();
        let can_start =
            pool.queued_at_or_above(priority) == 0 && pool.has_free_slot(priority, reserved);
        let wait = if can_start {
            Duration::ZERO
        } else {
            pool.expected_wait(now, &request.org, share, priority)
        };
        let needed = wait
            + request.expected_duration
            + request.expected_duration.mul_f64(cfg.deadline_margin);
        let lateness = (now + needed).saturating_sub(request.deadline);
        let infeasible = now + request.expected_duration > request.deadline;
        let queue_full =
            !can_start && pool.is_full_for(&request.org, cfg.max_queue_len, cfg.max_org_share);
        if queue_full || infeasible || (cfg.refuse_early && !can_start && !lateness.is_zero()) {
            let retry_after = if queue_full {
                lateness.max(wait)
            } else {
                lateness
            };
            let retry_after = jittered(cfg, retry_after, request.request);
            self.counts.entry(request.org).or_default().refused += 1;
            return AdmissionOutcome::Refused { retry_after };
        }
        if can_start {
            pool.start(
                &request.org,
                share,
                request.request,
                request.expected_duration,
            );
            self.counts.entry(request.org).or_default().started += 1;
            return AdmissionOutcome::Run;
        }
        pool.push(
            now,
            QueuedRequest {
                request: request.request,
                org: request.org,
                priority,
                deadline: request.deadline,
                expected_duration: request.expected_duration,
                share,
            },
        );
        AdmissionOutcome::Queued
    }

    /// Releases the slot of a finished request and records its run time.
    pub fn finished(&mut self, pool: &str, request: RequestId, ran: Duration) {
        if let Some(pool) = self.pools.get_mut(pool) {
            pool.finish(request, ran);
        }
    }

    /// Removes a queued request whose caller disconnected. Returns whether it
    /// was queued.
    pub fn cancel(&mut self, pool: &str, request: RequestId) -> bool {
        self.pools
            .get_mut(pool)
            .is_some_and(|pool| pool.cancel(request))
    }

    /// Starts as many queued requests as there are free slots.
    pub fn next(&mut self, now: MonoTime) -> Vec<RequestId> {
        let mut started = Vec::new();
        for pool in self.pools.values_mut() {
            let reserved = (f64::from(pool.slots) * self.cfg.urgent_reserve) as u32;
            let reserved = if self.cfg.priorities { reserved } else { 0 };
            while let Some(waiting) =
                pool.pop(now, reserved, self.cfg.fair, self.cfg.deadline_margin)
            {
                pool.start(
                    &waiting.org,
                    waiting.share,
                    waiting.request,
                    waiting.expected_duration,
                );
                self.counts.entry(waiting.org).or_default().started += 1;
                started.push(waiting.request);
            }
        }
        started
    }

    /// Removes queued requests that can no longer be answered in time.
    ///
    /// They are reported immediately rather than at their deadline, so that
    /// callers can use the remaining time to try elsewhere.
    pub fn expired(&mut self, now: MonoTime) -> Vec<ExpiredRequest> {
        let mut expired = Vec::new();
        for pool in self.pools.values_mut() {
            for waiting in pool.remove_late(now) {
                self.counts.entry(waiting.org.clone()).or_default().expired += 1;
                let wait = pool.expected_wait(now, &waiting.org, waiting.share, waiting.priority);
                expired.push(ExpiredRequest {
                    request: waiting.request,
                    retry_after: jittered(&self.cfg, wait, waiting.request),
                });
            }
        }
        expired
    }

    /// Returns the latest start of the queued request that expires first.
    /// [`Admission::expired`] removes it after that time.
    pub fn next_expiry(&self) -> Option<MonoTime> {
        self.pools
            .values()
            .filter_map(PoolQueue::next_late_at)
            .min()
    }

    /// Returns the number of requests queued for a pool.
    pub fn queued(&self, pool: &str) -> usize {
        self.pools.get(pool).map_or(0, PoolQueue::len)
    }

    /// Returns the number of requests of a pool that hold a slot.
    pub fn running(&self, pool: &str) -> usize {
        self.pools.get(pool).map_or(0, PoolQueue::running)
    }

    /// Returns the number of requests of all pools that hold a slot.
    pub fn total_running(&self) -> usize {
        self.pools.values().map(PoolQueue::running).sum()
    }

    /// Returns the request counts of an organisation.
    pub fn counts(&self, org: &str) -> AdmissionCounts {
        self.counts.get(org).copied().unwrap_or_default()
    }

    fn share_of(&self, org: &str) -> f64 {
        self.shares.get(org).copied().unwrap_or(1.0)
    }

    fn reserved_slots(&self, pool: &str) -> u32 {
        let slots = self.pools.get(pool).map_or(0, |pool| pool.slots);
        match self.cfg.priorities {
            true => (f64::from(slots) * self.cfg.urgent_reserve) as u32,
            false => 0,
        }
    }

    fn effective_priority(&self, priority: Priority) -> Priority {
        match self.cfg.priorities {
            true => priority,
            false => Priority::Normal,
        }
    }
}

/// Clamps a retry delay and adds up to 50% jitter, so that callers refused at
/// the same time do not retry at the same time.
fn jittered(cfg: &AdmissionConfig, wait: Duration, request: RequestId) -> Duration {
    let wait = wait.clamp(cfg.min_retry_after, cfg.max_retry_after);
    wait.mul_f64(1.0 + 0.5 * hash::unit(&request.to_le_bytes(), "retry-after"))
}
