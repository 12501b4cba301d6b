//! Requests on their way through plan and admission, in the order of an entry.

use std::time::Duration;

use sesamebeam_core::policy::{
    admission::{
        AdmissionOutcome,
        AdmissionRequest, //
    },
    plan::Plan,
    suspects::SuspectStatus,
};

use crate::policy::{
    replay::{
        Replay,
        attempt::Step,
        event::Event, //
    },
    result::{
        Outcome,
        Refusal, //
    },
    router::{
        Strategy,
        Wanted, //
    },
    world::Fault,
};

impl Replay<'_> {
    /// Plans and admits a request, in the order of an entry.
    pub(super) fn admit(&mut self, at: usize) {
        let class = self.class(at);
        let deadline = self.requests[at].deadline;
        self.push(deadline, Event::Deadline(at));
        if self.setting.strategy.is_guarded() {
            let standing = self.router.suspects.status(self.requests[at].fingerprint);
            if standing == SuspectStatus::Quarantined {
                return self.end(at, Outcome::Refused(Refusal::Quarantined));
            }
            self.router.retries.request(&self.requests[at].org);
            self.router.hedges.request(class);
        }
        if !self.plan(at) {
            return self.end(at, Outcome::Refused(Refusal::NoVersion));
        }
        if !self.setting.strategy.is_guarded() {
            return self.start(at);
        }
        let twice = matches!(self.requests[at].plan, Some(Plan::Cascade { .. }));
        let takes = self.takes[self.requests[at].traffic] * if twice { 1.3 } else { 1.0 };
        let ticket = AdmissionRequest {
            request: self.requests[at].id,
            org: self.requests[at].org.clone(),
            pool: self.pool(at),
            priority: class.priority,
            deadline,
            expected_duration: Duration::from_secs_f64(takes),
        };
        match self.router.admission.submit(self.now, ticket) {
            AdmissionOutcome::Run => {
                self.requests[at].admitted = true;
                self.start(at);
            }
            AdmissionOutcome::Queued => {}
            AdmissionOutcome::Refused { .. } => self.end(at, Outcome::Refused(Refusal::Admission)),
        }
    }

    pub(super) fn tick(&mut self) {
        if self.now < self.end_at() + Duration::from_secs(300) {
            self.after(Duration::from_secs(1), Event::Tick);
        }
        self.router.tick(self.now);
        if !self.setting.strategy.is_guarded() {
            return;
        }
        for given_up in self.router.admission.expired(self.now) {
            if let Some(at) = self.by_id.get(&given_up.request).copied() {
                self.end(at, Outcome::Refused(Refusal::GivenUp));
            }
        }
        self.let_in();
    }

    pub(super) fn let_in(&mut self) {
        if !self.setting.strategy.is_guarded() {
            return;
        }
        for id in self.router.admission.next(self.now) {
            let Some(at) = self.by_id.get(&id).copied() else {
                continue;
            };
            self.requests[at].admitted = true;
            self.start(at);
        }
    }

    fn start(&mut self, at: usize) {
        let plan = self.requests[at].plan.clone();
        // A version held while the request waited is not used any more.
        if let Some(plan) = &plan
            && self.setting.strategy == Strategy::Sesamebeam
            && self.router.exposure.hold_reason(plan.first()).is_some()
            && !self.plan(at)
        {
            return self.end(at, Outcome::Refused(Refusal::NoVersion));
        }
        match self.requests[at].plan.clone() {
            None => self.send(at, Step::Only, None),
            Some(Plan::Single(version)) => self.send(at, Step::Only, Some(version)),
            Some(Plan::Cascade { first, .. }) => self.send(at, Step::First, Some(first)),
        }
        let class = self.class(at);
        if self.setting.strategy.is_guarded()
            && let Some(delay) = self.router.hedges.delay(class)
        {
            self.after(delay, Event::Hedge(at));
        }
    }

    fn plan(&mut self, at: usize) -> bool {
        let class = self.class(at);
        if class.service.is_some() {
            return true;
        }
        let org = self.deployment.fleet.organisation(&self.requests[at].org);
        let target = org.and_then(|org| org.targets.iter().find(|t| t.class == class.name));
        let request = &self.requests[at];
        let session = request.session.clone();
        let wanted = Wanted {
            request: request.id,
            class,
            target,
            session: session.as_ref(),
            left: request.deadline.saturating_sub(self.now),
            takes: Duration::from_secs_f64(self.takes[request.traffic]),
        };
        let (deployment, victim, rolling) = (self.deployment, &self.victim, &self.rolling);
        let (fault, fault_on) = (self.setting.fault, self.fault_on);
        let bad = |version: &str| {
            fault_on
                && match fault {
                    Fault::TurnsBad => version == victim,
                    Fault::BadRollout => rolling.as_ref().is_some_and(|r| r == version),
                    _ => false,
                }
        };
        let truth = |version: &str| {
            let quality = deployment.quality(&class.name, version);
            if bad(version) { quality * 0.5 } else { quality }
        };
        let plan = self.router.plan(self.now, &wanted, &truth);
        self.requests[at].plan = plan;
        self.requests[at].plan.is_some()
    }
}
