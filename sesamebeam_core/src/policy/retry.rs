//! Budgets of retries and hedges.
//!
//! In an outage every request fails; retried freely, the work multiplies just
//! when there is least room for it. A budget that only fresh requests fill
//! bounds the attempts per request.

use std::time::Duration;

use indexmap::IndexMap;

use crate::{
    fleet::{
        Class,
        Priority, //
    },
    ids::{
        ClassId,
        OrgId, //
    },
};

/// Settings of the budgets.
#[derive(Clone, Debug, PartialEq)]
pub struct RetryConfig {
    /// Whether retries are bounded.
    pub bounded: bool,
    /// Retries that one fresh request pays for.
    pub retries_per_request: f64,
    /// Retries that an organisation can save up.
    pub saved: f64,
    /// Retries that all organisations together can save up.
    pub saved_by_all: f64,
    /// Hedges that one fresh urgent request pays for; 0 turns hedging off.
    pub hedges_per_request: f64,
    /// Hedge only after this share of the class's answers would have come.
    pub hedge_after: f64,
}

impl Default for RetryConfig {
    fn default() -> Self {
        Self {
            bounded: true,
            retries_per_request: 0.05,
            saved: 5.0,
            saved_by_all: 8.0,
            hedges_per_request: 0.04,
            hedge_after: 0.95,
        }
    }
}

/// Retries that each organisation may still make.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    cfg: RetryConfig,
    saved: IndexMap<OrgId, f64>,
    /// Retries saved by all organisations together. Without it, each of many
    /// organisations would spend its savings in the same outage.
    saved_by_all: f64,
}

impl RetryBudget {
    /// Starts with one retry for each organisation.
    pub fn new(cfg: RetryConfig) -> Self {
        Self {
            cfg,
            saved: IndexMap::new(),
            saved_by_all: 1.0,
        }
    }

    /// Counts a fresh request, which pays into the budget.
    pub fn request(&mut self, org: &OrgId) {
        let saved = self.saved.entry(org.clone()).or_insert(1.0);
        *saved = (*saved + self.cfg.retries_per_request).min(self.cfg.saved);
        let all = self.saved_by_all + self.cfg.retries_per_request;
        self.saved_by_all = all.min(self.cfg.saved_by_all);
    }

    /// Takes a retry from the budget, if there is one.
    pub fn try_retry(&mut self, org: &OrgId) -> bool {
        if !self.cfg.bounded {
            return true;
        }
        let saved = self.saved.entry(org.clone()).or_insert(1.0);
        self.saved_by_all >= 1.0 && take_one(saved) && take_one(&mut self.saved_by_all)
    }
}

/// Hedges that may still be made, and when.
///
/// A hedge runs a second time what may already be running, so only idempotent
/// urgent requests are hedged.
#[derive(Clone, Debug)]
pub struct HedgeBudget {
    cfg: RetryConfig,
    saved: f64,
    /// Time by which `hedge_after` of the answers came, by class, in seconds.
    delays: IndexMap<ClassId, f64>,
}

impl HedgeBudget {
    /// Starts without a saved hedge.
    pub fn new(cfg: RetryConfig) -> Self {
        Self {
            cfg,
            saved: 0.0,
            delays: IndexMap::new(),
        }
    }

    /// Counts a fresh request, which pays into the budget if it could be hedged.
    pub fn request(&mut self, class: &Class) {
        if hedgeable(class) {
            self.saved = (self.saved + self.cfg.hedges_per_request).min(self.cfg.saved);
        }
    }

    /// Learns from the time of a whole answer.
    pub fn answered(&mut self, class: &ClassId, took: Duration) {
        let seconds = took.as_secs_f64();
        let delay = self.delays.entry(class.clone()).or_insert(seconds);
        let step = 0.05 * delay.max(1e-3);
        match seconds > *delay {
            true => *delay += step * self.cfg.hedge_after,
            false => *delay -= step * (1.0 - self.cfg.hedge_after),
        }
    }

    /// Gives the time after which a request is hedged; none if it never is.
    pub fn delay(&self, class: &Class) -> Option<Duration> {
        if !hedgeable(class) || self.cfg.hedges_per_request <= 0.0 {
            return None;
        }
        let delay = self.delays.get(&class.name)?;
        Some(Duration::from_secs_f64(*delay))
    }

    /// Takes a hedge from the budget, if the request may have one.
    pub fn try_hedge(&mut self, class: &Class) -> bool {
        hedgeable(class) && self.cfg.hedges_per_request > 0.0 && take_one(&mut self.saved)
    }
}

fn hedgeable(class: &Class) -> bool {
    class.idempotent && class.priority == Priority::Urgent
}

fn take_one(saved: &mut f64) -> bool {
    if *saved < 1.0 {
        return false;
    }
    *saved -= 1.0;
    true
}
