//! Connected entries, and the message queues of their connections.

use std::{
    collections::HashMap,
    sync::Arc, //
};

use bytes::Bytes;
use sesamebeam_core::gateway::{
    coordinator::{
        EntryId,
        Recipients, //
    },
    messages::ToEntry,
};
use tokio::sync::mpsc::{
    Sender,
    error::TrySendError, //
};

use crate::{
    exposition::{
        Exposition,
        MessageDirection, //
    },
    frames,
};

/// Connection of an entry.
#[derive(Debug)]
pub(super) struct EntryConnection {
    /// Distinguishes connections of the same entry: a connection with a broken network
    /// path ends seconds after the entry has opened another.
    pub(super) connection_id: u64,
    tx: Sender<Bytes>,
}

impl EntryConnection {
    pub(super) fn new(tx: Sender<Bytes>) -> Self {
        let connection_id = rand::random();
        Self { connection_id, tx }
    }

    /// Queues a message and returns `false` if the queue is full.
    fn push(&self, message: &Bytes) -> bool {
        !matches!(
            self.tx.try_send(message.clone()),
            Err(TrySendError::Full(_))
        )
    }
}

/// All connected entries.
#[derive(Debug)]
pub(super) struct Subscribers {
    connections: HashMap<EntryId, EntryConnection>,
    metrics: Arc<Exposition>,
}

impl Subscribers {
    /// Creates an empty set.
    pub(super) fn new(metrics: Arc<Exposition>) -> Self {
        Self {
            connections: HashMap::new(),
            metrics,
        }
    }

    /// Returns the number of connected entries.
    pub(super) fn count(&self) -> usize {
        self.connections.len()
    }

    /// Registers a connection, replacing an earlier one of the same entry.
    pub(super) fn connected(&mut self, entry_id: EntryId, connection: EntryConnection) {
        self.connections.insert(entry_id, connection);
    }

    /// Removes a connection that has ended, and returns whether the entry has no other.
    pub(super) fn disconnected(&mut self, entry_id: EntryId, connection_id: u64) -> bool {
        let current = self.connections.get(&entry_id);
        let is_last = current.is_none_or(|connection| connection.connection_id == connection_id);
        if is_last {
            self.connections.remove(&entry_id);
        }
        is_last
    }

    /// Queues a message for entries. An entry whose queue is full is disconnected and
    /// receives the missing state when it reconnects.
    pub(super) fn push(&mut self, to: &Recipients, message: &ToEntry) {
        let Some(bytes) = encode(message) else {
            return;
        };
        let receivers = match to {
            Recipients::Only(entry_ids) => entry_ids.len(),
            Recipients::All => self.connections.len(),
        };
        self.metrics.record_message(
            MessageDirection::ToEntries,
            message.kind(),
            bytes.len(),
            receivers,
        );
        match to {
            Recipients::Only(entry_ids) => {
                for entry_id in entry_ids {
                    let connection = self.connections.get(entry_id);
                    if connection.is_some_and(|connection| !connection.push(&bytes)) {
                        self.connections.remove(entry_id);
                    }
                }
            }
            Recipients::All => self
                .connections
                .retain(|_, connection| connection.push(&bytes)),
        }
    }
}

/// Encodes a message for entries.
pub(super) fn encode(message: &ToEntry) -> Option<Bytes> {
    let encoded = frames::encode(message);
    encoded
        .inspect_err(|e| log::error!(error:% = e; "message to entries cannot be encoded; not sent"))
        .ok()
}
