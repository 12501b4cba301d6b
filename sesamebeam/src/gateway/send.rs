//! One send of a request to a backend server.

use std::{
    io::ErrorKind,
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
use tokio::{
    net::TcpStream,
    time::{
        sleep,
        timeout, //
    },
};
use xxhash_rust::xxh3::Xxh3;

use super::{
    Gateway,
    head::strip_hop_by_hop, //
};
use crate::http::client::{
    ClientError,
    ConnectionGuard,
    Reuse,
    SendOptions, //
};

/// Pause between two looks at whether a backend server is still heard.
const LOOK_EVERY: Duration = Duration::from_millis(250);

/// Silence of a backend server, on all connections, after which a request that
/// has used up its patience is given up there.
pub(super) const SILENT_FOR: Duration = Duration::from_millis(1500);

/// Longest wait for an answer to whether a backend server went down.
const CRASH_CHECK: Duration = Duration::from_millis(300);

/// Share of a request's time after which an answer that is not a stream is overdue,
/// and the longest such time. Plain services answer within a tenth of that on the mean;
/// a way that is cut, or a process that hangs, takes a request on a kept connection and
/// says nothing. Without it nobody learns of that before the caller gives up, and the
/// requests that come until then are lost in the same way.
const OVERDUE_SHARE: f64 = 0.25;
const OVERDUE_MAX: Duration = Duration::from_millis(400);

/// Share of a request's time for which one backend server may take until its
/// answer begins: a second one then has as much, and there is time for more.
const PATIENCE_SHARE: f64 = 0.4;

/// A request that was read whole.
pub(super) struct Received {
    /// What its head says.
    pub(super) head: Head,
    /// Its head as it came.
    pub(super) parts: request::Parts,
    /// Its body.
    pub(super) body: Bytes,
    /// Hash of its path, caller and body.
    pub(super) fingerprint: Digest,
    /// When it came.
    pub(super) came: Instant,
    /// When its caller or the route's time is over.
    pub(super) until: Instant,
}

/// Returns the hash by which a request is known when it comes again.
pub(super) fn fingerprint(head: &Head, body: &[u8]) -> Digest {
    let mut hash = Xxh3::new();
    hash.update(head.path.as_bytes());
    hash.update(head.key.as_deref().unwrap_or_default().as_bytes());
    hash.update(body);
    hash.digest128()
}

/// How a send went.
pub(super) enum Sent {
    /// An answer has begun.
    Answered(Box<Response<Incoming>>, ResponseHead, ConnectionGuard),
    /// Not one byte has left.
    Unsent(ClientError),
    /// The connection broke, or another request's answer came; it may have run.
    Broken(String),
    /// The backend server fell silent; it may have run.
    Dark,
    /// The time is over; it may have run.
    Late,
}

impl Gateway {
    /// Sends a request and waits for the head of its answer.
    ///
    /// `watch` gives the send up when the backend server falls silent.
    pub(super) async fn send(
        &self,
        req: &Received,
        plan: &Plan,
        choice: &Choice,
        model: Option<&str>,
        resume_after: Option<u64>,
        watch: bool,
    ) -> Sent {
        let left = req.until.saturating_duration_since(Instant::now());
        let out = Outgoing {
            server: &choice.id,
            deadline: left,
            organisation: plan.organisation.as_deref(),
            rank: plan.engine_rank,
            model,
            resume_after,
        };
        let Some(message) = self.message(req, &out) else {
            return Sent::Broken("request cannot be written".to_owned());
        };
        let terms = SendOptions {
            reuse: Reuse::Any,
            header_timeout: left,
            send_by: None,
        };
        let sent_at = self.now();
        let mut sending = pin!(self.client.send(choice.addr, message, terms));
        let sent = if plan.route.streaming {
            tokio::select! {
                sent = sending => sent,
                () = self.fell_silent(choice, sent_at, left.mul_f64(PATIENCE_SHARE)), if watch => {
                    return Sent::Dark;
                }
            }
        } else {
            let overdue = left.mul_f64(OVERDUE_SHARE).min(OVERDUE_MAX);
            loop {
                match timeout(overdue, &mut sending).await {
                    Ok(sent) => break sent,
                    Err(_) if watch => return Sent::Dark,
                    Err(_) => self.is_overdue(req, choice),
                }
            }
        };
        match sent {
            Ok((response, lease)) => self.answered(req, choice, sent_at, response, lease),
            Err(ClientError::Timeout(_)) => Sent::Late,
            Err(e) if e.is_unsent() => Sent::Unsent(e),
            Err(e) => Sent::Broken(e.to_string()),
        }
    }

    fn answered(
        &self,
        req: &Received,
        choice: &Choice,
        sent_at: Duration,
        response: Response<Incoming>,
        lease: ConnectionGuard,
    ) -> Sent {
        let (parts, body) = response.into_parts();
        let answer = self.protocol.answer(&parts);
        // Also of an answer to an earlier request: it is the backend server's word all the same.
        self.note_backoff(choice, &answer);
        // An answer to an earlier request can come late, where this one's is due.
        if answer.id.as_ref().is_some_and(|id| *id != req.head.id) {
            return Sent::Broken("answer to another request".to_owned());
        }
        self.note_limit(choice, sent_at, &answer);
        self.router()
            .record_response(self.now(), &choice.id, answer.load);
        self.meters.first_byte(self.now().saturating_sub(sent_at));
        let response = Response::from_parts(parts, body);
        Sent::Answered(Box::new(response), answer, lease)
    }

    /// Notes the limit that an answer names, or that it names none.
    fn note_limit(&self, choice: &Choice, sent_at: Duration, answer: &ResponseHead) {
        let mut router = self.router();
        if router.record_limit(self.now(), choice, sent_at, answer) {
            log::info!(server:% = choice.id, limit:? = answer.limit; "limit heard");
        }
    }

    /// Notes that the backend server asks for a pause, or leaves.
    fn note_backoff(&self, choice: &Choice, answer: &ResponseHead) {
        let asked = self.router().record_backoff(self.now(), choice, answer);
        match asked {
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

    /// Has later requests go elsewhere while one that may not be sent again waits.
    fn is_overdue(&self, req: &Received, choice: &Choice) {
        log::info!(id:% = req.head.id, server:% = choice.id; "answer overdue");
        self.client.retire(choice.addr);
        self.router().record_overdue(self.now(), &choice.id);
    }

    /// Waits until a backend server has been silent for long and the patience
    /// with it is used up.
    async fn fell_silent(&self, choice: &Choice, since: Duration, patience: Duration) {
        sleep(patience).await;
        loop {
            sleep(LOOK_EVERY).await;
            let heard = self.router().last_response_at(&choice.id).max(since);
            if self.now().saturating_sub(heard) > SILENT_FOR {
                return;
            }
        }
    }

    fn message(&self, req: &Received, out: &Outgoing<'_>) -> Option<Request<Full<Bytes>>> {
        let mut headers = req.parts.headers.clone();
        strip_hop_by_hop(&mut headers);
        self.protocol.outgoing(&mut headers, out);
        let path = req.parts.uri.path_and_query()?.clone();
        let mut message = Request::new(Full::new(req.body.clone()));
        *message.method_mut() = req.parts.method.clone();
        *message.uri_mut() = Uri::from(path);
        *message.headers_mut() = headers;
        Some(message)
    }

    /// Finds out whether a backend server went down while it ran a request: a
    /// process that has ended refuses connections, one that broke off takes
    /// them.
    pub(super) fn suspect_crash(self: &Arc<Self>, req: &Received, choice: &Choice) {
        let gateway = Arc::clone(self);
        let (fingerprint, choice) = (req.fingerprint, choice.clone());
        let id = req.head.id.clone();
        tokio::spawn(async move {
            let tried = timeout(CRASH_CHECK, TcpStream::connect(choice.addr)).await;
            if let Ok(Err(e)) = tried
                && e.kind() == ErrorKind::ConnectionRefused
            {
                log::info!(id:% = id, server:% = choice.id; "backend server went down");
                gateway.router().record_crash(fingerprint, &choice);
            }
        });
    }
}
