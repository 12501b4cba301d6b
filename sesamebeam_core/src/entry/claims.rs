//! Claims on idempotency keys, for requests that must run at most once.

use super::{
    EntryCore,
    control_requests::ControlPurpose,
    event::{
        Dispatch,
        DispatchKind,
        EntryAction,
        ServerKnows, //
    },
    refusal::{
        Reason,
        Refusal,
        RunOutcome, //
    },
    request::{
        HeldClaim,
        Phase, //
    },
};
use crate::{
    ids::{
        Generation,
        MonoTime,
        RequestId, //
    },
    message::{
        control::ControlRequest,
        record::{
            ClaimEnd,
            ClaimKey,
            ClaimReply,
            ClaimRequest,
            ClaimState,
            ClaimView,
            CompleteRequest,
            Completed,
            ServerIncarnation,
            Usage, //
        }, //
    },
    policy::suspects::SuspectStatus,
};

impl EntryCore {
    /// Claims the key of a request for a backend server. Nothing is sent before
    /// the claim is committed. Otherwise two entries that receive the same
    /// request could both run it, and the caller would be billed twice.
    pub(super) fn claim(&mut self, now: MonoTime, id: RequestId, target: ServerIncarnation) {
        let Some(req) = self.requests.get_mut(&id) else {
            return;
        };
        if req.claim_key().is_none() {
            return;
        }
        req.attempts += 1;
        if self.cfg.faults.send_unclaimed {
            req.phase = Phase::Running;
            let (at, version) = (req.attempt_id(), req.version().cloned());
            return self.dispatch(now, id, target, at, version, DispatchKind::Run);
        }
        req.phase = Phase::Claiming(target, now);
        if let Some(claim) = self.claim_request(id, target) {
            self.send_control(
                ControlPurpose::Claim(id),
                ControlRequest::Claim(claim),
                self.cfg.claim_timeout,
            );
        }
    }

    /// Handles the reply to a claim.
    pub(super) fn handle_claim_reply(&mut self, now: MonoTime, id: RequestId, reply: ClaimReply) {
        let Some(req) = self.requests.get_mut(&id) else {
            return;
        };
        let Phase::Claiming(target, asked) = req.phase else {
            return;
        };
        match reply {
            ClaimReply::Granted(generation) => {
                req.claim = Some(HeldClaim {
                    generation,
                    id: req.attempt_id(),
                    target,
                    send_by: asked + self.cfg.dispatch_window,
                });
                req.replaces = generation;
                self.dispatch_claimed(now, id, target);
            }
            ClaimReply::Existing(view) => {
                self.release_slot(now, id);
                self.handle_existing_claim(now, id, view);
            }
            ClaimReply::Conflict => {
                self.release_slot(now, id);
                self.refuse(now, id, Reason::KeyReused, RunOutcome::NotRun, None);
            }
        }
    }

    /// Handles a claim whose reply was lost. It may have been committed, or
    /// another entry may hold the key, so the outcome is unknown.
    pub(super) fn claim_lost(&mut self, now: MonoTime, id: RequestId) {
        let Some(req) = self.requests.get(&id) else {
            return;
        };
        let Phase::Claiming(target, _) = req.phase else {
            return;
        };
        if let Some(lost) = self.claim_request(id, target) {
            self.resolve_lost_claim(lost);
        }
        self.release_slot(now, id);
        let after = Some(self.cfg.retry_after);
        self.refuse(
            now,
            id,
            Reason::ClaimUnreachable,
            RunOutcome::Unknown,
            after,
        );
    }

    /// Creates the claim for the current attempt of a request. It is identical
    /// when created again after a lost reply, so the control group deduplicates
    /// it.
    fn claim_request(&self, id: RequestId, target: ServerIncarnation) -> Option<ClaimRequest> {
        let req = self.requests.get(&id)?;
        Some(ClaimRequest {
            key: req.claim_key()?,
            digest: req.arrival.digest,
            request: req.attempt_id(),
            claimant: self.claimant(),
            target,
            version: req.version().cloned(),
            class: req.class.clone(),
            window: self.cfg.dispatch_window,
            replaces: req.replaces,
        })
    }

    /// Handles a claim that already exists for the key.
    pub(super) fn handle_existing_claim(&mut self, now: MonoTime, id: RequestId, view: ClaimView) {
        let Some(req) = self.requests.get_mut(&id) else {
            return;
        };
        if view.digest != req.arrival.digest {
            return self.refuse(now, id, Reason::KeyReused, RunOutcome::NotRun, None);
        }
        match view.state.clone() {
            ClaimState::Completed(answer) => self.replay(now, id, view, answer),
            ClaimState::Abandoned => {
                req.replaces = view.generation;
                self.plan(now, id);
            }
            ClaimState::Open if view.claimant == self.claimant() => {
                self.handle_own_claim(now, id, view)
            }
            ClaimState::Open | ClaimState::Unknown => self.attach(now, id, view),
        }
    }

    /// Handles the reply to a claim look-up before a refusal; the outer `None` if
    /// there was none, the inner one if the key has no claim.
    pub(super) fn handle_claim_view(
        &mut self,
        now: MonoTime,
        id: RequestId,
        view: Option<Option<ClaimView>>,
    ) {
        let Some(req) = self.requests.get(&id) else {
            return;
        };
        let Phase::LookingUpClaim(refusal) = req.phase.clone() else {
            return;
        };
        match view {
            None => self.refuse_with(now, id, refusal, RunOutcome::Unknown),
            Some(None) => self.refuse_with(now, id, refusal, RunOutcome::NotRun),
            Some(Some(view)) => match view.state {
                ClaimState::Abandoned => self.refuse_with(now, id, refusal, RunOutcome::NotRun),
                _ => self.handle_existing_claim(now, id, view),
            },
        }
    }

    /// Continues after the abandonment of this entry's own claim was answered.
    pub(super) fn handle_abandonment(&mut self, now: MonoTime, id: RequestId, recorded: bool) {
        let Some(req) = self.requests.get_mut(&id) else {
            return;
        };
        if !matches!(req.phase, Phase::Abandoning) {
            return;
        }
        req.claim = None;
        req.maybe_ran = false;
        if !recorded {
            // Another entry took over the claim, so its state decides.
            return self.look_up_claim(now, id, self.refusal(Reason::InProgress, None));
        }
        if req.time_left(now).is_zero() || req.attempts >= self.cfg.max_attempts {
            let after = Some(self.cfg.retry_after);
            return self.refuse(now, id, Reason::NoServer, RunOutcome::NotRun, after);
        }
        self.plan(now, id);
    }

    /// Abandons a claim under which provably nothing ran, to plan again.
    pub(super) fn abandon_claim(&mut self, now: MonoTime, id: RequestId) {
        let Some(req) = self.requests.get_mut(&id) else {
            return;
        };
        let (Some(claim), Some(key)) = (req.claim.take(), req.claim_key()) else {
            return;
        };
        req.phase = Phase::Abandoning;
        let end = self.abandonment(&key, claim.generation, claim.id);
        self.complete_claim(now, end, Some(id));
    }

    /// Completes a claim with an unknown outcome.
    pub(super) fn complete_unknown(
        &mut self,
        now: MonoTime,
        key: ClaimKey,
        generation: Generation,
        id: RequestId,
    ) {
        let mut end = self.abandonment(&key, generation, id);
        end.end = ClaimEnd::Unknown;
        self.complete_claim(now, end, None);
    }

    /// Creates the completion of a claim under which nothing ran.
    pub(super) fn abandonment(
        &self,
        key: &ClaimKey,
        generation: Generation,
        request: RequestId,
    ) -> CompleteRequest {
        CompleteRequest {
            key: key.clone(),
            generation,
            request,
            end: ClaimEnd::Abandoned,
            usage: Usage::default(),
            at: self.unix,
        }
    }

    /// Handles the reply of a backend server to a cancel.
    pub(super) fn handle_cancel_reply(&mut self, now: MonoTime, id: RequestId, known: ServerKnows) {
        let Some(req) = self.requests.get(&id) else {
            return;
        };
        match req.phase.clone() {
            Phase::CancellingOwn(target) => {
                if known
                    == (ServerKnows::Never {
                        incarnation: target,
                    })
                {
                    self.abandon_claim(now, id);
                } else {
                    self.refuse_outcome_unknown(now, id);
                }
            }
            Phase::CancellingOther(view) => self.handle_other_cancelled(now, id, view, known),
            _ => {}
        }
    }

    /// Takes over another claim if its request provably never ran and never will.
    ///
    /// That requires all of: the backend server never had the id, in the
    /// incarnation that the claim names; it was cancelled there; the dispatch
    /// window and the network bound have passed; the claimant's lease has ended.
    /// A restarted backend server no longer knows what it ran, and a request sent
    /// within the window may still be in transit, so an earlier takeover could
    /// run it twice.
    fn handle_other_cancelled(
        &mut self,
        now: MonoTime,
        id: RequestId,
        view: ClaimView,
        known: ServerKnows,
    ) {
        let never = known
            == (ServerKnows::Never {
                incarnation: view.target,
            });
        let over = view.window_over && view.claimant_gone;
        if never && over && view.state == ClaimState::Open {
            if let Some(req) = self.requests.get_mut(&id) {
                req.replaces = view.generation;
            }
            return self.plan(now, id);
        }
        self.attach_failed(now, id, view);
    }

    /// Attaches to the stream started under an existing claim.
    fn attach(&mut self, now: MonoTime, id: RequestId, view: ClaimView) {
        let known = self.servers.get(view.target.addr).map(|s| s.incarnation);
        // A backend server unknown to this entry may still be alive.
        if known.is_some_and(|incarnation| incarnation != view.target.incarnation) {
            return self.attach_failed(now, id, view);
        }
        let Some(req) = self.requests.get_mut(&id) else {
            return;
        };
        let kind = match &view.version {
            Some(_) => DispatchKind::Resume { events: 0 },
            None => DispatchKind::LookUp,
        };
        let target = view.target;
        let at = view.request;
        let version = view.version.clone();
        req.phase = Phase::Attached(view);
        self.dispatch(now, id, target, at, version, kind);
    }

    /// Refuses a request because the stream of its claim is not available.
    pub(super) fn attach_failed(&mut self, now: MonoTime, id: RequestId, view: ClaimView) {
        match &view.state {
            ClaimState::Completed(_) => {
                self.refuse(now, id, Reason::AnswerGone, RunOutcome::Ran, None);
            }
            ClaimState::Unknown => {
                self.refuse(now, id, Reason::ServerLost, RunOutcome::Unknown, None);
            }
            _ if view.window_over && view.claimant_gone => {
                if let Some(key) = self.requests.get(&id).and_then(|req| req.claim_key()) {
                    self.complete_unknown(now, key, view.generation, view.request);
                }
                self.refuse(now, id, Reason::ServerLost, RunOutcome::Unknown, None);
            }
            // Its claimant may still complete it, so the caller may retry later.
            _ => {
                let after = Some(self.cfg.retry_after);
                self.refuse(now, id, Reason::InProgress, RunOutcome::Unknown, after);
            }
        }
    }

    /// Looks up a claim to determine the outcome of a refusal.
    pub(super) fn look_up_claim(&mut self, now: MonoTime, id: RequestId, refusal: Refusal) {
        let Some(req) = self.requests.get_mut(&id) else {
            return;
        };
        let Some(key) = req.claim_key() else {
            return self.refuse_with(now, id, refusal, RunOutcome::NotRun);
        };
        req.phase = Phase::LookingUpClaim(refusal);
        self.send_control(
            ControlPurpose::LookUpClaim(id),
            ControlRequest::GetClaim(key),
            self.cfg.claim_timeout,
        );
    }

    fn replay(&mut self, now: MonoTime, id: RequestId, view: ClaimView, answer: Completed) {
        if answer.body.is_none() {
            return self.attach(now, id, view);
        }
        let Some(req) = self.requests.get(&id) else {
            return;
        };
        let mut headers = req.response_headers();
        headers.version = view.version;
        self.actions.push(EntryAction::Replay {
            request: id,
            answer,
            headers,
        });
        self.end_answered(now, id, true, None);
    }

    /// Sends a claimed request. All checks are repeated, since its version may
    /// have been withdrawn or its backend server stopped during the claim.
    fn dispatch_claimed(&mut self, now: MonoTime, id: RequestId, target: ServerIncarnation) {
        let Some(req) = self.requests.get(&id) else {
            return;
        };
        let send_by = req.claim.as_ref().map_or(now, |claim| claim.send_by);
        if now >= send_by || !self.dispatch_allowed(now, id, &target) {
            self.release_slot(now, id);
            return self.abandon_claim(now, id);
        }
        let at = req.attempt_id();
        let version = req.version().cloned();
        if let Some(req) = self.requests.get_mut(&id) {
            req.phase = Phase::Running;
            req.maybe_ran = true;
        }
        self.dispatch(now, id, target, at, version, DispatchKind::Run);
    }

    /// Sends one attempt under the backend server id `at`.
    pub(super) fn dispatch(
        &mut self,
        now: MonoTime,
        id: RequestId,
        server: ServerIncarnation,
        at: RequestId,
        version: Option<crate::ids::VersionId>,
        kind: DispatchKind,
    ) {
        let progress = self.cfg.progress_timeout;
        let keep_sample = self.is_sampled(id);
        let Some(req) = self.requests.get_mut(&id) else {
            return;
        };
        req.dispatches += 1;
        let attempt = req.dispatches;
        let hold = req.holds_response();
        let alone = self.suspects.status(req.arrival.digest) == SuspectStatus::Suspect;
        let send_by = match (&kind, &req.claim) {
            (DispatchKind::Run, Some(claim)) => claim.send_by,
            _ => now + self.cfg.dispatch_window,
        };
        req.running.push(super::request::RunningAttempt {
            attempt,
            id: at,
            server,
            version: version.clone(),
            kind,
            since: now,
            held: hold,
            alone,
            responded: false,
        });
        let mut headers = req.response_headers();
        headers.version = version.clone();
        let dispatch = Dispatch {
            request: id,
            attempt,
            id: at,
            server,
            version,
            priority: req.priority,
            prefix: req.arrival.prefix,
            kind,
            hold,
            keep: req.at_most_once || hold || keep_sample,
            progress,
            send_by,
            headers,
        };
        self.explain.dispatched(&dispatch);
        self.record_start(id, server, alone);
        self.actions.push(EntryAction::Dispatch(dispatch));
    }

    /// Handles an open claim of this entry, found by another request with the
    /// same key.
    ///
    /// The view may be stale: the request that holds the claim may just receive
    /// its grant, or have ended. Abandoning the claim because of a stale view
    /// would run the request a second time under the next generation. A claim is
    /// therefore abandoned only if its reply was lost, since nothing is ever sent
    /// under such a claim.
    fn handle_own_claim(&mut self, now: MonoTime, id: RequestId, view: ClaimView) {
        let Some(key) = self.requests.get(&id).and_then(|req| req.claim_key()) else {
            return;
        };
        if let Some(pending) = self.pending.find(&key) {
            if let ClaimEnd::Completed(answer) = pending.end.clone() {
                return self.replay(now, id, view, answer);
            }
            let after = Some(self.cfg.retry_after);
            return self.refuse(now, id, Reason::InProgress, RunOutcome::Unknown, after);
        }
        if !self.pending.is_claim_lost(view.request) && !self.cfg.faults.retake_early {
            return self.attach(now, id, view);
        }
        let Some(req) = self.requests.get_mut(&id) else {
            return;
        };
        req.replaces = view.generation;
        req.phase = Phase::Abandoning;
        let end = self.abandonment(&key, view.generation, view.request);
        self.complete_claim(now, end, Some(id));
    }
}
