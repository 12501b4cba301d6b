//! The control core: clients' requests over the replicated log.
//!
//! A [`ControlCore`] holds one replica of the log and the state that applying it
//! gives. Any replica takes requests; the leader serves them. Beside the log the
//! leader alone holds what its clock tells: leases of entries, dispatch windows,
//! and which engines have loaded what.
//!
//! Three waits keep two leaders from contradicting each other:
//!
//! - A leader answers renewals, and gives orders, only under its lease from the
//!   other replicas. Cut off, it stops before another can lead.
//! - A new leader does not know the entries' leases that the one before it gave.
//!   It takes them for running until an entry lease after its own beginning.
//! - A new leader gives its first order when the lease of the one before it is
//!   over on every clock, and an order sent at its end has arrived.

mod clients;
mod leases;
mod message;
mod orders;
mod windows;

use std::{
    collections::VecDeque,
    time::Duration, //
};

use smol_str::{
    SmolStr,
    ToSmolStr, //
};

pub use self::message::{
    ClientTicket,
    ControlAction,
    ControlConfig,
    ControlEvent,
    ControlNotice,
    StopCause, //
};
use self::{
    clients::{
        Clients,
        Own,
        Query,
        Waiting,
        reply_of,
        reply_to_rejected, //
    },
    leases::{
        Leases,
        News,
        Poll,
        Polls, //
    },
    orders::Orders,
    windows::Windows, //
};
use crate::{
    fleet::check::check,
    ids::{
        Fencing,
        LogIndex,
        MonoTime,
        Revision,
        ServerAddr, //
    },
    message::{
        command::{
            Change,
            Command,
            Evidence,
            Outcome,
            Retake,
            RolloutState,
            RolloutStep,
            Verdict, //
        },
        control::{
            ControlReply,
            ControlRequest,
            LeaderHint,
            Live,
            Renew,
            Renewed,
            Replace,
            Status,
            Update, //
        },
        record::{
            ClaimKey,
            ClaimReply,
            ClaimRequest,
            ClaimState,
            ClaimView,
            Claimant, //
        },
        wire,
    },
    replica::{
        MemberChange,
        Replica,
        ReplicaAction,
        ReplicaEvent,
        Role,
        Saved,
        Ticket, //
    },
    state::State,
};

/// Most billing entries in one reply.
const MAX_BILLS: u32 = 1000;

/// Most reports of evidence in one request.
const MAX_EVIDENCE: usize = 256;

/// Share of its lease after which an entry's renewal is answered without news.
const POLLS_A_LEASE: u32 = 3;

/// One control replica.
#[derive(Debug)]
pub struct ControlCore {
    cfg: ControlConfig,
    replica: Replica,
    state: State,
    windows: Windows,
    clients: Clients,
    polls: Polls,
    lead: Option<Lead>,
    noticed: Noticed,
    stopped: bool,
    now: MonoTime,
    actions: Vec<ControlAction>,
}

/// What a replica holds only while it leads.
#[derive(Debug)]
struct Lead {
    /// Time at which it became the leader.
    since: MonoTime,
    /// Whether its state holds all that was committed before, and with which
    /// time of its clock the log's clock goes on.
    settled: Option<ClockBase>,
    leases: Leases,
    orders: Orders,
}

/// Where the log's clock stood when a leader took it over.
#[derive(Clone, Copy, Debug)]
struct ClockBase {
    log: Duration,
    here: MonoTime,
}

impl Lead {
    fn new(since: MonoTime) -> Self {
        Self {
            since,
            settled: None,
            leases: Leases::default(),
            orders: Orders::default(),
        }
    }
}

impl ControlCore {
    /// Makes a control replica from what its disk holds.
    pub fn new(cfg: ControlConfig, saved: Saved, now: MonoTime) -> (Self, Vec<ControlAction>) {
        let (replica, actions) = Replica::new(cfg.replica.clone(), saved, now);
        let mut core = Self {
            state: State::default(),
            windows: Windows::default(),
            clients: Clients::default(),
            polls: Polls::default(),
            lead: None,
            noticed: Noticed::default(),
            stopped: false,
            now,
            actions: Vec::new(),
            replica,
            cfg,
        };
        core.state.faults = core.cfg.faults;
        core.take_up(actions);
        core.act_as_leader();
        let actions = std::mem::take(&mut core.actions);
        (core, actions)
    }

    /// Handles an event at a time that never goes back.
    pub fn handle(&mut self, now: MonoTime, event: ControlEvent) -> Vec<ControlAction> {
        self.now = self.now.max(now);
        match event {
            ControlEvent::Tick => self.drive(ReplicaEvent::Tick),
            ControlEvent::Peer { from, message } => {
                self.drive(ReplicaEvent::Message { from, message });
            }
            ControlEvent::Synced { write } => self.drive(ReplicaEvent::Synced { write }),
            ControlEvent::DiskFull(full) => self.drive(ReplicaEvent::DiskFull(full)),
            ControlEvent::Client { ticket, req } => self.serve(ticket, req),
            ControlEvent::ClientGone { ticket } => {
                self.polls.remove(ticket);
                self.clients.drop_client(ticket);
            }
            ControlEvent::Ordered {
                server,
                fencing,
                ok,
            } => self.note_ordered(server, fencing, ok),
        }
        self.give_up_late();
        self.act_as_leader();
        self.answer_polls();
        std::mem::take(&mut self.actions)
    }

    /// Returns when the core next needs a [`ControlEvent::Tick`].
    pub fn next_wake(&self) -> MonoTime {
        let mut wake = self.replica.next_wake();
        let mut sooner = |at: Option<MonoTime>| wake = wake.min(at.unwrap_or(wake));
        sooner(self.clients.next_late());
        sooner(self.polls.next_due());
        if let Some(lead) = &self.lead
            && lead.settled.is_some()
        {
            sooner(Some(self.now + self.cfg.clock_every));
            sooner(lead.leases.next_end(self.now));
            sooner(lead.orders.next_wake(self.now));
        }
        // A wake that lies in the past would be called for again and again.
        wake.max(self.now + Duration::from_millis(1))
    }

    /// Returns the state of the group and of the entries, as known here.
    pub fn status(&self, now: MonoTime) -> Status {
        let entries = self.lead.as_ref().map(|lead| lead.leases.status(now));
        Status {
            node: self.cfg.replica.id,
            leader: self.replica.leader(),
            term: self.replica.term(),
            committed: self.replica.committed(),
            revision: self.state.revision(),
            in_force: self.state.in_force(),
            replicas: self.replica.progress(now),
            entries: entries.unwrap_or_default(),
            live: self.state.live().clone(),
            claims: self.state.claims_kept() as u64,
            pins: self.state.pins_kept() as u64,
            bills: self.state.bills_kept() as u64,
        }
    }

    /// Returns the replicated state as applied here.
    pub fn state(&self) -> &State {
        &self.state
    }

    /// Returns whether this replica leads, under its lease and with a state that
    /// holds all that was committed before it led.
    pub fn leads(&self, now: MonoTime) -> bool {
        let settled = self.lead.as_ref().is_some_and(|l| l.settled.is_some());
        settled && (self.replica.has_lease(now) || self.cfg.faults.act_without_lease)
    }

    fn drive(&mut self, event: ReplicaEvent) {
        let actions = self.replica.handle(self.now, event);
        self.take_up(actions);
    }

    fn take_up(&mut self, actions: Vec<ReplicaAction>) {
        let mut queue = VecDeque::from(actions);
        while let Some(action) = queue.pop_front() {
            let more = self.take_up_one(action);
            // In front: what a snapshot gives belongs before later actions.
            more.into_iter().rev().for_each(|a| queue.push_front(a));
        }
    }

    fn take_up_one(&mut self, action: ReplicaAction) -> Vec<ReplicaAction> {
        match action {
            ReplicaAction::Send { to, message } => {
                self.actions.push(ControlAction::Send { to, message });
            }
            ReplicaAction::Write { write, ops } => {
                self.actions.push(ControlAction::Write { write, ops });
            }
            ReplicaAction::Apply {
                index,
                ticket,
                data,
            } => self.apply(index, ticket, &data),
            ReplicaAction::Rejected { ticket, reason } => {
                if let Some(waiting) = self.clients.take(ticket) {
                    let hint = self.leader_hint();
                    self.reject(waiting, reply_to_rejected(reason, hint));
                }
            }
            ReplicaAction::ReadReady { ticket } => self.read(ticket),
            ReplicaAction::Changed { ticket } => {
                if let Some(client) = self.clients.take(ticket).and_then(|w| w.client()) {
                    self.reply(client, ControlReply::Done);
                }
            }
            ReplicaAction::TakeSnapshot { index } => {
                let data = self.state.snapshot();
                let event = ReplicaEvent::Snapshot { index, data };
                return self.replica.handle(self.now, event);
            }
            ReplicaAction::Restore { index, data } => self.restore(index, &data),
            ReplicaAction::Role(role) => self.change_role(role),
            ReplicaAction::Members(members) => {
                self.actions.push(ControlAction::Members(members));
            }
        }
        Vec::new()
    }

    fn leader_hint(&self) -> Option<LeaderHint> {
        let node = self.replica.leader()?;
        let addr = self.replica.members().get(node).and_then(|m| m.addr);
        Some(LeaderHint { node, addr })
    }

    fn change_role(&mut self, role: Role) {
        self.notice(ControlNotice::Role(role));
        if role != Role::Leader {
            self.lead = None;
            let reply = ControlReply::NotLeader(self.leader_hint());
            for ticket in self.polls.take_all() {
                self.reply(ticket, reply.clone());
            }
        } else if self.lead.is_none() && !self.stopped {
            self.lead = Some(Lead::new(self.now));
        }
    }

    fn apply(&mut self, index: LogIndex, ticket: Option<Ticket>, data: &[u8]) {
        if self.stopped {
            return;
        }
        let Ok(command) = wire::decode::<Command>(data) else {
            self.stop(StopCause::Command(index));
            return;
        };
        let outcome = self.state.apply(index, &command);
        self.windows.note(index, self.now);
        self.notice_changes();
        match ticket.and_then(|ticket| self.clients.take(ticket)) {
            Some(Waiting::Own(_)) => self.carry_out(outcome),
            Some(Waiting::Claim(client, key)) => {
                let reply = self.claim_reply(&key, outcome);
                self.reply(client, reply);
            }
            Some(Waiting::Write(client) | Waiting::Read(client, _)) => {
                self.reply(client, reply_of(outcome));
            }
            None => {}
        }
    }

    fn restore(&mut self, index: LogIndex, data: &[u8]) {
        let Ok(state) = State::restore(data) else {
            self.stop(StopCause::Snapshot(index));
            return;
        };
        self.state = state;
        self.state.faults = self.cfg.faults;
        self.windows.note(index, self.now);
    }

    fn stop(&mut self, cause: StopCause) {
        self.stopped = true;
        self.lead = None;
        self.notice(ControlNotice::Stopped(cause));
    }

    /// Sends an order whose fencing number the log has just given.
    fn carry_out(&mut self, outcome: Outcome) {
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

    fn note_ordered(&mut self, server: ServerAddr, fencing: Fencing, ok: bool) {
        if ok {
            return;
        }
        if let Some(lead) = &mut self.lead {
            lead.orders.failed(server, fencing);
        }
        self.notice(ControlNotice::OrderFailed { server, fencing });
    }

    /// Takes back what a client or this leader waits for in vain.
    fn reject(&mut self, waiting: Waiting, reply: ControlReply) {
        match waiting {
            Waiting::Own(Own::Order(server)) => {
                if let Some(lead) = &mut self.lead {
                    lead.orders.dropped(server);
                }
            }
            Waiting::Own(_) => {}
            Waiting::Write(client) | Waiting::Claim(client, _) | Waiting::Read(client, _) => {
                self.reply(client, reply);
            }
        }
    }

    fn give_up_late(&mut self) {
        for waiting in self.clients.take_late(self.now) {
            self.reject(waiting, unavailable("no quorum answered in time"));
        }
    }
}

// Clients' requests.
impl ControlCore {
    fn serve(&mut self, ticket: ClientTicket, req: ControlRequest) {
        if let ControlRequest::Status = req {
            let status = Box::new(self.status(self.now));
            self.reply(ticket, ControlReply::Status(status));
            return;
        }
        if let Some(reply) = self.turn_away() {
            self.reply(ticket, reply);
            return;
        }
        let write = Waiting::Write(ticket);
        match req {
            ControlRequest::Renew(renew) => self.renew(ticket, renew),
            ControlRequest::Claim(req) => self.claim(ticket, req),
            ControlRequest::Complete(req) => self.propose(write, &Command::Complete(req)),
            ControlRequest::Pin(req) => self.propose(write, &Command::Pin(req)),
            ControlRequest::Crash(report) => self.propose(write, &Command::Crash(report)),
            ControlRequest::Cleared(prints) => self.propose(write, &Command::Cleared(prints)),
            ControlRequest::Settle(req) => self.propose(write, &Command::Settle(req)),
            ControlRequest::Apply(change) => self.apply_change(ticket, change),
            ControlRequest::Evidence(reports) => self.observe(ticket, reports),
            ControlRequest::Servers(announcements) => {
                if let Some(lead) = &mut self.lead {
                    lead.orders.see(announcements, self.now);
                }
                self.reply(ticket, ControlReply::Done);
            }
            ControlRequest::Look(key) => self.query(ticket, Query::Look(key)),
            ControlRequest::Current => self.query(ticket, Query::Current),
            ControlRequest::Bills { from, limit } => {
                let limit = limit.min(MAX_BILLS) as usize;
                self.query(ticket, Query::Bills(from, limit));
            }
            ControlRequest::Replace(replace) => self.replace(ticket, &replace),
            ControlRequest::Status => {}
        }
    }

    /// Says why no request but a status can be served, if so.
    fn turn_away(&self) -> Option<ControlReply> {
        if self.stopped {
            return Some(unavailable("this replica has stopped for good"));
        }
        let Some(lead) = &self.lead else {
            return Some(ControlReply::NotLeader(self.leader_hint()));
        };
        if lead.settled.is_some() && !self.leads(self.now) {
            return Some(unavailable("this leader reaches no quorum"));
        }
        let waiting = self.clients.len() + self.polls.len();
        (waiting >= self.cfg.max_waiting).then(|| unavailable("too many requests wait"))
    }

    fn propose(&mut self, waiting: Waiting, command: &Command) {
        match wire::encode(command) {
            Ok(data) => {
                let until = self.now + self.cfg.client_timeout;
                let ticket = self.clients.add(until, waiting);
                self.drive(ReplicaEvent::Propose { ticket, data });
            }
            Err(e) => self.reject(waiting, ControlReply::Refused(e.to_smolstr())),
        }
    }

    fn query(&mut self, client: ClientTicket, query: Query) {
        self.ask_to_read(Waiting::Read(client, query));
    }

    fn ask_to_read(&mut self, waiting: Waiting) {
        let until = self.now + self.cfg.client_timeout;
        let ticket = self.clients.add(until, waiting);
        self.drive(ReplicaEvent::Read { ticket });
    }

    fn read(&mut self, ticket: Ticket) {
        match self.clients.take(ticket) {
            Some(Waiting::Read(client, query)) => {
                let reply = self.answer(query);
                self.reply(client, reply);
            }
            Some(Waiting::Own(_)) => self.settle(),
            Some(Waiting::Write(_) | Waiting::Claim(..)) | None => {}
        }
    }

    fn answer(&self, query: Query) -> ControlReply {
        match query {
            Query::Look(key) => {
                let view = self.state.claim(&key).cloned();
                ControlReply::Claimed(view.map(|view| self.judged(&key, view)))
            }
            Query::Current => ControlReply::Current {
                revision: self.state.revision(),
                fleet: Box::new(self.state.fleet().clone()),
            },
            Query::Bills(from, limit) => ControlReply::Bills(self.state.bills(from, limit)),
        }
    }

    /// Judges a file. One with faults needs no log: its verdict follows from the
    /// file alone. A verdict that was given goes first, since a newer release
    /// may find faults in a file that is long in force.
    fn apply_change(&mut self, client: ClientTicket, change: Change) {
        if let Some(verdict) = self.state.verdict(&change) {
            let reply = ControlReply::Verdict(verdict.clone());
            self.reply(client, reply);
            return;
        }
        let faults = check(&change.fleet);
        if !faults.is_empty() {
            let faults = faults.iter().map(ToSmolStr::to_smolstr).collect();
            self.reply(client, ControlReply::Verdict(Verdict::Faulty(faults)));
            return;
        }
        self.propose(Waiting::Write(client), &Command::Apply(change));
    }

    /// Writes reports of evidence. The log keeps their order, so the answer to
    /// the last one says that all were written.
    fn observe(&mut self, client: ClientTicket, mut reports: Vec<Evidence>) {
        reports.truncate(MAX_EVIDENCE);
        let Some(last) = reports.pop() else {
            self.reply(client, ControlReply::Done);
            return;
        };
        for report in reports {
            if let Ok(data) = wire::encode(&Command::Evidence(report)) {
                let ticket = 0;
                self.drive(ReplicaEvent::Propose { ticket, data });
            }
        }
        self.propose(Waiting::Write(client), &Command::Evidence(last));
    }

    fn replace(&mut self, client: ClientTicket, replace: &Replace) {
        let change = MemberChange::Replace {
            gone: replace.gone,
            new: replace.new,
            incarnation: replace.incarnation,
            addr: Some(replace.addr),
        };
        let until = self.now + self.cfg.client_timeout;
        let ticket = self.clients.add(until, Waiting::Write(client));
        self.drive(ReplicaEvent::Change { ticket, change });
    }

    fn reply(&mut self, ticket: ClientTicket, reply: ControlReply) {
        self.actions.push(ControlAction::Reply { ticket, reply });
    }
}

// Claims, with what only the leader's clock tells.
impl ControlCore {
    fn claim(&mut self, client: ClientTicket, req: ClaimRequest) {
        let waiting = Waiting::Claim(client, req.key.clone());
        let retaken = self.state.claim(&req.key).filter(|view| {
            view.state == ClaimState::Open
                && view.generation == req.replaces
                && self.window_over(&req.key)
                && self.claimant_gone(&view.claimant)
        });
        let opening = self.state.opening(&req.key);
        let command = match (retaken, opening) {
            (Some(_), Some(opening)) => Command::Retake(Retake {
                claim: req,
                opened: opening.opened,
            }),
            _ => Command::Claim(req),
        };
        self.propose(waiting, &command);
    }

    fn claim_reply(&self, key: &ClaimKey, outcome: Outcome) -> ControlReply {
        match outcome {
            Outcome::Claim(ClaimReply::Existing(view)) => {
                ControlReply::Claim(ClaimReply::Existing(self.judged(key, view)))
            }
            other => reply_of(other),
        }
    }

    fn judged(&self, key: &ClaimKey, view: ClaimView) -> ClaimView {
        ClaimView {
            window_over: self.window_over(key),
            claimant_gone: self.claimant_gone(&view.claimant),
            ..view
        }
    }

    /// Tells whether the dispatch window of a claim and the network bound after
    /// it are over. Never true too early.
    fn window_over(&self, key: &ClaimKey) -> bool {
        if self.cfg.faults.ignore_windows {
            return true;
        }
        let Some(mut opening) = self.state.opening(key) else {
            return false;
        };
        opening.window = self.cfg.stretched(opening.window);
        let after = self.cfg.stretched(self.cfg.dispatch_bound);
        self.windows.over(&opening, after, self.now)
    }

    /// Tells whether no lease of a claimant can still run. Never true too early:
    /// a new leader waits until the leases that others gave are over.
    fn claimant_gone(&self, claimant: &Claimant) -> bool {
        let Some(lead) = &self.lead else {
            return false;
        };
        self.leads(self.now) && self.knows_leases() && lead.leases.ended(claimant, self.now)
    }

    fn knows_leases(&self) -> bool {
        let known_from = self.leases_known_from();
        self.cfg.faults.trust_empty_leases || known_from.is_some_and(|from| from <= self.now)
    }

    fn leases_known_from(&self) -> Option<MonoTime> {
        let lead = self.lead.as_ref()?;
        Some(lead.since + self.cfg.stretched(self.cfg.entry_lease))
    }
}

// Renewals.
impl ControlCore {
    fn renew(&mut self, client: ClientTicket, renew: Renew) {
        if let Some(lead) = &mut self.lead {
            lead.leases.note(&renew, self.now);
        }
        if renew.leaving {
            let renewed = Renewed {
                lease: Duration::ZERO,
                update: None,
            };
            self.reply(client, ControlReply::Renewed(renewed));
            return;
        }
        let due = self.now + self.cfg.entry_lease / POLLS_A_LEASE;
        self.polls.add(client, Poll { renew, due });
    }

    fn answer_polls(&mut self) {
        if !self.leads(self.now) {
            for ticket in self.polls.take_due(self.now) {
                self.reply(ticket, unavailable("this leader reaches no quorum"));
            }
            return;
        }
        let news = News {
            revision: self.state.revision(),
            live_at: self.state.live().at,
        };
        // The entry counts its lease from before it asked; from the answer on,
        // stretched, it is over here only after it is over there.
        let ends = self.now + self.cfg.stretched(self.cfg.entry_lease);
        for (ticket, poll) in self.polls.take_ready(news, self.now) {
            let Some(lead) = &mut self.lead else {
                return;
            };
            lead.leases.grant(&poll.renew.entry, ends);
            let renewed = Renewed {
                lease: self.cfg.entry_lease,
                update: self.update_for(&poll.renew),
            };
            self.reply(ticket, ControlReply::Renewed(renewed));
        }
    }

    fn update_for(&self, renew: &Renew) -> Option<Update> {
        let fleet = self.state.change_from(renew.revision);
        let live = self.state.live();
        let live = (live.at > renew.live_at).then(|| live.clone());
        (fleet.is_some() || live.is_some()).then(|| Update {
            revision: self.state.revision().max(renew.revision),
            fleet,
            live,
        })
    }
}

// What the leader does by itself.
impl ControlCore {
    fn act_as_leader(&mut self) {
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
    fn settle(&mut self) {
        let base = ClockBase {
            log: self.state.clock(),
            here: self.now,
        };
        if let Some(lead) = &mut self.lead {
            lead.settled.get_or_insert(base);
        }
    }

    fn decide(&mut self, own: Own, command: &Command) {
        if !self.clients.has_own(&own) {
            self.propose(Waiting::Own(own), command);
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
        if may_from > self.now && !self.cfg.faults.order_at_once {
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
}

// Notices.
impl ControlCore {
    fn notice(&mut self, notice: ControlNotice) {
        self.actions.push(ControlAction::Notice(notice));
    }

    fn notice_changes(&mut self) {
        if self.noticed.revision != self.state.revision() {
            self.noticed.revision = self.state.revision();
            self.notice(ControlNotice::Accepted(self.noticed.revision));
        }
        if self.noticed.in_force != self.state.in_force() {
            self.noticed.in_force = self.state.in_force();
            self.notice(ControlNotice::InForce(self.noticed.in_force));
        }
        if self.noticed.live.at != self.state.live().at {
            let live = self.state.live().clone();
            let before = std::mem::replace(&mut self.noticed.live, live.clone());
            self.notice_live(&before, &live);
        }
    }

    fn notice_live(&mut self, before: &Live, after: &Live) {
        for version in &after.held {
            if !before.held.contains(version) {
                self.notice(ControlNotice::Held(version.clone()));
            }
        }
        for print in &after.quarantine {
            if !before.quarantine.contains(print) {
                self.notice(ControlNotice::Quarantined(*print));
            }
        }
        for view in &after.rollouts {
            let old = before.rollouts.iter().find(|r| r.version == view.version);
            if old.map(|old| old.state) != Some(view.state) {
                self.notice(ControlNotice::Rollout {
                    version: view.version.clone(),
                    state: view.state,
                });
            }
        }
    }
}

/// What was told last.
#[derive(Debug, Default)]
struct Noticed {
    revision: Revision,
    in_force: Revision,
    live: Live,
}

fn unavailable(text: &'static str) -> ControlReply {
    ControlReply::Unavailable(SmolStr::new_static(text))
}
