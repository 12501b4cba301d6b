//! Requests that must run at most once: claim, send, end.

use super::{
    EntryCore,
    ask::AskFor,
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
            ServerLife,
            Usage, //
        }, //
    },
    policy::suspects::SuspectStatus,
};

impl EntryCore {
    /// Claims a request for a backend server. Nothing is sent before the claim
    /// is committed: two entries that hold the same resend would otherwise
    /// both run it, and the caller would be billed twice.
    pub(super) fn claim(&mut self, now: MonoTime, id: RequestId, target: ServerLife) {
        let Some(req) = self.requests.get_mut(&id) else {
            return;
        };
        if req.claim_key().is_none() {
            return;
        }
        req.attempts += 1;
        if self.cfg.faults.send_unclaimed {
            req.phase = Phase::Running;
            let (at, version) = (req.next_id(), req.version().cloned());
            return self.dispatch_as(now, id, target, at, version, DispatchKind::Run);
        }
        req.phase = Phase::Claiming(target, now);
        if let Some(claim) = self.claim_request(id, target) {
            self.ask(
                AskFor::Claim(id),
                ControlRequest::Claim(claim),
                self.cfg.claim_timeout,
            );
        }
    }

    /// Answer to a claim.
    pub(super) fn claimed(&mut self, now: MonoTime, id: RequestId, reply: ClaimReply) {
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
                    id: req.next_id(),
                    target,
                    send_by: asked + self.cfg.dispatch_window,
                });
                req.replaces = generation;
                self.send_claimed(now, id, target);
            }
            ClaimReply::Existing(view) => {
                self.release_slot(now, id);
                self.existing(now, id, view);
            }
            ClaimReply::Conflict => {
                self.release_slot(now, id);
                self.refuse(now, id, Reason::KeyReused, RunOutcome::NotRun, None);
            }
        }
    }

    /// The answer to a claim was lost. It may have been written, and another
    /// entry may hold the key: nothing can be said of it now.
    pub(super) fn claim_lost(&mut self, now: MonoTime, id: RequestId) {
        let Some(req) = self.requests.get(&id) else {
            return;
        };
        let Phase::Claiming(target, _) = req.phase else {
            return;
        };
        if let Some(lost) = self.claim_request(id, target) {
            self.remember_lost(lost);
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

    /// Makes the claim of a request's present attempt. Made again after a lost
    /// answer it is the same, so that the control group takes both as one.
    fn claim_request(&self, id: RequestId, target: ServerLife) -> Option<ClaimRequest> {
        let req = self.requests.get(&id)?;
        Some(ClaimRequest {
            key: req.claim_key()?,
            digest: req.arrival.digest,
            request: req.next_id(),
            claimant: self.me(),
            target,
            version: req.version().cloned(),
            class: req.class.clone(),
            window: self.cfg.dispatch_window,
            replaces: req.replaces,
        })
    }

    /// Acts on a claim that was there before.
    pub(super) fn existing(&mut self, now: MonoTime, id: RequestId, view: ClaimView) {
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
            ClaimState::Open if view.claimant == self.me() => self.existing_own(now, id, view),
            ClaimState::Open | ClaimState::Unknown => self.attach(now, id, view),
        }
    }

    /// Answer to a look-up of a claim before a refusal.
    pub(super) fn looked(&mut self, now: MonoTime, id: RequestId, view: Option<Option<ClaimView>>) {
        let Some(req) = self.requests.get(&id) else {
            return;
        };
        let Phase::Looking(refusal) = req.phase.clone() else {
            return;
        };
        match view {
            None => self.refuse_as(now, id, refusal, RunOutcome::Unknown),
            Some(None) => self.refuse_as(now, id, refusal, RunOutcome::NotRun),
            Some(Some(view)) => match view.state {
                ClaimState::Abandoned => self.refuse_as(now, id, refusal, RunOutcome::NotRun),
                _ => self.existing(now, id, view),
            },
        }
    }

    /// The record that this entry's own claim is abandoned.
    pub(super) fn abandoned(&mut self, now: MonoTime, id: RequestId, recorded: bool) {
        let Some(req) = self.requests.get_mut(&id) else {
            return;
        };
        if !matches!(req.phase, Phase::Abandoning) {
            return;
        }
        req.claim = None;
        req.maybe_ran = false;
        if !recorded {
            // Another entry took the claim over, so its state decides.
            return self.look(now, id, self.refusal(Reason::InProgress, None));
        }
        if req.left(now).is_zero() || req.attempts >= self.cfg.max_attempts {
            let after = Some(self.cfg.retry_after);
            return self.refuse(now, id, Reason::NoServer, RunOutcome::NotRun, after);
        }
        self.plan(now, id);
    }

    /// Gives a claim up of which it is proved that nothing ran, to try anew.
    pub(super) fn abandon(&mut self, now: MonoTime, id: RequestId) {
        let Some(req) = self.requests.get_mut(&id) else {
            return;
        };
        let (Some(claim), Some(key)) = (req.claim.take(), req.claim_key()) else {
            return;
        };
        req.phase = Phase::Abandoning;
        let end = self.end_of(&key, claim.generation, claim.id);
        self.end_claim(now, end, Some(id));
    }

    /// Ends a claim whose fate nobody can tell any more.
    pub(super) fn end_unknown(
        &mut self,
        now: MonoTime,
        key: ClaimKey,
        generation: Generation,
        id: RequestId,
    ) {
        let mut end = self.end_of(&key, generation, id);
        end.end = ClaimEnd::Unknown;
        self.end_claim(now, end, None);
    }

    /// Makes the end of a claim under which nothing ran.
    pub(super) fn end_of(
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

    /// A backend server told what it knows of a cancelled id.
    pub(super) fn cancelled(&mut self, now: MonoTime, id: RequestId, known: ServerKnows) {
        let Some(req) = self.requests.get(&id) else {
            return;
        };
        match req.phase.clone() {
            Phase::CancellingOwn(target) => {
                if known == (ServerKnows::Never { life: target }) {
                    self.abandon(now, id);
                } else {
                    self.lose_own(now, id);
                }
            }
            Phase::CancellingOther(view) => self.cancelled_other(now, id, view, known),
            _ => {}
        }
    }

    /// "Never had it" counts only from the life that the claim names, after a
    /// cancel there, after the window with its network bound, and after the
    /// claimant's lease. A restarted backend server has forgotten what it ran,
    /// and a request sent in the window may still be in the network: taking
    /// the claim over sooner would run it twice.
    fn cancelled_other(
        &mut self,
        now: MonoTime,
        id: RequestId,
        view: ClaimView,
        known: ServerKnows,
    ) {
        let never = known == (ServerKnows::Never { life: view.target });
        let over = view.window_over && view.claimant_gone;
        if never && over && view.state == ClaimState::Open {
            if let Some(req) = self.requests.get_mut(&id) {
                req.replaces = view.generation;
            }
            return self.plan(now, id);
        }
        self.attach_failed(now, id, view);
    }

    /// Reads the stream that another entry's claim, or an earlier one, started.
    fn attach(&mut self, now: MonoTime, id: RequestId, view: ClaimView) {
        let known = self.servers.get(view.target.addr).map(|s| s.incarnation);
        // A backend server that this entry has not heard of may be alive.
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
        self.dispatch_as(now, id, target, at, version, kind);
    }

    /// A claim's stream is not to be had.
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
                    self.end_unknown(now, key, view.generation, view.request);
                }
                self.refuse(now, id, Reason::ServerLost, RunOutcome::Unknown, None);
            }
            // Its claimant may yet end it: the caller is told when to ask again.
            _ => {
                let after = Some(self.cfg.retry_after);
                self.refuse(now, id, Reason::InProgress, RunOutcome::Unknown, after);
            }
        }
    }

    /// Looks a claim up before a refusal can say whether the request ran.
    pub(super) fn look(&mut self, now: MonoTime, id: RequestId, refusal: Refusal) {
        let Some(req) = self.requests.get_mut(&id) else {
            return;
        };
        let Some(key) = req.claim_key() else {
            return self.refuse_as(now, id, refusal, RunOutcome::NotRun);
        };
        req.phase = Phase::Looking(refusal);
        self.ask(
            AskFor::Look(id),
            ControlRequest::Look(key),
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
        let mut headers = req.headers();
        headers.version = view.version;
        self.out.push(EntryAction::Replay {
            request: id,
            answer,
            headers,
        });
        self.end(now, id, true, None);
    }

    /// Sends a claimed request, after every check once more: the wait for the
    /// claim is where a withdrawal or a stop of the backend server slips in.
    fn send_claimed(&mut self, now: MonoTime, id: RequestId, target: ServerLife) {
        let Some(req) = self.requests.get(&id) else {
            return;
        };
        let send_by = req.claim.as_ref().map_or(now, |claim| claim.send_by);
        if now >= send_by || !self.still_allowed(now, id, &target) {
            self.release_slot(now, id);
            return self.abandon(now, id);
        }
        let at = req.next_id();
        let version = req.version().cloned();
        if let Some(req) = self.requests.get_mut(&id) {
            req.phase = Phase::Running;
            req.maybe_ran = true;
        }
        self.dispatch_as(now, id, target, at, version, DispatchKind::Run);
    }

    /// Sends one attempt.
    pub(super) fn dispatch_as(
        &mut self,
        now: MonoTime,
        id: RequestId,
        server: ServerLife,
        at: RequestId,
        version: Option<crate::ids::VersionId>,
        kind: DispatchKind,
    ) {
        let progress = self.cfg.progress_timeout;
        let keep_sample = self.samples(id);
        let Some(req) = self.requests.get_mut(&id) else {
            return;
        };
        req.sent += 1;
        let attempt = req.sent;
        let hold = req.holds();
        let alone = self.suspects.status(req.arrival.digest) == SuspectStatus::Suspect;
        let send_by = match (&kind, &req.claim) {
            (DispatchKind::Run, Some(claim)) => claim.send_by,
            _ => now + self.cfg.dispatch_window,
        };
        req.running.push(super::request::Running {
            attempt,
            id: at,
            server,
            version: version.clone(),
            kind,
            since: now,
            held: hold,
            alone,
            first: false,
        });
        let mut headers = req.headers();
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
            keep: req.once || hold || keep_sample,
            progress,
            send_by,
            headers,
        };
        self.explain.dispatched(&dispatch);
        self.enter_server(id, server, alone);
        self.out.push(EntryAction::Dispatch(dispatch));
    }

    /// Acts on an open claim of this entry's own, found by another request with
    /// the same key.
    ///
    /// The view may be older than what happened here since: the claim's request
    /// may just get its grant, or have ended. Abandoned on the strength of such
    /// a view, it runs a second time under the next generation. So a claim is
    /// taken back only if its answer was lost here, after which it is never
    /// sent under.
    fn existing_own(&mut self, now: MonoTime, id: RequestId, view: ClaimView) {
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
        if !self.pending.is_lost(view.request) && !self.cfg.faults.retake_early {
            return self.attach(now, id, view);
        }
        let Some(req) = self.requests.get_mut(&id) else {
            return;
        };
        req.replaces = view.generation;
        req.phase = Phase::Abandoning;
        let end = self.end_of(&key, view.generation, view.request);
        self.end_claim(now, end, Some(id));
    }
}
