//! The edge of an entry in the world: asks, attempts, and callers' streams.

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
    Event,
    Fault,
    Life,
    World,
    books::Told,
    group::domain_of, //
    server::{
        Asked,
        CHUNKS,
        ServerEvent, //
    },
};

/// Longest wait for one control replica.
const ONE_TRY: Duration = Duration::from_millis(700);

/// Pause before another replica is asked.
const PAUSE: Duration = Duration::from_millis(30);

/// Time after which a backend server that cannot be reached is given up.
const CONNECT: Duration = Duration::from_secs(1);

/// Something that happens to an entry's process.
#[derive(Clone, Debug)]
pub(crate) enum EdgeEvent {
    /// For the core.
    Core(EntryEvent),
    /// The edge is about to send.
    Send(Dispatch),
    /// A backend server sent something on an attempt's connection.
    Heard(ConnId, Heard),
    /// The progress timer of an attempt.
    Silence(ConnId),
    /// A control replica is asked.
    Try(ControlRequestId),
    /// A control replica was asked long ago.
    Late(ControlRequestId, u64),
    /// A control replica answered.
    Reply(ControlRequestId, u64, ControlReply),
    /// A backend server answered a cancel, or could not be asked.
    Cancelled(RequestId, RequestId, ServerKnows),
}

/// What a backend server sends on an attempt's connection.
#[derive(Clone, Debug)]
pub(crate) enum Heard {
    /// A part of the answer, counted from 1.
    Chunk(u64),
    /// The whole answer is through.
    End(Finished),
    /// Something else.
    Report(AttemptReport),
}

/// Number of an attempt's connection at its entry.
pub(crate) type ConnId = (RequestId, Attempt);

/// An attempt's connection.
#[derive(Clone, Debug)]
pub(crate) struct Conn {
    pub(crate) dispatch: Dispatch,
    heard: MonoTime,
    events: u64,
}

/// A question under way.
#[derive(Clone, Debug)]
struct Asking {
    req: ControlRequest,
    until: MonoTime,
    ticket: u64,
    last: Option<ControlReply>,
}

/// One entry: its core and what its process holds.
pub(crate) struct Edge {
    pub(crate) cfg: EntryConfig,
    pub(crate) core: Option<EntryCore>,
    pub(crate) domain: DomainNo,
    pub(crate) life: Life,
    /// What happened while the process was frozen.
    pub(crate) frozen: Option<Vec<Event>>,
    /// Since when the process runs without a freeze.
    pub(crate) awake: MonoTime,
    /// Highest revision in force in this life.
    pub(crate) revision: u64,
    /// Whether a planned stop came to its end.
    pub(crate) drained: bool,
    conns: BTreeMap<ConnId, Conn>,
    asks: BTreeMap<ControlRequestId, Asking>,
    cancels: Vec<(RequestId, RequestId)>,
    leader: NodeId,
}

impl Edge {
    pub(crate) fn new(cfg: EntryConfig, domain: DomainNo) -> Self {
        Self {
            cfg,
            core: None,
            domain,
            life: 0,
            frozen: None,
            awake: MonoTime::ZERO,
            revision: 0,
            drained: false,
            conns: BTreeMap::new(),
            asks: BTreeMap::new(),
            cancels: Vec::new(),
            leader: 1,
        }
    }

    pub(crate) fn core(&self) -> &EntryCore {
        self.core.as_ref().expect("the entry runs")
    }

    /// Whether it has requests, or is not up again yet.
    pub(crate) fn is_busy(&self) -> bool {
        self.core.as_ref().is_none_or(|core| core.in_flight() > 0)
    }

    fn clear(&mut self) {
        self.frozen = None;
        self.conns.clear();
        self.asks.clear();
        self.cancels.clear();
    }
}

impl World {
    pub(crate) fn kill(&mut self, at: EntryNo) {
        let edge = &mut self.entries[at];
        edge.core = None;
        edge.life += 1;
        edge.clear();
        self.books.lose(at);
    }

    pub(crate) fn thaw(&mut self, at: EntryNo) {
        let Some(frozen) = self.entries[at].frozen.take() else {
            return;
        };
        self.entries[at].awake = self.now;
        for event in frozen {
            self.happen(event);
        }
    }

    pub(crate) fn edge(&mut self, at: EntryNo, life: Life, event: EdgeEvent) {
        let edge = &mut self.entries[at];
        if edge.life != life || edge.core.is_none() {
            return;
        }
        if let Some(frozen) = &mut edge.frozen {
            // A frozen process sees one tick when it goes on, not each.
            if !matches!(event, EdgeEvent::Core(EntryEvent::Tick)) {
                frozen.push(Event::Edge(at, life, event));
            }
            return;
        }
        match event {
            EdgeEvent::Core(event) => self.tell_core(at, event),
            EdgeEvent::Send(dispatch) => self.dispatch(at, dispatch),
            EdgeEvent::Heard(id, heard) => self.heard(at, id, heard),
            EdgeEvent::Silence(id) => self.silent(at, id),
            EdgeEvent::Try(ask) => self.try_ask(at, ask),
            EdgeEvent::Late(ask, ticket) => {
                if self.entries[at].asks.get(&ask).map(|a| a.ticket) == Some(ticket) {
                    self.follow(at, None);
                    self.try_ask(at, ask);
                }
            }
            EdgeEvent::Reply(ask, ticket, reply) => self.replied(at, ask, ticket, reply),
            EdgeEvent::Cancelled(request, id, known) => {
                let cancels = &mut self.entries[at].cancels;
                if let Some(pos) = cancels.iter().position(|c| *c == (request, id)) {
                    cancels.swap_remove(pos);
                    self.tell_core(at, EntryEvent::Cancelled { request, known });
                }
            }
        }
    }

    /// Hands an event to the core and carries its actions out.
    pub(crate) fn tell_core(&mut self, at: EntryNo, event: EntryEvent) {
        let now = self.now;
        let Some(core) = &mut self.entries[at].core else {
            return;
        };
        self.books.take(&event);
        let actions = core.handle(now, 0, event);
        for action in actions {
            self.books.seen(now, at, &action);
            self.act(at, action);
        }
    }

    fn soon(&mut self, at: EntryNo, after: Duration, event: EdgeEvent) {
        let life = self.entries[at].life;
        self.later(after, Event::Edge(at, life, event));
    }

    fn act(&mut self, at: EntryNo, action: EntryAction) {
        match action {
            EntryAction::Dispatch(dispatch) => {
                let after = Duration::from_millis(self.rng.random_range(0..3));
                self.soon(at, after, EdgeEvent::Send(dispatch));
            }
            EntryAction::Drop {
                request,
                attempt,
                cancel,
            } => self.drop_conn(at, (request, attempt), cancel),
            EntryAction::Cancel {
                request,
                id,
                server,
            } => {
                self.entries[at].cancels.push((request, id));
                let gone = EdgeEvent::Cancelled(request, id, ServerKnows::Unreachable);
                self.soon(at, CONNECT, gone);
                let from = (at, self.entries[at].life);
                self.ask_server(at, server, Asked::Cancel(from, request, id));
            }
            EntryAction::SendToControl { ask, req, timeout } => {
                let until = self.now + timeout;
                let asking = Asking {
                    req: *req,
                    until,
                    ticket: 0,
                    last: None,
                };
                self.entries[at].asks.insert(ask, asking);
                self.soon(at, Duration::ZERO, EdgeEvent::Try(ask));
            }
            EntryAction::SendToEntries { to, message } => self.tell_peers(at, &to, &message),
            EntryAction::Replay {
                request, answer, ..
            } => self.books.replayed(request, &answer),
            EntryAction::Refuse { request, refusal } => {
                let others = self.open_elsewhere(request);
                self.books
                    .tell(self.now, request, Told::Refused(refusal), others);
                self.close(at, request);
            }
            EntryAction::Release { request } => self.books.released(request),
            EntryAction::Finish { request } => {
                self.books.finish(self.now, request);
                self.close(at, request);
            }
            EntryAction::RateNow { request, .. } => {
                let draw = self.rng.random_range(0..3);
                let score = [Some(0.9), Some(0.1), None][draw];
                let event = EntryEvent::HeldRated { request, score };
                self.soon(at, Duration::from_millis(40), EdgeEvent::Core(event));
            }
            EntryAction::Notice(Notice::InForce { revision }) => {
                let edge = &mut self.entries[at];
                if revision < edge.revision {
                    self.books
                        .fault(format!("entry {at} reverted to {revision}"));
                }
                edge.revision = revision;
            }
            EntryAction::Drained => {
                self.entries[at].drained = true;
                if let Some(open) = self.books.open_at(at) {
                    self.books.fault(format!("stop cut request {open}"));
                }
                self.later(Duration::ZERO, Event::Fault(Fault::Kill(at)));
                self.later(ONE_TRY, Event::Fault(Fault::Start(at)));
            }
            EntryAction::CloseConnections { .. }
            | EntryAction::Sample { .. }
            | EntryAction::Notice(_) => {}
        }
    }

    fn close(&mut self, at: EntryNo, request: RequestId) {
        let edge = &mut self.entries[at];
        edge.conns.retain(|_, c| c.dispatch.request != request);
    }

    fn drop_conn(&mut self, at: EntryNo, id: ConnId, cancel: bool) {
        let Some(conn) = self.entries[at].conns.remove(&id) else {
            return;
        };
        if cancel {
            let asked = Asked::Forget(conn.dispatch.id);
            self.ask_server(at, conn.dispatch.server.addr, asked);
        }
    }

    /// Sends an attempt, unless the time to send is over.
    fn dispatch(&mut self, at: EntryNo, dispatch: Dispatch) {
        let (now, life) = (self.now, self.entries[at].life);
        let id = (dispatch.request, dispatch.attempt);
        let report = |report| EdgeEvent::Heard(id, Heard::Report(report));
        let conn = Conn {
            heard: now,
            events: match dispatch.kind {
                DispatchKind::Resume { events } => events,
                _ => 0,
            },
            dispatch: dispatch.clone(),
        };
        self.entries[at].conns.insert(id, conn);
        if now >= dispatch.send_by {
            return self.soon(at, Duration::ZERO, report(AttemptReport::Late));
        }
        self.books.dispatched(&dispatch);
        let addr = dispatch.server.addr;
        let server = self.server_at(addr);
        let down = AttemptReport::ConnectFailed { refused: true };
        if self
            .travel(self.entries[at].domain, self.servers[server].domain)
            .is_none()
        {
            let lost = AttemptReport::ConnectFailed { refused: false };
            return self.soon(at, CONNECT, report(lost));
        }
        if !self.servers[server].up {
            return self.soon(at, Duration::from_millis(1), report(down));
        }
        let from = (at, life, id);
        let asked = match dispatch.kind {
            DispatchKind::Run | DispatchKind::Hedge => {
                let leased = self.entries[at].core().view().lease_held(now);
                Asked::Run(from, Box::new(dispatch.clone()), leased)
            }
            DispatchKind::Resume { events } => Asked::Resume(from, dispatch.id, events),
            DispatchKind::LookUp => Asked::LookUp(from, dispatch.id),
        };
        self.soon(at, dispatch.progress, EdgeEvent::Silence(id));
        self.ask_server(at, addr, asked);
    }

    fn ask_server(&mut self, at: EntryNo, addr: std::net::SocketAddr, asked: Asked) {
        let server = self.server_at(addr);
        let life = self.servers[server].incarnation;
        let (from, to) = (self.entries[at].domain, self.servers[server].domain);
        if let Some(after) = self.travel(from, to) {
            let event = ServerEvent::Asked(life, asked);
            self.later(after, Event::Server(server, event));
        }
    }

    fn heard(&mut self, at: EntryNo, id: ConnId, heard: Heard) {
        let now = self.now;
        let Some(conn) = self.entries[at].conns.get_mut(&id) else {
            return;
        };
        conn.heard = now;
        let (request, attempt) = id;
        let report = match heard {
            Heard::Chunk(n) => {
                let first = conn.events == 0 || conn.dispatch.kind == DispatchKind::Run && n == 1;
                let hold = conn.dispatch.hold;
                conn.events = n;
                if first
                    || matches!(conn.dispatch.kind, DispatchKind::Resume { events } if n == events + 1)
                {
                    let report = AttemptReport::Started;
                    self.tell_core(
                        at,
                        EntryEvent::Attempt {
                            request,
                            attempt,
                            report,
                        },
                    );
                }
                if self.entries[at].conns.contains_key(&id) {
                    self.books.chunk(request, n, hold);
                }
                return;
            }
            Heard::End(finished) => {
                let streamed = conn.dispatch.version.is_some();
                if streamed && conn.events != CHUNKS {
                    self.books.fault(format!("request {request:x}: truncated"));
                }
                self.books.check_body(request, &finished.answer);
                AttemptReport::Finished(finished)
            }
            // A connection that breaks knows what came through it.
            Heard::Report(AttemptReport::Broken { .. }) => AttemptReport::Broken {
                events: conn.events,
            },
            Heard::Report(report) => report,
        };
        self.entries[at].conns.remove(&id);
        self.tell_core(
            at,
            EntryEvent::Attempt {
                request,
                attempt,
                report,
            },
        );
    }

    fn silent(&mut self, at: EntryNo, id: ConnId) {
        let now = self.now;
        let Some(conn) = self.entries[at].conns.get(&id) else {
            return;
        };
        let due = conn.heard + conn.dispatch.progress;
        if due > now {
            return self.soon(at, due - now, EdgeEvent::Silence(id));
        }
        let report = AttemptReport::Stalled {
            events: conn.events,
        };
        let (request, attempt) = id;
        self.entries[at].conns.remove(&id);
        self.tell_core(
            at,
            EntryEvent::Attempt {
                request,
                attempt,
                report,
            },
        );
    }

    fn tell_peers(
        &mut self,
        at: EntryNo,
        to: &Recipients,
        message: &sesamebeam_core::message::peer::PeerMessage,
    ) {
        let from = self.entries[at].cfg.instance.clone();
        let domain = self.entries[at].domain;
        for other in (0..self.entries.len()).filter(|other| *other != at) {
            let edge = &self.entries[other];
            let wanted = match to {
                Recipients::All => true,
                Recipients::Domain => edge.domain == domain,
                Recipients::One(name) => edge.cfg.instance == *name,
            };
            if wanted {
                let event = EdgeEvent::Core(EntryEvent::Peer {
                    from: from.clone(),
                    message: message.clone(),
                });
                let event = Event::Edge(other, edge.life, event);
                let to = edge.domain;
                self.send(domain, to, event);
            }
        }
    }

    fn try_ask(&mut self, at: EntryNo, ask: ControlRequestId) {
        let now = self.now;
        self.last += 1;
        let ticket = self.last;
        let edge = &mut self.entries[at];
        let (leader, life, domain) = (edge.leader, edge.life, edge.domain);
        let Some(asking) = edge.asks.get_mut(&ask) else {
            return;
        };
        if now >= asking.until {
            let reply = asking.last.take();
            edge.asks.remove(&ask);
            return self.tell_core(at, EntryEvent::ControlReplied { ask, reply });
        }
        asking.ticket = ticket;
        let left = asking.until - now;
        let patient = matches!(asking.req, ControlRequest::Renew(_));
        let wait = if patient { left } else { left.min(ONE_TRY) };
        let req = asking.req.clone();
        self.books.tickets.insert(ticket, (at, life, ask));
        let event = ControlEvent::Client { ticket, req };
        let event = Event::Node(leader, self.node_life(leader), event);
        self.send(domain, domain_of(leader), event);
        self.soon(at, wait, EdgeEvent::Late(ask, ticket));
    }

    fn replied(&mut self, at: EntryNo, ask: ControlRequestId, ticket: u64, reply: ControlReply) {
        let edge = &mut self.entries[at];
        let Some(asking) = edge.asks.get_mut(&ask).filter(|a| a.ticket == ticket) else {
            return;
        };
        asking.ticket = 0;
        match reply {
            ControlReply::NotLeader(hint) => {
                self.follow(at, hint.map(|hint| hint.node));
                self.soon(at, PAUSE, EdgeEvent::Try(ask));
            }
            ControlReply::Unavailable(_) => {
                asking.last = Some(reply);
                self.follow(at, None);
                self.soon(at, PAUSE, EdgeEvent::Try(ask));
            }
            reply => {
                edge.asks.remove(&ask);
                let reply = Some(reply);
                self.tell_core(at, EntryEvent::ControlReplied { ask, reply });
            }
        }
    }

    fn follow(&mut self, at: EntryNo, hint: Option<NodeId>) {
        let leader = &mut self.entries[at].leader;
        *leader = hint.unwrap_or(*leader % 3 + 1);
    }
}
