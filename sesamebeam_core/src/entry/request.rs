//! One request under way.

use std::time::Duration;

use super::{
    event::{
        AnswerHeaders,
        Arrival,
        Attempt,
        DispatchKind,
        Finished,
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
        ServerLife, //
    },
    policy::plan::Plan,
};

/// A request from its arrival to its end.
#[derive(Clone, Debug)]
pub(super) struct Request {
    /// What arrived.
    pub(super) arrival: Arrival,
    /// Class of the request.
    pub(super) class: ClassId,
    /// Whether it must run at most once.
    pub(super) once: bool,
    /// How urgent it is.
    pub(super) priority: Priority,
    /// When it arrived.
    pub(super) arrived: MonoTime,
    /// When the whole answer is due.
    pub(super) deadline: MonoTime,
    /// What it waits for.
    pub(super) phase: Phase,
    /// Session, once its version is known.
    pub(super) session: Option<SessionToken>,
    /// Whether the session had to change version.
    pub(super) pin_renewed: bool,
    /// Which versions run it, in order; none for a plain service.
    pub(super) plan: Option<Plan>,
    /// Whether the second version of a cascade has its turn.
    pub(super) second: bool,
    /// Pool of the present step.
    pub(super) pool: PoolId,
    /// Backend servers that refused it or were lost.
    pub(super) avoid: Vec<ServerLife>,
    /// Attempts made.
    pub(super) attempts: Attempt,
    /// Number of the last thing sent, resumes among them.
    pub(super) sent: Attempt,
    /// Attempts under way.
    pub(super) running: Vec<Running>,
    /// Claim that this entry holds.
    pub(super) claim: Option<HeldClaim>,
    /// Generation that the next claim replaces.
    pub(super) replaces: Generation,
    /// Whether the caller has seen a part of the answer.
    pub(super) started: bool,
    /// Whether something was sent that may have run.
    pub(super) maybe_ran: bool,
    /// Resumes made since the last progress.
    pub(super) resumes: u32,
    /// Events of the answer known to be whole.
    pub(super) events: u64,
    /// Pool whose slot it holds, and since when.
    pub(super) slot: Option<(PoolId, MonoTime)>,
    /// Attempt that is resumed after a pause.
    pub(super) paused: Option<Running>,
    /// Answer that is held back while it is rated.
    pub(super) held: Option<Finished>,
    /// Attempt that gave the held answer.
    pub(super) held_run: Option<Running>,
    /// First step of a cascade, whose answer was not good enough.
    pub(super) spent: Option<Running>,
}

/// What a request waits for.
#[derive(Clone, Debug)]
pub(super) enum Phase {
    /// Nothing yet.
    New,
    /// The version of its session.
    Pinning,
    /// A free slot.
    Queued,
    /// The answer to its claim for this backend server.
    Claiming(ServerLife, MonoTime),
    /// The answer of a backend server.
    Running,
    /// A claim's state, before this refusal can say whether the request ran.
    Looking(Refusal),
    /// The stream of a claim that another entry holds, or held.
    Attached(ClaimView),
    /// A cancel at the backend server of that claim.
    CancellingOther(ClaimView),
    /// A cancel at the backend server of its own claim.
    CancellingOwn(ServerLife),
    /// The record that its own claim is abandoned.
    Abandoning,
    /// The moment of the next resume.
    Pausing(MonoTime),
    /// The score of a held answer.
    Rating,
}

/// A claim that this entry holds.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct HeldClaim {
    /// Number of the claim on its key.
    pub(super) generation: Generation,
    /// Id under which the backend server knows the request.
    pub(super) id: RequestId,
    /// Backend server.
    pub(super) target: ServerLife,
    /// End of the dispatch window.
    pub(super) send_by: MonoTime,
}

/// How an attempt ended, as far as its backend server is concerned.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum AttemptEnd {
    /// The whole answer arrived.
    Whole,
    /// It was dropped or refused; the backend server lives.
    Alive,
    /// The connection broke or went silent: the backend server may be dead.
    Lost,
    /// No connection was made, so that it never was on the backend server.
    Unsent,
}

/// One attempt under way.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct Running {
    /// Number of the attempt.
    pub(super) attempt: Attempt,
    /// Id at the backend server.
    pub(super) id: RequestId,
    /// Backend server.
    pub(super) server: ServerLife,
    /// Version that runs it.
    pub(super) version: Option<VersionId>,
    /// What was sent.
    pub(super) kind: DispatchKind,
    /// When it was sent.
    pub(super) since: MonoTime,
    /// Whether its answer is held back.
    pub(super) held: bool,
    /// Whether the backend server is kept for it, as for a suspect.
    pub(super) alone: bool,
    /// Whether the first event arrived.
    pub(super) first: bool,
}

impl Request {
    /// Starts a request.
    pub(super) fn new(now: MonoTime, arrival: Arrival, class: &Class, once: bool) -> Self {
        Self {
            class: class.name.clone(),
            once,
            priority: class.priority,
            arrived: now,
            deadline: now + class.deadline,
            phase: Phase::New,
            session: None,
            pin_renewed: false,
            plan: None,
            second: false,
            pool: PoolId::default(),
            avoid: Vec::new(),
            attempts: 0,
            sent: 0,
            running: Vec::new(),
            claim: None,
            replaces: 0,
            started: false,
            maybe_ran: false,
            resumes: 0,
            events: 0,
            slot: None,
            paused: None,
            held: None,
            held_run: None,
            spent: None,
            arrival,
        }
    }

    /// Version of the present step; none for a plain service.
    pub(super) fn version(&self) -> Option<&VersionId> {
        match self.plan.as_ref()? {
            Plan::Single(version) => Some(version),
            Plan::Cascade { first, .. } if !self.second => Some(first),
            Plan::Cascade { then, .. } => Some(then),
        }
    }

    /// Whether the present step's answer is rated before the caller gets it.
    pub(super) fn holds(&self) -> bool {
        matches!(self.plan, Some(Plan::Cascade { .. })) && !self.second
    }

    /// What a claim on it is written under.
    pub(super) fn claim_key(&self) -> Option<ClaimKey> {
        Some(ClaimKey {
            org: self.arrival.org.clone(),
            key: self.arrival.key.clone()?,
        })
    }

    /// Id of the next attempt at a backend server.
    ///
    /// Each run has its own, so that a cancelled id never stops a later run.
    pub(super) fn next_id(&self) -> RequestId {
        self.arrival.request.wrapping_add(u128::from(self.attempts))
    }

    /// What can be said of an idempotent request that is refused.
    ///
    /// The first step of a cascade ran to its end though its answer was not
    /// passed on: said not to have run, its caller would count on no cost and
    /// no trace of it.
    pub(super) fn outcome(&self) -> RunOutcome {
        if self.spent.is_some() {
            RunOutcome::Ran
        } else if self.maybe_ran {
            RunOutcome::Unknown
        } else {
            RunOutcome::NotRun
        }
    }

    /// Values of the headers of its answer.
    pub(super) fn headers(&self) -> AnswerHeaders {
        AnswerHeaders {
            version: self.version().cloned(),
            session: self.session.clone(),
            pin_renewed: self.pin_renewed,
        }
    }

    /// Time left until the whole answer is due.
    pub(super) fn left(&self, now: MonoTime) -> Duration {
        self.deadline.saturating_sub(now)
    }
}
