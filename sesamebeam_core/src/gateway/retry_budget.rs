//! Retry budget, shared by all entries.
//!
//! If a service fails all requests, unlimited retries multiply its load just when it has
//! the least capacity. Each entry may spend a share of the requests that it has received
//! itself, and its part of a fixed slack. The total over all entries thereby stays within
//! the bound without communication between them.
//!
//! The bound counts retries as backend servers read them, which may be any time after they
//! were sent: a process that stands still reads later what its system has received. A retry
//! is therefore outstanding, and counts in every window, until no send of its request can be
//! read any more. Only then it is settled, and counts for a window from that moment on.
//! [`RequestSends`](super::request_sends::RequestSends) tells which sends settle a retry.

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

/// Number of buckets in the window. More buckets take more memory; fewer ones leave more of
/// the bound unused, as requests expire early and retries late, each by up to a bucket's width.
const BUCKETS: u32 = 50;

/// Share of the bound that is spent. Entries count a request when they read it, while its
/// caller is counted as it sends. The margin covers requests that fall on different sides of
/// a window's edge.
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
    /// Requests in its last half.
    pub recent: u32,
    /// Retries that may have been read in the window.
    pub settled: u32,
    /// Retries that may be read at any later time.
    pub outstanding: u32,
    /// Retries that the window allows, with the slack.
    pub allowed: f64,
    /// This entry's part of the slack.
    pub slack: f64,
}

/// Counts of the last buckets.
#[derive(Clone, Debug)]
struct BucketCounts {
    /// Buckets that are kept, with the current one.
    kept: u32,
    /// Numbers and counts of buckets, in order.
    buckets: VecDeque<(u64, u32)>,
}

impl BucketCounts {
    fn new(kept: u32) -> Self {
        Self {
            kept,
            buckets: VecDeque::new(),
        }
    }

    /// Returns the count of a bucket.
    fn count(&mut self, number: u64) -> &mut u32 {
        let newest = self.buckets.back().map_or(number, |b| b.0.max(number));
        self.expire(newest);
        let found = self.buckets.binary_search_by_key(&number, |b| b.0);
        let at = found.unwrap_or_else(|at| {
            self.buckets.insert(at, (number, 0));
            at
        });
        &mut self.buckets[at].1
    }

    /// Returns the sum of the buckets that are kept, the current one included.
    fn total(&mut self, current: u64) -> u32 {
        self.expire(current);
        self.buckets.iter().map(|(_, count)| count).sum()
    }

    /// Returns the sum of the buckets from one on.
    fn total_since(&self, first: u64) -> u32 {
        let since = self.buckets.iter().filter(|(number, _)| *number >= first);
        since.map(|(_, count)| count).sum()
    }

    fn expire(&mut self, current: u64) {
        let kept = u64::from(self.kept);
        while self.buckets.front().is_some_and(|b| b.0 + kept <= current) {
            self.buckets.pop_front();
        }
    }
}

/// Requests to a service, and their retries.
#[derive(Clone, Debug)]
struct ServiceCounts {
    requests: BucketCounts,
    settled: BucketCounts,
    outstanding: u32,
}

impl Default for ServiceCounts {
    fn default() -> Self {
        Self {
            // Of the partial bucket at the start of the window, no request counts and every
            // retry does, so that rounding allows fewer retries, never more.
            requests: BucketCounts::new(BUCKETS),
            settled: BucketCounts::new(BUCKETS + 1),
            outstanding: 0,
        }
    }
}

/// Retry budget of one entry.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    cfg: RetryBudgetConfig,
    /// Number of entries that share the slack.
    entries: KnownEntryCount,
    services: HashMap<ServiceId, ServiceCounts>,
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

    /// Counts a request that was read at a time.
    pub fn record_request(&mut self, read_at: MonoTime, service: &ServiceId) {
        let number = self.bucket(read_at);
        *self.counts(service).requests.count(number) += 1;
    }

    /// Withdraws a request that was counted as read at a time.
    pub fn withdraw_request(&mut self, read_at: MonoTime, service: &ServiceId) {
        let number = self.bucket(read_at);
        let requests = self.counts(service).requests.count(number);
        *requests = requests.saturating_sub(1);
    }

    /// Spends one retry if the budget allows it. It is outstanding until it is settled or
    /// refunded.
    pub fn try_retry(&mut self, now: MonoTime, service: &ServiceId) -> bool {
        let usage = self.usage(now, service);
        let spent = usage.settled + usage.outstanding;
        if f64::from(spent) + 1.0 > usage.allowed {
            return false;
        }
        self.counts(service).outstanding += 1;
        true
    }

    /// Records that an outstanding retry can't be read any more.
    pub fn settle_retry(&mut self, now: MonoTime, service: &ServiceId) {
        let number = self.bucket(now);
        let counts = self.counts(service);
        counts.outstanding = counts.outstanding.saturating_sub(1);
        *counts.settled.count(number) += 1;
    }

    /// Gives back an outstanding retry that was never sent.
    pub fn refund_retry(&mut self, service: &ServiceId) {
        let counts = self.counts(service);
        counts.outstanding = counts.outstanding.saturating_sub(1);
    }

    /// Returns the state of the budget of a service.
    pub fn usage(&mut self, now: MonoTime, service: &ServiceId) -> RetryUsage {
        let number = self.bucket(now);
        let slack = match self.entries.max() {
            0 => 0.0,
            n => self.cfg.slack / f64::from(n),
        };
        let ratio = self.cfg.ratio;
        let counts = self.counts(service);
        let requests = counts.requests.total(number);
        RetryUsage {
            requests,
            recent: counts
                .requests
                .total_since((number + 1).saturating_sub(u64::from(BUCKETS / 2))),
            settled: counts.settled.total(number),
            outstanding: counts.outstanding,
            allowed: (ratio * f64::from(requests) + slack) * SPENDABLE_SHARE,
            slack,
        }
    }

    fn counts(&mut self, service: &ServiceId) -> &mut ServiceCounts {
        self.services.entry(service.clone()).or_default()
    }

    fn bucket(&self, now: MonoTime) -> u64 {
        let width = self.cfg.window / BUCKETS;
        (now.as_nanos() / width.as_nanos().max(1)) as u64
    }
}
