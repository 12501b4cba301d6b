//! Bounds on what is received of an answer, which may have no end.

use bytes::{
    Bytes,
    BytesMut, //
};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use thiserror::Error;

/// Mean size below which pieces are too small: each takes processor time, however few bytes it
/// has.
const MIN_MEAN_PIECE: usize = 256;

/// Pieces that may be received in any case.
const MIN_PIECES: usize = 1024;

/// An answer could not be read whole.
#[derive(Debug, Error)]
pub(crate) enum ReadError {
    /// It is longer, or comes in more pieces, than any sound server sends.
    #[error("too much was received")]
    TooMuch,
    /// The connection failed.
    #[error("connection failed: {0}")]
    Connection(#[from] hyper::Error),
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

/// Reads an answer of at most this many bytes to its end.
///
/// # Errors
///
/// Fails if too much is received, or the connection fails. The connection can't be used again.
pub(crate) async fn read_whole(mut body: Incoming, most: usize) -> Result<Bytes, ReadError> {
    let mut allowance = Allowance::new(most);
    // One buffer: a small piece would keep all that was received with it in memory.
    let mut whole = BytesMut::new();
    while let Some(frame) = body.frame().await {
        if let Ok(piece) = frame?.into_data() {
            allowance.take(&piece)?;
            whole.extend_from_slice(&piece);
        }
    }
    Ok(whole.freeze())
}
