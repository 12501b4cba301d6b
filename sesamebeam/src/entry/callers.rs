//! Callers' HTTP: reads requests, authenticates them, writes answers.

use std::{
    sync::{
        Arc,
        atomic::{
            AtomicBool,
            Ordering, //
        }, //
    },
    time::Duration,
};

use bytes::Bytes;
use futures::stream::unfold;
use http_body_util::{
    BodyExt,
    LengthLimitError,
    Limited,
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
use tokio::{
    net::TcpListener,
    sync::Semaphore,
    task::JoinSet,
    time::timeout, //
};
use tokio_util::sync::CancellationToken;

use super::{
    driver::{
        Driver,
        EVENT_STREAM,
        Step,
        Tools, //
    },
    parse::{
        self,
        Chat, //
    },
    token::{
        PREFIX,
        TokenSigner, //
    },
    upstream::Outgoing,
};
use crate::{
    http::{
        problem::{
            self,
            AnswerBody, //
        },
        sse, //
    },
    keys::sha256_hex,
    settings::EntryLimits,
};

/// Longest session name or key that a caller may choose, in bytes.
const MAX_NAME: usize = 256;

/// Session header value that asks for a session named by the system.
const NEW_SESSION: &str = "new";

/// Serves callers.
pub(crate) struct Callers {
    tools: Tools,
    signer: TokenSigner,
    limits: EntryLimits,
    /// False once a planned stop has begun, for the balancer.
    ready: AtomicBool,
}

impl Callers {
    /// Prepares to serve.
    pub(crate) fn new(tools: Tools, signer: TokenSigner, limits: EntryLimits) -> Arc<Self> {
        Arc::new(Self {
            tools,
            signer,
            limits,
            ready: AtomicBool::new(true),
        })
    }

    /// Tells the balancer to send nothing more.
    pub(crate) fn leave(&self) {
        self.ready.store(false, Ordering::Release);
    }

    /// Accepts connections until `closing`, then waits until every request on
    /// them is answered.
    pub(crate) async fn serve(self: Arc<Self>, listener: TcpListener, closing: CancellationToken) {
        let connections = Arc::new(Semaphore::new(self.limits.connections));
        let mut tasks = JoinSet::new();
        loop {
            while tasks.try_join_next().is_some() {}
            let permit = tokio::select! {
                () = closing.cancelled() => break,
                permit = Arc::clone(&connections).acquire_owned() => permit,
            };
            let accepted = tokio::select! {
                () = closing.cancelled() => break,
                accepted = listener.accept() => accepted,
            };
            let Ok((stream, _)) = accepted else {
                // Out of file descriptors: the next ones may be free soon.
                tokio::time::sleep(Duration::from_millis(20)).await;
                continue;
            };
            let _ = stream.set_nodelay(true);
            let (callers, closing) = (Arc::clone(&self), closing.clone());
            tasks.spawn(async move {
                callers.connection(stream, closing).await;
                drop(permit);
            });
        }
        drop(listener);
        while tasks.join_next().await.is_some() {}
    }

    async fn connection(
        self: Arc<Self>,
        stream: tokio::net::TcpStream,
        closing: CancellationToken,
    ) {
        let callers = Arc::clone(&self);
        let service = service_fn(move |req| {
            let callers = Arc::clone(&callers);
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
        // The request on it is answered to its end; then hyper closes it.
        let _ = conn.await;
    }

    async fn answer(self: Arc<Self>, req: Request<Incoming>) -> Response<AnswerBody> {
        match (req.method(), req.uri().path()) {
            (&Method::GET, "/healthz") => plain(StatusCode::OK, "ok\n"),
            (&Method::GET, "/readyz") => self.readiness(),
            (&Method::POST, "/v1/chat/completions") => self.chat(req).await,
            (_, path) if path.starts_with("/services/") => self.service(req).await,
            (&Method::GET, path) if path.starts_with("/v1/requests/") => self.explain(&req),
            _ => problem::bad(404, "no-such-path", "There is nothing at this path."),
        }
    }

    fn readiness(&self) -> Response<AnswerBody> {
        let known = self.tools.hub.with(|core| core.view().revision() > 0);
        if known && self.ready.load(Ordering::Acquire) {
            plain(StatusCode::OK, "ready\n")
        } else {
            plain(StatusCode::SERVICE_UNAVAILABLE, "not ready\n")
        }
    }

    async fn chat(self: Arc<Self>, req: Request<Incoming>) -> Response<AnswerBody> {
        let org = match self.organisation(req.headers()) {
            Ok(org) => org,
            Err(answer) => return *answer,
        };
        let (parts, body) = req.into_parts();
        let body = match self.body(body).await {
            Ok(body) => body,
            Err(answer) => return *answer,
        };
        let chat = match Chat::parse(&body) {
            Ok(chat) => chat,
            Err(e) => return problem::bad(400, "bad-request", &e.to_string()),
        };
        let meta = match self.meta(&parts.headers, org) {
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
            digest: xxhash_rust::xxh3::xxh3_128(&body),
            safe_method: false,
            streamed,
            prefix: chat.prefix,
            prompt_tokens: chat.prompt_tokens,
            max_tokens: chat.max_tokens,
        };
        let driver = self.start(arrival, Outgoing::Chat(chat.fields), chat.prompt);
        if streamed {
            self.streamed(driver).await
        } else {
            self.unstreamed(driver).await
        }
    }

    async fn service(self: Arc<Self>, req: Request<Incoming>) -> Response<AnswerBody> {
        let org = match self.organisation(req.headers()) {
            Ok(org) => org,
            Err(answer) => return *answer,
        };
        let (parts, body) = req.into_parts();
        let Some((pool, path)) = parse::service_path(&parts.uri) else {
            return problem::bad(404, "no-such-path", "The path names no plain service.");
        };
        let body = match self.body(body).await {
            Ok(body) => body,
            Err(answer) => return *answer,
        };
        let meta = match self.meta(&parts.headers, org) {
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
            digest: parse::call_digest(&parts.method, &path, &body),
            safe_method: parts.method.is_safe(),
            streamed: false,
            prefix: 0,
            prompt_tokens: 0,
            max_tokens: 0,
        };
        let outgoing = Outgoing::Service {
            method: parts.method,
            path,
            content_type: text_of(&parts.headers, header::CONTENT_TYPE.as_str()),
            body,
            key: meta.key,
        };
        let driver = self.start(arrival, outgoing, "".into());
        self.unstreamed(driver).await
    }

    fn explain(&self, req: &Request<Incoming>) -> Response<AnswerBody> {
        let org = match self.organisation(req.headers()) {
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
            self.tools
                .hub
                .with(|core| core.explanations().find(id).cloned())
        });
        match found.filter(|found| found.org == org) {
            Some(found) => json(StatusCode::OK, &found),
            None => problem::bad(404, "no-such-request", "No recent request has this id."),
        }
    }

    fn start(&self, arrival: Arrival, outgoing: Outgoing, prompt: Arc<str>) -> Driver {
        let request = arrival.request;
        let rx = self.tools.hub.open(request);
        let driver = Driver::new(self.tools.clone(), request, rx, outgoing, prompt);
        self.tools.hub.event(EntryEvent::Arrived(Box::new(arrival)));
        driver
    }

    async fn streamed(self: Arc<Self>, mut driver: Driver) -> Response<AnswerBody> {
        let request = driver.request();
        match driver.next().await {
            Some(Step::Events(first)) => {
                let builder = self.head(driver.headers(), request, 200, &EVENT_STREAM);
                let steps = unfold((driver, Some(first)), |(mut driver, first)| async move {
                    let piece = match first {
                        Some(first) => first,
                        None => next_piece(&mut driver).await?,
                    };
                    Some((Ok(Frame::data(piece)), (driver, None)))
                });
                finish(builder.body(StreamBody::new(steps).boxed_unsync()))
            }
            Some(Step::Replay(answer)) => {
                let headers = driver.headers().clone();
                self.replay(&headers, request, answer, true)
            }
            Some(Step::Whole(answer)) => {
                let builder = self.head(
                    driver.headers(),
                    request,
                    answer.status,
                    &answer.content_type,
                );
                finish(builder.body(problem::full(answer.body)))
            }
            Some(Step::Refused(refusal)) => self.refused(&refusal, request),
            Some(Step::End) | None => self.refused(&no_answer(), request),
        }
    }

    async fn unstreamed(self: Arc<Self>, mut driver: Driver) -> Response<AnswerBody> {
        let request = driver.request();
        let mut events = Vec::new();
        let mut whole = None;
        loop {
            match driver.next().await {
                Some(Step::Events(piece)) => events.extend_from_slice(&piece),
                Some(Step::Whole(answer)) => whole = Some(answer),
                Some(Step::Replay(answer)) => {
                    let headers = driver.headers().clone();
                    return self.replay(&headers, request, answer, false);
                }
                Some(Step::Refused(refusal)) => return self.refused(&refusal, request),
                Some(Step::End) => break,
                None => return self.refused(&no_answer(), request),
            }
        }
        let headers = driver.headers();
        if let Some(answer) = whole {
            let builder = self.head(headers, request, answer.status, &answer.content_type);
            return finish(builder.body(problem::full(answer.body)));
        }
        let builder = self.head(headers, request, 200, "application/json");
        finish(builder.body(problem::full(sse::unstreamed(&events))))
    }

    fn replay(
        &self,
        headers: &ResponseHeaders,
        request: RequestId,
        answer: Completed,
        streamed: bool,
    ) -> Response<AnswerBody> {
        let body = answer.body.unwrap_or_default();
        let (content_type, body) = if streamed {
            (&EVENT_STREAM, sse::streamed(&body))
        } else {
            (&answer.content_type, body)
        };
        let builder = self
            .head(headers, request, answer.status, content_type)
            .header("x-replayed", "true");
        finish(builder.body(problem::full(body)))
    }

    fn refused(&self, refusal: &Refusal, request: RequestId) -> Response<AnswerBody> {
        let mut answer = problem::response(refusal);
        if let Ok(id) = format!("{request:032x}").parse() {
            answer.headers_mut().insert("x-request-id", id);
        }
        answer
    }

    fn head(
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

    /// Finds the organisation whose key the caller shows.
    fn organisation(&self, headers: &HeaderMap) -> Result<OrgId, Box<Response<AnswerBody>>> {
        let hash = headers
            .get(header::AUTHORIZATION)
            .and_then(|v| v.to_str().ok())
            .and_then(|v| v.strip_prefix("Bearer "))
            .map(sha256_hex);
        let known = self.tools.hub.with(|core| {
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

    async fn body(&self, body: Incoming) -> Result<Bytes, Box<Response<AnswerBody>>> {
        let read = Limited::new(body, self.limits.body_bytes).collect();
        let bad = |status, name, detail| Err(Box::new(problem::bad(status, name, detail)));
        match timeout(self.limits.body_timeout, read).await {
            Ok(Ok(body)) => Ok(body.to_bytes()),
            Ok(Err(e)) if e.is::<LengthLimitError>() => bad(
                413,
                "body-too-large",
                "The body is larger than this entry takes.",
            ),
            Ok(Err(_)) => bad(400, "body-broken", "The body did not arrive whole."),
            Err(_) => bad(408, "body-too-slow", "The body did not arrive in time."),
        }
    }

    fn meta(&self, headers: &HeaderMap, org: OrgId) -> Result<Meta, Box<Response<AnswerBody>>> {
        for name in ["x-class", "x-session", "idempotency-key"] {
            let limit = if name == "x-session" { 1024 } else { MAX_NAME };
            let faulty = headers
                .get(name)
                .is_some_and(|v| v.len() > limit || v.is_empty() || v.to_str().is_err());
            if faulty {
                let detail = format!("The header {name} is empty, too long or not plain text.");
                return Err(Box::new(problem::bad(400, "bad-header", &detail)));
            }
        }
        Ok(Meta {
            request: rand::random(),
            org,
            class: text_of(headers, "x-class"),
            session: match text_of(headers, "x-session") {
                None => None,
                Some(text) => Some(self.session(text)?),
            },
            key: text_of(headers, "idempotency-key"),
        })
    }

    fn session(&self, text: SmolStr) -> Result<SessionRef, Box<Response<AnswerBody>>> {
        if text == NEW_SESSION {
            let name = format!("s-{:032x}", rand::random::<u128>());
            return Ok(SessionRef::New(name.into()));
        }
        if !text.starts_with(PREFIX) {
            return Ok(SessionRef::Name(text));
        }
        match self.signer.open(&text) {
            Some(token) => Ok(SessionRef::Token(token)),
            None => Err(Box::new(problem::bad(
                400,
                "bad-session-token",
                "The session token was not issued by this fleet.",
            ))),
        }
    }
}

/// What the headers of a request say.
struct Meta {
    request: RequestId,
    org: OrgId,
    class: Option<SmolStr>,
    session: Option<SessionRef>,
    key: Option<SmolStr>,
}

/// Next piece of a streamed answer; a refusal in the middle becomes an event
/// of its own, without `[DONE]` after it: the caller knows that it is cut.
async fn next_piece(driver: &mut Driver) -> Option<Bytes> {
    match driver.next().await? {
        Step::Events(piece) => Some(piece),
        Step::Refused(refusal) => {
            let mut event = b"event: error\ndata: ".to_vec();
            event.extend_from_slice(&problem::document(&refusal));
            event.extend_from_slice(b"\n\n");
            Some(event.into())
        }
        Step::Whole(_) | Step::Replay(_) | Step::End => None,
    }
}

fn no_answer() -> Refusal {
    Refusal {
        reason: Reason::ServerLost,
        outcome: RunOutcome::Unknown,
        retry_after: Some(Duration::from_secs(1)),
        detail: Reason::ServerLost.description().into(),
    }
}

fn text_of(headers: &HeaderMap, name: &str) -> Option<SmolStr> {
    headers.get(name)?.to_str().ok().map(SmolStr::new)
}

fn plain(status: StatusCode, text: &'static str) -> Response<AnswerBody> {
    let builder = Response::builder()
        .status(status)
        .header(header::CONTENT_TYPE, "text/plain");
    finish(builder.body(problem::full(text)))
}

fn json(status: StatusCode, value: &impl serde::Serialize) -> Response<AnswerBody> {
    let body = serde_json::to_vec(value).unwrap_or_default();
    let builder = Response::builder()
        .status(status)
        .header(header::CONTENT_TYPE, "application/json");
    finish(builder.body(problem::full(body)))
}

/// A head that cannot be built, because a backend server's content type is not
/// one, still gives the caller an answer.
fn finish(answer: Result<Response<AnswerBody>, hyper::http::Error>) -> Response<AnswerBody> {
    answer.unwrap_or_else(|_| {
        problem::bad(
            502,
            "bad-answer",
            "The backend server's answer has a faulty head.",
        )
    })
}
