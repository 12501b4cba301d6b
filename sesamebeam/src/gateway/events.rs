//! Cutting a stream into whole events and following their ids.

use bytes::{
    Bytes,
    BytesMut, //
};

use crate::http::sse::last_boundary;

/// Most bytes of an event that is not whole yet; engines send some hundreds.
const MAX_EVENT: usize = 1 << 20;

/// Passes whole events on.
///
/// A stream that breaks in the middle of an event goes on after the last whole
/// one; a piece of it passed on would reach the caller a second time.
#[derive(Debug, Default)]
pub(super) struct Events {
    /// Start of an event that is not whole yet.
    rest: BytesMut,
    /// Id of the last whole event.
    last: Option<u64>,
    /// Whole events passed on.
    count: u64,
}

/// An event is longer than any engine sends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct TooLong;

impl Events {
    /// Starts after an event that the caller has.
    pub(super) fn after(last: Option<u64>) -> Self {
        Self {
            last,
            ..Self::default()
        }
    }

    /// Takes a piece of the stream and returns the events that are whole now.
    pub(super) fn push(&mut self, piece: Bytes) -> Result<Bytes, TooLong> {
        let whole = if self.rest.is_empty() {
            let end = last_boundary(&piece).unwrap_or(0);
            self.rest.extend_from_slice(&piece[end..]);
            piece.slice(..end)
        } else {
            self.rest.extend_from_slice(&piece);
            let end = last_boundary(&self.rest).unwrap_or(0);
            self.rest.split_to(end).freeze()
        };
        if self.rest.len() > MAX_EVENT {
            return Err(TooLong);
        }
        self.follow(&whole);
        Ok(whole)
    }

    /// Returns the id of the last whole event.
    pub(super) fn last(&self) -> Option<u64> {
        self.last
    }

    /// Returns the number of whole events passed on.
    pub(super) fn count(&self) -> u64 {
        self.count
    }

    /// Returns whether the stream stands between two events.
    pub(super) fn is_whole(&self) -> bool {
        self.rest.is_empty()
    }

    /// Drops the start of an event, as another run sends it from its beginning.
    pub(super) fn drop_rest(&mut self) {
        self.rest.clear();
    }

    fn follow(&mut self, whole: &[u8]) {
        for line in whole.split(|&b| b == b'\n') {
            let Some(id) = line.strip_prefix(b"id:") else {
                continue;
            };
            let id = std::str::from_utf8(id)
                .ok()
                .and_then(|id| id.trim().parse().ok());
            self.last = id.or(self.last);
            self.count += 1;
        }
    }
}
