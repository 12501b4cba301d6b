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
    entries::EntryCount, //
};
use crate::ids::MonoTime;

/// Number of buckets in the window. More buckets take more memory; fewer ones delay the
/// expiry of old counts by up to a bucket's width.
const PARTS: u32 = 20;

/// Share of the bound that is spent. Entries count a request when they read it and a
/// retry when they send it, while its users are counted at arrival. The margin covers
/// events that fall on different sides of a window's edge.
const SPENT: f64 = 0.85;

/// Bound on retries.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BudgetConfig {
    /// Retries per request.
    pub ratio: f64,
    /// Additional retries of all entries together.
    pub slack: f64,
    /// Period over which both are counted.
    pub window: Duration,
}

/// Requests and retries in one bucket of the window.
#[derive(Clone, Copy, Debug, Default)]
struct Part {
    number: u64,
    requests: u32,
    repeats: u32,
}

/// Retry budget of one entry.
#[derive(Clone, Debug)]
pub struct Budget {
    cfg: BudgetConfig,
    /// Number of entries that share the slack.
    entries: EntryCount,
    services: HashMap<ServiceId, VecDeque<Part>>,
}

impl Budget {
    /// Creates a budget with an unknown number of entries.
    pub fn new(cfg: BudgetConfig) -> Self {
        Self {
            cfg,
            entries: EntryCount::default(),
            services: HashMap::new(),
        }
    }

    /// Sets the number of entries.
    pub fn set_entries(&mut self, now: MonoTime, entries: u32) {
        self.entries.hear(now, entries);
    }

    /// Returns the highest known number of entries.
    pub fn entries(&self) -> u32 {
        self.entries.most()
    }

    /// Counts a request.
    pub fn request(&mut self, now: MonoTime, service: &ServiceId) {
        self.part(now, service).requests += 1;
    }

    /// Spends one retry if the budget allows it.
    pub fn try_repeat(&mut self, now: MonoTime, service: &ServiceId) -> bool {
        self.part(now, service);
        let (requests, repeats) = self.counted(service);
        let slack = match self.entries.most() {
            0 => 0.0,
            n => self.cfg.slack / f64::from(n),
        };
        let allowed = (self.cfg.ratio * f64::from(requests) + slack) * SPENT;
        if f64::from(repeats) + 1.0 > allowed {
            return false;
        }
        self.part(now, service).repeats += 1;
        true
    }

    fn counted(&self, service: &ServiceId) -> (u32, u32) {
        let parts = self.services.get(service).into_iter().flatten();
        parts.fold((0, 0), |(requests, repeats), p| {
            (requests + p.requests, repeats + p.repeats)
        })
    }

    /// Returns the current bucket, after removing those outside the window.
    fn part(&mut self, now: MonoTime, service: &ServiceId) -> &mut Part {
        let width = self.cfg.window / PARTS;
        let number = (now.as_nanos() / width.as_nanos().max(1)) as u64;
        let parts = self.services.entry(service.clone()).or_default();
        while parts
            .front()
            .is_some_and(|p| p.number + u64::from(PARTS) <= number)
        {
            parts.pop_front();
        }
        if parts.back().is_none_or(|p| p.number != number) {
            parts.push_back(Part {
                number,
                ..Part::default()
            });
        }
        let last = parts.len() - 1;
        &mut parts[last]
    }
}
