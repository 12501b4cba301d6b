//! Backend servers that are leased to entries, and requests that wait for their slots.

use std::time::Duration;

use super::{
    Choice,
    Plan,
    Router, //
};
use crate::{
    gateway::{
        balance::Outcome,
        config::ServiceId,
        directory::ServerId,
        loads,
        request::ResponseHead,
        server_leases::{
            LeaseGrant,
            LeaseRequest,
            QueueTicket, //
        },
    },
    ids::MonoTime,
};

/// Longest expected wait for a slot, as a share of the time in which an answer is on time,
/// and of the remaining time: a request that waits for longer is late anyway.
const MAX_WAIT_OF_TARGET: f64 = 0.5;
const MAX_WAIT_OF_REMAINING: f64 = 0.25;

/// Share of that wait up to which a request waits here although other entries have slots.
const SHORT_WAIT_SHARE: f64 = 0.25;

/// Where a request that waits for a slot could go instead.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Elsewhere {
    /// To another entry that holds leases.
    Peer,
    /// Nowhere.
    Nowhere,
}

impl Router {
    /// Returns whether the backend servers of a service are leased.
    pub fn is_leased(&self, service: &str) -> bool {
        self.leases.is_leased(service)
    }

    /// Returns the number of leases that this entry holds.
    pub fn lease_count(&self, now: MonoTime) -> usize {
        self.leases.held_count(now)
    }

    /// Records what an answer states of rejections. Returns whether that is news.
    ///
    /// Answers of earlier incarnations are ignored. A missing statement counts only in an
    /// answer sealed by its backend server, as a rejection or an answer of another process
    /// may omit it.
    pub fn record_max_rejections(
        &mut self,
        now: MonoTime,
        choice: &Choice,
        sent_at: MonoTime,
        answer: &ResponseHead,
    ) -> bool {
        let is_stated = answer.max_rejections.is_some() || answer.sealed;
        if !is_stated || !self.is_current_incarnation(choice) {
            return false;
        }
        let Some(known) = self.directory.get(&choice.id) else {
            return false;
        };
        let server = &known.announcement;
        self.leases
            .record_statement(now, server, sent_at, answer.max_rejections)
    }

    /// Records a complete answer of a backend server and the time that it took.
    pub fn record_run_time(&mut self, now: MonoTime, choice: &Choice, took: Duration) {
        if let Some(known) = self.directory.get(&choice.id) {
            self.leases.record_answer(now, &known.announcement, took);
        }
    }

    /// Records how the use of a slot ended.
    pub(super) fn record_slot_use(&mut self, now: MonoTime, choice: &Choice, outcome: Outcome) {
        match outcome {
            Outcome::Refused => {
                let in_flight = self.balancer.in_flight(&choice.id);
                self.leases.record_rejection(now, &choice.id, in_flight);
            }
            Outcome::Dropped | Outcome::Silent => self.leases.record_aborted(now, &choice.id),
            Outcome::Good | Outcome::Failed | Outcome::Unreachable | Outcome::Down => {}
        }
    }

    /// Returns whether a lease allows this entry to send a request to a backend server now,
    /// or none is needed.
    pub(super) fn lease_allows_send(&self, now: MonoTime, id: &ServerId) -> bool {
        if self.leases.services().next().is_none() {
            return true;
        }
        let known = self.directory.get(id);
        known.is_none_or(|known| {
            let in_flight = self.balancer.in_flight(id);
            self.leases.allows_send(now, &known.announcement, in_flight)
        })
    }

    /// Returns the number of slots of a service that this entry may use now.
    fn free_slots(&self, now: MonoTime, service: &str) -> u32 {
        let free = self.leases.held_servers(now).map(|server| {
            let known = self.directory.with_key(server);
            let of_service = known.filter(|k| k.announcement.service == service);
            of_service
                .map(|k| {
                    let in_flight = self.balancer.in_flight(&k.announcement.id);
                    self.leases.free_slots(now, &k.announcement, in_flight)
                })
                .sum::<u32>()
        });
        free.sum()
    }

    /// Returns the number of slots of the backend servers of a service that are leased to
    /// this entry.
    fn leased_slots(&self, now: MonoTime, service: &str) -> u32 {
        let slots = self.leases.held_servers(now).map(|server| {
            let known = self.directory.with_key(server);
            let of_service = known.filter(|k| k.announcement.service == service);
            of_service.map(|k| k.announcement.slots).sum::<u32>()
        });
        slots.sum()
    }

    /// Returns whether requests to a plan's service wait for slots.
    pub fn has_slot_queue(&self, plan: &Plan) -> bool {
        self.leases.has_queue(&plan.service)
    }

    /// Queues a request for a slot unless the wait would be too long. Returns its ticket and
    /// the longest time that it waits.
    pub fn join_slot_queue(
        &mut self,
        now: MonoTime,
        plan: &Plan,
        elsewhere: Elsewhere,
    ) -> Option<(QueueTicket, Duration)> {
        let remaining = plan.deadline.saturating_sub(now);
        let mut max_wait = remaining.mul_f64(MAX_WAIT_OF_REMAINING);
        if !plan.route.target.is_zero() {
            max_wait = max_wait.min(plan.route.target.mul_f64(MAX_WAIT_OF_TARGET));
        }
        let accepted_wait = match elsewhere {
            Elsewhere::Peer => max_wait.mul_f64(SHORT_WAIT_SHARE),
            Elsewhere::Nowhere => max_wait,
        };
        let slots = self.leased_slots(now, &plan.service);
        let ticket = self
            .leases
            .join_queue(&plan.service, slots, accepted_wait)?;
        Some((ticket, max_wait))
    }

    /// Returns whether a queued request may be sent now.
    pub fn is_turn(&self, now: MonoTime, plan: &Plan, ticket: QueueTicket) -> bool {
        let free = self.free_slots(now, &plan.service);
        self.leases.is_turn(&plan.service, ticket, free)
    }

    /// Removes a request from the queue.
    pub fn leave_slot_queue(&mut self, plan: &Plan, ticket: QueueTicket) {
        self.leases.leave_queue(&plan.service, ticket);
    }

    /// Takes the request for leases that is due, if any. An entry that is `stopping` gives
    /// its leases up.
    pub fn take_lease_request(&mut self, now: MonoTime, stopping: bool) -> Option<LeaseRequest> {
        if !self.leases.is_active() {
            return None;
        }
        let isolated: Vec<ServiceId> = self.isolation.services().cloned().collect();
        let mut unusable = self.leases.record_isolated(now, isolated);
        if stopping {
            unusable = self.leases.services().cloned().collect();
        }
        let directory = &self.directory;
        self.leases.give_up(|server| {
            let mut known = directory.with_key(server);
            known.any(|k| unusable.contains(&k.announcement.service))
        });
        let leases = &self.leases;
        let of_leased_service = |id: &ServerId| {
            let known = directory.get(id);
            known.is_some_and(|k| leases.is_leased(&k.announcement.service))
        };
        let in_flight = self.balancer.all_in_flight();
        let in_flight: Vec<_> = in_flight
            .filter(|(id, _)| of_leased_service(id))
            .map(|(id, count)| (loads::key(id), count))
            .collect();
        self.leases.take_request(now, in_flight, unusable)
    }

    /// Returns whether backend servers have stated something of rejections that the control
    /// replicas do not know yet.
    pub fn has_lease_news(&self) -> bool {
        self.leases.has_news()
    }

    /// Applies an answer of the leader, or news. Returns whether the services or the set of
    /// held leases have changed.
    pub fn apply_leases(&mut self, grant: LeaseGrant) -> bool {
        self.leases.apply(grant)
    }
}
