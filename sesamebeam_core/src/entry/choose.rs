//! Selection of the plan, queue slot and backend server of a request.

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
        RunningAttempt, //
    },
    view::Availability, //
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
    message::record::ServerIncarnation,
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
            PlanChoice,
            PlanInput, //
        },
        suspects::SuspectStatus, //
    },
};

/// Assumed generation speed of a stream, in tokens per second.
const EXPECTED_TOKENS_PER_SECOND: f64 = 40.0;

/// Assumed duration of a call to a plain service.
const SERVICE_DURATION: Duration = Duration::from_millis(50);

impl EntryCore {
    /// Chooses the plan of a request without a session.
    pub(super) fn choose_plan(&mut self, now: MonoTime, id: RequestId) -> Result<Plan, Reason> {
        let planned = self.plan_versions(now, id, None)?;
        self.explain.planned(id, &planned);
        Ok(planned.plan)
    }

    /// Chooses the version to pin a session to; of a cascade, the stronger one.
    pub(super) fn choose_pinned_version(
        &mut self,
        now: MonoTime,
        id: RequestId,
        model: &ModelId,
    ) -> Result<VersionId, Reason> {
        let planned = self.plan_versions(now, id, Some(model))?;
        self.explain.planned(id, &planned);
        Ok(match planned.plan {
            Plan::Single(version) => version,
            Plan::Cascade { then, .. } => then,
        })
    }

    fn plan_versions(
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
            time_left: req.time_left(now),
            rater_available: self.rater_available(now),
            draw: hash::unit(&id.to_le_bytes(), "plan"),
        };
        self.planner.plan(&self.quality, &input).ok_or(none)
    }

    /// Returns the versions that a request may use and that are loaded on some
    /// backend server, and whether any requested version is on the
    /// organisation's list.
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
        let rollout_key = rollout_key(req);
        let mut any = false;
        let mut out = Vec::new();
        for full in self.view.allowed(&req.arrival.org) {
            if !is_candidate(&req.arrival.wanted, full, session_model) {
                continue;
            }
            any = true;
            let usable = self.view.availability(now, &req.arrival.org, full);
            if !matches!(usable, Availability::Settled | Availability::Rolling(_)) {
                continue;
            }
            let permit = self.exposure.permit(full, class, &rollout_key, false);
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
                expected_duration: self.expected_duration(req.arrival.max_tokens),
            });
        }
        (out, any)
    }

    /// Returns whether a request fingerprint is quarantined for crashing
    /// backend servers.
    pub(super) fn is_quarantined(&self, digest: Digest) -> bool {
        self.suspects.status(digest) == SuspectStatus::Quarantined
    }

    /// Requests a slot in the pool.
    pub(super) fn enqueue(&mut self, now: MonoTime, id: RequestId) {
        self.release_slot(now, id);
        let Some(req) = self.requests.get(&id) else {
            return;
        };
        if let Wanted::Service(pool) = &req.arrival.wanted
            && !self.balance.serves(Route::Service(pool))
        {
            // No backend server would become available by waiting.
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
                Wanted::Service(_) => SERVICE_DURATION,
                _ => self.expected_duration(req.arrival.max_tokens),
            },
        };
        match self.admission.submit(now, ticket) {
            AdmissionOutcome::Run => self.start_request(now, id),
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

    /// Starts a request that got a slot. All checks are repeated, since its
    /// version may have been withdrawn or held while it was queued.
    pub(super) fn start_request(&mut self, now: MonoTime, id: RequestId) {
        let Some(req) = self.requests.get_mut(&id) else {
            return;
        };
        req.slot = Some((req.pool.clone(), now));
        if self.is_quarantined(self.requests[&id].arrival.digest) {
            return self.give_up(now, id, Reason::Quarantined, None);
        }
        if !self.step_allowed(now, id) && !self.cfg.faults.no_last_check {
            self.release_slot(now, id);
            return self.plan(now, id);
        }
        let Some(server) = self.pick_server(now, id) else {
            let after = self.retry_after(now, id);
            return self.give_up(now, id, Reason::NoServer, after);
        };
        let Some(req) = self.requests.get_mut(&id) else {
            return;
        };
        if req.at_most_once {
            return self.claim(now, id, server);
        }
        req.attempts += 1;
        req.phase = Phase::Running;
        let at = req.attempt_id();
        let version = req.version().cloned();
        self.dispatch(now, id, server, at, version, DispatchKind::Run);
    }

    /// Returns whether a claimed request may still be sent to its backend server.
    pub(super) fn dispatch_allowed(
        &self,
        now: MonoTime,
        id: RequestId,
        target: &ServerIncarnation,
    ) -> bool {
        self.step_allowed(now, id) && self.balance.accepts_requests(now, *target)
    }

    pub(super) fn step_allowed(&self, now: MonoTime, id: RequestId) -> bool {
        let Some(req) = self.requests.get(&id) else {
            return false;
        };
        let Some(version) = req.version() else {
            return true;
        };
        let usable = self.view.availability(now, &req.arrival.org, version);
        match usable {
            Availability::Settled | Availability::Rolling(_) => {
                req.session.is_some() || self.exposure.hold_reason(version).is_none()
            }
            // Existing sessions stay on a held version.
            Availability::Held => req.session.is_some(),
            Availability::CutOff | Availability::Withdrawn | Availability::NotAllowed => false,
        }
    }

    pub(super) fn pick_server(
        &mut self,
        now: MonoTime,
        id: RequestId,
    ) -> Option<ServerIncarnation> {
        let req = self.requests.get(&id)?;
        let digest = req.arrival.digest;
        let exclude: Vec<ServerAddr> = req
            .avoid
            .iter()
            .copied()
            .chain(self.suspects.occupied_servers(digest))
            .map(|incarnation| incarnation.addr)
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

    /// Returns the `Retry-After` for a request that no backend server accepted:
    /// the end of the earliest pause if all backend servers asked for one.
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

    /// Records the start of an attempt on its backend server.
    pub(super) fn record_start(&mut self, id: RequestId, server: ServerIncarnation, alone: bool) {
        let Some(req) = self.requests.get(&id) else {
            return;
        };
        let digest = req.arrival.digest;
        let prefix = (req.arrival.prefix != 0).then_some(req.arrival.prefix);
        self.balance.started(server.addr, prefix, alone);
        self.suspects.started(digest, server);
    }

    /// Records the end of an attempt on its backend server.
    pub(super) fn record_end(
        &mut self,
        now: MonoTime,
        id: RequestId,
        run: &RunningAttempt,
        end: AttemptEnd,
    ) {
        let Some(req) = self.requests.get(&id) else {
            return;
        };
        let digest = req.arrival.digest;
        // Only runs observed from their start give a duration.
        let whole = end == AttemptEnd::Whole && run.kind == DispatchKind::Run;
        let took = whole.then(|| now.saturating_sub(run.since));
        // Uses `alone` as of the start: if the fingerprint was cleared
        // meanwhile, the backend server would otherwise stay reserved for it.
        self.balance.finished(run.server.addr, run.alone, took);
        match end {
            AttemptEnd::Whole | AttemptEnd::Alive => {
                self.suspects.finished(digest, run.server, false);
                self.balance.answered(run.server.addr);
                self.servers.renew_lease(now, run.server.addr);
            }
            // A request that was not sent is no possible cause of a crash;
            // otherwise two unreachable backend servers would quarantine it.
            AttemptEnd::Unsent => self.suspects.finished(digest, run.server, false),
            AttemptEnd::Lost => {
                self.broken_attempts.push_back((now, run.server, digest));
                super::keep_newest(&mut self.broken_attempts, super::MAX_CRASH_RECORDS);
            }
        }
    }

    /// Releases the slot of a request.
    pub(super) fn release_slot(&mut self, now: MonoTime, id: RequestId) {
        let Some(req) = self.requests.get_mut(&id) else {
            return;
        };
        let Some((pool, since)) = req.slot.take() else {
            return;
        };
        self.admission
            .finished(&pool, id, now.saturating_sub(since));
        self.queue_check_due = true;
    }

    /// Starts queued requests while slots are free.
    pub(super) fn start_queued(&mut self, now: MonoTime) {
        while std::mem::take(&mut self.queue_check_due) {
            for id in self.admission.next(now) {
                self.start_request(now, id);
            }
        }
    }

    /// Refuses a request that cannot be served, with its correct outcome.
    ///
    /// A request that must run at most once first has its claim looked up:
    /// another entry may have run it, and "not run" must be true. All others are
    /// refused immediately.
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
        if req.at_most_once && !self.cfg.faults.claim_not_run {
            return self.look_up_claim(now, id, refusal);
        }
        let outcome = req.outcome();
        self.refuse_with(now, id, refusal, outcome);
    }

    /// Refuses a request with a known outcome.
    pub(super) fn refuse(
        &mut self,
        now: MonoTime,
        id: RequestId,
        reason: Reason,
        outcome: RunOutcome,
        retry_after: Option<Duration>,
    ) {
        let refusal = self.refusal(reason, retry_after);
        self.refuse_with(now, id, refusal, outcome);
    }

    /// Sends a refusal with this outcome and ends the request.
    pub(super) fn refuse_with(
        &mut self,
        now: MonoTime,
        id: RequestId,
        mut refusal: Refusal,
        outcome: RunOutcome,
    ) {
        refusal.outcome = outcome;
        self.actions.push(EntryAction::Refuse {
            request: id,
            refusal: refusal.clone(),
        });
        self.drop_other_attempts(now, id, 0);
        self.end_refused(now, id, refusal);
    }

    /// Creates a refusal whose outcome is not known yet.
    pub(super) fn refusal(&self, reason: Reason, retry_after: Option<Duration>) -> Refusal {
        Refusal {
            reason,
            outcome: RunOutcome::Unknown,
            retry_after,
            detail: reason.description().into(),
        }
    }

    fn expected_duration(&self, max_tokens: u32) -> Duration {
        Duration::from_secs_f64(f64::from(max_tokens) / EXPECTED_TOKENS_PER_SECOND)
    }

    fn rater_available(&self, now: MonoTime) -> bool {
        self.cfg.has_rater && now >= self.rater_disabled_until && !self.quality.rater_distrusted()
    }
}

/// Returns the hash key that decides whether a request falls into the share of a
/// rollout. All requests of a session have the same key.
fn rollout_key(req: &super::request::Request) -> Vec<u8> {
    use super::event::SessionRef;

    match &req.arrival.session {
        Some(SessionRef::Name(name) | SessionRef::New(name)) => name.as_bytes().to_vec(),
        Some(SessionRef::Token(token)) => token.session.as_bytes().to_vec(),
        None => req.arrival.request.to_le_bytes().to_vec(),
    }
}

fn is_candidate(wanted: &Wanted, full: &VersionId, session_model: Option<&ModelId>) -> bool {
    let model = crate::ids::split_version(full).map(|(model, _)| model);
    match (wanted, session_model) {
        (Wanted::Service(_), _) => false,
        (Wanted::Auto, Some(name)) => name == ANY_MODEL || model == Some(name),
        (Wanted::Auto, None) => true,
        (Wanted::Model(name), _) => model == Some(name),
        (Wanted::Version(name), _) => full == name,
    }
}
