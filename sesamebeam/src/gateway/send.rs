//! Sending a request to one backend server.

use std::{
    pin::pin,
    sync::Arc,
    time::{
        Duration,
        Instant, //
    },
};

use bytes::Bytes;
use http_body_util::Full;
use hyper::{
    Request,
    Response,
    Uri,
    body::Incoming,
    http::request, //
};
use sesamebeam_core::{
    gateway::{
        backoff::Backoff,
        request::{
            Head,
            Outgoing,
            ResponseHead, //
        },
        router::{
            Choice,
            Plan, //
        },
    },
    ids::Digest,
};
use tokio::time::{
    sleep,
    timeout, //
};
use xxhash_rust::xxh3::Xxh3;

use super::{
    Gateway,
    hop_by_hop::strip_hop_by_hop,
    retries::Retries, //
};
use crate::{
    http::{
        client::{
            ClientError,
            ConnectionGuard,
            Reuse,
            SendOptions, //
        },
        unread::UnreadGuard,
    },
    intake::WholeBody,
};

/// Factor for the delay of the link, which may rise while a send is under way.
const LINK_DELAY_FACTOR: u32 = 2;

/// Interval at which the time of a backend server's last response is checked.
const SILENCE_CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// Time without a response from a backend server after which it counts as silent, on a link
/// that is not full.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(1500);

/// Share of a request's remaining time after which a response that is not a stream is
/// overdue, and the upper bound of that time. Plain services respond within a tenth of it
/// on average. A broken network path or a hung process accepts a request on a kept-alive
/// connection and never responds. Without this limit, that would be noticed only when the
/// caller gives up, and all requests until then would be lost in the same way.
const OVERDUE_SHARE: f64 = 0.25;
const OVERDUE_MAX: Duration = Duration::from_millis(400);

/// Share of a request's remaining time that one backend server may take until its
/// response begins. A second server then has as much, and there is time for more.
const HEAD_TIMEOUT_SHARE: f64 = 0.4;

/// A request whose body was read completely.
pub(super) struct BufferedRequest {
    /// Parsed request head.
    pub(super) head: Head,
    /// Request head as received.
    pub(super) parts: request::Parts,
    /// Request body.
    pub(super) body: WholeBody,
    /// When the request was received.
    pub(super) received_at: Instant,
    /// Deadline: the earlier of the caller's and that of the route.
    pub(super) deadline: Instant,
}

/// Returns a hash that identifies repetitions of a request.
pub(super) fn fingerprint(head: &Head, body: &[u8]) -> Digest {
    let mut hash = Xxh3::new();
    hash.update(head.path.as_bytes());
    hash.update(head.key.as_deref().unwrap_or_default().as_bytes());
    hash.update(body);
    hash.digest128()
}

/// What differs between the sends of a request.
#[derive(Clone, Copy, Debug)]
pub(super) struct SendTerms<'a> {
    /// Model that is asked.
    pub(super) model: Option<&'a str>,
    /// Last event that the caller has.
    pub(super) resume_after: Option<u64>,
    /// Whether the send is abandoned when the backend server stops responding.
    pub(super) detect_silence: bool,
}

/// Result of a send.
pub(super) enum SendResult {
    /// The head of a response was received.
    Answered(Box<Response<Incoming>>, Box<ResponseHead>, ConnectionGuard),
    /// Nothing was sent.
    Unsent(ClientError),
    /// The connection failed, or the response belongs to another request; the request may
    /// have run.
    ConnectionFailed(String),
    /// The backend server stopped responding; the request may have run.
    ServerSilent,
    /// The deadline has passed; the request may have run.
    TimedOut,
}

impl Gateway {
    /// Sends a request and waits for the head of its response.
    ///
    pub(super) async fn send(
        &self,
        req: &BufferedRequest,
        plan: &Plan,
        retries: &Retries,
        choice: &Choice,
        terms: SendTerms<'_>,
    ) -> SendResult {
        let remaining = req.deadline.saturating_duration_since(Instant::now());
        let out = Outgoing {
            server: &choice.id,
            deadline: remaining,
            organisation: plan.organisation.as_deref(),
            rank: plan.engine_rank,
            model: terms.model,
            resume_after: terms.resume_after,
        };
        let Some(request) = self.build_request(req, &out) else {
            return SendResult::ConnectionFailed("request has no path".to_owned());
        };
        let detect_silence = terms.detect_silence;
        let options = SendOptions {
            reuse: Reuse::Any,
            header_timeout: remaining,
            send_by: None,
        };
        let sent_at = self.now();
        let unsettled = retries.begin_send(&choice.id);
        let guard: UnreadGuard = Box::new(Arc::clone(&unsettled));
        let sending = self
            .client
            .send_guarded(choice.addr, request, options, Some(guard));
        let mut sending = pin!(sending);
        let sent = if plan.route.streaming {
            tokio::select! {
                sent = sending => sent,
            () = self.wait_for_silence(choice, sent_at, remaining.mul_f64(HEAD_TIMEOUT_SHARE)), if detect_silence => {
            return SendResult::ServerSilent;
                }
            }
        } else {
            let overdue = remaining.mul_f64(OVERDUE_SHARE).min(OVERDUE_MAX);
            let overdue = overdue + self.link_slack();
            loop {
                match timeout(overdue, &mut sending).await {
                    Ok(sent) => break sent,
                    Err(_) if detect_silence => return SendResult::ServerSilent,
                    Err(_) => self.handle_overdue(req, choice),
                }
            }
        };
        match sent {
            Ok((response, lease)) => {
                self.handle_response_head(req, choice, sent_at, response, lease)
            }
            Err(ClientError::Timeout(_)) => SendResult::TimedOut,
            Err(e) if e.is_unsent() => {
                unsettled.withdraw();
                SendResult::Unsent(e)
            }
            Err(e) => SendResult::ConnectionFailed(e.to_string()),
        }
    }

    fn handle_response_head(
        &self,
        req: &BufferedRequest,
        choice: &Choice,
        sent_at: Duration,
        response: Response<Incoming>,
        lease: ConnectionGuard,
    ) -> SendResult {
        let (parts, body) = response.into_parts();
        let head = self.protocol.parse_response_head(&parts);
        // This applies to a response to an earlier request as well, since the backend
        // server asked for it.
        self.record_backoff(choice, &head);
        // A delayed response to an earlier request can arrive in place of the expected
        // one.
        if head.id.as_ref().is_some_and(|id| *id != req.head.id) {
            return SendResult::ConnectionFailed("answer to another request".to_owned());
        }
        self.record_limit(choice, sent_at, &head);
        self.record_max_rejections(choice, sent_at, &head);
        let now = self.now();
        let mut router = self.router();
        router.record_response(now, &choice.id, head.load);
        // One that was misdirected was answered by another process.
        if !head.misdirected {
            router.record_answered_since(now, choice, sent_at);
        }
        drop(router);
        let took = self.now().saturating_sub(sent_at);
        self.caller_load.record_answered(took);
        self.metrics.record_first_byte(took);
        let response = Response::from_parts(parts, body);
        SendResult::Answered(Box::new(response), Box::new(head), lease)
    }

    /// Records the rate limit in a response, or its absence.
    fn record_limit(&self, choice: &Choice, sent_at: Duration, head: &ResponseHead) {
        let mut router = self.router();
        if router.record_limit(self.now(), choice, sent_at, head) {
            log::info!(server:% = choice.id, limit:? = head.limit; "limit heard");
        }
    }

    /// Records the rejections that the backend server survives, if it states that.
    fn record_max_rejections(&self, choice: &Choice, sent_at: Duration, head: &ResponseHead) {
        let now = self.now();
        let is_news = self
            .router()
            .record_max_rejections(now, choice, sent_at, head);
        if is_news {
            log::info!(
                server:% = choice.id, max_rejections:? = head.max_rejections;
                "rejection limit heard"
            );
        }
    }

    /// Records that the backend server asks for a pause or is shutting down.
    fn record_backoff(&self, choice: &Choice, head: &ResponseHead) {
        let backoff = self.router().record_backoff(self.now(), choice, head);
        match backoff {
            Some(Backoff::Pause(pause)) => {
                log::info!(
                    server:% = choice.id, pause_ms = pause.requested().as_millis() as u64;
                    "backend server asks for a pause"
                );
            }
            Some(Backoff::Leaving) => log::info!(server:% = choice.id; "backend server leaves"),
            None => {}
        }
    }

    /// Directs later requests to other backend servers while a request that must not be
    /// repeated keeps waiting.
    fn handle_overdue(&self, req: &BufferedRequest, choice: &Choice) {
        log::info!(id:% = req.head.id, server:% = choice.id; "answer overdue");
        self.client.retire(choice.addr);
        self.router().record_overdue(self.now(), &choice.id);
    }

    /// Waits for at least `min_wait`, and until the backend server has not responded for
    /// [`Gateway::silence_timeout`].
    async fn wait_for_silence(&self, choice: &Choice, sent_at: Duration, min_wait: Duration) {
        sleep(min_wait).await;
        loop {
            sleep(SILENCE_CHECK_INTERVAL).await;
            let last_response = self.router().last_response_at(&choice.id).max(sent_at);
            if self.now().saturating_sub(last_response) > self.silence_timeout() {
                return;
            }
        }
    }

    /// Returns how much later than usual all that passes the link of this instance may be. It
    /// says nothing about backend servers.
    pub(super) fn link_slack(&self) -> Duration {
        self.caller_load.link_delay() * LINK_DELAY_FACTOR
    }

    /// Returns the time without a response from a backend server, on any connection, after
    /// which a send that has exceeded its own timeout is abandoned.
    pub(super) fn silence_timeout(&self) -> Duration {
        SILENCE_TIMEOUT + self.link_slack()
    }

    fn build_request(
        &self,
        req: &BufferedRequest,
        out: &Outgoing<'_>,
    ) -> Option<Request<Full<Bytes>>> {
        let mut headers = req.parts.headers.clone();
        strip_hop_by_hop(&mut headers);
        self.protocol.prepare_request_headers(&mut headers, out);
        let path = req.parts.uri.path_and_query()?.clone();
        let mut request = Request::new(Full::new(req.body.bytes().clone()));
        *request.method_mut() = req.parts.method.clone();
        *request.uri_mut() = Uri::from(path);
        *request.headers_mut() = headers;
        Some(request)
    }
}
