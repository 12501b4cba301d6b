//! Retries of a request, which the retry budget bounds, and what they are made for.

use sesamebeam_core::gateway::retry_budget::RetryUsage;

use super::dispatch::Dispatch;
use crate::exposition::RetryReason;

impl Dispatch {
    /// Charges another send to the retry budget; returns `false` if the budget is
    /// exhausted.
    pub(super) fn try_spend_retry(&self, reason: RetryReason) -> bool {
        let now = self.gateway.now();
        let mut router = self.gateway.router();
        let usage = router.retry_usage(now, &self.plan);
        let allowed = router.try_retry(now, &self.plan);
        drop(router);
        self.record_retry(reason, usage, allowed);
        allowed
    }

    /// Records a retry that was charged with the decision to make it.
    pub(super) fn record_charged_retry(&self, reason: RetryReason) {
        let now = self.gateway.now();
        let usage = self.gateway.router().retry_usage(now, &self.plan);
        self.record_retry(reason, usage, true);
    }

    fn record_retry(&self, reason: RetryReason, usage: RetryUsage, allowed: bool) {
        self.gateway.metrics.record_retry(reason, allowed);
        log::info!(
            id:% = self.req.head.id, service:% = self.plan.service, reason:? = reason,
            sends = self.sends, requests = usage.requests, retries = usage.retries,
            most = usage.allowed as u64, entries = self.gateway.router().entry_count(),
            allowed = allowed;
            "retry"
        );
    }
}
