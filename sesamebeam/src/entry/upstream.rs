//! One attempt at a backend server: opening, reading, telling what went wrong.

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
        Lease,
        Reuse,
        Terms, //
    },
    sse::{
        Cut,
        EventCutter, //
    },
};

/// Largest error body that is read from a backend server.
const MAX_ERROR_BODY: usize = 64 << 10;

/// What a caller sent, ready to be sent on.
#[derive(Debug)]
pub(crate) enum Outgoing {
    /// A chat request; model and stream are set anew for each attempt.
    Chat(Map<String, Value>),
    /// A call of a plain service.
    Service {
        /// Method.
        method: Method,
        /// Path with its query.
        path: String,
        /// Content type of the body.
        content_type: Option<SmolStr>,
        /// Body.
        body: Bytes,
        /// Key, passed on.
        key: Option<IdempotencyKey>,
    },
}

/// Bounds of one attempt.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Bounds {
    /// Time after which it must not be sent.
    pub(crate) send_by: Instant,
    /// Largest answer of a plain service, in bytes.
    pub(crate) max_body: usize,
    /// Longest wait for the head of a resumed answer.
    pub(crate) probe: Duration,
}

/// An answer that is read whole before it is passed on.
#[derive(Debug)]
pub(crate) struct WholeAnswer {
    /// HTTP status.
    pub(crate) status: u16,
    /// Content type.
    pub(crate) content_type: SmolStr,
    /// Pause that it asks for, if it turns the request away.
    pub(crate) retry_after: Option<Duration>,
    /// Body.
    pub(crate) body: Bytes,
}

/// What an attempt came to.
#[derive(Debug)]
pub(crate) enum Heard {
    /// Whole events of a stream.
    Events(Bytes),
    /// The last events of a stream, `[DONE]` among them.
    Last(Bytes),
    /// A whole answer of a plain service.
    Whole(WholeAnswer),
    /// The attempt ended without one.
    Ended(AttemptReport),
}

type Opening = Pin<Box<dyn Future<Output = Opened> + Send>>;

/// What opening an attempt gave.
enum Opened {
    Stream(Response<Incoming>, Lease),
    Whole(WholeAnswer),
    Ended(AttemptReport),
}

/// One attempt at a backend server.
pub(crate) struct Upstream {
    /// What was ordered.
    pub(crate) dispatch: Box<Dispatch>,
    /// Time from sending to the first event, once it has arrived.
    pub(crate) first: Option<Duration>,
    /// When it was sent.
    pub(crate) sent: Instant,
    cutter: EventCutter,
    stage: Stage,
    /// Whether something arrived since the last look at it.
    active: bool,
}

enum Stage {
    Opening(Opening),
    Reading(Incoming, Option<Lease>),
    Over,
}

impl Upstream {
    /// Starts an attempt.
    pub(crate) fn start(
        client: &Client,
        outgoing: &Arc<Outgoing>,
        dispatch: Box<Dispatch>,
        bounds: Bounds,
    ) -> Self {
        let events = match dispatch.kind {
            DispatchKind::Resume { events } => events,
            _ => 0,
        };
        let opening = open(
            client.clone(),
            Arc::clone(outgoing),
            (*dispatch).clone(),
            bounds,
        );
        Self {
            dispatch,
            first: None,
            sent: Instant::now(),
            cutter: EventCutter::after(events),
            stage: Stage::Opening(Box::pin(opening)),
            active: false,
        }
    }

    /// Number of whole events of the answer that arrived.
    pub(crate) fn events(&self) -> u64 {
        self.cutter.events()
    }

    /// Tells whether nothing arrived since the last call.
    pub(crate) fn idle(&mut self) -> bool {
        !std::mem::take(&mut self.active)
    }

    /// Waits for what comes next.
    pub(crate) fn poll_next(&mut self, cx: &mut Context<'_>) -> Poll<Heard> {
        loop {
            match &mut self.stage {
                Stage::Opening(opening) => match opening.as_mut().poll(cx) {
                    Poll::Pending => return Poll::Pending,
                    Poll::Ready(Opened::Stream(response, lease)) => {
                        self.active = true;
                        self.stage = Stage::Reading(response.into_body(), Some(lease));
                    }
                    Poll::Ready(Opened::Whole(answer)) => {
                        self.stage = Stage::Over;
                        return Poll::Ready(Heard::Whole(answer));
                    }
                    Poll::Ready(Opened::Ended(report)) => {
                        self.stage = Stage::Over;
                        return Poll::Ready(Heard::Ended(report));
                    }
                },
                Stage::Reading(body, lease) => match Pin::new(&mut *body).poll_frame(cx) {
                    Poll::Pending => return Poll::Pending,
                    Poll::Ready(Some(Ok(frame))) => {
                        self.active = true;
                        let Ok(piece) = frame.into_data() else {
                            continue;
                        };
                        match self.cutter.push(piece) {
                            Cut::Nothing => {}
                            Cut::Events(events) => return Poll::Ready(Heard::Events(events)),
                            Cut::Done(events) => {
                                if body.is_end_stream()
                                    && let Some(lease) = lease.take()
                                {
                                    lease.give_back();
                                }
                                self.drain();
                                return Poll::Ready(Heard::Last(events));
                            }
                            Cut::TooLong => return Poll::Ready(self.broken()),
                        }
                    }
                    // The end of the body without `[DONE]` is a truncated
                    // stream, also when HTTP says that it ended well.
                    Poll::Ready(Some(Err(_)) | None) => return Poll::Ready(self.broken()),
                },
                Stage::Over => return Poll::Pending,
            }
        }
    }

    fn broken(&mut self) -> Heard {
        self.stage = Stage::Over;
        Heard::Ended(AttemptReport::Broken {
            events: self.cutter.events(),
        })
    }

    /// Reads what HTTP still sends after `[DONE]`, so that the connection can
    /// serve again.
    fn drain(&mut self) {
        if let Stage::Reading(body, Some(lease)) = std::mem::replace(&mut self.stage, Stage::Over) {
            tokio::spawn(async move {
                let rest = Limited::new(body, MAX_ERROR_BODY).collect();
                if tokio::time::timeout(Duration::from_secs(1), rest)
                    .await
                    .is_ok_and(|rest| rest.is_ok())
                {
                    lease.give_back();
                }
            });
        }
    }
}

/// Sends a cancel of an id and tells what the backend server knows.
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
    let terms = Terms {
        reuse: Reuse::Never,
        patience,
        send_by: None,
    };
    match client.send(server, req, terms).await {
        Ok((response, lease)) => knows(server, response, lease).await,
        Err(_) => ServerKnows::Unreachable,
    }
}

async fn open(
    client: Client,
    outgoing: Arc<Outgoing>,
    dispatch: Dispatch,
    bounds: Bounds,
) -> Opened {
    let Some(req) = request(&outgoing, &dispatch) else {
        return Opened::Ended(AttemptReport::Refused(ServerRefusal::Invalid));
    };
    let fresh = !matches!(dispatch.kind, DispatchKind::Run | DispatchKind::Hedge);
    let terms = Terms {
        reuse: if fresh { Reuse::Never } else { Reuse::Any },
        patience: if fresh {
            bounds.probe
        } else {
            dispatch.progress
        },
        send_by: Some(bounds.send_by),
    };
    let events = match dispatch.kind {
        DispatchKind::Resume { events } => events,
        _ => 0,
    };
    let (response, lease) = match client.send(dispatch.server.addr, req, terms).await {
        Ok(answer) => answer,
        Err(ClientError::Late(_)) => return Opened::Ended(AttemptReport::Late),
        Err(e) if e.unsent() => {
            let refused = matches!(e, ClientError::Refused(_));
            return Opened::Ended(AttemptReport::ConnectFailed { refused });
        }
        Err(ClientError::Timeout(_)) => return Opened::Ended(AttemptReport::Stalled { events }),
        Err(_) => return Opened::Ended(AttemptReport::Broken { events }),
    };
    match (&*outgoing, dispatch.kind) {
        (_, DispatchKind::LookUp) => look_up(&dispatch, response, lease, bounds.max_body).await,
        (Outgoing::Service { .. }, _) => whole(response, lease, bounds.max_body).await,
        (Outgoing::Chat(_), kind) => match response.status() {
            StatusCode::OK => Opened::Stream(response, lease),
            status => engine_refusal(&dispatch, kind, status, response, lease).await,
        },
    }
}

async fn engine_refusal(
    dispatch: &Dispatch,
    kind: DispatchKind,
    status: StatusCode,
    response: Response<Incoming>,
    lease: Lease,
) -> Opened {
    if matches!(kind, DispatchKind::Resume { .. }) {
        let known = knows(dispatch.server.addr, response, lease).await;
        return Opened::Ended(AttemptReport::NotThere(known));
    }
    Opened::Ended(match status {
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS => {
            let retry_after = retry_after(&response);
            AttemptReport::Refused(ServerRefusal::Busy { retry_after })
        }
        StatusCode::NOT_FOUND => AttemptReport::Refused(ServerRefusal::NotLoaded),
        StatusCode::CONFLICT => AttemptReport::Refused(ServerRefusal::Cancelled),
        status if status.is_client_error() => AttemptReport::Refused(ServerRefusal::Invalid),
        // An engine that fails with another status may have run the request.
        _ => AttemptReport::Broken { events: 0 },
    })
}

/// What an engine's answer to a cancel or a failed resume says.
async fn knows(
    server: std::net::SocketAddr,
    response: Response<Incoming>,
    lease: Lease,
) -> ServerKnows {
    #[derive(Deserialize)]
    struct State {
        state: SmolStr,
    }
    let incarnation = incarnation(&response);
    let Ok(body) = Limited::new(response.into_body(), MAX_ERROR_BODY)
        .collect()
        .await
    else {
        return ServerKnows::Unreachable;
    };
    lease.give_back();
    let Ok(state) = serde_json::from_slice::<State>(&body.to_bytes()) else {
        return ServerKnows::Unreachable;
    };
    match (state.state.as_str(), incarnation) {
        ("never", Some(incarnation)) => ServerKnows::Never {
            life: ServerIncarnation {
                addr: server,
                incarnation,
            },
        },
        ("gone", _) => ServerKnows::Gone,
        ("cancelled" | "finished", _) => ServerKnows::Has,
        _ => ServerKnows::Unreachable,
    }
}

async fn whole(response: Response<Incoming>, lease: Lease, max_body: usize) -> Opened {
    let status = response.status();
    let retry_after = retry_after(&response);
    let content_type = response
        .headers()
        .get(header::CONTENT_TYPE)
        .and_then(|v| v.to_str().ok())
        .map_or_else(|| "application/octet-stream".into(), SmolStr::new);
    match Limited::new(response.into_body(), max_body).collect().await {
        Ok(body) => {
            lease.give_back();
            Opened::Whole(WholeAnswer {
                status: status.as_u16(),
                content_type,
                retry_after,
                body: body.to_bytes(),
            })
        }
        Err(_) => Opened::Ended(AttemptReport::Broken { events: 0 }),
    }
}

async fn look_up(
    dispatch: &Dispatch,
    response: Response<Incoming>,
    lease: Lease,
    max_body: usize,
) -> Opened {
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
    let unknown = Opened::Ended(AttemptReport::NotThere(ServerKnows::Unreachable));
    let Ok(body) = Limited::new(response.into_body(), max_body * 2)
        .collect()
        .await
    else {
        return unknown;
    };
    lease.give_back();
    let Ok(found) = serde_json::from_slice::<Found>(&body.to_bytes()) else {
        return unknown;
    };
    match (
        found.state.as_str(),
        incarnation,
        STANDARD.decode(found.body),
    ) {
        ("ran", _, Ok(body)) => Opened::Whole(WholeAnswer {
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
            Opened::Ended(AttemptReport::NotThere(ServerKnows::Never { life }))
        }
        _ => unknown,
    }
}

/// Returns the pause that an answer which turns a request away asks for.
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

fn request(outgoing: &Outgoing, dispatch: &Dispatch) -> Option<Request<Full<Bytes>>> {
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
        (Outgoing::Chat(fields), _) => {
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
            Outgoing::Service {
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
