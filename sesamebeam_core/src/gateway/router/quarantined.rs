//! Requests that crash backend servers: what this entry reports of them, and which it
//! refuses.

use super::{
    Plan,
    Refusal,
    Router, //
};
use crate::{
    gateway::{
        messages::{
            FatalParts,
            PartSuspicion, //
        },
        request::{
            AnswerProgress,
            PartId, //
        },
    },
    ids::{
        Digest,
        MonoTime, //
    },
};

impl Plan {
    /// Sets the hash of the request's path, caller and body.
    pub fn identify(&mut self, fingerprint: Digest) {
        self.subject.fingerprint = Some(fingerprint);
    }
}

impl Router {
    /// Adds fingerprints that the control replicas have quarantined for crashing backend
    /// servers.
    pub fn set_quarantined(&mut self, fingerprints: impl IntoIterator<Item = Digest>) {
        self.quarantine.add(fingerprints);
    }

    /// Sets the prompt parts that the control replicas hold to crash backend servers, and
    /// those that they suspect. Returns whether the former have changed.
    pub fn set_fatal_parts(
        &mut self,
        now: MonoTime,
        fatal: Vec<FatalParts>,
        suspected: Vec<PartSuspicion>,
    ) -> bool {
        self.quarantine.set_parts(now, fatal, suspected)
    }

    /// Allows one request with fatal parts, which finds out whether they still are.
    pub fn allow_probe(&mut self, parts: &[PartId]) {
        self.quarantine.allow_probe(parts);
    }

    /// Returns the fatal parts that are known.
    pub fn fatal_parts(&self, now: MonoTime) -> Vec<FatalParts> {
        self.quarantine.fatal_parts(now)
    }

    /// Takes the fatal parts for which a probe is to be requested.
    pub fn take_probe_requests(&mut self, now: MonoTime) -> Vec<FatalParts> {
        self.quarantine.take_probe_requests(now)
    }

    /// Checks whether a request may run.
    ///
    /// # Errors
    ///
    /// Fails if it is known to crash backend servers.
    pub fn check_quarantine(&mut self, plan: &Plan) -> Result<(), Refusal> {
        if self.may_run(plan) {
            return Ok(());
        }
        self.quarantine.record_refusal(&plan.subject);
        Err(Refusal::Quarantined)
    }

    /// Returns whether a request may run, as far as is known.
    pub fn may_run(&self, plan: &Plan) -> bool {
        self.quarantine.may_run(&plan.subject)
    }

    /// Records that a request completed.
    pub fn record_completion(&mut self, now: MonoTime, plan: &Plan) {
        self.quarantine.record_completion(now, &plan.subject);
    }

    /// Records the number of events that one run of a request has sent so far.
    pub fn record_events(&mut self, now: MonoTime, plan: &Plan, events: u32) {
        let progress = AnswerProgress::Events(events);
        self.quarantine
            .record_progress(now, &plan.subject, progress);
    }
}
