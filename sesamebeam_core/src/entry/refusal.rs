//! Refusals of requests: the reason, and whether the request ran.

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
    /// Provably, no backend server ran it or will run it.
    NotRun,
    /// It ran to completion, but its response is no longer available.
    Ran,
    /// It cannot be determined whether it ran.
    Unknown,
}

/// Reason for a refusal.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Reason {
    /// The entry has no configuration yet.
    NoConfiguration,
    /// The entry is stopping.
    Stopping,
    /// The organisation is unknown.
    UnknownOrganisation,
    /// The request class is unknown, or belongs to another service.
    UnknownClass,
    /// The pool is unknown or does not run plain services.
    UnknownService,
    /// The organisation may not use the requested model or version.
    NotAllowed,
    /// The class requires an `Idempotency-Key`.
    KeyMissing,
    /// The `Idempotency-Key` was already used with another body.
    KeyReused,
    /// The request is quarantined for crashing backend servers.
    Quarantined,
    /// No backend server is available for the request.
    NoServer,
    /// The queue is full, or the deadline cannot be met.
    Overloaded,
    /// The session's version cannot be determined or run without the control
    /// group.
    SessionUnreachable,
    /// The control group cannot be reached, so the key cannot be claimed.
    ClaimUnreachable,
    /// Another request with the same key may be running.
    InProgress,
    /// The backend server was lost while the request ran.
    ServerLost,
    /// The response was too large to record, and the backend server no longer
    /// has it.
    AnswerGone,
    /// The backend server refused the request as invalid.
    Rejected,
    /// The deadline passed.
    DeadlinePassed,
}

/// A refusal as returned to the caller.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Refusal {
    /// Reason.
    pub reason: Reason,
    /// Whether the request ran.
    pub outcome: RunOutcome,
    /// Time after which a retry may succeed; `None` if it never will.
    pub retry_after: Option<Duration>,
    /// Human-readable description.
    pub detail: SmolStr,
}

impl Reason {
    /// Returns the HTTP status of this reason.
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

    /// Returns a human-readable description.
    pub fn description(self) -> &'static str {
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

    /// Returns the name used in problem documents and logs.
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
    /// Returns the name used in problem documents and logs.
    pub fn name(self) -> &'static str {
        match self {
            Self::NotRun => "not_run",
            Self::Ran => "ran",
            Self::Unknown => "unknown",
        }
    }
}
