//! Memory for the bodies of requests.

use std::{
    collections::HashMap,
    sync::{
        Arc,
        Mutex,
        MutexGuard,
        PoisonError, //
    },
    time::{
        Duration,
        Instant, //
    },
};

use bytes::{
    Bytes,
    BytesMut, //
};
use http_body_util::BodyExt;
use hyper::{
    body::{
        Body,
        Incoming, //
    },
    http::Extensions,
};
use sesamebeam_core::{
    ids::MonoTime,
    policy::body_room::{
        BodyId,
        BodyRoom,
        Room, //
    },
};
use thiserror::Error;
use tokio::time::timeout;
use tokio_util::sync::CancellationToken;

use super::connections::{
    InProgress,
    OpenConnection, //
};

/// First size of the buffer of a body, in bytes.
const FIRST_BUFFER: usize = 4 << 10;

/// Why a body could not be read.
#[derive(Debug, Error)]
pub(crate) enum BodyError {
    /// It is larger than allowed.
    #[error("body too large")]
    TooLarge,
    /// It did not arrive in time.
    #[error("body too slow")]
    TooSlow,
    /// Bodies take all memory that there is for them, and this one uses it worst.
    #[error("no memory for the body")]
    NoRoom,
    /// The connection failed, or the body is malformed.
    #[error("body broke off: {0}")]
    Broken(#[from] hyper::Error),
}

/// The memory for the bodies of all requests of a process.
#[derive(Clone, Debug)]
pub(crate) struct Bodies(Arc<SharedRoom>);

#[derive(Debug)]
struct SharedRoom {
    start: Instant,
    state: Mutex<RoomState>,
}

#[derive(Debug)]
struct RoomState {
    room: BodyRoom,
    /// Cancelled when their bodies are given up.
    reading: HashMap<BodyId, CancellationToken>,
}

/// A body that was read whole. Its memory is taken until it is dropped.
#[derive(Debug)]
pub(crate) struct WholeBody {
    bytes: Bytes,
    _held: HeldBody,
    _in_progress: Option<InProgress>,
}

impl WholeBody {
    /// Returns its bytes, which are not copied.
    pub(crate) fn bytes(&self) -> &Bytes {
        &self.bytes
    }
}

/// The share of one body, which ends when this is dropped.
#[derive(Debug)]
struct HeldBody {
    id: BodyId,
    bodies: Bodies,
}

impl Drop for HeldBody {
    fn drop(&mut self) {
        let mut state = self.bodies.lock();
        state.room.end(self.id);
        state.reading.remove(&self.id);
    }
}

impl Bodies {
    /// Creates room for this many bytes.
    pub(crate) fn new(capacity: usize) -> Self {
        Self(Arc::new(SharedRoom {
            start: Instant::now(),
            state: Mutex::new(RoomState {
                room: BodyRoom::new(capacity),
                reading: HashMap::new(),
            }),
        }))
    }

    /// Reads a body of at most this many bytes to its end. The extensions are those of its
    /// request.
    ///
    /// # Errors
    ///
    /// Fails if it is too large or too slow, breaks off, or has to make room for others. The
    /// connection can't be used again.
    pub(crate) async fn read(
        &self,
        extensions: &Extensions,
        body: Incoming,
        max: usize,
        max_time: Duration,
    ) -> Result<WholeBody, BodyError> {
        let announced = body.size_hint();
        if announced.lower() > max as u64 {
            return Err(BodyError::TooLarge);
        }
        let most = announced.exact().map_or(max, |length| length as usize);
        let given_up = CancellationToken::new();
        let held = self.begin(given_up.clone());
        let reading = timeout(max_time, self.read_held(held.id, body, most));
        let bytes = match given_up.run_until_cancelled(reading).await {
            None => return Err(BodyError::NoRoom),
            Some(Err(_)) => return Err(BodyError::TooSlow),
            Some(Ok(read)) => read?,
        };
        if !self.complete(held.id) {
            return Err(BodyError::NoRoom);
        }
        Ok(WholeBody {
            bytes,
            _held: held,
            _in_progress: extensions
                .get::<OpenConnection>()
                .map(OpenConnection::begin_request),
        })
    }

    fn begin(&self, given_up: CancellationToken) -> HeldBody {
        let now = self.now();
        let mut state = self.lock();
        let id = state.room.begin(now);
        state.reading.insert(id, given_up);
        HeldBody {
            id,
            bodies: self.clone(),
        }
    }

    /// Reads a body into one buffer: a small piece would keep all that was received with it in
    /// memory.
    async fn read_held(
        &self,
        id: BodyId,
        mut body: Incoming,
        most: usize,
    ) -> Result<Bytes, BodyError> {
        let mut whole = BytesMut::new();
        let mut allowed = 0;
        while let Some(frame) = body.frame().await {
            let Ok(piece) = frame?.into_data() else {
                continue;
            };
            let needed = whole.len() + piece.len();
            if needed > most {
                return Err(BodyError::TooLarge);
            }
            if needed > allowed {
                allowed = needed.max(allowed * 2).max(FIRST_BUFFER).min(most);
                self.grow(id, allowed)?;
                whole.reserve(allowed - whole.len());
            } else {
                self.record_bytes(id);
            }
            whole.extend_from_slice(&piece);
        }
        Ok(whole.freeze())
    }

    fn grow(&self, id: BodyId, bytes: usize) -> Result<(), BodyError> {
        let now = self.now();
        let mut state = self.lock();
        state.room.record_bytes(now, id);
        match state.room.grow(now, id, bytes) {
            Room::Granted { evicted } => {
                for token in evicted.iter().filter_map(|e| state.reading.remove(e)) {
                    token.cancel();
                }
                Ok(())
            }
            Room::Refused => Err(BodyError::NoRoom),
        }
    }

    fn record_bytes(&self, id: BodyId) {
        let now = self.now();
        self.lock().room.record_bytes(now, id);
    }

    /// Keeps a body from being given up. Returns whether it was not already.
    fn complete(&self, id: BodyId) -> bool {
        let mut state = self.lock();
        state.room.complete(id);
        state.reading.remove(&id).is_some()
    }

    fn lock(&self) -> MutexGuard<'_, RoomState> {
        self.0.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn now(&self) -> MonoTime {
        self.0.start.elapsed()
    }
}
