//! Admission of requests: reads, checks and delays a request before its first send.

use std::{
    sync::Arc,
    time::{
        Duration,
        Instant, //
    },
};

use hyper::{
    Request,
    StatusCode,
    body::Incoming,
    header, //
};
use rand::RngExt;
use sesamebeam_core::{
    gateway::{
        request::Head,
        request_sends::{
            Declined,
            Handover, //
        },
        router::{
            Plan,
            Refusal, //
        },
    },
    ids::MonoTime,
};
use tokio::{
    sync::OwnedSemaphorePermit,
    time::{
        sleep,
        timeout_at, //
    },
};

use super::{
    Gateway,
    dispatch::Dispatch,
    forwarding::{
        self,
        Decline, //
    },
    response::{
        self,
        CallerResponse, //
    },
    send::{
        self,
        BufferedRequest, //
    },
};
use crate::{
    exposition::RequestEnd,
    intake::BodyError,
    listen::paced::FirstRead, //
};

/// Deadline of requests that name none; browsers give up after about this time.
const DEFAULT_DEADLINE: Duration = Duration::from_secs(30);

/// Maximum time that a request waits for the configuration or the backend servers of an
/// entry that has just started: about the start of a control replica and an election.
const MAX_STARTUP_WAIT: Duration = Duration::from_millis(1200);

/// Maximum random delay of requests that have waited for an entry to start, and the
/// maximum share of a request's deadline that the delay may take. After a power failure
/// all entries start at the same moment; the bookings of one second, sent at once to five
/// backend servers with 30 slots each, caused 130 rejections in 0.1 s.
const MAX_STARTUP_JITTER: Duration = Duration::from_millis(150);
const STARTUP_JITTER_SHARE: f64 = 0.1;

/// Maximum share of a request's deadline that it may wait for the entry to start, so that
/// time is left to serve it.
const STARTUP_WAIT_SHARE: f64 = 0.4;

/// Who sent a request to this entry.
pub(super) enum Origin {
    /// A caller.
    Caller,
    /// Another entry, to which a caller sent it.
    Peer {
        /// What that entry has handed over.
        handover: Handover,
        /// When that entry read it, if it counts for the retry budget of this one.
        counted_read_at: Option<MonoTime>,
        /// Held until the request ends.
        _permit: OwnedSemaphorePermit,
    },
}

/// Handles a request.
pub(super) async fn handle(
    gateway: Arc<Gateway>,
    req: Request<Incoming>,
    origin: Origin,
) -> CallerResponse {
    let chunked = req.headers().contains_key(header::TRANSFER_ENCODING);
    let mut response = process(Arc::clone(&gateway), req, origin).await;
    // A chunked body can smuggle a second request past a proxy that uses `Content-Length`
    // instead. Nothing after it is read from this connection.
    if chunked || gateway.stopping.is_cancelled() {
        response::set_connection_close(response.headers_mut());
    }
    response
}

async fn process(gateway: Arc<Gateway>, req: Request<Incoming>, origin: Origin) -> CallerResponse {
    let received_at = Instant::now();
    let (mut parts, body) = req.into_parts();
    let head = match gateway.protocol.parse_request_head(&parts) {
        Ok(head) => head,
        Err(error) => {
            log::info!(why:% = error; "request refused");
            return response::empty_and_close(StatusCode::BAD_REQUEST);
        }
    };
    let admitted = admit(&gateway, &head, &origin, received_at).await;
    let mut plan = match admitted {
        Ok(plan) => plan,
        Err(refusal) => return reject(&gateway, &head.id, refusal),
    };
    if !origin.is_caller() {
        if gateway.router().is_isolated(&plan.service) {
            let declined = Declined {
                sends: origin.sends(),
                is_counted: false,
            };
            return forwarding::decline(&gateway, Some(&head.id), Decline::Isolated, declined);
        }
        gateway.metrics.record_accepted(true);
    }
    if gateway.has_just_started() {
        delay_by_startup_jitter(&head).await;
    }
    let limits = plan.table.config().limits;
    let max_time = limits
        .idle_timeout
        .min(head.deadline.unwrap_or(DEFAULT_DEADLINE));
    let reading = gateway
        .bodies
        .read(&parts.extensions, body, limits.max_body, max_time);
    let body = match reading.await {
        Ok(body) => body,
        Err(error) => return reject_body(&head.id, &error),
    };
    if let Some(took) = FirstRead::finish(&mut parts.extensions) {
        gateway.metrics.record_first_read(took);
    } else if origin.is_caller() && !gateway.caller_load.take_further() {
        return reject(&gateway, &head.id, Refusal::LinkFull);
    }
    plan.identify(send::fingerprint(&head, body.bytes()));
    // A guard in the condition of an `if let` lives until the end of its body, where
    // `reject` takes the same lock. Without this binding, the whole entry deadlocks.
    let checked = gateway.router().check_quarantine(&plan);
    if let Err(refusal) = checked {
        return reject(&gateway, &head.id, refusal);
    }
    let caller_timeout = head.deadline.unwrap_or(DEFAULT_DEADLINE);
    if origin.is_caller() {
        gateway.caller_load.record_deadline(caller_timeout);
    }
    let deadline = received_at + caller_timeout.min(plan.route.timeout);
    if gateway.outlasts_shutdown(&plan, deadline) {
        log::info!(id:% = head.id; "request refused while stopping");
        return response::retry_later(StatusCode::SERVICE_UNAVAILABLE);
    }
    let req = BufferedRequest {
        head,
        parts,
        body,
        received_at,
        deadline,
    };
    let ending = gateway.ending.clone();
    let id = req.head.id.clone();
    let dispatch = Dispatch::new(gateway, req, plan, origin);
    match ending.run_until_cancelled(dispatch.run()).await {
        Some(response) => response,
        None => {
            log::info!(id:% = id; "request ended by the end of the process");
            response::empty(StatusCode::GATEWAY_TIMEOUT)
        }
    }
}

/// Makes the routing decisions for a request, waiting for the first configuration if
/// needed.
///
/// An entry that has just started has no configuration until a control replica knows a
/// committed one, which takes half a second after all replicas were killed together.
/// Rejecting requests in that time makes callers use up their retries; after this short
/// wait they can be served.
async fn admit(
    gateway: &Gateway,
    head: &Head,
    origin: &Origin,
    received_at: Instant,
) -> Result<Plan, Refusal> {
    loop {
        let changed = gateway.state_changed.notified();
        let admitted = match origin {
            Origin::Caller => {
                let now = gateway.now();
                let read_at = now.saturating_sub(received_at.elapsed());
                gateway.router().admit_read_at(now, read_at, head)
            }
            Origin::Peer {
                counted_read_at, ..
            } => {
                let planned = gateway.router().admit_forwarded(gateway.now(), head);
                planned.map(|mut plan| {
                    plan.read_at = counted_read_at.unwrap_or(plan.read_at);
                    plan
                })
            }
        };
        if !matches!(admitted, Err(Refusal::NoConfig)) {
            return admitted;
        }
        if timeout_at(startup_wait_deadline(head, received_at).into(), changed)
            .await
            .is_err()
        {
            return admitted;
        }
    }
}

/// Waits for a random time, so that requests released together are spread out.
async fn delay_by_startup_jitter(head: &Head) {
    let caller_timeout = head.deadline.unwrap_or(DEFAULT_DEADLINE);
    let jitter = MAX_STARTUP_JITTER.min(caller_timeout.mul_f64(STARTUP_JITTER_SHARE));
    let delay = jitter.mul_f64(rand::rng().random());
    sleep(delay).await;
}

/// Returns until when a request waits for an entry that has just started.
pub(super) fn startup_wait_deadline(head: &Head, received_at: Instant) -> Instant {
    let caller_timeout = head.deadline.unwrap_or(DEFAULT_DEADLINE);
    received_at + MAX_STARTUP_WAIT.min(caller_timeout.mul_f64(STARTUP_WAIT_SHARE))
}

fn reject(gateway: &Gateway, id: &str, refusal: Refusal) -> CallerResponse {
    let version = gateway.router().version();
    match refusal {
        Refusal::CannotComplete { after } => log::info!(
            id = id, why:% = refusal, after_ms = after.as_millis() as u64, config:? = version;
            "request refused"
        ),
        _ => log::info!(id = id, why:% = refusal, config:? = version; "request refused"),
    }
    gateway
        .metrics
        .record_request(RequestEnd::Refused, Duration::ZERO);
    match refusal {
        Refusal::NoConfig => response::retry_after_startup(),
        Refusal::Quarantined => {
            gateway.metrics.record_quarantine_refusal();
            response::quarantined()
        }
        Refusal::ShortOfCapacity => response::retry_later(StatusCode::SERVICE_UNAVAILABLE),
        Refusal::LinkFull => {
            let mut response = response::retry_later(StatusCode::SERVICE_UNAVAILABLE);
            // The next connection may go to an instance with room.
            response::set_connection_close(response.headers_mut());
            response
        }
        Refusal::CannotComplete { after } => {
            gateway.metrics.record_engine_refusal();
            response::retry_after(StatusCode::SERVICE_UNAVAILABLE, after)
        }
        Refusal::NoRoute => response::empty(StatusCode::NOT_FOUND),
        Refusal::UnknownKey => response::empty(StatusCode::UNAUTHORIZED),
    }
}

/// Refuses a request whose body could not be read. Nothing of it has run.
fn reject_body(id: &str, error: &BodyError) -> CallerResponse {
    log::info!(id = id, why:% = error; "body refused");
    match error {
        BodyError::TooLarge => response::empty_and_close(StatusCode::PAYLOAD_TOO_LARGE),
        BodyError::Broken(_) => response::empty_and_close(StatusCode::BAD_REQUEST),
        BodyError::TooSlow => response::empty_and_close(StatusCode::REQUEST_TIMEOUT),
        BodyError::NoRoom => {
            let mut response = response::retry_later(StatusCode::SERVICE_UNAVAILABLE);
            response::set_connection_close(response.headers_mut());
            response
        }
    }
}
