//! Messages between control replicas and entries.
//!
//! Each entry keeps a connection to every control replica that it knows. It follows one of
//! them, which sends it all updates and receives its reports; the others only send periodic
//! summaries of their state, so that an entry notices updates that the followed replica is
//! missing. Replicas forward aggregated reports to each other. When every replica sent
//! everything and every entry reported to each replica, 300 entries cost the busiest
//! replica 22 MB per second. Duplicate or late messages are ordered by version, log
//! position or sequence number.

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
        BucketSet,
        Digests,
        Section,
        SectionDigests, //
    },
    directory::{
        Announcement,
        ServerIncarnation, //
    },
    forwarding::ForwardingOffer,
    limits::LimitOf,
    loads::{
        ServerKey,
        ServerLoad, //
    },
    outliers::{
        AnswerCounts,
        Doubt, //
    },
    request::{
        AnswerProgress,
        AnswerStage,
        PartId, //
    },
    server_leases::{
        LeaseGrant,
        LeaseRequest, //
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
        MonoTime,
        NodeId,
        ProcessAddr, //
    },
    replica::ReplicaMessage,
};

/// First message on a connection, which identifies the caller.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Hello {
    /// An entry that wants updates.
    Entry {
        /// Random number drawn at startup.
        id: u64,
        /// Name for logs.
        name: SmolStr,
    },
    /// A control replica.
    Replica {
        /// Its id.
        node: NodeId,
    },
    /// A process that sends a single membership request.
    NonMember,
}

/// Message from an entry to a control replica.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum FromEntry {
    /// Subscribe to updates, given the state of the sender.
    Follow(SyncState),
    /// End the subscription; the sender now follows another replica.
    Unfollow,
    /// Request the updates that the sender, with this state, is missing relative to the
    /// receiver's summary.
    RequestUpdate(SyncState),
    /// Request the backend servers that the receiver knows in these sections.
    RequestSections(Vec<Section>),
    /// Backend servers known to the sender, as requested by the receiver.
    Servers(Vec<Announcement>),
    /// Observations since the last report.
    Report(Box<Report>),
    /// Keeps the connection alive.
    Heartbeat,
    /// The sender offers to serve requests of other entries, or no longer does.
    OfferForwarding(Option<ForwardingOffer>),
    /// Asks the leader whether one request with these fatal parts may be sent.
    RequestProbe(FatalParts),
    /// Asks the leader for the sender's leases of backend servers.
    RequestLeases(Box<LeaseRequest>),
    /// Asks for an echo, with the time at which the sender sent this.
    Ping(MonoTime),
}

impl FromEntry {
    /// Returns the name of the message type for metrics.
    pub fn kind(&self) -> &'static str {
        match self {
            Self::Follow(_) => "follow",
            Self::Unfollow => "unfollow",
            Self::RequestUpdate(_) => "lacks",
            Self::RequestSections(_) => "lacks_sections",
            Self::Servers(_) => "servers",
            Self::Report(_) => "report",
            Self::Heartbeat => "alive",
            Self::OfferForwarding(_) => "offer",
            Self::RequestProbe(_) => "request_probe",
            Self::RequestLeases(_) => "request_leases",
            Self::Ping(_) => "ping",
        }
    }
}

/// The data from control replicas that an entry has.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct SyncState {
    /// Version of its configuration.
    pub config: Option<ConfigVersion>,
    /// Digests of its backend server directory.
    pub servers: Digests,
    /// Largest number of entries it has been told of.
    pub entries: u32,
}

/// Observations of entries since the last report.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// Results of versions in a rollout.
    pub evidence: Vec<Evidence>,
    /// Loads reported by backend servers.
    pub loads: Vec<ServerLoad>,
    /// Rate limits that backend servers have set or lifted.
    pub limits: Vec<LimitOf>,
    /// Good and bad responses of backend servers.
    pub outcomes: Vec<AnswerCounts>,
    /// Backend servers that could not be reached from a failure domain. They are only
    /// passed on within that domain, because a server that is partitioned from one domain
    /// may be reachable from another.
    pub unreachable: Vec<UnreachableServer>,
    /// Waiting times until the first event.
    pub waits: Vec<WaitTotal>,
    /// Outcomes of requests to plain services.
    pub work: Vec<ServiceLoad>,
    /// Requests that were running when backend servers crashed.
    pub crashes: Vec<Crash>,
    /// Answers on suspected prompt parts that came further than those that ended in crashes.
    pub part_answers: Vec<PartAnswer>,
    /// Requests refused for fatal prompt parts.
    pub part_refusals: Vec<PartRefusals>,
    /// Fatal prompt parts that the sender knows, for a replica that has started since.
    pub fatal_parts: Vec<FatalParts>,
    /// Sessions that must stay on the versions before a rollout.
    pub retained_sessions: Vec<RetainedSessions>,
    /// How long rollouts have been running, for a replica that has started since.
    pub rollout_ages: Vec<RolloutAge>,
}

impl Report {
    /// Returns whether the report is empty.
    pub fn is_empty(&self) -> bool {
        let Self {
            evidence,
            loads,
            limits,
            outcomes,
            unreachable,
            waits,
            work,
            crashes,
            part_answers,
            part_refusals,
            fatal_parts,
            retained_sessions,
            rollout_ages,
        } = self;
        evidence.is_empty()
            && loads.is_empty()
            && limits.is_empty()
            && outcomes.is_empty()
            && unreachable.is_empty()
            && waits.is_empty()
            && work.is_empty()
            && crashes.is_empty()
            && part_answers.is_empty()
            && part_refusals.is_empty()
            && fatal_parts.is_empty()
            && retained_sessions.is_empty()
            && rollout_ages.is_empty()
    }

    /// Turns the ages of crashes and answers into times of the local clock, or such times
    /// into ages. A report that waits to be passed on must not make them younger.
    pub fn convert_ages(&mut self, now: MonoTime) {
        let convert = |age: &mut Duration| *age = now.saturating_sub(*age);
        for crash in &mut self.crashes {
            convert(&mut crash.sent);
            convert(&mut crash.age);
        }
        for answer in &mut self.part_answers {
            convert(&mut answer.age);
        }
    }

    /// Adds the report of another entry.
    pub fn add(&mut self, other: Self) {
        for evidence in other.evidence {
            let same = self.evidence.iter_mut().find(|e| e.matches(&evidence));
            match same {
                Some(same) => same.add(&evidence),
                None => self.evidence.push(evidence),
            }
        }
        self.loads.extend(other.loads);
        self.limits.extend(other.limits);
        self.outcomes.extend(other.outcomes);
        self.unreachable.extend(other.unreachable);
        self.waits.extend(other.waits);
        self.work.extend(other.work);
        self.crashes.extend(other.crashes);
        self.part_answers.extend(other.part_answers);
        self.part_refusals.extend(other.part_refusals);
        self.fatal_parts.extend(other.fatal_parts);
        self.retained_sessions.extend(other.retained_sessions);
        self.rollout_ages.extend(other.rollout_ages);
    }

    /// Takes the aggregated report to be forwarded. If there are several loads of one
    /// backend server, the highest is kept, as in the loads sent to entries.
    pub fn take(&mut self) -> Self {
        let mut taken = std::mem::take(self);
        taken.loads.sort_by_key(|l| (l.server, Reverse(l.total())));
        merge_adjacent(&mut taken.loads, |l| l.server, ServerLoad::merge_details);
        taken.waits.sort_by_key(|w| w.service);
        merge_adjacent(&mut taken.waits, |w| w.service, |sum, other| sum.add(other));
        taken.work.sort_by_key(|w| w.service);
        merge_adjacent(&mut taken.work, |w| w.service, |sum, other| sum.add(other));
        taken.outcomes.sort_by_key(|o| o.server);
        merge_adjacent(
            &mut taken.outcomes,
            |o| o.server,
            |sum, other| sum.add(other),
        );
        taken
    }
}

/// Merges adjacent items with the same key into the first of them.
fn merge_adjacent<T, K: PartialEq>(
    sorted: &mut Vec<T>,
    key: impl Fn(&T) -> K,
    add: impl Fn(&mut T, &T),
) {
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
pub struct UnreachableServer {
    /// Failure domain of the entry that tried to connect.
    pub from: DomainId,
    /// Key of the backend server.
    pub server: ServerKey,
    /// Whether the server itself is down, as opposed to the network path to it.
    pub is_down: bool,
}

/// Message from a control replica to an entry.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum ToEntry {
    /// Addresses of the control replicas and the number of connected entries.
    Fleet {
        /// Failure domain of the sender.
        domain: DomainId,
        /// Addresses of the control replicas.
        replicas: Vec<ProcessAddr>,
        /// Largest number of simultaneously connected entries; 0 while the sender does not
        /// know it.
        entries: u32,
    },
    /// The replicated state as committed up to a position of the log.
    State {
        /// Position in the log.
        index: LogIndex,
        /// The newest configuration, if the receiver may not have it.
        config: Option<Document>,
        /// Evacuations and rollouts.
        orders: Orders,
        /// Whether the sender has everything that was committed before it started.
        current: bool,
    },
    /// Backend servers with new announcements, or that the receiver is missing.
    Servers(Vec<Announcement>),
    /// Section digests of buckets that differ from the receiver's.
    SectionDigests(Vec<SectionDigests>),
    /// Request for the receiver's backend servers in these buckets.
    RequestBuckets(BucketSet),
    /// Recent observations of all entries.
    Loads {
        /// Loads reported by backend servers.
        loads: Vec<ServerLoad>,
        /// Mean waiting times until the first event.
        waits: Vec<MeanWait>,
        /// Admitted shares of requests to services that are short of capacity.
        shares: Vec<ShareOf>,
    },
    /// All backend servers that fail more often than the average of their service.
    Doubts(Vec<Doubt>),
    /// Current rate limits of backend servers, and those that ended recently.
    Limits(Vec<LimitOf>),
    /// Backend servers that have just been found unreachable.
    Unreachable(Vec<UnreachableServer>),
    /// Requests that crash the backend servers running them.
    Quarantined(Vec<Digest>),
    /// All prompt parts that are held to be fatal, and those that are suspected.
    FatalParts {
        /// Parts that no request may have together.
        fatal: Vec<FatalParts>,
        /// Parts on which the sender wants to know of any answer.
        suspected: Vec<PartSuspicion>,
    },
    /// The receiver may send one request with these fatal parts.
    ProbeAllowed(Vec<PartId>),
    /// Sessions reported by entries that must stay on the versions before a rollout, and
    /// whether all sessions active at its start have been reported.
    RetainedSessions(RetainedSessions, bool),
    /// Heartbeat with a summary of the sender's state.
    Heartbeat(StateSummary),
    /// Entries that serve requests of the receiver if it reaches no backend server.
    ForwardingOffers(Vec<ForwardingOffer>),
    /// Leases of backend servers, from the leader.
    Leases(Box<LeaseGrant>),
    /// The time in a [`FromEntry::Ping`], at once.
    Pong(MonoTime),
}

impl ToEntry {
    /// Returns the name of the message type for metrics.
    pub fn kind(&self) -> &'static str {
        match self {
            Self::Fleet { .. } => "fleet",
            Self::State { .. } => "state",
            Self::Servers(_) => "servers",
            Self::SectionDigests(_) => "details",
            Self::RequestBuckets(_) => "wants",
            Self::Loads { .. } => "loads",
            Self::Doubts(_) => "doubts",
            Self::Limits(_) => "limits",
            Self::Unreachable(_) => "unreached",
            Self::Quarantined(_) => "quarantined",
            Self::FatalParts { .. } => "fatal_parts",
            Self::ProbeAllowed(_) => "probe_allowed",
            Self::RetainedSessions(..) => "kept",
            Self::Heartbeat(_) => "alive",
            Self::ForwardingOffers(_) => "offers",
            Self::Leases(_) => "leases",
            Self::Pong(_) => "pong",
        }
    }
}

/// Summary of a control replica's state.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StateSummary {
    /// Version of its configuration.
    pub config: Option<ConfigVersion>,
    /// Log position of the last change of its state.
    pub index: LogIndex,
    /// Digest of its backend server directory.
    pub servers: u32,
    /// Whether it is a member of the group and knows a leader.
    pub settled: bool,
}

/// Message between control replicas.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum CoordinatorMessage {
    /// Message of the replicated log.
    Log(Box<ReplicaMessage>),
    /// Announcements of backend servers.
    Servers(Vec<Announcement>),
    /// Digests of the sender's directory, for comparison.
    Digests {
        /// Digest of each bucket.
        digests: Digests,
        /// Failure domain of the sender.
        domain: DomainId,
        /// Whether the receiver should send its own digests if they differ.
        reply_requested: bool,
    },
    /// Request for the receiver's backend servers in these buckets.
    RequestBuckets(BucketSet),
    /// Announcements that the receiver must confirm.
    Confirm {
        /// Id of the confirmation request.
        ticket: u64,
        /// The announcements.
        servers: Vec<Announcement>,
    },
    /// The announcements have been merged and passed on.
    Confirmed {
        /// Id of the confirmation request.
        ticket: u64,
    },
    /// Aggregated report of the sender's entries.
    Report(Box<Report>),
}

/// Sessions on the versions before a rollout that were active when it started.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RetainedSessions {
    /// Service.
    pub service: ServiceId,
    /// Version being rolled out.
    pub target: SmolStr,
    /// Hashes of the session ids.
    pub sessions: Vec<u64>,
}

/// How long a rollout has been running, as known to one entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RolloutAge {
    /// Service.
    pub service: ServiceId,
    /// Version being rolled out.
    pub target: SmolStr,
    /// Time since the entry first learned of it.
    pub age: Duration,
}

/// A request that was running when a backend server crashed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Crash {
    /// Fingerprint of the request.
    pub fingerprint: Digest,
    /// The incarnation that crashed.
    pub server: ServerIncarnation,
    /// Parts of its prompt that it shares with others.
    pub parts: Vec<PartId>,
    /// How far its answer had come.
    pub stage: AnswerStage,
    /// Time since the request was sent to it.
    pub sent: Duration,
    /// Round-trip time to it.
    pub round_trip: Duration,
    /// Time since the crash.
    pub age: Duration,
}

/// An answer on a suspected prompt part came further than those that ended in crashes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PartAnswer {
    /// The part.
    pub part: PartId,
    /// How far the answer came.
    pub progress: AnswerProgress,
    /// Time since then.
    pub age: Duration,
}

/// Requests that an entry refused for fatal prompt parts.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PartRefusals {
    /// The parts.
    pub parts: Vec<PartId>,
    /// Number of requests.
    pub count: u32,
}

/// Prompt parts that are held to crash backend servers if a request has all of them.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FatalParts {
    /// The parts, in ascending order.
    pub parts: Vec<PartId>,
    /// Number of crashes that this rests on.
    pub crashes: u32,
    /// Number of events that the answers had at most when their backend servers crashed.
    pub events: u32,
    /// Time since it was found out.
    pub age: Duration,
}

/// A prompt part that may crash backend servers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PartSuspicion {
    /// The part.
    pub part: PartId,
    /// Number of crashes that count against it.
    pub crashes: u32,
    /// Number of events that the answers on it had at one of these crashes, the lowest.
    pub events: u32,
    /// Time since the latest of these.
    pub age: Duration,
}

/// Request from a process outside the group about its membership.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum MembershipRequest {
    /// Asks for the group's identity and members.
    Group,
    /// Asks to become a replica.
    Join {
        /// Id drawn by the sender.
        node: NodeId,
        /// Incarnation of its data folder.
        incarnation: u128,
        /// Its address.
        addr: ProcessAddr,
        /// Its failure domain.
        domain: DomainId,
    },
    /// Sent by the leader to tell the receiver the members; expects no reply.
    Members {
        /// Identity of the group.
        group: u128,
        /// All replicas with their addresses.
        replicas: Vec<(NodeId, ProcessAddr)>,
    },
}

/// Reply to a membership request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum MembershipReply {
    /// The group.
    Group {
        /// Identity of the group.
        group: u128,
        /// All replicas with their addresses.
        replicas: Vec<(NodeId, ProcessAddr)>,
        /// Whether the sender leads and holds a valid lease.
        leads: bool,
    },
    /// There is no group here yet.
    None,
    /// The sender of the request is a member or is becoming one.
    Joining,
}

/// Results of one version of a service on one route.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Evidence {
    /// Service.
    pub service: ServiceId,
    /// Version.
    pub version: SmolStr,
    /// Route.
    pub route: RouteId,
    /// Number of good responses.
    pub good: u32,
    /// Number of failed responses.
    pub bad: u32,
    /// Number of measured times to first byte, including those of cancelled responses.
    pub timed_responses: u32,
    /// Sum of the times to first byte, each divided by the mean of its route and model on
    /// other versions.
    pub latency_ratio_sum: f64,
    /// Number of streams whose event interval was measured.
    pub timed_streams: u32,
    /// Sum of the event intervals, divided in the same way.
    pub interval_ratio_sum: f64,
    /// Number of measured event intervals and times of whole answers.
    pub durations: u32,
    /// Number of these that were a multiple of the mean.
    pub slow_durations: u32,
}

impl Evidence {
    /// Returns whether both are for the same version on the same route.
    fn matches(&self, other: &Self) -> bool {
        let of = (&other.service, &other.version, &other.route);
        (&self.service, &self.version, &self.route) == of
    }

    fn add(&mut self, other: &Self) {
        self.good += other.good;
        self.bad += other.bad;
        self.timed_responses += other.timed_responses;
        self.latency_ratio_sum += other.latency_ratio_sum;
        self.timed_streams += other.timed_streams;
        self.interval_ratio_sum += other.interval_ratio_sum;
        self.durations += other.durations;
        self.slow_durations += other.slow_durations;
    }
}
