//! Detection of crashed backend servers from all that one entry sees of them.
//!
//! No single look at an address tells whether a process lives: its listener may outlive its
//! connections, or be held by a supervisor until the next incarnation takes over. From the
//! connection that broke on, a backend server is therefore watched until something shows what
//! happened: refused connections, another incarnation, silence, or an answer.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    time::Duration, //
};

use super::{
    directory::ServerIncarnation,
    quarantine::{
        FailedSend,
        Subject, //
    },
    request::AnswerStage,
};
use crate::ids::MonoTime;

/// Maximum number of backend servers that are watched; the oldest watches end first.
const MAX_WATCHES: usize = 256;

/// Maximum number of sends kept for one backend server.
const MAX_SENDS: usize = 128;

/// Time after which a watch ends without a finding.
const RETENTION: Duration = Duration::from_secs(60);

/// Time after which an answer that ended with its connection is held to be complete.
const MAX_UNCONFIRMED: Duration = Duration::from_secs(5);

/// Time after an answer in which the announcement of the incarnation that sent it arrives, if
/// that is a new one under the same id.
const ANNOUNCED_IN: Duration = Duration::from_secs(2);

/// Round-trip time assumed of a backend server that no connection reached since.
const UNKNOWN_ROUND_TRIP: Duration = Duration::from_millis(300);

/// What shows that a backend server crashed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CrashSign {
    /// It refuses connections.
    Refused,
    /// Another incarnation is at its address, or has its id.
    Replaced,
    /// It has answered nothing since, on any connection.
    Silent,
}

impl CrashSign {
    /// Returns its name in logs and metrics.
    pub fn label(self) -> &'static str {
        match self {
            Self::Refused => "refused",
            Self::Replaced => "replaced",
            Self::Silent => "silent",
        }
    }
}

/// How a send came to its end together with its connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionEnd {
    /// The answer was broken off.
    Broken,
    /// The answer is complete if its backend server lives: only the end of the connection ends it.
    MaybeComplete,
}

/// A send that ended with its connection.
#[derive(Clone, Debug)]
pub(super) struct EndedSend {
    pub(super) at: MonoTime,
    pub(super) sent_at: MonoTime,
    pub(super) stage: AnswerStage,
    pub(super) end: ConnectionEnd,
    pub(super) subject: Subject,
}

/// A backend server with a connection that ended.
#[derive(Clone, Debug)]
struct Watch {
    addr: SocketAddr,
    /// When the first connection ended.
    since: MonoTime,
    /// Whether an answer was broken off.
    is_broken: bool,
    /// Round-trip time to it, once it has accepted a connection since.
    round_trip: Option<Duration>,
    /// When it first answered a request that was sent since.
    answered_at: Option<MonoTime>,
    sends: Vec<EndedSend>,
}

/// The outcome of a watch.
#[derive(Clone, Debug)]
pub(super) enum Finding {
    /// The backend server crashed.
    Crashed {
        /// What shows it.
        sign: CrashSign,
        /// Round-trip time to it.
        round_trip: Duration,
    },
    /// Nothing shows that it crashed.
    Lives,
}

/// A watch that has ended.
#[derive(Clone, Debug)]
pub(super) struct Settled {
    pub(super) server: ServerIncarnation,
    pub(super) finding: Finding,
    /// Whether an answer was broken off.
    pub(super) is_broken: bool,
    pub(super) since: MonoTime,
    pub(super) sends: Vec<EndedSend>,
}

/// Backend servers with connections that ended, and what is seen of them since.
#[derive(Debug, Default)]
pub(super) struct CrashWatch {
    watches: BTreeMap<ServerIncarnation, Watch>,
}

impl CrashWatch {
    /// Adds a send that ended with its connection. Returns whether its backend server is to be
    /// looked at, and a watch that ends for want of room.
    pub(super) fn add(
        &mut self,
        server: ServerIncarnation,
        addr: SocketAddr,
        send: EndedSend,
    ) -> (bool, Option<Settled>) {
        let dropped = match self.watches.contains_key(&server) {
            true => None,
            false => self.make_room(),
        };
        let watch = self.watches.entry(server).or_insert_with(|| Watch {
            addr,
            since: send.at,
            is_broken: false,
            round_trip: None,
            answered_at: None,
            sends: Vec::new(),
        });
        let breaks = send.end == ConnectionEnd::Broken;
        let is_new = breaks && (!watch.is_broken || watch.answered_at.is_some());
        if is_new {
            // It lived after the earlier ones, and answers to these say nothing about this one.
            watch.sends.retain(|s| s.end != ConnectionEnd::Broken);
            watch.since = send.at;
            watch.answered_at = None;
            watch.is_broken = true;
        }
        if watch.sends.len() < MAX_SENDS {
            watch.sends.push(send);
        }
        (is_new, dropped)
    }

    fn make_room(&mut self) -> Option<Settled> {
        if self.watches.len() < MAX_WATCHES {
            return None;
        }
        let oldest = self.watches.iter().min_by_key(|(_, w)| w.since);
        let server = oldest.map(|(server, _)| server.clone())?;
        self.settle(&server, Finding::Lives)
    }

    /// Returns whether a backend server is still to be looked at.
    pub(super) fn is_open(&self, server: &ServerIncarnation) -> bool {
        let watch = self.watches.get(server);
        watch.is_some_and(|w| w.is_broken && w.answered_at.is_none())
    }

    /// Records that a backend server accepted a connection, and how long that took.
    pub(super) fn record_accepted(&mut self, server: &ServerIncarnation, round_trip: Duration) {
        if let Some(watch) = self.watches.get_mut(server) {
            watch.round_trip = Some(round_trip);
        }
    }

    /// Records that a backend server refused a connection, and how long that took.
    pub(super) fn record_refused(
        &mut self,
        server: &ServerIncarnation,
        round_trip: Option<Duration>,
    ) -> Option<Settled> {
        let watch = self.watches.get_mut(server)?;
        if watch.answered_at.is_some() {
            // It lived after these.
            watch.sends.retain(|s| s.end != ConnectionEnd::Broken);
        }
        if watch.sends.is_empty() {
            return self.settle(server, Finding::Lives);
        }
        self.crashed(server, CrashSign::Refused, round_trip)
    }

    /// Records that another incarnation answered in place of a backend server.
    pub(super) fn record_replaced(&mut self, server: &ServerIncarnation) -> Option<Settled> {
        self.crashed(server, CrashSign::Replaced, None)
    }

    /// Records that a backend server left a request without an answer for long. It last
    /// answered anything at a certain time. One that accepts no connections either may be cut off.
    pub(super) fn record_silent(
        &mut self,
        server: &ServerIncarnation,
        last_response_at: MonoTime,
    ) -> Option<Settled> {
        let watch = self.watches.get(server)?;
        let is_silent = last_response_at <= watch.since && watch.answered_at.is_none();
        if !watch.is_broken || !is_silent || watch.round_trip.is_none() {
            return None;
        }
        self.crashed(server, CrashSign::Silent, None)
    }

    /// Records that a backend server answered a request. Returns the answers that are therefore
    /// complete.
    pub(super) fn record_answer(
        &mut self,
        now: MonoTime,
        server: &ServerIncarnation,
        sent_at: MonoTime,
    ) -> Vec<EndedSend> {
        let Some(watch) = self.watches.get_mut(server) else {
            return Vec::new();
        };
        let is_complete =
            |s: &mut EndedSend| s.end == ConnectionEnd::MaybeComplete && s.at < sent_at;
        let complete = watch.sends.extract_if(.., is_complete).collect();
        if watch.is_broken && sent_at > watch.since {
            watch.answered_at.get_or_insert(now);
        }
        if watch.sends.is_empty() {
            self.watches.remove(server);
        }
        complete
    }

    /// Ends the watches of backend servers that were replaced, according to `is_replaced`.
    pub(super) fn settle_replaced(
        &mut self,
        is_replaced: impl Fn(&ServerIncarnation, SocketAddr) -> bool,
    ) -> Vec<Settled> {
        let watches = self.watches.iter();
        let replaced = watches.filter(|(server, watch)| is_replaced(server, watch.addr));
        let replaced: Vec<ServerIncarnation> = replaced.map(|(server, _)| server.clone()).collect();
        let settled = replaced.iter().filter_map(|s| self.record_replaced(s));
        settled.collect()
    }

    /// Ends the watches of backend servers that have answered since, and those that have lasted
    /// for long.
    pub(super) fn expire(&mut self, now: MonoTime) -> Vec<Settled> {
        let is_over = |w: &Watch| {
            let has_answered = w.answered_at.is_some_and(|at| now >= at + ANNOUNCED_IN);
            let last = w.sends.last().map_or(w.since, |s| s.at);
            let is_unconfirmed = !w.is_broken && now >= last + MAX_UNCONFIRMED;
            has_answered || is_unconfirmed || now >= w.since + RETENTION
        };
        let over = self.watches.iter().filter(|(_, w)| is_over(w));
        let over: Vec<ServerIncarnation> = over.map(|(server, _)| server.clone()).collect();
        let settled = over.iter().filter_map(|s| self.settle(s, Finding::Lives));
        settled.collect()
    }

    fn crashed(
        &mut self,
        server: &ServerIncarnation,
        sign: CrashSign,
        round_trip: Option<Duration>,
    ) -> Option<Settled> {
        let known = self.watches.get(server)?.round_trip;
        let round_trip = round_trip.or(known).unwrap_or(UNKNOWN_ROUND_TRIP);
        self.settle(server, Finding::Crashed { sign, round_trip })
    }

    fn settle(&mut self, server: &ServerIncarnation, finding: Finding) -> Option<Settled> {
        let watch = self.watches.remove(server)?;
        Some(Settled {
            server: server.clone(),
            finding,
            is_broken: watch.is_broken,
            since: watch.since,
            sends: watch.sends,
        })
    }
}

impl EndedSend {
    /// Returns the send as one that ended with its backend server.
    pub(super) fn failed(&self, round_trip: Duration) -> FailedSend {
        FailedSend {
            sent_at: self.sent_at,
            stage: self.stage,
            round_trip,
        }
    }
}
