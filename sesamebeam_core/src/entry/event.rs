//! Events that an entry handles and actions that it asks for.

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
            ServerLife,
            Usage, //
        },
        server::{
            Announcement,
            Rating, //
        },
    },
};

/// Number of one attempt at a request, from 1.
pub type Attempt = u32;

/// Number of one question to the control group.
pub type AskId = u64;

/// Everything that can happen to an entry.
#[derive(Clone, Debug, PartialEq)]
pub enum EntryEvent {
    /// Time has passed.
    Tick,
    /// A caller's request is complete and its key is valid.
    Arrived(Box<Arrival>),
    /// The caller hung up.
    CallerGone {
        /// Its request.
        request: RequestId,
    },
    /// Something happened to an attempt.
    Attempt {
        /// Request.
        request: RequestId,
        /// Attempt at it.
        attempt: Attempt,
        /// What happened.
        report: AttemptReport,
    },
    /// A cancel of a request id at a backend server was answered.
    Cancelled {
        /// Request on whose behalf it was asked.
        request: RequestId,
        /// What the backend server knows.
        known: ServerKnows,
    },
    /// A question to the control group was answered.
    Answered {
        /// The question.
        ask: AskId,
        /// The answer, or none if no replica could be reached or led in time.
        reply: Option<ControlReply>,
    },
    /// A backend server announced itself here.
    Announced(Box<Announcement>),
    /// Another entry sent a message.
    Peer {
        /// The other entry.
        from: InstanceId,
        /// The message.
        message: PeerMessage,
    },
    /// The rating service rated an answer.
    Rated(Rating),
    /// The rating service rated a held answer at once, or could not.
    RatedNow {
        /// Request whose answer is held.
        request: RequestId,
        /// Quality from 0 to 1; none if the service did not answer in time.
        score: Option<f64>,
    },
    /// A planned stop begins.
    Stop,
}

/// Which model or version a caller asked for.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Wanted {
    /// The system chooses.
    Auto,
    /// Any allowed version of a model.
    Model(ModelId),
    /// One version.
    Version(VersionId),
    /// A plain service.
    Service(PoolId),
}

/// How a caller named its session.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum SessionRef {
    /// By a name of its own.
    Name(SessionId),
    /// By a token that the system signed.
    Token(SessionToken),
    /// Not yet: the edge drew this name, which nobody else has.
    New(SessionId),
}

/// What a signed session token carries.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SessionToken {
    /// Organisation that it was issued to.
    pub org: OrgId,
    /// Name of the session.
    pub session: SessionId,
    /// Version that the session keeps.
    pub version: VersionId,
    /// Generation of the pin; 0 if the token itself is the only record.
    pub generation: Generation,
}

/// A caller's request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Arrival {
    /// Number drawn for it.
    pub request: RequestId,
    /// Organisation of the caller.
    pub org: OrgId,
    /// Class of the request; none for the first class of the fleet file.
    pub class: Option<ClassId>,
    /// Which model, version or service was asked for.
    pub wanted: Wanted,
    /// Session, if any.
    pub session: Option<SessionRef>,
    /// The caller's `Idempotency-Key`.
    pub key: Option<IdempotencyKey>,
    /// Digest of the body, and of method and path for a service.
    pub digest: Digest,
    /// Whether the HTTP method of a service call may be repeated.
    pub safe_method: bool,
    /// Whether the caller reads the answer as it is generated.
    pub streamed: bool,
    /// Hash of the prompt's prefix.
    pub prefix: u64,
    /// Tokens of the prompt, estimated.
    pub prompt_tokens: u32,
    /// Most tokens that may be generated.
    pub max_tokens: u32,
}

/// What happened to an attempt.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum AttemptReport {
    /// The first event of the answer arrived.
    Started,
    /// No connection could be made, so nothing was sent.
    ConnectFailed {
        /// Whether it was refused: no process listens there.
        refused: bool,
    },
    /// The time to send was over, so nothing was sent.
    Late,
    /// The backend server refused without running it.
    Refused(ServerRefusal),
    /// The connection broke after the request was sent.
    Broken {
        /// Events that had arrived whole.
        events: u64,
    },
    /// Nothing arrived for the progress timeout.
    Stalled {
        /// Events that had arrived whole.
        events: u64,
    },
    /// A resume was answered: the backend server does not have the stream.
    NotThere(ServerKnows),
    /// The whole answer arrived.
    Finished(Finished),
}

/// How a backend server refuses without running a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ServerRefusal {
    /// Its queue is full.
    Busy {
        /// Time for which it asks to be sent nothing.
        retry_after: Option<Duration>,
    },
    /// It does not have the version loaded.
    NotLoaded,
    /// The id was cancelled there before.
    Cancelled,
    /// The request itself is faulty; another backend server would say the same.
    Invalid,
}

/// What a backend server knows of a request id.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ServerKnows {
    /// It never had the id, and after a cancel never will run it.
    Never {
        /// Life in which it says so.
        life: ServerLife,
    },
    /// It had the id, but no longer has the answer.
    Gone,
    /// It has the id, running or finished.
    Has,
    /// It could not be asked.
    Unreachable,
}

/// A whole answer.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Finished {
    /// What is kept of it; the body only if the attempt asked to keep it.
    pub answer: Completed,
    /// Usage that the backend server reported.
    pub usage: Usage,
    /// Time from sending to the first event.
    pub first: Duration,
    /// Time for which a plain service that turns the request away asks to be sent nothing.
    pub retry_after: Option<Duration>,
    /// Wall-clock time, for people.
    pub at: UnixMillis,
}

/// Everything that an entry asks its edges to do.
#[derive(Clone, Debug, PartialEq)]
pub enum EntryAction {
    /// Send a request to a backend server.
    Dispatch(Dispatch),
    /// Stop reading an attempt that is no longer wanted.
    Drop {
        /// Request.
        request: RequestId,
        /// Attempt that is no longer wanted.
        attempt: Attempt,
        /// Whether it is cancelled at the backend server too.
        cancel: bool,
    },
    /// Cancel a request id at a backend server and tell what it knows.
    Cancel {
        /// Request on whose behalf it is asked.
        request: RequestId,
        /// Id at the backend server.
        id: RequestId,
        /// Backend server.
        server: ServerAddr,
    },
    /// Close every connection to a backend server that is older than now.
    Retire {
        /// Backend server.
        server: ServerAddr,
    },
    /// Ask the control group.
    Ask {
        /// Number of the question.
        ask: AskId,
        /// The question.
        req: Box<ControlRequest>,
        /// Time after which the answer is of no use.
        timeout: Duration,
    },
    /// Tell other entries.
    Tell {
        /// Which of them.
        to: Audience,
        /// The message.
        message: PeerMessage,
    },
    /// End a request with a kept answer.
    Replay {
        /// Request.
        request: RequestId,
        /// The answer; its body is there.
        answer: Completed,
        /// Header values.
        headers: AnswerHeaders,
    },
    /// End a request by a refusal.
    Refuse {
        /// Request.
        request: RequestId,
        /// The refusal.
        refusal: Refusal,
    },
    /// Release a held answer to its caller.
    Release {
        /// Request.
        request: RequestId,
    },
    /// The answer is whole: end the caller's stream.
    Finish {
        /// Request.
        request: RequestId,
    },
    /// Have a held answer rated at once.
    RateNow {
        /// Request.
        request: RequestId,
        /// Class of the request.
        class: ClassId,
        /// Version that answered.
        version: VersionId,
        /// Time after which the score is of no use.
        timeout: Duration,
    },
    /// Send an answer to the rating service, for a late rating.
    Sample {
        /// Request.
        request: RequestId,
        /// Class of the request.
        class: ClassId,
        /// Version that answered.
        version: VersionId,
    },
    /// Every request has ended after a stop: the process may exit.
    Drained,
    /// Something to log or count.
    Notice(Notice),
}

/// Which other entries are told.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Audience {
    /// Those of the same failure domain.
    Domain,
    /// All.
    All,
    /// One.
    One(InstanceId),
}

/// Values of the headers of an answer.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct AnswerHeaders {
    /// Version that answered.
    pub version: Option<VersionId>,
    /// Session token to sign and return.
    pub session: Option<SessionToken>,
    /// Whether the session had to change version because its own is withdrawn.
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
    pub server: ServerLife,
    /// Version to run; none for a plain service.
    pub version: Option<VersionId>,
    /// How urgent it is.
    pub priority: Priority,
    /// Hash of the prompt's prefix.
    pub prefix: u64,
    /// What to send.
    pub kind: DispatchKind,
    /// Whether the answer is held back until it is released.
    pub hold: bool,
    /// Whether the body is kept, up to the cap.
    pub keep: bool,
    /// Longest time without any byte.
    pub progress: Duration,
    /// Time after which it must not be sent any more. The edge reads its clock
    /// after its last wait: a process frozen in between would otherwise send
    /// into a claim that others have taken over.
    pub send_by: MonoTime,
    /// Header values.
    pub headers: AnswerHeaders,
}

/// What an attempt sends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DispatchKind {
    /// The request itself.
    Run,
    /// The request itself, beside an attempt that is still running.
    Hedge,
    /// A resume after this many events, on a new connection.
    Resume {
        /// Events that the caller already has.
        events: u64,
    },
    /// A look-up of a plain service's call.
    LookUp,
}

/// Something to log or count.
#[derive(Clone, Debug, PartialEq)]
pub enum Notice {
    /// A request ended.
    Ended(Ended),
    /// A configuration is in force here.
    InForce {
        /// Revision.
        revision: u64,
    },
    /// The configuration lease ended.
    LeaseLost,
    /// The configuration lease is held again.
    LeaseHeld,
    /// A version is held here by this entry's own test.
    Held {
        /// Version.
        version: VersionId,
    },
    /// A backend server is known now.
    ServerUp {
        /// Backend server.
        server: ServerLife,
        /// Pool.
        pool: PoolId,
    },
    /// A backend server is no longer used.
    ServerDown {
        /// Backend server.
        server: ServerAddr,
        /// Why.
        why: SmolStr,
    },
    /// A fingerprint is quarantined fleet-wide.
    Quarantined {
        /// Fingerprint.
        fingerprint: Digest,
    },
    /// Bad input was ignored.
    Ignored {
        /// What was wrong.
        why: SmolStr,
    },
}

/// How a request ended, for logs and the burn report.
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
    /// Whether the caller has the whole answer.
    pub whole: bool,
    /// Refusal, if it was refused.
    pub refusal: Option<Refusal>,
    /// Attempts made.
    pub attempts: Attempt,
    /// Time from arrival to the end.
    pub took: Duration,
    /// Usage.
    pub usage: Usage,
}
