//! HTTP calls of a runner.

use std::{
    sync::Arc,
    time::Duration, //
};

use bytes::Bytes;
use hyper::{
    HeaderMap,
    Method,
    Request,
    Response,
    StatusCode,
    body::Incoming,
    header::{
        HeaderName,
        HeaderValue,
        RETRY_AFTER, //
    }, //
};
use serde::{
    Deserialize,
    Serialize, //
};
use sesamebeam_core::{
    fleet::Priority,
    ids::RequestId, //
};

use super::{
    Inner,
    engine::{
        Engine,
        Found,
        Refusal, //
    },
    orders::{
        Order,
        OrderVerdict,
        Role,
        obey, //
    },
    script::whole_answer,
    stream::{
        End,
        EventBody,
        Job,
        Stream, //
    }, //
};
use crate::{
    answer::{
        Answer,
        ChatBody,
        DEFAULT_TOKENS,
        MAX_TOKENS, //
    },
    reply::{
        self,
        Body, //
    }, //
};

/// Header with the life of the runner.
const INCARNATION: HeaderName = HeaderName::from_static("x-incarnation");

/// Pause that a runner asks for when its queue is full.
const PAUSE: Duration = Duration::from_secs(1);

/// Content type of server-sent events.
const EVENT_STREAM: &str = "text/event-stream";

/// Answer that is sent early, in place of the one that was being made.
type Early = Box<Response<Body>>;

/// Exported cache of a prefix.
#[derive(Debug, Deserialize, Serialize)]
struct KvExport {
    /// Tokens that the prefix covers.
    tokens: u32,
}

/// What `GET /health` tells.
#[derive(Debug, Serialize)]
struct Health {
    status: &'static str,
    role: Role,
}

/// Answers one call, in the life of `engine`.
pub(crate) async fn route(
    inner: Arc<Inner>,
    engine: Arc<Engine>,
    req: Request<Incoming>,
) -> Response<Body> {
    let incarnation = engine.life.incarnation;
    let mut answer = match dispatch(&inner, &engine, req).await {
        Ok(answer) => answer,
        Err(early) => *early,
    };
    let headers = answer.headers_mut();
    headers.insert(INCARNATION, HeaderValue::from(incarnation));
    answer
}

async fn dispatch(
    inner: &Arc<Inner>,
    engine: &Arc<Engine>,
    req: Request<Incoming>,
) -> Result<Response<Body>, Early> {
    let (head, body) = req.into_parts();
    let path = head.uri.path();
    if let Some(id) = path.strip_prefix("/v1/streams/") {
        let id = parse_id(id)?;
        return match head.method {
            Method::GET => resume(engine, id, head.uri.query().unwrap_or_default()),
            Method::DELETE => Ok(cancel(engine, id)),
            _ => Ok(reply::empty(StatusCode::METHOD_NOT_ALLOWED)),
        };
    }
    if let Some(prefix) = path.strip_prefix("/v1/kv/") {
        let prefix = parse_prefix(prefix)?;
        return match head.method {
            Method::GET => Ok(export(engine, prefix)),
            Method::PUT => import(engine, prefix, body).await,
            _ => Ok(reply::empty(StatusCode::METHOD_NOT_ALLOWED)),
        };
    }
    match (head.method, path) {
        (Method::POST, "/v1/chat/completions") => {
            let body = reply::read(body).await?;
            chat(inner, engine, &head.headers, &body).await
        }
        (Method::GET, "/health") => Ok(health(engine)),
        (Method::POST, "/admin/desired") => {
            let order = reply::read_json(body).await?;
            Ok(admin(inner, engine, &order))
        }
        _ => Ok(reply::fault(StatusCode::NOT_FOUND, "no such call")),
    }
}

async fn chat(
    inner: &Inner,
    engine: &Arc<Engine>,
    headers: &HeaderMap,
    body: &Bytes,
) -> Result<Response<Body>, Early> {
    let chat: ChatBody = reply::parse(body)?;
    let job = job(engine, headers, &chat)?;
    let priority = priority(headers)?;
    let knobs = engine.knobs();
    if let Some(pause) = knobs.refuses {
        inner.books.note_refusal();
        return Err(Box::new(queue_full(pause)));
    }
    let stream = engine
        .submit(job, priority)
        .map_err(|refusal| Box::new(refuse(refusal)))?;
    if engine.life.token.is_cancelled() {
        // The request has just crashed the runner: say nothing more.
        return std::future::pending().await;
    }
    if chat.stream {
        return Ok(show(stream, 0, knobs.cut_after));
    }
    whole(stream).await
}

fn job(engine: &Engine, headers: &HeaderMap, chat: &ChatBody) -> Result<Job, Early> {
    let id = match text(headers, "x-request-id") {
        Some(id) => parse_id(id)?,
        None => engine.draw_id(),
    };
    let prefix = text(headers, "x-prefix").map(parse_prefix).transpose()?;
    let tokens = chat.max_tokens.unwrap_or(DEFAULT_TOKENS);
    if !(1..=MAX_TOKENS).contains(&tokens) {
        return Err(bad("max_tokens out of range"));
    }
    let prompt = chat.prompt();
    let poor = engine.knobs().bad.contains(&chat.model);
    Ok(Job {
        id,
        version: chat.model.clone(),
        answer: Answer::new(&chat.model, &prompt, tokens, poor),
        prompt,
        prefix,
    })
}

fn refuse(refusal: Refusal) -> Response<Body> {
    match refusal {
        Refusal::NotLoaded => reply::fault(StatusCode::NOT_FOUND, "version not loaded"),
        Refusal::Cancelled => reply::fault(StatusCode::CONFLICT, "request was cancelled before"),
        Refusal::Full => queue_full(PAUSE),
    }
}

fn queue_full(pause: Duration) -> Response<Body> {
    let mut answer = reply::fault(StatusCode::SERVICE_UNAVAILABLE, "queue full");
    let seconds = pause.as_secs_f64().to_string();
    let value = HeaderValue::from_str(&seconds).expect("a number");
    answer.headers_mut().insert(RETRY_AFTER, value);
    answer
}

fn show(stream: Arc<Stream>, offset: usize, cut: Option<usize>) -> Response<Body> {
    let body = EventBody::new(stream, offset, cut);
    reply::stream(StatusCode::OK, EVENT_STREAM, body)
}

async fn whole(stream: Arc<Stream>) -> Result<Response<Body>, Early> {
    match stream.ended().await {
        End::Finished => {
            let job = &stream.job;
            let body = whole_answer(job.id, &job.version, job.answer, stream.usage());
            Ok(reply::bytes(StatusCode::OK, "application/json", body))
        }
        End::Cancelled => Ok(reply::fault(StatusCode::CONFLICT, "request cancelled")),
    }
}

fn resume(engine: &Arc<Engine>, id: RequestId, query: &str) -> Result<Response<Body>, Early> {
    let offset = parse_offset(query)?;
    let stream = match engine.find(id) {
        Found::Kept(stream) => stream,
        Found::Gone => return Ok(reply::state(StatusCode::NOT_FOUND, "gone")),
        Found::Never => return Ok(reply::state(StatusCode::NOT_FOUND, "never")),
    };
    if stream.end() == Some(End::Cancelled) {
        return Ok(reply::state(StatusCode::NOT_FOUND, "gone"));
    }
    if offset > stream.events() {
        return Err(bad("offset lies after the last event"));
    }
    Ok(show(stream, offset, engine.knobs().cut_after))
}

fn cancel(engine: &Engine, id: RequestId) -> Response<Body> {
    let state = match engine.cancel(id) {
        Some(End::Finished) => "finished",
        Some(End::Cancelled) => "cancelled",
        None => "never",
    };
    reply::state(StatusCode::OK, state)
}

fn health(engine: &Engine) -> Response<Body> {
    let role = engine.lock().role;
    let status = "ok";
    reply::json(StatusCode::OK, &Health { status, role })
}

fn admin(inner: &Inner, engine: &Arc<Engine>, order: &Order) -> Response<Body> {
    let verdict = obey(engine, &inner.announcer, order);
    inner.note_order(order, verdict);
    match verdict {
        OrderVerdict::Reached => reply::state(StatusCode::OK, "reached"),
        OrderVerdict::Loading => reply::state(StatusCode::ACCEPTED, "loading"),
        OrderVerdict::Old(newest) => {
            let text = format!("fencing number is older than {newest}");
            reply::fault(StatusCode::CONFLICT, &text)
        }
    }
}

fn export(engine: &Engine, prefix: u64) -> Response<Body> {
    let held = engine.lock().cache.get(prefix);
    match held {
        Some(tokens) => reply::json(StatusCode::OK, &KvExport { tokens }),
        None => reply::fault(StatusCode::NOT_FOUND, "prefix not held"),
    }
}

async fn import(engine: &Engine, prefix: u64, body: Incoming) -> Result<Response<Body>, Early> {
    let kv: KvExport = reply::read_json(body).await?;
    engine.lock().cache.put(prefix, kv.tokens);
    Ok(reply::empty(StatusCode::NO_CONTENT))
}

fn priority(headers: &HeaderMap) -> Result<Priority, Early> {
    match text(headers, "x-priority") {
        None | Some("normal") => Ok(Priority::Normal),
        Some("urgent") => Ok(Priority::Urgent),
        Some("deferrable") => Ok(Priority::Deferrable),
        Some(_) => Err(bad("unknown x-priority")),
    }
}

fn parse_id(text: &str) -> Result<RequestId, Early> {
    RequestId::from_str_radix(text, 16).map_err(|_| bad("request id is not hex"))
}

fn parse_prefix(text: &str) -> Result<u64, Early> {
    u64::from_str_radix(text, 16).map_err(|_| bad("prefix is not hex"))
}

fn parse_offset(query: &str) -> Result<usize, Early> {
    let value = query
        .split('&')
        .find_map(|pair| pair.strip_prefix("offset="));
    match value {
        None => Ok(0),
        Some(text) => text.parse().map_err(|_| bad("offset is not a number")),
    }
}

fn text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

fn bad(error: &str) -> Early {
    Box::new(reply::fault(StatusCode::BAD_REQUEST, error))
}
