//! Requests that arrive: whether and when one is taken, before its first send.

use std::{
    sync::Arc,
    time::{
        Duration,
        Instant, //
    },
};

use bytes::Bytes;
use http_body_util::{
    BodyExt,
    LengthLimitError,
    Limited, //
};
use hyper::{
    Request,
    StatusCode,
    body::Incoming,
    header, //
};
use rand::RngExt;
use sesamebeam_core::gateway::{
    config::Limits,
    request::Head,
    router::{
        Plan,
        Refusal, //
    },
};
use tokio::time::{
    sleep,
    timeout,
    timeout_at, //
};

use super::{
    Gateway,
    answer::{
        self,
        Answer, //
    },
    attempt::Attempt,
    send::{
        self,
        Received, //
    },
};
use crate::exposition::RequestEnd;

/// Time that a caller waits who does not say; callers of browsers' kind give up
/// about then.
const DEFAULT_DEADLINE: Duration = Duration::from_secs(30);

/// Longest wait of a request for what an entry that has just started lacks: what
/// the start of a control replica and an election take.
const START_WAIT: Duration = Duration::from_millis(1200);

/// Time over which callers that have waited for an entry to start are spread, and the
/// share of their patience that it may take. All entries start at the same moment
/// after a loss of power; a second's bookings sent at once to five backend servers
/// with 30 places each ended as 130 refusals in 0.1 s.
const COMEBACK: Duration = Duration::from_millis(150);
const COMEBACK_SHARE: f64 = 0.1;

/// Share of a caller's patience for which its request waits for that, so that
/// there is time to serve it.
const START_SHARE: f64 = 0.4;

/// Handles a caller's request.
pub(super) async fn handle(gateway: Arc<Gateway>, req: Request<Incoming>) -> Answer {
    let chunked = req.headers().contains_key(header::TRANSFER_ENCODING);
    let mut answer = decide(Arc::clone(&gateway), req).await;
    // A body in chunks can hide a second request from one who reads the length
    // instead. Nothing after it is read from this connection.
    if chunked || gateway.stopping.is_cancelled() {
        answer::close_after(answer.headers_mut());
    }
    answer
}

async fn decide(gateway: Arc<Gateway>, req: Request<Incoming>) -> Answer {
    let came = Instant::now();
    let (parts, body) = req.into_parts();
    let head = match gateway.protocol.head(&parts) {
        Ok(head) => head,
        Err(fault) => {
            log::info!(why:% = fault; "request refused");
            return answer::closing(StatusCode::BAD_REQUEST);
        }
    };
    let admitted = admit(&gateway, &head, came).await;
    let plan = match admitted {
        Ok(plan) => plan,
        Err(refusal) => return refuse(&gateway, &head.id, refusal),
    };
    if gateway.has_just_started() {
        come_back_apart(&head).await;
    }
    if gateway.is_too_late_for(plan.route.streaming) {
        log::info!(id:% = head.id; "request refused while stopping");
        return answer::come_back(StatusCode::SERVICE_UNAVAILABLE);
    }
    let limits = plan.table.config().limits;
    let body = match read_body(body, &limits).await {
        Ok(body) => body,
        Err(status) => {
            log::info!(id:% = head.id, status = status.as_u16(); "body refused");
            return answer::closing(status);
        }
    };
    let fingerprint = send::fingerprint(&head, &body);
    // Bound first: a guard in the condition of an `if let` lives as long as its
    // body, where refusing takes the same lock. The whole entry stopped for good.
    let checked = gateway.router().check_fingerprint(fingerprint);
    if let Err(refusal) = checked {
        return refuse(&gateway, &head.id, refusal);
    }
    let patience = head.deadline.unwrap_or(DEFAULT_DEADLINE);
    let until = came + patience.min(plan.route.timeout);
    let req = Received {
        head,
        parts,
        body,
        fingerprint,
        came,
        until,
    };
    Attempt::new(gateway, req, plan).run().await
}

/// Decides about a request, once there is something to decide by.
///
/// An entry that has just started knows no configuration until a control replica
/// has one for certain, half a second after all of them were killed together.
/// Callers that come within it were refused, and used up their retries; waiting
/// for so short a time serves them instead.
async fn admit(gateway: &Gateway, head: &Head, came: Instant) -> Result<Plan, Refusal> {
    loop {
        let learned = gateway.learned.notified();
        let admitted = gateway.router().admit(gateway.now(), head);
        if !matches!(admitted, Err(Refusal::NoConfig)) {
            return admitted;
        }
        if timeout_at(start_wait(head, came).into(), learned)
            .await
            .is_err()
        {
            return admitted;
        }
    }
}

/// Waits for a part of the time over which callers that have waited are spread.
async fn come_back_apart(head: &Head) {
    let patience = head.deadline.unwrap_or(DEFAULT_DEADLINE);
    let spread = COMEBACK.min(patience.mul_f64(COMEBACK_SHARE));
    let pause = spread.mul_f64(rand::rng().random());
    sleep(pause).await;
}

/// Returns until when a request waits for what an entry that has just started
/// lacks.
pub(super) fn start_wait(head: &Head, came: Instant) -> Instant {
    let patience = head.deadline.unwrap_or(DEFAULT_DEADLINE);
    came + START_WAIT.min(patience.mul_f64(START_SHARE))
}

fn refuse(gateway: &Gateway, id: &str, refusal: Refusal) -> Answer {
    let version = gateway.router().version();
    log::info!(id = id, why:% = refusal, config:? = version; "request refused");
    gateway.meters.request(RequestEnd::Refused, Duration::ZERO);
    match refusal {
        Refusal::NoConfig => answer::come_back_when_started(),
        Refusal::Quarantined | Refusal::ShortOfCapacity => {
            answer::come_back(StatusCode::SERVICE_UNAVAILABLE)
        }
        Refusal::NoRoute => answer::own(StatusCode::NOT_FOUND),
        Refusal::UnknownKey => answer::own(StatusCode::UNAUTHORIZED),
    }
}

/// Reads a body within its limits.
///
/// # Errors
///
/// Fails with the status to answer.
async fn read_body(body: Incoming, limits: &Limits) -> Result<Bytes, StatusCode> {
    let reading = Limited::new(body, limits.max_body).collect();
    match timeout(limits.idle_timeout, reading).await {
        Ok(Ok(body)) => Ok(body.to_bytes()),
        Ok(Err(e)) if e.is::<LengthLimitError>() => Err(StatusCode::PAYLOAD_TOO_LARGE),
        Ok(Err(_)) => Err(StatusCode::BAD_REQUEST),
        Err(_) => Err(StatusCode::REQUEST_TIMEOUT),
    }
}
