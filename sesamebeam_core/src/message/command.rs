//! Commands of the replicated log, and what applying them gives.

use std::time::Duration;

use serde::{
    Deserialize,
    Serialize, //
};
use smol_str::SmolStr;

use super::record::{
    ClaimReply,
    ClaimRequest,
    CompleteReply,
    CompleteRequest,
    CrashReport,
    PinRequest,
    PinView,
    SettleRequest, //
};
use crate::{
    fleet::Fleet,
    ids::{
        Digest,
        Fencing,
        InstanceId,
        Revision,
        ServerAddr,
        UnixMillis,
        VersionId, //
    },
};

/// One entry of the replicated log.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Command {
    /// Moves the log's own clock, by which records expire.
    Clock {
        /// Time since the group was made, never going back.
        at: Duration,
    },
    /// An operator's file.
    Apply(Change),
    /// A claim on a request that must run at most once.
    Claim(ClaimRequest),
    /// The end of a claim with its billing entry.
    Complete(CompleteRequest),
    /// The settling of an open billing entry.
    Settle(SettleRequest),
    /// The version of a session.
    Pin(PinRequest),
    /// A crash of a backend server.
    Crash(CrashReport),
    /// Evidence about a version from one entry.
    Evidence(Evidence),
    /// A decision of the leader on a roll-out.
    Rollout(RolloutStep),
    /// An order to an engine, written before it is sent.
    Order(Order),
}

/// An operator's change: a whole file and the revision it was made from.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Change {
    /// Revision that the file was made from.
    pub base: Revision,
    /// Digest of the file's text; with `base` the id of the change.
    pub digest: Digest,
    /// The file.
    pub fleet: Box<Fleet>,
    /// Who sent it, for people.
    pub operator: SmolStr,
    /// Wall-clock time, for people.
    pub at: UnixMillis,
}

/// The verdict on a change. Kept, so that a resend gets the first one again.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Verdict {
    /// Accepted as this revision.
    Accepted(Revision),
    /// Another change was made from the same base and came first.
    Conflict(Conflict),
    /// The file has faults.
    Faulty(Vec<SmolStr>),
}

/// Why a change lost.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Conflict {
    /// Revision in force.
    pub current: Revision,
    /// Who sent the change that won.
    pub winner: SmolStr,
    /// Names of the parts in which the two files differ.
    pub differences: Vec<SmolStr>,
}

/// What one entry has seen of one version since its last report.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Evidence {
    /// Entry that saw it.
    pub from: InstanceId,
    /// Version it is about.
    pub version: VersionId,
    /// Answers rated good.
    pub good: u32,
    /// Answers rated bad.
    pub bad: u32,
    /// Requests that failed by the version's fault.
    pub errors: u32,
    /// Whether the entry's own test holds the version.
    pub hold: bool,
}

/// Where a roll-out stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RolloutState {
    /// Waiting until enough backend servers have loaded the version.
    Loading,
    /// At this step, counted from 0.
    At(u32),
    /// Held by evidence: no new sessions or requests.
    Held,
    /// All steps done.
    Done,
}

/// A decision of the leader on a roll-out.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RolloutStep {
    /// Version that is rolled out.
    pub version: VersionId,
    /// State from which it moves; a decision from another state has no effect.
    pub from: RolloutState,
    /// State to which it moves.
    pub to: RolloutState,
}

/// What an engine should have or be: a desired state, never a step.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Desired {
    /// Have this version loaded.
    Loaded(VersionId),
    /// Have this version unloaded.
    Unloaded(VersionId),
    /// Take this role, such as `prefill` or `decode`.
    Role(SmolStr),
}

/// An order to one engine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// Engine that is ordered.
    pub server: ServerAddr,
    /// What it should have or be.
    pub desired: Desired,
    /// Fencing number, set when the order is applied to the log.
    pub fencing: Fencing,
}

/// What applying a command gives.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Outcome {
    /// Nothing to say.
    Done,
    /// Verdict on a change.
    Verdict(Verdict),
    /// Answer to a claim.
    Claim(ClaimReply),
    /// Answer to a completion.
    Complete(CompleteReply),
    /// Whether an open billing entry was settled.
    Settled(bool),
    /// The version of a session.
    Pin(PinView),
    /// Fingerprints that are now quarantined.
    Quarantined(Vec<Digest>),
    /// Order with its fencing number.
    Ordered(Order),
}
