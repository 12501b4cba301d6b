//! Bounds on what is received of an answer, which may have no end.

use std::sync::Arc;

use bytes::{
    Bytes,
    BytesMut, //
};
use http_body_util::BodyExt;
use hyper::{
    Response,
    body::{
        Body,
        Incoming, //
    },
    header,
};
use thiserror::Error;
use tokio::sync::{
    AcquireError,
    Semaphore,
    SemaphorePermit, //
};

/// Mean size below which pieces are too small: each takes processor time, however few bytes it
/// has.
const MIN_MEAN_PIECE: usize = 256;

/// Pieces that may be received in any case.
const MIN_PIECES: usize = 1024;

/// Most that is held of an answer or event at any number of requests at once, in bytes.
pub(crate) const MAX_SHORT: usize = 256 << 10;

/// Longer answers that are read at a time.
const LONG_AT_ONCE: usize = 2;

/// An answer could not be read whole.
#[derive(Debug, Error)]
pub(crate) enum ReadError {
    /// It is longer, or comes in more pieces, than any sound server sends.
    #[error("too much was received")]
    TooMuch,
    /// The connection failed.
    #[error("connection failed: {0}")]
    Connection(#[from] hyper::Error),
    /// Long answers are not read any more.
    #[error("no turn for a long answer: {0}")]
    NoTurn(#[from] AcquireError),
    /// A success that its connection ends has ended before its body began.
    #[error("connection closed after the head")]
    NoBody,
}

/// Returns whether the body of a success ends with its connection. The end of such a body says
/// nothing before it has begun: a server that goes down after the head closes its connection too.
pub(crate) fn is_success_until_closed(response: &Response<Incoming>) -> bool {
    let headers = response.headers();
    response.status().is_success()
        && !headers.contains_key(header::CONTENT_LENGTH)
        && !headers.contains_key(header::TRANSFER_ENCODING)
        && !response.body().is_end_stream()
}

/// Turns of answers longer than [`MAX_SHORT`], so that these don't take all memory together. One
/// that waits for its turn is not read, which stops its server.
#[derive(Clone, Debug)]
pub(crate) struct LongAnswers(Arc<Semaphore>);

impl Default for LongAnswers {
    fn default() -> Self {
        Self(Arc::new(Semaphore::new(LONG_AT_ONCE)))
    }
}

impl LongAnswers {
    async fn wait_for_turn(&self) -> Result<SemaphorePermit<'_>, AcquireError> {
        self.0.acquire().await
    }
}

/// What may still be received.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Allowance {
    bytes: usize,
    pieces: usize,
}

impl Allowance {
    /// Allows this many bytes, in pieces that are not tiny.
    pub(crate) const fn new(bytes: usize) -> Self {
        Self {
            bytes,
            pieces: MIN_PIECES + bytes / MIN_MEAN_PIECE,
        }
    }

    /// Takes off a piece.
    ///
    /// # Errors
    ///
    /// Fails if it is not allowed.
    pub(crate) fn take(&mut self, piece: &[u8]) -> Result<(), ReadError> {
        let bytes = self.bytes.checked_sub(piece.len());
        let pieces = self.pieces.checked_sub(1);
        let (Some(bytes), Some(pieces)) = (bytes, pieces) else {
            return Err(ReadError::TooMuch);
        };
        *self = Self { bytes, pieces };
        Ok(())
    }
}

/// Reads an answer, whose body has at most this many bytes, to its end.
///
/// # Errors
///
/// Fails if too much is received, the connection fails, or it ends a success before its body
/// began. The connection can't be used again.
pub(crate) async fn read_whole(
    response: Response<Incoming>,
    most: usize,
    long: &LongAnswers,
) -> Result<Bytes, ReadError> {
    let needs_body = is_success_until_closed(&response);
    let body = read_body(response.into_body(), most, long).await?;
    match needs_body && body.is_empty() {
        true => Err(ReadError::NoBody),
        false => Ok(body),
    }
}

/// Reads what is left of a body, of at most this many bytes, to its end.
///
/// # Errors
///
/// Fails if too much is received, or the connection fails. The connection can't be used again.
pub(crate) async fn read_body(
    mut body: Incoming,
    most: usize,
    long: &LongAnswers,
) -> Result<Bytes, ReadError> {
    let mut turn = None;
    let mut allowance = Allowance::new(most);
    // One buffer: a small piece would keep all that was received with it in memory.
    let mut whole = BytesMut::new();
    while let Some(frame) = body.frame().await {
        if let Ok(piece) = frame?.into_data() {
            allowance.take(&piece)?;
            if whole.len() + piece.len() > MAX_SHORT && turn.is_none() {
                turn = Some(long.wait_for_turn().await?);
            }
            whole.extend_from_slice(&piece);
        }
    }
    Ok(whole.freeze())
}
