//! Write-once records: claims, completions, pins, crash reports.
//!
//! A record is written once, by quorum. The first value wins and every later
//! writer is told that value.

use std::time::Duration;

use serde::{
    Deserialize,
    Serialize, //
};
use smol_str::SmolStr;

use crate::ids::{
    BillSeq,
    ClassId,
    Digest,
    Generation,
    IdempotencyKey,
    Incarnation,
    InstanceId,
    ModelId,
    OrgId,
    RequestId,
    ServerAddr,
    SessionId,
    UnixMillis,
    VersionId, //
};

/// What a claim is written under: a key is unique within its organisation.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ClaimKey {
    /// Organisation of the caller.
    pub org: OrgId,
    /// The caller's `Idempotency-Key`.
    pub key: IdempotencyKey,
}

/// An instance in one of its lives.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Claimant {
    /// Name of the instance.
    pub instance: InstanceId,
    /// Life of the instance.
    pub incarnation: Incarnation,
}

/// A backend server in one of its lives.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ServerLife {
    /// Address at which it takes requests.
    pub addr: ServerAddr,
    /// Life of the backend server.
    pub incarnation: Incarnation,
}

/// What an entry asks for before it sends a request that must run at most once.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimRequest {
    /// What the claim is written under.
    pub key: ClaimKey,
    /// Digest of the request's body; another body under the key is a conflict.
    pub digest: Digest,
    /// Number under which the backend server will know the request.
    pub request: RequestId,
    /// Entry that will send it.
    pub claimant: Claimant,
    /// Backend server that it will be sent to.
    pub target: ServerLife,
    /// Version that will run it; none for a plain service.
    pub version: Option<VersionId>,
    /// Class of the request.
    pub class: ClassId,
    /// Time, from before the claim was asked for, within which the claimant sends.
    pub window: Duration,
    /// Generation that this claim replaces by compare-and-set; 0 for a first claim.
    pub replaces: Generation,
}

/// How far a claim has come.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum ClaimState {
    /// Claimed; the request may be sent or running.
    Open,
    /// The whole answer is known.
    Completed(Completed),
    /// The claimant proved that it sent nothing; the key may be claimed anew.
    Abandoned,
    /// Nobody can tell any more whether it ran.
    Unknown,
}

/// What is kept of a whole answer.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Completed {
    /// HTTP status of the answer.
    pub status: u16,
    /// Content type of the answer.
    pub content_type: SmolStr,
    /// Digest of the whole body.
    pub digest: Digest,
    /// Length of the whole body in bytes.
    pub length: u64,
    /// The body, unless it is larger than the cap.
    pub body: Option<Vec<u8>>,
}

/// A claim as the control group keeps it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ClaimView {
    /// Number of the claim on its key.
    pub generation: Generation,
    /// Digest of the request's body.
    pub digest: Digest,
    /// Number under which the backend server knows the request.
    pub request: RequestId,
    /// Entry that claimed it.
    pub claimant: Claimant,
    /// Backend server that it was claimed for.
    pub target: ServerLife,
    /// Version that runs it; none for a plain service.
    pub version: Option<VersionId>,
    /// How far it has come.
    pub state: ClaimState,
    /// Whether the dispatch window and the network bound after it are over,
    /// by the leader's clock. Never true too early.
    pub window_over: bool,
    /// Whether the claimant's lease is over, by the leader's clock. Never true
    /// too early.
    pub claimant_gone: bool,
}

/// Answer to a [`ClaimRequest`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[expect(clippy::large_enum_variant, reason = "a reply lives for one message")]
pub enum ClaimReply {
    /// The claim is the asker's, with its generation.
    Granted(Generation),
    /// Somebody was first.
    Existing(ClaimView),
    /// The key was used with another body.
    Conflict,
}

/// Usage that is billed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Usage {
    /// Tokens of the prompt.
    pub prompt_tokens: u32,
    /// Tokens generated.
    pub completion_tokens: u32,
}

/// The end of a claim.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct CompleteRequest {
    /// What the claim was written under.
    pub key: ClaimKey,
    /// Claim that ends.
    pub generation: Generation,
    /// Number of the request.
    pub request: RequestId,
    /// How it ends.
    pub end: ClaimEnd,
    /// Usage that is billed in the same log record.
    pub usage: Usage,
    /// Wall-clock time of the end, for people.
    pub at: UnixMillis,
}

/// How a claim ends.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum ClaimEnd {
    /// The whole answer arrived.
    Completed(Completed),
    /// The claimant proved that it sent nothing, or that the backend server
    /// refused without running it.
    Abandoned,
    /// Nobody can tell any more whether it ran.
    Unknown,
}

/// Answer to a [`CompleteRequest`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum CompleteReply {
    /// Recorded, also when it had been recorded before.
    Recorded,
    /// The claim had already ended in another way, or is of a later generation.
    Superseded,
}

/// What one billing entry charges.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum BillState {
    /// The answer was whole.
    Charged,
    /// Nobody can tell yet whether it ran.
    Open,
    /// An open entry that was found not to have run.
    Void,
}

/// One billing entry. Each claim has at most one.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Bill {
    /// Position in the export; a settled entry gets a new position.
    pub seq: BillSeq,
    /// Organisation and key that is billed.
    pub key: ClaimKey,
    /// Number of the request.
    pub request: RequestId,
    /// Class of the request.
    pub class: ClassId,
    /// Version that ran it; none for a plain service.
    pub version: Option<VersionId>,
    /// Usage that is billed.
    pub usage: Usage,
    /// What it charges.
    pub state: BillState,
    /// Wall-clock time of the end of the request.
    pub at: UnixMillis,
}

/// How an open billing entry is settled.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SettleRequest {
    /// What the claim was written under.
    pub key: ClaimKey,
    /// Whether the request ran.
    pub ran: bool,
    /// Usage if it ran.
    pub usage: Usage,
}

/// What a session pin is written under.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct PinKey {
    /// Organisation of the caller.
    pub org: OrgId,
    /// The caller's session name.
    pub session: SessionId,
    /// Model whose version is pinned.
    pub model: ModelId,
}

/// Asks for the version of a session, proposing one.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PinRequest {
    /// What the pin is written under.
    pub key: PinKey,
    /// Version proposed.
    pub version: VersionId,
    /// Generation that the proposal replaces because its version is withdrawn;
    /// 0 for a first pin.
    pub replaces: Generation,
}

/// The version of a session.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PinView {
    /// Number of the pin on its key.
    pub generation: Generation,
    /// Version that the session keeps.
    pub version: VersionId,
}

/// Tells that a backend server died while it ran requests.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashReport {
    /// Backend server that died.
    pub server: ServerLife,
    /// Fingerprints of the requests that it ran, with their suspicion.
    pub suspects: Vec<Digest>,
}
