//! Moving of delayed requests to another engine.

use std::time::Duration;

use super::{
    Choice,
    Plan,
    Router, //
};
use crate::{
    gateway::{
        config::EngineConfig,
        directory::ServerId,
        engines::{
            Forecast,
            progress::{
                Move,
                Progress, //
            },
        },
    },
    ids::MonoTime,
};

/// A send that may be moved.
#[derive(Clone, Copy, Debug)]
pub struct CurrentSend<'a> {
    /// Plan of the request.
    pub plan: &'a Plan,
    /// Model that is asked, if the caller left the choice to the entry.
    pub model: Option<&'a str>,
    /// Backend server to which the request was sent.
    pub choice: &'a Choice,
    /// Backend servers tried before.
    pub tried: &'a [ServerId],
}

impl CurrentSend<'_> {
    /// Returns the backend servers to which the request must not move.
    pub fn excluded(&self) -> Vec<ServerId> {
        let current = std::iter::once(&self.choice.id);
        self.tried.iter().chain(current).cloned().collect()
    }
}

impl Router {
    /// Returns whether the requests of a plan may be moved between engines at all.
    pub fn may_move(&self, plan: &Plan) -> bool {
        let route = &plan.route;
        route.resumable && !route.runs_at_most_once() && self.timed_engine(plan).is_some()
    }

    /// Decides whether a send without a first event moves, `waited` after it was sent, and
    /// charges the retry budget if it does.
    pub fn judge_waiting(
        &mut self,
        now: MonoTime,
        send: &CurrentSend<'_>,
        waited: Duration,
        progress: &Progress,
    ) -> Option<Move> {
        if !self.may_move(send.plan) {
            return None;
        }
        let predicted = send.choice.forecast?.first_event;
        let elsewhere = self.forecast_elsewhere(now, send, send.plan)?;
        let time_left = send.plan.deadline.saturating_sub(now);
        let decision = progress.judge_waiting(predicted, waited, &elsewhere, time_left)?;
        self.try_retry(now, send.plan).then_some(decision)
    }

    /// Decides whether a stream moves of which `received` events have arrived, and charges
    /// the retry budget if it does. Returns the decision with the plan of what remains.
    pub fn judge_running(
        &mut self,
        now: MonoTime,
        send: &CurrentSend<'_>,
        received: u64,
        progress: &Progress,
    ) -> Option<(Move, Plan)> {
        let plan = send.plan;
        if !self.may_move(plan) {
            return None;
        }
        let cfg = self.timed_engine(plan)?;
        let demand = plan.demand(send.model);
        let events = self.engines.expected_events(cfg, &plan.service, &demand);
        let remaining = events - received as f64;
        let time_left = plan.deadline.saturating_sub(now);
        // The forecast elsewhere costs as much as a choice, and most streams are in time.
        let is_late = progress
            .completion(remaining)
            .is_some_and(|c| c > time_left);
        if remaining <= 0.0 || !is_late {
            return None;
        }
        let rest = plan.after_events(cfg, received, remaining / events);
        let elsewhere = self.forecast_elsewhere(now, send, &rest)?;
        let decision = progress.judge_running(remaining, &elsewhere, time_left)?;
        self.try_retry(now, plan).then_some((decision, rest))
    }

    /// Predicts how long a plan would take at the engine that would be chosen for it now, if
    /// it moved away from its current one; none if no reachable engine is left.
    fn forecast_elsewhere(
        &self,
        now: MonoTime,
        send: &CurrentSend<'_>,
        plan: &Plan,
    ) -> Option<Forecast> {
        let pick = self.pick(now, plan, send.model, &send.excluded()).ok()?;
        pick.forecast
            .filter(|_| self.balancer.is_reachable(now, pick.server))
    }
}

impl Plan {
    /// Returns the plan of a stream that continues after `received` events at an engine that
    /// has nothing of it, with this share of the response left.
    fn after_events(&self, cfg: &EngineConfig, received: u64, share_left: f64) -> Self {
        let received = u32::try_from(received).unwrap_or(u32::MAX);
        let generated = received.saturating_mul(cfg.tokens_per_event.max(1));
        Self {
            unshared_tokens: self.unshared_tokens.saturating_add(generated),
            response_tokens: (f64::from(self.response_tokens) * share_left).ceil() as u32,
            ..self.clone()
        }
    }
}
