//! A request at a backend server, counted until it ends.

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

/// A request that was sent, or is about to be.
///
/// A caller that leaves drops the task of its request at any point. Counted by
/// hand, the request would stay counted at its backend server for ever, which
/// would look fuller with each; dropping this counts it as ended.
pub(super) struct Flight {
    gateway: Arc<Gateway>,
    plan: Arc<Plan>,
    choice: Choice,
    started: Instant,
    began: bool,
    ended: bool,
}

impl Flight {
    /// Starts with a choice that the router has counted.
    pub(super) fn new(gateway: Arc<Gateway>, plan: Arc<Plan>, choice: Choice) -> Self {
        Self {
            gateway,
            plan,
            choice,
            started: Instant::now(),
            began: false,
            ended: false,
        }
    }

    /// Returns the time since it started.
    pub(super) fn since(&self) -> Duration {
        self.started.elapsed()
    }

    /// Notes that its answer has begun.
    pub(super) fn begin(&mut self, model: Option<&str>) {
        if !std::mem::replace(&mut self.began, true) {
            let now = self.gateway.now();
            let took = self.since();
            let mut router = self.gateway.router();
            router.record_first_event(now, &self.plan, &self.choice, model, took);
        }
    }

    /// Notes how it ended.
    pub(super) fn end(&mut self, outcome: Outcome) {
        if !std::mem::replace(&mut self.ended, true) {
            let now = self.gateway.now();
            let mut router = self.gateway.router();
            if !self.began {
                router.record_aborted(now, &self.choice);
            }
            router.record_outcome(now, &self.plan, &self.choice, outcome);
            self.gateway.meters.send(send_end(outcome));
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

impl Deref for Flight {
    type Target = Choice;

    fn deref(&self) -> &Choice {
        &self.choice
    }
}

impl Drop for Flight {
    fn drop(&mut self) {
        self.end(Outcome::Dropped);
    }
}
