//! Calls of operators and backend servers over HTTP.

use std::{
    convert::Infallible,
    sync::Arc,
    time::Duration, //
};

use bytes::Bytes;
use http_body_util::{
    BodyExt,
    Full,
    Limited, //
};
use hyper::{
    Method,
    Request,
    Response,
    StatusCode,
    body::Incoming,
    header::LOCATION,
    server::conn::http1,
    service::service_fn, //
};
use hyper_util::rt::{
    TokioIo,
    TokioTimer, //
};
use sesamebeam_core::gateway::coordinator::{
    ApiRequest, //
    ApiResponse,
};
use tokio::{
    net::TcpStream,
    sync::oneshot,
    time::timeout, //
};
use tokio_util::sync::CancellationToken;

use super::{
    GroupError,
    GroupSettings,
    Input,
    Inputs,
    control_of, //
};
use crate::listen;

/// Most bytes of a call: a configuration of 10,000 routes.
const MAX_BODY: usize = 8 << 20;

/// Longest wait for a whole call. Callers give up after a second, later for
/// large bodies.
const READ_TIMEOUT: Duration = Duration::from_secs(10);

/// Longest wait for a head, idle time between calls included: backend servers
/// announce themselves about once a second.
const HEAD_TIMEOUT: Duration = Duration::from_secs(30);

/// Longest wait for an answer of the coordinator, which gives up before.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(2);

/// Why a call is not carried out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ApiRequestError {
    /// There is no such call.
    Unknown,
    /// It is not valid, for this reason.
    Invalid(String),
}

/// How calls and their answers are written.
pub trait ControlProtocol: Send + Sync + 'static {
    /// Decodes a call.
    ///
    /// # Errors
    ///
    /// Fails if there is no such call or it is not valid.
    fn decode_request(
        &self,
        method: &Method,
        path: &str,
        body: Bytes,
    ) -> Result<ApiRequest, ApiRequestError>;

    /// Encodes the body of an answer.
    fn encode_response(&self, answer: &ApiResponse) -> Bytes;
}

/// What a connection needs.
struct Context {
    settings: GroupSettings,
    protocol: Arc<dyn ControlProtocol>,
    tx: Inputs,
}

/// Starts to take calls.
pub(super) async fn start(
    settings: &GroupSettings,
    protocol: Arc<dyn ControlProtocol>,
    tx: Inputs,
    halt: CancellationToken,
) -> Result<(), GroupError> {
    let listener = listen::bind(settings.control_addr).await?;
    let cx = Arc::new(Context {
        settings: settings.clone(),
        protocol,
        tx,
    });
    let cancel = halt.clone();
    tokio::spawn(listen::accept(listener, halt, move |stream| {
        serve(stream, Arc::clone(&cx), cancel.clone())
    }));
    Ok(())
}

async fn serve(stream: TcpStream, cx: Arc<Context>, halt: CancellationToken) {
    let service = service_fn(|req| {
        let cx = Arc::clone(&cx);
        async move { Ok::<_, Infallible>(handle(req, &cx).await) }
    });
    let conn = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(HEAD_TIMEOUT)
        .serve_connection(TokioIo::new(stream), service);
    tokio::select! {
        () = halt.cancelled() => {}
        ended = conn => {
            if let Err(e) = ended {
                log::debug!(error:% = e; "caller's connection ended");
            }
        }
    }
}

async fn handle(req: Request<Incoming>, cx: &Context) -> Response<Full<Bytes>> {
    let (head, body) = req.into_parts();
    let path = head
        .uri
        .path_and_query()
        .map_or("/", |p| p.as_str())
        .to_owned();
    let reading = Limited::new(body, MAX_BODY).collect();
    let body = match timeout(READ_TIMEOUT, reading).await {
        Ok(Ok(body)) => body.to_bytes(),
        Ok(Err(e)) => return refuse(StatusCode::BAD_REQUEST, &e.to_string()),
        Err(_) => return refuse(StatusCode::REQUEST_TIMEOUT, "body not read in time"),
    };
    let call = match cx.protocol.decode_request(&head.method, &path, body) {
        Ok(call) => call,
        Err(ApiRequestError::Unknown) => return refuse(StatusCode::NOT_FOUND, "no such call"),
        Err(ApiRequestError::Invalid(why)) => {
            log::warn!(method:% = head.method, path:% = path, why:% = why; "call refused");
            return refuse(StatusCode::BAD_REQUEST, &why);
        }
    };
    let (back, answer) = oneshot::channel();
    let _ = cx.tx.send(Input::Called(call, back));
    let answer = match timeout(ANSWER_TIMEOUT, answer).await {
        Ok(Ok(answer)) => answer,
        _ => ApiResponse::Unavailable,
    };
    respond(&answer, &path, cx)
}

fn respond(answer: &ApiResponse, path: &str, cx: &Context) -> Response<Full<Bytes>> {
    let status = match answer {
        ApiResponse::Done | ApiResponse::Config(_) | ApiResponse::Rollout(_) => StatusCode::OK,
        ApiResponse::Missing => StatusCode::NOT_FOUND,
        ApiResponse::Leader(_) => StatusCode::TEMPORARY_REDIRECT,
        ApiResponse::Unavailable => StatusCode::SERVICE_UNAVAILABLE,
    };
    let mut response = Response::new(Full::new(cx.protocol.encode_response(answer)));
    *response.status_mut() = status;
    let headers = response.headers_mut();
    if let ApiResponse::Leader(addr) = answer {
        let leader = control_of(&cx.settings, addr.ip());
        if let Ok(value) = format!("http://{leader}{path}").parse() {
            headers.insert(LOCATION, value);
        }
    }
    headers.insert(
        hyper::header::CONTENT_TYPE,
        hyper::header::HeaderValue::from_static("application/json"),
    );
    response
}

fn refuse(status: StatusCode, why: &str) -> Response<Full<Bytes>> {
    let body = serde_json::json!({ "error": why }).to_string();
    let mut response = Response::new(Full::new(body.into()));
    *response.status_mut() = status;
    response
}
