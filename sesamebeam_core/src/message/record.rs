//! Write-once records: claims, completions, pins, crash reports.
//!
//! A record is written once, by a quorum. The first value wins, and every later
//! writer receives that value.

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

/// Key of a claim; unique within an organisation.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ClaimKey {
    /// Organisation of the caller.
    pub org: OrgId,
    /// The caller's `Idempotency-Key`.
    pub key: IdempotencyKey,
}

/// An instance and its incarnation.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Claimant {
    /// Name of the instance.
    pub instance: InstanceId,
    /// Incarnation of the instance.
    pub incarnation: Incarnation,
}

/// A backend server and its incarnation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ServerIncarnation {
    /// Address at which the backend server accepts requests.
    pub addr: ServerAddr,
    /// Incarnation of the backend server.
    pub incarnation: Incarnation,
}

/// Request of an entry to claim a request that must run at most once, made
/// before the request is sent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimRequest {
    /// Key of the claim.
    pub key: ClaimKey,
    /// Digest of the request body. Another body with the same key is a
    /// conflict.
    pub digest: Digest,
    /// Identifier by which the backend server will know the request.
    pub request: RequestId,
    /// Entry that will send the request.
    pub claimant: Claimant,
    /// Backend server that the request will be sent to.
    pub target: ServerIncarnation,
    /// Version that will run the request; `None` for a plain service.
    pub version: Option<VersionId>,
    /// Class of the request.
    pub class: ClassId,
    /// Dispatch window: time within which the claimant sends the request,
    /// measured from before the claim was requested.
    pub window: Duration,
    /// Generation that is replaced by compare-and-set; 0 for the first claim.
    pub replaces: Generation,
}

/// State of a claim.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum ClaimState {
    /// The request is claimed and may have been sent or be running.
    Open,
    /// The complete answer is known.
    Completed(Completed),
    /// The request was proven not to have run; the key may be claimed again.
    Abandoned,
    /// It cannot be determined any more whether the request ran.
    Unknown,
}

/// Kept data of a complete answer.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Completed {
    /// HTTP status of the answer.
    pub status: u16,
    /// Content type of the answer.
    pub content_type: SmolStr,
    /// Digest of the complete body.
    pub digest: Digest,
    /// Length of the complete body in bytes.
    pub length: u64,
    /// Body, unless it exceeds the size limit.
    pub body: Option<Vec<u8>>,
}

/// A claim as kept by the control group.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ClaimView {
    /// Generation of the claim; increases with each claim on the key.
    pub generation: Generation,
    /// Digest of the request body.
    pub digest: Digest,
    /// Identifier by which the backend server knows the request.
    pub request: RequestId,
    /// Entry that claimed the request.
    pub claimant: Claimant,
    /// Backend server that the request was claimed for.
    pub target: ServerIncarnation,
    /// Version that runs the request; `None` for a plain service.
    pub version: Option<VersionId>,
    /// State of the claim.
    pub state: ClaimState,
    /// Whether the dispatch window and the following network bound are over by
    /// the leader's clock. It may be set late but never early.
    pub window_over: bool,
    /// Whether the lease of the claimant has ended by the leader's clock. It
    /// may be set late but never early.
    pub claimant_gone: bool,
}

/// Reply to a [`ClaimRequest`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[expect(clippy::large_enum_variant, reason = "a reply lives for one message")]
pub enum ClaimReply {
    /// The claim was granted with this generation.
    Granted(Generation),
    /// Another request holds or has ended the claim.
    Existing(ClaimView),
    /// The key was already used with another body.
    Conflict,
}

/// Billed usage.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Usage {
    /// Number of prompt tokens.
    pub prompt_tokens: u32,
    /// Number of generated tokens.
    pub completion_tokens: u32,
}

/// Request to end a claim.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct CompleteRequest {
    /// Key of the claim.
    pub key: ClaimKey,
    /// Generation of the claim.
    pub generation: Generation,
    /// Identifier of the request.
    pub request: RequestId,
    /// How the claim ends.
    pub end: ClaimEnd,
    /// Usage, billed in the same log entry.
    pub usage: Usage,
    /// Wall-clock time of the end; informational.
    pub at: UnixMillis,
}

/// How a claim ends.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum ClaimEnd {
    /// The complete answer was received.
    Completed(Completed),
    /// The claimant proved that it did not send the request, or that the
    /// backend server refused it without running it.
    Abandoned,
    /// It cannot be determined any more whether the request ran.
    Unknown,
}

/// Reply to a [`CompleteRequest`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum CompleteReply {
    /// The end is recorded, by this request or by an earlier one.
    Recorded,
    /// The claim has already ended in another way, has another generation or is
    /// not kept.
    Superseded,
}

/// State of a billing entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum BillState {
    /// The request ran; its usage is charged.
    Charged,
    /// It is not known yet whether the request ran.
    Open,
    /// The request of an open entry was found not to have run.
    Void,
}

/// A billing entry. Each claim has at most one.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Bill {
    /// Sequence number in the export; a settled entry gets a new number.
    pub seq: BillSeq,
    /// Key of the billed claim.
    pub key: ClaimKey,
    /// Identifier of the request.
    pub request: RequestId,
    /// Class of the request.
    pub class: ClassId,
    /// Version that ran the request; `None` for a plain service.
    pub version: Option<VersionId>,
    /// Billed usage.
    pub usage: Usage,
    /// State of the billing entry.
    pub state: BillState,
    /// Wall-clock time of the end of the request.
    pub at: UnixMillis,
}

/// Request to settle an open billing entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SettleRequest {
    /// Key of the claim.
    pub key: ClaimKey,
    /// Whether the request ran.
    pub ran: bool,
    /// Usage, if the request ran.
    pub usage: Usage,
}

/// Key of a session pin.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct PinKey {
    /// Organisation of the caller.
    pub org: OrgId,
    /// Session name chosen by the caller.
    pub session: SessionId,
    /// Model whose version is pinned.
    pub model: ModelId,
}

/// Request for the pinned version of a session, with a proposal.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PinRequest {
    /// Key of the pin.
    pub key: PinKey,
    /// Proposed version.
    pub version: VersionId,
    /// Generation of the pin that the proposal replaces because its version was
    /// withdrawn; 0 for the first pin.
    pub replaces: Generation,
}

/// Pinned version of a session.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PinView {
    /// Generation of the pin; increases with each pin on the key.
    pub generation: Generation,
    /// Version that the session uses.
    pub version: VersionId,
}

/// Report that a backend server crashed while it was running requests.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashReport {
    /// Backend server that crashed.
    pub server: ServerIncarnation,
    /// Fingerprints of the requests that the backend server was running.
    pub suspects: Vec<Digest>,
}
