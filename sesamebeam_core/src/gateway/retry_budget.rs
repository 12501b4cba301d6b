//! Retry budget, shared by all entries.
//!
//! If a service fails all requests, unlimited retries multiply its load just when it has
//! the least capacity. Each entry may spend a share of the requests that it has received
//! itself, and its part of a fixed slack. The total over all entries thereby stays within
//! the bound without communication between them.
//!
//! The bound holds in every window, wherever it begins. What it allows there follows from the
//! requests of that window, of the one before it or of the one half a window before it,
//! whichever has most. Entries can't take the most: one may take the first and another the
//! second, and their sum exceeds both. All take the same mean of the three instead, which is
//! never above the most of their sums. A retry is sent only if every window that it may be
//! read in stays within what this mean allows.
//!
//! The bound counts retries as backend servers read them, which may be any time after they
//! were sent: a process that stands still reads later what its system has received. A retry
//! is therefore outstanding, and counts in every window, until no send of its request can be
//! read any more. Only then it is settled, and counts in the windows that hold that moment.
//! [`RequestSends`](super::request_sends::RequestSends) tells which sends settle a retry.
//!
//! A request counts when it is read, soon after it was sent. An entry that stood still reads later
//! what came meanwhile, and can't tell when: these requests don't count.
//!
//! An entry that starts doesn't know what the process before it has spent, or which entry has
//! left for it to join. Its part of the slack counts as spent until every window that may hold
//! retries of another process in its place has ended.

use std::{
    collections::{
        HashMap,
        VecDeque, //
    },
    ops::Range,
    time::Duration,
};

use super::{
    config::ServiceId,
    entry_count::KnownEntryCount, //
};
use crate::{
    ids::MonoTime,
    policy::stalls::Stalls, //
};

/// Number of buckets in the window. More buckets take more time; fewer ones leave more of the
/// bound unused, as requests expire early and retries late, each by up to a bucket's width.
const BUCKETS: usize = 100;

/// Buckets within which an entry reads a request after its caller has sent it. A request that
/// is read soon after a window begins may have been sent before.
const REQUEST_DELAY: usize = BUCKETS / 20;

/// Buckets within which a retry is read after it was sent, for windows that begin after that.
/// Retries that are read later still count in them, but against requests of which there may be
/// fewer by then.
const RETRY_DELAY: usize = BUCKETS / 5;

/// Longest gap between signs of life of an entry that reads requests within [`REQUEST_DELAY`]. It
/// leaves as much for the rest of their way.
const MAX_GAP: usize = REQUEST_DELAY / 2;

/// Buckets after a longer gap in which an entry reads what came meanwhile.
const CATCH_UP: usize = BUCKETS / 10;

/// Least such gap, for windows that are short beside the interval of the signs.
const MIN_GAP: Duration = Duration::from_millis(200);

/// Buckets of requests that are kept: those of the window and of the one before it.
const KEPT_REQUESTS: usize = 2 * BUCKETS;

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

/// State of the budget of a service at one entry in one window.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryUsage {
    /// How long ago the window began; zero for one that is yet to begin.
    pub began: Duration,
    /// Requests that count for the window.
    pub requests: f64,
    /// Retries that may have been read in the window.
    pub settled: u32,
    /// Retries that may be read at any later time.
    pub outstanding: u32,
    /// Retries that the window allows, with the slack.
    pub allowed: f64,
    /// This entry's part of the slack.
    pub slack: f64,
}

impl RetryUsage {
    /// Returns how many more retries the window allows.
    fn left(&self) -> f64 {
        self.allowed - f64::from(self.settled + self.outstanding)
    }
}

/// Counts of the last buckets.
#[derive(Clone, Debug)]
struct BucketCounts {
    /// Buckets that are kept, with the current one.
    kept: usize,
    /// Numbers and counts of buckets, in order.
    buckets: VecDeque<(u64, u32)>,
}

impl BucketCounts {
    fn new(kept: usize) -> Self {
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

    /// Returns sums by age in buckets.
    fn sums(&mut self, current: u64) -> AgeSums {
        self.expire(current);
        let mut counts = [0; KEPT_REQUESTS];
        for (number, count) in &self.buckets {
            let age = current.saturating_sub(*number) as usize;
            counts[age.min(KEPT_REQUESTS - 1)] += count;
        }
        let mut sums = [0; KEPT_REQUESTS + 1];
        for (age, count) in counts.into_iter().enumerate() {
            sums[age + 1] = sums[age] + count;
        }
        AgeSums(sums)
    }

    fn expire(&mut self, current: u64) {
        let kept = self.kept as u64;
        while self.buckets.front().is_some_and(|b| b.0 + kept <= current) {
            self.buckets.pop_front();
        }
    }
}

/// Sums of the buckets younger than each age, the current one having age 0.
struct AgeSums([u32; KEPT_REQUESTS + 1]);

impl AgeSums {
    /// Returns the sum of buckets of some ages. Those of negative age are yet to come.
    fn of(&self, ages: Range<isize>) -> u32 {
        let [start, end] = [ages.start, ages.end].map(|age| {
            let age = usize::try_from(age).unwrap_or(0);
            self.0[age.min(KEPT_REQUESTS)]
        });
        end.saturating_sub(start)
    }

    /// Returns the requests that count for a window which began in a bucket of an age: the
    /// mean of those in it, which weigh three times, in the window before it and in the one half
    /// a window before it. A request weighs a fifth since one window before the beginning, two
    /// since half a window before, four in the first half of the window and three in the second.
    /// One that may have been sent on either side of an edge has the lower weight.
    fn requests(&self, began: isize) -> f64 {
        let [window, half, delay] = [BUCKETS, BUCKETS / 2, REQUEST_DELAY].map(|n| n as isize);
        let fifths = self.of(0..began + window - delay)
            + self.of(0..began + half - delay)
            + self.of(0..began - delay)
            + self.of(began + 1 - half..began - delay);
        f64::from(fifths) / 5.0
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
            requests: BucketCounts::new(KEPT_REQUESTS),
            // Of the partial bucket at the start of the window, no request counts and every
            // retry does, so that rounding allows fewer retries, never more.
            settled: BucketCounts::new(BUCKETS + 1),
            outstanding: 0,
        }
    }
}

/// Retry budget of one entry, whose times count from the start of its process.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    cfg: RetryBudgetConfig,
    /// Number of entries that share the slack.
    entries: KnownEntryCount,
    stalls: Stalls,
    services: HashMap<ServiceId, ServiceCounts>,
}

impl RetryBudget {
    /// Creates a budget with an unknown number of entries.
    pub fn new(cfg: RetryBudgetConfig) -> Self {
        let buckets = |count: usize| cfg.window * count as u32 / BUCKETS as u32;
        Self {
            cfg,
            entries: KnownEntryCount::default(),
            stalls: Stalls::new(buckets(MAX_GAP).max(MIN_GAP), buckets(CATCH_UP)),
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

    /// Records a sign of life of the entry, one of a series.
    pub fn record_alive(&mut self, now: MonoTime) {
        self.stalls.record_alive(now);
    }

    /// Records that the entry does anything.
    pub fn record_activity(&mut self, now: MonoTime) {
        self.stalls.record_activity(now);
    }

    /// Returns whether what was read at a time may have come long before.
    pub fn is_late(&self, read_at: MonoTime) -> bool {
        self.stalls.is_late(read_at)
    }

    /// Counts a request that was read at a time. One that may have been sent long before counts
    /// for nothing, as the windows that it belongs to aren't known.
    pub fn record_request(&mut self, read_at: MonoTime, service: &ServiceId) {
        if self.is_late(read_at) {
            return;
        }
        let number = self.bucket(read_at);
        *self.counts(service).requests.count(number) += 1;
    }

    /// Withdraws a request that was counted as read at a time, unless retries that were spent
    /// need it. Returns whether it no longer counts.
    pub fn withdraw_request(
        &mut self,
        now: MonoTime,
        read_at: MonoTime,
        service: &ServiceId,
    ) -> bool {
        let number = self.bucket(read_at);
        let requests = self.counts(service).requests.count(number);
        if *requests == 0 {
            return false;
        }
        *requests -= 1;
        let is_unspent = self.usage(now, service).left() >= 0.0;
        if !is_unspent {
            self.record_request(read_at, service);
        }
        is_unspent
    }

    /// Spends one retry if the budget allows it. It is outstanding until it is settled or
    /// refunded.
    pub fn try_retry(&mut self, now: MonoTime, service: &ServiceId) -> bool {
        if self.usage(now, service).left() < 1.0 {
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

    /// Returns the state of the budget of a service in the window that allows least.
    pub fn usage(&mut self, now: MonoTime, service: &ServiceId) -> RetryUsage {
        let current = self.bucket(now);
        let slack = self.slack(now);
        let RetryBudgetConfig { ratio, window, .. } = self.cfg;
        let counts = self.counts(service);
        let requests = counts.requests.sums(current);
        let settled = counts.settled.sums(current);
        let outstanding = counts.outstanding;
        let usage_since = |began: isize| {
            let requests = requests.requests(began);
            RetryUsage {
                began: window * began.max(0) as u32 / BUCKETS as u32,
                requests,
                settled: settled.of(0..began + 1),
                outstanding,
                allowed: ratio * requests + slack,
                slack,
            }
        };
        let [oldest, newest] = [BUCKETS as isize, -(RETRY_DELAY as isize)];
        let windows = (newest..oldest).map(usage_since);
        windows.fold(usage_since(oldest), |least, usage| {
            match usage.left() < least.left() {
                true => usage,
                false => least,
            }
        })
    }

    /// Returns this entry's part of the slack.
    fn slack(&self, now: MonoTime) -> f64 {
        let inherited_until =
            self.cfg.window + self.cfg.window * RETRY_DELAY as u32 / BUCKETS as u32;
        match self.entries.max() {
            0 => 0.0,
            _ if now < inherited_until => 0.0,
            n => self.cfg.slack / f64::from(n),
        }
    }

    fn counts(&mut self, service: &ServiceId) -> &mut ServiceCounts {
        self.services.entry(service.clone()).or_default()
    }

    fn bucket(&self, now: MonoTime) -> u64 {
        let width = self.cfg.window / BUCKETS as u32;
        (now.as_nanos() / width.as_nanos().max(1)) as u64
    }
}
