//! Answers to callers.

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

/// Shortest time after which a caller is asked to come back: about the time in
/// which a place becomes free.
const RETRY_AFTER_MIN: Duration = Duration::from_millis(200);

/// Spread of that time, so that callers refused together do not come back
/// together.
const RETRY_AFTER_SPREAD: Duration = Duration::from_millis(800);

/// Why an answer breaks off.
#[derive(Debug, Error)]
pub(super) enum Broken {
    /// The backend server broke off and no other went on.
    #[error("stream broke off")]
    Stream,
    /// The time is over.
    #[error("time is over")]
    Late,
}

/// Body of an answer.
pub(super) type Body = UnsyncBoxBody<Bytes, Broken>;

/// An answer to a caller.
pub(super) type Answer = Response<Body>;

/// Makes a body of bytes that are there.
pub(super) fn full(bytes: Bytes) -> Body {
    Full::new(bytes)
        .map_err(|never| match never {})
        .boxed_unsync()
}

/// Makes an answer of this entry itself.
pub(super) fn own(status: StatusCode) -> Answer {
    let mut answer = Response::new(full(Bytes::new()));
    *answer.status_mut() = status;
    answer
}

/// Time after which a caller is asked to come back to an entry that has just
/// started: it knows nothing until a control replica leads again.
const START_TAKES: Duration = Duration::from_millis(1200);

/// Refuses a request that has not run and says when to come back.
pub(super) fn come_back(status: StatusCode) -> Answer {
    come_back_after(status, RETRY_AFTER_MIN)
}

/// Refuses a request because this entry has just started.
pub(super) fn come_back_when_started() -> Answer {
    come_back_after(StatusCode::SERVICE_UNAVAILABLE, START_TAKES)
}

fn come_back_after(status: StatusCode, least: Duration) -> Answer {
    let spread = RETRY_AFTER_SPREAD.mul_f64(rand::rng().random());
    come_back_in(status, least + spread)
}

/// Refuses a request that has not run and says after which time it can be served.
pub(super) fn come_back_in(status: StatusCode, after: Duration) -> Answer {
    let mut answer = own(status);
    if let Ok(value) = format!("{:.2}", after.as_secs_f64()).parse() {
        answer.headers_mut().insert(header::RETRY_AFTER, value);
    }
    answer
}

/// Makes an answer of this entry after which the connection is closed.
pub(super) fn closing(status: StatusCode) -> Answer {
    let mut answer = own(status);
    close_after(answer.headers_mut());
    answer
}

/// Has the connection closed after an answer.
pub(super) fn close_after(headers: &mut HeaderMap) {
    let close = header::HeaderValue::from_static("close");
    headers.insert(header::CONNECTION, close);
}
