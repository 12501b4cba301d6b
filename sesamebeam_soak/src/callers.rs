//! Callers that keep using open connections until their entry is gone.

use std::{
    net::SocketAddr,
    sync::Arc,
    time::Duration, //
};

use bytes::Bytes;
use http_body_util::{
    BodyExt,
    Full, //
};
use hyper::{
    HeaderMap,
    Request,
    Response,
    body::Incoming, //
};
use rand::{
    RngExt,
    SeedableRng,
    rngs::StdRng, //
};
use sesamebeam::http::client::{
    Client,
    Reuse,
    SendOptions, //
};
use tokio::time::{
    sleep,
    timeout, //
};
use tokio_util::sync::CancellationToken;

use crate::{
    books::Books,
    operator::POOL,
    server::{
        EVENTS,
        LEAVING_HEADER,
        LIFE_HEADER,
        LIMIT_HEADER,
        SENT_HEADER,
        body_of, //
    },
};

/// Callers at each entry.
pub const CALLERS: u64 = 4;

/// Time that a caller waits.
const PATIENCE: Duration = Duration::from_secs(4);

/// Longest pause between two requests of a caller, in milliseconds.
const MAX_PAUSE_MS: u64 = 40;

/// Statuses that say that a request has not run.
pub const NOT_RUN: [u16; 4] = [408, 421, 429, 503];

/// What a caller asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Kind {
    /// A booking, which may run once.
    Book,
    /// A look-up, which may run any number of times.
    Read,
    /// A stream.
    Notes,
}

/// Returns the entry to which a request was sent, by its id.
pub fn entry_of(id: &str) -> Option<usize> {
    let (number, _) = id.split_once('-')?;
    let number = u64::from_str_radix(number, 16).ok()?;
    Some((number / CALLERS) as usize)
}

/// Sends requests to an entry, one after the other, until cancelled.
pub async fn call(
    number: u64,
    seed: u64,
    front: SocketAddr,
    books: Arc<Books>,
    cancel: CancellationToken,
) {
    let client = Client::new(Duration::from_millis(500));
    let mut rng = StdRng::seed_from_u64(seed ^ number.rotate_left(17));
    let mut count = 0u64;
    while !cancel.is_cancelled() {
        count += 1;
        let id = format!("{number:x}-{count:x}");
        let kind = match rng.random_range(0..3) {
            0 => Kind::Book,
            1 => Kind::Read,
            _ => Kind::Notes,
        };
        let sent_ms = books.now_ms();
        let is_served = ask(&client, front, kind, &id, &books).await;
        if let Some(entry) = entry_of(&id) {
            books.tried(entry, sent_ms, is_served);
        }
        sleep(Duration::from_millis(rng.random_range(0..MAX_PAUSE_MS))).await;
    }
}

/// Sends a request and returns whether it was served.
async fn ask(client: &Client, front: SocketAddr, kind: Kind, id: &str, books: &Books) -> bool {
    let Some(req) = request(kind, id, books.now_ms()) else {
        return false;
    };
    books.sent(POOL);
    let terms = SendOptions {
        reuse: Reuse::Any,
        header_timeout: PATIENCE,
        send_by: None,
    };
    let (response, lease) = match client.send(front, req, terms).await {
        Ok(answered) => answered,
        Err(_) => {
            books.failed();
            return false;
        }
    };
    if let Some(sender) = books.sender(id) {
        note_headers(response.headers(), sender, books);
    }
    let status = response.status().as_u16();
    if status != 200 {
        if NOT_RUN.contains(&status) {
            books.refused(id);
        } else {
            books.failed();
        }
        if timeout(PATIENCE, response.into_body().collect())
            .await
            .is_ok()
        {
            lease.release();
        }
        return false;
    }
    if response.headers().get("response-seal").is_none() {
        books.broke(format!("request {id}: a success without a mark"));
    }
    let is_served = check_body(kind, id, response, books).await;
    if is_served {
        books.answered();
        lease.release();
    } else {
        books.failed();
    }
    is_served
}

fn request(kind: Kind, id: &str, now_ms: u64) -> Option<Request<Full<Bytes>>> {
    let path = match kind {
        Kind::Book => "/book/1",
        Kind::Read => "/read/1",
        Kind::Notes => "/notes/1",
    };
    let built = Request::post(path)
        .header("Host", "desk.example")
        .header("Request-Id", id)
        .header("Credential", "k1")
        .header("Deadline-Ms", PATIENCE.as_millis().to_string())
        .header("Kv-From", "10.0.0.1:1/x")
        .header(SENT_HEADER, now_ms)
        .body(Full::new(Bytes::from(id.to_owned())));
    built.ok()
}

/// Notes what was passed on of what a backend server has said to the entry that sent there.
fn note_headers(headers: &HeaderMap, entry: usize, books: &Books) {
    if headers.contains_key(LIMIT_HEADER) {
        books.told_limit(entry);
    }
    let life = headers.get(LIFE_HEADER).and_then(|v| v.to_str().ok());
    if headers.contains_key(LEAVING_HEADER)
        && let Some(life) = life
    {
        books.told_leaving(entry, life);
    }
}

/// Reads a success and returns whether it is complete. One that breaks off is no
/// fault; one that is complete and wrong is.
async fn check_body(kind: Kind, id: &str, response: Response<Incoming>, books: &Books) -> bool {
    let Ok(Ok(body)) = timeout(PATIENCE * 2, response.into_body().collect()).await else {
        return false;
    };
    let text = String::from_utf8_lossy(&body.to_bytes()).into_owned();
    let wanted = match kind {
        Kind::Book | Kind::Read => body_of(id),
        Kind::Notes => {
            let event = |n| format!("id: {n}\ndata: piece {n}\n\n");
            (1..=EVENTS).map(event).collect()
        }
    };
    if text != wanted {
        books.broke(format!("request {id}: complete, but it is {text:?}"));
    }
    true
}
