//! Connections of entries, and the messages that wait for them.

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
        Way, //
    },
    frames,
};

/// A connection of an entry.
#[derive(Debug)]
pub(super) struct EntryLink {
    /// Tells it from others of the same entry: one that has lost its path ends
    /// seconds after the entry has made another.
    pub(super) number: u64,
    tx: Sender<Bytes>,
}

impl EntryLink {
    pub(super) fn new(tx: Sender<Bytes>) -> Self {
        let number = rand::random();
        Self { number, tx }
    }

    /// Hands it a message and returns whether it keeps up.
    fn push(&self, message: &Bytes) -> bool {
        !matches!(
            self.tx.try_send(message.clone()),
            Err(TrySendError::Full(_))
        )
    }
}

/// All entries that are connected.
#[derive(Debug)]
pub(super) struct Subscribers {
    links: HashMap<EntryId, EntryLink>,
    meters: Arc<Exposition>,
}

impl Subscribers {
    /// Starts with none.
    pub(super) fn new(meters: Arc<Exposition>) -> Self {
        Self {
            links: HashMap::new(),
            meters,
        }
    }

    /// Returns how many there are.
    pub(super) fn count(&self) -> usize {
        self.links.len()
    }

    /// Takes a connection in place of any before it of the same entry.
    pub(super) fn connected(&mut self, life: EntryId, link: EntryLink) {
        self.links.insert(life, link);
    }

    /// Notes that a connection has ended, by its number, and returns whether the entry has
    /// no other.
    pub(super) fn ended(&mut self, life: EntryId, number: u64) -> bool {
        let held = self.links.get(&life);
        let is_last = held.is_none_or(|link| link.number == number);
        if is_last {
            self.links.remove(&life);
        }
        is_last
    }

    /// Hands a message to the connections of entries. One that does not keep up is cut, and
    /// told what it lacks when it comes back.
    pub(super) fn push(&mut self, to: &Recipients, message: &ToEntry) {
        let Some(bytes) = encode(message) else {
            return;
        };
        let receivers = match to {
            Recipients::Only(lives) => lives.len(),
            Recipients::All => self.links.len(),
        };
        self.meters
            .message(Way::ToEntries, message.kind(), bytes.len(), receivers);
        match to {
            Recipients::Only(lives) => {
                for life in lives {
                    let link = self.links.get(life);
                    if link.is_some_and(|link| !link.push(&bytes)) {
                        self.links.remove(life);
                    }
                }
            }
            Recipients::All => self.links.retain(|_, link| link.push(&bytes)),
        }
    }
}

/// Encodes a message for entries.
pub(super) fn encode(message: &ToEntry) -> Option<Bytes> {
    let encoded = frames::encode(message);
    encoded
        .inspect_err(|e| log::error!(error:% = e; "message to entries has no encoding"))
        .ok()
}
