//! Backend servers that write down what they run.

use std::{
    convert::Infallible,
    io,
    net::SocketAddr,
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{
            AtomicBool,
            Ordering, //
        },
    },
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
    header::RETRY_AFTER,
    server::conn::http1,
    service::service_fn, //
};
use tokio::{
    net::TcpListener,
    time::sleep, //
};

use tokio_util::sync::CancellationToken;

use crate::{
    books::Books,
    callers,
    fleet,
    operator::POOL, //
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

/// Header that says that a backend server leaves.
pub const LEAVING_HEADER: &str = "server-leaving";

/// Header with the life that answers.
pub const LIFE_HEADER: &str = "x-life";

/// Header in which callers say when they sent a request, in milliseconds of the run.
pub const SENT_HEADER: &str = "x-sent-ms";

/// One life of a backend server, and what it says beside its answers.
#[derive(Debug)]
pub struct Life {
    /// Its id.
    pub id: String,
    /// Pause that it asks for as it turns everything away; none while it serves.
    pause: Mutex<Option<Duration>>,
    leaving: AtomicBool,
}

impl Life {
    /// Makes a life that serves.
    pub fn new(id: impl Into<String>) -> Self {
        Self {
            id: id.into(),
            pause: Mutex::default(),
            leaving: AtomicBool::new(false),
        }
    }

    /// Has it turn everything away and ask for a pause, or serve again.
    pub fn ask_pause(&self, pause: Option<Duration>) {
        *self.pause.lock().unwrap_or_else(PoisonError::into_inner) = pause;
    }

    /// Has it say that it leaves.
    pub fn set_leaving(&self) {
        self.leaving.store(true, Ordering::Relaxed);
    }

    fn pause(&self) -> Option<Duration> {
        *self.pause.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Body of an answer.
pub type Body = UnsyncBoxBody<Bytes, Infallible>;

/// Returns what a backend server answers to a request.
pub fn body_of(id: &str) -> String {
    format!("answer to {id}")
}

/// Starts a backend server of one life and returns where it listens until it ends.
///
/// # Errors
///
/// Fails if no port can be had.
pub async fn start(
    life: Arc<Life>,
    books: Arc<Books>,
    ended: CancellationToken,
) -> io::Result<SocketAddr> {
    let answer = move |req| {
        let (life, books) = (Arc::clone(&life), Arc::clone(&books));
        async move { answer(req, &life, &books).await }
    };
    listen(answer, ended).await
}

/// Listens until it ends, and answers each request.
///
/// # Errors
///
/// Fails if no port can be had.
pub async fn listen<A: Future<Output = Response<Body>> + Send + 'static>(
    answer: impl Fn(Request<Incoming>) -> A + Clone + Send + 'static,
    ended: CancellationToken,
) -> io::Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let addr = listener.local_addr()?;
    tokio::spawn(async move {
        loop {
            let accepted = tokio::select! {
                () = ended.cancelled() => return,
                accepted = listener.accept() => accepted,
            };
            let Ok((stream, from)) = accepted else {
                return;
            };
            let answer = answer.clone();
            tokio::spawn(async move {
                let service = service_fn(move |mut req: Request<Incoming>| {
                    req.extensions_mut().insert(from);
                    let answered = answer(req);
                    async move { Ok::<_, Infallible>(answered.await) }
                });
                // A caller that goes away is no fault.
                let _ = http1::Builder::new()
                    .serve_connection(sesamebeam::http::hyper_io(stream), service)
                    .await;
            });
        }
    });
    Ok(addr)
}

async fn answer(req: Request<Incoming>, life: &Life, books: &Books) -> Response<Body> {
    let text = |name: &str| {
        let value = req.headers().get(name).and_then(|v| v.to_str().ok());
        value.unwrap_or_default().to_owned()
    };
    let (id, after) = (text("request-id"), text("last-event-id"));
    let path = req.uri().path().to_owned();
    books.read(POOL, &id);
    if text("expect-instance") != life.id {
        return misdirected();
    }
    for secret in ["credential", "hold", "kv-from"] {
        if req.headers().contains_key(secret) {
            books.broke(format!("request {id} came with {secret}"));
        }
    }
    let sender = req.extensions().get().copied().and_then(fleet::entry_at);
    if let Some(entry) = sender.filter(|_| callers::entry_of(&id).is_some()) {
        let sent_ms = text(SENT_HEADER).parse().unwrap_or(0);
        books.reached(&id, entry, &life.id, sent_ms);
        if let Some(pause) = life.pause() {
            books.asked_pause(entry, &life.id, pause);
            return turn_away(pause, &id, None);
        }
    }
    if life.id == EVACUATED {
        books.reached_evacuated(&id);
    }
    if life.id == LIMITED {
        books.reached_limited(sender);
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
    if life.leaving.load(Ordering::Relaxed) {
        response = response.header(LEAVING_HEADER, "1");
    }
    if life.id == LIMITED {
        response = response.header(LIMIT_HEADER, LIMIT.to_string());
    }
    let response = response
        .header("Request-Id", id)
        .header("Response-Seal", "mark")
        .header(LIFE_HEADER, &life.id)
        .header("Instance-Load", "1,0,8")
        .body(body);
    // Ids come from our own callers and are valid in a header.
    response.unwrap_or_else(|_| Response::new(full(String::new())))
}

/// Refuses a request that is meant for another life.
pub fn misdirected() -> Response<Body> {
    let mut refusal = Response::new(full(String::new()));
    *refusal.status_mut() = StatusCode::MISDIRECTED_REQUEST;
    refusal
}

/// Turns a request away that has not run, asks for a pause and states the load, if any.
pub fn turn_away(pause: Duration, id: &str, load: Option<&str>) -> Response<Body> {
    let mut response = Response::builder()
        .status(StatusCode::SERVICE_UNAVAILABLE)
        .header("Request-Id", id)
        .header("Not-Executed", "1")
        .header(RETRY_AFTER, pause.as_secs_f64().to_string());
    if let Some(load) = load {
        response = response.header("Instance-Load", load);
    }
    let response = response.body(full(String::new()));
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
