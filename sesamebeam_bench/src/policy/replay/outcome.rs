//! How attempts and requests end.

use std::time::Duration;

use sesamebeam_core::{
    ids::VersionId,
    policy::{
        exposure::Observation,
        plan::Plan,
        suspects::SuspectStatus, //
    },
};

use crate::policy::{
    replay::{
        Replay,
        attempt::Step, //
    },
    result::{
        Ended,
        Outcome,
        Refusal, //
    },
    world::AttemptId,
};

/// Most attempts of strategies without a budget.
const MOST_ATTEMPTS: u32 = 4;

impl Replay<'_> {
    pub(super) fn finish(&mut self, id: AttemptId, epoch: u32) {
        let attempt = &self.attempts[id];
        if !attempt.open || attempt.epoch != epoch || attempt.silent {
            return;
        }
        let (at, step, version) = (attempt.request, attempt.step, attempt.version.clone());
        let (sent, addr) = (attempt.sent, attempt.life.addr);
        self.close(id, true);
        let Some(version) = version else {
            return self.whole(at, None);
        };
        self.router.balance.answered(addr);
        self.router.servers.renew_lease(self.now, addr);
        *self.used.entry(version.clone()).or_default() += 1;
        let took = self.now - sent;
        let tokens = self.requests[at].tokens as u32;
        self.observe(at, &version, Observation::Whole { took, tokens });
        if step == Step::First && self.rejected(at, &version) {
            let Some(Plan::Cascade { then, .. }) = self.requests[at].plan.clone() else {
                return;
            };
            return self.send(at, Step::Redo, Some(then));
        }
        self.sample(at, &version, step);
        self.whole(at, Some(version));
    }

    pub(super) fn deadline(&mut self, at: usize) {
        if self.requests[at].ended {
            return;
        }
        if self.setting.strategy.is_guarded() {
            self.router
                .admission
                .cancel(&self.pool(at), self.requests[at].id);
            return self.end(at, Outcome::Late);
        }
        // Without a cancel the work goes on, and its answer comes too late.
        let silent = self.requests[at]
            .open
            .iter()
            .any(|id| self.attempts[*id].silent);
        if silent {
            self.end(at, Outcome::Late);
        }
    }

    fn whole(&mut self, at: usize, version: Option<VersionId>) {
        let good = version
            .as_ref()
            .is_none_or(|version| self.good(at, version));
        let late = self.now > self.requests[at].deadline;
        let bad = version.as_ref().is_some_and(|version| self.is_bad(version));
        if bad {
            self.run.shown_to_bad += 1;
        }
        self.end(
            at,
            if late {
                Outcome::Late
            } else {
                Outcome::Whole { good }
            },
        );
    }

    pub(super) fn refused(&mut self, id: AttemptId) {
        self.fail_with(id, false, None);
    }

    pub(super) fn fail(&mut self, id: AttemptId, ran: bool, seen: Observation) {
        self.fail_with(id, ran, Some(seen));
    }

    /// Ends an attempt that failed, and tries again where that is allowed.
    pub(super) fn fail_with(&mut self, id: AttemptId, ran: bool, seen: Option<Observation>) {
        if !self.attempts[id].open {
            return;
        }
        let attempt = &self.attempts[id];
        let (at, step, version) = (attempt.request, attempt.step, attempt.version.clone());
        let addr = attempt.life.addr;
        self.close(id, false);
        if let (Some(seen), Some(version)) = (seen, &version) {
            self.observe(at, version, seen);
        }
        let request = &mut self.requests[at];
        if request.ended || !request.open.is_empty() {
            return;
        }
        request.tried.push(addr);
        let class = self.class(at);
        if ran && !class.idempotent {
            return self.end(at, Outcome::Unknown);
        }
        let request = &self.requests[at];
        let may = match self.setting.strategy.is_guarded() {
            true => self.now < request.deadline && self.router.retries.try_retry(&request.org),
            false => request.attempts < MOST_ATTEMPTS,
        };
        let quarantined =
            self.router.suspects.status(request.fingerprint) == SuspectStatus::Quarantined;
        if may && !(quarantined && self.setting.strategy.is_guarded()) {
            return self.send(at, step, version);
        }
        self.end(
            at,
            match ran {
                true => Outcome::Failed,
                false => Outcome::Refused(Refusal::NoRetry),
            },
        );
    }

    pub(super) fn end(&mut self, at: usize, outcome: Outcome) {
        if self.requests[at].ended {
            return;
        }
        self.requests[at].ended = true;
        for id in self.requests[at].open.clone() {
            self.close(id, false);
        }
        let request = &self.requests[at];
        if let (Outcome::Whole { .. }, Some(sent)) = (outcome, request.sent_first) {
            let took = (self.now - sent).as_secs_f64();
            let usual = &mut self.takes[request.traffic];
            *usual += 0.02 * (took - *usual);
            let class = self.class(at).name.clone();
            self.router
                .hedges
                .answered(&class, self.now - request.arrived);
        }
        let request = &self.requests[at];
        let ended = Ended {
            org: request.org.clone(),
            traffic: request.traffic,
            outcome,
            latency: self.now - request.arrived,
            cost: request.cost,
            tokens: request.tokens,
            attempts: request.attempts,
            engine: self.class(at).service.is_none(),
            killer: request.killer,
        };
        if request.arrived >= self.setting.warm_up {
            self.run.ended(ended);
        }
        if self.setting.strategy.is_guarded() && self.requests[at].admitted {
            let request = &self.requests[at];
            let ran = request
                .sent_first
                .map_or(Duration::ZERO, |sent| self.now - sent);
            let pool = self.pool(at);
            self.router.admission.finished(&pool, request.id, ran);
        }
        self.let_in();
    }
}
