//! Crashes that entries report, and the requests that are refused for them.

use super::{
    Coordinator,
    CoordinatorMessage,
    EntryId,
    LogEvent,
    Recipients, //
};
use crate::gateway::messages::{
    FatalParts,
    Report,
    ToEntry, //
};

impl Coordinator {
    /// Evaluates the crashes in a report, and what speaks for the suspects.
    pub(super) fn process_crashes(&mut self, report: &Report) {
        self.count_crashes(report);
        for known in &report.fatal_parts {
            self.part_crashes.adopt(self.now, known);
        }
        for crash in &report.crashes {
            self.part_crashes.record(self.now, crash);
        }
        let mut changed = !report.fatal_parts.is_empty();
        for answer in &report.part_answers {
            changed |= self.part_crashes.record_answer(self.now, answer);
        }
        for refusals in &report.part_refusals {
            self.part_crashes
                .record_refusals(self.now, &refusals.parts, refusals.count);
        }
        if !report.crashes.is_empty() && self.part_crashes.judge(self.now) {
            changed = true;
            self.report_verdicts();
        }
        if changed {
            self.publish_fatal_parts();
        }
    }

    /// Counts crashes by whole requests and publishes those that have caused several.
    fn count_crashes(&mut self, report: &Report) {
        let mut found = false;
        for crash in &report.crashes {
            found |= self.crashes.record(crash);
        }
        if found {
            let push = ToEntry::Quarantined(self.crashes.quarantined());
            self.push(self.publisher.followers(), push);
        }
    }

    /// Drops what no longer counts, and publishes the suspected parts if they have changed.
    pub(super) fn publish_suspected_parts(&mut self) {
        self.part_crashes.expire(self.now);
        self.part_crashes.set_server_count(self.directory.count());
        let is_found = self.part_crashes.judge_pending(self.now);
        if is_found {
            self.report_verdicts();
        }
        if self.part_crashes.take_changed() || is_found {
            self.publish_fatal_parts();
        }
    }

    /// Tells the other replicas of the fatal parts. One that restarted after the first crashes
    /// has not enough of them to find out by itself.
    fn report_verdicts(&mut self) {
        let verdicts = self.part_crashes.verdicts().iter();
        let report = Report {
            fatal_parts: verdicts.map(|v| v.message(self.now)).collect(),
            ..Report::default()
        };
        self.broadcast(&CoordinatorMessage::Report(Box::new(report)));
    }

    fn publish_fatal_parts(&mut self) {
        let verdicts = self.part_crashes.verdicts();
        let fatal: Vec<FatalParts> = verdicts.iter().map(|v| v.message(self.now)).collect();
        let parts = |of: &[FatalParts]| of.iter().map(|f| f.parts.clone()).collect::<Vec<_>>();
        if parts(&fatal) != parts(&self.publisher.fatal_parts) {
            self.log(LogEvent::FatalParts(fatal.clone()));
            self.publisher.fatal_parts = fatal;
        }
        self.push(self.publisher.followers(), self.fatal_parts_message());
    }

    /// Tells a new follower of requests that are refused.
    pub(super) fn send_quarantine(&mut self, entry: EntryId) {
        let this_entry = Recipients::Only(vec![entry]);
        let quarantined = self.crashes.quarantined();
        if !quarantined.is_empty() {
            self.push(this_entry.clone(), ToEntry::Quarantined(quarantined));
        }
        self.push(this_entry, self.fatal_parts_message());
    }

    /// Lets an entry send a request with fatal parts if that is due. Only the leader does, so
    /// that the backend servers that this may cost are few.
    pub(super) fn answer_probe_request(&mut self, entry: EntryId, known: &FatalParts) {
        if !self.leads() {
            return;
        }
        self.part_crashes.adopt(self.now, known);
        if self.part_crashes.take_probe(self.now, &known.parts) {
            self.log(LogEvent::FatalPartsProbed(known.parts.clone()));
            let allowed = ToEntry::ProbeAllowed(known.parts.clone());
            self.push(Recipients::Only(vec![entry]), allowed);
        }
    }

    fn fatal_parts_message(&self) -> ToEntry {
        let verdicts = self.part_crashes.verdicts().iter();
        ToEntry::FatalParts {
            fatal: verdicts.map(|v| v.message(self.now)).collect(),
            suspected: self.part_crashes.suspicions(self.now),
        }
    }
}
