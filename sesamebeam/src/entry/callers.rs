//! HTTP server for callers: authenticates and parses requests, writes responses.

use std::{
    sync::{
        Arc,
        atomic::{
            AtomicBool,
            Ordering, //
        },
    },
    time::Duration,
};

use bytes::Bytes;
use futures::stream::unfold;
use http_body_util::{
    BodyExt,
    StreamBody, //
};
use hyper::{
    HeaderMap,
    Method,
    Request,
    Response,
    StatusCode,
    body::{
        Frame,
        Incoming, //
    },
    header,
    http::Extensions,
    service::service_fn, //
};
use hyper_util::rt::{
    TokioIo,
    TokioTimer, //
};
use sesamebeam_core::{
    entry::{
        event::{
            Arrival,
            EntryEvent,
            ResponseHeaders,
            SessionRef,
            Wanted, //
        },
        refusal::{
            Reason,
            Refusal,
            RunOutcome, //
        },
    },
    ids::{
        OrgId,
        RequestId, //
    },
    message::record::Completed,
};
use smol_str::SmolStr;
use tokio::task::JoinSet;
use tokio_util::sync::CancellationToken;

use super::{
    driver::{
        Driver,
        DriverContext,
        EVENT_STREAM,
        ResponsePart, //
    },
    parse::{
        self,
        ChatRequest, //
    },
    token::{
        TOKEN_PREFIX,
        TokenSigner, //
    },
    upstream::UpstreamRequest,
};
use crate::{
    http::{
        problem::{
            self,
            ResponseBody, //
        },
        sse, //
    },
    intake::{
        Bodies,
        Connections,
        OpenConnection,
        WholeBody, //
    },
    keys::sha256_hex,
    limit::LogLimit,
    listen::{
        self,
        paced::{
            FirstRead,
            PacedListener,
            TakenConnection, //
        },
    },
    settings::EntryLimits,
};

/// Maximum length of a class or idempotency key chosen by a caller, in bytes.
const MAX_NAME_BYTES: usize = 256;

/// Value of the session header that requests a session with a generated name.
const NEW_SESSION: &str = "new";

/// HTTP server for callers.
pub(crate) struct CallerServer {
    context: DriverContext,
    signer: TokenSigner,
    limits: EntryLimits,
    bodies: Bodies,
    /// Readiness reported to the load balancer; false once a planned stop has
    /// started.
    ready: AtomicBool,
}

impl CallerServer {
    /// Creates a server that reports itself as ready.
    pub(crate) fn new(
        context: DriverContext,
        signer: TokenSigner,
        limits: EntryLimits,
        bodies: Bodies,
    ) -> Arc<Self> {
        Arc::new(Self {
            context,
            signer,
            limits,
            bodies,
            ready: AtomicBool::new(true),
        })
    }

    /// Reports the entry as not ready, so that the load balancer sends it no more
    /// requests.
    pub(crate) fn set_not_ready(&self) {
        self.ready.store(false, Ordering::Release);
    }

    /// Accepts connections until `closing` is cancelled, then waits until every
    /// request on them has been answered.
    pub(crate) async fn serve(
        self: Arc<Self>,
        mut listener: PacedListener,
        closing: CancellationToken,
    ) {
        let connections = Connections::new(self.limits.caller_connections());
        let refused = LogLimit::default();
        let mut tasks = JoinSet::new();
        while let Some(taken) = closing.run_until_cancelled(listener.accept()).await {
            while tasks.try_join_next().is_some() {}
            let Some(open) = connections.admit() else {
                listen::log_refused(&refused);
                continue;
            };
            let serving = Arc::clone(&self).serve_connection(taken, open.clone(), closing.clone());
            tasks.spawn(async move { open.run(serving).await });
        }
        drop(listener);
        while tasks.join_next().await.is_some() {}
    }

    async fn serve_connection(
        self: Arc<Self>,
        taken: TakenConnection,
        open: OpenConnection,
        closing: CancellationToken,
    ) {
        let callers = Arc::clone(&self);
        let TakenConnection {
            stream, first_read, ..
        } = taken;
        let service = service_fn(move |mut req: Request<Incoming>| {
            let callers = Arc::clone(&callers);
            first_read.attach(req.extensions_mut());
            open.attach(req.extensions_mut());
            async move { Ok::<_, std::convert::Infallible>(callers.answer(req).await) }
        });
        let conn = hyper::server::conn::http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(self.limits.header_timeout)
            .max_buf_size(self.limits.head_bytes.max(8192))
            .serve_connection(TokioIo::new(stream), service);
        tokio::pin!(conn);
        tokio::select! {
            _ = conn.as_mut() => return,
            () = closing.cancelled() => conn.as_mut().graceful_shutdown(),
        }
        // hyper completes the request in progress, then closes the connection.
        let _ = conn.await;
    }

    async fn answer(self: Arc<Self>, req: Request<Incoming>) -> Response<ResponseBody> {
        match (req.method(), req.uri().path()) {
            (&Method::GET, "/healthz") => text_response(StatusCode::OK, "ok\n"),
            (&Method::GET, "/readyz") => self.readiness(),
            (&Method::POST, "/v1/chat/completions") => self.chat(req).await,
            (_, path) if path.starts_with("/services/") => self.service(req).await,
            (&Method::GET, path) if path.starts_with("/v1/requests/") => self.explain(&req),
            _ => problem::invalid_request(404, "no-such-path", "There is nothing at this path."),
        }
    }

    fn readiness(&self) -> Response<ResponseBody> {
        let known = self.context.hub.with(|core| core.view().revision() > 0);
        if known && self.ready.load(Ordering::Acquire) {
            text_response(StatusCode::OK, "ready\n")
        } else {
            text_response(StatusCode::SERVICE_UNAVAILABLE, "not ready\n")
        }
    }

    async fn chat(self: Arc<Self>, req: Request<Incoming>) -> Response<ResponseBody> {
        let org = match self.authenticate(req.headers()) {
            Ok(org) => org,
            Err(answer) => return *answer,
        };
        let (mut parts, body) = req.into_parts();
        let whole = match self.read_body(&parts.extensions, body).await {
            Ok(whole) => whole,
            Err(answer) => return *answer,
        };
        FirstRead::finish(&mut parts.extensions);
        let chat = match ChatRequest::parse(whole.bytes()) {
            Ok(chat) => chat,
            Err(e) => return problem::invalid_request(400, "bad-request", &e.to_string()),
        };
        let meta = match self.parse_headers(&parts.headers, org) {
            Ok(meta) => meta,
            Err(answer) => return *answer,
        };
        let request = meta.request;
        let streamed = chat.streamed;
        let arrival = Arrival {
            request,
            org: meta.org,
            class: meta.class,
            wanted: chat.wanted(),
            session: meta.session,
            key: meta.key,
            digest: xxhash_rust::xxh3::xxh3_128(whole.bytes()),
            safe_method: false,
            streamed,
            prefix: chat.prefix,
            prompt_tokens: chat.prompt_tokens,
            max_tokens: chat.max_tokens,
        };
        let outgoing = UpstreamRequest::Chat(chat.fields);
        let mut driver = self.start_driver(arrival, outgoing, chat.prompt);
        driver.hold(whole);
        if streamed {
            self.streamed_response(driver).await
        } else {
            self.unstreamed_response(driver).await
        }
    }

    async fn service(self: Arc<Self>, req: Request<Incoming>) -> Response<ResponseBody> {
        let org = match self.authenticate(req.headers()) {
            Ok(org) => org,
            Err(answer) => return *answer,
        };
        let (mut parts, body) = req.into_parts();
        let Some((pool, path)) = parse::service_path(&parts.uri) else {
            return problem::invalid_request(
                404,
                "no-such-path",
                "The path names no plain service.",
            );
        };
        let whole = match self.read_body(&parts.extensions, body).await {
            Ok(whole) => whole,
            Err(answer) => return *answer,
        };
        FirstRead::finish(&mut parts.extensions);
        let meta = match self.parse_headers(&parts.headers, org) {
            Ok(meta) => meta,
            Err(answer) => return *answer,
        };
        let arrival = Arrival {
            request: meta.request,
            org: meta.org,
            class: meta.class,
            wanted: Wanted::Service(pool),
            session: None,
            key: meta.key.clone(),
            digest: parse::service_call_digest(&parts.method, &path, whole.bytes()),
            safe_method: parts.method.is_safe(),
            streamed: false,
            prefix: 0,
            prompt_tokens: 0,
            max_tokens: 0,
        };
        let outgoing = UpstreamRequest::Service {
            method: parts.method,
            path,
            content_type: header_text(&parts.headers, header::CONTENT_TYPE.as_str()),
            body: whole.bytes().clone(),
            key: meta.key,
        };
        let mut driver = self.start_driver(arrival, outgoing, "".into());
        driver.hold(whole);
        self.unstreamed_response(driver).await
    }

    fn explain(&self, req: &Request<Incoming>) -> Response<ResponseBody> {
        let org = match self.authenticate(req.headers()) {
            Ok(org) => org,
            Err(answer) => return *answer,
        };
        let id = req
            .uri()
            .path()
            .strip_prefix("/v1/requests/")
            .and_then(|rest| rest.strip_suffix("/explain"))
            .and_then(|id| u128::from_str_radix(id, 16).ok());
        let found = id.and_then(|id| {
            self.context
                .hub
                .with(|core| core.explanations().find(id).cloned())
        });
        match found.filter(|found| found.org == org) {
            Some(found) => json_response(StatusCode::OK, &found),
            None => {
                problem::invalid_request(404, "no-such-request", "No recent request has this id.")
            }
        }
    }

    fn start_driver(
        &self,
        arrival: Arrival,
        outgoing: UpstreamRequest,
        prompt: Arc<str>,
    ) -> Driver {
        let request = arrival.request;
        let rx = self.context.hub.register(request);
        let driver = Driver::new(self.context.clone(), request, rx, outgoing, prompt);
        self.context
            .hub
            .handle_event(EntryEvent::Arrived(Box::new(arrival)));
        driver
    }

    async fn streamed_response(self: Arc<Self>, mut driver: Driver) -> Response<ResponseBody> {
        let request = driver.request();
        match driver.next().await {
            Some(ResponsePart::Events(first)) => {
                let builder = self.response_builder(driver.headers(), request, 200, &EVENT_STREAM);
                let chunks = unfold((driver, Some(first)), |(mut driver, first)| async move {
                    let chunk = match first {
                        Some(first) => first,
                        None => next_chunk(&mut driver).await?,
                    };
                    Some((Ok(Frame::data(chunk)), (driver, None)))
                });
                build_response(builder.body(StreamBody::new(chunks).boxed_unsync()))
            }
            Some(ResponsePart::Replay(answer)) => {
                let headers = driver.headers().clone();
                self.replay_response(&headers, request, answer, true)
            }
            Some(ResponsePart::Service(answer)) => {
                let builder = self.response_builder(
                    driver.headers(),
                    request,
                    answer.status,
                    &answer.content_type,
                );
                build_response(builder.body(problem::full_body(answer.body)))
            }
            Some(ResponsePart::Refused(refusal)) => self.refusal_response(&refusal, request),
            Some(ResponsePart::End) | None => {
                self.refusal_response(&server_lost_refusal(), request)
            }
        }
    }

    async fn unstreamed_response(self: Arc<Self>, mut driver: Driver) -> Response<ResponseBody> {
        let request = driver.request();
        let mut events = Vec::new();
        let mut service_response = None;
        loop {
            match driver.next().await {
                Some(ResponsePart::Events(chunk)) => events.extend_from_slice(&chunk),
                Some(ResponsePart::Service(answer)) => service_response = Some(answer),
                Some(ResponsePart::Replay(answer)) => {
                    let headers = driver.headers().clone();
                    return self.replay_response(&headers, request, answer, false);
                }
                Some(ResponsePart::Refused(refusal)) => {
                    return self.refusal_response(&refusal, request);
                }
                Some(ResponsePart::End) => break,
                None => return self.refusal_response(&server_lost_refusal(), request),
            }
        }
        let headers = driver.headers();
        if let Some(answer) = service_response {
            let builder =
                self.response_builder(headers, request, answer.status, &answer.content_type);
            return build_response(builder.body(problem::full_body(answer.body)));
        }
        let builder = self.response_builder(headers, request, 200, "application/json");
        build_response(builder.body(problem::full_body(sse::to_unstreamed(&events))))
    }

    fn replay_response(
        &self,
        headers: &ResponseHeaders,
        request: RequestId,
        answer: Completed,
        streamed: bool,
    ) -> Response<ResponseBody> {
        let body = answer.body.unwrap_or_default();
        let (content_type, body) = if streamed {
            (&EVENT_STREAM, sse::to_streamed(&body))
        } else {
            (&answer.content_type, body)
        };
        let builder = self
            .response_builder(headers, request, answer.status, content_type)
            .header("x-replayed", "true");
        build_response(builder.body(problem::full_body(body)))
    }

    fn refusal_response(&self, refusal: &Refusal, request: RequestId) -> Response<ResponseBody> {
        let mut answer = problem::response(refusal);
        if let Ok(id) = format!("{request:032x}").parse() {
            answer.headers_mut().insert("x-request-id", id);
        }
        answer
    }

    fn response_builder(
        &self,
        headers: &ResponseHeaders,
        request: RequestId,
        status: u16,
        content_type: &str,
    ) -> hyper::http::response::Builder {
        let mut builder = Response::builder()
            .status(status)
            .header(header::CONTENT_TYPE, content_type)
            .header("x-request-id", format!("{request:032x}"));
        if let Some(version) = &headers.version {
            builder = builder.header("x-version", version.as_str());
        }
        if let Some(session) = &headers.session {
            builder = builder.header("x-session", self.signer.sign(session));
        }
        if headers.pin_renewed {
            builder = builder.header("x-pin-renewed", "withdrawn");
        }
        builder
    }

    /// Returns the organisation whose API key the caller sent.
    fn authenticate(&self, headers: &HeaderMap) -> Result<OrgId, Box<Response<ResponseBody>>> {
        let hash = headers
            .get(header::AUTHORIZATION)
            .and_then(|v| v.to_str().ok())
            .and_then(|v| v.strip_prefix("Bearer "))
            .map(sha256_hex);
        let known = self.context.hub.with(|core| {
            let org = hash.and_then(|hash| core.view().organisation_by_key(&hash));
            (org.map(|org| org.name.clone()), core.view().revision())
        });
        match known {
            (Some(org), _) => Ok(org),
            (None, 0) => Err(Box::new(problem::response(&Refusal {
                reason: Reason::NoConfiguration,
                outcome: RunOutcome::Unknown,
                retry_after: Some(Duration::from_secs(2)),
                detail: Reason::NoConfiguration.description().into(),
            }))),
            (None, _) => Err(Box::new(problem::response(&Refusal {
                reason: Reason::UnknownOrganisation,
                outcome: RunOutcome::NotRun,
                retry_after: None,
                detail: Reason::UnknownOrganisation.description().into(),
            }))),
        }
    }

    async fn read_body(
        &self,
        extensions: &Extensions,
        body: Incoming,
    ) -> Result<WholeBody, Box<Response<ResponseBody>>> {
        let EntryLimits {
            body_bytes,
            body_timeout,
            ..
        } = self.limits;
        let reading = self.bodies.read(extensions, body, body_bytes, body_timeout);
        reading
            .await
            .map_err(|e| Box::new(problem::unread_body(&e)))
    }

    fn parse_headers(
        &self,
        headers: &HeaderMap,
        org: OrgId,
    ) -> Result<RequestMeta, Box<Response<ResponseBody>>> {
        for name in ["x-class", "x-session", "idempotency-key"] {
            let limit = if name == "x-session" {
                1024
            } else {
                MAX_NAME_BYTES
            };
            let faulty = headers
                .get(name)
                .is_some_and(|v| v.len() > limit || v.is_empty() || v.to_str().is_err());
            if faulty {
                let detail = format!("The header {name} is empty, too long or not plain text.");
                return Err(Box::new(problem::invalid_request(
                    400,
                    "bad-header",
                    &detail,
                )));
            }
        }
        Ok(RequestMeta {
            request: rand::random(),
            org,
            class: header_text(headers, "x-class"),
            session: match header_text(headers, "x-session") {
                None => None,
                Some(text) => Some(self.parse_session(text)?),
            },
            key: header_text(headers, "idempotency-key"),
        })
    }

    fn parse_session(&self, text: SmolStr) -> Result<SessionRef, Box<Response<ResponseBody>>> {
        if text == NEW_SESSION {
            let name = format!("s-{:032x}", rand::random::<u128>());
            return Ok(SessionRef::New(name.into()));
        }
        if !text.starts_with(TOKEN_PREFIX) {
            return Ok(SessionRef::Name(text));
        }
        match self.signer.verify(&text) {
            Some(token) => Ok(SessionRef::Token(token)),
            None => Err(Box::new(problem::invalid_request(
                400,
                "bad-session-token",
                "The session token was not issued by this fleet.",
            ))),
        }
    }
}

/// Values parsed from the headers of a request.
struct RequestMeta {
    request: RequestId,
    org: OrgId,
    class: Option<SmolStr>,
    session: Option<SessionRef>,
    key: Option<SmolStr>,
}

/// Returns the next chunk of a streamed answer. A refusal after the first chunk
/// is sent as an `error` event without a `[DONE]` after it, which tells the
/// caller that the answer is incomplete.
async fn next_chunk(driver: &mut Driver) -> Option<Bytes> {
    match driver.next().await? {
        ResponsePart::Events(chunk) => Some(chunk),
        ResponsePart::Refused(refusal) => {
            let mut event = b"event: error\ndata: ".to_vec();
            event.extend_from_slice(&problem::document(&refusal));
            event.extend_from_slice(b"\n\n");
            Some(event.into())
        }
        ResponsePart::Service(_) | ResponsePart::Replay(_) | ResponsePart::End => None,
    }
}

fn server_lost_refusal() -> Refusal {
    Refusal {
        reason: Reason::ServerLost,
        outcome: RunOutcome::Unknown,
        retry_after: Some(Duration::from_secs(1)),
        detail: Reason::ServerLost.description().into(),
    }
}

fn header_text(headers: &HeaderMap, name: &str) -> Option<SmolStr> {
    headers.get(name)?.to_str().ok().map(SmolStr::new)
}

fn text_response(status: StatusCode, text: &'static str) -> Response<ResponseBody> {
    let builder = Response::builder()
        .status(status)
        .header(header::CONTENT_TYPE, "text/plain");
    build_response(builder.body(problem::full_body(text)))
}

fn json_response(status: StatusCode, value: &impl serde::Serialize) -> Response<ResponseBody> {
    let body = serde_json::to_vec(value).unwrap_or_default();
    let builder = Response::builder()
        .status(status)
        .header(header::CONTENT_TYPE, "application/json");
    build_response(builder.body(problem::full_body(body)))
}

/// Returns the built response, or a 502 response if it cannot be built because
/// the backend server sent an invalid content type.
fn build_response(
    answer: Result<Response<ResponseBody>, hyper::http::Error>,
) -> Response<ResponseBody> {
    answer.unwrap_or_else(|_| {
        problem::invalid_request(
            502,
            "bad-answer",
            "The backend server's answer has a faulty head.",
        )
    })
}
