//! Backend servers that write down what they run.

use std::{
    convert::Infallible,
    io,
    net::SocketAddr,
    sync::Arc,
    time::Duration, //
};

use bytes::Bytes;
use futures::stream;
use http_body_util::{
    BodyExt,
    Full,
    StreamBody,
    combinators::UnsyncBoxBody, //
};
use hyper::{
    Request,
    Response,
    StatusCode,
    body::{
        Frame,
        Incoming, //
    },
    server::conn::http1,
    service::service_fn, //
};
use tokio::{
    net::TcpListener,
    time::sleep, //
};

use crate::{
    books::Books,
    callers, //
};

/// Backend server whose failure domain is evacuated at times.
pub const EVACUATED: &str = "server-2";

/// Backend server that names a limit.
pub const LIMITED: &str = "server-1";

/// Requests a second that it takes from all entries together.
pub const LIMIT: f64 = 3.0;

/// Events of a stream.
pub const EVENTS: u64 = 12;

/// Pause between two events.
const EVENT_EVERY: Duration = Duration::from_millis(25);

/// Time that a request takes that is not a stream.
const WORK: Duration = Duration::from_millis(15);

/// Header that names a limit.
pub const LIMIT_HEADER: &str = "server-limit";

type Body = UnsyncBoxBody<Bytes, Infallible>;

/// Returns what a backend server answers to a request.
pub fn body_of(id: &str) -> String {
    format!("answer to {id}")
}

/// Starts a backend server of one life and returns where it listens.
///
/// # Errors
///
/// Fails if no port can be had.
pub async fn start(life: String, books: Arc<Books>) -> io::Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let addr = listener.local_addr()?;
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let (life, books) = (life.clone(), Arc::clone(&books));
            tokio::spawn(async move {
                let service = service_fn(move |req| {
                    let (life, books) = (life.clone(), Arc::clone(&books));
                    async move { Ok::<_, Infallible>(answer(req, &life, &books).await) }
                });
                // A caller that goes away is no fault.
                let _ = http1::Builder::new()
                    .serve_connection(sesamebeam::http::io(stream), service)
                    .await;
            });
        }
    });
    Ok(addr)
}

async fn answer(req: Request<Incoming>, life: &str, books: &Books) -> Response<Body> {
    let text = |name: &str| {
        let value = req.headers().get(name).and_then(|v| v.to_str().ok());
        value.unwrap_or_default().to_owned()
    };
    let (id, after) = (text("request-id"), text("last-event-id"));
    let path = req.uri().path().to_owned();
    if text("expect-instance") != life {
        let mut refusal = Response::new(full(String::new()));
        *refusal.status_mut() = StatusCode::MISDIRECTED_REQUEST;
        return refusal;
    }
    for secret in ["credential", "hold", "kv-from"] {
        if req.headers().contains_key(secret) {
            books.broke(format!("request {id} came with {secret}"));
        }
    }
    if life == EVACUATED {
        books.reached_evacuated(&id);
    }
    if life == LIMITED {
        books.reached_limited(callers::entry_of(&id));
    }
    let body = if path.starts_with("/notes/") {
        events(after.parse().unwrap_or(0))
    } else {
        if path.starts_with("/book/") {
            books.ran(&id);
        }
        sleep(WORK).await;
        full(body_of(&id))
    };
    let mut response = Response::builder();
    if life == LIMITED {
        response = response.header(LIMIT_HEADER, LIMIT.to_string());
    }
    let response = response
        .header("Request-Id", id)
        .header("Response-Seal", "mark")
        .header("Instance-Load", "1,0,8")
        .body(body);
    // Ids come from our own callers and are valid in a header.
    response.unwrap_or_else(|_| Response::new(full(String::new())))
}

fn full(text: String) -> Body {
    Full::new(Bytes::from(text)).boxed_unsync()
}

fn events(after: u64) -> Body {
    let events = stream::unfold(after + 1, |id| async move {
        if id > EVENTS {
            return None;
        }
        sleep(EVENT_EVERY).await;
        let event = format!("id: {id}\ndata: piece {id}\n\n");
        let frame = Frame::data(Bytes::from(event));
        Some((Ok::<_, Infallible>(frame), id + 1))
    });
    BodyExt::boxed_unsync(StreamBody::new(events))
}
