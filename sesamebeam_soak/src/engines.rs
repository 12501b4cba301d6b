//! Stand-ins for engines: backend servers with few slots and a short queue, of uneven speed
//! that changes for moments, which state their load in each answer.

use std::{
    collections::BTreeSet,
    convert::Infallible,
    io,
    net::SocketAddr,
    sync::{
        Arc,
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
    StreamBody, //
};
use hyper::{
    Request, Response,
    body::{
        Frame,
        Incoming, //
    },
};
use tokio::{
    sync::watch,
    time::sleep, //
};
use tokio_util::sync::CancellationToken;

use crate::{
    books::Books,
    operator::MODELS_POOL,
    server::{
        self,
        Body, //
    },
};

/// Requests that an engine runs at once, and that wait in its queue.
pub const SLOTS: usize = 2;
const QUEUE: usize = 2;

/// Models, smallest first, and how much longer each one's prefill takes than the first's.
pub const MODELS: [&str; 3] = ["small", "middle", "large"];
const PREFILL_FACTORS: [u32; 3] = [1, 2, 4];

/// Prefill time and time between events at an engine of the usual speed.
const PREFILL: Duration = Duration::from_millis(15);
const EVENT_EVERY: Duration = Duration::from_millis(12);

/// Factor by which an engine is slower for a moment, in percent.
const SLOWER_PERCENT: u64 = 250;

/// Events of a stream.
pub const EVENTS: u64 = 12;

/// Pause that a full engine asks for.
const FULL_PAUSE: Duration = Duration::from_millis(100);

/// Confidence that the largest model states. That of the others depends on the request.
const LARGEST_CONFIDENCE: u32 = 95;

/// Rank of a request that comes without one: behind all others.
const LAST_RANK: u8 = 9;

/// Place of a request in the queue: its rank, then the order of arrival.
type Turn = (u8, u64);

/// What an engine works on.
#[derive(Debug, Default)]
struct Work {
    running: usize,
    waiting: BTreeSet<Turn>,
    arrived: u64,
}

/// An engine.
#[derive(Debug)]
pub struct Engine {
    id: String,
    /// How long work usually takes, in percent.
    usual_percent: u64,
    is_slower: AtomicBool,
    work: watch::Sender<Work>,
}

/// A request in the queue or in a slot, which it leaves when this is dropped.
struct Place {
    engine: Arc<Engine>,
    turn: Turn,
    runs: bool,
}

impl Engine {
    /// Creates an idle engine whose work usually takes so long, in percent.
    pub fn new(id: impl Into<String>, usual_percent: u64) -> Self {
        Self {
            id: id.into(),
            usual_percent,
            is_slower: AtomicBool::new(false),
            work: watch::Sender::default(),
        }
    }

    /// Makes it slower than usual, or ends that.
    pub fn set_slower(&self, is_slower: bool) {
        self.is_slower.store(is_slower, Ordering::Relaxed);
    }

    /// Returns how long work takes now, in percent.
    fn slowdown(&self) -> u64 {
        if self.is_slower.load(Ordering::Relaxed) {
            self.usual_percent * SLOWER_PERCENT / 100
        } else {
            self.usual_percent
        }
    }

    /// Spends the time that some work takes at the present speed.
    async fn spend(&self, usual: Duration) {
        sleep(usual.mul_f64(self.slowdown() as f64 / 100.0)).await;
    }

    /// Returns the load as stated in answers.
    fn load(&self) -> String {
        let work = self.work.borrow();
        let (running, waiting) = (work.running, work.waiting.len());
        format!("{running},{waiting},{SLOTS},{}", self.slowdown())
    }

    /// Puts a request into the queue; none if that is full.
    fn enter(self: &Arc<Self>, rank: u8) -> Option<Place> {
        let mut turn = None;
        self.work.send_if_modified(|work| {
            if work.running + work.waiting.len() >= SLOTS + QUEUE {
                return false;
            }
            work.arrived += 1;
            turn = Some((rank, work.arrived));
            work.waiting.extend(turn);
            true
        });
        turn.map(|turn| Place {
            engine: Arc::clone(self),
            turn,
            runs: false,
        })
    }
}

impl Place {
    /// Waits until the request has a slot.
    async fn wait_for_slot(&mut self) {
        let mut rx = self.engine.work.subscribe();
        let turn = self.turn;
        while !self.runs {
            let is_next = |work: &Work| work.running < SLOTS && work.waiting.first() == Some(&turn);
            // The sender lives as long as the engine, which this holds.
            let _ = rx.wait_for(is_next).await;
            self.runs = self.engine.work.send_if_modified(|work| {
                // A more urgent request may have come in between.
                let takes = is_next(work);
                if takes {
                    work.waiting.remove(&turn);
                    work.running += 1;
                }
                takes
            });
        }
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        self.engine.work.send_modify(|work| {
            if self.runs {
                work.running -= 1;
            } else {
                work.waiting.remove(&self.turn);
            }
        });
    }
}

/// Returns an event of a stream.
pub fn event(id: &str, number: u64) -> String {
    format!("id: {number}\ndata: piece {number} of {id}\n\n")
}

/// Starts an engine and returns where it listens until it ends.
///
/// # Errors
///
/// Fails if no port can be had.
pub async fn start(
    engine: Arc<Engine>,
    books: Arc<Books>,
    ended: CancellationToken,
) -> io::Result<SocketAddr> {
    let answer = move |req| {
        let (engine, books) = (Arc::clone(&engine), Arc::clone(&books));
        async move { answer(req, engine, &books).await }
    };
    server::listen(answer, ended).await
}

async fn answer(req: Request<Incoming>, engine: Arc<Engine>, books: &Books) -> Response<Body> {
    let text = |name: &str| {
        let value = req.headers().get(name).and_then(|v| v.to_str().ok());
        value.unwrap_or_default().to_owned()
    };
    let id = text("request-id");
    books.read(MODELS_POOL, &id);
    if text("expect-instance") != engine.id {
        return server::misdirected();
    }
    let rank = text("request-priority").parse().unwrap_or(LAST_RANK);
    let Some(mut place) = engine.enter(rank) else {
        return server::turn_away(FULL_PAUSE, &id, Some(&engine.load()));
    };
    place.wait_for_slot().await;
    match req.uri().path().starts_with("/once/") {
        true => books.ran(&id),
        false => books.started(&id),
    }
    let model = text("model");
    let size = MODELS.iter().position(|m| *m == model).unwrap_or(0);
    engine.spend(PREFILL * PREFILL_FACTORS[size]).await;
    let confidence = match size + 1 == MODELS.len() {
        true => LARGEST_CONFIDENCE,
        false => id.bytes().map(u32::from).sum::<u32>() * 37 % 100,
    };
    let after: u64 = text("last-event-id").parse().unwrap_or(0);
    let response = Response::builder()
        .header("Request-Id", &id)
        .header("Response-Seal", "mark")
        .header("Confidence", confidence)
        .header("Instance-Load", engine.load())
        .body(events(id, after, place));
    // Ids come from our own callers and are valid in a header.
    response.unwrap_or_else(|_| server::misdirected())
}

/// Returns the events of a stream after a number. The first follows the prefill at once.
fn events(id: String, after: u64, place: Place) -> Body {
    let first = after + 1;
    let events = stream::unfold((first, id, place), move |(number, id, place)| async move {
        if number > EVENTS {
            return None;
        }
        if number != first {
            place.engine.spend(EVENT_EVERY).await;
        }
        let frame = Frame::data(Bytes::from(event(&id, number)));
        Some((Ok::<_, Infallible>(frame), (number + 1, id, place)))
    });
    BodyExt::boxed_unsync(StreamBody::new(events))
}
