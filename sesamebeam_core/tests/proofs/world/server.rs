//! Simulated backend servers: engines with streams, and plain services.

use std::{
    collections::{
        BTreeMap,
        BTreeSet, //
    },
    net::SocketAddr,
    time::Duration, //
};

use rand::RngExt;
use sesamebeam_core::{
    entry::event::{
        AttemptReport,
        Dispatch,
        EntryEvent,
        Finished,
        ServerKnows,
        ServerRefusal, //
    },
    ids::{
        Incarnation,
        MonoTime,
        RequestId,
        VersionId, //
    },
    message::{
        record::{
            Completed,
            ServerIncarnation,
            Usage, //
        },
        server::Announcement, //
    },
};

use super::{
    DomainNo,
    EntryNo,
    Epoch,
    Event,
    ServerNo,
    World,
    entry_process::{
        ConnId,
        ProcessEvent,
        ServerMessage, //
    },
    files, //
};

/// Number of parts of each response.
pub(crate) const CHUNKS: u64 = 4;

/// Interval between announcements.
const ANNOUNCE_INTERVAL: Duration = Duration::from_secs(1);

/// An attempt's connection and the entry process that opened it.
pub(crate) type AttemptConn = (EntryNo, Epoch, ConnId);

/// An event of a backend server.
#[derive(Clone, Debug)]
pub(crate) enum ServerEvent {
    /// The incarnation sends an announcement.
    Announce(Incarnation),
    /// An entry sent a request to the incarnation.
    Request(Incarnation, ServerRequest),
    /// The next part of a stream is produced.
    NextPart(Incarnation, RequestId),
    /// A request crashes it.
    Crash(Incarnation),
}

/// Request of an entry to a backend server.
#[derive(Clone, Debug)]
pub(crate) enum ServerRequest {
    /// Runs a request; holds whether the entry held its lease.
    Run(AttemptConn, Box<Dispatch>, bool),
    /// Resumes a stream after this many parts.
    Resume(AttemptConn, RequestId, u64),
    /// Looks up the state of a request.
    LookUp(AttemptConn, RequestId),
    /// Cancels an id on behalf of a request, with a reply.
    Cancel((EntryNo, Epoch), RequestId, RequestId),
    /// Cancels an id, without a reply.
    Forget(RequestId),
}

/// A request that is running or has run.
#[derive(Clone, Debug)]
struct Stream {
    parts: u64,
    cancelled: bool,
    body: Vec<u8>,
    readers: Vec<Reader>,
}

/// A connection on which a stream is sent.
#[derive(Clone, Debug)]
struct Reader {
    from: AttemptConn,
    next: u64,
    last: MonoTime,
    silent: bool,
}

/// A backend server.
pub(crate) struct Server {
    pub(crate) addr: SocketAddr,
    pub(crate) domain: DomainNo,
    pub(crate) engine: bool,
    pub(crate) incarnation: Incarnation,
    pub(crate) up: bool,
    pub(crate) leaving: Option<MonoTime>,
    seq: u64,
    streams: BTreeMap<RequestId, Stream>,
    cancelled: BTreeSet<RequestId>,
}

impl Server {
    pub(crate) fn new(at: ServerNo) -> Self {
        Self {
            addr: ([10, 0, 0, u8::try_from(at + 1).unwrap()], 80).into(),
            domain: at % 3,
            engine: at < 4,
            incarnation: 1,
            up: true,
            leaving: None,
            seq: 0,
            streams: BTreeMap::new(),
            cancelled: BTreeSet::new(),
        }
    }

    fn server_incarnation(&self) -> ServerIncarnation {
        ServerIncarnation {
            addr: self.addr,
            incarnation: self.incarnation,
        }
    }

    fn versions(&self) -> Vec<VersionId> {
        if self.engine {
            vec!["beam@v1".into(), "beam@v2".into()]
        } else {
            Vec::new()
        }
    }

    fn running(&self) -> usize {
        let live = |s: &&Stream| s.parts < CHUNKS && !s.cancelled;
        self.streams.values().filter(live).count()
    }
}

impl World {
    pub(crate) fn server_at(&self, addr: SocketAddr) -> ServerNo {
        self.servers.iter().position(|s| s.addr == addr).unwrap()
    }

    pub(crate) fn handle_server_event(&mut self, at: ServerNo, event: ServerEvent) {
        let server = &self.servers[at];
        let (incarnation, up) = (server.incarnation, server.up);
        match event {
            ServerEvent::Announce(of) if of == incarnation && up => {
                self.announce(at);
                self.schedule(
                    ANNOUNCE_INTERVAL,
                    Event::Server(at, ServerEvent::Announce(of)),
                );
            }
            ServerEvent::Request(of, request) if up => self.handle_server_request(at, of, request),
            ServerEvent::NextPart(of, id) if of == incarnation && up => self.produce_part(at, id),
            ServerEvent::Crash(of) if of == incarnation && up => self.crash_server(at),
            _ => {}
        }
    }

    /// Announces a backend server to one entry of its failure domain.
    fn announce(&mut self, at: ServerNo) {
        let server = &mut self.servers[at];
        server.seq += 1;
        let announcement = Announcement {
            pool: if server.engine {
                "beam-pool"
            } else {
                "dispatch-api"
            }
            .into(),
            domain: files::domain(server.domain),
            addr: server.addr,
            incarnation: server.incarnation,
            seq: server.seq,
            leaving: server.leaving.is_some(),
            load: Default::default(),
            versions: server.versions(),
            cache: Vec::new(),
            speed: 40.0,
        };
        let domain = server.domain;
        // Entries that do not respond are skipped: the backend server announces
        // itself to the next one, as specified in docs/INTERFACES.md.
        let reachable = |at: &EntryNo| {
            let process = &self.entries[*at];
            process.domain == domain && process.core.is_some() && process.frozen.is_none()
        };
        let entries: Vec<EntryNo> = (0..self.entries.len()).filter(reachable).collect();
        if entries.is_empty() {
            return;
        }
        let to = entries[self.rng.random_range(0..entries.len())];
        let event = ProcessEvent::Core(EntryEvent::Announced(Box::new(announcement)));
        let event = Event::Entry(to, self.entries[to].epoch, event);
        self.send(domain, domain, event);
    }

    pub(crate) fn crash_server(&mut self, at: ServerNo) {
        self.break_connections(at);
        let server = &mut self.servers[at];
        server.up = false;
        server.streams.clear();
        server.cancelled.clear();
    }

    pub(crate) fn restart_server(&mut self, at: ServerNo) {
        let server = &mut self.servers[at];
        if server.up {
            return;
        }
        server.up = true;
        server.leaving = None;
        server.incarnation += 1;
        server.seq = 0;
        let incarnation = server.incarnation;
        self.schedule(
            Duration::ZERO,
            Event::Server(at, ServerEvent::Announce(incarnation)),
        );
    }

    pub(crate) fn start_leaving(&mut self, at: ServerNo) {
        self.servers[at].leaving.get_or_insert(self.now);
        self.announce(at);
    }

    /// Silences open connections, as a middlebox that loses their state does.
    pub(crate) fn silence_connections(&mut self, at: ServerNo) {
        for stream in self.servers[at].streams.values_mut() {
            stream.readers.iter_mut().for_each(|r| r.silent = true);
        }
    }

    pub(crate) fn break_connections(&mut self, at: ServerNo) {
        let streams = &mut self.servers[at].streams;
        let readers: Vec<Reader> = streams
            .values_mut()
            .flat_map(|s| std::mem::take(&mut s.readers))
            .collect();
        for mut reader in readers {
            self.send_in_order(at, &mut reader, broken());
        }
    }

    /// Sends a message on a connection, in order. After one message is lost, the
    /// connection stays silent.
    fn send_in_order(&mut self, at: ServerNo, reader: &mut Reader, message: ServerMessage) {
        let (entry, epoch, id) = reader.from;
        let (from, to) = (self.servers[at].domain, self.entries[entry].domain);
        let Some(after) = self.transit_time(from, to).filter(|_| !reader.silent) else {
            reader.silent = true;
            return;
        };
        reader.last = reader.last.max(self.now + after) + Duration::from_micros(1);
        let event = Event::Entry(entry, epoch, ProcessEvent::Received(id, message));
        self.schedule(reader.last - self.now, event);
    }

    fn report(&mut self, at: ServerNo, from: AttemptConn, report: AttemptReport) {
        let mut reader = Reader::new(from, 0);
        self.send_in_order(at, &mut reader, ServerMessage::Report(report));
    }

    fn handle_server_request(&mut self, at: ServerNo, of: Incarnation, request: ServerRequest) {
        let (incarnation, engine) = (
            self.servers[at].server_incarnation(),
            self.servers[at].engine,
        );
        match request {
            // The connection was to an earlier incarnation.
            ServerRequest::Run(from, ..)
            | ServerRequest::Resume(from, ..)
            | ServerRequest::LookUp(from, ..)
                if of != incarnation.incarnation =>
            {
                self.report(at, from, AttemptReport::Broken { events: 0 });
            }
            ServerRequest::Run(from, dispatch, leased) => {
                self.start_run(at, from, &dispatch, leased)
            }
            ServerRequest::Resume(from, id, events) => {
                let server = &mut self.servers[at];
                match server.streams.get_mut(&id) {
                    Some(stream) if !stream.cancelled => {
                        stream.readers.push(Reader::new(from, events));
                        self.send_parts(at, id);
                    }
                    known => {
                        let known = match known {
                            Some(_) => ServerKnows::Gone,
                            None => ServerKnows::Never { incarnation },
                        };
                        self.report(at, from, AttemptReport::NotThere(known));
                    }
                }
            }
            ServerRequest::LookUp(from, id) => {
                let found = self.servers[at].streams.get(&id);
                let message = match found {
                    Some(stream) if stream.parts == CHUNKS => {
                        ServerMessage::End(stream.finished_response())
                    }
                    Some(_) => not_there(ServerKnows::Unreachable),
                    None => not_there(ServerKnows::Never { incarnation }),
                };
                self.send_in_order(at, &mut Reader::new(from, 0), message);
            }
            ServerRequest::Cancel((entry, entry_epoch), request, id) => {
                let known = match engine {
                    true => self.cancel(at, id),
                    false => ServerKnows::Unreachable,
                };
                let event = ProcessEvent::Cancelled(request, id, known);
                let (from, to) = (self.servers[at].domain, self.entries[entry].domain);
                if let Some(after) = self.transit_time(from, to) {
                    self.schedule(after, Event::Entry(entry, entry_epoch, event));
                }
            }
            ServerRequest::Forget(id) => {
                if engine {
                    self.cancel(at, id);
                }
            }
        }
    }

    fn cancel(&mut self, at: ServerNo, id: RequestId) -> ServerKnows {
        let server = &mut self.servers[at];
        let incarnation = server.server_incarnation();
        let Some(stream) = server.streams.get_mut(&id) else {
            server.cancelled.insert(id);
            return ServerKnows::Never { incarnation };
        };
        if stream.parts < CHUNKS {
            stream.cancelled = true;
            for mut reader in std::mem::take(&mut stream.readers) {
                self.send_in_order(at, &mut reader, broken());
            }
        }
        ServerKnows::Has
    }

    fn start_run(&mut self, at: ServerNo, from: AttemptConn, dispatch: &Dispatch, leased: bool) {
        let server = &mut self.servers[at];
        let refusal = if server.cancelled.contains(&dispatch.id) {
            Some(ServerRefusal::Cancelled)
        } else if server.running() >= 8 {
            Some(ServerRefusal::Busy { retry_after: None })
        } else {
            None
        };
        if let Some(why) = refusal {
            return self.report(at, from, AttemptReport::Refused(why));
        }
        let incarnation = server.server_incarnation();
        let stream = Stream {
            parts: 0,
            cancelled: false,
            body: self.history.body(dispatch.request),
            readers: vec![Reader::new(from, 0)],
        };
        server.streams.insert(dispatch.id, stream);
        self.record_run(at, from, dispatch, leased);
        let crashes = self.history.is_crashing(dispatch.request);
        let event = match crashes {
            true => ServerEvent::Crash(incarnation.incarnation),
            false => ServerEvent::NextPart(incarnation.incarnation, dispatch.id),
        };
        self.schedule(Duration::from_millis(20), Event::Server(at, event));
        if crashes {
            let boot = Event::Fault(super::Fault::Restart(at));
            self.schedule(Duration::from_secs(1), boot);
        }
    }

    fn produce_part(&mut self, at: ServerNo, id: RequestId) {
        let Some(stream) = self.servers[at].streams.get_mut(&id) else {
            return;
        };
        if stream.cancelled || stream.parts == CHUNKS {
            return;
        }
        stream.parts += 1;
        if stream.parts < CHUNKS {
            let after = Duration::from_millis(self.rng.random_range(20..400));
            let incarnation = self.servers[at].incarnation;
            self.schedule(
                after,
                Event::Server(at, ServerEvent::NextPart(incarnation, id)),
            );
        }
        self.send_parts(at, id);
    }

    /// Sends the parts that the readers of a stream have not received.
    fn send_parts(&mut self, at: ServerNo, id: RequestId) {
        let engine = self.servers[at].engine;
        let Some(stream) = self.servers[at].streams.get_mut(&id) else {
            return;
        };
        let (parts, whole) = (stream.parts, stream.finished_response());
        let mut readers = std::mem::take(&mut stream.readers);
        for reader in &mut readers {
            while engine && reader.next < parts {
                reader.next += 1;
                let message = ServerMessage::Chunk(reader.next);
                self.send_in_order(at, reader, message);
            }
            if parts == CHUNKS {
                self.send_in_order(at, reader, ServerMessage::End(whole.clone()));
            }
        }
        if parts < CHUNKS
            && let Some(stream) = self.servers[at].streams.get_mut(&id)
        {
            stream.readers = readers;
        }
    }

    /// Records a run in the history and checks it.
    fn record_run(&mut self, at: ServerNo, from: AttemptConn, dispatch: &Dispatch, leased: bool) {
        let (now, server, process) = (self.now, &self.servers[at], &self.entries[from.0]);
        // The announcement reaches its failure domain immediately, except entries
        // that are frozen meanwhile.
        let told = server.leaving.map(|left| left + Duration::from_secs(2));
        let late = told
            .is_some_and(|told| told < now && process.running_since + Duration::from_secs(2) < now);
        if late && process.domain == server.domain {
            self.history.record_violation(format!(
                "server {at} received a request after it announced leaving"
            ));
        }
        self.history.record_run(now, dispatch, leased);
    }
}

impl Reader {
    fn new(from: AttemptConn, next: u64) -> Self {
        Self {
            from,
            next,
            last: MonoTime::ZERO,
            silent: false,
        }
    }
}

impl Stream {
    fn finished_response(&self) -> Finished {
        Finished {
            answer: Completed {
                status: 200,
                content_type: "text/plain".into(),
                digest: 1,
                length: self.body.len() as u64,
                body: Some(self.body.clone()),
            },
            usage: Usage {
                prompt_tokens: 10,
                completion_tokens: 20,
            },
            first: Duration::from_millis(20),
            retry_after: None,
            at: 0,
        }
    }
}

fn broken() -> ServerMessage {
    ServerMessage::Report(AttemptReport::Broken { events: 0 })
}

fn not_there(known: ServerKnows) -> ServerMessage {
    ServerMessage::Report(AttemptReport::NotThere(known))
}
