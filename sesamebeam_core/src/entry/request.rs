//! State of a request in flight.

use std::time::Duration;

use super::{
    event::{
        Arrival,
        Attempt,
        DispatchKind,
        Finished,
        ResponseHeaders,
        SessionToken, //
    },
    refusal::{
        Refusal,
        RunOutcome, //
    },
};
use crate::{
    fleet::{
        Class,
        Priority, //
    },
    ids::{
        ClassId,
        Generation,
        MonoTime,
        PoolId,
        RequestId,
        VersionId, //
    },
    message::record::{
        ClaimKey,
        ClaimView,
        ServerIncarnation, //
    },
    policy::plan::Plan,
};

/// A request from its arrival to its end.
#[derive(Clone, Debug)]
pub(super) struct Request {
    /// The request as received.
    pub(super) arrival: Arrival,
    /// Class of the request.
    pub(super) class: ClassId,
    /// Whether it must run at most once.
    pub(super) at_most_once: bool,
    /// Priority of the request.
    pub(super) priority: Priority,
    /// Arrival time.
    pub(super) arrived: MonoTime,
    /// Time by which the complete response is due.
    pub(super) deadline: MonoTime,
    /// What the request waits for.
    pub(super) phase: Phase,
    /// Session, once its version is known.
    pub(super) session: Option<SessionToken>,
    /// Whether the session changed its version because of a withdrawal.
    pub(super) pin_renewed: bool,
    /// Versions to run, in order; `None` for a plain service.
    pub(super) plan: Option<Plan>,
    /// Whether a cascade is in its second step.
    pub(super) second_step: bool,
    /// Pool of the current step.
    pub(super) pool: PoolId,
    /// Backend servers to avoid, because they refused the request or were lost.
    pub(super) avoid: Vec<ServerIncarnation>,
    /// Number of attempts.
    pub(super) attempts: Attempt,
    /// Number of dispatches, including resumes and look-ups.
    pub(super) dispatches: Attempt,
    /// Running attempts.
    pub(super) running: Vec<RunningAttempt>,
    /// Claim held by this entry.
    pub(super) claim: Option<HeldClaim>,
    /// Claim generation that the next claim replaces.
    pub(super) replaces: Generation,
    /// Whether the caller has received a part of the response.
    pub(super) response_started: bool,
    /// Whether an attempt was sent that may have run.
    pub(super) maybe_ran: bool,
    /// Number of resumes since the last progress.
    pub(super) resumes: u32,
    /// Number of response events received completely.
    pub(super) events: u64,
    /// Pool whose slot the request holds, and since when.
    pub(super) slot: Option<(PoolId, MonoTime)>,
    /// Attempt to resume after a delay.
    pub(super) delayed_resume: Option<RunningAttempt>,
    /// Response held back while it is rated.
    pub(super) held_response: Option<Finished>,
    /// Attempt that produced the held response.
    pub(super) held_run: Option<RunningAttempt>,
    /// First attempt of a cascade, whose response was rejected by its rating.
    pub(super) rejected_first: Option<RunningAttempt>,
}

/// What a request waits for.
#[derive(Clone, Debug)]
pub(super) enum Phase {
    /// Not planned yet.
    New,
    /// The reply to a pin request.
    Pinning,
    /// A pool slot.
    Queued,
    /// The reply to a claim for this backend server, requested at this time.
    Claiming(ServerIncarnation, MonoTime),
    /// The response of a backend server.
    Running,
    /// The state of a claim, to determine the outcome of this refusal.
    LookingUpClaim(Refusal),
    /// The stream of an existing claim.
    Attached(ClaimView),
    /// The cancel of an existing claim at its backend server.
    CancellingOther(ClaimView),
    /// The cancel of its own claim at this backend server.
    CancellingOwn(ServerIncarnation),
    /// The record that a claim of this entry is abandoned.
    Abandoning,
    /// The next resume, at this time.
    ResumeDelayed(MonoTime),
    /// The score of the held response.
    Rating,
}

/// A claim held by this entry.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct HeldClaim {
    /// Generation of the claim.
    pub(super) generation: Generation,
    /// Request id at the backend server.
    pub(super) id: RequestId,
    /// Backend server.
    pub(super) target: ServerIncarnation,
    /// End of the dispatch window.
    pub(super) send_by: MonoTime,
}

/// What the end of an attempt reveals about its backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum AttemptEnd {
    /// The complete response arrived.
    Whole,
    /// It was dropped or refused; the backend server is alive.
    Alive,
    /// The connection broke or stalled; the backend server may have crashed.
    Lost,
    /// No connection was made, so the request was never sent.
    Unsent,
}

/// A running attempt.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct RunningAttempt {
    /// Number of the attempt.
    pub(super) attempt: Attempt,
    /// Id at the backend server.
    pub(super) id: RequestId,
    /// Backend server.
    pub(super) server: ServerIncarnation,
    /// Version that it runs.
    pub(super) version: Option<VersionId>,
    /// What was sent.
    pub(super) kind: DispatchKind,
    /// Time of dispatch.
    pub(super) since: MonoTime,
    /// Whether the response is held back.
    pub(super) held: bool,
    /// Whether the backend server is reserved for it, because the request is
    /// suspected of crashing backend servers.
    pub(super) alone: bool,
    /// Whether the first event arrived.
    pub(super) responded: bool,
}

impl Request {
    /// Creates the state of a new request.
    pub(super) fn new(now: MonoTime, arrival: Arrival, class: &Class, at_most_once: bool) -> Self {
        Self {
            class: class.name.clone(),
            at_most_once,
            priority: class.priority,
            arrived: now,
            deadline: now + class.deadline,
            phase: Phase::New,
            session: None,
            pin_renewed: false,
            plan: None,
            second_step: false,
            pool: PoolId::default(),
            avoid: Vec::new(),
            attempts: 0,
            dispatches: 0,
            running: Vec::new(),
            claim: None,
            replaces: 0,
            response_started: false,
            maybe_ran: false,
            resumes: 0,
            events: 0,
            slot: None,
            delayed_resume: None,
            held_response: None,
            held_run: None,
            rejected_first: None,
            arrival,
        }
    }

    /// Returns the version of the current step; `None` for a plain service.
    pub(super) fn version(&self) -> Option<&VersionId> {
        match self.plan.as_ref()? {
            Plan::Single(version) => Some(version),
            Plan::Cascade { first, .. } if !self.second_step => Some(first),
            Plan::Cascade { then, .. } => Some(then),
        }
    }

    /// Returns whether the response of the current step is held until it is rated.
    pub(super) fn holds_response(&self) -> bool {
        matches!(self.plan, Some(Plan::Cascade { .. })) && !self.second_step
    }

    /// Returns the key of its claim; `None` without an idempotency key.
    pub(super) fn claim_key(&self) -> Option<ClaimKey> {
        Some(ClaimKey {
            org: self.arrival.org.clone(),
            key: self.arrival.key.clone()?,
        })
    }

    /// Returns the backend server id of the current attempt.
    ///
    /// Each run has an id of its own, so cancelling an id never stops a later run.
    pub(super) fn attempt_id(&self) -> RequestId {
        self.arrival.request.wrapping_add(u128::from(self.attempts))
    }

    /// Returns the outcome of an idempotent request that is refused.
    ///
    /// The first step of a cascade ran to completion although its response was
    /// rejected. If it were reported as not run, the caller would expect neither
    /// costs nor side effects.
    pub(super) fn outcome(&self) -> RunOutcome {
        if self.rejected_first.is_some() {
            RunOutcome::Ran
        } else if self.maybe_ran {
            RunOutcome::Unknown
        } else {
            RunOutcome::NotRun
        }
    }

    /// Returns the response header values.
    pub(super) fn response_headers(&self) -> ResponseHeaders {
        ResponseHeaders {
            version: self.version().cloned(),
            session: self.session.clone(),
            pin_renewed: self.pin_renewed,
        }
    }

    /// Returns the time left until the deadline.
    pub(super) fn time_left(&self, now: MonoTime) -> Duration {
        self.deadline.saturating_sub(now)
    }
}
