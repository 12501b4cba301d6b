//! Messages between control replicas and entries.
//!
//! Each entry keeps a connection to every control replica that it knows of and
//! is told all that changes as soon as that replica knows it. Whatever arrives
//! twice or late is ordered by its version, log position or sequence number.

use std::time::Duration;

use serde::{
    Deserialize,
    Serialize, //
};
use smol_str::SmolStr;

use super::{
    config::{
        RouteId,
        ServiceId, //
    },
    directory::{
        Announcement,
        Life, //
    },
    loads::LoadOf,
    rollout::Rollout,
    store::Document,
};
use crate::{
    ids::{
        Digest,
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
    /// Backend servers that it knows, for a replica that has forgotten them.
    Servers(Vec<Announcement>),
    /// Answers counted since the last message.
    Evidence(Vec<Evidence>),
    /// Loads that backend servers have told since the last message.
    Loads(Vec<LoadOf>),
    /// Whether the receiver should tell the sender of the loads that others hear.
    WantsLoads(bool),
    /// Requests that were running when backend servers went down.
    Crashed(Vec<Crash>),
    /// Sessions that must stay on the versions before a roll-out.
    Kept(Kept),
    /// How long roll-outs have run, for a replica that has started since.
    Ages(Vec<Age>),
    /// It lives.
    Alive,
}

/// What a control replica tells an entry.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum ToEntry {
    /// Where the control replicas listen, and how many entries are connected.
    Fleet {
        /// Addresses of the control replicas.
        replicas: Vec<ProcessAddr>,
        /// Entries connected to the sender.
        entries: u32,
    },
    /// State that was committed up to a position of the log.
    State {
        /// The position.
        index: LogIndex,
        /// The newest configuration, if the receiver may not have it.
        config: Option<Document>,
        /// All roll-outs.
        rollouts: Vec<(ServiceId, Rollout)>,
        /// Whether the sender has all that was committed before it started.
        current: bool,
    },
    /// Backend servers that announced something new.
    Servers(Vec<Announcement>),
    /// Loads that backend servers have told any entry of late.
    Loads(Vec<LoadOf>),
    /// Requests that crash what runs them.
    Quarantined(Vec<Digest>),
    /// Sessions that must stay on the versions before a roll-out, as entries
    /// have reported, and whether all that were running have been.
    Kept(Kept, bool),
    /// The sender lives.
    Alive,
}

/// What control replicas tell each other.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Between {
    /// A message of the replicated log.
    Log(Box<ReplicaMessage>),
    /// Backend servers that were heard, with what they said.
    Servers(Vec<Announcement>),
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
