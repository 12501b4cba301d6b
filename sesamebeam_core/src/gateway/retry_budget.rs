//! Retry budget, shared by all entries.
//!
//! If a service fails all requests, unlimited retries multiply its load just when it has
//! the least capacity. Each entry may spend a share of the requests that it has received
//! itself, and its part of a fixed slack. The total over all entries thereby stays within
//! the bound without communication between them.

use std::{
    collections::{
        HashMap,
        VecDeque, //
    },
    time::Duration,
};

use super::{
    config::ServiceId,
    entry_count::KnownEntryCount, //
};
use crate::ids::MonoTime;

/// Number of buckets in the window. More buckets take more memory; fewer ones delay the
/// expiry of old counts by up to a bucket's width.
const BUCKETS: u32 = 20;

/// Share of the bound that is spent. Entries count a request when they read it and a
/// retry when they send it, while its users are counted at arrival. The margin covers
/// events that fall on different sides of a window's edge.
const SPENDABLE_SHARE: f64 = 0.85;

/// Bound on retries.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBudgetConfig {
    /// Retries per request.
    pub ratio: f64,
    /// Additional retries of all entries together.
    pub slack: f64,
    /// Period over which both are counted.
    pub window: Duration,
}

/// State of the budget of a service at one entry, for logs.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct RetryUsage {
    /// Requests in the window.
    pub requests: u32,
    /// Retries in the window.
    pub retries: u32,
    /// Retries that the window allows.
    pub allowed: f64,
}

/// Requests and retries in one bucket of the window.
#[derive(Clone, Copy, Debug, Default)]
struct Bucket {
    number: u64,
    requests: u32,
    retries: u32,
}

/// Retry budget of one entry.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    cfg: RetryBudgetConfig,
    /// Number of entries that share the slack.
    entries: KnownEntryCount,
    services: HashMap<ServiceId, VecDeque<Bucket>>,
}

impl RetryBudget {
    /// Creates a budget with an unknown number of entries.
    pub fn new(cfg: RetryBudgetConfig) -> Self {
        Self {
            cfg,
            entries: KnownEntryCount::default(),
            services: HashMap::new(),
        }
    }

    /// Sets the number of entries.
    pub fn set_entries(&mut self, now: MonoTime, entries: u32) {
        self.entries.record(now, entries);
    }

    /// Returns the highest known number of entries.
    pub fn entries(&self) -> u32 {
        self.entries.max()
    }

    /// Counts a request.
    pub fn record_request(&mut self, now: MonoTime, service: &ServiceId) {
        self.current_bucket(now, service).requests += 1;
    }

    /// Withdraws a request that another entry counts.
    pub fn withdraw_request(&mut self, now: MonoTime, service: &ServiceId) {
        let bucket = self.current_bucket(now, service);
        bucket.requests = bucket.requests.saturating_sub(1);
    }

    /// Spends one retry if the budget allows it.
    pub fn try_retry(&mut self, now: MonoTime, service: &ServiceId) -> bool {
        let usage = self.usage(now, service);
        if f64::from(usage.retries) + 1.0 > usage.allowed {
            return false;
        }
        self.current_bucket(now, service).retries += 1;
        true
    }

    /// Returns the state of the budget of a service.
    pub fn usage(&mut self, now: MonoTime, service: &ServiceId) -> RetryUsage {
        self.current_bucket(now, service);
        let (requests, retries) = self.totals(service);
        let slack = match self.entries.max() {
            0 => 0.0,
            n => self.cfg.slack / f64::from(n),
        };
        let allowed = (self.cfg.ratio * f64::from(requests) + slack) * SPENDABLE_SHARE;
        RetryUsage {
            requests,
            retries,
            allowed,
        }
    }

    fn totals(&self, service: &ServiceId) -> (u32, u32) {
        let buckets = self.services.get(service).into_iter().flatten();
        buckets.fold((0, 0), |(requests, retries), p| {
            (requests + p.requests, retries + p.retries)
        })
    }

    /// Returns the current bucket, after removing those outside the window.
    fn current_bucket(&mut self, now: MonoTime, service: &ServiceId) -> &mut Bucket {
        let width = self.cfg.window / BUCKETS;
        let number = (now.as_nanos() / width.as_nanos().max(1)) as u64;
        let buckets = self.services.entry(service.clone()).or_default();
        while buckets
            .front()
            .is_some_and(|p| p.number + u64::from(BUCKETS) <= number)
        {
            buckets.pop_front();
        }
        if buckets.back().is_none_or(|p| p.number != number) {
            buckets.push_back(Bucket {
                number,
                ..Bucket::default()
            });
        }
        let last = buckets.len() - 1;
        &mut buckets[last]
    }
}
