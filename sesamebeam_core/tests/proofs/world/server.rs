//! Fake backend servers of the world: engines with streams, plain services.

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
    Event,
    Life,
    ServerNo,
    World, //
    edge::{
        ConnId,
        EdgeEvent,
        Heard, //
    },
    files, //
};

/// Parts of each answer.
pub(crate) const CHUNKS: u64 = 4;

/// Time between two announcements.
const ANNOUNCE: Duration = Duration::from_secs(1);

/// Connection of an attempt at an entry.
pub(crate) type From = (EntryNo, Life, ConnId);

/// Something that happens to a backend server.
#[derive(Clone, Debug)]
pub(crate) enum ServerEvent {
    /// It announces itself, in this life.
    Announce(Incarnation),
    /// An entry asks something of one of its lives.
    Asked(Incarnation, Asked),
    /// A stream goes on by a part.
    Go(Incarnation, RequestId),
    /// A killer request takes it down.
    Die(Incarnation),
}

/// What an entry asks of a backend server.
#[derive(Clone, Debug)]
pub(crate) enum Asked {
    /// To run a request; with whether the entry held its lease.
    Run(From, Box<Dispatch>, bool),
    /// To go on with a stream after this many parts.
    Resume(From, RequestId, u64),
    /// What became of a call.
    LookUp(From, RequestId),
    /// To cancel an id on behalf of a request, with an answer.
    Cancel((EntryNo, Life), RequestId, RequestId),
    /// To cancel an id, without an answer.
    Forget(RequestId),
}

/// A request being run, or that was.
#[derive(Clone, Debug)]
struct Stream {
    parts: u64,
    cancelled: bool,
    body: Vec<u8>,
    readers: Vec<Reader>,
}

/// A connection on which a stream is read.
#[derive(Clone, Debug)]
struct Reader {
    from: From,
    next: u64,
    last: MonoTime,
    silent: bool,
}

/// One backend server.
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

    fn life(&self) -> ServerIncarnation {
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

    pub(crate) fn serve(&mut self, at: ServerNo, event: ServerEvent) {
        let server = &self.servers[at];
        let (life, up) = (server.incarnation, server.up);
        match event {
            ServerEvent::Announce(of) if of == life && up => {
                self.announce(at);
                self.later(ANNOUNCE, Event::Server(at, ServerEvent::Announce(of)));
            }
            ServerEvent::Asked(of, asked) if up => self.asked(at, of, asked),
            ServerEvent::Go(of, id) if of == life && up => self.go(at, id),
            ServerEvent::Die(of) if of == life && up => self.crash(at),
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
        // One that does not answer is passed over: the backend server tells the
        // next, as docs/INTERFACES.md wants.
        let near = |at: &EntryNo| {
            let edge = &self.entries[*at];
            edge.domain == domain && edge.core.is_some() && edge.frozen.is_none()
        };
        let entries: Vec<EntryNo> = (0..self.entries.len()).filter(near).collect();
        if entries.is_empty() {
            return;
        }
        let to = entries[self.rng.random_range(0..entries.len())];
        let event = EdgeEvent::Core(EntryEvent::Announced(Box::new(announcement)));
        let event = Event::Edge(to, self.entries[to].life, event);
        self.send(domain, domain, event);
    }

    pub(crate) fn crash(&mut self, at: ServerNo) {
        self.break_streams(at);
        let server = &mut self.servers[at];
        server.up = false;
        server.streams.clear();
        server.cancelled.clear();
    }

    pub(crate) fn boot(&mut self, at: ServerNo) {
        let server = &mut self.servers[at];
        if server.up {
            return;
        }
        server.up = true;
        server.leaving = None;
        server.incarnation += 1;
        server.seq = 0;
        let life = server.incarnation;
        self.later(
            Duration::ZERO,
            Event::Server(at, ServerEvent::Announce(life)),
        );
    }

    pub(crate) fn leave(&mut self, at: ServerNo) {
        self.servers[at].leaving.get_or_insert(self.now);
        self.announce(at);
    }

    /// Open connections go silent: something between the ends forgot them.
    pub(crate) fn silence(&mut self, at: ServerNo) {
        for stream in self.servers[at].streams.values_mut() {
            stream.readers.iter_mut().for_each(|r| r.silent = true);
        }
    }

    pub(crate) fn break_streams(&mut self, at: ServerNo) {
        let streams = &mut self.servers[at].streams;
        let readers: Vec<Reader> = streams
            .values_mut()
            .flat_map(|s| std::mem::take(&mut s.readers))
            .collect();
        for mut reader in readers {
            self.pass(at, &mut reader, broken());
        }
    }

    /// Passes something on over a connection, in order, or never again.
    fn pass(&mut self, at: ServerNo, reader: &mut Reader, heard: Heard) {
        let (entry, life, id) = reader.from;
        let (from, to) = (self.servers[at].domain, self.entries[entry].domain);
        let Some(after) = self.travel(from, to).filter(|_| !reader.silent) else {
            reader.silent = true;
            return;
        };
        reader.last = reader.last.max(self.now + after) + Duration::from_micros(1);
        let event = Event::Edge(entry, life, EdgeEvent::Heard(id, heard));
        self.later(reader.last - self.now, event);
    }

    fn report(&mut self, at: ServerNo, from: From, report: AttemptReport) {
        let mut reader = Reader::new(from, 0);
        self.pass(at, &mut reader, Heard::Report(report));
    }

    fn asked(&mut self, at: ServerNo, of: Incarnation, asked: Asked) {
        let (life, engine) = (self.servers[at].life(), self.servers[at].engine);
        match asked {
            // The connection was to an earlier life.
            Asked::Run(from, ..) | Asked::Resume(from, ..) | Asked::LookUp(from, ..)
                if of != life.incarnation =>
            {
                self.report(at, from, AttemptReport::Broken { events: 0 });
            }
            Asked::Run(from, dispatch, leased) => self.run_here(at, from, &dispatch, leased),
            Asked::Resume(from, id, events) => {
                let server = &mut self.servers[at];
                match server.streams.get_mut(&id) {
                    Some(stream) if !stream.cancelled => {
                        stream.readers.push(Reader::new(from, events));
                        self.flow(at, id);
                    }
                    known => {
                        let known = match known {
                            Some(_) => ServerKnows::Gone,
                            None => ServerKnows::Never { life },
                        };
                        self.report(at, from, AttemptReport::NotThere(known));
                    }
                }
            }
            Asked::LookUp(from, id) => {
                let found = self.servers[at].streams.get(&id);
                let heard = match found {
                    Some(stream) if stream.parts == CHUNKS => Heard::End(stream.whole()),
                    Some(_) => not_there(ServerKnows::Unreachable),
                    None => not_there(ServerKnows::Never { life }),
                };
                self.pass(at, &mut Reader::new(from, 0), heard);
            }
            Asked::Cancel((entry, entry_life), request, id) => {
                let known = match engine {
                    true => self.cancel(at, id),
                    false => ServerKnows::Unreachable,
                };
                let event = EdgeEvent::Cancelled(request, id, known);
                let (from, to) = (self.servers[at].domain, self.entries[entry].domain);
                if let Some(after) = self.travel(from, to) {
                    self.later(after, Event::Edge(entry, entry_life, event));
                }
            }
            Asked::Forget(id) => {
                if engine {
                    self.cancel(at, id);
                }
            }
        }
    }

    fn cancel(&mut self, at: ServerNo, id: RequestId) -> ServerKnows {
        let server = &mut self.servers[at];
        let life = server.life();
        let Some(stream) = server.streams.get_mut(&id) else {
            server.cancelled.insert(id);
            return ServerKnows::Never { life };
        };
        if stream.parts < CHUNKS {
            stream.cancelled = true;
            for mut reader in std::mem::take(&mut stream.readers) {
                self.pass(at, &mut reader, broken());
            }
        }
        ServerKnows::Has
    }

    fn run_here(&mut self, at: ServerNo, from: From, dispatch: &Dispatch, leased: bool) {
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
        let life = server.life();
        let stream = Stream {
            parts: 0,
            cancelled: false,
            body: self.books.body(dispatch.request),
            readers: vec![Reader::new(from, 0)],
        };
        server.streams.insert(dispatch.id, stream);
        self.ran(at, from, dispatch, leased);
        let die = self.books.kills(dispatch.request);
        let event = match die {
            true => ServerEvent::Die(life.incarnation),
            false => ServerEvent::Go(life.incarnation, dispatch.id),
        };
        self.later(Duration::from_millis(20), Event::Server(at, event));
        if die {
            let boot = Event::Fault(super::Fault::Boot(at));
            self.later(Duration::from_secs(1), boot);
        }
    }

    fn go(&mut self, at: ServerNo, id: RequestId) {
        let Some(stream) = self.servers[at].streams.get_mut(&id) else {
            return;
        };
        if stream.cancelled || stream.parts == CHUNKS {
            return;
        }
        stream.parts += 1;
        if stream.parts < CHUNKS {
            let after = Duration::from_millis(self.rng.random_range(20..400));
            let life = self.servers[at].incarnation;
            self.later(after, Event::Server(at, ServerEvent::Go(life, id)));
        }
        self.flow(at, id);
    }

    /// Passes on what the readers of a stream have not got.
    fn flow(&mut self, at: ServerNo, id: RequestId) {
        let engine = self.servers[at].engine;
        let Some(stream) = self.servers[at].streams.get_mut(&id) else {
            return;
        };
        let (parts, whole) = (stream.parts, stream.whole());
        let mut readers = std::mem::take(&mut stream.readers);
        for reader in &mut readers {
            while engine && reader.next < parts {
                reader.next += 1;
                let heard = Heard::Chunk(reader.next);
                self.pass(at, reader, heard);
            }
            if parts == CHUNKS {
                self.pass(at, reader, Heard::End(whole.clone()));
            }
        }
        if parts < CHUNKS
            && let Some(stream) = self.servers[at].streams.get_mut(&id)
        {
            stream.readers = readers;
        }
    }

    /// Enters a run into the books and checks it.
    fn ran(&mut self, at: ServerNo, from: From, dispatch: &Dispatch, leased: bool) {
        let (now, server, edge) = (self.now, &self.servers[at], &self.entries[from.0]);
        // The announcement comes within the failure domain at once; an entry
        // that was frozen meanwhile has not heard it.
        let told = server.leaving.map(|left| left + Duration::from_secs(2));
        let late = told.is_some_and(|told| told < now && edge.awake + Duration::from_secs(2) < now);
        if late && edge.domain == server.domain {
            self.books
                .fault(format!("server {at} got work after it left"));
        }
        self.books.ran(now, dispatch, leased);
    }
}

impl Reader {
    fn new(from: From, next: u64) -> Self {
        Self {
            from,
            next,
            last: MonoTime::ZERO,
            silent: false,
        }
    }
}

impl Stream {
    fn whole(&self) -> Finished {
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

fn broken() -> Heard {
    Heard::Report(AttemptReport::Broken { events: 0 })
}

fn not_there(known: ServerKnows) -> Heard {
    Heard::Report(AttemptReport::NotThere(known))
}
