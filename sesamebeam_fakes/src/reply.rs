//! Building of answers.

use bytes::Bytes;
use http_body_util::{
    BodyExt,
    Full,
    Limited,
    combinators::UnsyncBoxBody, //
};
use hyper::{
    Response,
    StatusCode,
    body::Incoming,
    header::{
        CONTENT_TYPE,
        HeaderValue, //
    }, //
};
use serde::{
    Serialize,
    de::DeserializeOwned, //
};

use crate::error::BodyError;

/// Body of every answer of a fake.
pub(crate) type Body = UnsyncBoxBody<Bytes, BodyError>;

/// Largest body that a fake reads, in bytes.
const MAX_BODY: usize = 16 << 20;

/// Answer with a text that says what was wrong.
#[derive(Serialize)]
struct Fault<'a> {
    error: &'a str,
}

/// State of a request, as a fake tells it.
#[derive(Serialize)]
struct State<'a> {
    state: &'a str,
}

/// Answers with bytes of a content type.
pub(crate) fn bytes(status: StatusCode, content_type: &'static str, body: Bytes) -> Response<Body> {
    stream(
        status,
        content_type,
        Full::new(body).map_err(|e| match e {}),
    )
}

/// Answers with a body that comes bit by bit.
pub(crate) fn stream(
    status: StatusCode,
    content_type: &'static str,
    body: impl hyper::body::Body<Data = Bytes, Error = BodyError> + Send + 'static,
) -> Response<Body> {
    let mut answer = Response::new(body.boxed_unsync());
    *answer.status_mut() = status;
    let value = HeaderValue::from_static(content_type);
    answer.headers_mut().insert(CONTENT_TYPE, value);
    answer
}

/// Answers with JSON.
pub(crate) fn json(status: StatusCode, body: &impl Serialize) -> Response<Body> {
    let body = serde_json::to_vec(body).expect("answers of the fakes have string keys");
    bytes(status, "application/json", Bytes::from(body))
}

/// Answers without a body.
pub(crate) fn empty(status: StatusCode) -> Response<Body> {
    let mut answer = Response::new(Full::default().map_err(|e| match e {}).boxed_unsync());
    *answer.status_mut() = status;
    answer
}

/// Answers with what was wrong.
pub(crate) fn fault(status: StatusCode, error: &str) -> Response<Body> {
    json(status, &Fault { error })
}

/// Answers with the state of a request.
pub(crate) fn state(status: StatusCode, state: &str) -> Response<Body> {
    json(status, &State { state })
}

/// Reads a whole body.
///
/// # Errors
///
/// Gives the answer to send if the body breaks off or is too long.
pub(crate) async fn read(body: Incoming) -> Result<Bytes, Box<Response<Body>>> {
    let whole = Limited::new(body, MAX_BODY).collect().await;
    whole.map(|body| body.to_bytes()).map_err(|e| {
        let text = format!("body not read: {e}");
        Box::new(fault(StatusCode::BAD_REQUEST, &text))
    })
}

/// Reads a JSON body.
///
/// # Errors
///
/// Gives the answer to send if the body is not the JSON that is expected.
pub(crate) async fn read_json<T: DeserializeOwned>(
    body: Incoming,
) -> Result<T, Box<Response<Body>>> {
    parse(&read(body).await?)
}

/// Parses JSON that was read before.
///
/// # Errors
///
/// Gives the answer to send if it is not the JSON that is expected.
pub(crate) fn parse<T: DeserializeOwned>(body: &[u8]) -> Result<T, Box<Response<Body>>> {
    serde_json::from_slice(body).map_err(|e| {
        let text = format!("body does not parse: {e}");
        Box::new(fault(StatusCode::BAD_REQUEST, &text))
    })
}

/// Answers nothing: the connection breaks before the head is sent.
///
/// Hyper offers no way to drop a connection from a handler, so the site watches
/// for this mark and drops it.
pub(crate) fn broken() -> Response<Body> {
    let mut answer = empty(StatusCode::OK);
    answer.extensions_mut().insert(Broken);
    answer
}

/// Whether an answer is the mark of a broken connection.
pub(crate) fn is_broken(answer: &Response<Body>) -> bool {
    answer.extensions().get::<Broken>().is_some()
}

/// Mark of an answer that is never sent.
#[derive(Clone, Copy, Debug)]
struct Broken;
