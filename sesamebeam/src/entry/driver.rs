//! The task of one request: executes the commands of the core, reads the
//! responses to its attempts and forwards the answer.

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
    },
};
use xxhash_rust::xxh3::xxh3_128;

use super::{
    hub::{
        Hub,
        RequestCommand,
        unix_millis, //
    },
    rating::RatingClient,
    upstream::{
        AttemptLimits,
        ServiceResponse,
        Upstream,
        UpstreamEvent,
        UpstreamRequest, //
    },
};
use crate::{
    http::{
        client::Client,
        sse, //
    },
    intake::WholeBody,
};

/// Content type of a streamed answer.
pub(crate) const EVENT_STREAM: SmolStr = SmolStr::new_static("text/event-stream");

/// Maximum number of bytes of one answer that are buffered as received.
const MAX_BUFFERED_BYTES: usize = 4 << 20;

/// Content type of a recorded chat answer.
const JSON_TYPE: SmolStr = SmolStr::new_static("application/json");

/// State of the process that every driver uses.
#[derive(Clone)]
pub(crate) struct DriverContext {
    /// Access to the entry core.
    pub(crate) hub: Arc<Hub>,
    /// HTTP client for backend servers.
    pub(crate) client: Client,
    /// Client of the rating service, if one is configured.
    pub(crate) ratings: Option<Arc<RatingClient>>,
    /// Maximum size of an answer that is recorded for resent requests, in bytes.
    pub(crate) max_kept_bytes: usize,
    /// Maximum size of a response of a plain service, in bytes.
    pub(crate) max_body_bytes: usize,
    /// Maximum wait for the response head when a stream is resumed or a result is
    /// looked up.
    pub(crate) resume_timeout: Duration,
}

/// Part of the response to the caller.
#[derive(Debug)]
pub(crate) enum ResponsePart {
    /// Complete events of the answer.
    Events(Bytes),
    /// The complete response of a plain service.
    Service(ServiceResponse),
    /// The recorded answer of an earlier request.
    Replay(Completed),
    /// The answer is complete.
    End,
    /// The request was refused.
    Refused(Refusal),
}

/// Executes the commands of the core for one request.
pub(crate) struct Driver {
    context: DriverContext,
    request: RequestId,
    rx: UnboundedReceiver<RequestCommand>,
    outgoing: Arc<UpstreamRequest>,
    upstreams: Vec<Upstream>,
    /// Header values of the attempt whose answer is forwarded.
    headers: ResponseHeaders,
    /// Part of the prompt that is sent to the rating service.
    prompt: Arc<str>,
    /// The caller's body, which `outgoing` may share.
    _body: Option<WholeBody>,
    /// Body of the current answer, if it is to be recorded.
    buffer: AnswerBuffer,
    /// Most recent events, which contain the token usage at the end of an answer.
    last_events: Bytes,
    /// Events that are held back until the core releases them.
    held: BytesMut,
    /// Response parts that are ready to be returned.
    ready: std::collections::VecDeque<ResponsePart>,
    /// Response of a plain service, until the core finishes the request.
    service_response: Option<ServiceResponse>,
    timer: Pin<Box<Sleep>>,
    ended: bool,
}

/// Buffers an answer as received, if the core asked to keep it and it is no
/// longer than [`MAX_BUFFERED_BYTES`].
struct AnswerBuffer {
    wanted: bool,
    /// Maximum size of an answer that is stored in the record of a claim.
    max_record_bytes: usize,
    body: Option<Vec<u8>>,
}

impl Driver {
    /// Creates the driver of a request; `rx` receives the commands of the core.
    pub(crate) fn new(
        context: DriverContext,
        request: RequestId,
        rx: UnboundedReceiver<RequestCommand>,
        outgoing: UpstreamRequest,
        prompt: Arc<str>,
    ) -> Self {
        let max_record_bytes = context.max_kept_bytes;
        Self {
            context,
            request,
            rx,
            outgoing: Arc::new(outgoing),
            upstreams: Vec::new(),
            headers: ResponseHeaders::default(),
            prompt,
            _body: None,
            buffer: AnswerBuffer::new(max_record_bytes),
            last_events: Bytes::new(),
            held: BytesMut::new(),
            ready: std::collections::VecDeque::new(),
            service_response: None,
            timer: Box::pin(sleep(Duration::from_secs(3600))),
            ended: false,
        }
    }

    /// Keeps the memory of the caller's body counted until the request has ended.
    pub(crate) fn hold(&mut self, body: WholeBody) {
        self._body = Some(body);
    }

    /// Returns the header values of the answer, known with its first part.
    pub(crate) fn headers(&self) -> &ResponseHeaders {
        &self.headers
    }

    /// Returns the id of the request.
    pub(crate) fn request(&self) -> RequestId {
        self.request
    }

    /// Waits for the next part of the response; `None` after the last.
    pub(crate) async fn next(&mut self) -> Option<ResponsePart> {
        poll_fn(|cx| self.poll_part(cx)).await
    }

    fn poll_part(&mut self, cx: &mut Context<'_>) -> Poll<Option<ResponsePart>> {
        loop {
            if let Some(step) = self.ready.pop_front() {
                if matches!(
                    step,
                    ResponsePart::End | ResponsePart::Refused(_) | ResponsePart::Replay(_)
                ) {
                    self.ended = true;
                }
                return Poll::Ready(Some(step));
            }
            if self.ended {
                return Poll::Ready(None);
            }
            if self.poll_commands(cx) | self.poll_upstreams(cx) | self.poll_progress_timer(cx) {
                continue;
            }
            return Poll::Pending;
        }
    }

    fn poll_commands(&mut self, cx: &mut Context<'_>) -> bool {
        let mut any = false;
        while let Poll::Ready(Some(command)) = self.rx.poll_recv(cx) {
            any = true;
            self.handle_command(command);
        }
        any
    }

    fn poll_upstreams(&mut self, cx: &mut Context<'_>) -> bool {
        let mut at = 0;
        while at < self.upstreams.len() {
            if let Poll::Ready(heard) = self.upstreams[at].poll_next(cx) {
                if self.handle_upstream_event(at, heard) {
                    self.upstreams.remove(at);
                }
                // The first event of one attempt may cause the core to drop the
                // others, so its commands are handled before reading continues.
                return true;
            }
            at += 1;
        }
        false
    }

    /// Reports attempts that received nothing since the last check. Activity is a
    /// flag that is checked periodically, so that no timer is reset for each token.
    fn poll_progress_timer(&mut self, cx: &mut Context<'_>) -> bool {
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

    fn handle_command(&mut self, command: RequestCommand) {
        match command {
            RequestCommand::Dispatch(dispatch) => self.dispatch(dispatch),
            RequestCommand::Drop(attempt, cancel) => self.drop_attempt(attempt, cancel),
            RequestCommand::Replay(answer, headers) => {
                self.headers = headers;
                self.ready.push_back(ResponsePart::Replay(answer));
            }
            RequestCommand::Refuse(refusal) => {
                self.upstreams.clear();
                self.ready.push_back(ResponsePart::Refused(refusal));
            }
            RequestCommand::Release => {
                let held = self.held.split().freeze();
                self.ready.push_back(ResponsePart::Events(held));
            }
            RequestCommand::Finish => {
                if let Some(response) = self.service_response.take() {
                    self.ready.push_back(ResponsePart::Service(response));
                }
                self.ready.push_back(ResponsePart::End);
            }
            RequestCommand::RateNow(class, version, timeout) => {
                self.rate_now(class, version, timeout)
            }
            RequestCommand::Sample(class, version) => self.sample(class, version),
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
            self.buffer = AnswerBuffer::new(self.context.max_kept_bytes);
        }
        self.buffer.wanted = dispatch.keep;
        let progress = dispatch.progress;
        let send_by = self.context.hub.instant(dispatch.send_by);
        let limits = AttemptLimits {
            send_by,
            max_body_bytes: self.context.max_body_bytes,
            resume_timeout: self.context.resume_timeout,
        };
        let up = Upstream::start(&self.context.client, &self.outgoing, dispatch, limits);
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
            spawn_cancel(&self.context.client, &up.dispatch);
        }
    }

    /// Handles an event of an attempt; returns whether the attempt has ended.
    fn handle_upstream_event(&mut self, at: usize, heard: UpstreamEvent) -> bool {
        match heard {
            UpstreamEvent::Events(events) => {
                self.take_events(at, events);
                false
            }
            UpstreamEvent::Last(events) => {
                let usage = sse::usage(&events).or_else(|| sse::usage(&self.last_events));
                self.take_events(at, events);
                self.finish_stream(at, usage);
                true
            }
            UpstreamEvent::Service(answer) => {
                self.finish_service(at, answer);
                true
            }
            UpstreamEvent::Ended(report) => {
                let attempt = self.upstreams[at].dispatch.attempt;
                self.report(attempt, report);
                true
            }
        }
    }

    fn take_events(&mut self, at: usize, events: Bytes) {
        let up = &mut self.upstreams[at];
        if up.first_event_after.is_none() {
            up.first_event_after = Some(up.sent_at.elapsed());
            self.headers = up.dispatch.headers.clone();
            let attempt = up.dispatch.attempt;
            self.report(attempt, AttemptReport::Started);
        }
        let hold = self.upstreams[at].dispatch.hold;
        self.buffer.push(&events);
        self.last_events = events.clone();
        if hold {
            self.held.extend_from_slice(&events);
        } else {
            self.ready.push_back(ResponsePart::Events(events));
        }
    }

    fn finish_stream(&mut self, at: usize, usage: Option<(u32, u32)>) {
        let up = &self.upstreams[at];
        let (prompt_tokens, completion_tokens) = usage.unwrap_or_default();
        let finished = Finished {
            answer: self.buffer.completed(200, EVENT_STREAM),
            usage: Usage {
                prompt_tokens,
                completion_tokens,
            },
            first: up.first_event_after.unwrap_or_default(),
            retry_after: None,
            at: unix_millis(),
        };
        let attempt = up.dispatch.attempt;
        self.report(attempt, AttemptReport::Finished(finished));
    }

    fn finish_service(&mut self, at: usize, answer: ServiceResponse) {
        self.headers = self.upstreams[at].dispatch.headers.clone();
        self.buffer.push(&answer.body);
        let finished = Finished {
            answer: self
                .buffer
                .completed(answer.status, answer.content_type.clone()),
            usage: Usage::default(),
            first: self.upstreams[at].sent_at.elapsed(),
            retry_after: answer.retry_after,
            at: unix_millis(),
        };
        self.service_response = Some(answer);
        let attempt = self.upstreams[at].dispatch.attempt;
        self.report(attempt, AttemptReport::Finished(finished));
    }

    fn rate_now(&self, class: ClassId, version: VersionId, timeout: Duration) {
        let answer = sse::assemble(&self.held).text;
        let prompt = Arc::clone(&self.prompt);
        let (hub, request) = (Arc::clone(&self.context.hub), self.request);
        let ratings = self.context.ratings.clone();
        tokio::spawn(async move {
            let score = match ratings {
                Some(ratings) => {
                    ratings
                        .rate(request, &class, &version, &prompt, &answer, timeout)
                        .await
                }
                None => None,
            };
            hub.handle_event(EntryEvent::HeldRated { request, score });
        });
    }

    fn sample(&self, class: ClassId, version: VersionId) {
        let (Some(ratings), Some(body)) = (&self.context.ratings, &self.buffer.body) else {
            return;
        };
        let answer = sse::assemble(body).text;
        ratings.sample(self.request, class, version, &self.prompt, answer);
    }

    fn report(&self, attempt: Attempt, report: AttemptReport) {
        self.context.hub.handle_event(EntryEvent::Attempt {
            request: self.request,
            attempt,
            report,
        });
    }

    /// Reads the answer to its end after the caller has disconnected, so that the
    /// answer and its billing entry are recorded.
    async fn drain(mut self) {
        while self.next().await.is_some() {}
    }
}

impl Drop for Driver {
    fn drop(&mut self) {
        if self.ended {
            return self.context.hub.unregister(self.request);
        }
        let request = self.request;
        self.context
            .hub
            .handle_event(EntryEvent::CallerGone { request });
        let (_, closed) = tokio::sync::mpsc::unbounded_channel();
        let rest = Self {
            context: self.context.clone(),
            request,
            rx: std::mem::replace(&mut self.rx, closed),
            outgoing: Arc::clone(&self.outgoing),
            upstreams: std::mem::take(&mut self.upstreams),
            headers: ResponseHeaders::default(),
            prompt: Arc::clone(&self.prompt),
            _body: self._body.take(),
            buffer: std::mem::replace(&mut self.buffer, AnswerBuffer::new(0)),
            last_events: std::mem::take(&mut self.last_events),
            held: std::mem::take(&mut self.held),
            ready: std::collections::VecDeque::new(),
            service_response: self.service_response.take(),
            timer: Box::pin(sleep(Duration::from_secs(1))),
            ended: false,
        };
        let Ok(runtime) = tokio::runtime::Handle::try_current() else {
            return;
        };
        runtime.spawn(rest.drain_if_active());
    }
}

impl Driver {
    /// Drains the answer if the core still has the request.
    async fn drain_if_active(mut self) {
        let request = self.request;
        if self.context.hub.with(|core| core.has(request)) {
            return self.drain().await;
        }
        // Commands that drop attempts are already in the channel.
        while let Ok(command) = self.rx.try_recv() {
            self.handle_command(command);
        }
        self.ended = true;
    }
}

impl AnswerBuffer {
    fn new(max_record_bytes: usize) -> Self {
        Self {
            wanted: false,
            max_record_bytes,
            body: Some(Vec::new()),
        }
    }

    fn push(&mut self, chunk: &[u8]) {
        if !self.wanted {
            return;
        }
        match &mut self.body {
            Some(body) if body.len() + chunk.len() <= MAX_BUFFERED_BYTES => {
                body.extend_from_slice(chunk)
            }
            body => *body = None,
        }
    }

    /// Returns the answer in the form that is stored in the record of a claim.
    ///
    /// A stream is stored in its unstreamed form: 272 tokens take about 54 KB as
    /// events, which exceeds the limit of a record, but only one or two KB as text.
    /// A resent request can so be answered long after the backend server has
    /// discarded the stream.
    fn completed(&self, status: u16, content_type: SmolStr) -> Completed {
        let raw = self.body.as_deref().filter(|_| self.wanted);
        let (content_type, body) = match raw {
            Some(events) if content_type == EVENT_STREAM => {
                (JSON_TYPE, Some(sse::to_unstreamed(events)))
            }
            other => (content_type, other.map(<[u8]>::to_vec)),
        };
        Completed {
            status,
            content_type,
            digest: body.as_deref().map_or(0, xxh3_128),
            length: body.as_deref().map_or(0, |body| body.len() as u64),
            body: body.filter(|body| body.len() <= self.max_record_bytes),
        }
    }
}

fn spawn_cancel(client: &Client, dispatch: &Dispatch) {
    let (client, server, id) = (client.clone(), dispatch.server.addr, dispatch.id);
    tokio::spawn(async move {
        super::upstream::cancel(&client, server, id, Duration::from_secs(2)).await;
    });
}
