//! Budget of repeated sends, one for all entries.
//!
//! A failing service makes every request fail; sent again freely, the work
//! multiplies just when there is least room for it. Each entry spends a share
//! of the requests that came to itself and its part of the fixed slack, so that
//! the sum over all entries keeps to the bound without a message between them.

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

/// Parts of the window in which events are counted together; a finer count
/// costs memory, a coarser one wastes up to a part of the window.
const PARTS: u32 = 20;

/// Share of the bound that is spent: entries count a request when they read it
/// and a send when they make it, the users when it arrives, so that a little is
/// kept for what crosses the edge of a window.
const SPENT: f64 = 0.85;

/// Bound on repeated sends.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BudgetConfig {
    /// Repeated sends for each request.
    pub ratio: f64,
    /// Repeated sends beside, of all entries together.
    pub slack: f64,
    /// Span in which both are counted.
    pub window: Duration,
}

/// Requests and repeated sends of one part of the window.
#[derive(Clone, Copy, Debug, Default)]
struct Part {
    number: u64,
    requests: u32,
    repeats: u32,
}

/// The budget of one entry.
#[derive(Clone, Debug)]
pub struct Budget {
    cfg: BudgetConfig,
    /// Entries that share the slack.
    entries: KnownEntryCount,
    services: HashMap<ServiceId, VecDeque<Part>>,
}

impl Budget {
    /// Makes a budget that shares the slack with nobody yet known.
    pub fn new(cfg: BudgetConfig) -> Self {
        Self {
            cfg,
            entries: KnownEntryCount::default(),
            services: HashMap::new(),
        }
    }

    /// Notes how many entries there are.
    pub fn set_entries(&mut self, now: MonoTime, entries: u32) {
        self.entries.record(now, entries);
    }

    /// Returns the most entries that were heard of.
    pub fn entries(&self) -> u32 {
        self.entries.max()
    }

    /// Counts a request.
    pub fn request(&mut self, now: MonoTime, service: &ServiceId) {
        self.part(now, service).requests += 1;
    }

    /// Spends one repeated send if the budget allows it.
    pub fn try_repeat(&mut self, now: MonoTime, service: &ServiceId) -> bool {
        self.part(now, service);
        let (requests, repeats) = self.counted(service);
        let slack = match self.entries.max() {
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

    /// Returns the present part after dropping those that the window has left.
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
