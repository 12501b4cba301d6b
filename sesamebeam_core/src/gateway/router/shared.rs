//! An entry's part of what all entries spend together: repeated sends, what backend servers
//! take by what they say, connections.

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
        request::ResponseHead, //
    },
    ids::MonoTime,
};

impl Router {
    /// Notes how many entries there are.
    pub fn set_entries(&mut self, now: MonoTime, entries: u32) {
        self.budget.set_entries(now, entries);
        self.cold.set_entries(now, entries);
        self.limits.set_entries(now, entries);
    }

    /// Returns whether one more send of a request is in the budget, and spends it.
    pub fn try_repeat(&mut self, now: MonoTime, plan: &Plan) -> bool {
        self.budget.try_retry(now, &plan.service)
    }

    /// Takes the limit that the answer to a request names, or none, and returns whether
    /// that is news.
    ///
    /// What an older life says holds for nobody. Only an answer with the mark of its
    /// backend server ends a limit by naming none: one that turns requests away, or is not
    /// the one that was meant, may leave it out.
    pub fn limit_heard(
        &mut self,
        now: MonoTime,
        choice: &Choice,
        sent_at: MonoTime,
        answer: &ResponseHead,
    ) -> bool {
        let says = answer.limit.is_some() || answer.sealed;
        says && self.lives(choice) && self.limits.heard(now, &choice.id, sent_at, answer.limit)
    }

    /// Returns how many idle connections this entry keeps to a backend server of a plan's
    /// service.
    pub fn most_idle(&self, plan: &Plan) -> usize {
        let service = plan.table.config().service(&plan.service);
        let takes = service.map_or(0, |s| s.max_connections);
        connections::max_idle(takes, self.budget.entries())
    }

    /// Returns how many backend servers name a limit.
    pub fn limited(&self) -> usize {
        self.limits.count()
    }

    /// Takes what the head of an answer asks of this entry, and returns that if it is news.
    ///
    /// What an older life asks for holds for nobody, and an answer of another life than
    /// the one that was meant says nothing of that one.
    pub fn backoff_heard(
        &mut self,
        now: MonoTime,
        choice: &Choice,
        answer: &ResponseHead,
    ) -> Option<Backoff> {
        if answer.misdirected || !self.lives(choice) {
            return None;
        }
        self.backoffs.heard(now, &choice.id, answer)
    }

    /// Returns how many backend servers want nothing from this entry now.
    pub fn backed_off(&self, now: MonoTime) -> usize {
        self.backoffs.count(now)
    }

    /// Returns whether a backend server takes a request of this entry now, by what it has
    /// said itself.
    pub(super) fn takes(&self, now: MonoTime, id: &ServerId) -> bool {
        self.backoffs.is_open(now, id) && self.limits.is_open(now, id)
    }
}
