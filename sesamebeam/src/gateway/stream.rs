//! Passing a stream on to its caller, going on elsewhere when it breaks.
//!
//! The body is polled by the task of the caller's connection, so that an event
//! costs no hop between tasks. When the caller leaves, the body is dropped and
//! with it the connection to the backend server, which ends the run there.

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
    request::ResponseHead, //
};
use tokio::time::timeout_at;

use super::{
    answer::{
        Answer,
        Broken, //
    },
    attempt::{
        Arrived,
        Attempt,
        unsent, //
    },
    events::Events,
    flight::Flight,
    head::strip_hop_by_hop,
    send::{
        SILENT_FOR,
        Sent, //
    },
};
use crate::{
    exposition::RequestEnd,
    http::client::ConnectionGuard, //
};

/// Pause between two events, in longest pauses that are on time, after which a
/// silent backend server is given up: callers wait for twice as many.
const GAPS: u32 = 4;

/// A stream on its way to the caller.
pub(super) struct Relay {
    attempt: Attempt,
    events: Events,
    /// When the first events came.
    began: Option<Instant>,
    source: Option<Source>,
}

/// The run that a stream comes from.
struct Source {
    choice: Flight,
    body: Incoming,
    head: ResponseHead,
    lease: Option<ConnectionGuard>,
}

/// What the next look at the source gave.
enum Step {
    /// Whole events.
    Events(Bytes),
    /// The stream is complete.
    Done,
    /// It broke off.
    Broke(Outcome),
    /// The time is over.
    Late,
}

impl Relay {
    /// Makes the answer that sends a stream on.
    pub(super) fn answer(attempt: Attempt, arrived: Arrived) -> Answer {
        let Arrived {
            choice,
            response,
            head,
            lease,
        } = arrived;
        let (mut parts, body) = response.into_parts();
        strip_hop_by_hop(&mut parts.headers);
        let relay = Self {
            events: Events::after(attempt.req.head.resume_after),
            attempt,
            began: None,
            source: Some(Source {
                choice,
                body,
                head,
                lease: Some(lease),
            }),
        };
        let frames = try_unfold(relay, |relay| async move { relay.next().await });
        let body = BodyExt::boxed_unsync(StreamBody::new(frames));
        Response::from_parts(parts, body)
    }

    async fn next(mut self) -> Result<Option<(Frame<Bytes>, Self)>, Broken> {
        loop {
            match self.step().await {
                Step::Events(events) => {
                    self.began.get_or_insert_with(Instant::now);
                    return Ok(Some((Frame::data(events), self)));
                }
                Step::Done => {
                    self.complete();
                    return Ok(None);
                }
                Step::Broke(outcome) => {
                    self.began = None;
                    self.end_source(outcome);
                    if !self.resume().await {
                        self.attempt.count(RequestEnd::StreamBroken);
                        self.log("stream broke off");
                        return Err(Broken::Stream);
                    }
                }
                Step::Late => {
                    self.end_source(Outcome::Dropped);
                    self.attempt.count(RequestEnd::StreamBroken);
                    self.log("stream not complete in time");
                    return Err(Broken::Late);
                }
            }
        }
    }

    async fn step(&mut self) -> Step {
        let Some(source) = &mut self.source else {
            return Step::Broke(Outcome::Dropped);
        };
        let until = self.attempt.req.until;
        let gap = self.attempt.plan.route.gap.unwrap_or(SILENT_FOR);
        let patience = SILENT_FOR.max(gap * GAPS);
        loop {
            let silent_at = Instant::now() + patience;
            let frame = timeout_at(until.min(silent_at).into(), source.body.frame()).await;
            match frame {
                Err(_) if Instant::now() >= until => return Step::Late,
                Err(_) => {
                    let attempt = &self.attempt;
                    let heard = attempt.gateway.router().last_response_at(&source.choice.id);
                    let silent = attempt.gateway.now().saturating_sub(heard) > SILENT_FOR;
                    let resumable = attempt.plan.route.resumable;
                    if silent && resumable && attempt.could_go_on(attempt.sends, &source.choice) {
                        return Step::Broke(Outcome::Silent);
                    }
                }
                Ok(None) if self.events.is_whole() => return Step::Done,
                Ok(None) | Ok(Some(Err(_))) => return Step::Broke(Outcome::Failed),
                Ok(Some(Ok(frame))) => {
                    let Ok(piece) = frame.into_data() else {
                        continue;
                    };
                    let gateway = &self.attempt.gateway;
                    gateway
                        .router()
                        .record_response(gateway.now(), &source.choice.id, None);
                    match self.events.push(piece) {
                        Ok(events) if events.is_empty() => {}
                        Ok(events) => return Step::Events(events),
                        Err(_) => return Step::Broke(Outcome::Failed),
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
            self.attempt.give_back(lease, &source.head);
        }
        self.note_pace(&source.choice);
        source.choice.end(Outcome::Good);
        let fingerprint = self.attempt.req.fingerprint;
        self.attempt.gateway.router().record_completion(fingerprint);
        self.attempt.count(RequestEnd::StreamComplete);
        self.log("stream complete");
    }

    /// Notes the pace of a stream that came from one run.
    fn note_pace(&self, choice: &Flight) {
        let gaps = self.events.count().saturating_sub(1);
        if gaps == 0 {
            return;
        }
        let Some(began) = self.began else {
            return;
        };
        let pace = began.elapsed().div_f64(gaps as f64);
        let attempt = &self.attempt;
        let model = attempt.model.as_deref();
        let mut router = attempt.gateway.router();
        router.record_event_interval(&attempt.plan, choice, model, pace);
    }

    fn end_source(&mut self, outcome: Outcome) {
        if let Some(mut source) = self.source.take() {
            if outcome == Outcome::Silent {
                self.attempt.gateway.client.retire(source.choice.addr);
            }
            if outcome == Outcome::Failed {
                let attempt = &self.attempt;
                attempt.gateway.suspect_crash(&attempt.req, &source.choice);
            }
            source.choice.end(outcome);
            self.attempt.tried.push(source.choice.id.clone());
        }
        self.events.drop_rest();
    }

    /// Goes on at another backend server after the last whole event.
    async fn resume(&mut self) -> bool {
        if !self.attempt.plan.route.resumable {
            return false;
        }
        loop {
            if !self.attempt.has_attempts_left() || !self.attempt.may_repeat_in_budget() {
                return false;
            }
            let Ok(choice) = self.attempt.choose() else {
                return false;
            };
            if self.resume_at(choice).await {
                return true;
            }
        }
    }

    async fn resume_at(&mut self, mut choice: Flight) -> bool {
        let attempt = &self.attempt;
        let last = self.events.last();
        let model = attempt.model.clone();
        let watch = attempt.could_go_on(attempt.sends + 1, &choice);
        let sent = attempt
            .gateway
            .send(
                &attempt.req,
                &attempt.plan,
                &choice,
                model.as_deref(),
                last,
                watch,
            )
            .await;
        let outcome = match sent {
            Sent::Answered(response, head, lease) if head.is_success() && head.sealed => {
                self.attempt.sends += 1;
                choice.begin(model.as_deref());
                log::info!(
                    id:% = self.attempt.req.head.id, server:% = choice.id, after:? = last,
                    limit:? = head.limit, leaving = head.leaving;
                    "stream goes on"
                );
                self.source = Some(Source {
                    choice,
                    body: response.into_body(),
                    head,
                    lease: Some(lease),
                });
                return true;
            }
            Sent::Answered(_, head, _) if head.not_run || head.misdirected => Outcome::Refused,
            Sent::Answered(..) | Sent::Broken(_) => Outcome::Failed,
            Sent::Unsent(e) => unsent(&e),
            Sent::Dark => Outcome::Silent,
            Sent::Late => Outcome::Dropped,
        };
        self.attempt.sends += 1;
        choice.end(outcome);
        self.attempt.tried.push(choice.id.clone());
        false
    }

    fn log(&self, what: &str) {
        let took: Duration = self.attempt.req.came.elapsed();
        log::info!(
            id:% = self.attempt.req.head.id, events = self.events.count(),
            sends = self.attempt.sends, ms = took.as_millis() as u64;
            "{what}"
        );
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        if self.source.is_some() {
            self.attempt.count(RequestEnd::Left);
            self.log("stream dropped");
        }
    }
}
