//! Life cycle of attempts: progress, broken connections, resumes, retries and
//! completion.

use super::{
    EntryCore,
    event::{
        Attempt,
        AttemptReport,
        DispatchKind,
        EntryAction,
        Finished,
        ServerKnows,
        ServerRefusal, //
    },
    refusal::{
        Reason,
        RunOutcome, //
    },
    request::{
        AttemptEnd,
        Phase,
        RunningAttempt, //
    },
};
use crate::{
    ids::{
        MonoTime,
        RequestId, //
    },
    message::record::{
        ClaimEnd,
        CompleteRequest, //
    },
};

impl EntryCore {
    /// Handles a report on an attempt.
    pub(super) fn handle_report(
        &mut self,
        now: MonoTime,
        id: RequestId,
        attempt: Attempt,
        report: AttemptReport,
    ) {
        let Some(req) = self.requests.get_mut(&id) else {
            return;
        };
        let Some(at) = req.running.iter().position(|r| r.attempt == attempt) else {
            // A late report on an attempt that was already dropped.
            return;
        };
        if report == AttemptReport::Started {
            return self.attempt_started(now, id, at);
        }
        let run = req.running.remove(at);
        self.explain.reported(id, &run, &report);
        match report {
            AttemptReport::Started => {}
            AttemptReport::Finished(finished) => self.attempt_finished(now, id, run, finished),
            AttemptReport::ConnectFailed { refused } => {
                self.connect_failed(now, id, run, refused);
            }
            AttemptReport::Late => self.dispatch_expired(now, id, run),
            AttemptReport::Refused(why) => self.refused_by_server(now, id, run, why),
            AttemptReport::Broken { events } => self.attempt_broken(now, id, run, events, false),
            AttemptReport::Stalled { events } => self.attempt_broken(now, id, run, events, true),
            AttemptReport::NotThere(known) => self.stream_missing(now, id, run, known),
        }
    }

    fn attempt_started(&mut self, now: MonoTime, id: RequestId, at: usize) {
        let Some(req) = self.requests.get_mut(&id) else {
            return;
        };
        let run = &mut req.running[at];
        run.responded = true;
        let run = run.clone();
        req.resumes = 0;
        if !run.held && req.arrival.streamed {
            req.response_started = true;
        }
        self.server_responded(now, &run);
        self.drop_other_attempts(now, id, run.attempt);
    }

    fn attempt_finished(
        &mut self,
        now: MonoTime,
        id: RequestId,
        run: RunningAttempt,
        finished: Finished,
    ) {
        self.record_end(now, id, &run, AttemptEnd::Whole);
        self.balance.pause(now, run.server, finished.retry_after);
        self.drop_other_attempts(now, id, run.attempt);
        let Some(req) = self.requests.get_mut(&id) else {
            return;
        };
        if run.held && finished.answer.status == 200 {
            return self.rate_held(now, id, &run, &finished);
        }
        if req.at_most_once {
            self.record_response(now, id, &run, &finished);
        }
        self.actions.push(EntryAction::Finish { request: id });
        self.observe_response(now, id, &run, &finished);
        self.end_answered(now, id, true, Some(&finished));
    }

    /// Records the response with its billing record. The caller does not wait
    /// for it: the claim already prevents a second run, and the completion is
    /// retried until it is recorded.
    fn record_response(
        &mut self,
        now: MonoTime,
        id: RequestId,
        run: &RunningAttempt,
        finished: &Finished,
    ) {
        let Some(req) = self.requests.get(&id) else {
            return;
        };
        let Some(key) = req.claim_key() else {
            return;
        };
        let generation = match (&req.phase, &req.claim) {
            (Phase::Attached(view), _) => view.generation,
            (_, Some(claim)) => claim.generation,
            (_, None) => return,
        };
        let end = CompleteRequest {
            key,
            generation,
            request: run.id,
            end: ClaimEnd::Completed(finished.answer.clone()),
            usage: finished.usage,
            at: finished.at,
        };
        self.complete_claim(now, end, None);
    }

    /// Handles a failed connection. Nothing was sent, so a run can be retried
    /// safely; the backend server may be down.
    fn connect_failed(&mut self, now: MonoTime, id: RequestId, run: RunningAttempt, refused: bool) {
        let end = match run.kind {
            DispatchKind::Run | DispatchKind::Hedge => AttemptEnd::Unsent,
            DispatchKind::Resume { .. } | DispatchKind::LookUp => AttemptEnd::Lost,
        };
        self.record_end(now, id, &run, end);
        self.server_unreachable(now, &run.server, refused);
        let Some(req) = self.requests.get_mut(&id) else {
            return;
        };
        match (run.kind, req.phase.clone()) {
            (_, Phase::Attached(view)) => self.attach_failed(now, id, view),
            (DispatchKind::Resume { .. }, _) => self.resume_failed(now, id, run),
            (DispatchKind::LookUp, _) => self.refuse_outcome_unknown(now, id),
            (DispatchKind::Run | DispatchKind::Hedge, _) => {
                req.avoid.push(run.server);
                self.retry(now, id, Reason::NoServer);
            }
        }
    }

    /// Handles an attempt whose dispatch window ended before it was sent.
    ///
    /// For a resume or look-up, the request itself was sent before. If it were
    /// considered unsent, its claim would be abandoned and the request run a
    /// second time.
    fn dispatch_expired(&mut self, now: MonoTime, id: RequestId, run: RunningAttempt) {
        self.record_end(now, id, &run, AttemptEnd::Alive);
        let Some(req) = self.requests.get(&id) else {
            return;
        };
        match (run.kind, req.phase.clone()) {
            (_, Phase::Attached(view)) => self.attach_failed(now, id, view),
            (DispatchKind::Run | DispatchKind::Hedge, _) => {
                self.retry(now, id, Reason::DeadlinePassed);
            }
            (DispatchKind::Resume { .. }, _) => self.resume(now, id, run),
            (DispatchKind::LookUp, _) => self.service_call_broken(now, id, run),
        }
    }

    /// Handles a refusal by the backend server, which proves that it did not run
    /// the request.
    fn refused_by_server(
        &mut self,
        now: MonoTime,
        id: RequestId,
        run: RunningAttempt,
        why: ServerRefusal,
    ) {
        self.record_end(now, id, &run, AttemptEnd::Alive);
        let Some(req) = self.requests.get_mut(&id) else {
            return;
        };
        if let Phase::Attached(view) = req.phase.clone() {
            return self.attach_failed(now, id, view);
        }
        match why {
            ServerRefusal::Invalid if req.at_most_once => {
                req.deadline = now;
                self.refuse_invalid(now, id);
            }
            ServerRefusal::Invalid => {
                let outcome = req.outcome();
                self.refuse(now, id, Reason::Rejected, outcome, None);
            }
            ServerRefusal::Busy { .. } | ServerRefusal::NotLoaded | ServerRefusal::Cancelled => {
                req.avoid.push(run.server);
                if let ServerRefusal::Busy { retry_after } = why {
                    self.balance.refused(now, run.server.addr);
                    self.balance.pause(now, run.server, retry_after);
                }
                self.retry(now, id, Reason::Overloaded);
            }
        }
    }

    fn refuse_invalid(&mut self, now: MonoTime, id: RequestId) {
        let Some(req) = self.requests.get_mut(&id) else {
            return;
        };
        if let (Some(claim), Some(key)) = (req.claim.take(), req.claim_key()) {
            let end = self.abandonment(&key, claim.generation, claim.id);
            self.complete_claim(now, end, None);
        }
        self.refuse(now, id, Reason::Rejected, RunOutcome::NotRun, None);
    }

    /// Handles a connection that broke or stalled after the request was sent.
    ///
    /// A middlebox may have lost the state of old connections while new ones
    /// work. A stalled connection therefore closes all older connections to that
    /// backend server, and the stream is resumed on a new one after the events
    /// already received. Only if that fails too is the backend server considered
    /// faulty.
    fn attempt_broken(
        &mut self,
        now: MonoTime,
        id: RequestId,
        run: RunningAttempt,
        events: u64,
        silent: bool,
    ) {
        self.record_end(now, id, &run, AttemptEnd::Lost);
        if silent {
            self.actions.push(EntryAction::CloseConnections {
                server: run.server.addr,
            });
        }
        let Some(req) = self.requests.get_mut(&id) else {
            return;
        };
        if events > req.events {
            req.resumes = 0;
        }
        req.events = events;
        if run.version.is_none() {
            return self.service_call_broken(now, id, run);
        }
        let known = self.servers.get(run.server.addr).map(|s| s.incarnation);
        if known.is_some_and(|incarnation| incarnation != run.server.incarnation) {
            // The backend server restarted and lost the stream.
            return self.stream_lost(now, id, run);
        }
        self.resume(now, id, run);
    }

    fn resume(&mut self, now: MonoTime, id: RequestId, run: RunningAttempt) {
        let Some(req) = self.requests.get_mut(&id) else {
            return;
        };
        if req.resumes >= self.cfg.max_resumes {
            return self.stream_lost(now, id, run);
        }
        req.resumes += 1;
        let events = if run.held { 0 } else { req.events };
        self.dispatch(
            now,
            id,
            run.server,
            run.id,
            run.version,
            DispatchKind::Resume { events },
        );
    }

    /// Handles a resume that could not connect. Further resumes are delayed,
    /// since the recovery of a network path takes longer than a reconnect.
    fn resume_failed(&mut self, now: MonoTime, id: RequestId, run: RunningAttempt) {
        let Some(req) = self.requests.get_mut(&id) else {
            return;
        };
        if req.resumes >= self.cfg.max_resumes {
            return self.stream_lost(now, id, run);
        }
        let pause = self.cfg.resume_pause * req.resumes.max(1);
        req.phase = Phase::ResumeDelayed(now + pause);
        req.delayed_resume = Some(run);
    }

    /// Starts the resumes whose delay is over.
    pub(super) fn start_due_resumes(&mut self, now: MonoTime) {
        let due: Vec<RequestId> = self
            .requests
            .iter()
            .filter(|(_, req)| matches!(req.phase, Phase::ResumeDelayed(at) if at <= now))
            .map(|(id, _)| *id)
            .collect();
        for id in due {
            let Some(req) = self.requests.get_mut(&id) else {
                continue;
            };
            req.phase = Phase::Running;
            if let Some(run) = req.delayed_resume.take() {
                self.resume(now, id, run);
            }
        }
    }

    /// Handles a resume for which the backend server has no stream.
    fn stream_missing(
        &mut self,
        now: MonoTime,
        id: RequestId,
        run: RunningAttempt,
        known: ServerKnows,
    ) {
        self.record_end(now, id, &run, AttemptEnd::Alive);
        let Some(req) = self.requests.get_mut(&id) else {
            return;
        };
        if let Phase::Attached(view) = req.phase.clone() {
            // The request may still be in transit. A cancel only helps if the
            // claim may be taken over. Before that, it could cancel the request
            // on arrival, and another caller would lose its response.
            let over = view.window_over && view.claimant_gone;
            if known
                != (ServerKnows::Never {
                    incarnation: view.target,
                })
                || !over
            {
                return self.attach_failed(now, id, view);
            }
            let action = EntryAction::Cancel {
                request: id,
                id: view.request,
                server: view.target.addr,
            };
            req.phase = Phase::CancellingOther(view);
            return self.actions.push(action);
        }
        if known
            == (ServerKnows::Never {
                incarnation: run.server,
            })
            && req.at_most_once
        {
            // The request was lost or is still in transit. The cancel prevents
            // a run if it arrives late.
            req.phase = Phase::CancellingOwn(run.server);
            return self.actions.push(EntryAction::Cancel {
                request: id,
                id: run.id,
                server: run.server.addr,
            });
        }
        self.stream_lost(now, id, run);
    }

    /// Handles a stream that can no longer be resumed.
    fn stream_lost(&mut self, now: MonoTime, id: RequestId, run: RunningAttempt) {
        self.observe_failure(now, id, &run);
        let Some(req) = self.requests.get_mut(&id) else {
            return;
        };
        if let Phase::Attached(view) = req.phase.clone() {
            return self.attach_failed(now, id, view);
        }
        if req.at_most_once && !self.cfg.faults.rerun_once {
            return self.refuse_outcome_unknown(now, id);
        }
        if req.response_started {
            // The caller already has a part, which another run would not
            // continue.
            let after = Some(self.cfg.retry_after);
            return self.refuse(now, id, Reason::ServerLost, RunOutcome::Unknown, after);
        }
        req.maybe_ran = true;
        req.avoid.push(run.server);
        self.retry(now, id, Reason::ServerLost);
    }

    fn service_call_broken(&mut self, now: MonoTime, id: RequestId, run: RunningAttempt) {
        let Some(req) = self.requests.get_mut(&id) else {
            return;
        };
        if let Phase::Attached(view) = req.phase.clone() {
            return self.attach_failed(now, id, view);
        }
        if !req.at_most_once {
            return self.stream_lost(now, id, run);
        }
        let lookup = self.view.pool(&req.pool).is_some_and(|pool| pool.lookup);
        if !lookup || run.kind == DispatchKind::LookUp {
            return self.refuse_outcome_unknown(now, id);
        }
        self.dispatch(now, id, run.server, run.id, None, DispatchKind::LookUp);
    }

    /// Ends a request whose claim may or may not have run, with an unknown
    /// outcome.
    pub(super) fn refuse_outcome_unknown(&mut self, now: MonoTime, id: RequestId) {
        let Some(req) = self.requests.get_mut(&id) else {
            return;
        };
        if let (Some(claim), Some(key)) = (req.claim.take(), req.claim_key()) {
            self.complete_unknown(now, key, claim.generation, claim.id);
        }
        self.refuse(now, id, Reason::ServerLost, RunOutcome::Unknown, None);
    }

    /// Retries a request within the attempt limit, retry budget and deadline.
    fn retry(&mut self, now: MonoTime, id: RequestId, reason: Reason) {
        let Some(req) = self.requests.get(&id) else {
            return;
        };
        if !req.running.is_empty() {
            // Another attempt is still running.
            return;
        }
        if req.claim.is_some() {
            return self.abandon_claim(now, id);
        }
        if req.attempts >= self.cfg.max_attempts || req.time_left(now).is_zero() {
            let after = self.retry_after(now, id);
            return self.give_up(now, id, reason, after);
        }
        let org = req.arrival.org.clone();
        if !self.retries.try_retry(&org) {
            let after = self.retry_after(now, id);
            return self.give_up(now, id, reason, after);
        }
        self.replan(now, id);
    }

    /// Plans a retry; a cascade in its second step stays there.
    fn replan(&mut self, now: MonoTime, id: RequestId) {
        let Some(req) = self.requests.get(&id) else {
            return;
        };
        if req.second_step {
            return self.enqueue(now, id);
        }
        self.plan(now, id);
    }

    fn rate_held(
        &mut self,
        now: MonoTime,
        id: RequestId,
        run: &RunningAttempt,
        finished: &Finished,
    ) {
        let timeout = self.cfg.rate_timeout;
        let Some(req) = self.requests.get_mut(&id) else {
            return;
        };
        req.phase = Phase::Rating;
        req.held_response = Some(finished.clone());
        req.held_run = Some(run.clone());
        let class = req.class.clone();
        let Some(version) = run.version.clone() else {
            return;
        };
        let timeout = timeout.min(req.time_left(now));
        self.actions.push(EntryAction::RateNow {
            request: id,
            class,
            version,
            timeout,
        });
    }

    /// Handles the score of a held response. Without a score the stronger version
    /// runs, so that an unavailable rating service lets no poor response through.
    pub(super) fn handle_score(&mut self, now: MonoTime, id: RequestId, score: Option<f64>) {
        let Some(req) = self.requests.get_mut(&id) else {
            return;
        };
        if !matches!(req.phase, Phase::Rating) {
            return;
        }
        let (Some(finished), Some(run)) = (req.held_response.take(), req.held_run.take()) else {
            return;
        };
        let good = match &run.version {
            Some(version) => self.score_held(now, id, score, version),
            None => false,
        };
        if good {
            self.actions.push(EntryAction::Release { request: id });
            self.actions.push(EntryAction::Finish { request: id });
            return self.end_answered(now, id, true, Some(&finished));
        }
        let Some(req) = self.requests.get_mut(&id) else {
            return;
        };
        req.second_step = true;
        req.rejected_first = Some(run);
        self.start_step(now, id);
    }

    /// Drops all attempts at a request except `keep`.
    pub(super) fn drop_other_attempts(&mut self, now: MonoTime, id: RequestId, keep: Attempt) {
        let Some(req) = self.requests.get_mut(&id) else {
            return;
        };
        let others: Vec<RunningAttempt> = req
            .running
            .iter()
            .filter(|run| run.attempt != keep)
            .cloned()
            .collect();
        req.running.retain(|run| run.attempt == keep);
        for run in others {
            self.record_end(now, id, &run, AttemptEnd::Alive);
            // A resume or look-up only reads a run that another attempt
            // started, so dropping it does not cancel that run.
            let cancel = matches!(run.kind, DispatchKind::Run | DispatchKind::Hedge);
            self.actions.push(EntryAction::Drop {
                request: id,
                attempt: run.attempt,
                cancel,
            });
        }
    }
}
