//! Forwarding of requests to another entry, and acceptance of those that others forward.
//!
//! Entries forward over HTTP with the caller's own headers. A secret that the accepting
//! entry has told the control replicas authorizes each request.

use std::{
    ops::ControlFlow,
    sync::Arc,
    time::{
        Duration,
        Instant, //
    },
};

use http_body_util::Full;
use hyper::{
    HeaderMap, Request, Response, StatusCode, Uri,
    body::Incoming,
    header::{
        HeaderName,
        HeaderValue, //
    },
};
use sesamebeam_core::{
    gateway::{
        forwarding::{
            ForwardingOffer,
            MAX_PEERS_TRIED, //
        },
        request::ResponseHead,
        request_sends::{
            Declined,
            Handover,
            RequestSends, //
        },
    },
    ids::{
        MonoTime,
        ProcessAddr, //
    },
};
use subtle::ConstantTimeEq;
use tokio::time::timeout_at;

use super::{
    Gateway,
    admission::{
        self,
        Origin, //
    },
    dispatch::{
        Dispatch,
        MAX_RESPONSE_BYTES, //
    },
    hop_by_hop::strip_hop_by_hop,
    response::{
        self,
        CallerResponse, //
    },
    send::BufferedRequest,
    stream::Relay,
};
use crate::{
    exposition::{
        ForwardingEnd,
        RequestEnd, //
    },
    http::{
        client::{
            ClientError,
            ConnectionGuard,
            Reuse,
            SendOptions, //
        },
        received::read_whole,
    },
};

/// Secret of the entry to which a request is forwarded.
const KEY: HeaderName = HeaderName::from_static("sesamebeam-peer-key");

/// Number of backend servers to which the request was already sent, of a request, of a refusal
/// to serve it and of the head of a stream.
const SENDS: HeaderName = HeaderName::from_static("sesamebeam-sends");

/// Whether the first send of the accepting entry is free for the retry budget.
const FREE_SEND: HeaderName = HeaderName::from_static("sesamebeam-free-send");

/// Whether a request that was declined counts for the retry budget of the accepting entry.
const COUNTED: HeaderName = HeaderName::from_static("sesamebeam-counted");

/// Milliseconds since the forwarding entry read the request, if it counts for the retry budget
/// of the accepting one.
const READ_AGE: HeaderName = HeaderName::from_static("sesamebeam-read-age-ms");

/// Marks a refusal of the accepting entry that says nothing about the request: another
/// entry may serve it.
const DECLINED: HeaderName = HeaderName::from_static("sesamebeam-declined");

/// Values of headers that are flags.
const YES: HeaderValue = HeaderValue::from_static("1");
const NO: HeaderValue = HeaderValue::from_static("0");

/// Why an entry declines a request of another one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Decline {
    /// It has no free slot of a leased backend server.
    Busy,
    /// It reaches no backend server of the service.
    Isolated,
    /// It is shutting down.
    Stopping,
    /// Its own callers overload it.
    Overloaded,
    /// It serves as many requests of other entries as it may.
    Full,
    /// Its retry budget does not allow to send what was sent before.
    OverBudget,
    /// It has another key: an earlier process at its address had made the offer.
    OutdatedKey,
}

impl Decline {
    /// Returns the value of [`DECLINED`].
    fn value(self) -> HeaderValue {
        HeaderValue::from_static(match self {
            Self::Busy => "busy",
            Self::Isolated => "isolated",
            Self::OverBudget => "over-budget",
            Self::Stopping | Self::Overloaded | Self::Full | Self::OutdatedKey => "1",
        })
    }

    /// Returns the reason for the log.
    fn why(self) -> &'static str {
        match self {
            Self::Busy => "no free slot of a leased backend server",
            Self::Isolated => "no backend server could be reached",
            Self::Stopping => "stopping",
            Self::Overloaded => "overloaded by callers",
            Self::Full => "serving too many requests of other entries",
            Self::OverBudget => "retry budget spent",
            Self::OutdatedKey => "key of another process",
        }
    }
}

/// Maximum number of requests of other entries that an entry serves at a time, so that its
/// own callers are served too.
pub(super) const MAX_ACCEPTED: usize = 256;

/// A request in flight at another entry, counted there until it ends.
pub(super) struct PeerSend {
    gateway: Arc<Gateway>,
    /// Address of the other entry.
    pub(super) addr: ProcessAddr,
}

impl Drop for PeerSend {
    fn drop(&mut self) {
        self.gateway.router().record_forwarded_end(self.addr);
    }
}

/// An answer that another entry has passed on.
pub(super) struct PeerAnswer {
    /// The request there.
    pub(super) send: PeerSend,
    /// The answer as received.
    pub(super) response: Response<Incoming>,
    /// Its parsed head.
    pub(super) head: ResponseHead,
    /// Connection on which it is received.
    pub(super) lease: ConnectionGuard,
}

/// Result of offering a request to other entries.
pub(super) enum Forwarded {
    /// One of them answers.
    Answered(Box<PeerAnswer>),
    /// None of them has accepted the request.
    Declined,
    /// The request may have run and cannot be sent again.
    Lost,
}

impl Dispatch {
    /// Returns whether the request goes to another entry because this one reaches no backend
    /// server.
    pub(super) fn prefers_peer(&self) -> bool {
        self.may_forward() && self.gateway.router().is_isolated(&self.plan.service)
    }

    /// Returns whether the request may be forwarded: it came from a caller, may run, and
    /// crashes no backend servers.
    fn may_forward(&self) -> bool {
        let may_run = !self.may_have_run || self.is_repeatable();
        self.origin.is_caller()
            && may_run
            && self.has_time_and_sends_left()
            && self.gateway.router().may_run(&self.plan)
    }

    /// Has another entry serve the request, if this one has no backend server for it. Goes on
    /// if none does.
    pub(super) async fn forward(mut self) -> ControlFlow<CallerResponse, Self> {
        if !self.needs_peer() {
            return ControlFlow::Continue(self);
        }
        match self.offer_to_peers(self.req.head.resume_after).await {
            Forwarded::Answered(answer) => ControlFlow::Break(self.pass_on(*answer).await),
            Forwarded::Declined => ControlFlow::Continue(self),
            Forwarded::Lost => ControlFlow::Break(self.reject_or_fail(None)),
        }
    }

    /// Returns whether the request may be forwarded, and no backend server could be reached
    /// or they are leased, perhaps to other entries.
    pub(super) fn needs_peer(&self) -> bool {
        let is_leased = self.gateway.router().is_leased(&self.plan.service);
        self.may_forward() && (is_leased || self.reached_nobody())
    }

    /// Returns whether no backend server could be reached.
    fn reached_nobody(&self) -> bool {
        let is_isolated = self.gateway.router().is_isolated(&self.plan.service);
        is_isolated || self.unsent + self.refused > 0 && !self.found_full_server
    }

    /// Offers the request to other entries until one answers, or may have sent it without an
    /// answer: it may send it later too, and nobody knows how often it has.
    pub(super) async fn offer_to_peers(&mut self, resume_after: Option<u64>) -> Forwarded {
        let mut tried = Vec::new();
        while tried.len() < MAX_PEERS_TRIED && self.has_time_and_sends_left() {
            let now = self.gateway.now();
            let chosen = self.gateway.router().choose_peer(now, &self.plan, &tried);
            let Some(offer) = chosen else {
                break;
            };
            let send = PeerSend {
                gateway: Arc::clone(&self.gateway),
                addr: offer.addr,
            };
            tried.push(offer.addr);
            let Some(handover) = self.hand_over() else {
                break;
            };
            let why = match self.send_to_peer(&offer, resume_after, &handover).await {
                Ok((response, lease)) if response.headers().contains_key(DECLINED) => {
                    let headers = response.headers();
                    self.handle_declined(now, &offer, headers.get(DECLINED));
                    let declined = declined_request(headers);
                    self.sends = self.sends.max(declined.sends);
                    self.retries.take_back(&handover, &declined);
                    lease.release();
                    continue;
                }
                Ok((response, lease)) => {
                    let (parts, body) = response.into_parts();
                    let head = self.gateway.protocol.parse_response_head(&parts);
                    let is_ours = head.id.as_ref().is_none_or(|id| *id == self.req.head.id);
                    if is_ours && (head.sealed || !head.is_success()) {
                        self.record_forwarding(&offer, ForwardingEnd::Answered, "answered");
                        let response = Response::from_parts(parts, body);
                        return Forwarded::Answered(Box::new(PeerAnswer {
                            send,
                            response,
                            head,
                            lease,
                        }));
                    }
                    "answer to another request, or a success without a mark".to_owned()
                }
                Err(e) if e.is_unsent() => {
                    self.record_forwarding(&offer, ForwardingEnd::Unreachable, &e.to_string());
                    let declined = Declined::unreached(&handover);
                    self.retries.take_back(&handover, &declined);
                    self.gateway
                        .router()
                        .record_peer_unavailable(now, offer.addr);
                    continue;
                }
                Err(e) => e.to_string(),
            };
            self.record_forwarding(&offer, ForwardingEnd::Lost, &why);
            self.may_have_run = true;
            return Forwarded::Lost;
        }
        Forwarded::Declined
    }

    /// Leaves another entry out for a while, for the service if it declined because of that.
    fn handle_declined(
        &self,
        now: MonoTime,
        offer: &ForwardingOffer,
        reason: Option<&HeaderValue>,
    ) {
        let known = [Decline::Busy, Decline::Isolated, Decline::OverBudget];
        let why = known.into_iter().find(|why| reason == Some(&why.value()));
        let text = why.map_or("declined", Decline::why);
        self.record_forwarding(offer, ForwardingEnd::Declined, text);
        let mut router = self.gateway.router();
        match why {
            Some(Decline::Busy) => router.record_peer_busy(now, offer.addr, &self.plan),
            Some(Decline::Isolated) => router.record_peer_isolated(now, offer.addr, &self.plan),
            Some(Decline::OverBudget) => {}
            _ => router.record_peer_unavailable(now, offer.addr),
        }
    }

    async fn send_to_peer(
        &self,
        offer: &ForwardingOffer,
        resume_after: Option<u64>,
        handover: &Handover,
    ) -> Result<(Response<Incoming>, ConnectionGuard), ClientError> {
        let remaining = self.req.deadline.saturating_duration_since(Instant::now());
        let mut headers = self.req.parts.headers.clone();
        strip_hop_by_hop(&mut headers);
        let protocol = &self.gateway.protocol;
        protocol.prepare_forwarded_headers(&mut headers, remaining, resume_after);
        set(&mut headers, KEY, &format!("{:032x}", offer.key));
        set(&mut headers, SENDS, &handover.sends.to_string());
        set_flag(&mut headers, FREE_SEND, handover.has_free);
        headers.remove(READ_AGE);
        if let Some(age) = handover.counted_age {
            set(&mut headers, READ_AGE, &age.as_millis().to_string());
        }
        let mut request = Request::new(Full::new(self.req.body.bytes().clone()));
        *request.method_mut() = self.req.parts.method.clone();
        *request.uri_mut() = path_of(&self.req);
        *request.headers_mut() = headers;
        let options = SendOptions {
            reuse: Reuse::Any,
            header_timeout: remaining,
            send_by: None,
        };
        self.gateway.client.send(offer.addr, request, options).await
    }

    /// Passes the answer of another entry on to the caller.
    async fn pass_on(mut self, answer: PeerAnswer) -> CallerResponse {
        if answer.head.is_success() && self.plan.route.streaming {
            return Relay::response_from_peer(self, answer);
        }
        let PeerAnswer {
            send,
            response,
            head,
            lease,
        } = answer;
        // The other entry knows nothing of the sends from here.
        if self.may_have_run && head.promises_not_run() {
            return self.reject_or_fail(None);
        }
        let (status, mut headers) = (response.status(), response.headers().clone());
        let reading = read_whole(response, MAX_RESPONSE_BYTES, lease.long_answers());
        let body = match timeout_at(self.req.deadline.into(), reading).await {
            Ok(Ok(body)) => body,
            _ => {
                log::info!(id:% = self.req.head.id, peer:% = send.addr; "forwarded answer broke off");
                self.may_have_run = true;
                return self.reject_or_fail(None);
            }
        };
        lease.release();
        self.record_end(RequestEnd::Answered);
        strip_hop_by_hop(&mut headers);
        headers.remove(SENDS);
        response::whole(status, headers, body)
    }

    /// Takes from the head of another entry's stream how often the request was sent. If it does
    /// not say so, no send is left.
    pub(super) fn take_sends(&mut self, headers: &mut HeaderMap) {
        let sends = sends_of(headers).unwrap_or(u32::MAX);
        headers.remove(SENDS);
        self.sends = self.sends.max(sends);
    }

    /// Records what became of a request that was offered to another entry.
    fn record_forwarding(&self, offer: &ForwardingOffer, end: ForwardingEnd, why: &str) {
        self.gateway.metrics.record_forwarding(end);
        log::info!(
            id:% = self.req.head.id, peer:% = offer.addr, sends = self.sends,
            offers = self.gateway.router().offer_count(&self.plan.service), why = why;
            "forwarded"
        );
    }
}

/// Handles a request that another entry forwards.
pub(super) async fn handle(gateway: Arc<Gateway>, mut req: Request<Incoming>) -> CallerResponse {
    let Some((key, handover)) = take_peer_headers(req.headers_mut()) else {
        log::warn!("request without a key where other entries forward theirs");
        return response::empty_and_close(StatusCode::FORBIDDEN);
    };
    let declined = Declined::unreached(&handover);
    let decline = |why| decline(&gateway, None, why, declined);
    if !is_own_key(&gateway, &key) {
        let mut response = decline(Decline::OutdatedKey);
        *response.status_mut() = StatusCode::FORBIDDEN;
        response::set_connection_close(response.headers_mut());
        return response;
    }
    if gateway.stopping.is_cancelled() {
        return decline(Decline::Stopping);
    }
    if gateway.caller_load.is_overloaded() {
        return decline(Decline::Overloaded);
    }
    match Arc::clone(&gateway.accepted).try_acquire_owned() {
        Ok(permit) => {
            let now = gateway.now();
            // Without a time since the start of this process it can't count here, nor if it may
            // have waited.
            let reads_late = gateway.router().reads_late(now);
            let counted_age = handover.counted_age.filter(|_| !reads_late);
            let counted_read_at = counted_age.and_then(|age| now.checked_sub(age));
            let origin = Origin::Peer {
                handover: Handover {
                    counted_age: counted_age.filter(|_| counted_read_at.is_some()),
                    ..handover
                },
                counted_read_at,
                _permit: permit,
            };
            admission::handle(gateway, req, origin).await
        }
        Err(_) => decline(Decline::Full),
    }
}

/// Returns whether a request is forwarded to this process, in constant time.
fn is_own_key(gateway: &Gateway, key: &HeaderValue) -> bool {
    let own = format!("{:032x}", gateway.forwarding_key);
    own.as_bytes().ct_eq(key.as_bytes()).into()
}

/// Removes from a forwarded request and returns its key and what else concerns only entries. What
/// is not said counts against the retry budget.
fn take_peer_headers(headers: &mut HeaderMap) -> Option<(HeaderValue, Handover)> {
    let key = headers.remove(KEY)?;
    let sends = headers.remove(SENDS)?;
    let has_free = headers.remove(FREE_SEND).is_some_and(|value| value == YES);
    let read_age = headers.remove(READ_AGE);
    let handover = Handover {
        sends: u32::try_from(number(&sends)?).ok()?,
        has_free,
        counted_age: read_age
            .as_ref()
            .and_then(number)
            .map(Duration::from_millis),
    };
    Some((key, handover))
}

/// Returns what an entry that has declined a request says of it. What it does not say counts
/// against the retry budget and the limit of sends.
fn declined_request(headers: &HeaderMap) -> Declined {
    Declined {
        sends: sends_of(headers).unwrap_or(u32::MAX),
        is_counted: headers.get(COUNTED).is_none_or(|value| value != NO),
    }
}

/// Returns the number of sends that an answer of another entry names.
fn sends_of(headers: &HeaderMap) -> Option<u32> {
    let sends = headers.get(SENDS).and_then(number)?;
    u32::try_from(sends).ok()
}

/// Declines a request of another entry, which may name its id.
pub(super) fn decline(
    gateway: &Gateway,
    id: Option<&str>,
    why: Decline,
    declined: Declined,
) -> CallerResponse {
    let Declined { sends, is_counted } = declined;
    log::info!(
        id = id.unwrap_or_default(), why = why.why(), sends = sends, counted = is_counted;
        "forwarded request declined"
    );
    gateway.metrics.record_accepted(false);
    let mut response = response::retry_later(StatusCode::SERVICE_UNAVAILABLE);
    let headers = response.headers_mut();
    headers.insert(DECLINED, why.value());
    set(headers, SENDS, &sends.to_string());
    set_flag(headers, COUNTED, is_counted);
    if gateway.stopping.is_cancelled() {
        response::set_connection_close(response.headers_mut());
    }
    response
}

impl Origin {
    /// Returns whether a caller sent the request, and no other entry.
    pub(super) fn is_caller(&self) -> bool {
        matches!(self, Self::Caller)
    }

    /// Returns the number of backend servers to which another entry has sent the request.
    pub(super) fn sends(&self) -> u32 {
        match self {
            Self::Caller => 0,
            Self::Peer { handover, .. } => handover.sends,
        }
    }

    /// Returns the sends of a request that this entry has not sent.
    pub(super) fn request_sends(&self) -> RequestSends {
        match self {
            Self::Caller => RequestSends::default(),
            Self::Peer { handover, .. } => RequestSends::handed_over(handover),
        }
    }
}

fn path_of(req: &BufferedRequest) -> Uri {
    let path = req.parts.uri.path_and_query();
    path.map_or_else(Uri::default, |path| Uri::from(path.clone()))
}

/// Sets how often a stream for another entry was sent, which goes on with it if it breaks off.
pub(super) fn set_sends(response: &mut CallerResponse, sends: u32) {
    set(response.headers_mut(), SENDS, &sends.to_string());
}

/// Sets a header of entries, whose values are numbers or flags.
fn set(headers: &mut HeaderMap, name: HeaderName, value: &str) {
    if let Ok(value) = value.parse() {
        headers.insert(name, value);
    }
}

fn set_flag(headers: &mut HeaderMap, name: HeaderName, value: bool) {
    headers.insert(name, if value { YES } else { NO });
}

fn number(value: &HeaderValue) -> Option<u64> {
    value.to_str().ok()?.parse().ok()
}
