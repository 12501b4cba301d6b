//! This entry's share of resources that all entries use together: retry budget, rate
//! limits of backend servers and connections.

use super::{
    Choice,
    Plan,
    Router, //
};
use crate::{
    gateway::{
        backoff::Backoff,
        connections,
        directory::ServerId,
        request::ResponseHead,
        retry_budget::RetryUsage, //
    },
    ids::MonoTime,
};

impl Router {
    /// Sets the number of entries.
    pub fn set_entries(&mut self, now: MonoTime, entries: u32) {
        self.budget.set_entries(now, entries);
        self.cold.set_entries(now, entries);
        self.limits.set_entries(now, entries);
    }

    /// Returns whether the retry budget allows another send of a request, and charges it.
    pub fn try_retry(&mut self, now: MonoTime, plan: &Plan) -> bool {
        self.budget.try_retry(now, &plan.service)
    }

    /// Records that a retry, which the budget allowed, can't be read any more.
    pub fn settle_retry(&mut self, now: MonoTime, plan: &Plan) {
        self.budget.settle_retry(now, &plan.service);
    }

    /// Gives back a retry, which the budget allowed, that was never sent.
    pub fn refund_retry(&mut self, plan: &Plan) {
        self.budget.refund_retry(&plan.service);
    }

    /// Records that a send to a backend server begins. Returns whether it counts for the rate
    /// limit there; [`Router::record_read`] or [`Router::withdraw_unread`] then has to follow.
    pub fn record_unread(&mut self, id: &ServerId) -> bool {
        self.limits.record_unread(id)
    }

    /// Records that a send that counts for a rate limit was not made.
    pub fn withdraw_unread(&mut self, id: &ServerId) {
        self.limits.withdraw_unread(id);
    }

    /// Records that a send that counts for a rate limit was read, or can't be read any more.
    pub fn record_read(&mut self, now: MonoTime, id: &ServerId) {
        self.limits.record_read(now, id);
    }

    /// Returns the highest known number of entries.
    pub fn entry_count(&self) -> u32 {
        self.budget.entries()
    }

    /// Returns the state of the retry budget of a plan's service.
    pub fn retry_usage(&mut self, now: MonoTime, plan: &Plan) -> RetryUsage {
        self.budget.usage(now, &plan.service)
    }

    /// Records the rate limit stated in an answer, or its absence, and returns whether
    /// the limit changed.
    ///
    /// Answers of earlier incarnations are ignored. A missing limit ends a limit only in
    /// an answer sealed by its backend server, as a rejection or an answer of another
    /// process may omit the limit.
    pub fn record_limit(
        &mut self,
        now: MonoTime,
        choice: &Choice,
        sent_at: MonoTime,
        answer: &ResponseHead,
    ) -> bool {
        let is_stated = answer.limit.is_some() || answer.sealed;
        is_stated
            && self.is_current_incarnation(choice)
            && self.limits.record(now, &choice.id, sent_at, answer.limit)
    }

    /// Returns the number of idle connections that this entry keeps to each backend
    /// server of a plan's service.
    pub fn max_idle_connections(&self, plan: &Plan) -> usize {
        let service = plan.table.config().service(&plan.service);
        let accepted = service.map_or(0, |s| s.max_connections);
        connections::max_idle(accepted, self.budget.entries())
    }

    /// Returns the number of backend servers with a rate limit.
    pub fn limited_count(&self) -> usize {
        self.limits.count()
    }

    /// Records the backoff requested in the head of an answer, and returns it if it is
    /// new.
    ///
    /// Answers of earlier incarnations are ignored, as are those of a process other than
    /// the chosen one.
    pub fn record_backoff(
        &mut self,
        now: MonoTime,
        choice: &Choice,
        answer: &ResponseHead,
    ) -> Option<Backoff> {
        if answer.misdirected || !self.is_current_incarnation(choice) {
            return None;
        }
        self.backoffs.record(now, &choice.id, answer)
    }

    /// Returns the number of backend servers that have asked this entry to back off.
    pub fn backed_off_count(&self, now: MonoTime) -> usize {
        self.backoffs.count(now)
    }

    /// Returns whether the requested backoff, the rate limit and the lease of a backend
    /// server allow this entry to send it a request now.
    pub(super) fn accepts(&self, now: MonoTime, id: &ServerId) -> bool {
        self.backoffs.allows_send(now, id)
            && self.limits.allows_send(now, id)
            && self.lease_allows_send(now, id)
    }
}
