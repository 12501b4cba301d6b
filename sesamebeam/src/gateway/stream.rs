//! Relaying of a stream to the caller, resuming it at another backend server if it is
//! interrupted.
//!
//! The body is polled by the task of the caller's connection, so that events are not
//! handed between tasks. When the caller disconnects, the body is dropped together with
//! the connection to the backend server, which cancels the run there.

use std::time::{
    Duration,
    Instant, //
};

use bytes::Bytes;
use futures::stream::try_unfold;
use http_body_util::{
    BodyExt,
    StreamBody, //
};
use hyper::{
    Response,
    body::{
        Frame,
        Incoming, //
    },
};
use sesamebeam_core::gateway::{
    balance::Outcome,
    request::{
        AnswerStage,
        ResponseHead, //
    },
    router::{
        ChooseError,
        Elsewhere, //
    },
};
use tokio::time::timeout_at;

use super::{
    dispatch::{
        Dispatch,
        PendingResponse, //
    },
    event_splitter::EventSplitter,
    forwarding::{
        Forwarded,
        PeerAnswer,
        PeerSend, //
    },
    hop_by_hop::strip_hop_by_hop,
    in_flight::InFlightSend,
    response::{
        BodyError,
        CallerResponse, //
    },
    send::{
        SendResult,
        SendTerms, //
    },
};
use crate::{
    exposition::{
        RequestEnd,
        RetryReason, //
    },
    http::{
        client::ConnectionGuard,
        received::is_success_until_closed, //
    },
};

/// Number of event intervals, each of the route's maximum, without an event after which
/// an unresponsive backend server is abandoned. Callers wait for twice as many.
const MAX_EVENT_INTERVALS: u32 = 4;

/// A stream that is being relayed to the caller.
pub(super) struct Relay {
    dispatch: Dispatch,
    events: EventSplitter,
    /// When the first events of the current run were received.
    first_event_at: Option<Instant>,
    /// Number of events before the current run.
    events_before_run: u64,
    source: Option<Source>,
}

/// Where a stream comes from.
enum Upstream {
    /// A backend server.
    Server(InFlightSend),
    /// Another entry, which judges its own source.
    Peer { _send: PeerSend },
}

/// The run that currently produces the stream.
struct Source {
    upstream: Upstream,
    body: Incoming,
    head: ResponseHead,
    lease: Option<ConnectionGuard>,
    /// Whether the end of the connection ends the stream.
    is_until_closed: bool,
    /// Whether that is no sound end yet.
    awaits_event: bool,
}

/// Result of an attempt to resume a stream.
enum Resumption {
    /// The stream goes on.
    Resumed,
    /// Nothing was sent.
    Unsent,
    /// The attempt failed, or the backend server rejected it.
    Failed,
}

/// Result of reading from the source.
enum Step {
    /// Complete events.
    Data(Bytes),
    /// The stream is complete.
    Complete,
    /// The stream was interrupted.
    Interrupted(Outcome),
    /// The deadline has passed.
    TimedOut,
}

impl Relay {
    /// Creates the response that relays a stream.
    pub(super) fn response(dispatch: Dispatch, pending: PendingResponse) -> CallerResponse {
        let PendingResponse {
            choice,
            response,
            head,
            lease,
        } = pending;
        Self::respond(dispatch, Upstream::Server(choice), response, head, lease)
    }

    /// Creates the response that relays a stream from another entry.
    pub(super) fn response_from_peer(dispatch: Dispatch, answer: PeerAnswer) -> CallerResponse {
        let PeerAnswer {
            send,
            mut response,
            head,
            lease,
        } = answer;
        let mut dispatch = dispatch;
        dispatch.take_sends(response.headers_mut());
        Self::respond(
            dispatch,
            Upstream::Peer { _send: send },
            response,
            head,
            lease,
        )
    }

    fn respond(
        dispatch: Dispatch,
        upstream: Upstream,
        response: Response<Incoming>,
        head: ResponseHead,
        lease: ConnectionGuard,
    ) -> CallerResponse {
        let awaits_event = is_success_until_closed(&response);
        let (mut parts, body) = response.into_parts();
        strip_hop_by_hop(&mut parts.headers);
        let relay = Self {
            events: EventSplitter::starting_after(dispatch.req.head.resume_after),
            dispatch,
            first_event_at: None,
            events_before_run: 0,
            source: Some(Source {
                upstream,
                body,
                head,
                lease: Some(lease),
                is_until_closed: awaits_event,
                awaits_event,
            }),
        };
        let frames = try_unfold(relay, |relay| async move { relay.next().await });
        let body = BodyExt::boxed_unsync(StreamBody::new(frames));
        Response::from_parts(parts, body)
    }

    async fn next(mut self) -> Result<Option<(Frame<Bytes>, Self)>, BodyError> {
        loop {
            match self.step().await {
                Step::Data(data) => {
                    self.record_events();
                    return Ok(Some((Frame::data(data), self)));
                }
                Step::Complete => {
                    self.complete();
                    return Ok(None);
                }
                Step::Interrupted(outcome) => {
                    self.end_source(outcome);
                    self.first_event_at = None;
                    self.events_before_run = self.events.count();
                    if !self.resume().await {
                        self.dispatch.record_end(RequestEnd::StreamBroken);
                        self.log("stream broke off");
                        return Err(BodyError::Interrupted);
                    }
                }
                Step::TimedOut => {
                    self.end_source(Outcome::Dropped);
                    self.dispatch.record_end(RequestEnd::StreamBroken);
                    self.log("stream not complete in time");
                    return Err(BodyError::DeadlineExceeded);
                }
            }
        }
    }

    /// Records how far the current run has come.
    fn record_events(&mut self) {
        self.first_event_at.get_or_insert_with(Instant::now);
        let (gateway, plan) = (&self.dispatch.gateway, &self.dispatch.plan);
        let events = self.events_of_run();
        gateway.router().record_events(gateway.now(), plan, events);
    }

    /// Returns how far the answer of the current run has come.
    fn stage(&self) -> AnswerStage {
        match self.events_of_run() {
            0 => AnswerStage::Begun,
            events => AnswerStage::UnderWay { events },
        }
    }

    /// Returns the number of events that the current run has sent.
    fn events_of_run(&self) -> u32 {
        let events = self.events.count().saturating_sub(self.events_before_run);
        u32::try_from(events).unwrap_or(u32::MAX)
    }

    async fn step(&mut self) -> Step {
        let Some(source) = &mut self.source else {
            return Step::Interrupted(Outcome::Dropped);
        };
        let deadline = self.dispatch.req.deadline;
        let silence_timeout = self.dispatch.gateway.silence_timeout();
        let max_interval = self.dispatch.plan.route.gap.unwrap_or(silence_timeout);
        let max_silence = silence_timeout.max(max_interval * MAX_EVENT_INTERVALS);
        loop {
            let check_at = Instant::now() + max_silence;
            let frame = timeout_at(deadline.min(check_at).into(), source.body.frame()).await;
            match frame {
                Err(_) if Instant::now() >= deadline => return Step::TimedOut,
                Err(_) => {
                    let dispatch = &self.dispatch;
                    let Upstream::Server(choice) = &source.upstream else {
                        continue;
                    };
                    let last_response = dispatch.gateway.router().last_response_at(&choice.id);
                    let is_silent =
                        dispatch.gateway.now().saturating_sub(last_response) > silence_timeout;
                    let resumable = dispatch.plan.route.resumable;
                    if is_silent
                        && resumable
                        && dispatch.has_alternative_after(dispatch.sends, choice)
                    {
                        return Step::Interrupted(Outcome::Silent);
                    }
                }
                Ok(None) if self.events.is_at_boundary() && !source.awaits_event => {
                    return Step::Complete;
                }
                Ok(None) | Ok(Some(Err(_))) => return Step::Interrupted(Outcome::Failed),
                Ok(Some(Ok(frame))) => {
                    let Ok(chunk) = frame.into_data() else {
                        continue;
                    };
                    let gateway = &self.dispatch.gateway;
                    if let Upstream::Server(choice) = &source.upstream {
                        gateway
                            .router()
                            .record_response(gateway.now(), &choice.id, None);
                    }
                    match self.events.push(chunk) {
                        Ok(data) if data.is_empty() => {}
                        Ok(data) => {
                            source.awaits_event = false;
                            return Step::Data(data);
                        }
                        Err(_) => return Step::Interrupted(Outcome::Failed),
                    }
                }
            }
        }
    }

    fn complete(&mut self) {
        let Some(mut source) = self.source.take() else {
            return;
        };
        if let Some(lease) = source.lease.take() {
            self.dispatch.return_connection(lease, &source.head);
        }
        let dispatch = &self.dispatch;
        match &mut source.upstream {
            Upstream::Server(choice) => {
                self.record_event_interval(choice);
                choice.record_outcome(Outcome::Good);
                match source.is_until_closed {
                    true => dispatch.record_until_closed(choice, self.stage()),
                    false => dispatch.record_completion(),
                }
            }
            // The entry that sent it knows whether its backend server lives.
            Upstream::Peer { .. } => {}
        }
        self.dispatch.record_end(RequestEnd::StreamComplete);
        self.log("stream complete");
    }

    /// Records the mean interval between the events of a stream that came from a single
    /// run.
    fn record_event_interval(&self, choice: &InFlightSend) {
        let intervals = self.events.count().saturating_sub(1);
        if intervals == 0 {
            return;
        }
        let Some(first_event_at) = self.first_event_at else {
            return;
        };
        let duration = first_event_at.elapsed();
        let interval = duration.div_f64(intervals as f64);
        let dispatch = &self.dispatch;
        let model = dispatch.model.as_deref();
        let now = dispatch.gateway.now();
        let mut router = dispatch.gateway.router();
        router.record_event_interval(&dispatch.plan, choice, model, interval);
        let events = self.events.count();
        router.record_stream(now, &dispatch.plan, choice, model, events, duration);
    }

    fn end_source(&mut self, outcome: Outcome) {
        self.events.discard_partial();
        let Some(source) = self.source.take() else {
            return;
        };
        let Upstream::Server(mut choice) = source.upstream else {
            return;
        };
        if outcome == Outcome::Silent {
            self.dispatch.gateway.client.retire(choice.addr);
        }
        if outcome == Outcome::Failed {
            self.dispatch.check_for_crash(&choice, self.stage());
        }
        choice.record_outcome(outcome);
        self.dispatch.tried.push(choice.id.clone());
    }

    /// Resumes the stream at another backend server, or through another entry, after the
    /// last complete event.
    async fn resume(&mut self) -> bool {
        // Another entry that this stream is for resumes it, as it knows how often it was sent.
        if !self.dispatch.plan.route.resumable || !self.dispatch.origin.is_caller() {
            return false;
        }
        while self.dispatch.has_attempts_left() && !self.dispatch.prefers_peer() {
            if !self.dispatch.try_spend_retry(RetryReason::Resumed) {
                return false;
            }
            let mut chosen = self.dispatch.choose();
            if matches!(chosen, Err(ChooseError::NoFreeSlot)) {
                chosen = self.dispatch.wait_for_slot(Elsewhere::Peer).await;
            }
            let Ok(choice) = chosen else {
                break;
            };
            match self.resume_at(choice).await {
                Resumption::Resumed => return true,
                Resumption::Unsent | Resumption::Failed => {}
            }
        }
        self.dispatch.needs_peer() && self.resume_at_peer().await
    }

    /// Resumes the stream through another entry.
    async fn resume_at_peer(&mut self) -> bool {
        let forwarded = self.dispatch.offer_to_peers(self.events.last_id()).await;
        let Forwarded::Answered(answer) = forwarded else {
            return false;
        };
        let PeerAnswer {
            send,
            mut response,
            head,
            lease,
        } = *answer;
        self.dispatch.take_sends(response.headers_mut());
        if !head.is_success() || !head.sealed {
            return false;
        }
        let is_until_closed = is_success_until_closed(&response);
        self.source = Some(Source {
            upstream: Upstream::Peer { _send: send },
            is_until_closed,
            awaits_event: is_until_closed,
            body: response.into_body(),
            head,
            lease: Some(lease),
        });
        true
    }

    async fn resume_at(&mut self, mut choice: InFlightSend) -> Resumption {
        let dispatch = &self.dispatch;
        let last_event = self.events.last_id();
        let model = dispatch.model.clone();
        let detect_silence = dispatch.has_alternative_after(dispatch.sends + 1, &choice);
        let sent = dispatch
            .gateway
            .send(
                &dispatch.req,
                &dispatch.plan,
                &dispatch.retries,
                &choice,
                SendTerms {
                    model: model.as_deref(),
                    resume_after: last_event,
                    detect_silence,
                },
            )
            .await;
        let outcome = match sent {
            SendResult::Answered(response, head, lease) if head.is_success() && head.sealed => {
                self.dispatch.record_send();
                choice.record_first_event(model.as_deref());
                log::info!(
                    id:% = self.dispatch.req.head.id, server:% = choice.id, after:? = last_event,
                    limit:? = head.limit, leaving = head.leaving,
                    max_rejections:? = head.max_rejections;
                    "stream goes on"
                );
                let is_until_closed = is_success_until_closed(&response);
                self.source = Some(Source {
                    upstream: Upstream::Server(choice),
                    is_until_closed,
                    awaits_event: is_until_closed,
                    body: response.into_body(),
                    head: *head,
                    lease: Some(lease),
                });
                return Resumption::Resumed;
            }
            SendResult::Unsent(e) => {
                self.dispatch.record_unsent(&mut choice, &e);
                return Resumption::Unsent;
            }
            SendResult::Answered(_, head, _) if head.not_run || head.misdirected => {
                Outcome::Refused
            }
            SendResult::Answered(..) => Outcome::Failed,
            SendResult::ConnectionFailed(_) => {
                self.dispatch.check_for_crash(&choice, AnswerStage::Awaited);
                Outcome::Failed
            }
            SendResult::ServerSilent => Outcome::Silent,
            SendResult::TimedOut => Outcome::Dropped,
        };
        self.dispatch.record_send();
        choice.record_outcome(outcome);
        self.dispatch.tried.push(choice.id.clone());
        Resumption::Failed
    }

    fn log(&self, message: &str) {
        let elapsed: Duration = self.dispatch.req.received_at.elapsed();
        log::info!(
            id:% = self.dispatch.req.head.id, events = self.events.count(),
            sends = self.dispatch.sends, ms = elapsed.as_millis() as u64;
            "{message}"
        );
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        if self.source.is_some() {
            self.dispatch.record_end(RequestEnd::Left);
            self.log("stream dropped");
        }
    }
}
