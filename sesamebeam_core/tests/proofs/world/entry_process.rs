//! Simulated process of an entry: control requests, attempts and streams to
//! callers.

use std::{
    collections::BTreeMap,
    time::Duration, //
};

use rand::RngExt;
use sesamebeam_core::{
    control::ControlEvent,
    entry::{
        EntryConfig,
        EntryCore, //
        event::{
            Attempt,
            AttemptReport,
            ControlRequestId,
            Dispatch,
            DispatchKind,
            EntryAction,
            EntryEvent,
            Finished,
            Notice,
            Recipients,
            ServerKnows, //
        },
    },
    ids::{
        MonoTime,
        NodeId,
        RequestId, //
    },
    message::control::{
        ControlReply,
        ControlRequest, //
    },
};

use super::{
    DomainNo,
    EntryNo,
    Epoch,
    Event,
    Fault,
    World,
    group::domain_of,
    history::CallResult, //
    server::{
        CHUNKS,
        ServerEvent,
        ServerRequest, //
    },
};

/// Timeout of a request to one control replica.
const REPLICA_TIMEOUT: Duration = Duration::from_millis(700);

/// Delay before a request is retried at another replica.
const RETRY_DELAY: Duration = Duration::from_millis(30);

/// Timeout of connections to backend servers.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// An event of an entry's process.
#[derive(Clone, Debug)]
pub(crate) enum ProcessEvent {
    /// An event for the core.
    Core(EntryEvent),
    /// The process sends a dispatch.
    Send(Dispatch),
    /// A message of a backend server was received on an attempt's connection.
    Received(ConnId, ServerMessage),
    /// The progress timer of an attempt fires.
    ProgressTimer(ConnId),
    /// A request is sent to a control replica.
    SendToControl(ControlRequestId),
    /// A request to a control replica timed out.
    ControlTimeout(ControlRequestId, u64),
    /// A control replica replied.
    Reply(ControlRequestId, u64, ControlReply),
    /// A backend server replied to a cancel, or was unreachable.
    Cancelled(RequestId, RequestId, ServerKnows),
}

/// Message of a backend server on an attempt's connection.
#[derive(Clone, Debug)]
pub(crate) enum ServerMessage {
    /// A part of the response, counted from 1.
    Chunk(u64),
    /// The response is complete.
    End(Finished),
    /// Any other report.
    Report(AttemptReport),
}

/// Identifies an attempt's connection at its entry.
pub(crate) type ConnId = (RequestId, Attempt);

/// An attempt's connection.
#[derive(Clone, Debug)]
pub(crate) struct Conn {
    pub(crate) dispatch: Dispatch,
    last_received: MonoTime,
    events: u64,
}

/// A pending request to the control group.
#[derive(Clone, Debug)]
struct ControlCall {
    req: ControlRequest,
    deadline: MonoTime,
    ticket: u64,
    last_reply: Option<ControlReply>,
}

/// An entry: its core and the state of its process.
pub(crate) struct EntryProcess {
    pub(crate) cfg: EntryConfig,
    pub(crate) core: Option<EntryCore>,
    pub(crate) domain: DomainNo,
    pub(crate) epoch: Epoch,
    /// Events queued while the process is frozen.
    pub(crate) frozen: Option<Vec<Event>>,
    /// Time of the last start or thaw.
    pub(crate) running_since: MonoTime,
    /// Highest revision in force in this epoch.
    pub(crate) revision: u64,
    /// Whether a planned stop is complete.
    pub(crate) drained: bool,
    conns: BTreeMap<ConnId, Conn>,
    control_calls: BTreeMap<ControlRequestId, ControlCall>,
    cancels: Vec<(RequestId, RequestId)>,
    leader: NodeId,
}

impl EntryProcess {
    pub(crate) fn new(cfg: EntryConfig, domain: DomainNo) -> Self {
        Self {
            cfg,
            core: None,
            domain,
            epoch: 0,
            frozen: None,
            running_since: MonoTime::ZERO,
            revision: 0,
            drained: false,
            conns: BTreeMap::new(),
            control_calls: BTreeMap::new(),
            cancels: Vec::new(),
            leader: 1,
        }
    }

    pub(crate) fn core(&self) -> &EntryCore {
        self.core.as_ref().expect("the entry is running")
    }

    /// Returns whether it has requests in flight or is down.
    pub(crate) fn is_busy(&self) -> bool {
        self.core.as_ref().is_none_or(|core| core.in_flight() > 0)
    }

    fn clear(&mut self) {
        self.frozen = None;
        self.conns.clear();
        self.control_calls.clear();
        self.cancels.clear();
    }
}

impl World {
    pub(crate) fn kill_entry(&mut self, at: EntryNo) {
        let process = &mut self.entries[at];
        process.core = None;
        process.epoch += 1;
        process.clear();
        self.history.drop_calls(at);
    }

    pub(crate) fn thaw_entry(&mut self, at: EntryNo) {
        let Some(frozen) = self.entries[at].frozen.take() else {
            return;
        };
        self.entries[at].running_since = self.now;
        for event in frozen {
            self.handle_event(event);
        }
    }

    pub(crate) fn handle_process_event(&mut self, at: EntryNo, epoch: Epoch, event: ProcessEvent) {
        let process = &mut self.entries[at];
        if process.epoch != epoch || process.core.is_none() {
            return;
        }
        if let Some(frozen) = &mut process.frozen {
            // Ticks are not queued: after a thaw, the next tick follows anyway.
            if !matches!(event, ProcessEvent::Core(EntryEvent::Tick)) {
                frozen.push(Event::Entry(at, epoch, event));
            }
            return;
        }
        match event {
            ProcessEvent::Core(event) => self.handle_core_event(at, event),
            ProcessEvent::Send(dispatch) => self.dispatch(at, dispatch),
            ProcessEvent::Received(id, message) => self.handle_server_message(at, id, message),
            ProcessEvent::ProgressTimer(id) => self.check_progress(at, id),
            ProcessEvent::SendToControl(ask) => self.send_to_control(at, ask),
            ProcessEvent::ControlTimeout(ask, ticket) => {
                if self.entries[at].control_calls.get(&ask).map(|a| a.ticket) == Some(ticket) {
                    self.set_leader(at, None);
                    self.send_to_control(at, ask);
                }
            }
            ProcessEvent::Reply(ask, ticket, reply) => {
                self.handle_control_response(at, ask, ticket, reply)
            }
            ProcessEvent::Cancelled(request, id, known) => {
                let cancels = &mut self.entries[at].cancels;
                if let Some(pos) = cancels.iter().position(|c| *c == (request, id)) {
                    cancels.swap_remove(pos);
                    self.handle_core_event(at, EntryEvent::Cancelled { request, known });
                }
            }
        }
    }

    /// Passes an event to the core and executes the resulting actions.
    pub(crate) fn handle_core_event(&mut self, at: EntryNo, event: EntryEvent) {
        let now = self.now;
        let Some(core) = &mut self.entries[at].core else {
            return;
        };
        self.history.record_event(&event);
        let actions = core.handle(now, 0, event);
        for action in actions {
            self.history.record_action(now, at, &action);
            self.execute(at, action);
        }
    }

    fn schedule_process_event(&mut self, at: EntryNo, after: Duration, event: ProcessEvent) {
        let epoch = self.entries[at].epoch;
        self.schedule(after, Event::Entry(at, epoch, event));
    }

    fn execute(&mut self, at: EntryNo, action: EntryAction) {
        match action {
            EntryAction::Dispatch(dispatch) => {
                let after = Duration::from_millis(self.rng.random_range(0..3));
                self.schedule_process_event(at, after, ProcessEvent::Send(dispatch));
            }
            EntryAction::Drop {
                request,
                attempt,
                cancel,
            } => self.drop_connection(at, (request, attempt), cancel),
            EntryAction::Cancel {
                request,
                id,
                server,
            } => {
                self.entries[at].cancels.push((request, id));
                let gone = ProcessEvent::Cancelled(request, id, ServerKnows::Unreachable);
                self.schedule_process_event(at, CONNECT_TIMEOUT, gone);
                let from = (at, self.entries[at].epoch);
                self.send_to_server(at, server, ServerRequest::Cancel(from, request, id));
            }
            EntryAction::SendToControl { ask, req, timeout } => {
                let deadline = self.now + timeout;
                let call = ControlCall {
                    req: *req,
                    deadline,
                    ticket: 0,
                    last_reply: None,
                };
                self.entries[at].control_calls.insert(ask, call);
                self.schedule_process_event(at, Duration::ZERO, ProcessEvent::SendToControl(ask));
            }
            EntryAction::SendToEntries { to, message } => self.send_to_entries(at, &to, &message),
            EntryAction::Replay {
                request, answer, ..
            } => self.history.record_replay(request, &answer),
            EntryAction::Refuse { request, refusal } => {
                let has_duplicate = self.has_open_duplicate(request);
                self.history.record_result(
                    self.now,
                    request,
                    CallResult::Refused(refusal),
                    has_duplicate,
                );
                self.close_connections(at, request);
            }
            EntryAction::Release { request } => self.history.record_release(request),
            EntryAction::Finish { request } => {
                self.history.record_finish(self.now, request);
                self.close_connections(at, request);
            }
            EntryAction::RateNow { request, .. } => {
                let draw = self.rng.random_range(0..3);
                let score = [Some(0.9), Some(0.1), None][draw];
                let event = EntryEvent::HeldRated { request, score };
                self.schedule_process_event(
                    at,
                    Duration::from_millis(40),
                    ProcessEvent::Core(event),
                );
            }
            EntryAction::Notice(Notice::InForce { revision }) => {
                let process = &mut self.entries[at];
                if revision < process.revision {
                    self.history
                        .record_violation(format!("entry {at} reverted to {revision}"));
                }
                process.revision = revision;
            }
            EntryAction::Drained => {
                self.entries[at].drained = true;
                if let Some(open) = self.history.open_at(at) {
                    self.history
                        .record_violation(format!("stop cut request {open}"));
                }
                self.schedule(Duration::ZERO, Event::Fault(Fault::Kill(at)));
                self.schedule(REPLICA_TIMEOUT, Event::Fault(Fault::Start(at)));
            }
            EntryAction::CloseConnections { .. }
            | EntryAction::Sample { .. }
            | EntryAction::Notice(_) => {}
        }
    }

    fn close_connections(&mut self, at: EntryNo, request: RequestId) {
        let process = &mut self.entries[at];
        process.conns.retain(|_, c| c.dispatch.request != request);
    }

    fn drop_connection(&mut self, at: EntryNo, id: ConnId, cancel: bool) {
        let Some(conn) = self.entries[at].conns.remove(&id) else {
            return;
        };
        if cancel {
            let request = ServerRequest::Forget(conn.dispatch.id);
            self.send_to_server(at, conn.dispatch.server.addr, request);
        }
    }

    /// Sends an attempt, unless its dispatch window is over.
    fn dispatch(&mut self, at: EntryNo, dispatch: Dispatch) {
        let (now, epoch) = (self.now, self.entries[at].epoch);
        let id = (dispatch.request, dispatch.attempt);
        let report = |report| ProcessEvent::Received(id, ServerMessage::Report(report));
        let conn = Conn {
            last_received: now,
            events: match dispatch.kind {
                DispatchKind::Resume { events } => events,
                _ => 0,
            },
            dispatch: dispatch.clone(),
        };
        self.entries[at].conns.insert(id, conn);
        if now >= dispatch.send_by {
            return self.schedule_process_event(at, Duration::ZERO, report(AttemptReport::Late));
        }
        self.history.record_dispatch(&dispatch);
        let addr = dispatch.server.addr;
        let server = self.server_at(addr);
        let down = AttemptReport::ConnectFailed { refused: true };
        if self
            .transit_time(self.entries[at].domain, self.servers[server].domain)
            .is_none()
        {
            let lost = AttemptReport::ConnectFailed { refused: false };
            return self.schedule_process_event(at, CONNECT_TIMEOUT, report(lost));
        }
        if !self.servers[server].up {
            return self.schedule_process_event(at, Duration::from_millis(1), report(down));
        }
        let from = (at, epoch, id);
        let request = match dispatch.kind {
            DispatchKind::Run | DispatchKind::Hedge => {
                let leased = self.entries[at].core().view().lease_held(now);
                ServerRequest::Run(from, Box::new(dispatch.clone()), leased)
            }
            DispatchKind::Resume { events } => ServerRequest::Resume(from, dispatch.id, events),
            DispatchKind::LookUp => ServerRequest::LookUp(from, dispatch.id),
        };
        self.schedule_process_event(at, dispatch.progress, ProcessEvent::ProgressTimer(id));
        self.send_to_server(at, addr, request);
    }

    fn send_to_server(&mut self, at: EntryNo, addr: std::net::SocketAddr, request: ServerRequest) {
        let server = self.server_at(addr);
        let epoch = self.servers[server].incarnation;
        let (from, to) = (self.entries[at].domain, self.servers[server].domain);
        if let Some(after) = self.transit_time(from, to) {
            let event = ServerEvent::Request(epoch, request);
            self.schedule(after, Event::Server(server, event));
        }
    }

    fn handle_server_message(&mut self, at: EntryNo, id: ConnId, message: ServerMessage) {
        let now = self.now;
        let Some(conn) = self.entries[at].conns.get_mut(&id) else {
            return;
        };
        conn.last_received = now;
        let (request, attempt) = id;
        let report = match message {
            ServerMessage::Chunk(n) => {
                let first = conn.events == 0 || conn.dispatch.kind == DispatchKind::Run && n == 1;
                let hold = conn.dispatch.hold;
                conn.events = n;
                if first
                    || matches!(conn.dispatch.kind, DispatchKind::Resume { events } if n == events + 1)
                {
                    let report = AttemptReport::Started;
                    self.handle_core_event(
                        at,
                        EntryEvent::Attempt {
                            request,
                            attempt,
                            report,
                        },
                    );
                }
                if self.entries[at].conns.contains_key(&id) {
                    self.history.record_chunk(request, n, hold);
                }
                return;
            }
            ServerMessage::End(finished) => {
                let streamed = conn.dispatch.version.is_some();
                if streamed && conn.events != CHUNKS {
                    self.history
                        .record_violation(format!("request {request:x}: truncated"));
                }
                self.history.check_body(request, &finished.answer);
                AttemptReport::Finished(finished)
            }
            // The events received on the connection are known here, not at the
            // backend server.
            ServerMessage::Report(AttemptReport::Broken { .. }) => AttemptReport::Broken {
                events: conn.events,
            },
            ServerMessage::Report(report) => report,
        };
        self.entries[at].conns.remove(&id);
        self.handle_core_event(
            at,
            EntryEvent::Attempt {
                request,
                attempt,
                report,
            },
        );
    }

    fn check_progress(&mut self, at: EntryNo, id: ConnId) {
        let now = self.now;
        let Some(conn) = self.entries[at].conns.get(&id) else {
            return;
        };
        let due = conn.last_received + conn.dispatch.progress;
        if due > now {
            return self.schedule_process_event(at, due - now, ProcessEvent::ProgressTimer(id));
        }
        let report = AttemptReport::Stalled {
            events: conn.events,
        };
        let (request, attempt) = id;
        self.entries[at].conns.remove(&id);
        self.handle_core_event(
            at,
            EntryEvent::Attempt {
                request,
                attempt,
                report,
            },
        );
    }

    fn send_to_entries(
        &mut self,
        at: EntryNo,
        to: &Recipients,
        message: &sesamebeam_core::message::peer::PeerMessage,
    ) {
        let from = self.entries[at].cfg.instance.clone();
        let domain = self.entries[at].domain;
        for other in (0..self.entries.len()).filter(|other| *other != at) {
            let process = &self.entries[other];
            let wanted = match to {
                Recipients::All => true,
                Recipients::Domain => process.domain == domain,
                Recipients::One(name) => process.cfg.instance == *name,
            };
            if wanted {
                let event = ProcessEvent::Core(EntryEvent::Peer {
                    from: from.clone(),
                    message: message.clone(),
                });
                let event = Event::Entry(other, process.epoch, event);
                let to = process.domain;
                self.send(domain, to, event);
            }
        }
    }

    fn send_to_control(&mut self, at: EntryNo, ask: ControlRequestId) {
        let now = self.now;
        self.last_seq += 1;
        let ticket = self.last_seq;
        let process = &mut self.entries[at];
        let (leader, epoch, domain) = (process.leader, process.epoch, process.domain);
        let Some(call) = process.control_calls.get_mut(&ask) else {
            return;
        };
        if now >= call.deadline {
            let reply = call.last_reply.take();
            process.control_calls.remove(&ask);
            return self.handle_core_event(at, EntryEvent::ControlReplied { ask, reply });
        }
        call.ticket = ticket;
        let remaining = call.deadline - now;
        let is_renewal = matches!(call.req, ControlRequest::Renew(_));
        let wait = if is_renewal {
            remaining
        } else {
            remaining.min(REPLICA_TIMEOUT)
        };
        let req = call.req.clone();
        self.history.tickets.insert(ticket, (at, epoch, ask));
        let event = ControlEvent::Client { ticket, req };
        let event = Event::Node(leader, self.node_epoch(leader), event);
        self.send(domain, domain_of(leader), event);
        self.schedule_process_event(at, wait, ProcessEvent::ControlTimeout(ask, ticket));
    }

    fn handle_control_response(
        &mut self,
        at: EntryNo,
        ask: ControlRequestId,
        ticket: u64,
        reply: ControlReply,
    ) {
        let process = &mut self.entries[at];
        let Some(call) = process
            .control_calls
            .get_mut(&ask)
            .filter(|a| a.ticket == ticket)
        else {
            return;
        };
        call.ticket = 0;
        match reply {
            ControlReply::NotLeader(hint) => {
                self.set_leader(at, hint.map(|hint| hint.node));
                self.schedule_process_event(at, RETRY_DELAY, ProcessEvent::SendToControl(ask));
            }
            ControlReply::Unavailable(_) => {
                call.last_reply = Some(reply);
                self.set_leader(at, None);
                self.schedule_process_event(at, RETRY_DELAY, ProcessEvent::SendToControl(ask));
            }
            reply => {
                process.control_calls.remove(&ask);
                let reply = Some(reply);
                self.handle_core_event(at, EntryEvent::ControlReplied { ask, reply });
            }
        }
    }

    fn set_leader(&mut self, at: EntryNo, hint: Option<NodeId>) {
        let leader = &mut self.entries[at].leader;
        *leader = hint.unwrap_or(*leader % 3 + 1);
    }
}
