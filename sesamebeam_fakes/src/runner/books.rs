//! What a runner really did, over all its lives.

use std::{
    collections::BTreeMap,
    sync::Mutex, //
};

use sesamebeam_core::ids::{
    Digest,
    Incarnation,
    RequestId,
    VersionId, //
};
use tokio::{
    sync::watch,
    time::Instant, //
};

use super::stream::Job;
use crate::answer::digest;

/// How often something happened to a request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Taken in, to run or to wait.
    pub accepted: u32,
    /// Begun to run: what counts for "at most once" and "not run".
    pub started: u32,
    /// Run to the end.
    pub finished: u32,
    /// Cancelled while it ran or waited.
    pub cancelled: u32,
}

/// One run of a request.
#[derive(Clone, Debug)]
pub struct Run {
    /// Id of the request.
    pub request: RequestId,
    /// Digest of the caller's text.
    pub digest: Digest,
    /// Version that ran.
    pub version: VersionId,
    /// Text of the caller.
    pub prompt: String,
    /// Life in which it ran.
    pub incarnation: Incarnation,
    /// Time of the start.
    pub at: Instant,
    /// Whether the runner had announced that it was leaving.
    pub leaving: bool,
}

/// Books of a runner. They outlast its crashes: they are the test's, not its own.
#[derive(Debug)]
pub struct Books {
    kept: bool,
    pages: Mutex<Pages>,
    crashes: watch::Sender<u32>,
}

#[derive(Debug, Default)]
struct Pages {
    by_request: BTreeMap<RequestId, Counts>,
    by_digest: BTreeMap<Digest, Counts>,
    runs: Vec<Run>,
    totals: Counts,
    refusals: Vec<Instant>,
}

/// What happened to a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Step {
    Accepted,
    Finished,
    Cancelled,
}

impl Books {
    pub(crate) fn new(kept: bool) -> Self {
        Self {
            kept,
            pages: Mutex::default(),
            crashes: watch::Sender::new(0),
        }
    }

    /// Counts by request id.
    pub fn request(&self, id: RequestId) -> Counts {
        let pages = self.lock();
        pages.by_request.get(&id).copied().unwrap_or_default()
    }

    /// Counts by the text of the caller, over all request ids.
    pub fn prompt(&self, prompt: &str) -> Counts {
        let pages = self.lock();
        let counts = pages.by_digest.get(&digest(prompt.as_bytes()));
        counts.copied().unwrap_or_default()
    }

    /// Every run in the order of the starts.
    pub fn runs(&self) -> Vec<Run> {
        self.lock().runs.clone()
    }

    /// Counts of all requests together.
    pub fn totals(&self) -> Counts {
        self.lock().totals
    }

    /// Times at which the runner refused a request because a test had it do so.
    pub fn refusals(&self) -> Vec<Instant> {
        self.lock().refusals.clone()
    }

    /// Crashes by a killer request.
    pub fn crashes(&self) -> u32 {
        *self.crashes.borrow()
    }

    /// Follows the number of crashes.
    pub fn watch_crashes(&self) -> watch::Receiver<u32> {
        self.crashes.subscribe()
    }

    pub(crate) fn note(&self, job: &Job, step: Step) {
        self.change(job, |counts| match step {
            Step::Accepted => counts.accepted += 1,
            Step::Finished => counts.finished += 1,
            Step::Cancelled => counts.cancelled += 1,
        });
    }

    pub(crate) fn note_start(&self, job: &Job, incarnation: Incarnation, leaving: bool) {
        self.change(job, |counts| counts.started += 1);
        if !self.kept {
            return;
        }
        let run = Run {
            request: job.id,
            digest: digest(job.prompt.as_bytes()),
            version: job.version.clone(),
            prompt: job.prompt.clone(),
            incarnation,
            at: Instant::now(),
            leaving,
        };
        self.lock().runs.push(run);
    }

    pub(crate) fn note_refusal(&self) {
        self.lock().refusals.push(Instant::now());
    }

    pub(crate) fn note_crash(&self) {
        self.crashes.send_modify(|crashes| *crashes += 1);
    }

    fn change(&self, job: &Job, change: impl Fn(&mut Counts)) {
        let mut pages = self.lock();
        change(&mut pages.totals);
        if !self.kept {
            return;
        }
        change(pages.by_request.entry(job.id).or_default());
        let text = digest(job.prompt.as_bytes());
        change(pages.by_digest.entry(text).or_default());
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Pages> {
        self.pages.lock().expect("no panic under the lock")
    }
}
