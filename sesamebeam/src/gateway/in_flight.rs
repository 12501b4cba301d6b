//! A send in progress, counted as in flight at its backend server until it ends.

use std::{
    ops::Deref,
    sync::Arc,
    time::{
        Duration,
        Instant, //
    },
};

use sesamebeam_core::gateway::{
    balance::Outcome,
    router::{
        Choice,
        Plan, //
    },
};

use super::Gateway;
use crate::exposition::SendEnd;

/// A request that was sent to a backend server or is about to be.
///
/// When a caller disconnects, the task of its request is dropped at any await point.
/// Without a guard, the request would stay in the in-flight count of its backend server,
/// which would appear more loaded after each such request. Dropping this guard records
/// the outcome.
pub(super) struct InFlightSend {
    gateway: Arc<Gateway>,
    plan: Arc<Plan>,
    choice: Choice,
    sent_at: Instant,
    first_event_recorded: bool,
    outcome_recorded: bool,
}

impl InFlightSend {
    /// Wraps a choice that the router has already counted as in flight.
    pub(super) fn new(gateway: Arc<Gateway>, plan: Arc<Plan>, choice: Choice) -> Self {
        Self {
            gateway,
            plan,
            choice,
            sent_at: Instant::now(),
            first_event_recorded: false,
            outcome_recorded: false,
        }
    }

    /// Returns the time since the send started.
    pub(super) fn elapsed(&self) -> Duration {
        self.sent_at.elapsed()
    }

    /// Records the first event of the response, once.
    pub(super) fn record_first_event(&mut self, model: Option<&str>) {
        if !std::mem::replace(&mut self.first_event_recorded, true) {
            let now = self.gateway.now();
            let elapsed = self.elapsed();
            if let Some(forecast) = &self.choice.forecast {
                let error = forecast.first_event.abs_diff(elapsed);
                self.gateway.metrics.record_forecast_error(error);
            }
            let mut router = self.gateway.router();
            router.record_first_event(now, &self.plan, &self.choice, model, elapsed);
        }
    }

    /// Records the outcome of the send, once.
    pub(super) fn record_outcome(&mut self, outcome: Outcome) {
        if !std::mem::replace(&mut self.outcome_recorded, true) {
            let now = self.gateway.now();
            let mut router = self.gateway.router();
            if !self.first_event_recorded {
                router.record_aborted(now, &self.choice);
            }
            if outcome == Outcome::Good {
                router.record_run_time(now, &self.choice, self.sent_at.elapsed());
            }
            router.record_outcome(now, &self.plan, &self.choice, outcome);
            if router.is_leased(&self.plan.service) {
                self.gateway.slot_freed.notify_waiters();
            }
            drop(router);
            self.gateway.metrics.record_send(send_end(outcome));
        }
    }
}

fn send_end(outcome: Outcome) -> SendEnd {
    match outcome {
        Outcome::Good => SendEnd::Good,
        Outcome::Failed => SendEnd::Failed,
        Outcome::Refused => SendEnd::Refused,
        Outcome::Unreachable | Outcome::Down | Outcome::Silent => SendEnd::Unreachable,
        Outcome::Dropped => SendEnd::Dropped,
    }
}

impl Deref for InFlightSend {
    type Target = Choice;

    fn deref(&self) -> &Choice {
        &self.choice
    }
}

impl Drop for InFlightSend {
    fn drop(&mut self) {
        self.record_outcome(Outcome::Dropped);
    }
}
