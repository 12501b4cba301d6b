//! What entries and operators ask of the control group, and its answers.

use std::time::Duration;

use serde::{
    Deserialize,
    Serialize, //
};
use smol_str::SmolStr;

use super::{
    command::{
        Change,
        Denial,
        Evidence,
        RolloutState,
        Verdict, //
    },
    record::{
        Bill,
        ClaimKey,
        ClaimReply,
        ClaimRequest,
        ClaimView,
        Claimant,
        CompleteReply,
        CompleteRequest,
        CrashReport,
        PinRequest,
        PinView,
        SettleRequest, //
    },
    server::Announcement,
};
use crate::{
    fleet::{
        Class,
        Fleet,
        Model,
        Organisation,
        Pool,
        Rollout, //
    },
    ids::{
        BillSeq,
        Digest,
        DomainId,
        InstanceId,
        LogIndex,
        NodeId,
        ProcessAddr,
        Revision,
        Term,
        VersionId, //
    },
};

/// What is asked of a control replica.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum ControlRequest {
    /// An entry renews its configuration lease and asks for what is new.
    Renew(Renew),
    /// A claim on a request that must run at most once.
    Claim(ClaimRequest),
    /// The end of a claim with its billing entry.
    Complete(CompleteRequest),
    /// How far a claim has come.
    Look(ClaimKey),
    /// The version of a session.
    Pin(PinRequest),
    /// A crash of a backend server.
    Crash(CrashReport),
    /// Evidence about versions.
    Evidence(Vec<Evidence>),
    /// Backend servers of the entry's failure domain, for orders to engines.
    Servers(Vec<Announcement>),
    /// An operator's file.
    Apply(Change),
    /// State of the group and of the entries.
    Status,
    /// The fleet file in force.
    Current,
    /// Billing entries from a position on.
    Bills {
        /// First position wanted.
        from: BillSeq,
        /// Most entries wanted.
        limit: u32,
    },
    /// The settling of an open billing entry.
    Settle(SettleRequest),
    /// Replaces a replica whose disk is lost.
    Replace(Replace),
    /// Suspects of crashes that ran to their end on another backend server.
    Cleared(Vec<Digest>),
}

/// An entry's renewal of its configuration lease.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Renew {
    /// The entry in its present life.
    pub entry: Claimant,
    /// Failure domain of the entry.
    pub domain: DomainId,
    /// Revision in force at the entry.
    pub revision: Revision,
    /// Log position of the live state in force at the entry.
    pub live_at: LogIndex,
    /// Whether the entry is stopping and gives its lease back.
    pub leaving: bool,
}

/// Answer to a renewal.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Renewed {
    /// Length of the lease, from before the renewal was sent.
    pub lease: Duration,
    /// What is new, if anything is.
    pub update: Option<Update>,
}

/// What is new for an entry. Applied whole; never goes back.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Update {
    /// Revision that the entry has after this update.
    pub revision: Revision,
    /// Change of the fleet file, if the revision is new.
    pub fleet: Option<FleetChange>,
    /// Live state beside the file, if it is new.
    pub live: Option<Live>,
}

/// Change of the fleet file.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum FleetChange {
    /// The whole file.
    Whole(Box<Fleet>),
    /// The difference from a base revision.
    Delta(Box<FleetDelta>),
}

/// Difference between two fleet files.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct FleetDelta {
    /// Revision that the difference applies to.
    pub base: Revision,
    /// Name of the fleet, if it changed.
    pub name: Option<SmolStr>,
    /// Failure domains, if they changed.
    pub domains: Option<Vec<DomainId>>,
    /// Pools that are new or changed.
    pub pools: Vec<Pool>,
    /// Models that are new or changed.
    pub models: Vec<Model>,
    /// Classes that are new or changed.
    pub classes: Vec<Class>,
    /// Organisations that are new or changed.
    pub organisations: Vec<Organisation>,
    /// Roll-outs that are new or changed.
    pub rollouts: Vec<Rollout>,
    /// Names of what is gone.
    pub gone: Vec<Gone>,
    /// Orders of lists that changes, removals and additions at the end alone
    /// would not give.
    pub orders: Vec<ListOrder>,
}

/// The whole order of one list of a fleet file, by name.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ListOrder {
    /// Of the pools.
    Pools(Vec<SmolStr>),
    /// Of the models.
    Models(Vec<SmolStr>),
    /// Of the classes.
    Classes(Vec<SmolStr>),
    /// Of the organisations.
    Organisations(Vec<SmolStr>),
    /// Of the roll-outs.
    Rollouts(Vec<SmolStr>),
}

/// Name of a part that a new fleet file no longer has.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Gone {
    /// A pool.
    Pool(SmolStr),
    /// A model.
    Model(SmolStr),
    /// A class.
    Class(SmolStr),
    /// An organisation.
    Organisation(SmolStr),
    /// A roll-out.
    Rollout(SmolStr),
}

/// State beside the fleet file that entries act on.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Live {
    /// Log position that this state is of.
    pub at: LogIndex,
    /// Versions held fleet-wide by evidence.
    pub held: Vec<VersionId>,
    /// Where each roll-out stands.
    pub rollouts: Vec<RolloutView>,
    /// Fingerprints of requests that crash backend servers.
    pub quarantine: Vec<Digest>,
}

/// Where a roll-out stands.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RolloutView {
    /// Version that is rolled out.
    pub version: VersionId,
    /// Where it stands.
    pub state: RolloutState,
    /// Share of eligible requests it may take (0 to 1).
    pub share: f64,
    /// Rated answers seen fleet-wide at this step: good and bad.
    pub rated: (u32, u32),
}

/// Replaces a replica whose disk is lost by one with a new data folder.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Replace {
    /// Replica that is gone.
    pub gone: NodeId,
    /// Replica that takes its place, with its own number.
    pub new: NodeId,
    /// Where it listens.
    pub addr: ProcessAddr,
    /// Incarnation of its data folder.
    pub incarnation: u128,
}

/// Where the leader is to be found.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaderHint {
    /// Number of the leader.
    pub node: NodeId,
    /// Where it listens, if the log knows: a replica that took the place of a
    /// lost one is in nobody's settings yet, and may lead.
    pub addr: Option<ProcessAddr>,
}

/// A control replica's answer.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum ControlReply {
    /// Answer to [`ControlRequest::Renew`].
    Renewed(Renewed),
    /// Answer to [`ControlRequest::Claim`].
    Claim(ClaimReply),
    /// Answer to [`ControlRequest::Complete`].
    Complete(CompleteReply),
    /// Answer to [`ControlRequest::Look`].
    Claimed(Option<ClaimView>),
    /// Answer to [`ControlRequest::Pin`].
    Pin(PinView),
    /// Answer to [`ControlRequest::Apply`].
    Verdict(Verdict),
    /// Answer to [`ControlRequest::Status`].
    Status(Box<Status>),
    /// Answer to [`ControlRequest::Current`].
    Current {
        /// Revision in force.
        revision: Revision,
        /// The file.
        fleet: Box<Fleet>,
    },
    /// Answer to [`ControlRequest::Bills`].
    Bills(Vec<Bill>),
    /// Answer to [`ControlRequest::Settle`].
    Settled(bool),
    /// Done, with nothing to say.
    Done,
    /// This replica does not lead; the leader that it knows of.
    NotLeader(Option<LeaderHint>),
    /// There is no quorum, or the disk takes no writes. Nothing was written
    /// that this replica knows of, but a write may yet come through.
    Unavailable(SmolStr),
    /// The request is refused for good.
    Refused(SmolStr),
    /// The group agreed to write nothing.
    Denied(Denial),
}

/// State of the group and of the entries, for operators.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Status {
    /// Replica that answers.
    pub node: NodeId,
    /// Leader, if one is known.
    pub leader: Option<NodeId>,
    /// Term of the group.
    pub term: Term,
    /// Last log position known to be committed.
    pub committed: LogIndex,
    /// Revision accepted last.
    pub revision: Revision,
    /// Revision that every entry has, or whose lease has ended.
    pub in_force: Revision,
    /// Replicas of the group.
    pub replicas: Vec<ReplicaStatus>,
    /// Entries by name.
    pub entries: Vec<EntryStatus>,
    /// State beside the file.
    pub live: Live,
    /// Claims kept.
    pub claims: u64,
    /// Pins kept.
    pub pins: u64,
    /// Billing entries kept.
    pub bills: u64,
}

/// State of a replica, as the leader sees it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ReplicaStatus {
    /// Number of the replica.
    pub node: NodeId,
    /// Whether it votes.
    pub voter: bool,
    /// Last log position that it has synced.
    pub synced: LogIndex,
    /// Time since it was last heard of.
    pub silent: Duration,
}

/// State of an entry, as the leader sees it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EntryStatus {
    /// Name of the entry.
    pub instance: InstanceId,
    /// Failure domain of the entry.
    pub domain: DomainId,
    /// Revision in force there.
    pub revision: Revision,
    /// Time since that revision came in force there.
    pub since: Duration,
    /// What is left of its lease; zero when it has ended.
    pub lease_left: Duration,
}
