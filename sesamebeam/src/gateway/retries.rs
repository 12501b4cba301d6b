//! Retries of a request, which the retry budget bounds until no backend server can read them
//! any more.

use std::sync::{
    Arc, Mutex, MutexGuard, PoisonError,
    atomic::{
        AtomicBool,
        Ordering, //
    },
};

use sesamebeam_core::gateway::{
    directory::ServerId,
    request_sends::{
        Declined,
        Handover,
        RequestSends, //
    },
    retry_budget::RetryUsage,
    router::Plan, //
};

use super::{
    Gateway,
    dispatch::Dispatch, //
};
use crate::exposition::RetryReason;

/// Charges of a request for its sends, which outlive it while one of them may be read.
struct Charges {
    gateway: Arc<Gateway>,
    plan: Arc<Plan>,
    sends: Mutex<RequestSends>,
}

impl Charges {
    fn sends(&self) -> MutexGuard<'_, RequestSends> {
        self.sends.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Retries of a request that is not over. What was charged and not sent is refunded once this
/// is dropped.
pub(super) struct Retries(Arc<Charges>);

/// A send that may still be read. It settles once this is dropped.
pub(super) struct UnsettledSend {
    charges: Arc<Charges>,
    is_withdrawn: AtomicBool,
    /// Backend server with a rate limit that the send counts for.
    limited: Option<ServerId>,
}

impl Retries {
    /// Creates the retries of a request of which nothing was sent from here.
    pub(super) fn new(gateway: Arc<Gateway>, plan: Arc<Plan>, sends: RequestSends) -> Self {
        Self(Arc::new(Charges {
            gateway,
            plan,
            sends: Mutex::new(sends),
        }))
    }

    /// Records that a send to a backend server begins.
    pub(super) fn begin_send(&self, server: &ServerId) -> Arc<UnsettledSend> {
        let is_limited = self.0.gateway.router().record_unread(server);
        self.0.sends().begin();
        Arc::new(UnsettledSend {
            charges: Arc::clone(&self.0),
            is_withdrawn: AtomicBool::new(false),
            limited: is_limited.then(|| server.clone()),
        })
    }

    /// Counts the request for the retry budget, if it counts here and was not counted yet.
    pub(super) fn count_request(&self) {
        let begins = self.0.sends().begin_counting();
        if begins {
            self.0.gateway.router().record_accepted(&self.0.plan);
        }
    }

    /// Returns whether the request counts here for the retry budget.
    pub(super) fn is_counted(&self) -> bool {
        self.0.sends().is_counted()
    }

    /// Takes back what was handed over to another entry that has declined the request.
    pub(super) fn take_back(&self, handover: &Handover, declined: &Declined) {
        let counts_again = self.0.sends().take_back(handover, declined);
        if counts_again {
            self.0.gateway.router().record_declined(&self.0.plan);
        }
    }

    /// Gives back what was charged and not sent, if no send follows.
    fn refund_unsent(&self) {
        let unsent = self.0.sends().take_unsent();
        for _ in 0..unsent {
            self.0.gateway.router().refund_retry(&self.0.plan);
        }
    }

    /// Returns whether the next send was charged, or is free.
    pub(super) fn is_paid(&self) -> bool {
        self.0.sends().is_paid()
    }

    /// Records that the next send was charged.
    pub(super) fn record_charge(&self) {
        self.0.sends().record_charge();
    }
}

impl Drop for Retries {
    fn drop(&mut self) {
        self.refund_unsent();
    }
}

impl UnsettledSend {
    /// Records that the send was not made, so that the next one is paid for.
    pub(super) fn withdraw(&self) {
        if !self.is_withdrawn.swap(true, Ordering::Relaxed) {
            self.charges.sends().withdraw();
        }
    }
}

impl Drop for UnsettledSend {
    fn drop(&mut self) {
        let is_withdrawn = *self.is_withdrawn.get_mut();
        let settles_retry = !is_withdrawn && self.charges.sends().settle();
        if !settles_retry && self.limited.is_none() {
            return;
        }
        let gateway = &self.charges.gateway;
        let now = gateway.now();
        let mut router = gateway.router();
        if settles_retry {
            router.settle_retry(now, &self.charges.plan);
        }
        match &self.limited {
            Some(server) if is_withdrawn => router.withdraw_unread(server),
            Some(server) => router.record_read(now, server),
            None => {}
        }
    }
}

impl Dispatch {
    /// Charges another send to the retry budget, unless that was done before; returns `false`
    /// if the budget is exhausted.
    pub(super) fn try_spend_retry(&self, reason: RetryReason) -> bool {
        if self.retries.is_paid() {
            return true;
        }
        self.retries.count_request();
        let allowed = self.try_charge(reason);
        if allowed {
            self.retries.record_charge();
        }
        allowed
    }

    fn try_charge(&self, reason: RetryReason) -> bool {
        let now = self.gateway.now();
        let mut router = self.gateway.router();
        let usage = router.retry_usage(now, &self.plan);
        let allowed = router.try_retry(now, &self.plan);
        drop(router);
        self.log_retry(reason, usage, allowed);
        allowed
    }

    /// Has the request be sent by another entry, which charges its own sends. Returns `None` if a
    /// send from here may be read after these and the budget does not allow to charge it.
    pub(super) fn hand_over(&self) -> Option<Handover> {
        let charges = &self.retries.0;
        self.retries.refund_unsent();
        let has_unread_free = charges.sends().has_unread_free();
        if has_unread_free {
            if !self.try_charge(RetryReason::Forwarded) {
                return None;
            }
            let is_charged = charges.sends().charge_free();
            if !is_charged {
                self.gateway.router().refund_retry(&self.plan);
            }
        }
        let now = self.gateway.now();
        let is_withdrawn =
            self.retries.is_counted() && self.gateway.router().record_offered(now, &self.plan);
        let counted_age = is_withdrawn.then(|| now.saturating_sub(self.plan.read_at));
        Some(charges.sends().hand_over(self.sends, counted_age))
    }

    /// Records a retry that was allowed or refused together with another decision.
    pub(super) fn record_judged_retry(&self, reason: RetryReason, allowed: bool) {
        let now = self.gateway.now();
        let usage = self.gateway.router().retry_usage(now, &self.plan);
        self.log_retry(reason, usage, allowed);
    }

    fn log_retry(&self, reason: RetryReason, usage: RetryUsage, allowed: bool) {
        self.gateway.metrics.record_retry(reason, allowed);
        log::info!(
            id:% = self.req.head.id, service:% = self.plan.service, reason:? = reason,
            sends = self.sends, window_ms = usage.began.as_millis() as u64,
            requests = usage.requests, settled = usage.settled,
            outstanding = usage.outstanding, most = usage.allowed, slack = usage.slack,
            entries = self.gateway.router().entry_count(),
            up_ms = self.gateway.now().as_millis() as u64, allowed = allowed;
            "retry"
        );
    }
}
