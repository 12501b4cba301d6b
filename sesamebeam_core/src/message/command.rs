//! Commands of the replicated log, and what applying them gives.

use std::time::Duration;

use serde::{
    Deserialize,
    Serialize, //
};
use smol_str::SmolStr;
use thiserror::Error;

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
        LogIndex,
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
    /// A claim that replaces an open one whose claimant is gone.
    Retake(Retake),
    /// Suspects that ran to their end on another backend server.
    Cleared(Vec<Digest>),
    /// A revision that the leader found to be in force at every entry.
    InForce(Revision),
    /// How long records are kept, as the leader's settings say.
    Retention(Retention),
}

/// A claim that replaces an open one.
///
/// Only the leader can tell by its clock that the dispatch window of the open
/// claim is over and that its claimant is gone. It states for which opening of
/// the claim it found that out, so that an opening which comes between the
/// finding and this command makes the command void.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Retake {
    /// The new claim.
    pub claim: ClaimRequest,
    /// Log position at which the claim that it replaces was last opened.
    pub opened: LogIndex,
}

/// How long records are kept and how many, the same on every replica.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Retention {
    /// Time that a claim is kept after it ended, and after which an open claim
    /// counts as unknown.
    pub claims: Duration,
    /// Time that a pin is kept after its last use.
    pub pins: Duration,
    /// Time that a charged or void billing entry is kept; an open one is kept
    /// until it is settled.
    pub bills: Duration,
    /// Time that a verdict is kept.
    pub verdicts: Duration,
    /// Time that a crash counts against the requests that it took down.
    pub crashes: Duration,
    /// Time that a fingerprint stays quarantined.
    pub quarantine: Duration,
    /// Most claims kept; a further one takes the place of the oldest that ended
    /// an hour ago or longer, and is denied if there is none.
    pub max_claims: u32,
    /// Most pins kept; a further one is denied.
    pub max_pins: u32,
    /// Most billing entries kept; a further claim is denied.
    pub max_bills: u32,
    /// Most verdicts kept; the oldest goes first.
    pub max_verdicts: u32,
    /// Largest answer body kept, in bytes.
    pub body_cap: u32,
    /// Bytes of answer bodies kept together; the oldest goes first.
    pub bodies_cap: u64,
}

impl Default for Retention {
    fn default() -> Self {
        Self {
            claims: Duration::from_hours(24),
            pins: Duration::from_hours(24),
            bills: Duration::from_hours(24 * 7),
            verdicts: Duration::from_hours(24),
            crashes: Duration::from_hours(1),
            quarantine: Duration::from_hours(24),
            max_claims: 20_000,
            max_pins: 20_000,
            max_bills: 200_000,
            max_verdicts: 12_000,
            body_cap: 16 << 10,
            bodies_cap: 4 << 20,
        }
    }
}

/// Why a command wrote nothing.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, Error)]
pub enum Denial {
    /// As many claims or billing entries are kept as the settings allow.
    #[error("as many claims or bills are kept as the settings allow")]
    ClaimsFull,
    /// As many pins are kept as the settings allow.
    #[error("as many pins are kept as the settings allow")]
    PinsFull,
    /// The claim to be replaced is no longer kept.
    #[error("the claim to be replaced is no longer kept")]
    ClaimExpired,
    /// The dispatch window is longer than the group allows.
    #[error("the dispatch window is longer than the group allows")]
    WindowTooLong,
    /// The organisation does not exist or may not use the version.
    #[error("the organisation may not use the version")]
    NotAllowed,
    /// The version takes no new work.
    #[error("the version is withdrawn")]
    Withdrawn,
    /// The pin is of another model than the version proposed.
    #[error("the version is of another model")]
    OtherModel,
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
    /// Nothing was written.
    Denied(Denial),
}
