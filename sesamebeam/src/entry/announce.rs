//! HTTP server for announcements of backend servers.

use std::{
    convert::Infallible,
    sync::Arc,
    time::Duration, //
};

use hyper::{
    Method,
    Request,
    Response,
    body::Incoming,
    header,
    service::service_fn, //
};
use hyper_util::rt::{
    TokioIo,
    TokioTimer, //
};
use sesamebeam_core::{
    entry::event::EntryEvent,
    message::server::Announcement, //
};
use smol_str::SmolStr;
use subtle::ConstantTimeEq;
use tokio::net::{
    TcpListener,
    TcpStream, //
};
use tokio_util::sync::CancellationToken;

use super::hub::Hub;
use crate::{
    http::problem::{
        self,
        ResponseBody, //
    },
    intake::{
        Bodies,
        Connections,
        OpenConnection, //
    },
    keys::sha256_hex,
    listen,
    settings::EntryLimits,
};

/// Minimum size of the read buffer: the HTTP library accepts no less.
const MIN_BUFFER_BYTES: usize = 8 << 10;

/// Maximum time to receive the body of an announcement.
const BODY_TIMEOUT: Duration = Duration::from_secs(5);

/// What all connections share.
struct Context {
    hub: Arc<Hub>,
    key_sha256: SmolStr,
    limits: EntryLimits,
    bodies: Bodies,
}

/// Accepts announcements until cancelled.
pub(crate) async fn serve(
    listener: TcpListener,
    hub: Arc<Hub>,
    key_sha256: SmolStr,
    limits: EntryLimits,
    bodies: Bodies,
    cancel: CancellationToken,
) {
    let connections = Connections::new(limits.announcing_connections());
    let cx = Arc::new(Context {
        hub,
        key_sha256,
        limits,
        bodies,
    });
    let halt = cancel.clone();
    let serve = move |stream, open| serve_connection(stream, open, Arc::clone(&cx), halt.clone());
    listen::accept(listener, connections, cancel, serve).await;
}

async fn serve_connection(
    stream: TcpStream,
    open: OpenConnection,
    cx: Arc<Context>,
    cancel: CancellationToken,
) {
    let service = service_fn(|mut req: Request<Incoming>| {
        open.attach(req.extensions_mut());
        let cx = Arc::clone(&cx);
        async move { Ok::<_, Infallible>(take(req, &cx).await) }
    });
    let conn = hyper::server::conn::http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(cx.limits.header_timeout)
        .max_buf_size(cx.limits.head_bytes.max(MIN_BUFFER_BYTES))
        .serve_connection(TokioIo::new(stream), service);
    // A backend server whose connection fails announces itself again.
    let _ = cancel.run_until_cancelled(conn).await;
}

async fn take(req: Request<Incoming>, cx: &Context) -> Response<ResponseBody> {
    let Context {
        hub, key_sha256, ..
    } = cx;
    if req.method() != Method::POST || req.uri().path() != "/announce" {
        return problem::invalid_request(404, "no-such-path", "Only POST /announce is taken here.");
    }
    let shown = req
        .headers()
        .get(header::AUTHORIZATION)
        .and_then(|v| v.to_str().ok())
        .and_then(|v| v.strip_prefix("Bearer "))
        .map(sha256_hex)
        .unwrap_or_default();
    if !bool::from(shown.as_bytes().ct_eq(key_sha256.as_bytes())) {
        return problem::invalid_request(
            401,
            "bad-announce-key",
            "The announcement key is not right.",
        );
    }
    let (parts, body) = req.into_parts();
    let max = cx.limits.announcement_bytes;
    let reading = cx.bodies.read(&parts.extensions, body, max, BODY_TIMEOUT);
    let body = match reading.await {
        Ok(body) => body,
        Err(e) => return problem::unread_body(&e),
    };
    let announcement: Announcement = match serde_json::from_slice(body.bytes()) {
        Ok(announcement) => announcement,
        Err(e) => return problem::invalid_request(400, "bad-announcement", &e.to_string()),
    };
    let (addr, incarnation) = (announcement.addr, announcement.incarnation);
    hub.handle_event(EntryEvent::Announced(Box::new(announcement)));
    let known = hub.with(|core| core.servers().get(addr).map(|s| s.incarnation));
    if known == Some(incarnation) {
        let mut answer = Response::new(problem::full_body(""));
        *answer.status_mut() = hyper::StatusCode::NO_CONTENT;
        return answer;
    }
    problem::invalid_request(
        409,
        "announcement-not-taken",
        "The announcement is older than what is known, or names what the configuration does not.",
    )
}
