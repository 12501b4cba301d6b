//! Plan, queue and backend server of a request, by the policy.

use std::time::Duration;

use super::{
    EntryCore,
    event::{
        DispatchKind,
        EntryAction,
        Wanted, //
    },
    refusal::{
        Reason,
        Refusal,
        RunOutcome, //
    },
    request::{
        AttemptEnd,
        Phase,
        Running, //
    },
    view::Usable, //
};
use crate::{
    ids::{
        ANY_MODEL,
        Digest,
        ModelId,
        MonoTime,
        RequestId,
        ServerAddr,
        VersionId, //
    },
    message::record::ServerLife,
    policy::{
        admission::{
            AdmissionOutcome,
            AdmissionRequest, //
        },
        balance::{
            PickInput,
            Route, //
        },
        hash,
        plan::{
            Candidate,
            Plan,
            PlanChoice, //
            PlanInput,
        },
        suspects::SuspectStatus, //
    },
};

/// Tokens a second that a stream is expected to give before any was seen.
const EXPECTED_SPEED: f64 = 40.0;

/// Time that a call of a plain service is expected to run.
const SERVICE_TAKES: Duration = Duration::from_millis(50);

impl EntryCore {
    /// Chooses the plan of a request without a session.
    pub(super) fn choose(&mut self, now: MonoTime, id: RequestId) -> Result<Plan, Reason> {
        let planned = self.planned(now, id, None)?;
        self.explain.planned(id, &planned);
        Ok(planned.plan)
    }

    /// Chooses the version to pin a session to. A cascade has two versions, so
    /// a session gets the stronger one of it.
    pub(super) fn choose_pin(
        &mut self,
        now: MonoTime,
        id: RequestId,
        model: &ModelId,
    ) -> Result<VersionId, Reason> {
        let planned = self.planned(now, id, Some(model))?;
        self.explain.planned(id, &planned);
        Ok(match planned.plan {
            Plan::Single(version) => version,
            Plan::Cascade { then, .. } => then,
        })
    }

    fn planned(
        &mut self,
        now: MonoTime,
        id: RequestId,
        session_model: Option<&ModelId>,
    ) -> Result<PlanChoice, Reason> {
        let (candidates, any_allowed) = self.candidates(now, id, session_model);
        let req = self.requests.get(&id).ok_or(Reason::NoServer)?;
        let none = if any_allowed {
            Reason::NoServer
        } else {
            Reason::NotAllowed
        };
        let class = self
            .view
            .class(Some(&req.class), None)
            .ok_or(Reason::UnknownClass)?;
        let target = self
            .view
            .organisation(&req.arrival.org)
            .and_then(|org| org.targets.iter().find(|t| t.class == req.class));
        let input = PlanInput {
            class,
            target,
            candidates: &candidates,
            time_left: req.left(now),
            rater_available: self.rater_answers(now),
            draw: hash::unit(&id.to_le_bytes(), "plan"),
        };
        self.planner.plan(&self.quality, &input).ok_or(none)
    }

    /// Versions that a request may use and that are loaded somewhere, and
    /// whether its organisation is allowed any that was asked for.
    fn candidates(
        &mut self,
        now: MonoTime,
        id: RequestId,
        session_model: Option<&ModelId>,
    ) -> (Vec<Candidate>, bool) {
        let Some(req) = self.requests.get(&id) else {
            return (Vec::new(), false);
        };
        let Some(class) = self.view.class(Some(&req.class), None) else {
            return (Vec::new(), false);
        };
        let draw_key = draw_key(req);
        let mut any = false;
        let mut out = Vec::new();
        for full in self.view.allowed(&req.arrival.org) {
            if !wants(&req.arrival.wanted, full, session_model) {
                continue;
            }
            any = true;
            let usable = self.view.usable(now, &req.arrival.org, full);
            if !matches!(usable, Usable::Settled | Usable::Rolling(_)) {
                continue;
            }
            let permit = self.exposure.permit(full, class, &draw_key, false);
            if !permit.allows() || !self.balance.serves(Route::Version(full)) {
                self.explain.passed_over(id, full, usable, permit);
                continue;
            }
            let Some((version, _)) = self.view.version(full) else {
                continue;
            };
            out.push(Candidate {
                version: full.clone(),
                cost: version.cost,
                expected_duration: self.takes(req.arrival.max_tokens),
            });
        }
        (out, any)
    }

    /// Whether a fingerprint crashes backend servers.
    pub(super) fn fingerprint_blocked(&self, fingerprint: Digest) -> bool {
        self.suspects.status(fingerprint) == SuspectStatus::Quarantined
    }

    /// Asks for a slot.
    pub(super) fn enqueue(&mut self, now: MonoTime, id: RequestId) {
        self.release_slot(now, id);
        let Some(req) = self.requests.get(&id) else {
            return;
        };
        if let Wanted::Service(pool) = &req.arrival.wanted
            && !self.balance.serves(Route::Service(pool))
        {
            // Nothing would come of waiting: the caller is told at once.
            let after = Some(self.cfg.retry_after);
            return self.give_up(now, id, Reason::NoServer, after);
        }
        let ticket = AdmissionRequest {
            request: id,
            org: req.arrival.org.clone(),
            pool: req.pool.clone(),
            priority: req.priority,
            deadline: req.deadline,
            expected_duration: match req.arrival.wanted {
                Wanted::Service(_) => SERVICE_TAKES,
                _ => self.takes(req.arrival.max_tokens),
            },
        };
        match self.admission.submit(now, ticket) {
            AdmissionOutcome::Run => self.start(now, id),
            AdmissionOutcome::Queued => {
                if let Some(req) = self.requests.get_mut(&id) {
                    req.phase = Phase::Queued;
                }
            }
            AdmissionOutcome::Refused { retry_after } => {
                self.give_up(now, id, Reason::Overloaded, Some(retry_after));
            }
        }
    }

    /// Starts a request that got a slot, after every check once more: while it
    /// waited, its version may have been withdrawn or held.
    pub(super) fn start(&mut self, now: MonoTime, id: RequestId) {
        let Some(req) = self.requests.get_mut(&id) else {
            return;
        };
        req.slot = Some((req.pool.clone(), now));
        if self.fingerprint_blocked(self.requests[&id].arrival.digest) {
            return self.give_up(now, id, Reason::Quarantined, None);
        }
        if !self.step_allowed(now, id) && !self.cfg.faults.no_last_check {
            self.release_slot(now, id);
            return self.plan(now, id);
        }
        let Some(server) = self.pick(now, id) else {
            let after = self.retry_after(now, id);
            return self.give_up(now, id, Reason::NoServer, after);
        };
        let Some(req) = self.requests.get_mut(&id) else {
            return;
        };
        if req.once {
            return self.claim(now, id, server);
        }
        req.attempts += 1;
        req.phase = Phase::Running;
        let at = req.next_id();
        let version = req.version().cloned();
        self.dispatch_as(now, id, server, at, version, DispatchKind::Run);
    }

    /// Whether a claimed request may still go to its backend server.
    pub(super) fn still_allowed(&self, now: MonoTime, id: RequestId, target: &ServerLife) -> bool {
        self.step_allowed(now, id) && self.balance.accepts_requests(now, *target)
    }

    pub(super) fn step_allowed(&self, now: MonoTime, id: RequestId) -> bool {
        let Some(req) = self.requests.get(&id) else {
            return false;
        };
        let Some(version) = req.version() else {
            return true;
        };
        let usable = self.view.usable(now, &req.arrival.org, version);
        match usable {
            Usable::Settled | Usable::Rolling(_) => {
                req.session.is_some() || self.exposure.hold_reason(version).is_none()
            }
            // A session stays on a version that is merely held.
            Usable::Held => req.session.is_some(),
            Usable::CutOff | Usable::Withdrawn | Usable::NotAllowed => false,
        }
    }

    pub(super) fn pick(&mut self, now: MonoTime, id: RequestId) -> Option<ServerLife> {
        let req = self.requests.get(&id)?;
        let digest = req.arrival.digest;
        let exclude: Vec<ServerAddr> = req
            .avoid
            .iter()
            .copied()
            .chain(self.suspects.occupied_servers(digest))
            .map(|life| life.addr)
            .collect();
        let version = req.version().cloned();
        let pool = req.pool.clone();
        let route = match &version {
            Some(version) => Route::Version(version),
            None => Route::Service(&pool),
        };
        let input = PickInput {
            route,
            prefix: (req.arrival.prefix != 0).then_some(req.arrival.prefix),
            prompt_tokens: req.arrival.prompt_tokens,
            max_tokens: req.arrival.max_tokens,
            priority: req.priority,
            exclude: &exclude,
            isolated: self.suspects.status(digest) == SuspectStatus::Suspect,
        };
        let pick = self.balance.pick(now, &input)?;
        self.explain.picked(id, &pick);
        Some(pick.server)
    }

    /// Returns when a caller whom no backend server took is to come back: when the first
    /// pause is over, if all asked for one.
    pub(super) fn retry_after(&self, now: MonoTime, id: RequestId) -> Option<Duration> {
        let req = self.requests.get(&id)?;
        let route = match req.version() {
            Some(version) => Route::Version(version),
            None => Route::Service(&req.pool),
        };
        let Some(pause) = self.balance.route_pause(now, route) else {
            return Some(self.cfg.retry_after);
        };
        let draw = hash::unit(&id.to_le_bytes(), "retry-after");
        Some(pause.until().saturating_sub(now) + pause.jitter(draw))
    }

    /// Counts an attempt on its backend server.
    pub(super) fn enter_server(&mut self, id: RequestId, server: ServerLife, alone: bool) {
        let Some(req) = self.requests.get(&id) else {
            return;
        };
        let digest = req.arrival.digest;
        let prefix = (req.arrival.prefix != 0).then_some(req.arrival.prefix);
        self.balance.started(server.addr, prefix, alone);
        self.suspects.started(digest, server);
    }

    /// Counts the end of an attempt on its backend server.
    pub(super) fn leave_server(
        &mut self,
        now: MonoTime,
        id: RequestId,
        run: &Running,
        end: AttemptEnd,
    ) {
        let Some(req) = self.requests.get(&id) else {
            return;
        };
        let digest = req.arrival.digest;
        // Only a run from its start tells how long one takes.
        let whole = end == AttemptEnd::Whole && run.kind == DispatchKind::Run;
        let took = whole.then(|| now.saturating_sub(run.since));
        // As it was when it started: a suspect that was cleared meanwhile would
        // else leave its backend server marked as kept for it.
        self.balance.finished(run.server.addr, run.alone, took);
        match end {
            AttemptEnd::Whole | AttemptEnd::Alive => {
                self.suspects.finished(digest, run.server, false);
                self.balance.answered(run.server.addr);
                self.servers.renew_lease(now, run.server.addr);
            }
            // A request that was never there is not suspected of the death:
            // two backend servers that are down would quarantine it.
            AttemptEnd::Unsent => self.suspects.finished(digest, run.server, false),
            AttemptEnd::Lost => {
                self.lost.push_back((now, run.server, digest));
                super::keep_newest(&mut self.lost, super::MAX_LOST);
            }
        }
    }

    /// Gives the slot of a request back and lets others start.
    pub(super) fn release_slot(&mut self, now: MonoTime, id: RequestId) {
        let Some(req) = self.requests.get_mut(&id) else {
            return;
        };
        let Some((pool, since)) = req.slot.take() else {
            return;
        };
        self.admission
            .finished(&pool, id, now.saturating_sub(since));
        self.pump_wanted = true;
    }

    /// Lets waiting requests start.
    pub(super) fn pump(&mut self, now: MonoTime) {
        while std::mem::take(&mut self.pump_wanted) {
            for id in self.admission.next(now) {
                self.start(now, id);
            }
        }
    }

    /// Ends a request that cannot be served, once it is known whether it ran.
    ///
    /// The final answer goes out at once. Only a request with a key waits for
    /// one look at its claim: another entry may have run it, and "not run"
    /// must be true.
    pub(super) fn give_up(
        &mut self,
        now: MonoTime,
        id: RequestId,
        reason: Reason,
        retry_after: Option<Duration>,
    ) {
        let refusal = self.refusal(reason, retry_after);
        self.release_slot(now, id);
        let Some(req) = self.requests.get(&id) else {
            return;
        };
        if req.once && !self.cfg.faults.claim_not_run {
            return self.look(now, id, refusal);
        }
        let outcome = req.outcome();
        self.refuse_as(now, id, refusal, outcome);
    }

    /// Ends a request by a refusal.
    pub(super) fn refuse(
        &mut self,
        now: MonoTime,
        id: RequestId,
        reason: Reason,
        outcome: RunOutcome,
        retry_after: Option<Duration>,
    ) {
        let refusal = self.refusal(reason, retry_after);
        self.refuse_as(now, id, refusal, outcome);
    }

    /// Ends a request by a refusal with this outcome.
    pub(super) fn refuse_as(
        &mut self,
        now: MonoTime,
        id: RequestId,
        mut refusal: Refusal,
        outcome: RunOutcome,
    ) {
        refusal.outcome = outcome;
        self.out.push(EntryAction::Refuse {
            request: id,
            refusal: refusal.clone(),
        });
        self.drop_others(now, id, 0);
        self.end_refused(now, id, refusal);
    }

    /// Makes a refusal; its outcome is set when it is known.
    pub(super) fn refusal(&self, reason: Reason, retry_after: Option<Duration>) -> Refusal {
        Refusal {
            reason,
            outcome: RunOutcome::Unknown,
            retry_after,
            detail: reason.sentence().into(),
        }
    }

    fn takes(&self, max_tokens: u32) -> Duration {
        Duration::from_secs_f64(f64::from(max_tokens) / EXPECTED_SPEED)
    }

    fn rater_answers(&self, now: MonoTime) -> bool {
        self.cfg.has_rater && now >= self.rater_silent_until && !self.quality.rater_distrusted()
    }
}

/// What decides on which side of a roll-out's share a request falls: a session
/// stays on its side.
fn draw_key(req: &super::request::Request) -> Vec<u8> {
    use super::event::SessionRef;

    match &req.arrival.session {
        Some(SessionRef::Name(name) | SessionRef::New(name)) => name.as_bytes().to_vec(),
        Some(SessionRef::Token(token)) => token.session.as_bytes().to_vec(),
        None => req.arrival.request.to_le_bytes().to_vec(),
    }
}

fn wants(wanted: &Wanted, full: &VersionId, session_model: Option<&ModelId>) -> bool {
    let model = crate::ids::split_version(full).map(|(model, _)| model);
    match (wanted, session_model) {
        (Wanted::Service(_), _) => false,
        (Wanted::Auto, Some(name)) => name == ANY_MODEL || model == Some(name),
        (Wanted::Auto, None) => true,
        (Wanted::Model(name), _) => model == Some(name),
        (Wanted::Version(name), _) => full == name,
    }
}
