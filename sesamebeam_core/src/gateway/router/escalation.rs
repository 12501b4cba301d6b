//! Judgement of answers by the confidence that their models state.

use super::{
    Plan,
    Router, //
};
use crate::{
    gateway::{
        cascade::{
            self,
            Decision, //
        },
        config::EngineConfig,
        directory::ServerId,
        engines::{
            escalation::{
                self,
                Answer,
                Judgement,
                Step, //
            },
            selection::Candidate,
        },
        request::ResponseHead,
    },
    ids::{
        ModelId,
        MonoTime, //
    },
};

impl Router {
    /// Decides from the confidence stated by the model whether a successful answer is
    /// kept or a larger model is asked, if no backend server was tried in vain.
    pub fn judge_confidence(
        &mut self,
        now: MonoTime,
        plan: &Plan,
        asked: &str,
        answer: &ResponseHead,
        attempts_left: bool,
    ) -> Decision {
        self.judge_answer(now, plan, asked, answer, &[], attempts_left)
            .decision
    }

    /// Decides from the confidence stated by the model whether a successful answer is
    /// kept or a larger model is asked at a backend server that is not in `tried`.
    pub fn judge_answer(
        &mut self,
        now: MonoTime,
        plan: &Plan,
        asked: &str,
        answer: &ResponseHead,
        tried: &[ServerId],
        attempts_left: bool,
    ) -> Judgement {
        let judgement = match self.timed_engine(plan) {
            Some(cfg) => self.judge_by_engine_time(now, plan, cfg, asked, answer, tried),
            None => self.judge_by_waits(now, plan, asked, answer),
        };
        let is_kept = judgement.decision == Decision::Keep;
        if is_kept || attempts_left && self.try_retry(now, plan) {
            return judgement;
        }
        let step = judgement.step.map(|_| Step::Kept);
        Judgement {
            is_over_budget: attempts_left,
            ..Judgement::kept(judgement.keep_from, step)
        }
    }

    /// Judges an answer by the waits of past requests.
    fn judge_by_waits(
        &self,
        now: MonoTime,
        plan: &Plan,
        asked: &str,
        answer: &ResponseHead,
    ) -> Judgement {
        let decision = self.cascade.judge(
            now,
            &plan.service,
            &plan.route.models,
            asked,
            answer.confidence,
            plan.relative_cost,
        );
        Judgement {
            decision,
            keep_from: self.confidence_threshold(now, plan),
            step: None,
            is_over_budget: false,
        }
    }

    /// Judges an answer by the predicted times of the larger models.
    fn judge_by_engine_time(
        &self,
        now: MonoTime,
        plan: &Plan,
        cfg: &EngineConfig,
        asked: &str,
        answer: &ResponseHead,
        tried: &[ServerId],
    ) -> Judgement {
        let models = &plan.route.models;
        let asked = models.iter().position(|model| model == asked);
        let larger = &models[asked.map_or(0, |position| position + 1)..];
        let (Some(confidence), Some(largest)) = (answer.confidence, larger.last()) else {
            return Judgement::kept(0.0, None);
        };
        let pick = |model: &ModelId| self.pick(now, plan, Some(model), tried).ok();
        let at_largest = pick(largest);
        let candidates = at_largest.as_ref().map_or(&[][..], |p| &p.engines);
        let answer = Answer {
            confidence,
            base_threshold: cascade::base_threshold(plan.relative_cost),
            pressure: self.pressure(now, plan, cfg, candidates),
            waited: now.saturating_sub(plan.admitted_at),
            target: plan.route.target,
            time_left: plan.deadline.saturating_sub(now),
        };
        let forecasts = larger.iter().rev().map(|model| {
            let forecast = match model == largest {
                true => at_largest.as_ref().and_then(|p| p.forecast),
                false => pick(model).and_then(|p| p.forecast),
            };
            (model.clone(), forecast)
        });
        answer.judge(forecasts)
    }

    /// Returns the pressure on the engines that are candidates for a request, from 0 to 1.
    fn pressure(
        &self,
        now: MonoTime,
        plan: &Plan,
        cfg: &EngineConfig,
        candidates: &[Candidate<'_>],
    ) -> f64 {
        let service = &plan.service;
        // Engines appear idle to an entry that has not received any loads yet.
        if self.cascade.is_starting(now) && !self.engines.has_shared_loads(service) {
            return 1.0;
        }
        let smallest = plan.route.models.first().cloned();
        let demand = self.engines.mean_demand(service, smallest);
        let forecaster = self.engines.forecaster(now, cfg, service, &demand);
        let current = escalation::pressure(&forecaster, candidates);
        current.min(self.cascade.pressure(now, service))
    }
}
