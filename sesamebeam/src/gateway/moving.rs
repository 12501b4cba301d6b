//! Moving of delayed requests to another engine.
//!
//! The new engine is chosen before the current run is given up, so that a request never
//! loses its run without having another place. Nothing is sent there before the current
//! connection is closed.

use std::{
    sync::Arc,
    time::{
        Duration,
        Instant, //
    },
};

use sesamebeam_core::gateway::{
    directory::ServerId,
    engines::progress::{
        self,
        Move, //
    },
    router::CurrentSend,
};
use tokio::time::sleep;

use super::{
    dispatch::Dispatch,
    in_flight::InFlightSend, //
};

impl Dispatch {
    /// Returns whether the request may be moved while it waits for the first event of a
    /// send.
    pub(super) fn may_move_wait(&self, choice: &InFlightSend) -> bool {
        !self.progress.has_moved()
            && choice.forecast.is_some()
            && self.sends + 1 < self.plan.route.max_attempts
            && self.gateway.router().may_move(&self.plan)
    }

    /// Waits until the request moves to another engine for want of a first event, and
    /// returns the send there.
    pub(super) async fn wait_for_move(&self, choice: &InFlightSend) -> InFlightSend {
        let predicted = choice.forecast.map_or(Duration::ZERO, |f| f.first_event);
        let overdue = progress::overdue_after(predicted, self.plan.route.target);
        let mut pause = overdue.saturating_sub(choice.elapsed());
        loop {
            let started_at = Instant::now();
            sleep(pause).await;
            // An entry that did not run for a while has yet to read what has arrived.
            let is_delayed = started_at.elapsed() > pause + progress::CHECK_INTERVAL;
            if !is_delayed && let Some(next) = self.find_move_from_wait(choice) {
                return next;
            }
            pause = progress::CHECK_INTERVAL;
        }
    }

    fn find_move_from_wait(&self, choice: &InFlightSend) -> Option<InFlightSend> {
        let send = self.current_send(choice);
        let now = self.gateway.now();
        let decision =
            self.gateway
                .router()
                .judge_waiting(now, &send, choice.elapsed(), &self.progress)?;
        let Some(next) = self.choose_elsewhere(&send.excluded()) else {
            self.gateway.router().refund_retry(&self.plan);
            return None;
        };
        self.record_move(choice, decision);
        Some(next)
    }

    fn current_send<'a>(&'a self, choice: &'a InFlightSend) -> CurrentSend<'a> {
        CurrentSend {
            plan: &self.plan,
            model: self.model.as_deref(),
            choice,
            tried: &self.tried,
        }
    }

    fn choose_elsewhere(&self, excluded: &[ServerId]) -> Option<InFlightSend> {
        let now = self.gateway.now();
        let chosen = self
            .gateway
            .router()
            .choose(now, &self.plan, self.model.as_deref(), excluded);
        let (gateway, plan) = (Arc::clone(&self.gateway), Arc::clone(&self.plan));
        // Without a place elsewhere the request stays.
        chosen
            .ok()
            .map(|choice| InFlightSend::new(gateway, plan, choice))
    }

    fn record_move(&self, choice: &InFlightSend, decision: Move) {
        self.gateway.metrics.record_move();
        log::info!(
            id:% = self.req.head.id, from:% = choice.id,
            expected_ms = decision.expected.as_millis() as u64,
            elsewhere_ms = decision.elsewhere.as_millis() as u64;
            "request moved"
        );
    }
}
