//! Tasks of the leader: clock, retention, rollouts and orders.

use std::time::Duration;

use crate::{
    control::{
        ControlCore,
        leases::Leases,
        message::{
            ControlAction,
            ControlNotice, //
        },
        orders::Orders,
        pending::{
            LeaderTask,
            Pending, //
        },
    },
    ids::{
        Fencing,
        MonoTime,
        ServerAddr, //
    },
    message::command::{
        Command,
        Outcome,
        RolloutState,
        RolloutStep, //
    },
};

/// State that a replica holds only while it leads.
#[derive(Debug)]
pub(super) struct Leadership {
    /// Time at which it became leader.
    pub(super) since: MonoTime,
    /// Set once everything committed before its term is applied: where the log's
    /// clock continues.
    pub(super) clock_base: Option<ClockBase>,
    pub(super) leases: Leases,
    pub(super) orders: Orders,
}

/// Time of the log's clock when the leader took it over, and its own at that
/// moment.
#[derive(Clone, Copy, Debug)]
pub(super) struct ClockBase {
    log_time: Duration,
    local_time: MonoTime,
}

impl Leadership {
    pub(super) fn new(since: MonoTime) -> Self {
        Self {
            since,
            clock_base: None,
            leases: Leases::default(),
            orders: Orders::default(),
        }
    }
}

impl ControlCore {
    pub(super) fn act_as_leader(&mut self) {
        let Some(lead) = &self.lead else {
            return;
        };
        if lead.clock_base.is_none() {
            if !self.pending.is_task_pending(&LeaderTask::ReadBarrier) {
                self.request_read(Pending::Leader(LeaderTask::ReadBarrier));
            }
            return;
        }
        if !self.leads(self.now) {
            return;
        }
        self.advance_clock();
        self.replicate_retention();
        self.update_in_force();
        self.advance_rollouts();
        self.issue_orders();
    }

    /// Takes over the log's clock once everything committed before is applied.
    pub(super) fn start_clock(&mut self) {
        let base = ClockBase {
            log_time: self.state.clock(),
            local_time: self.now,
        };
        if let Some(lead) = &mut self.lead {
            lead.clock_base.get_or_insert(base);
        }
    }

    fn advance_clock(&mut self) {
        let Some(base) = self.lead.as_ref().and_then(|lead| lead.clock_base) else {
            return;
        };
        let at = base.log_time + self.now.saturating_sub(base.local_time);
        if at >= self.state.clock() + self.cfg.clock_interval {
            self.propose_task(LeaderTask::Clock, &Command::Clock { at });
        }
    }

    fn replicate_retention(&mut self) {
        if *self.state.retention() != self.cfg.retention {
            let command = Command::Retention(self.cfg.retention.clone());
            self.propose_task(LeaderTask::Retention, &command);
        }
    }

    /// Records the newest revision that every entry with a lease has.
    ///
    /// If it were recorded too early, operators would consider a withdrawn version
    /// unused while an entry still sends requests to it. It is recorded in the log
    /// so that a new leader does not report an older revision.
    fn update_in_force(&mut self) {
        let Some(lead) = &mut self.lead else {
            return;
        };
        lead.leases.remove_expired(self.cfg.entry_lease, self.now);
        let min_revision = lead.leases.min_revision(self.now);
        let revision = min_revision.unwrap_or(self.state.revision());
        if self.are_leases_known() && revision > self.state.in_force() {
            self.propose_task(LeaderTask::InForce, &Command::InForce(revision));
        }
    }

    fn advance_rollouts(&mut self) {
        let mut steps = self.state.due_steps();
        let fleet = self.state.fleet();
        for rollout in &fleet.rollouts {
            let Some((model, _)) = fleet.version(&rollout.version) else {
                continue;
            };
            let Some(lead) = &self.lead else {
                return;
            };
            let loading = self.state.rollout(&rollout.version) == Some(RolloutState::Loading);
            if loading && lead.orders.has_copies(rollout, model) {
                steps.push(RolloutStep {
                    version: rollout.version.clone(),
                    from: RolloutState::Loading,
                    to: RolloutState::At(0),
                });
            }
        }
        for step in steps {
            let task = LeaderTask::Rollout(step.version.clone());
            self.propose_task(task, &Command::Rollout(step));
        }
    }

    fn issue_orders(&mut self) {
        let allowed_from = self.orders_allowed_from();
        let Some(lead) = &mut self.lead else {
            return;
        };
        lead.orders.remove_expired(&self.cfg, self.now);
        if allowed_from > self.now && !self.cfg.faults.order_before_lease_end {
            return;
        }
        // One order per event, so that an order rejected by the log can be selected
        // again.
        if let Some(order) = lead.orders.next_order(&self.cfg, &self.state, self.now) {
            let task = LeaderTask::Order(order.server);
            self.propose_task(task, &Command::Order(order));
        }
    }

    /// Returns the time from which this leader may issue orders.
    ///
    /// Some engines do not check the fencing number. If the last order of the old
    /// leader reached such an engine after the first one of the new leader, the
    /// engine would end in the state that the old leader wanted.
    fn orders_allowed_from(&self) -> MonoTime {
        let since = self.lead.as_ref().map_or(MonoTime::MAX, |lead| lead.since);
        let lease = self.cfg.scaled_for_drift(self.cfg.replica.lease);
        since.saturating_add(lease + self.cfg.network_bound)
    }

    fn propose_task(&mut self, task: LeaderTask, command: &Command) {
        if !self.pending.is_task_pending(&task) {
            self.propose(Pending::Leader(task), command);
        }
    }

    /// Sends an order that has just been committed with its fencing number.
    pub(super) fn send_order(&mut self, outcome: Outcome) {
        let Outcome::Ordered(order) = outcome else {
            return;
        };
        let leads = self.leads(self.now);
        if let Some(lead) = &mut self.lead
            && leads
        {
            lead.orders.set_fencing(&order);
            self.actions.push(ControlAction::Order(order));
        }
    }

    pub(super) fn handle_order_result(&mut self, server: ServerAddr, fencing: Fencing, ok: bool) {
        if ok {
            return;
        }
        if let Some(lead) = &mut self.lead {
            lead.orders.mark_failed(server, fencing);
        }
        self.notify(ControlNotice::OrderFailed { server, fencing });
    }
}
