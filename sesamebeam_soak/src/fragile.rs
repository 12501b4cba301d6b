//! Backend servers that go down as they answer a request with a fatal part in its prompt, callers who send such requests, and others who share all but that part.

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
    StreamBody, //
};
use hyper::{
    Request,
    Response,
    body::{
        Frame,
        Incoming, //
    },
    server::conn::http1,
    service::service_fn, //
};
use sesamebeam::http::client::{
    Client,
    Reuse,
    SendOptions, //
};
use tokio::{
    net::TcpListener,
    time::{
        sleep,
        timeout, //
    },
};
use tokio_util::sync::CancellationToken;

use crate::{
    books::Books,
    fleet,
    operator,
    server::Body, //
};

/// Number of such backend servers.
pub const SERVERS: usize = 6;

/// Time until one that went down is back.
pub const BACK_AFTER: Duration = Duration::from_millis(1500);

/// Time until an answer begins, and between its parts.
const STEP: Duration = Duration::from_millis(20);

/// Pause between two requests of a caller, with the fatal part and without.
const FATAL_EVERY: Duration = Duration::from_millis(300);
const SOUND_EVERY: Duration = Duration::from_millis(120);

/// Time that a caller waits for an answer.
const PATIENCE: Duration = Duration::from_millis(2000);

/// Number of events of an answer.
const EVENTS: u64 = 12;

/// Prompt parts: in all prompts, beside the fatal one, and that one.
const SHARED: &str = "a1";
const BESIDE: &str = "b2";
const FATAL: &str = "fa7a1";

/// Runs one life of a backend server after the other until cancelled. Each ends once an answer
/// with the fatal part has `fatal_after` events.
///
/// # Errors
///
/// Fails if no port can be had.
pub async fn succeed(
    number: usize,
    fatal_after: u64,
    domain: &'static str,
    controls: Vec<SocketAddr>,
    books: Arc<Books>,
    cancel: CancellationToken,
) -> io::Result<()> {
    for life in 0.. {
        let ended = cancel.child_token();
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        tokio::spawn(operator::announce(
            format!("fragile-{number}-{life}"),
            operator::FRAGILE_POOL,
            domain,
            listener.local_addr()?,
            controls.clone(),
            ended.clone(),
        ));
        let (books, token) = (Arc::clone(&books), ended.clone());
        let answer = move |req: Request<Incoming>, from| {
            let (books, ended) = (Arc::clone(&books), token.clone());
            async move { answer(&req, from, fatal_after, &books, &ended).await }
        };
        accept(listener, answer, &ended).await;
        if cancel.is_cancelled() {
            break;
        }
        sleep(BACK_AFTER).await;
    }
    Ok(())
}

/// Serves connections until the life ends, which closes all of them.
pub async fn accept<A: Future<Output = Response<Body>> + Send + 'static>(
    listener: TcpListener,
    answer: impl Fn(Request<Incoming>, SocketAddr) -> A + Clone + Send + 'static,
    ended: &CancellationToken,
) {
    loop {
        let accepted = tokio::select! {
            () = ended.cancelled() => return,
            accepted = listener.accept() => accepted,
        };
        let Ok((stream, from)) = accepted else {
            return;
        };
        let (answer, life) = (answer.clone(), ended.clone());
        tokio::spawn(async move {
            let service = service_fn(move |req: Request<Incoming>| {
                let answered = answer(req, from);
                async move { Ok::<_, Infallible>(answered.await) }
            });
            let serving =
                http1::Builder::new().serve_connection(sesamebeam::http::hyper_io(stream), service);
            tokio::select! {
                () = life.cancelled() => {}
                // A caller that goes away is no fault.
                _ = serving => {}
            }
        });
    }
}

async fn answer(
    req: &Request<Incoming>,
    from: SocketAddr,
    fatal_after: u64,
    books: &Arc<Books>,
    ended: &CancellationToken,
) -> Response<Body> {
    let text = |name: &str| {
        let value = req.headers().get(name).and_then(|v| v.to_str().ok());
        value.unwrap_or_default().to_owned()
    };
    books.read(operator::FRAGILE_POOL, &text("request-id"));
    let is_fatal = text("prompt-prefix").contains(FATAL);
    if is_fatal {
        books.reached_fatal(fleet::entry_at(from));
    }
    sleep(STEP).await;
    let (life, books) = (ended.clone(), Arc::clone(books));
    let resume_after: u64 = text("last-event-id").parse().unwrap_or(0);
    let events = stream::unfold(resume_after + 1, move |number| {
        let (life, books) = (life.clone(), Arc::clone(&books));
        async move {
            sleep(STEP).await;
            // No answer with the part is ever complete, also if only its end is resumed.
            if is_fatal && (number > resume_after + fatal_after || number >= EVENTS) {
                books.crashed(&life);
                std::future::pending::<()>().await;
            }
            let event = format!("id: {number}\ndata: piece {number}\n\n");
            let frame = Frame::data(Bytes::from(event));
            (number <= EVENTS).then_some((Ok::<_, Infallible>(frame), number + 1))
        }
    });
    let response = Response::builder()
        .header("Request-Id", text("request-id"))
        .header("Response-Seal", "mark")
        .body(BodyExt::boxed_unsync(StreamBody::new(events)));
    // Ids come from our own callers and are valid in a header.
    response.unwrap_or_else(|_| Response::new(Full::new(Bytes::new()).boxed_unsync()))
}

/// Sends requests to an entry until cancelled, no two of them alike.
pub async fn call(
    name: &'static str,
    front: SocketAddr,
    books: Arc<Books>,
    cancel: CancellationToken,
) {
    let client = Client::new(Duration::from_millis(500));
    let (parts, every) = match name {
        "fatal" => (format!("{SHARED}:9,{BESIDE}:9,{FATAL}:9"), FATAL_EVERY),
        "kin" => (format!("{SHARED}:9,{BESIDE}:9,c3:9"), SOUND_EVERY),
        _ => (format!("{SHARED}:9,c4:9"), SOUND_EVERY),
    };
    for number in 0u64.. {
        if cancel.is_cancelled() {
            return;
        }
        let id = format!("{name}-{}-{number:x}", front.ip());
        let built = Request::post("/fragile/1")
            .header("Host", "desk.example")
            .header("Request-Id", &id)
            .header("Credential", "k1")
            .header("Prompt-Prefix", format!("{parts},{:x}:9", 0x1000 + number))
            .header("Deadline-Ms", PATIENCE.as_millis().to_string())
            .body(Full::new(Bytes::from(id.clone())));
        let Ok(req) = built else {
            return;
        };
        books.sent(operator::FRAGILE_POOL);
        let options = SendOptions {
            reuse: Reuse::Any,
            header_timeout: PATIENCE,
            send_by: None,
        };
        if let Ok((response, lease)) = client.send(front, req, options).await {
            let body = timeout(PATIENCE, response.into_body().collect()).await;
            if let Ok(Ok(body)) = body {
                let body = String::from_utf8_lossy(&body.to_bytes()).into_owned();
                if name != "fatal" && body.contains("crashes backend servers") {
                    books.broke(format!("sound request {id} was refused as a fatal one"));
                }
                lease.release();
            }
        }
        sleep(every).await;
    }
}
