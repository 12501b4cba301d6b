//! Commands of the replicated log and their outcomes.

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

/// Entry of the replicated log.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Command {
    /// Advances the log clock, which determines when records expire.
    Clock {
        /// Time since the group was created; an earlier time than before has no
        /// effect.
        at: Duration,
    },
    /// Applies a fleet file sent by an operator.
    Apply(Change),
    /// Claims a request that must run at most once.
    Claim(ClaimRequest),
    /// Ends a claim and writes its billing entry.
    Complete(CompleteRequest),
    /// Settles an open billing entry.
    Settle(SettleRequest),
    /// Pins a session to a version.
    Pin(PinRequest),
    /// Reports a crash of a backend server.
    Crash(CrashReport),
    /// Adds evidence of one entry about a version.
    Evidence(Evidence),
    /// Moves a rollout to another state, as decided by the leader.
    Rollout(RolloutStep),
    /// Records an order to an engine before it is sent.
    Order(Order),
    /// Replaces an open claim whose claimant is gone.
    Retake(Retake),
    /// Clears crash suspects that completed on another backend server.
    Cleared(Vec<Digest>),
    /// Records a revision that the leader found to be in force on every entry.
    InForce(Revision),
    /// Sets the retention limits to those of the leader's settings.
    Retention(Retention),
}

/// Request to replace an open claim.
///
/// Only the leader can determine, by its own clock, that the dispatch window of
/// the open claim is over and that the claimant is gone. The command states
/// which grant the leader evaluated, so that it has no effect if the claim is
/// granted again before the command is applied.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Retake {
    /// New claim.
    pub claim: ClaimRequest,
    /// Log index of the last grant of the claim that is replaced.
    pub granted_at: LogIndex,
}

/// Limits on the age and number of records, identical on every replica.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Retention {
    /// Time for which an ended claim is kept, and after which an open claim
    /// becomes unknown.
    pub claims: Duration,
    /// Time for which a pin is kept after its last use.
    pub pins: Duration,
    /// Time for which a charged or void billing entry is kept. An open one is
    /// kept until it is settled.
    pub bills: Duration,
    /// Time for which a verdict is kept.
    pub verdicts: Duration,
    /// Time for which a crash counts against its suspects.
    pub crashes: Duration,
    /// Time for which a fingerprint stays quarantined.
    pub quarantine: Duration,
    /// Maximum number of claims. A further claim replaces the oldest one that
    /// ended at least an hour ago, and is denied if there is none.
    pub max_claims: u32,
    /// Maximum number of pins; further ones are denied.
    pub max_pins: u32,
    /// Maximum number of billing entries; further claims are denied.
    pub max_bills: u32,
    /// Maximum number of verdicts; the oldest is removed first.
    pub max_verdicts: u32,
    /// Maximum size of a kept answer body in bytes.
    pub body_cap: u32,
    /// Maximum total size of the kept answer bodies in bytes; the oldest is
    /// removed first.
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

/// Reason why a command was denied.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, Error)]
pub enum Denial {
    /// The maximum number of claims or billing entries is reached.
    #[error("as many claims or bills are kept as the settings allow")]
    ClaimsFull,
    /// The maximum number of pins is reached.
    #[error("as many pins are kept as the settings allow")]
    PinsFull,
    /// The claim to replace is no longer kept.
    #[error("the claim to be replaced is no longer kept")]
    ClaimExpired,
    /// The dispatch window exceeds the maximum.
    #[error("the dispatch window is longer than the group allows")]
    WindowTooLong,
    /// The organisation does not exist or is not allowed to use the version.
    #[error("the organisation may not use the version")]
    NotAllowed,
    /// The version is withdrawn and accepts no new work.
    #[error("the version is withdrawn")]
    Withdrawn,
    /// The proposed version belongs to another model than the pin.
    #[error("the version is of another model")]
    OtherModel,
}

/// Change by an operator: a whole fleet file and the revision it is based on.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Change {
    /// Revision that the file is based on.
    pub base: Revision,
    /// Digest of the text of the file. Together with `base` it identifies the
    /// change.
    pub digest: Digest,
    /// New fleet file.
    pub fleet: Box<Fleet>,
    /// Operator who sent the change; informational.
    pub operator: SmolStr,
    /// Wall-clock time; informational.
    pub at: UnixMillis,
}

/// Verdict on a change. It is kept so that a resent change gets the same
/// verdict.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Verdict {
    /// The change was accepted as this revision.
    Accepted(Revision),
    /// Another change from the same base was accepted first.
    Conflict(Conflict),
    /// The file is invalid.
    Faulty(Vec<SmolStr>),
}

/// Details of a conflict between two changes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Conflict {
    /// Current revision.
    pub current: Revision,
    /// Operator who sent the accepted change.
    pub winner: SmolStr,
    /// Parts in which the two files differ.
    pub differences: Vec<SmolStr>,
}

/// Evidence of one entry about one version since its last report.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Evidence {
    /// Entry that reports the evidence.
    pub from: InstanceId,
    /// Version that the evidence is about.
    pub version: VersionId,
    /// Number of answers rated good.
    pub good: u32,
    /// Number of answers rated bad.
    pub bad: u32,
    /// Number of requests that failed because of the version.
    pub errors: u32,
    /// Whether the entry's own test decided to hold the version.
    pub hold: bool,
}

/// State of a rollout.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RolloutState {
    /// Waiting for enough backend servers to load the version.
    Loading,
    /// At a step, counted from 0.
    At(u32),
    /// Held because of evidence; the version gets no new sessions or requests.
    Held,
    /// All steps are complete.
    Done,
}

/// Transition of a rollout that the leader decided on.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RolloutStep {
    /// Version that is rolled out.
    pub version: VersionId,
    /// Current state; the step has no effect if the rollout is in another
    /// state.
    pub from: RolloutState,
    /// Next state.
    pub to: RolloutState,
}

/// Desired state of an engine. It is always a state and never an action.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Desired {
    /// The version is loaded.
    Loaded(VersionId),
    /// The version is not loaded.
    Unloaded(VersionId),
    /// The engine has this role, such as `prefill` or `decode`.
    Role(SmolStr),
}

/// Order to an engine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// Engine that receives the order.
    pub server: ServerAddr,
    /// Desired state of the engine.
    pub desired: Desired,
    /// Fencing token, assigned when the order is applied.
    pub fencing: Fencing,
}

/// Outcome of applying a command.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Outcome {
    /// The command was applied and returns nothing.
    Done,
    /// Verdict on a change.
    Verdict(Verdict),
    /// Reply to a claim.
    Claim(ClaimReply),
    /// Reply to a completion.
    Complete(CompleteReply),
    /// Whether the billing entry was settled.
    Settled(bool),
    /// Pinned version of a session.
    Pin(PinView),
    /// All quarantined fingerprints.
    Quarantined(Vec<Digest>),
    /// Order with its fencing token.
    Ordered(Order),
    /// The command was denied.
    Denied(Denial),
}
