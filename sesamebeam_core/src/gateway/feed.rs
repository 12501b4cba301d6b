//! Messages between control replicas and entries.
//!
//! Each entry keeps a connection to every control replica that it knows of. One of
//! them tells it all that changes and takes its reports; the others only say now
//! and then what they hold, so that an entry notices what that one does not know.
//! Replicas pass reports on among themselves, summed up. Told everything by each
//! replica, and reporting to each, 300 entries cost the busiest replica 22 MB a
//! second. Whatever arrives twice or late is ordered by its version, log position
//! or sequence number.

use std::{
    cmp::Reverse,
    time::Duration, //
};

use serde::{
    Deserialize,
    Serialize, //
};
use smol_str::SmolStr;

use super::{
    config::{
        ConfigVersion,
        RouteId,
        ServiceId, //
    },
    digests::{
        Digests,
        PartDetail,
        Parts,
        Section, //
    },
    directory::{
        Announcement,
        Life, //
    },
    limits::LimitOf,
    loads::{
        ServerKey,
        ServerLoad, //
    },
    outliers::{
        AnswerCounts,
        Doubt, //
    },
    shortage::{
        ServiceLoad,
        ShareOf, //
    },
    store::{
        Document,
        Orders, //
    },
    waits::{
        MeanWait,
        WaitTotal, //
    },
};
use crate::{
    ids::{
        Digest,
        DomainId,
        LogIndex,
        NodeId,
        ProcessAddr, //
    },
    replica::ReplicaMessage,
};

/// First message on a connection: who calls.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Hello {
    /// An entry that wants to be told of changes.
    Entry {
        /// Drawn at its start.
        life: u64,
        /// Name for logs.
        name: SmolStr,
    },
    /// A control replica.
    Replica {
        /// Its number.
        node: NodeId,
    },
    /// A process that asks one question.
    Asker,
}

/// What an entry tells a control replica.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum FromEntry {
    /// The receiver tells the sender, who holds this, from now on.
    Follow(Held),
    /// Another replica tells the sender from now on.
    Unfollow,
    /// The sender holds this, less than the receiver has said to hold.
    Lacks(Held),
    /// The sender lacks what the receiver knows of backend servers in these sections.
    LacksSections(Vec<Section>),
    /// Backend servers that it knows, as the receiver has wanted.
    Servers(Vec<Announcement>),
    /// What it has seen since the last message.
    Report(Report),
    /// It lives.
    Alive,
}

impl FromEntry {
    /// Names its kind, for counters.
    pub fn kind(&self) -> &'static str {
        match self {
            Self::Follow(_) => "follow",
            Self::Unfollow => "unfollow",
            Self::Lacks(_) => "lacks",
            Self::LacksSections(_) => "lacks_sections",
            Self::Servers(_) => "servers",
            Self::Report(_) => "report",
            Self::Alive => "alive",
        }
    }
}

/// What an entry holds of what control replicas tell.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Held {
    /// Number of its configuration.
    pub config: Option<ConfigVersion>,
    /// Backend servers.
    pub servers: Digests,
    /// The most entries that it has heard of.
    pub entries: u32,
}

/// What entries have seen since the last report.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// Answers of versions in a roll-out.
    pub evidence: Vec<Evidence>,
    /// Loads that backend servers have told.
    pub loads: Vec<ServerLoad>,
    /// Limits that backend servers have named, or named no more.
    pub limits: Vec<LimitOf>,
    /// Answers of backend servers, good and bad.
    pub outcomes: Vec<AnswerCounts>,
    /// Backend servers that could not be reached from a failure domain. What is cut
    /// from one may be within reach of another, so that these stay in their own.
    pub unreached: Vec<Unreached>,
    /// Waits for first events.
    pub waits: Vec<WaitTotal>,
    /// What became of requests to plain services.
    pub work: Vec<ServiceLoad>,
    /// Requests that were running when backend servers went down.
    pub crashes: Vec<Crash>,
    /// Sessions that must stay on the versions before a roll-out.
    pub kept: Vec<Kept>,
    /// How long roll-outs have run, for a replica that has started since.
    pub ages: Vec<Age>,
}

impl Report {
    /// Returns whether there is nothing in it.
    pub fn is_empty(&self) -> bool {
        let Self {
            evidence,
            loads,
            limits,
            outcomes,
            unreached,
            waits,
            work,
            crashes,
            kept,
            ages,
        } = self;
        evidence.is_empty()
            && loads.is_empty()
            && limits.is_empty()
            && outcomes.is_empty()
            && unreached.is_empty()
            && waits.is_empty()
            && work.is_empty()
            && crashes.is_empty()
            && kept.is_empty()
            && ages.is_empty()
    }

    /// Adds the report of another entry.
    pub fn add(&mut self, other: Self) {
        for evidence in other.evidence {
            let same = self.evidence.iter_mut().find(|e| e.counts_same(&evidence));
            match same {
                Some(same) => same.add(&evidence),
                None => self.evidence.push(evidence),
            }
        }
        self.loads.extend(other.loads);
        self.limits.extend(other.limits);
        self.outcomes.extend(other.outcomes);
        self.unreached.extend(other.unreached);
        self.waits.extend(other.waits);
        self.work.extend(other.work);
        self.crashes.extend(other.crashes);
        self.kept.extend(other.kept);
        self.ages.extend(other.ages);
    }

    /// Takes what is to be passed on. Of several loads of one backend server the
    /// highest is kept, as for those that are told.
    pub fn take(&mut self) -> Self {
        let mut taken = std::mem::take(self);
        taken.loads.sort_by_key(|l| (l.server, Reverse(l.total())));
        merge(
            &mut taken.loads,
            |l| l.server,
            |highest, other| highest.prefill_ms = highest.prefill_ms.max(other.prefill_ms),
        );
        taken.waits.sort_by_key(|w| w.service);
        merge(&mut taken.waits, |w| w.service, |sum, other| sum.add(other));
        taken.work.sort_by_key(|w| w.service);
        merge(&mut taken.work, |w| w.service, |sum, other| sum.add(other));
        taken.outcomes.sort_by_key(|o| o.server);
        merge(
            &mut taken.outcomes,
            |o| o.server,
            |sum, other| sum.add(other),
        );
        taken
    }
}

/// Makes one of neighbours with the same key, by adding each to the first.
fn merge<T, K: PartialEq>(sorted: &mut Vec<T>, key: impl Fn(&T) -> K, add: impl Fn(&mut T, &T)) {
    sorted.dedup_by(|later, first| {
        let same = key(later) == key(first);
        if same {
            add(first, later);
        }
        same
    });
}

/// A backend server that could not be reached.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Unreached {
    /// Failure domain of the entry that tried.
    pub from: DomainId,
    /// Which.
    pub server: ServerKey,
    /// Whether it is down: the way to it is not cut then.
    pub is_down: bool,
}

/// What a control replica tells an entry.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum ToEntry {
    /// Where the control replicas listen, and how many entries are connected.
    Fleet {
        /// Failure domain of the sender.
        domain: DomainId,
        /// Addresses of the control replicas.
        replicas: Vec<ProcessAddr>,
        /// Most entries that there were at once; 0 while the sender does not know.
        entries: u32,
    },
    /// State that was committed up to a position of the log.
    State {
        /// The position.
        index: LogIndex,
        /// The newest configuration, if the receiver may not have it.
        config: Option<Document>,
        /// All that was ordered beside it.
        orders: Orders,
        /// Whether the sender has all that was committed before it started.
        current: bool,
    },
    /// Backend servers that announced something new, or that the receiver lacks.
    Servers(Vec<Announcement>),
    /// Digests of sections in parts in which the receiver differs.
    Details(Vec<PartDetail>),
    /// The sender lacks what the receiver knows of backend servers in these parts.
    Wants(Parts),
    /// What all entries have seen of late.
    Loads {
        /// Loads that backend servers have told.
        loads: Vec<ServerLoad>,
        /// Mean waits for first events.
        waits: Vec<MeanWait>,
        /// Shares of the requests that are admitted to services that are short.
        shares: Vec<ShareOf>,
    },
    /// All backend servers that fail more often than their service.
    Doubts(Vec<Doubt>),
    /// Limits that backend servers name, and those that have ended of late.
    Limits(Vec<LimitOf>),
    /// Backend servers that could not be reached just now.
    Unreached(Vec<Unreached>),
    /// Requests that crash what runs them.
    Quarantined(Vec<Digest>),
    /// Sessions that must stay on the versions before a roll-out, as entries
    /// have reported, and whether all that were running have been.
    Kept(Kept, bool),
    /// The sender lives and holds this.
    Alive(Summary),
}

impl ToEntry {
    /// Names its kind, for counters.
    pub fn kind(&self) -> &'static str {
        match self {
            Self::Fleet { .. } => "fleet",
            Self::State { .. } => "state",
            Self::Servers(_) => "servers",
            Self::Details(_) => "details",
            Self::Wants(_) => "wants",
            Self::Loads { .. } => "loads",
            Self::Doubts(_) => "doubts",
            Self::Limits(_) => "limits",
            Self::Unreached(_) => "unreached",
            Self::Quarantined(_) => "quarantined",
            Self::Kept(..) => "kept",
            Self::Alive(_) => "alive",
        }
    }
}

/// What a control replica holds, in brief.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Summary {
    /// Number of its configuration.
    pub config: Option<ConfigVersion>,
    /// Position in the log up to which its state is committed.
    pub index: LogIndex,
    /// Digest of the backend servers that it knows.
    pub servers: u32,
    /// Whether it has a place in the group and knows a leader.
    pub settled: bool,
}

/// What control replicas tell each other.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Between {
    /// A message of the replicated log.
    Log(Box<ReplicaMessage>),
    /// Backend servers that were heard, with what they said.
    Servers(Vec<Announcement>),
    /// What the sender knows of backend servers, in brief.
    Digests {
        /// Of each part.
        held: Digests,
        /// Failure domain of the sender.
        domain: DomainId,
        /// Whether the receiver says the same of itself if it holds anything else.
        ask: bool,
    },
    /// The sender lacks what the receiver knows of backend servers in these parts.
    Wants(Parts),
    /// Announcements that the receiver must confirm.
    Confirm {
        /// Number of the question.
        ticket: u64,
        /// The announcements.
        servers: Vec<Announcement>,
    },
    /// The announcements have been taken and passed on.
    Confirmed {
        /// Number of the question.
        ticket: u64,
    },
    /// What the sender's entries have reported.
    Report(Box<Report>),
}

/// Sessions that ran on the versions before a roll-out when it started.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Kept {
    /// Service.
    pub service: ServiceId,
    /// Version that is brought in.
    pub target: SmolStr,
    /// Hashes of the sessions' names.
    pub sessions: Vec<u64>,
}

/// How long a roll-out has run, as one entry knows.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Age {
    /// Service.
    pub service: ServiceId,
    /// Version that is brought in.
    pub target: SmolStr,
    /// Time since the entry first heard of it.
    pub age: Duration,
}

/// A request that was running when a backend server went down.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Crash {
    /// Fingerprint of the request.
    pub fingerprint: Digest,
    /// The life that ended.
    pub server: Life,
}

/// A question of a process that is no member.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Question {
    /// Which group is this, and who is in it?
    Group,
    /// The sender wants to become a replica.
    Join {
        /// Number that it drew.
        node: NodeId,
        /// Incarnation of its data folder.
        incarnation: u128,
        /// Where it listens.
        addr: ProcessAddr,
        /// Its failure domain.
        domain: DomainId,
    },
    /// No question: the leader tells of the group.
    Told {
        /// Its identity.
        group: u128,
        /// All replicas with their addresses.
        replicas: Vec<(NodeId, ProcessAddr)>,
    },
}

/// Answer to a question.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Reply {
    /// The group.
    Group {
        /// Its identity.
        group: u128,
        /// All replicas with their addresses.
        replicas: Vec<(NodeId, ProcessAddr)>,
        /// Whether the sender leads for certain.
        leads: bool,
    },
    /// There is no group here yet.
    None,
    /// The sender is or will be a member.
    Joining,
}

/// Answers of one version of a service on one route.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Evidence {
    /// Service.
    pub service: ServiceId,
    /// Version.
    pub version: SmolStr,
    /// Route.
    pub route: RouteId,
    /// Answers that were good.
    pub good: u32,
    /// Answers that failed.
    pub bad: u32,
    /// First bytes that were timed, those of answers that were dropped included.
    pub timed: u32,
    /// Sum of the times to them, each divided by the mean of its route and model
    /// on other versions.
    pub slowness: f64,
    /// Streams whose pace was measured.
    pub paced: u32,
    /// Sum of the times between their events, divided in the same way.
    pub pace: f64,
}

impl Evidence {
    /// Returns whether it counts the answers of the same version on the same route.
    fn counts_same(&self, other: &Self) -> bool {
        let of = (&other.service, &other.version, &other.route);
        (&self.service, &self.version, &self.route) == of
    }

    fn add(&mut self, other: &Self) {
        self.good += other.good;
        self.bad += other.bad;
        self.timed += other.timed;
        self.slowness += other.slowness;
        self.paced += other.paced;
        self.pace += other.pace;
    }
}
