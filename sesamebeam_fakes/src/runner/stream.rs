//! One request inside a runner, and the bodies that show its events.

use std::{
    pin::Pin,
    sync::{
        Arc,
        Mutex,
        Weak, //
    },
    task::{
        Context,
        Poll,
        Waker, //
    }, //
};

use bytes::Bytes;
use hyper::body::Frame;
use sesamebeam_core::ids::{
    RequestId,
    VersionId, //
};
use tokio::time::Instant;

use super::script::{
    CLOSING_EVENTS,
    Script,
    Usage, //
};
use crate::{
    answer::Answer,
    error::BodyError, //
};

/// How a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum End {
    /// Every token was generated.
    Finished,
    /// It was cancelled.
    Cancelled,
}

/// What a request asks for.
#[derive(Clone, Debug)]
pub(crate) struct Job {
    /// Id of the request.
    pub(crate) id: RequestId,
    /// Version to run.
    pub(crate) version: VersionId,
    /// Text of the caller.
    pub(crate) prompt: String,
    /// Hash of the prompt's prefix, if the entry gave it.
    pub(crate) prefix: Option<u64>,
    /// Answer to generate.
    pub(crate) answer: Answer,
}

/// A request inside a runner.
#[derive(Debug)]
pub(crate) struct Stream {
    /// What was asked for.
    pub(crate) job: Job,
    progress: Mutex<Progress>,
}

#[derive(Debug, Default)]
struct Progress {
    /// Held by the bodies that show it. A kept stream that nobody reads takes no
    /// memory for its events: they are built again for a resume.
    script: Weak<Script>,
    usage: Usage,
    /// Time at which the prompt has been read.
    prefilled: Option<Instant>,
    /// Events that may be shown.
    produced: usize,
    end: Option<End>,
    wakers: Vec<Waker>,
}

impl Stream {
    /// Makes a request that waits.
    pub(crate) fn new(job: Job) -> Arc<Self> {
        Arc::new(Self {
            job,
            progress: Mutex::default(),
        })
    }

    /// Begins to run.
    pub(crate) fn start(&self, usage: Usage, prefilled: Instant) {
        let mut progress = self.lock();
        progress.usage = usage;
        progress.prefilled = Some(prefilled);
    }

    /// Generates some tokens, if the prompt has been read by now. Tells whether
    /// the request has finished.
    pub(crate) fn advance(&self, now: Instant, tokens: u32) -> bool {
        let mut progress = self.lock();
        if progress.prefilled.is_none_or(|at| now < at) {
            return false;
        }
        let last = self.job.answer.tokens() as usize;
        progress.produced = last.min(progress.produced.saturating_add(tokens as usize));
        let finished = progress.produced == last;
        if finished {
            progress.produced += CLOSING_EVENTS;
            progress.end = Some(End::Finished);
        }
        progress.wake();
        finished
    }

    /// Ends the request before it has finished.
    pub(crate) fn cancel(&self) {
        let mut progress = self.lock();
        progress.end = Some(End::Cancelled);
        progress.wake();
    }

    /// How the request ended, if it has.
    pub(crate) fn end(&self) -> Option<End> {
        self.lock().end
    }

    /// Time at which the prompt has been read, if the request runs.
    pub(crate) fn prefilled(&self) -> Option<Instant> {
        self.lock().prefilled
    }

    /// Tokens used, so far as is known.
    pub(crate) fn usage(&self) -> Usage {
        self.lock().usage
    }

    /// Events of the whole stream.
    pub(crate) fn events(&self) -> usize {
        self.job.answer.tokens() as usize + CLOSING_EVENTS
    }

    /// Waits for the end.
    pub(crate) async fn ended(&self) -> End {
        std::future::poll_fn(|cx| {
            let mut progress = self.lock();
            if let Some(end) = progress.end {
                return Poll::Ready(end);
            }
            progress.watch(cx);
            Poll::Pending
        })
        .await
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Progress> {
        self.progress.lock().expect("no panic under the lock")
    }
}

impl Progress {
    /// Gives the events, building them if no body holds them.
    fn script(&mut self, job: &Job) -> Arc<Script> {
        if let Some(script) = self.script.upgrade() {
            return script;
        }
        let script = Script::new(job.id, &job.version, job.answer, self.usage);
        let script = Arc::new(script);
        self.script = Arc::downgrade(&script);
        script
    }

    fn wake(&mut self) {
        self.wakers.drain(..).for_each(Waker::wake);
    }

    fn watch(&mut self, cx: &Context<'_>) {
        if !self.wakers.iter().any(|w| w.will_wake(cx.waker())) {
            self.wakers.push(cx.waker().clone());
        }
    }
}

/// Body that shows the events of a stream from an offset on.
#[derive(Debug)]
pub(crate) struct EventBody {
    stream: Arc<Stream>,
    /// Events of the stream, once the first is shown.
    script: Option<Arc<Script>>,
    /// Events shown, or passed over by the offset.
    shown: usize,
    /// Events after which the connection is cut.
    cut_at: Option<usize>,
    /// Whether the events before a break have been given time to be written.
    flushed: bool,
}

impl EventBody {
    /// Shows the events after the first `offset`, and cuts the connection after
    /// `cut` of them.
    pub(crate) fn new(stream: Arc<Stream>, offset: usize, cut: Option<usize>) -> Self {
        Self {
            stream,
            script: None,
            shown: offset,
            cut_at: cut.map(|cut| offset.saturating_add(cut)),
            flushed: false,
        }
    }
}

impl hyper::body::Body for EventBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        let stream = Arc::clone(&self.stream);
        let mut progress = stream.lock();
        let limit = self.cut_at.unwrap_or(usize::MAX);
        let upto = progress.produced.min(limit);
        if upto > self.shown {
            let from = self.shown;
            let script = self
                .script
                .get_or_insert_with(|| progress.script(&stream.job));
            let bytes = script.slice(from, upto);
            self.shown = upto;
            return Poll::Ready(Some(Ok(Frame::data(bytes))));
        }
        let error = match progress.end {
            _ if self.shown >= limit => BodyError::Cut,
            Some(End::Cancelled) => BodyError::Cancelled,
            Some(End::Finished) => return Poll::Ready(None),
            None => {
                progress.watch(cx);
                return Poll::Pending;
            }
        };
        // Hyper drops what it has buffered when a body fails. Without a pause it
        // would lose events that were shown, so it gets one turn to write them.
        if !std::mem::replace(&mut self.flushed, true) {
            cx.waker().wake_by_ref();
            return Poll::Pending;
        }
        Poll::Ready(Some(Err(error)))
    }
}
