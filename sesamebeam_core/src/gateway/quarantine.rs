//! Requests that crash backend servers, as seen by one entry: whole requests, and those with
//! fatal parts in their prompts.

use std::{
    collections::{
        BTreeMap,
        HashMap,
        HashSet, //
    },
    time::Duration,
};

use indexmap::IndexSet;

use super::{
    directory::ServerIncarnation,
    messages::{
        Crash,
        FatalParts,
        PartAnswer,
        PartRefusals,
        PartSuspicion, //
    },
    request::{
        AnswerProgress,
        AnswerStage,
        PartId, //
    },
};
use crate::ids::{
    Digest,
    MonoTime, //
};

/// Number of recently completed requests to remember: a few minutes of an entry's
/// traffic, in 100 KB.
const MAX_COMPLETED: usize = 2048;

/// Number of parts whose latest complete answer is remembered: at least as many, and at most
/// twice.
const MAX_COMPLETE_PARTS: usize = 2048;

/// Minimum interval between two questions whether a request with fatal parts may be sent.
const PROBE_REQUEST_INTERVAL: Duration = Duration::from_secs(1);

/// What a request may be quarantined for.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(super) struct Subject {
    /// Hash of its path, caller and body, once the body is read.
    pub(super) fingerprint: Option<Digest>,
    /// Parts of its prompt that other requests may share.
    pub(super) parts: Vec<PartId>,
}

/// What one entry knows about requests that crash backend servers.
#[derive(Debug, Default)]
pub(super) struct Quarantine {
    /// Requests that the control replicas have quarantined.
    quarantined: HashSet<Digest>,
    /// Recently completed requests, oldest first.
    completed: IndexSet<Digest>,
    /// Parts that no request may have together.
    fatal: Vec<KnownFatal>,
    /// Parts suspected by the control replicas.
    suspected: HashMap<PartId, Suspicion>,
    complete: RecentAnswers,
    /// Crashes to report.
    crashes: Vec<NoticedCrash>,
    /// Answers on suspected and fatal parts to report.
    unreported: BTreeMap<PartId, Answer>,
    /// The last answer reported on each of these parts.
    reported: HashMap<PartId, Answer>,
}

/// A suspected part.
#[derive(Clone, Copy, Debug)]
struct Suspicion {
    last_crash_at: MonoTime,
    /// Number of events of the answers at its crashes.
    events: u32,
}

/// How far an answer came, and when.
#[derive(Clone, Copy, Debug)]
struct Answer {
    at: MonoTime,
    progress: AnswerProgress,
}

/// A send that ended with its backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FailedSend {
    /// When the request was sent.
    pub sent_at: MonoTime,
    /// How far its answer had come.
    pub stage: AnswerStage,
    /// Round-trip time to the backend server.
    pub round_trip: Duration,
}

/// A crash that is to be reported.
#[derive(Debug)]
struct NoticedCrash {
    fingerprint: Digest,
    server: ServerIncarnation,
    parts: Vec<PartId>,
    failed: FailedSend,
    at: MonoTime,
}

/// Fatal parts, as told by a control replica.
#[derive(Debug)]
struct KnownFatal {
    parts: Vec<PartId>,
    crashes: u32,
    events: u32,
    since: MonoTime,
    /// Requests refused since the last report.
    refused: u32,
    /// Whether one request may be sent all the same.
    may_probe: bool,
    next_probe_request_at: MonoTime,
}

impl KnownFatal {
    fn covers(&self, subject: &Subject) -> bool {
        self.parts.iter().all(|p| subject.parts.contains(p))
    }

    fn message(&self, now: MonoTime) -> FatalParts {
        FatalParts {
            parts: self.parts.clone(),
            crashes: self.crashes,
            events: self.events,
            age: now.saturating_sub(self.since),
        }
    }
}

/// Latest complete answers by part, in two generations: the older one is dropped when the newer
/// one is full, so that callers who invent parts can neither fill the memory nor slow it down.
#[derive(Debug, Default)]
struct RecentAnswers {
    newer: HashMap<PartId, MonoTime>,
    older: HashMap<PartId, MonoTime>,
}

impl RecentAnswers {
    fn record(&mut self, now: MonoTime, part: PartId) {
        if self.newer.len() >= MAX_COMPLETE_PARTS {
            self.older = std::mem::take(&mut self.newer);
        }
        self.newer.insert(part, now);
    }

    fn latest(&self, part: PartId) -> Option<MonoTime> {
        let found = self.newer.get(&part).or_else(|| self.older.get(&part));
        found.copied()
    }
}

impl Quarantine {
    /// Adds requests that the control replicas have quarantined.
    pub(super) fn add(&mut self, fingerprints: impl IntoIterator<Item = Digest>) {
        self.quarantined.extend(fingerprints);
    }

    /// Sets the fatal and the suspected parts. Returns whether the fatal ones have changed.
    pub(super) fn set_parts(
        &mut self,
        now: MonoTime,
        fatal: Vec<FatalParts>,
        suspected: Vec<PartSuspicion>,
    ) -> bool {
        let before = std::mem::take(&mut self.fatal);
        let is_same = |f: &FatalParts| before.iter().any(|b| b.parts == f.parts);
        let changed = before.len() != fatal.len() || !fatal.iter().all(is_same);
        let mut before: HashMap<Vec<PartId>, KnownFatal> =
            before.into_iter().map(|b| (b.parts.clone(), b)).collect();
        for told in fatal {
            let known = before.remove(&told.parts).unwrap_or(KnownFatal {
                parts: told.parts,
                crashes: 0,
                events: 0,
                since: now.saturating_sub(told.age),
                refused: 0,
                may_probe: false,
                next_probe_request_at: now,
            });
            self.fatal.push(KnownFatal {
                crashes: told.crashes,
                events: told.events,
                ..known
            });
        }
        let suspicion = |s: PartSuspicion| {
            let last_crash_at = now.saturating_sub(s.age);
            let events = s.events;
            (
                s.part,
                Suspicion {
                    last_crash_at,
                    events,
                },
            )
        };
        self.suspected = suspected.into_iter().map(suspicion).collect();
        let fatal = &self.fatal;
        let is_fatal = |part: &PartId| fatal.iter().any(|f| f.parts.contains(part));
        self.reported
            .retain(|part, _| self.suspected.contains_key(part) || is_fatal(part));
        self.report_earlier_answers();
        changed
    }

    /// Reports the complete answers on suspected parts since their latest crashes.
    fn report_earlier_answers(&mut self) {
        for (&part, suspicion) in &self.suspected {
            let latest = self.complete.latest(part);
            if let Some(at) = latest.filter(|at| *at > suspicion.last_crash_at) {
                let progress = AnswerProgress::Complete;
                self.unreported.insert(part, Answer { at, progress });
            }
        }
    }

    /// Allows one request with fatal parts.
    pub(super) fn allow_probe(&mut self, parts: &[PartId]) {
        if let Some(known) = self.fatal.iter_mut().find(|f| f.parts == parts) {
            known.may_probe = true;
        }
    }

    /// Returns whether a request may be executed.
    pub(super) fn may_run(&self, subject: &Subject) -> bool {
        let allows = |f: &KnownFatal| f.may_probe || !f.covers(subject);
        let is_quarantined = subject.fingerprint.is_some_and(|fingerprint| {
            self.quarantined.contains(&fingerprint) && !self.completed.contains(&fingerprint)
        });
        !is_quarantined && self.fatal.iter().all(allows)
    }

    /// Returns whether a request may be sent now. One that is allowed in spite of its fatal
    /// parts is allowed once.
    pub(super) fn take_permission(&mut self, subject: &Subject) -> bool {
        if !self.may_run(subject) {
            return false;
        }
        for known in self.fatal.iter_mut().filter(|f| f.covers(subject)) {
            known.may_probe = false;
        }
        true
    }

    /// Counts a request that is refused for its fatal parts.
    pub(super) fn record_refusal(&mut self, subject: &Subject) {
        for known in self.fatal.iter_mut().filter(|f| f.covers(subject)) {
            known.refused += 1;
        }
    }

    /// Records that a request completed.
    ///
    /// A common request without a body has the same fingerprint every time and is in
    /// flight during many crashes by coincidence. Completed requests are therefore never
    /// blamed.
    pub(super) fn record_completion(&mut self, now: MonoTime, subject: &Subject) {
        if let Some(fingerprint) = subject.fingerprint {
            if self.completed.len() >= MAX_COMPLETED {
                self.completed.shift_remove_index(0);
            }
            self.completed.insert(fingerprint);
        }
        for &part in &subject.parts {
            self.complete.record(now, part);
        }
        self.record_progress(now, subject, AnswerProgress::Complete);
    }

    /// Records how far the answer to a request has come, if that is news of a suspected or fatal
    /// part.
    pub(super) fn record_progress(
        &mut self,
        now: MonoTime,
        subject: &Subject,
        progress: AnswerProgress,
    ) {
        if self.suspected.is_empty() && self.fatal.is_empty() {
            return;
        }
        for &part in &subject.parts {
            if self.is_news(part, progress) {
                let answer = Answer { at: now, progress };
                let known = self.unreported.entry(part).or_insert(answer);
                if progress >= known.progress {
                    *known = answer;
                }
            }
        }
    }

    /// Returns whether an answer came further than those at the crashes of a part, and than
    /// what was reported since the last one.
    fn is_news(&self, part: PartId, progress: AnswerProgress) -> bool {
        let fatal = self.fatal.iter().find(|f| f.parts.contains(&part));
        if fatal.is_some_and(|f| progress.is_beyond(f.events)) {
            return true;
        }
        let Some(suspicion) = self.suspected.get(&part) else {
            return false;
        };
        let reported = self.reported.get(&part);
        let is_known = |r: &Answer| r.at > suspicion.last_crash_at && r.progress >= progress;
        progress.is_beyond(suspicion.events) && !reported.is_some_and(is_known)
    }

    /// Records that a request was running when a backend server crashed.
    pub(super) fn record_crash(
        &mut self,
        now: MonoTime,
        subject: &Subject,
        server: ServerIncarnation,
        failed: FailedSend,
    ) {
        let Some(fingerprint) = subject.fingerprint else {
            return;
        };
        if self.completed.contains(&fingerprint) {
            return;
        }
        self.crashes.push(NoticedCrash {
            fingerprint,
            server,
            parts: subject.parts.clone(),
            failed,
            at: now,
        });
    }

    /// Returns whether there is anything to report that other entries wait for.
    pub(super) fn has_urgent(&self) -> bool {
        !self.crashes.is_empty() || !self.unreported.is_empty()
    }

    /// Takes the crashes since the last call.
    pub(super) fn take_crashes(&mut self, now: MonoTime) -> Vec<Crash> {
        let crashes = std::mem::take(&mut self.crashes).into_iter();
        let crash = |noticed: NoticedCrash| Crash {
            fingerprint: noticed.fingerprint,
            server: noticed.server,
            parts: noticed.parts,
            stage: noticed.failed.stage,
            sent: now.saturating_sub(noticed.failed.sent_at),
            round_trip: noticed.failed.round_trip,
            age: now.saturating_sub(noticed.at),
        };
        crashes.map(crash).collect()
    }

    /// Takes the answers on suspected and fatal parts since the last call.
    pub(super) fn take_answers(&mut self, now: MonoTime) -> Vec<PartAnswer> {
        let unreported = std::mem::take(&mut self.unreported);
        let answer = |(&part, a): (&PartId, &Answer)| PartAnswer {
            part,
            progress: a.progress,
            age: now.saturating_sub(a.at),
        };
        let answers = unreported.iter().map(answer).collect();
        self.reported.extend(unreported);
        answers
    }

    /// Takes the numbers of requests refused since the last call.
    pub(super) fn take_refusals(&mut self) -> Vec<PartRefusals> {
        let refused = self.fatal.iter_mut().filter(|f| f.refused > 0);
        let refusals = |f: &mut KnownFatal| PartRefusals {
            parts: f.parts.clone(),
            count: std::mem::take(&mut f.refused),
        };
        refused.map(refusals).collect()
    }

    /// Takes the fatal parts that requests were refused for and that the leader may want to
    /// see probed.
    pub(super) fn take_probe_requests(&mut self, now: MonoTime) -> Vec<FatalParts> {
        let mut requests = Vec::new();
        for known in &mut self.fatal {
            if known.refused > 0 && !known.may_probe && now >= known.next_probe_request_at {
                known.next_probe_request_at = now + PROBE_REQUEST_INTERVAL;
                requests.push(known.message(now));
            }
        }
        requests
    }

    /// Returns all known fatal parts.
    pub(super) fn fatal_parts(&self, now: MonoTime) -> Vec<FatalParts> {
        self.fatal.iter().map(|f| f.message(now)).collect()
    }
}
