//! HTTP API for operators and backend servers.

use std::{
    convert::Infallible,
    sync::Arc,
    time::Duration, //
};

use bytes::Bytes;
use http_body_util::Full;
use hyper::{
    Method,
    Request,
    Response,
    StatusCode,
    body::Incoming,
    header::{
        CONNECTION,
        HeaderValue,
        LOCATION, //
    },
    server::conn::http1,
    service::service_fn, //
};
use hyper_util::rt::{
    TokioIo,
    TokioTimer, //
};
use sesamebeam_core::gateway::coordinator::{
    ApiRequest,
    ApiResponse, //
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
    control_addr_of, //
};
use crate::{
    intake::{
        Bodies,
        BodyError,
        Connections,
        OpenConnection, //
    },
    listen,
};

/// Maximum size of a request body: enough for a configuration of 10,000 routes.
const MAX_BODY_BYTES: usize = 8 << 20;

/// Maximum size of a request head.
const MAX_HEAD_BYTES: usize = 16 << 10;

/// Timeout for reading a request body. Clients give up after a second, or later for large
/// bodies.
const READ_TIMEOUT: Duration = Duration::from_secs(10);

/// Timeout for reading a request head, including the idle time since the previous
/// request. Backend servers announce themselves about once a second.
const HEAD_TIMEOUT: Duration = Duration::from_secs(30);

/// Timeout for the coordinator's response. The coordinator has a shorter timeout of its
/// own.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(2);

/// Why an API request is rejected.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ApiRequestError {
    /// There is no such endpoint.
    Unknown,
    /// The request is not valid, for this reason.
    Invalid(String),
}

/// Wire format of API requests and responses.
pub trait ControlProtocol: Send + Sync + 'static {
    /// Decodes a request.
    ///
    /// # Errors
    ///
    /// Returns an error if there is no such endpoint or the request is not valid.
    fn decode_request(
        &self,
        method: &Method,
        path: &str,
        body: Bytes,
    ) -> Result<ApiRequest, ApiRequestError>;

    /// Encodes the body of a response.
    fn encode_response(&self, response: &ApiResponse) -> Bytes;
}

/// State shared by all connections.
struct Context {
    settings: GroupSettings,
    bodies: Bodies,
    protocol: Arc<dyn ControlProtocol>,
    inputs: Inputs,
}

/// Starts accepting API requests.
pub(super) async fn start(
    settings: &GroupSettings,
    protocol: Arc<dyn ControlProtocol>,
    inputs: Inputs,
    halt: CancellationToken,
) -> Result<(), GroupError> {
    let listener = listen::bind(settings.control_addr).await?;
    let resources = settings.resources;
    let cx = Arc::new(Context {
        bodies: Bodies::new(resources.body_bytes()),
        settings: settings.clone(),
        protocol,
        inputs,
    });
    let cancel = halt.clone();
    let connections = Connections::new(resources.control_connections());
    tokio::spawn(listen::accept(
        listener,
        connections,
        halt,
        move |stream, open| serve(stream, open, Arc::clone(&cx), cancel.clone()),
    ));
    Ok(())
}

async fn serve(stream: TcpStream, open: OpenConnection, cx: Arc<Context>, halt: CancellationToken) {
    let service = service_fn(|mut req: Request<Incoming>| {
        open.attach(req.extensions_mut());
        let cx = Arc::clone(&cx);
        async move { Ok::<_, Infallible>(handle(req, &cx).await) }
    });
    let conn = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(HEAD_TIMEOUT)
        .max_buf_size(MAX_HEAD_BYTES)
        .serve_connection(TokioIo::new(stream), service);
    tokio::select! {
        () = halt.cancelled() => {}
        ended = conn => {
            if let Err(e) = ended {
                log::debug!(error:% = e; "API connection ended with an error");
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
    let reading = cx
        .bodies
        .read(&head.extensions, body, MAX_BODY_BYTES, READ_TIMEOUT);
    let body = match reading.await {
        Ok(body) => body,
        Err(e) => return reject_body(&e),
    };
    let request = match cx
        .protocol
        .decode_request(&head.method, &path, body.bytes().clone())
    {
        Ok(request) => request,
        Err(ApiRequestError::Unknown) => return reject(StatusCode::NOT_FOUND, "no such call"),
        Err(ApiRequestError::Invalid(why)) => {
            log::warn!(method:% = head.method, path:% = path, why:% = why; "call refused");
            return reject(StatusCode::BAD_REQUEST, &why);
        }
    };
    let (reply_tx, reply) = oneshot::channel();
    let _ = cx.inputs.send(Input::ApiRequested(request, reply_tx));
    let response = match timeout(RESPONSE_TIMEOUT, reply).await {
        Ok(Ok(response)) => response,
        _ => ApiResponse::Unavailable,
    };
    respond(&response, &path, cx)
}

fn respond(api_response: &ApiResponse, path: &str, cx: &Context) -> Response<Full<Bytes>> {
    let status = match api_response {
        ApiResponse::Done | ApiResponse::Config(_) | ApiResponse::Rollout(_) => StatusCode::OK,
        ApiResponse::Missing => StatusCode::NOT_FOUND,
        ApiResponse::Leader(_) => StatusCode::TEMPORARY_REDIRECT,
        ApiResponse::Unavailable => StatusCode::SERVICE_UNAVAILABLE,
    };
    let mut response = Response::new(Full::new(cx.protocol.encode_response(api_response)));
    *response.status_mut() = status;
    let headers = response.headers_mut();
    if let ApiResponse::Leader(addr) = api_response {
        let leader = control_addr_of(&cx.settings, addr.ip());
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

/// Refuses a request whose body could not be read. Nothing of it has been carried out.
fn reject_body(error: &BodyError) -> Response<Full<Bytes>> {
    let status = match error {
        BodyError::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
        BodyError::TooSlow => StatusCode::REQUEST_TIMEOUT,
        BodyError::NoRoom => StatusCode::SERVICE_UNAVAILABLE,
        BodyError::Broken(_) => StatusCode::BAD_REQUEST,
    };
    let mut response = reject(status, &error.to_string());
    let close = HeaderValue::from_static("close");
    response.headers_mut().insert(CONNECTION, close);
    response
}

fn reject(status: StatusCode, why: &str) -> Response<Full<Bytes>> {
    let body = serde_json::json!({ "error": why }).to_string();
    let mut response = Response::new(Full::new(body.into()));
    *response.status_mut() = status;
    response
}
