//! Requests of entries and operators to the control group, and its replies.

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

/// Request to a control replica.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum ControlRequest {
    /// Renews the configuration lease of an entry and requests updates.
    Renew(Renew),
    /// Claims a request that must run at most once.
    Claim(ClaimRequest),
    /// Ends a claim and writes its billing entry.
    Complete(CompleteRequest),
    /// Returns the state of a claim.
    GetClaim(ClaimKey),
    /// Pins a session to a version.
    Pin(PinRequest),
    /// Reports a crash of a backend server.
    Crash(CrashReport),
    /// Reports evidence about versions.
    Evidence(Vec<Evidence>),
    /// Reports the backend servers of the entry's failure domain, which the
    /// leader needs for orders to engines.
    Servers(Vec<Announcement>),
    /// Applies a fleet file sent by an operator.
    Apply(Change),
    /// Returns the state of the group and of the entries.
    Status,
    /// Returns the fleet file in force.
    Current,
    /// Returns billing entries.
    Bills {
        /// First sequence number to return.
        from: BillSeq,
        /// Maximum number of billing entries to return.
        limit: u32,
    },
    /// Settles an open billing entry.
    Settle(SettleRequest),
    /// Replaces a replica that lost its disk.
    Replace(Replace),
    /// Clears crash suspects that completed on another backend server.
    Cleared(Vec<Digest>),
}

/// Renewal of the configuration lease of an entry.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Renew {
    /// Name and current incarnation of the entry.
    pub entry: Claimant,
    /// Failure domain of the entry.
    pub domain: DomainId,
    /// Revision in force on the entry.
    pub revision: Revision,
    /// Log index of the live state in force on the entry.
    pub live_at: LogIndex,
    /// Whether the entry is stopping and releases its lease.
    pub leaving: bool,
}

/// Reply to a renewal.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Renewed {
    /// Duration of the lease, measured from before the renewal was sent.
    pub lease: Duration,
    /// Update of the configuration, if there is one.
    pub update: Option<Update>,
}

/// Configuration update for an entry. It is applied as a whole and never
/// returns to an older state.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Update {
    /// Revision of the entry after the update.
    pub revision: Revision,
    /// Change of the fleet file, if the revision is new.
    pub fleet: Option<FleetChange>,
    /// Live state, if it changed.
    pub live: Option<LiveState>,
}

/// Change of the fleet file.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum FleetChange {
    /// The whole file.
    Whole(Box<Fleet>),
    /// The difference to a base revision.
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
    /// Rollouts that are new or changed.
    pub rollouts: Vec<Rollout>,
    /// Names of the removed parts.
    pub removed: Vec<RemovedPart>,
    /// Complete orders of those lists whose order does not result from changing
    /// and removing items in place and appending new ones.
    pub orders: Vec<ListOrder>,
}

/// Complete order of one list of a fleet file, by name.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ListOrder {
    /// Order of the pools.
    Pools(Vec<SmolStr>),
    /// Order of the models.
    Models(Vec<SmolStr>),
    /// Order of the classes.
    Classes(Vec<SmolStr>),
    /// Order of the organisations.
    Organisations(Vec<SmolStr>),
    /// Order of the rollouts.
    Rollouts(Vec<SmolStr>),
}

/// Name of a part that was removed from the fleet file.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RemovedPart {
    /// A pool.
    Pool(SmolStr),
    /// A model.
    Model(SmolStr),
    /// A class.
    Class(SmolStr),
    /// An organisation.
    Organisation(SmolStr),
    /// A rollout.
    Rollout(SmolStr),
}

/// Live state: replicated state outside of the fleet file that entries act on.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct LiveState {
    /// Log index of the last change of this state.
    pub at: LogIndex,
    /// Versions held fleet-wide because of evidence.
    pub held: Vec<VersionId>,
    /// State of each rollout.
    pub rollouts: Vec<RolloutView>,
    /// Fingerprints of quarantined requests, which crash backend servers.
    pub quarantine: Vec<Digest>,
}

/// View of a rollout for entries and operators.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RolloutView {
    /// Version that is rolled out.
    pub version: VersionId,
    /// State of the rollout.
    pub state: RolloutState,
    /// Share of eligible requests that the version may receive (0 to 1).
    pub share: f64,
    /// Fleet-wide numbers of answers rated good and bad at this step.
    pub rated: (u32, u32),
}

/// Replaces a replica that lost its disk by one with a new data directory.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Replace {
    /// Replica to remove.
    pub old: NodeId,
    /// New replica, which has a node number of its own.
    pub new: NodeId,
    /// Address at which the new replica listens.
    pub addr: ProcessAddr,
    /// Incarnation of the data directory of the new replica.
    pub incarnation: u128,
}

/// Node number and address of the leader.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaderHint {
    /// Node number of the leader.
    pub node: NodeId,
    /// Address at which the leader listens, if the log contains it. A replica
    /// that replaced a lost one is not listed in any settings yet but may
    /// become leader.
    pub addr: Option<ProcessAddr>,
}

/// Reply of a control replica.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum ControlReply {
    /// Reply to [`ControlRequest::Renew`].
    Renewed(Renewed),
    /// Reply to [`ControlRequest::Claim`].
    Claim(ClaimReply),
    /// Reply to [`ControlRequest::Complete`].
    Complete(CompleteReply),
    /// Reply to [`ControlRequest::GetClaim`].
    Claimed(Option<ClaimView>),
    /// Reply to [`ControlRequest::Pin`].
    Pin(PinView),
    /// Reply to [`ControlRequest::Apply`].
    Verdict(Verdict),
    /// Reply to [`ControlRequest::Status`].
    Status(Box<Status>),
    /// Reply to [`ControlRequest::Current`].
    Current {
        /// Revision in force.
        revision: Revision,
        /// Fleet file of the revision.
        fleet: Box<Fleet>,
    },
    /// Reply to [`ControlRequest::Bills`].
    Bills(Vec<Bill>),
    /// Reply to [`ControlRequest::Settle`].
    Settled(bool),
    /// The request succeeded and returns nothing.
    Done,
    /// This replica is not the leader. Contains the leader, if it is known.
    NotLeader(Option<LeaderHint>),
    /// There is no quorum, or the disk cannot be written. As far as this
    /// replica knows nothing was written, but a write may still be committed.
    Unavailable(SmolStr),
    /// The request is invalid and must not be retried.
    Refused(SmolStr),
    /// The command was applied and denied; nothing was written.
    Denied(Denial),
}

/// State of the group and of the entries, shown to operators.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Status {
    /// Replica that replies.
    pub node: NodeId,
    /// Leader, if one is known.
    pub leader: Option<NodeId>,
    /// Term of the group.
    pub term: Term,
    /// Last log index known to be committed.
    pub committed: LogIndex,
    /// Last accepted revision.
    pub revision: Revision,
    /// Highest revision that is in force on every entry, not counting entries
    /// whose lease has ended.
    pub in_force: Revision,
    /// Replicas of the group.
    pub replicas: Vec<ReplicaStatus>,
    /// Entries by name.
    pub entries: Vec<EntryStatus>,
    /// Live state.
    pub live: LiveState,
    /// Number of claims.
    pub claims: u64,
    /// Number of pins.
    pub pins: u64,
    /// Number of billing entries.
    pub bills: u64,
}

/// State of a replica as known to the leader.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ReplicaStatus {
    /// Node number of the replica.
    pub node: NodeId,
    /// Whether it votes.
    pub voter: bool,
    /// Last log index that the replica has synced to disk.
    pub synced: LogIndex,
    /// Time since the last message from the replica.
    pub silent: Duration,
}

/// State of an entry as known to the leader.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EntryStatus {
    /// Name of the entry.
    pub instance: InstanceId,
    /// Failure domain of the entry.
    pub domain: DomainId,
    /// Revision in force on the entry.
    pub revision: Revision,
    /// Time since that revision came into force on the entry.
    pub since: Duration,
    /// Remaining time of its lease; zero if the lease has ended.
    pub lease_left: Duration,
}
