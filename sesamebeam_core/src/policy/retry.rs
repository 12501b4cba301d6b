//! Retry and hedging budgets.
//!
//! In an outage every request fails, and unlimited retries multiply the load
//! just when capacity is lowest. Only first attempts add to the budget, which
//! bounds the number of attempts per request.

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

/// Settings of the retry and hedging budgets.
#[derive(Clone, Debug, PartialEq)]
pub struct RetryConfig {
    /// Whether the retry budget is enforced.
    pub enforce_budget: bool,
    /// Retries added to the budget by each first attempt.
    pub retries_per_request: f64,
    /// Largest budget that an organisation can accumulate. Also limits the
    /// hedging budget.
    pub max_budget: f64,
    /// Largest budget that all organisations together can accumulate.
    pub max_total_budget: f64,
    /// Hedges added to the budget by each hedgeable first attempt; 0 disables
    /// hedging.
    pub hedges_per_request: f64,
    /// Quantile of the class's response times after which a request is hedged.
    pub hedge_quantile: f64,
}

impl Default for RetryConfig {
    fn default() -> Self {
        Self {
            enforce_budget: true,
            retries_per_request: 0.05,
            max_budget: 5.0,
            max_total_budget: 8.0,
            hedges_per_request: 0.04,
            hedge_quantile: 0.95,
        }
    }
}

/// Remaining retry budget of each organisation.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    cfg: RetryConfig,
    remaining: IndexMap<OrgId, f64>,
    /// Remaining budget of all organisations together. Without it, each of many
    /// organisations would spend its own budget in the same outage.
    total_remaining: f64,
}

impl RetryBudget {
    /// Creates a budget with one retry for each organisation and one in total.
    pub fn new(cfg: RetryConfig) -> Self {
        Self {
            cfg,
            remaining: IndexMap::new(),
            total_remaining: 1.0,
        }
    }

    /// Records a first attempt, which adds to the budget.
    pub fn request(&mut self, org: &OrgId) {
        let remaining = self.remaining.entry(org.clone()).or_insert(1.0);
        *remaining = (*remaining + self.cfg.retries_per_request).min(self.cfg.max_budget);
        let total = self.total_remaining + self.cfg.retries_per_request;
        self.total_remaining = total.min(self.cfg.max_total_budget);
    }

    /// Withdraws one retry, if the budget allows it.
    pub fn try_retry(&mut self, org: &OrgId) -> bool {
        if !self.cfg.enforce_budget {
            return true;
        }
        let remaining = self.remaining.entry(org.clone()).or_insert(1.0);
        self.total_remaining >= 1.0
            && withdraw_one(remaining)
            && withdraw_one(&mut self.total_remaining)
    }
}

/// Remaining hedging budget and the delay before a hedge.
///
/// A hedge may run a request twice, so only urgent requests of idempotent
/// classes are hedged.
#[derive(Clone, Debug)]
pub struct HedgeBudget {
    cfg: RetryConfig,
    remaining: f64,
    /// Estimated `hedge_quantile` of the response times of each class, in
    /// seconds.
    delays: IndexMap<ClassId, f64>,
}

impl HedgeBudget {
    /// Creates an empty budget.
    pub fn new(cfg: RetryConfig) -> Self {
        Self {
            cfg,
            remaining: 0.0,
            delays: IndexMap::new(),
        }
    }

    /// Records a first attempt, which adds to the budget if the class can be
    /// hedged.
    pub fn request(&mut self, class: &Class) {
        if can_be_hedged(class) {
            self.remaining =
                (self.remaining + self.cfg.hedges_per_request).min(self.cfg.max_budget);
        }
    }

    /// Updates the delay estimate of a class with the response time of a
    /// complete answer.
    pub fn answered(&mut self, class: &ClassId, took: Duration) {
        let seconds = took.as_secs_f64();
        let delay = self.delays.entry(class.clone()).or_insert(seconds);
        let step = 0.05 * delay.max(1e-3);
        match seconds > *delay {
            true => *delay += step * self.cfg.hedge_quantile,
            false => *delay -= step * (1.0 - self.cfg.hedge_quantile),
        }
    }

    /// Returns the time after which a request is hedged, or `None` if it never
    /// is.
    pub fn delay(&self, class: &Class) -> Option<Duration> {
        if !can_be_hedged(class) || self.cfg.hedges_per_request <= 0.0 {
            return None;
        }
        let delay = self.delays.get(&class.name)?;
        Some(Duration::from_secs_f64(*delay))
    }

    /// Withdraws one hedge, if the class can be hedged and the budget allows
    /// it.
    pub fn try_hedge(&mut self, class: &Class) -> bool {
        can_be_hedged(class)
            && self.cfg.hedges_per_request > 0.0
            && withdraw_one(&mut self.remaining)
    }
}

fn can_be_hedged(class: &Class) -> bool {
    class.idempotent && class.priority == Priority::Urgent
}

fn withdraw_one(remaining: &mut f64) -> bool {
    if *remaining < 1.0 {
        return false;
    }
    *remaining -= 1.0;
    true
}
