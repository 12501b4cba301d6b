//! What the leader does by itself: clock, retention, roll-outs and orders.

use std::time::Duration;

use crate::{
    control::{
        ControlCore,
        clients::{
            Own,
            Waiting, //
        },
        leases::Leases,
        message::{
            ControlAction,
            ControlNotice, //
        },
        orders::Orders,
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

/// What a replica holds only while it leads.
#[derive(Debug)]
pub(super) struct Lead {
    /// Time at which it became the leader.
    pub(super) since: MonoTime,
    /// Whether its state holds all that was committed before, and with which
    /// time of its clock the log's clock goes on.
    pub(super) settled: Option<ClockBase>,
    pub(super) leases: Leases,
    pub(super) orders: Orders,
}

/// Where the log's clock stood when a leader took it over.
#[derive(Clone, Copy, Debug)]
pub(super) struct ClockBase {
    log: Duration,
    here: MonoTime,
}

impl Lead {
    pub(super) fn new(since: MonoTime) -> Self {
        Self {
            since,
            settled: None,
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
        if lead.settled.is_none() {
            if !self.clients.has_own(&Own::Settle) {
                self.ask_to_read(Waiting::Own(Own::Settle));
            }
            return;
        }
        if !self.leads(self.now) {
            return;
        }
        self.move_clock();
        self.bring_retention();
        self.find_in_force();
        self.step_rollouts();
        self.give_orders();
    }

    /// Takes over the log's clock once the state is whole.
    pub(super) fn settle(&mut self) {
        let base = ClockBase {
            log: self.state.clock(),
            here: self.now,
        };
        if let Some(lead) = &mut self.lead {
            lead.settled.get_or_insert(base);
        }
    }

    fn move_clock(&mut self) {
        let Some(base) = self.lead.as_ref().and_then(|lead| lead.settled) else {
            return;
        };
        let at = base.log + self.now.saturating_sub(base.here);
        if at >= self.state.clock() + self.cfg.clock_every {
            self.decide(Own::Clock, &Command::Clock { at });
        }
    }

    fn bring_retention(&mut self) {
        if *self.state.retention() != self.cfg.retention {
            let command = Command::Retention(self.cfg.retention.clone());
            self.decide(Own::Retention, &command);
        }
    }

    /// Records the newest revision that every entry has, or whose lease is over.
    ///
    /// Told too early, an operator takes a withdrawn version for gone while an
    /// entry still sends to it. The record in the log keeps what was told once
    /// from being taken back by a new leader.
    fn find_in_force(&mut self) {
        let Some(lead) = &mut self.lead else {
            return;
        };
        lead.leases.expire(self.cfg.entry_lease, self.now);
        let lowest = lead.leases.lowest(self.now);
        let revision = lowest.unwrap_or(self.state.revision());
        if self.knows_leases() && revision > self.state.in_force() {
            self.decide(Own::InForce, &Command::InForce(revision));
        }
    }

    fn step_rollouts(&mut self) {
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
            let own = Own::Step(step.version.clone());
            self.decide(own, &Command::Rollout(step));
        }
    }

    fn give_orders(&mut self) {
        let may_from = self.orders_from();
        let Some(lead) = &mut self.lead else {
            return;
        };
        lead.orders.expire(&self.cfg, self.now);
        if may_from > self.now && !self.cfg.faults.order_before_lease_end {
            return;
        }
        // One an event: an order that the log refuses is free to be picked again.
        if let Some(order) = lead.orders.next(&self.cfg, &self.state, self.now) {
            let own = Own::Order(order.server);
            self.decide(own, &Command::Order(order));
        }
    }

    /// Returns from when this leader may give orders.
    ///
    /// Some engines take an order whatever its fencing number. Such an engine,
    /// given the old leader's last order after the new leader's first, would end
    /// as the old leader wanted it.
    fn orders_from(&self) -> MonoTime {
        let since = self.lead.as_ref().map_or(MonoTime::MAX, |lead| lead.since);
        let lease = self.cfg.stretched(self.cfg.replica.lease);
        since.saturating_add(lease + self.cfg.dispatch_bound)
    }

    fn decide(&mut self, own: Own, command: &Command) {
        if !self.clients.has_own(&own) {
            self.propose(Waiting::Own(own), command);
        }
    }

    /// Sends an order whose fencing number the log has just given.
    pub(super) fn carry_out(&mut self, outcome: Outcome) {
        let Outcome::Ordered(order) = outcome else {
            return;
        };
        let leads = self.leads(self.now);
        if let Some(lead) = &mut self.lead
            && leads
        {
            lead.orders.numbered(&order);
            self.actions.push(ControlAction::Order(order));
        }
    }

    pub(super) fn note_ordered(&mut self, server: ServerAddr, fencing: Fencing, ok: bool) {
        if ok {
            return;
        }
        if let Some(lead) = &mut self.lead {
            lead.orders.failed(server, fencing);
        }
        self.notice(ControlNotice::OrderFailed { server, fencing });
    }
}
