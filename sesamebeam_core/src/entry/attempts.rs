//! What happens to attempts: progress, breaks, resumes, retries, the end.

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
        Running, //
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
    /// Takes a report on an attempt.
    pub(super) fn reported(
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
            // A late report on an attempt that was dropped.
            return;
        };
        if report == AttemptReport::Started {
            return self.started(now, id, at);
        }
        let run = req.running.remove(at);
        self.explain.reported(id, &run, &report);
        match report {
            AttemptReport::Started => {}
            AttemptReport::Finished(finished) => self.finished(now, id, run, finished),
            AttemptReport::ConnectFailed { refused } => {
                self.connect_failed(now, id, run, refused);
            }
            AttemptReport::Late => self.late(now, id, run),
            AttemptReport::Refused(why) => self.refused_there(now, id, run, why),
            AttemptReport::Broken { events } => self.broken(now, id, run, events, false),
            AttemptReport::Stalled { events } => self.broken(now, id, run, events, true),
            AttemptReport::NotThere(known) => self.not_there(now, id, run, known),
        }
    }

    fn started(&mut self, now: MonoTime, id: RequestId, at: usize) {
        let Some(req) = self.requests.get_mut(&id) else {
            return;
        };
        let run = &mut req.running[at];
        run.first = true;
        let run = run.clone();
        req.resumes = 0;
        if !run.held && req.arrival.streamed {
            req.started = true;
        }
        self.first_event(now, &run);
        self.drop_others(now, id, run.attempt);
    }

    fn finished(&mut self, now: MonoTime, id: RequestId, run: Running, finished: Finished) {
        self.leave_server(now, id, &run, AttemptEnd::Whole);
        self.balance.pause(now, run.server, finished.retry_after);
        self.drop_others(now, id, run.attempt);
        let Some(req) = self.requests.get_mut(&id) else {
            return;
        };
        if run.held && finished.answer.status == 200 {
            return self.rate_held(now, id, &run, &finished);
        }
        if req.once {
            self.complete(now, id, &run, &finished);
        }
        self.out.push(EntryAction::Finish { request: id });
        self.answered_well(now, id, &run, &finished);
        self.end(now, id, true, Some(&finished));
    }

    /// Commits the answer with its billing entry. The caller does not wait for
    /// the record: the claim already keeps the request from running twice, and
    /// the record is repeated until it is written.
    fn complete(&mut self, now: MonoTime, id: RequestId, run: &Running, finished: &Finished) {
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
        self.end_claim(now, end, None);
    }

    /// Nothing was sent: the backend server is suspect, the request is safe.
    fn connect_failed(&mut self, now: MonoTime, id: RequestId, run: Running, refused: bool) {
        let end = match run.kind {
            DispatchKind::Run | DispatchKind::Hedge => AttemptEnd::Unsent,
            DispatchKind::Resume { .. } | DispatchKind::LookUp => AttemptEnd::Lost,
        };
        self.leave_server(now, id, &run, end);
        self.server_unreachable(now, &run.server, refused);
        let Some(req) = self.requests.get_mut(&id) else {
            return;
        };
        match (run.kind, req.phase.clone()) {
            (_, Phase::Attached(view)) => self.attach_failed(now, id, view),
            (DispatchKind::Resume { .. }, _) => self.resume_failed(now, id, run),
            (DispatchKind::LookUp, _) => self.lose_own(now, id),
            (DispatchKind::Run | DispatchKind::Hedge, _) => {
                req.avoid.push(run.server);
                self.try_again(now, id, Reason::NoServer);
            }
        }
    }

    /// The time to send was over before anything was sent.
    ///
    /// Of a resume or look-up that says nothing of the request, which went out
    /// before: taken for unsent, its claim would be abandoned and the request
    /// run a second time.
    fn late(&mut self, now: MonoTime, id: RequestId, run: Running) {
        self.leave_server(now, id, &run, AttemptEnd::Alive);
        let Some(req) = self.requests.get(&id) else {
            return;
        };
        match (run.kind, req.phase.clone()) {
            (_, Phase::Attached(view)) => self.attach_failed(now, id, view),
            (DispatchKind::Run | DispatchKind::Hedge, _) => {
                self.try_again(now, id, Reason::DeadlinePassed);
            }
            (DispatchKind::Resume { .. }, _) => self.resume(now, id, run),
            (DispatchKind::LookUp, _) => self.service_broken(now, id, run),
        }
    }

    /// The backend server refused, so it proved that it did not run it.
    fn refused_there(&mut self, now: MonoTime, id: RequestId, run: Running, why: ServerRefusal) {
        self.leave_server(now, id, &run, AttemptEnd::Alive);
        let Some(req) = self.requests.get_mut(&id) else {
            return;
        };
        if let Phase::Attached(view) = req.phase.clone() {
            return self.attach_failed(now, id, view);
        }
        match why {
            ServerRefusal::Invalid if req.once => {
                req.deadline = now;
                self.end_rejected(now, id);
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
                self.try_again(now, id, Reason::Overloaded);
            }
        }
    }

    fn end_rejected(&mut self, now: MonoTime, id: RequestId) {
        let Some(req) = self.requests.get_mut(&id) else {
            return;
        };
        if let (Some(claim), Some(key)) = (req.claim.take(), req.claim_key()) {
            let end = self.end_of(&key, claim.generation, claim.id);
            self.end_claim(now, end, None);
        }
        self.refuse(now, id, Reason::Rejected, RunOutcome::NotRun, None);
    }

    /// The connection broke or went silent in the middle.
    ///
    /// Something between the two ends may have lost track of old connections
    /// while new ones work. So a silent one retires every older connection to
    /// that backend server, and the stream is resumed on a new one after the
    /// events that arrived. Only if that fails too is the backend server at
    /// fault.
    fn broken(&mut self, now: MonoTime, id: RequestId, run: Running, events: u64, silent: bool) {
        self.leave_server(now, id, &run, AttemptEnd::Lost);
        if silent {
            self.out.push(EntryAction::Retire {
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
            return self.service_broken(now, id, run);
        }
        let known = self.servers.get(run.server.addr).map(|s| s.incarnation);
        if known.is_some_and(|incarnation| incarnation != run.server.incarnation) {
            // It restarted and has forgotten the stream.
            return self.stream_lost(now, id, run);
        }
        self.resume(now, id, run);
    }

    fn resume(&mut self, now: MonoTime, id: RequestId, run: Running) {
        let Some(req) = self.requests.get_mut(&id) else {
            return;
        };
        if req.resumes >= self.cfg.max_resumes {
            return self.stream_lost(now, id, run);
        }
        req.resumes += 1;
        let events = if run.held { 0 } else { req.events };
        self.dispatch_as(
            now,
            id,
            run.server,
            run.id,
            run.version,
            DispatchKind::Resume { events },
        );
    }

    /// A resume found no connection: it is tried a few times, a short pause
    /// apart, since a restart of the network's path takes longer than that of
    /// a connection.
    fn resume_failed(&mut self, now: MonoTime, id: RequestId, run: Running) {
        let Some(req) = self.requests.get_mut(&id) else {
            return;
        };
        if req.resumes >= self.cfg.max_resumes {
            return self.stream_lost(now, id, run);
        }
        let pause = self.cfg.resume_pause * req.resumes.max(1);
        req.phase = Phase::Pausing(now + pause);
        req.paused = Some(run);
    }

    /// Resumes after a pause.
    pub(super) fn resume_paused(&mut self, now: MonoTime) {
        let due: Vec<RequestId> = self
            .requests
            .iter()
            .filter(|(_, req)| matches!(req.phase, Phase::Pausing(at) if at <= now))
            .map(|(id, _)| *id)
            .collect();
        for id in due {
            let Some(req) = self.requests.get_mut(&id) else {
                continue;
            };
            req.phase = Phase::Running;
            if let Some(run) = req.paused.take() {
                self.resume(now, id, run);
            }
        }
    }

    /// A resume reached the backend server, which does not have the stream.
    fn not_there(&mut self, now: MonoTime, id: RequestId, run: Running, known: ServerKnows) {
        self.leave_server(now, id, &run, AttemptEnd::Alive);
        let Some(req) = self.requests.get_mut(&id) else {
            return;
        };
        if let Phase::Attached(view) = req.phase.clone() {
            // The request may still be on its way there. A cancel is of use only
            // if the claim may be taken over; sooner, it would meet the request
            // as it arrives and cost another caller its answer.
            let over = view.window_over && view.claimant_gone;
            if known != (ServerKnows::Never { life: view.target }) || !over {
                return self.attach_failed(now, id, view);
            }
            let action = EntryAction::Cancel {
                request: id,
                id: view.request,
                server: view.target.addr,
            };
            req.phase = Phase::CancellingOther(view);
            return self.out.push(action);
        }
        if known == (ServerKnows::Never { life: run.server }) && req.once {
            // It never came through, or is still in the network. The cancel
            // sees to it that it is not run when it arrives late.
            req.phase = Phase::CancellingOwn(run.server);
            return self.out.push(EntryAction::Cancel {
                request: id,
                id: run.id,
                server: run.server.addr,
            });
        }
        self.stream_lost(now, id, run);
    }

    /// The stream cannot be had any more.
    fn stream_lost(&mut self, now: MonoTime, id: RequestId, run: Running) {
        self.failed(now, id, &run);
        let Some(req) = self.requests.get_mut(&id) else {
            return;
        };
        if let Phase::Attached(view) = req.phase.clone() {
            return self.attach_failed(now, id, view);
        }
        if req.once && !self.cfg.faults.rerun_once {
            return self.lose_own(now, id);
        }
        if req.started {
            // The caller has a part that another run would not continue.
            let after = Some(self.cfg.retry_after);
            return self.refuse(now, id, Reason::ServerLost, RunOutcome::Unknown, after);
        }
        req.maybe_ran = true;
        req.avoid.push(run.server);
        self.try_again(now, id, Reason::ServerLost);
    }

    fn service_broken(&mut self, now: MonoTime, id: RequestId, run: Running) {
        let Some(req) = self.requests.get_mut(&id) else {
            return;
        };
        if let Phase::Attached(view) = req.phase.clone() {
            return self.attach_failed(now, id, view);
        }
        if !req.once {
            return self.stream_lost(now, id, run);
        }
        let lookup = self.view.pool(&req.pool).is_some_and(|pool| pool.lookup);
        if !lookup || run.kind == DispatchKind::LookUp {
            return self.lose_own(now, id);
        }
        self.dispatch_as(now, id, run.server, run.id, None, DispatchKind::LookUp);
    }

    /// Nobody can tell whether this entry's own claim ran: the caller gets that
    /// answer at once.
    pub(super) fn lose_own(&mut self, now: MonoTime, id: RequestId) {
        let Some(req) = self.requests.get_mut(&id) else {
            return;
        };
        if let (Some(claim), Some(key)) = (req.claim.take(), req.claim_key()) {
            self.end_unknown(now, key, claim.generation, claim.id);
        }
        self.refuse(now, id, Reason::ServerLost, RunOutcome::Unknown, None);
    }

    /// Tries again where that is safe, under the budget and the deadline.
    fn try_again(&mut self, now: MonoTime, id: RequestId, reason: Reason) {
        let Some(req) = self.requests.get(&id) else {
            return;
        };
        if !req.running.is_empty() {
            // Another attempt is still under way.
            return;
        }
        if req.claim.is_some() {
            return self.abandon(now, id);
        }
        if req.attempts >= self.cfg.max_attempts || req.left(now).is_zero() {
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

    /// Plans anew after a failed attempt, keeping to a cascade's step.
    fn replan(&mut self, now: MonoTime, id: RequestId) {
        let Some(req) = self.requests.get(&id) else {
            return;
        };
        if req.second {
            return self.enqueue(now, id);
        }
        self.plan(now, id);
    }

    fn rate_held(&mut self, now: MonoTime, id: RequestId, run: &Running, finished: &Finished) {
        let timeout = self.cfg.rate_timeout;
        let Some(req) = self.requests.get_mut(&id) else {
            return;
        };
        req.phase = Phase::Rating;
        req.held = Some(finished.clone());
        req.held_run = Some(run.clone());
        let class = req.class.clone();
        let Some(version) = run.version.clone() else {
            return;
        };
        let timeout = timeout.min(req.left(now));
        self.out.push(EntryAction::RateNow {
            request: id,
            class,
            version,
            timeout,
        });
    }

    /// Takes the score of a held answer. Without one the stronger version runs:
    /// a silent rater must not let weak answers through.
    pub(super) fn rated_now(&mut self, now: MonoTime, id: RequestId, score: Option<f64>) {
        let Some(req) = self.requests.get_mut(&id) else {
            return;
        };
        if !matches!(req.phase, Phase::Rating) {
            return;
        }
        let (Some(finished), Some(run)) = (req.held.take(), req.held_run.take()) else {
            return;
        };
        let good = match &run.version {
            Some(version) => self.good_enough(now, id, score, version),
            None => false,
        };
        if good {
            self.out.push(EntryAction::Release { request: id });
            self.out.push(EntryAction::Finish { request: id });
            return self.end(now, id, true, Some(&finished));
        }
        let Some(req) = self.requests.get_mut(&id) else {
            return;
        };
        req.second = true;
        req.spent = Some(run);
        self.enter_step(now, id);
    }

    /// Drops every other attempt at a request.
    pub(super) fn drop_others(&mut self, now: MonoTime, id: RequestId, keep: Attempt) {
        let Some(req) = self.requests.get_mut(&id) else {
            return;
        };
        let others: Vec<Running> = req
            .running
            .iter()
            .filter(|run| run.attempt != keep)
            .cloned()
            .collect();
        req.running.retain(|run| run.attempt == keep);
        for run in others {
            self.leave_server(now, id, &run, AttemptEnd::Alive);
            // A stream that another claim started is only read here.
            let cancel = matches!(run.kind, DispatchKind::Run | DispatchKind::Hedge);
            self.out.push(EntryAction::Drop {
                request: id,
                attempt: run.attempt,
                cancel,
            });
        }
    }
}
