//! HTTP calls of a plain service.

use std::sync::Arc;

use base64::{
    Engine as _,
    prelude::BASE64_STANDARD, //
};
use bytes::Bytes;
use hyper::{
    HeaderMap,
    Request,
    Response,
    StatusCode,
    body::Incoming, //
};
use serde::Serialize;
use smol_str::SmolStr;
use tokio::sync::watch;

use super::{
    CallEntry,
    Fault,
    Inner, //
};
use crate::{
    answer::digest,
    reply::{
        self,
        Body, //
    },
    site::Life, //
};

/// Path under which calls are looked up.
const LOOKUP: &str = "/lookup/";

/// Content type of every answer.
const JSON: &str = "application/json";

/// Answer of a call.
#[derive(Serialize)]
struct CallAnswer<'a> {
    target: &'a str,
    digest: &'a str,
}

/// Answer of a look-up.
#[derive(Serialize)]
struct LookupAnswer<'a> {
    state: &'a str,
    status: u16,
    content_type: &'a str,
    body: String,
}

/// Answer to a call with that method, path and body.
pub fn expected_reply(method: &str, path: &str, body: &[u8]) -> Bytes {
    let answer = CallAnswer {
        target: &format!("{method} {path}"),
        digest: &format!("{:032x}", digest(body)),
    };
    Bytes::from(serde_json::to_vec(&answer).expect("strings are always JSON"))
}

/// Answers one call, in one life.
pub(super) async fn route(inner: Arc<Inner>, life: Life, req: Request<Incoming>) -> Response<Body> {
    let (head, body) = req.into_parts();
    if let Some(id) = head.uri.path().strip_prefix(LOOKUP)
        && inner.cfg.lookup
    {
        return look_up(&inner, id).await;
    }
    let body = match reply::read(body).await {
        Ok(body) => body,
        Err(early) => return *early,
    };
    let method = head.method.as_str();
    let path = head
        .uri
        .path_and_query()
        .map_or(head.uri.path(), |p| p.as_str());
    let answer = expected_reply(method, path, &body);
    let call = CallEntry {
        request: text(&head.headers, "x-request-id"),
        key: text(&head.headers, "idempotency-key"),
        target: SmolStr::from(format!("{method} {path}")),
        body,
        incarnation: life.incarnation,
        ran: false,
        leaving: inner.lock().leaving,
    };
    run(inner, life, call, answer).await
}

/// Runs a call, also if its caller goes away meanwhile.
async fn run(inner: Arc<Inner>, life: Life, call: CallEntry, answer: Bytes) -> Response<Body> {
    let (tx, mut rx) = watch::channel(false);
    let (fault, delay, number) = {
        let mut state = inner.lock();
        let fault = if state.faults.is_empty() {
            Fault::None
        } else {
            state.faults.remove(0)
        };
        if fault != Fault::Refuse && fault != Fault::CrashBefore {
            state.under_way.insert(call.request.clone(), rx.clone());
            state.running += 1;
        }
        state.calls.push(call.clone());
        (fault, state.delay, state.calls.len() - 1)
    };
    match fault {
        Fault::Refuse => return reply::fault(StatusCode::SERVICE_UNAVAILABLE, "not run"),
        Fault::CrashBefore => {
            life.token.cancel();
            return std::future::pending().await;
        }
        Fault::None | Fault::CrashAfter | Fault::LoseAnswer | Fault::Hang => {}
    }
    let effect = {
        let (inner, life, answer) = (Arc::clone(&inner), life.clone(), answer.clone());
        async move {
            if !delay.is_zero() {
                tokio::time::sleep(delay).await;
            }
            let mut state = inner.lock();
            state.calls[number].ran = true;
            state.running = state.running.saturating_sub(1);
            state.answers.insert(call.request, answer);
            // Nobody may be waiting.
            let _ = tx.send(true);
            if fault == Fault::CrashAfter {
                life.token.cancel();
            }
        }
    };
    life.spawn(effect);
    // An error means that the service crashes: this task ends with it.
    if rx.wait_for(|&ran| ran).await.is_err() {
        return std::future::pending().await;
    }
    match fault {
        Fault::LoseAnswer => reply::broken(),
        Fault::CrashAfter | Fault::Hang => std::future::pending().await,
        Fault::None | Fault::Refuse | Fault::CrashBefore => {
            reply::bytes(StatusCode::OK, JSON, answer)
        }
    }
}

/// Looks a call up. A call that still runs is neither `ran` nor `never`: the
/// answer waits for its end, as a caller told `never` would send it again.
async fn look_up(inner: &Inner, id: &str) -> Response<Body> {
    let under_way = inner.lock().under_way.get(id).cloned();
    if let Some(mut rx) = under_way {
        // An error means that a crash came before the effect.
        let _ = rx.wait_for(|&ran| ran).await;
    }
    let Some(body) = inner.lock().answers.get(id).cloned() else {
        return reply::state(StatusCode::OK, "never");
    };
    reply::json(
        StatusCode::OK,
        &LookupAnswer {
            state: "ran",
            status: StatusCode::OK.as_u16(),
            content_type: JSON,
            body: BASE64_STANDARD.encode(body),
        },
    )
}

fn text(headers: &HeaderMap, name: &str) -> SmolStr {
    let value = headers.get(name).and_then(|v| v.to_str().ok());
    SmolStr::new(value.unwrap_or_default())
}
