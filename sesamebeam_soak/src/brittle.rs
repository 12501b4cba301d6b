//! Backend servers that go down when they have to turn away too many requests, and callers who
//! send them more than they can run.

use std::{
    collections::VecDeque,
    io,
    net::SocketAddr,
    sync::{
        Arc,
        Mutex,
        PoisonError, //
    },
    time::{
        Duration,
        Instant, //
    },
};

use bytes::Bytes;
use http_body_util::{
    BodyExt,
    Full, //
};
use hyper::{
    Request,
    Response,
    StatusCode,
    body::Incoming, //
};
use sesamebeam::http::client::{
    Client,
    Reuse,
    SendOptions, //
};
use tokio::{
    net::TcpListener,
    sync::Semaphore,
    time::sleep, //
};
use tokio_util::sync::CancellationToken;

use crate::{
    books::Books,
    fragile, operator,
    server::{
        self,
        Body, //
    },
};

/// Number of such backend servers.
pub const SERVERS: usize = 4;

/// How many may go down in a run.
pub const MAX_FALLS: usize = 2 + SERVERS / 10;

/// Requests that each runs at a time and lets wait, and rejections a second that it bears.
const SLOTS: usize = operator::SLOTS;
const ROOM: usize = 1;
const TOLERATED: usize = 3;

/// Time that a request runs.
const WORK: Duration = Duration::from_millis(200);

/// Callers of an entry, together twice as many as can be run, and the pause of each.
pub const CALLERS: usize = 32;
const CALL_EVERY: Duration = Duration::from_millis(50);

/// Time that a caller waits for an answer.
const PATIENCE: Duration = Duration::from_millis(3000);

/// Header that names the rejections a second that are borne.
const BRITTLE_HEADER: &str = "server-brittle";

/// One life of a backend server.
struct Life {
    id: String,
    places: Semaphore,
    slots: Semaphore,
    rejected: Mutex<VecDeque<Instant>>,
}

/// Runs one life of a backend server after the other until cancelled.
///
/// # Errors
///
/// Fails if no port can be had.
pub async fn succeed(
    number: usize,
    domain: &'static str,
    controls: Vec<SocketAddr>,
    books: Arc<Books>,
    cancel: CancellationToken,
) -> io::Result<()> {
    for n in 0.. {
        let ended = cancel.child_token();
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let life = Arc::new(Life {
            id: format!("brittle-{number}-{n}"),
            places: Semaphore::new(SLOTS + ROOM),
            slots: Semaphore::new(SLOTS),
            rejected: Mutex::default(),
        });
        tokio::spawn(operator::announce(
            life.id.clone(),
            operator::BRITTLE_POOL,
            domain,
            listener.local_addr()?,
            controls.clone(),
            ended.clone(),
        ));
        let (b, token) = (Arc::clone(&books), ended.clone());
        let answer = move |req: Request<Incoming>, _| {
            let (life, books, ended) = (Arc::clone(&life), Arc::clone(&b), token.clone());
            async move { answer(&req, &life, &books, &ended).await }
        };
        fragile::accept(listener, answer, &ended).await;
        if cancel.is_cancelled() {
            break;
        }
        sleep(fragile::BACK_AFTER).await;
    }
    Ok(())
}

async fn answer(
    req: &Request<Incoming>,
    life: &Life,
    books: &Books,
    ended: &CancellationToken,
) -> Response<Body> {
    let text = |name: &str| {
        let value = req.headers().get(name).and_then(|v| v.to_str().ok());
        value.unwrap_or_default().to_owned()
    };
    books.read(operator::BRITTLE_POOL, &text("request-id"));
    if text("expect-instance") != life.id {
        return server::misdirected();
    }
    books.brittle_named();
    let response = Response::builder()
        .header("Request-Id", text("request-id"))
        .header(BRITTLE_HEADER, TOLERATED.to_string());
    let response = match life.places.try_acquire() {
        Ok(_place) => {
            // Never closed.
            let _slot = life.slots.acquire().await;
            sleep(WORK).await;
            response.header("Response-Seal", "mark")
        }
        Err(_) => {
            if life.rejects_too_many() {
                books.brittle_fell(ended);
            }
            response
                .status(StatusCode::SERVICE_UNAVAILABLE)
                .header("Not-Executed", "1")
        }
    };
    let response = response.body(Full::new(Bytes::from_static(b"fine")).boxed_unsync());
    // Ids come from our own callers and are valid in a header.
    response.unwrap_or_else(|_| Response::new(Full::new(Bytes::new()).boxed_unsync()))
}

impl Life {
    /// Records a rejection and returns whether there are more than it bears.
    fn rejects_too_many(&self) -> bool {
        let now = Instant::now();
        let mut rejected = self.rejected.lock().unwrap_or_else(PoisonError::into_inner);
        rejected.push_back(now);
        while rejected
            .front()
            .is_some_and(|at| *at + Duration::from_secs(1) <= now)
        {
            rejected.pop_front();
        }
        rejected.len() > TOLERATED
    }
}

/// Sends requests to an entry until cancelled.
pub async fn call(number: usize, front: SocketAddr, books: Arc<Books>, cancel: CancellationToken) {
    let client = Client::new(Duration::from_millis(500));
    for n in 0u64.. {
        if cancel.is_cancelled() {
            return;
        }
        let built = Request::post("/brittle/1")
            .header("Host", "desk.example")
            .header(
                "Request-Id",
                format!("brittle-{}-{number}-{n:x}", front.ip()),
            )
            .header("Credential", "k1")
            .header("Deadline-Ms", PATIENCE.as_millis().to_string())
            .body(Full::new(Bytes::from_static(b"x")));
        let Ok(req) = built else {
            return;
        };
        books.sent(operator::BRITTLE_POOL);
        let options = SendOptions {
            reuse: Reuse::Any,
            header_timeout: PATIENCE,
            send_by: None,
        };
        if let Ok((response, lease)) = client.send(front, req, options).await {
            let is_served = response.status() == StatusCode::OK;
            if response.into_body().collect().await.is_ok() {
                books.brittle_answered(is_served);
                lease.release();
            }
        }
        sleep(CALL_EVERY).await;
    }
}
