//! One attempt at a backend server: sends the request, reads the response and
//! classifies failures.

use std::{
    future::Future,
    pin::Pin,
    sync::Arc,
    task::{
        Context,
        Poll, //
    },
    time::{
        Duration,
        Instant, //
    },
};

use base64::{
    Engine,
    engine::general_purpose::STANDARD, //
};
use bytes::Bytes;
use http_body_util::Full;
use hyper::{
    Method,
    Request,
    Response,
    StatusCode,
    body::{
        Body,
        Incoming, //
    },
    header, //
};
use serde::Deserialize;
use serde_json::{
    Map,
    Value, //
};
use sesamebeam_core::{
    entry::event::{
        AttemptReport,
        Dispatch,
        DispatchKind,
        ServerKnows,
        ServerRefusal, //
    },
    fleet::Priority,
    ids::{
        IdempotencyKey,
        Incarnation, //
    },
    message::record::ServerIncarnation,
};
use smol_str::SmolStr;

use crate::http::{
    self,
    client::{
        Client,
        ClientError,
        ConnectionGuard,
        Reuse,
        SendOptions, //
    },
    received::{
        read_body,
        read_whole, //
    },
    sse::{
        EventSplitter,
        SplitResult, //
    },
};

/// Maximum size of an error body that is read from a backend server.
const MAX_ERROR_BODY: usize = 64 << 10;

/// A caller's request in the form that is sent to backend servers.
#[derive(Debug)]
pub(crate) enum UpstreamRequest {
    /// A chat request; `model` and `stream` are set for each attempt.
    Chat(Map<String, Value>),
    /// A request to a plain service.
    Service {
        /// Method.
        method: Method,
        /// Path with its query.
        path: String,
        /// Content type of the body.
        content_type: Option<SmolStr>,
        /// Body.
        body: Bytes,
        /// Idempotency key, which is forwarded.
        key: Option<IdempotencyKey>,
    },
}

/// Limits of one attempt.
#[derive(Clone, Copy, Debug)]
pub(crate) struct AttemptLimits {
    /// Time after which the request must not be sent.
    pub(crate) send_by: Instant,
    /// Maximum size of a response of a plain service, in bytes.
    pub(crate) max_body_bytes: usize,
    /// Maximum wait for the response head when a stream is resumed or a result is
    /// looked up.
    pub(crate) resume_timeout: Duration,
}

/// A response that is read completely before it is forwarded.
#[derive(Debug)]
pub(crate) struct ServiceResponse {
    /// HTTP status.
    pub(crate) status: u16,
    /// Content type.
    pub(crate) content_type: SmolStr,
    /// Requested pause, if the response rejects the request.
    pub(crate) retry_after: Option<Duration>,
    /// Body.
    pub(crate) body: Bytes,
}

/// Event of an attempt.
#[derive(Debug)]
pub(crate) enum UpstreamEvent {
    /// Complete events of a stream.
    Events(Bytes),
    /// The last events of a stream, including `[DONE]`.
    Last(Bytes),
    /// The complete response of a plain service.
    Service(ServiceResponse),
    /// The attempt ended without a complete response.
    Ended(AttemptReport),
}

type Opening = Pin<Box<dyn Future<Output = OpenOutcome> + Send>>;

/// Result of sending the request of an attempt.
enum OpenOutcome {
    Stream(Response<Incoming>, ConnectionGuard),
    Service(ServiceResponse),
    Ended(AttemptReport),
}

/// One attempt at a backend server.
pub(crate) struct Upstream {
    /// The core's instructions for the attempt.
    pub(crate) dispatch: Box<Dispatch>,
    /// Time from sending the request to the first event, once it has arrived.
    pub(crate) first_event_after: Option<Duration>,
    /// Time at which the request was sent.
    pub(crate) sent_at: Instant,
    splitter: EventSplitter,
    stage: Stage,
    /// Whether data arrived since the last call of [`Self::idle`].
    active: bool,
}

enum Stage {
    Opening(Opening),
    Reading(Incoming, Option<ConnectionGuard>),
    Ended,
}

impl Upstream {
    /// Starts an attempt.
    pub(crate) fn start(
        client: &Client,
        outgoing: &Arc<UpstreamRequest>,
        dispatch: Box<Dispatch>,
        limits: AttemptLimits,
    ) -> Self {
        let events = match dispatch.kind {
            DispatchKind::Resume { events } => events,
            _ => 0,
        };
        let opening = open(
            client.clone(),
            Arc::clone(outgoing),
            (*dispatch).clone(),
            limits,
        );
        Self {
            dispatch,
            first_event_after: None,
            sent_at: Instant::now(),
            splitter: EventSplitter::resume_after(events),
            stage: Stage::Opening(Box::pin(opening)),
            active: false,
        }
    }

    /// Returns the number of complete events received, including those before a
    /// resume.
    pub(crate) fn events(&self) -> u64 {
        self.splitter.events()
    }

    /// Returns whether no data arrived since the last call.
    pub(crate) fn idle(&mut self) -> bool {
        !std::mem::take(&mut self.active)
    }

    /// Polls for the next event.
    pub(crate) fn poll_next(&mut self, cx: &mut Context<'_>) -> Poll<UpstreamEvent> {
        loop {
            match &mut self.stage {
                Stage::Opening(opening) => match opening.as_mut().poll(cx) {
                    Poll::Pending => return Poll::Pending,
                    Poll::Ready(OpenOutcome::Stream(response, conn)) => {
                        self.active = true;
                        self.stage = Stage::Reading(response.into_body(), Some(conn));
                    }
                    Poll::Ready(OpenOutcome::Service(answer)) => {
                        self.stage = Stage::Ended;
                        return Poll::Ready(UpstreamEvent::Service(answer));
                    }
                    Poll::Ready(OpenOutcome::Ended(report)) => {
                        self.stage = Stage::Ended;
                        return Poll::Ready(UpstreamEvent::Ended(report));
                    }
                },
                Stage::Reading(body, conn) => match Pin::new(&mut *body).poll_frame(cx) {
                    Poll::Pending => return Poll::Pending,
                    Poll::Ready(Some(Ok(frame))) => {
                        self.active = true;
                        let Ok(chunk) = frame.into_data() else {
                            continue;
                        };
                        match self.splitter.push(chunk) {
                            SplitResult::Incomplete => {}
                            SplitResult::Events(events) => {
                                return Poll::Ready(UpstreamEvent::Events(events));
                            }
                            SplitResult::Done(events) => {
                                if body.is_end_stream()
                                    && let Some(conn) = conn.take()
                                {
                                    conn.release();
                                }
                                self.drain();
                                return Poll::Ready(UpstreamEvent::Last(events));
                            }
                            SplitResult::TooLong => return Poll::Ready(self.end_broken()),
                        }
                    }
                    // A body that ends without `[DONE]` is a truncated stream,
                    // even if the HTTP response ended without an error.
                    Poll::Ready(Some(Err(_)) | None) => return Poll::Ready(self.end_broken()),
                },
                Stage::Ended => return Poll::Pending,
            }
        }
    }

    fn end_broken(&mut self) -> UpstreamEvent {
        self.stage = Stage::Ended;
        UpstreamEvent::Ended(AttemptReport::Broken {
            events: self.splitter.events(),
        })
    }

    /// Reads the rest of the body after `[DONE]`, so that the connection can be
    /// reused.
    fn drain(&mut self) {
        if let Stage::Reading(body, Some(conn)) = std::mem::replace(&mut self.stage, Stage::Ended) {
            tokio::spawn(async move {
                let rest = read_body(body, MAX_ERROR_BODY, conn.long_answers());
                if tokio::time::timeout(Duration::from_secs(1), rest)
                    .await
                    .is_ok_and(|rest| rest.is_ok())
                {
                    conn.release();
                }
            });
        }
    }
}

/// Cancels a request at a backend server and returns the state it reports.
pub(crate) async fn cancel(
    client: &Client,
    server: std::net::SocketAddr,
    id: u128,
    patience: Duration,
) -> ServerKnows {
    let Ok(req) = Request::delete(format!("/v1/streams/{id:032x}"))
        .header(header::HOST, server.to_string())
        .body(Full::new(Bytes::new()))
    else {
        return ServerKnows::Unreachable;
    };
    let options = SendOptions {
        reuse: Reuse::Never,
        header_timeout: patience,
        send_by: None,
    };
    match client.send(server, req, options).await {
        Ok((response, conn)) => read_server_state(server, response, conn).await,
        Err(_) => ServerKnows::Unreachable,
    }
}

async fn open(
    client: Client,
    outgoing: Arc<UpstreamRequest>,
    dispatch: Dispatch,
    limits: AttemptLimits,
) -> OpenOutcome {
    let Some(req) = build_request(&outgoing, &dispatch) else {
        return OpenOutcome::Ended(AttemptReport::Refused(ServerRefusal::Invalid));
    };
    let fresh = !matches!(dispatch.kind, DispatchKind::Run | DispatchKind::Hedge);
    let options = SendOptions {
        reuse: if fresh { Reuse::Never } else { Reuse::Any },
        header_timeout: if fresh {
            limits.resume_timeout
        } else {
            dispatch.progress
        },
        send_by: Some(limits.send_by),
    };
    let events = match dispatch.kind {
        DispatchKind::Resume { events } => events,
        _ => 0,
    };
    let (response, conn) = match client.send(dispatch.server.addr, req, options).await {
        Ok(answer) => answer,
        Err(ClientError::Late(_)) => return OpenOutcome::Ended(AttemptReport::Late),
        Err(e) if e.is_unsent() => {
            let refused = matches!(e, ClientError::Refused(_));
            return OpenOutcome::Ended(AttemptReport::ConnectFailed { refused });
        }
        Err(ClientError::Timeout(_)) => {
            return OpenOutcome::Ended(AttemptReport::Stalled { events });
        }
        Err(_) => return OpenOutcome::Ended(AttemptReport::Broken { events }),
    };
    match (&*outgoing, dispatch.kind) {
        (_, DispatchKind::LookUp) => {
            look_up(&dispatch, response, conn, limits.max_body_bytes).await
        }
        (UpstreamRequest::Service { .. }, _) => {
            read_service_response(response, conn, limits.max_body_bytes).await
        }
        (UpstreamRequest::Chat(_), kind) => match response.status() {
            StatusCode::OK => OpenOutcome::Stream(response, conn),
            status => engine_refusal(&dispatch, kind, status, response, conn).await,
        },
    }
}

async fn engine_refusal(
    dispatch: &Dispatch,
    kind: DispatchKind,
    status: StatusCode,
    response: Response<Incoming>,
    conn: ConnectionGuard,
) -> OpenOutcome {
    if matches!(kind, DispatchKind::Resume { .. }) {
        let known = read_server_state(dispatch.server.addr, response, conn).await;
        return OpenOutcome::Ended(AttemptReport::NotThere(known));
    }
    OpenOutcome::Ended(match status {
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS => {
            let retry_after = retry_after(&response);
            AttemptReport::Refused(ServerRefusal::Busy { retry_after })
        }
        StatusCode::NOT_FOUND => AttemptReport::Refused(ServerRefusal::NotLoaded),
        StatusCode::CONFLICT => AttemptReport::Refused(ServerRefusal::Cancelled),
        status if status.is_client_error() => AttemptReport::Refused(ServerRefusal::Invalid),
        // With any other status the engine may have run the request.
        _ => AttemptReport::Broken { events: 0 },
    })
}

/// Reads the state of a request from an engine's response to a cancel or a
/// failed resume.
async fn read_server_state(
    server: std::net::SocketAddr,
    response: Response<Incoming>,
    conn: ConnectionGuard,
) -> ServerKnows {
    #[derive(Deserialize)]
    struct State {
        state: SmolStr,
    }
    let incarnation = incarnation(&response);
    let Ok(body) = read_whole(response, MAX_ERROR_BODY, conn.long_answers()).await else {
        return ServerKnows::Unreachable;
    };
    conn.release();
    let Ok(state) = serde_json::from_slice::<State>(&body) else {
        return ServerKnows::Unreachable;
    };
    match (state.state.as_str(), incarnation) {
        ("never", Some(incarnation)) => ServerKnows::Never {
            incarnation: ServerIncarnation {
                addr: server,
                incarnation,
            },
        },
        ("gone", _) => ServerKnows::Gone,
        ("cancelled" | "finished", _) => ServerKnows::Has,
        _ => ServerKnows::Unreachable,
    }
}

async fn read_service_response(
    response: Response<Incoming>,
    conn: ConnectionGuard,
    max_body_bytes: usize,
) -> OpenOutcome {
    let status = response.status();
    let retry_after = retry_after(&response);
    let content_type = response
        .headers()
        .get(header::CONTENT_TYPE)
        .and_then(|v| v.to_str().ok())
        .map_or_else(|| "application/octet-stream".into(), SmolStr::new);
    match read_whole(response, max_body_bytes, conn.long_answers()).await {
        Ok(body) => {
            conn.release();
            OpenOutcome::Service(ServiceResponse {
                status: status.as_u16(),
                content_type,
                retry_after,
                body,
            })
        }
        Err(_) => OpenOutcome::Ended(AttemptReport::Broken { events: 0 }),
    }
}

async fn look_up(
    dispatch: &Dispatch,
    response: Response<Incoming>,
    conn: ConnectionGuard,
    max_body_bytes: usize,
) -> OpenOutcome {
    #[derive(Deserialize)]
    struct Found {
        state: SmolStr,
        #[serde(default)]
        status: u16,
        #[serde(default)]
        content_type: SmolStr,
        #[serde(default)]
        body: String,
    }
    let incarnation = incarnation(&response);
    let unknown = OpenOutcome::Ended(AttemptReport::NotThere(ServerKnows::Unreachable));
    let Ok(body) = read_whole(response, max_body_bytes * 2, conn.long_answers()).await else {
        return unknown;
    };
    conn.release();
    let Ok(found) = serde_json::from_slice::<Found>(&body) else {
        return unknown;
    };
    match (
        found.state.as_str(),
        incarnation,
        STANDARD.decode(found.body),
    ) {
        ("ran", _, Ok(body)) => OpenOutcome::Service(ServiceResponse {
            status: found.status,
            content_type: found.content_type,
            retry_after: None,
            body: body.into(),
        }),
        ("never", Some(incarnation), _) => {
            let life = ServerIncarnation {
                addr: dispatch.server.addr,
                incarnation,
            };
            OpenOutcome::Ended(AttemptReport::NotThere(ServerKnows::Never {
                incarnation: life,
            }))
        }
        _ => unknown,
    }
}

/// Returns the pause that a response with a rejecting status asks for.
fn retry_after(response: &Response<Incoming>) -> Option<Duration> {
    let turns_away = [
        StatusCode::SERVICE_UNAVAILABLE,
        StatusCode::TOO_MANY_REQUESTS,
    ];
    let value = response.headers().get(header::RETRY_AFTER)?;
    let value = value.to_str().ok()?;
    let turned_away = turns_away.contains(&response.status());
    turned_away.then(|| http::retry_after(value)).flatten()
}

fn incarnation(response: &Response<Incoming>) -> Option<Incarnation> {
    response
        .headers()
        .get("x-incarnation")?
        .to_str()
        .ok()?
        .parse()
        .ok()
}

fn build_request(outgoing: &UpstreamRequest, dispatch: &Dispatch) -> Option<Request<Full<Bytes>>> {
    let host = dispatch.server.addr.to_string();
    let id = format!("{:032x}", dispatch.id);
    let builder = Request::builder().header(header::HOST, host);
    match (outgoing, dispatch.kind) {
        (_, DispatchKind::Resume { events }) => builder
            .uri(format!("/v1/streams/{id}?offset={events}"))
            .body(Full::default())
            .ok(),
        (_, DispatchKind::LookUp) => builder
            .uri(format!("/lookup/{id}"))
            .body(Full::default())
            .ok(),
        (UpstreamRequest::Chat(fields), _) => {
            let body = chat_body(fields, dispatch)?;
            builder
                .method(Method::POST)
                .uri("/v1/chat/completions")
                .header(header::CONTENT_TYPE, "application/json")
                .header("x-request-id", id)
                .header("x-priority", priority(dispatch.priority))
                .header("x-prefix", format!("{:016x}", dispatch.prefix))
                .body(Full::new(body.into()))
                .ok()
        }
        (
            UpstreamRequest::Service {
                method,
                path,
                content_type,
                body,
                key,
            },
            _,
        ) => {
            let mut builder = builder
                .method(method.clone())
                .uri(path.as_str())
                .header("x-request-id", id)
                .header("x-priority", priority(dispatch.priority));
            if let Some(key) = key {
                builder = builder.header("idempotency-key", key.as_str());
            }
            if let Some(content_type) = content_type {
                builder = builder.header(header::CONTENT_TYPE, content_type.as_str());
            }
            builder.body(Full::new(body.clone())).ok()
        }
    }
}

fn chat_body(fields: &Map<String, Value>, dispatch: &Dispatch) -> Option<Vec<u8>> {
    let mut fields = fields.clone();
    let version = dispatch.version.as_deref()?;
    fields.insert("model".to_owned(), Value::from(version));
    fields.insert("stream".to_owned(), Value::from(true));
    serde_json::to_vec(&fields).ok()
}

fn priority(priority: Priority) -> &'static str {
    match priority {
        Priority::Urgent => "urgent",
        Priority::Normal => "normal",
        Priority::Deferrable => "deferrable",
    }
}
