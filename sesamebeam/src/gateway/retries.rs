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
    request_sends::RequestSends,
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
    /// Creates the retries of a request of which nothing was sent from here. Its first send
    /// is free.
    pub(super) fn new(gateway: Arc<Gateway>, plan: Arc<Plan>) -> Self {
        Self(Arc::new(Charges {
            gateway,
            plan,
            sends: Mutex::default(),
        }))
    }

    /// Records that a send to a backend server begins.
    pub(super) fn begin_send(&self, server: &ServerId) -> Arc<UnsettledSend> {
        let is_limited = self.0.gateway.router().record_unread(server);
        self.begin(is_limited.then(|| server.clone()))
    }

    /// Records that a send to another entry begins.
    pub(super) fn begin_peer_send(&self) -> Arc<UnsettledSend> {
        self.begin(None)
    }

    fn begin(&self, limited: Option<ServerId>) -> Arc<UnsettledSend> {
        self.0.sends().begin();
        Arc::new(UnsettledSend {
            charges: Arc::clone(&self.0),
            is_withdrawn: AtomicBool::new(false),
            limited,
        })
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
        let unsent = self.0.sends().take_unsent();
        for _ in 0..unsent {
            self.0.gateway.router().refund_retry(&self.0.plan);
        }
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
        let now = self.gateway.now();
        let mut router = self.gateway.router();
        let usage = router.retry_usage(now, &self.plan);
        let allowed = router.try_retry(now, &self.plan);
        drop(router);
        if allowed {
            self.retries.record_charge();
        }
        self.log_retry(reason, usage, allowed);
        allowed
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
