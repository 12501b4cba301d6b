//! Refusals: why a request was not answered, and whether it ran.

use std::time::Duration;

use serde::{
    Deserialize,
    Serialize, //
};
use smol_str::SmolStr;

/// Whether a refused request ran.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RunOutcome {
    /// Proved: no backend server ran it or will run it.
    NotRun,
    /// It ran to its end, but its answer is not to be had any more.
    Ran,
    /// Nobody can tell.
    Unknown,
}

/// Why a request was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Reason {
    /// The entry has no configuration yet.
    NoConfiguration,
    /// The entry is stopping.
    Stopping,
    /// The organisation is not known.
    UnknownOrganisation,
    /// The class of requests is not known.
    UnknownClass,
    /// The pool is not known, or is not one of plain services.
    UnknownService,
    /// The organisation may not use the model or version it asked for.
    NotAllowed,
    /// The class needs an `Idempotency-Key`.
    KeyMissing,
    /// The `Idempotency-Key` was used with another body.
    KeyReused,
    /// The request crashed backend servers before.
    Quarantined,
    /// No backend server can run it.
    NoServer,
    /// The queue is full, or the deadline cannot be met.
    Overloaded,
    /// The session's version cannot be learned while cut off.
    SessionUnreachable,
    /// The control group cannot be reached, so the key cannot be claimed.
    ClaimUnreachable,
    /// The same key is being run elsewhere.
    InProgress,
    /// The backend server was lost in the middle of the request.
    ServerLost,
    /// The answer is larger than what is kept, and its backend server lost it.
    AnswerGone,
    /// The backend server refused the request itself.
    Rejected,
    /// The deadline passed.
    DeadlinePassed,
}

/// A final refusal.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Refusal {
    /// Why.
    pub reason: Reason,
    /// Whether the request ran.
    pub outcome: RunOutcome,
    /// When a later call can help; none if it never will.
    pub retry_after: Option<Duration>,
    /// One sentence for people.
    pub detail: SmolStr,
}

impl Reason {
    /// Returns the HTTP status that tells a caller this reason.
    pub fn status(self) -> u16 {
        match self {
            Self::UnknownOrganisation => 401,
            Self::NotAllowed => 403,
            Self::UnknownClass | Self::KeyMissing | Self::Rejected => 400,
            Self::UnknownService => 404,
            Self::InProgress => 409,
            Self::AnswerGone => 410,
            Self::KeyReused | Self::Quarantined => 422,
            Self::Overloaded => 429,
            Self::ServerLost => 502,
            Self::DeadlinePassed => 504,
            Self::NoConfiguration
            | Self::Stopping
            | Self::NoServer
            | Self::SessionUnreachable
            | Self::ClaimUnreachable => 503,
        }
    }

    /// Returns one sentence for people.
    pub fn sentence(self) -> &'static str {
        match self {
            Self::NoConfiguration => "The entry has no configuration yet.",
            Self::Stopping => "The entry is stopping.",
            Self::UnknownOrganisation => "No organisation has this key.",
            Self::UnknownClass => "The class of the request is not known here.",
            Self::UnknownService => "No plain service has this name.",
            Self::NotAllowed => "The organisation may not use this model or version.",
            Self::KeyMissing => "The class needs an Idempotency-Key header.",
            Self::KeyReused => "The Idempotency-Key was used with another body.",
            Self::Quarantined => "The request crashed backend servers and is not run again.",
            Self::NoServer => "No backend server can run the request now.",
            Self::Overloaded => "The deadline cannot be met with the load of the moment.",
            Self::SessionUnreachable => "The session's version cannot be learned now.",
            Self::ClaimUnreachable => "The key cannot be claimed now.",
            Self::InProgress => "The key is in use by a request that may be running.",
            Self::ServerLost => "The backend server was lost in the middle of the request.",
            Self::AnswerGone => "The request ran, but its answer is no longer kept.",
            Self::Rejected => "The backend server refused the request itself.",
            Self::DeadlinePassed => "The deadline passed.",
        }
    }

    /// Returns the name that problem documents and logs carry.
    pub fn name(self) -> &'static str {
        match self {
            Self::NoConfiguration => "no-configuration",
            Self::Stopping => "stopping",
            Self::UnknownOrganisation => "unknown-organisation",
            Self::UnknownClass => "unknown-class",
            Self::UnknownService => "unknown-service",
            Self::NotAllowed => "not-allowed",
            Self::KeyMissing => "key-missing",
            Self::KeyReused => "key-reused",
            Self::Quarantined => "quarantined",
            Self::NoServer => "no-server",
            Self::Overloaded => "overloaded",
            Self::SessionUnreachable => "session-unreachable",
            Self::ClaimUnreachable => "claim-unreachable",
            Self::InProgress => "in-progress",
            Self::ServerLost => "server-lost",
            Self::AnswerGone => "answer-gone",
            Self::Rejected => "rejected",
            Self::DeadlinePassed => "deadline-passed",
        }
    }
}

impl RunOutcome {
    /// Returns the name that problem documents and logs carry.
    pub fn name(self) -> &'static str {
        match self {
            Self::NotRun => "not_run",
            Self::Ran => "ran",
            Self::Unknown => "unknown",
        }
    }
}
