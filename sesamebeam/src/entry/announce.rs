//! HTTP server for announcements of backend servers.

use std::{
    convert::Infallible,
    sync::Arc,
    time::Duration, //
};

use http_body_util::{
    BodyExt,
    Limited, //
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
use tokio::{
    net::TcpListener,
    sync::Semaphore, //
};
use tokio_util::sync::CancellationToken;

use super::hub::Hub;
use crate::{
    http::problem::{
        self,
        ResponseBody, //
    },
    keys::sha256_hex,
    settings::EntryLimits,
};

/// Maximum number of open connections from backend servers.
const MAX_CONNECTIONS: usize = 4096;

/// Maximum time to receive the body of an announcement.
const BODY_TIMEOUT: Duration = Duration::from_secs(5);

/// Accepts announcements until cancelled.
pub(crate) async fn serve(
    listener: TcpListener,
    hub: Arc<Hub>,
    key_sha256: SmolStr,
    limits: EntryLimits,
    cancel: CancellationToken,
) {
    let connections = Arc::new(Semaphore::new(MAX_CONNECTIONS));
    loop {
        let accepted = tokio::select! {
            () = cancel.cancelled() => return,
            accepted = listener.accept() => accepted,
        };
        let (Ok((stream, _)), Ok(permit)) =
            (accepted, Arc::clone(&connections).try_acquire_owned())
        else {
            tokio::time::sleep(Duration::from_millis(20)).await;
            continue;
        };
        let (hub, key, cancel) = (Arc::clone(&hub), key_sha256.clone(), cancel.clone());
        let max = limits.announcement_bytes;
        let head_timeout = limits.header_timeout;
        tokio::spawn(async move {
            let service = service_fn(|req| {
                let (hub, key) = (Arc::clone(&hub), key.clone());
                async move { Ok::<_, Infallible>(take(req, &hub, &key, max).await) }
            });
            let conn = hyper::server::conn::http1::Builder::new()
                .timer(TokioTimer::new())
                .header_read_timeout(head_timeout)
                .serve_connection(TokioIo::new(stream), service);
            tokio::select! {
                _ = conn => {}
                () = cancel.cancelled() => {}
            }
            drop(permit);
        });
    }
}

async fn take(
    req: Request<Incoming>,
    hub: &Hub,
    key_sha256: &str,
    max: usize,
) -> Response<ResponseBody> {
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
    let body = Limited::new(req.into_body(), max).collect();
    let Ok(Ok(body)) = tokio::time::timeout(BODY_TIMEOUT, body).await else {
        return problem::invalid_request(
            400,
            "bad-announcement",
            "The announcement did not arrive whole.",
        );
    };
    let announcement: Announcement = match serde_json::from_slice(&body.to_bytes()) {
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
