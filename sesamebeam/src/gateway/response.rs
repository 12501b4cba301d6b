//! Responses to callers.

use std::time::Duration;

use bytes::Bytes;
use http_body_util::{
    BodyExt,
    Full,
    combinators::UnsyncBoxBody, //
};
use hyper::{
    HeaderMap,
    Response,
    StatusCode,
    header, //
};
use rand::RngExt;
use thiserror::Error;

/// Minimum value of `Retry-After`: about the time until a slot becomes free.
const RETRY_AFTER_MIN: Duration = Duration::from_millis(200);

/// Random addition to that time, so that callers rejected together do not retry together.
const RETRY_AFTER_JITTER: Duration = Duration::from_millis(800);

/// Why the body of a response ends early.
#[derive(Debug, Error)]
pub(super) enum BodyError {
    /// The backend server interrupted the stream and no other resumed it.
    #[error("stream broke off")]
    Interrupted,
    /// The deadline of the request has passed.
    #[error("deadline exceeded")]
    DeadlineExceeded,
}

/// Body of a response.
pub(super) type Body = UnsyncBoxBody<Bytes, BodyError>;

/// A response to a caller.
pub(super) type CallerResponse = Response<Body>;

/// Creates a body from buffered bytes.
pub(super) fn full_body(bytes: Bytes) -> Body {
    Full::new(bytes)
        .map_err(|never| match never {})
        .boxed_unsync()
}

/// Creates a response from a whole answer.
pub(super) fn whole(status: StatusCode, headers: HeaderMap, body: Bytes) -> CallerResponse {
    let mut response = Response::new(full_body(body));
    *response.status_mut() = status;
    *response.headers_mut() = headers;
    response
}

/// Creates a response with an empty body.
pub(super) fn empty(status: StatusCode) -> CallerResponse {
    let mut response = Response::new(full_body(Bytes::new()));
    *response.status_mut() = status;
    response
}

/// Minimum value of `Retry-After` from an entry that has just started: it has no
/// configuration until the control replicas have elected a leader.
const STARTUP_RETRY_AFTER_MIN: Duration = Duration::from_millis(1200);

/// Creates a response that rejects a request that was not run, with `Retry-After`.
pub(super) fn retry_later(status: StatusCode) -> CallerResponse {
    retry_after_at_least(status, RETRY_AFTER_MIN)
}

/// Creates a response that rejects a request because the entry has just started.
pub(super) fn retry_after_startup() -> CallerResponse {
    retry_after_at_least(StatusCode::SERVICE_UNAVAILABLE, STARTUP_RETRY_AFTER_MIN)
}

fn retry_after_at_least(status: StatusCode, min_delay: Duration) -> CallerResponse {
    let jitter = RETRY_AFTER_JITTER.mul_f64(rand::rng().random());
    retry_after(status, min_delay + jitter)
}

/// Creates a response that rejects a request that was not run and can be served after the
/// given delay.
pub(super) fn retry_after(status: StatusCode, delay: Duration) -> CallerResponse {
    let mut response = empty(status);
    if let Ok(value) = format!("{:.2}", delay.as_secs_f64()).parse() {
        response.headers_mut().insert(header::RETRY_AFTER, value);
    }
    response
}

/// Creates a response that rejects a request because it crashes backend servers.
pub(super) fn quarantined() -> CallerResponse {
    let mut response = retry_later(StatusCode::SERVICE_UNAVAILABLE);
    let text = Bytes::from_static(b"request crashes backend servers\n");
    *response.body_mut() = full_body(text);
    let plain = header::HeaderValue::from_static("text/plain");
    response.headers_mut().insert(header::CONTENT_TYPE, plain);
    response
}

/// Creates an empty response after which the connection is closed.
pub(super) fn empty_and_close(status: StatusCode) -> CallerResponse {
    let mut response = empty(status);
    set_connection_close(response.headers_mut());
    response
}

/// Sets `Connection: close`.
pub(super) fn set_connection_close(headers: &mut HeaderMap) {
    let close = header::HeaderValue::from_static("close");
    headers.insert(header::CONNECTION, close);
}
