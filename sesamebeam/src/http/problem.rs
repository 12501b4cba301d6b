//! Problem documents (RFC 9457) for refusals.

use bytes::Bytes;
use http_body_util::{
    BodyExt,
    Full,
    combinators::UnsyncBoxBody, //
};
use hyper::{
    Response,
    StatusCode,
    header, //
};
use serde::Serialize;
use sesamebeam_core::entry::refusal::Refusal;

use crate::intake::BodyError;

/// Seconds after which a body may find room: by then those without progress have been given up.
const NO_ROOM_RETRY_AFTER: &str = "1";

/// Body of a response to a caller.
pub type ResponseBody = UnsyncBoxBody<Bytes, std::io::Error>;

/// A problem document.
#[derive(Debug, Serialize)]
struct Problem<'a> {
    /// URI of the problem type.
    r#type: String,
    /// Short human-readable name.
    title: &'a str,
    /// HTTP status.
    status: u16,
    /// Human-readable explanation in one sentence.
    detail: &'a str,
    /// Whether the request ran.
    outcome: &'a str,
    /// Time after which a retry may succeed, in milliseconds.
    #[serde(skip_serializing_if = "Option::is_none")]
    retry_after_ms: Option<u64>,
}

/// Serializes a refusal as a problem document.
pub fn document(refusal: &Refusal) -> Vec<u8> {
    let name = refusal.reason.name();
    let problem = Problem {
        r#type: format!("urn:sesamebeam:problem:{name}"),
        title: name,
        status: refusal.reason.status(),
        detail: &refusal.detail,
        outcome: refusal.outcome.name(),
        retry_after_ms: refusal
            .retry_after
            .map(|after| u64::try_from(after.as_millis()).unwrap_or(u64::MAX)),
    };
    serde_json::to_vec(&problem).unwrap_or_default()
}

/// Builds the response for a refusal, with its `Retry-After` header.
pub fn response(refusal: &Refusal) -> Response<ResponseBody> {
    let mut builder = Response::builder()
        .status(StatusCode::from_u16(refusal.reason.status()).unwrap_or(StatusCode::BAD_GATEWAY))
        .header(header::CONTENT_TYPE, "application/problem+json");
    if let Some(after) = refusal.retry_after {
        let secs = after.as_millis().div_ceil(1000).max(1);
        builder = builder.header(header::RETRY_AFTER, secs.to_string());
    }
    builder
        .body(full_body(document(refusal)))
        .unwrap_or_else(|_| Response::new(full_body(Vec::new())))
}

/// Builds the response for an invalid request, which never ran.
pub fn invalid_request(status: u16, name: &str, detail: &str) -> Response<ResponseBody> {
    let problem = Problem {
        r#type: format!("urn:sesamebeam:problem:{name}"),
        title: name,
        status,
        detail,
        outcome: "not_run",
        retry_after_ms: None,
    };
    let body = serde_json::to_vec(&problem).unwrap_or_default();
    let mut answer = Response::new(full_body(body));
    *answer.status_mut() = StatusCode::from_u16(status).unwrap_or(StatusCode::BAD_REQUEST);
    answer.headers_mut().insert(
        header::CONTENT_TYPE,
        header::HeaderValue::from_static("application/problem+json"),
    );
    answer
}

/// Builds the response to a request whose body could not be read, which never ran. Its connection
/// can't be used again.
pub(crate) fn unread_body(error: &BodyError) -> Response<ResponseBody> {
    let mut answer = match error {
        BodyError::TooLarge => invalid_request(
            413,
            "body-too-large",
            "The body is larger than this entry takes.",
        ),
        BodyError::Broken(_) => {
            invalid_request(400, "body-broken", "The body did not arrive whole.")
        }
        BodyError::TooSlow => {
            invalid_request(408, "body-too-slow", "The body did not arrive in time.")
        }
        BodyError::NoRoom => {
            let mut answer =
                invalid_request(503, "no-room-for-body", "Other bodies take all memory.");
            let after = header::HeaderValue::from_static(NO_ROOM_RETRY_AFTER);
            answer.headers_mut().insert(header::RETRY_AFTER, after);
            answer
        }
    };
    let close = header::HeaderValue::from_static("close");
    answer.headers_mut().insert(header::CONNECTION, close);
    answer
}

/// Creates a body of known length.
pub fn full_body(bytes: impl Into<Bytes>) -> ResponseBody {
    Full::new(bytes.into())
        .map_err(|never| match never {})
        .boxed_unsync()
}
