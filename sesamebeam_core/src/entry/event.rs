//! Events handled by an entry and the actions it requests.

use std::time::Duration;

use serde::{
    Deserialize,
    Serialize, //
};
use smol_str::SmolStr;

use super::refusal::Refusal;
use crate::{
    fleet::Priority,
    ids::{
        ClassId,
        Digest,
        Generation,
        IdempotencyKey,
        InstanceId,
        ModelId,
        MonoTime,
        OrgId,
        PoolId,
        RequestId,
        ServerAddr,
        SessionId,
        UnixMillis,
        VersionId, //
    },
    message::{
        control::{
            ControlReply,
            ControlRequest, //
        },
        peer::PeerMessage,
        record::{
            Completed,
            ServerIncarnation,
            Usage, //
        },
        server::{
            Announcement,
            Rating, //
        },
    },
};

/// Number of an attempt at one request, from 1.
pub type Attempt = u32;

/// Number of a request to the control group.
pub type ControlRequestId = u64;

/// Input of an entry.
#[derive(Clone, Debug, PartialEq)]
pub enum EntryEvent {
    /// Time has passed.
    Tick,
    /// A request was received completely and its API key is valid.
    Arrived(Box<Arrival>),
    /// The caller hung up.
    CallerGone {
        /// Request of the caller.
        request: RequestId,
    },
    /// An attempt made progress or ended.
    Attempt {
        /// Request.
        request: RequestId,
        /// Attempt at the request.
        attempt: Attempt,
        /// What happened.
        report: AttemptReport,
    },
    /// A backend server answered a cancel, or could not be reached.
    Cancelled {
        /// Request on whose behalf the cancel was sent.
        request: RequestId,
        /// What the backend server knows of the cancelled id.
        known: ServerKnows,
    },
    /// The control group replied to a request, or it timed out.
    ControlReplied {
        /// Number of the request.
        ask: ControlRequestId,
        /// The reply; `None` if no leader could be reached in time.
        reply: Option<ControlReply>,
    },
    /// A backend server announced itself to this entry.
    Announced(Box<Announcement>),
    /// A message arrived from another entry.
    Peer {
        /// Sender.
        from: InstanceId,
        /// The message.
        message: PeerMessage,
    },
    /// The rating service rated a sampled response.
    Rated(Rating),
    /// The rating service rated a held response, or timed out.
    HeldRated {
        /// Request whose response is held.
        request: RequestId,
        /// Quality from 0 to 1; `None` if the service did not reply in time.
        score: Option<f64>,
    },
    /// A planned stop was requested.
    Stop,
}

/// Model, version or service requested by a caller.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Wanted {
    /// The system chooses.
    Auto,
    /// Any allowed version of this model.
    Model(ModelId),
    /// Exactly this version.
    Version(VersionId),
    /// A plain service, by its pool.
    Service(PoolId),
}

/// How a request identifies its session.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum SessionRef {
    /// By a name chosen by the caller.
    Name(SessionId),
    /// By a token signed by the system.
    Token(SessionToken),
    /// A new session under this unique, system-generated name.
    New(SessionId),
}

/// Content of a signed session token.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SessionToken {
    /// Organisation to which it was issued.
    pub org: OrgId,
    /// Name of the session.
    pub session: SessionId,
    /// Version to which the session is pinned.
    pub version: VersionId,
    /// Generation of the pin; 0 if the token is its only record.
    pub generation: Generation,
}

/// A caller's request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Arrival {
    /// Id of the request.
    pub request: RequestId,
    /// Organisation of the caller.
    pub org: OrgId,
    /// Class of the request; `None` for the first suitable class of the fleet
    /// file.
    pub class: Option<ClassId>,
    /// Requested model, version or service.
    pub wanted: Wanted,
    /// Session, if any.
    pub session: Option<SessionRef>,
    /// Value of the `Idempotency-Key` header.
    pub key: Option<IdempotencyKey>,
    /// Digest of the body; for a plain service, also of method and path.
    pub digest: Digest,
    /// Whether the HTTP method of a service call is safe to repeat.
    pub safe_method: bool,
    /// Whether the response is streamed to the caller.
    pub streamed: bool,
    /// Hash of the prompt's prefix.
    pub prefix: u64,
    /// Estimated number of prompt tokens.
    pub prompt_tokens: u32,
    /// Maximum number of tokens to generate.
    pub max_tokens: u32,
}

/// Progress or end of an attempt.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum AttemptReport {
    /// The first event of the response arrived.
    Started,
    /// No connection could be made, so nothing was sent.
    ConnectFailed {
        /// Whether the connection was refused because no process listens.
        refused: bool,
    },
    /// The dispatch window had ended, so nothing was sent.
    Late,
    /// The backend server refused the request without running it.
    Refused(ServerRefusal),
    /// The connection broke after the request was sent.
    Broken {
        /// Events that had arrived whole.
        events: u64,
    },
    /// No bytes arrived within the progress timeout.
    Stalled {
        /// Events that had arrived whole.
        events: u64,
    },
    /// The backend server does not have the stream to resume.
    NotThere(ServerKnows),
    /// The complete response arrived.
    Finished(Finished),
}

/// Reason for which a backend server refused a request without running it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ServerRefusal {
    /// Its queue is full.
    Busy {
        /// Time for which it asks to receive no requests.
        retry_after: Option<Duration>,
    },
    /// The version is not loaded.
    NotLoaded,
    /// The id was cancelled before.
    Cancelled,
    /// The request is invalid and would be refused by any backend server.
    Invalid,
}

/// What a backend server knows of a request id.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ServerKnows {
    /// It never received the id, and will not run it after a cancel.
    Never {
        /// Incarnation that gave this reply.
        incarnation: ServerIncarnation,
    },
    /// It received the id, but no longer has the response.
    Gone,
    /// It has the id, running or finished.
    Has,
    /// It could not be reached.
    Unreachable,
}

/// A complete response.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Finished {
    /// Record of the response; it has a body only if the attempt requested it.
    pub answer: Completed,
    /// Usage reported by the backend server.
    pub usage: Usage,
    /// Time from dispatch to the first event.
    pub first: Duration,
    /// Time for which an overloaded plain service asks to receive no requests.
    pub retry_after: Option<Duration>,
    /// Wall-clock time, for human-readable records.
    pub at: UnixMillis,
}

/// Output of an entry, executed by the runtime.
#[derive(Clone, Debug, PartialEq)]
pub enum EntryAction {
    /// Send a request to a backend server.
    Dispatch(Dispatch),
    /// Stop reading an attempt.
    Drop {
        /// Request.
        request: RequestId,
        /// Attempt to drop.
        attempt: Attempt,
        /// Whether to cancel it at the backend server too.
        cancel: bool,
    },
    /// Cancel a request id at a backend server and report what it knows.
    Cancel {
        /// Request on whose behalf the cancel is sent.
        request: RequestId,
        /// Id at the backend server.
        id: RequestId,
        /// Backend server.
        server: ServerAddr,
    },
    /// Close all existing connections to a backend server.
    CloseConnections {
        /// Backend server.
        server: ServerAddr,
    },
    /// Send a request to the control group.
    SendToControl {
        /// Number of the request.
        ask: ControlRequestId,
        /// The request.
        req: Box<ControlRequest>,
        /// Time after which the reply is no longer needed.
        timeout: Duration,
    },
    /// Send a message to other entries.
    SendToEntries {
        /// Recipients.
        to: Recipients,
        /// The message.
        message: PeerMessage,
    },
    /// End a request with a recorded response.
    Replay {
        /// Request.
        request: RequestId,
        /// The response, with its body.
        answer: Completed,
        /// Header values.
        headers: ResponseHeaders,
    },
    /// End a request with a refusal.
    Refuse {
        /// Request.
        request: RequestId,
        /// The refusal.
        refusal: Refusal,
    },
    /// Send a held response to the caller.
    Release {
        /// Request.
        request: RequestId,
    },
    /// End the caller's stream after a complete response.
    Finish {
        /// Request.
        request: RequestId,
    },
    /// Request an immediate rating of a held response.
    RateNow {
        /// Request.
        request: RequestId,
        /// Class of the request.
        class: ClassId,
        /// Version that answered.
        version: VersionId,
        /// Time after which the score is no longer needed.
        timeout: Duration,
    },
    /// Send a response to the rating service for an asynchronous rating.
    Sample {
        /// Request.
        request: RequestId,
        /// Class of the request.
        class: ClassId,
        /// Version that answered.
        version: VersionId,
    },
    /// All requests have ended after a planned stop; the process may exit.
    Drained,
    /// Log or count something.
    Notice(Notice),
}

/// Recipients of a message to other entries.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Recipients {
    /// All entries of the same failure domain.
    Domain,
    /// All entries.
    All,
    /// One entry.
    One(InstanceId),
}

/// Values of response headers.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ResponseHeaders {
    /// Version that answered.
    pub version: Option<VersionId>,
    /// Session token to sign and return.
    pub session: Option<SessionToken>,
    /// Whether the session changed its version because the pinned one was
    /// withdrawn.
    pub pin_renewed: bool,
}

/// One attempt at a request.
#[derive(Clone, Debug, PartialEq)]
pub struct Dispatch {
    /// Request.
    pub request: RequestId,
    /// Number of the attempt.
    pub attempt: Attempt,
    /// Id under which the backend server knows the request.
    pub id: RequestId,
    /// Backend server.
    pub server: ServerIncarnation,
    /// Version to run; `None` for a plain service.
    pub version: Option<VersionId>,
    /// Priority of the request.
    pub priority: Priority,
    /// Hash of the prompt's prefix.
    pub prefix: u64,
    /// What to send.
    pub kind: DispatchKind,
    /// Whether the response is held back until it is released.
    pub hold: bool,
    /// Whether the body is kept, up to the size limit.
    pub keep: bool,
    /// Maximum time without receiving any byte.
    pub progress: Duration,
    /// Time after which it must not be sent. The runtime checks the clock after
    /// its last wait; otherwise a process suspended in between could send under
    /// a claim that was taken over meanwhile.
    pub send_by: MonoTime,
    /// Header values.
    pub headers: ResponseHeaders,
}

/// What an attempt sends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DispatchKind {
    /// The request itself.
    Run,
    /// The request itself, in parallel to a running attempt.
    Hedge,
    /// A resume after this many events, on a new connection.
    Resume {
        /// Events that the caller already has.
        events: u64,
    },
    /// A look-up of the response to an earlier call of a plain service.
    LookUp,
}

/// Occurrence to log or count.
#[derive(Clone, Debug, PartialEq)]
pub enum Notice {
    /// A request ended.
    Ended(Ended),
    /// A configuration came into force.
    InForce {
        /// Revision.
        revision: u64,
    },
    /// The configuration lease expired.
    LeaseLost,
    /// The configuration lease is held again.
    LeaseHeld,
    /// This entry holds a version because of its own evidence.
    Held {
        /// Version.
        version: VersionId,
    },
    /// A backend server became available.
    ServerUp {
        /// Backend server.
        server: ServerIncarnation,
        /// Pool.
        pool: PoolId,
    },
    /// A backend server is no longer used.
    ServerDown {
        /// Backend server.
        server: ServerAddr,
        /// Reason.
        why: SmolStr,
    },
    /// A request fingerprint is quarantined fleet-wide.
    Quarantined {
        /// Request fingerprint.
        fingerprint: Digest,
    },
    /// Invalid input was ignored.
    Ignored {
        /// Description of the fault.
        why: SmolStr,
    },
}

/// Summary of an ended request, for logs and the burn report.
#[derive(Clone, Debug, PartialEq)]
pub struct Ended {
    /// Request.
    pub request: RequestId,
    /// Organisation.
    pub org: OrgId,
    /// Class.
    pub class: ClassId,
    /// Version that answered.
    pub version: Option<VersionId>,
    /// Backend server of the last attempt.
    pub server: Option<ServerAddr>,
    /// Whether the caller received the complete response.
    pub whole: bool,
    /// Refusal, if any.
    pub refusal: Option<Refusal>,
    /// Number of attempts.
    pub attempts: Attempt,
    /// Time from arrival to the end.
    pub took: Duration,
    /// Usage.
    pub usage: Usage,
}
