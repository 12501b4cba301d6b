//! Splitting of a server-sent event stream at event boundaries, and tracking of event
//! ids.

use bytes::Bytes;

use crate::http::{
    received::ReadError,
    sse::EventBuffer, //
};

/// Forwards complete events only.
///
/// A stream that is interrupted in the middle of an event resumes after the last complete
/// one. Forwarding part of an event would make the caller receive that part twice.
#[derive(Debug, Default)]
pub(super) struct EventSplitter {
    buf: EventBuffer,
    /// Id of the last complete event.
    last_id: Option<u64>,
    /// Number of complete events forwarded.
    count: u64,
}

impl EventSplitter {
    /// Creates a splitter for a stream that starts after the given event id.
    pub(super) fn starting_after(last_id: Option<u64>) -> Self {
        Self {
            last_id,
            ..Self::default()
        }
    }

    /// Adds a chunk of the stream and returns the events that it completes.
    ///
    /// # Errors
    ///
    /// Fails if too much was received since the last event.
    pub(super) fn push(&mut self, chunk: Bytes) -> Result<Bytes, ReadError> {
        let events = self.buf.push(chunk)?;
        self.track_ids(&events);
        Ok(events)
    }

    /// Returns the id of the last complete event.
    pub(super) fn last_id(&self) -> Option<u64> {
        self.last_id
    }

    /// Returns the number of complete events forwarded.
    pub(super) fn count(&self) -> u64 {
        self.count
    }

    /// Returns whether no incomplete event is buffered.
    pub(super) fn is_at_boundary(&self) -> bool {
        self.buf.is_empty()
    }

    /// Discards a buffered incomplete event, which the next run sends again from its
    /// start.
    pub(super) fn discard_partial(&mut self) {
        self.buf.clear();
    }

    fn track_ids(&mut self, events: &[u8]) {
        for line in events.split(|&b| b == b'\n') {
            let Some(id) = line.strip_prefix(b"id:") else {
                continue;
            };
            let id = std::str::from_utf8(id)
                .ok()
                .and_then(|id| id.trim().parse().ok());
            self.last_id = id.or(self.last_id);
            self.count += 1;
        }
    }
}
