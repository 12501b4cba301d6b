//! Moving of delayed requests to another engine.

use std::time::Duration;

use super::{
    Choice,
    Plan,
    Router, //
};
use crate::{
    gateway::{
        directory::ServerId,
        engines::{
            Forecast,
            progress::{
                Move,
                Progress,
                Wait, //
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
        let elsewhere = self.forecast_elsewhere(now, send)?;
        let time_left = send.plan.deadline.saturating_sub(now);
        let wait = Wait {
            predicted,
            waited,
            objective: send.plan.route.target,
        };
        let decision = progress.judge_waiting(wait, &elsewhere, time_left)?;
        self.try_retry(now, send.plan).then_some(decision)
    }

    /// Predicts how long a send would take at the engine that would be chosen for it now, if
    /// it moved away from its current one; none if no reachable engine is left.
    fn forecast_elsewhere(&self, now: MonoTime, send: &CurrentSend<'_>) -> Option<Forecast> {
        let pick = self
            .pick(now, send.plan, send.model, &send.excluded())
            .ok()?;
        pick.forecast
            .filter(|_| self.balancer.is_reachable(now, pick.server))
    }
}
