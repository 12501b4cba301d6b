//! The task side of one request: carries out the core's orders, reads the
//! attempts, passes the answer on.

use std::{
    future::poll_fn,
    pin::Pin,
    sync::Arc,
    task::{
        Context,
        Poll, //
    },
    time::Duration,
};

use bytes::{
    Bytes,
    BytesMut, //
};
use futures::future::Future;
use sesamebeam_core::{
    entry::{
        event::{
            Attempt,
            AttemptReport,
            Dispatch,
            EntryEvent,
            Finished,
            ResponseHeaders, //
        },
        refusal::Refusal,
    },
    ids::{
        ClassId,
        RequestId,
        VersionId, //
    },
    message::record::{
        Completed,
        Usage, //
    },
};
use smol_str::SmolStr;
use tokio::{
    sync::mpsc::UnboundedReceiver,
    time::{
        Instant,
        Sleep,
        sleep, //
    }, //
};
use xxhash_rust::xxh3::xxh3_128;

use super::{
    hub::{
        Hub,
        Order,
        unix_millis, //
    },
    rating::Ratings,
    upstream::{
        Bounds,
        Heard,
        Outgoing,
        Upstream,
        WholeAnswer, //
    },
};
use crate::http::{
    client::Client,
    sse, //
};

/// Content type of a streamed answer.
pub(crate) const EVENT_STREAM: SmolStr = SmolStr::new_static("text/event-stream");

/// Most bytes of one answer that are held as they come.
const MAX_RAW: usize = 4 << 20;

/// Content type of an answer that is kept.
const JSON: SmolStr = SmolStr::new_static("application/json");

/// What a driver needs from the process.
#[derive(Clone)]
pub(crate) struct Tools {
    /// The core.
    pub(crate) hub: Arc<Hub>,
    /// Connections to backend servers.
    pub(crate) client: Client,
    /// The rating service, if there is one.
    pub(crate) ratings: Option<Arc<Ratings>>,
    /// Largest answer that is kept for resends, in bytes.
    pub(crate) keep: usize,
    /// Largest answer of a plain service, in bytes.
    pub(crate) max_body: usize,
    /// Longest wait for the head of a resumed answer.
    pub(crate) probe: Duration,
}

/// What comes out of a driver.
#[derive(Debug)]
pub(crate) enum Step {
    /// Whole events of the answer.
    Events(Bytes),
    /// The answer of a plain service, whole.
    Whole(WholeAnswer),
    /// A kept answer.
    Replay(Completed),
    /// The answer is whole.
    End,
    /// A refusal.
    Refused(Refusal),
}

/// Carries out the orders of one request.
pub(crate) struct Driver {
    tools: Tools,
    request: RequestId,
    rx: UnboundedReceiver<Order>,
    outgoing: Arc<Outgoing>,
    upstreams: Vec<Upstream>,
    /// Header values of the attempt whose answer is passed on.
    headers: ResponseHeaders,
    /// Text for ratings, of the prompt.
    prompt: Arc<str>,
    /// Body of the present answer, as far as it is kept.
    kept: Kept,
    /// Last events passed on, in which the usage stands.
    tail: Bytes,
    /// Answer that is held back until it is released.
    held: BytesMut,
    /// Steps that are ready to be taken.
    ready: std::collections::VecDeque<Step>,
    /// Whole answer of a plain service, until the core has finished it.
    whole: Option<WholeAnswer>,
    timer: Pin<Box<Sleep>>,
    over: bool,
}

/// Bytes of an answer as it came, if they are wanted and not too many.
struct Kept {
    wanted: bool,
    /// Largest answer that goes into the record of a claim, in bytes.
    cap: usize,
    body: Option<Vec<u8>>,
}

impl Driver {
    /// Takes the orders of a request that has arrived.
    pub(crate) fn new(
        tools: Tools,
        request: RequestId,
        rx: UnboundedReceiver<Order>,
        outgoing: Outgoing,
        prompt: Arc<str>,
    ) -> Self {
        let cap = tools.keep;
        Self {
            tools,
            request,
            rx,
            outgoing: Arc::new(outgoing),
            upstreams: Vec::new(),
            headers: ResponseHeaders::default(),
            prompt,
            kept: Kept::new(cap),
            tail: Bytes::new(),
            held: BytesMut::new(),
            ready: std::collections::VecDeque::new(),
            whole: None,
            timer: Box::pin(sleep(Duration::from_secs(3600))),
            over: false,
        }
    }

    /// Header values of the answer, known with its first step.
    pub(crate) fn headers(&self) -> &ResponseHeaders {
        &self.headers
    }

    /// Number of the request.
    pub(crate) fn request(&self) -> RequestId {
        self.request
    }

    /// Waits for the next step; none after the last.
    pub(crate) async fn next(&mut self) -> Option<Step> {
        poll_fn(|cx| self.poll_step(cx)).await
    }

    fn poll_step(&mut self, cx: &mut Context<'_>) -> Poll<Option<Step>> {
        loop {
            if let Some(step) = self.ready.pop_front() {
                if matches!(step, Step::End | Step::Refused(_) | Step::Replay(_)) {
                    self.over = true;
                }
                return Poll::Ready(Some(step));
            }
            if self.over {
                return Poll::Ready(None);
            }
            if self.poll_orders(cx) | self.poll_upstreams(cx) | self.poll_timer(cx) {
                continue;
            }
            return Poll::Pending;
        }
    }

    fn poll_orders(&mut self, cx: &mut Context<'_>) -> bool {
        let mut any = false;
        while let Poll::Ready(Some(order)) = self.rx.poll_recv(cx) {
            any = true;
            self.obey(order);
        }
        any
    }

    fn poll_upstreams(&mut self, cx: &mut Context<'_>) -> bool {
        let mut at = 0;
        while at < self.upstreams.len() {
            if let Poll::Ready(heard) = self.upstreams[at].poll_next(cx) {
                if self.hear(at, heard) {
                    self.upstreams.remove(at);
                }
                // The first event of one attempt may end the others: their
                // orders are obeyed before they are read on.
                return true;
            }
            at += 1;
        }
        false
    }

    /// Looks for silent attempts. Activity is a flag that is looked at every
    /// so often, so that a token costs no timer.
    fn poll_timer(&mut self, cx: &mut Context<'_>) -> bool {
        if self.upstreams.is_empty() || self.timer.as_mut().poll(cx).is_pending() {
            return false;
        }
        let mut silent = Vec::new();
        let mut progress = Duration::from_secs(3600);
        for up in &mut self.upstreams {
            progress = progress.min(up.dispatch.progress);
            if up.idle() {
                silent.push((up.dispatch.attempt, up.events()));
            }
        }
        self.timer.as_mut().reset(Instant::now() + progress);
        for (attempt, events) in silent {
            self.upstreams.retain(|up| up.dispatch.attempt != attempt);
            self.report(attempt, AttemptReport::Stalled { events });
        }
        true
    }

    fn obey(&mut self, order: Order) {
        match order {
            Order::Dispatch(dispatch) => self.dispatch(dispatch),
            Order::Drop(attempt, cancel) => self.drop_attempt(attempt, cancel),
            Order::Replay(answer, headers) => {
                self.headers = headers;
                self.ready.push_back(Step::Replay(answer));
            }
            Order::Refuse(refusal) => {
                self.upstreams.clear();
                self.ready.push_back(Step::Refused(refusal));
            }
            Order::Release => {
                let held = self.held.split().freeze();
                self.ready.push_back(Step::Events(held));
            }
            Order::Finish => {
                if let Some(whole) = self.whole.take() {
                    self.ready.push_back(Step::Whole(whole));
                }
                self.ready.push_back(Step::End);
            }
            Order::RateNow(class, version, timeout) => self.rate_now(class, version, timeout),
            Order::Sample(class, version) => self.sample(class, version),
        }
    }

    fn dispatch(&mut self, dispatch: Box<Dispatch>) {
        use sesamebeam_core::entry::event::DispatchKind;

        let rerun = matches!(
            dispatch.kind,
            DispatchKind::Run | DispatchKind::Resume { events: 0 } | DispatchKind::LookUp
        );
        if rerun {
            self.held.clear();
            self.kept = Kept::new(self.tools.keep);
        }
        self.kept.wanted = dispatch.keep;
        let progress = dispatch.progress;
        let send_by = self.tools.hub.instant(dispatch.send_by);
        let bounds = Bounds {
            send_by,
            max_body: self.tools.max_body,
            probe: self.tools.probe,
        };
        let up = Upstream::start(&self.tools.client, &self.outgoing, dispatch, bounds);
        self.upstreams.push(up);
        self.timer.as_mut().reset(Instant::now() + progress);
    }

    fn drop_attempt(&mut self, attempt: Attempt, cancel: bool) {
        let Some(at) = self
            .upstreams
            .iter()
            .position(|up| up.dispatch.attempt == attempt)
        else {
            return;
        };
        let up = self.upstreams.remove(at);
        if cancel {
            cancel_later(&self.tools.client, &up.dispatch);
        }
    }

    /// Takes what an attempt gave; returns whether the attempt is over.
    fn hear(&mut self, at: usize, heard: Heard) -> bool {
        match heard {
            Heard::Events(events) => {
                self.take_events(at, events);
                false
            }
            Heard::Last(events) => {
                let usage = sse::usage(&events).or_else(|| sse::usage(&self.tail));
                self.take_events(at, events);
                self.finish_stream(at, usage);
                true
            }
            Heard::Whole(answer) => {
                self.finish_whole(at, answer);
                true
            }
            Heard::Ended(report) => {
                let attempt = self.upstreams[at].dispatch.attempt;
                self.report(attempt, report);
                true
            }
        }
    }

    fn take_events(&mut self, at: usize, events: Bytes) {
        let up = &mut self.upstreams[at];
        if up.first.is_none() {
            up.first = Some(up.sent.elapsed());
            self.headers = up.dispatch.headers.clone();
            let attempt = up.dispatch.attempt;
            self.report(attempt, AttemptReport::Started);
        }
        let hold = self.upstreams[at].dispatch.hold;
        self.kept.push(&events);
        self.tail = events.clone();
        if hold {
            self.held.extend_from_slice(&events);
        } else {
            self.ready.push_back(Step::Events(events));
        }
    }

    fn finish_stream(&mut self, at: usize, usage: Option<(u32, u32)>) {
        let up = &self.upstreams[at];
        let (prompt_tokens, completion_tokens) = usage.unwrap_or_default();
        let finished = Finished {
            answer: self.kept.completed(200, EVENT_STREAM),
            usage: Usage {
                prompt_tokens,
                completion_tokens,
            },
            first: up.first.unwrap_or_default(),
            retry_after: None,
            at: unix_millis(),
        };
        let attempt = up.dispatch.attempt;
        self.report(attempt, AttemptReport::Finished(finished));
    }

    fn finish_whole(&mut self, at: usize, answer: WholeAnswer) {
        self.headers = self.upstreams[at].dispatch.headers.clone();
        self.kept.push(&answer.body);
        let finished = Finished {
            answer: self
                .kept
                .completed(answer.status, answer.content_type.clone()),
            usage: Usage::default(),
            first: self.upstreams[at].sent.elapsed(),
            retry_after: answer.retry_after,
            at: unix_millis(),
        };
        self.whole = Some(answer);
        let attempt = self.upstreams[at].dispatch.attempt;
        self.report(attempt, AttemptReport::Finished(finished));
    }

    fn rate_now(&self, class: ClassId, version: VersionId, timeout: Duration) {
        let answer = sse::assemble(&self.held).text;
        let prompt = Arc::clone(&self.prompt);
        let (hub, request) = (Arc::clone(&self.tools.hub), self.request);
        let ratings = self.tools.ratings.clone();
        tokio::spawn(async move {
            let score = match ratings {
                Some(ratings) => {
                    ratings
                        .rate(request, &class, &version, &prompt, &answer, timeout)
                        .await
                }
                None => None,
            };
            hub.event(EntryEvent::HeldRated { request, score });
        });
    }

    fn sample(&self, class: ClassId, version: VersionId) {
        let (Some(ratings), Some(body)) = (&self.tools.ratings, &self.kept.body) else {
            return;
        };
        let answer = sse::assemble(body).text;
        ratings.sample(self.request, class, version, &self.prompt, answer);
    }

    fn report(&self, attempt: Attempt, report: AttemptReport) {
        self.tools.hub.event(EntryEvent::Attempt {
            request: self.request,
            attempt,
            report,
        });
    }

    /// Reads to the end without a caller: the answer and its billing entry are
    /// still recorded.
    async fn run_out(mut self) {
        while self.next().await.is_some() {}
    }
}

impl Drop for Driver {
    fn drop(&mut self) {
        if self.over {
            return self.tools.hub.close(self.request);
        }
        let request = self.request;
        self.tools.hub.event(EntryEvent::CallerGone { request });
        let (_, closed) = tokio::sync::mpsc::unbounded_channel();
        let rest = Self {
            tools: self.tools.clone(),
            request,
            rx: std::mem::replace(&mut self.rx, closed),
            outgoing: Arc::clone(&self.outgoing),
            upstreams: std::mem::take(&mut self.upstreams),
            headers: ResponseHeaders::default(),
            prompt: Arc::clone(&self.prompt),
            kept: std::mem::replace(&mut self.kept, Kept::new(0)),
            tail: std::mem::take(&mut self.tail),
            held: std::mem::take(&mut self.held),
            ready: std::collections::VecDeque::new(),
            whole: self.whole.take(),
            timer: Box::pin(sleep(Duration::from_secs(1))),
            over: false,
        };
        let Ok(runtime) = tokio::runtime::Handle::try_current() else {
            return;
        };
        runtime.spawn(rest.run_out_if_wanted());
    }
}

impl Driver {
    /// Goes on only if the core still has the request.
    async fn run_out_if_wanted(mut self) {
        let request = self.request;
        if self.tools.hub.with(|core| core.has(request)) {
            return self.run_out().await;
        }
        // Orders to drop attempts are already in the channel.
        while let Ok(order) = self.rx.try_recv() {
            self.obey(order);
        }
        self.over = true;
    }
}

impl Kept {
    fn new(cap: usize) -> Self {
        Self {
            wanted: false,
            cap,
            body: Some(Vec::new()),
        }
    }

    fn push(&mut self, piece: &[u8]) {
        if !self.wanted {
            return;
        }
        match &mut self.body {
            Some(body) if body.len() + piece.len() <= MAX_RAW => body.extend_from_slice(piece),
            body => *body = None,
        }
    }

    /// What the record of a claim keeps of the answer.
    ///
    /// A stream is kept as its text: 272 tokens are some 54 KB of events, which
    /// no record takes, and a kilobyte or two of text, so that a resend gets its
    /// answer long after the backend server forgot the stream.
    fn completed(&self, status: u16, content_type: SmolStr) -> Completed {
        let raw = self.body.as_deref().filter(|_| self.wanted);
        let (content_type, body) = match raw {
            Some(events) if content_type == EVENT_STREAM => (JSON, Some(sse::unstreamed(events))),
            other => (content_type, other.map(<[u8]>::to_vec)),
        };
        Completed {
            status,
            content_type,
            digest: body.as_deref().map_or(0, xxh3_128),
            length: body.as_deref().map_or(0, |body| body.len() as u64),
            body: body.filter(|body| body.len() <= self.cap),
        }
    }
}

fn cancel_later(client: &Client, dispatch: &Dispatch) {
    let (client, server, id) = (client.clone(), dispatch.server.addr, dispatch.id);
    tokio::spawn(async move {
        super::upstream::cancel(&client, server, id, Duration::from_secs(2)).await;
    });
}
