//! Memory for request bodies that are being read or that their requests still need.
//!
//! All bodies share it. When it is taken, room is made by the bodies that use it worst: first
//! those that nothing arrives of any more, then the largest one. Ordinary requests therefore
//! pass a crowd of large or unfinished bodies, and what is refused has not run.

use std::{
    collections::BTreeMap,
    time::Duration, //
};

use crate::ids::MonoTime;

/// Time without a byte after which a body counts as stalled: a lost packet has long been sent
/// again by then.
const STALLED_AFTER: Duration = Duration::from_millis(1000);

/// Size up to which a body is small, in bytes, and the share of the memory that is kept for
/// small bodies, so that these are read while large ones that were read whole take the rest.
const MAX_SMALL: usize = 64 << 10;
const SMALL_SHARE: usize = 4;

/// Identifies a body.
pub type BodyId = u64;

/// Answer to a request for memory.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Room {
    /// The body has it, once these bodies are given up.
    Granted {
        /// Bodies that must be dropped.
        evicted: Vec<BodyId>,
    },
    /// There is none, and the body is given up.
    Refused,
}

#[derive(Clone, Debug)]
struct Body {
    bytes: usize,
    /// Whether it was read whole, so that its request may run.
    is_whole: bool,
    last_byte_at: MonoTime,
}

/// The memory for bodies, and who has it.
#[derive(Clone, Debug)]
pub struct BodyRoom {
    capacity: usize,
    taken: usize,
    bodies: BTreeMap<BodyId, Body>,
    next: BodyId,
}

impl BodyRoom {
    /// Creates room for this many bytes.
    pub fn new(capacity: usize) -> Self {
        Self {
            capacity,
            taken: 0,
            bodies: BTreeMap::new(),
            next: 0,
        }
    }

    /// Returns the number of bytes in all bodies.
    pub fn taken(&self) -> usize {
        self.taken
    }

    /// Adds a body that is going to be read.
    pub fn begin(&mut self, now: MonoTime) -> BodyId {
        let id = self.next;
        self.next += 1;
        let body = Body {
            bytes: 0,
            is_whole: false,
            last_byte_at: now,
        };
        self.bodies.insert(id, body);
        id
    }

    /// Records that bytes of a body arrived.
    pub fn record_bytes(&mut self, now: MonoTime, id: BodyId) {
        if let Some(body) = self.bodies.get_mut(&id) {
            body.last_byte_at = now;
        }
    }

    /// Enlarges the memory of a body to this many bytes. One that is refused has none any more.
    pub fn grow(&mut self, now: MonoTime, id: BodyId, bytes: usize) -> Room {
        let Some(held) = self.bodies.get(&id).map(|b| b.bytes) else {
            return Room::Refused;
        };
        let more = bytes.saturating_sub(held);
        let mut evicted = Vec::new();
        let most = match bytes <= MAX_SMALL {
            true => self.capacity,
            false => self.capacity - self.capacity / SMALL_SHARE,
        };
        while self.taken + more > most {
            match self.victim(now, id, bytes) {
                Some(victim) if victim != id => {
                    self.end(victim);
                    evicted.push(victim);
                }
                Some(_) | None => {
                    self.end(id);
                    return Room::Refused;
                }
            }
        }
        if let Some(body) = self.bodies.get_mut(&id) {
            body.bytes += more;
            self.taken += more;
        }
        Room::Granted { evicted }
    }

    /// Records that a body was read whole. It is not given up any more.
    pub fn complete(&mut self, id: BodyId) {
        if let Some(body) = self.bodies.get_mut(&id) {
            body.is_whole = true;
        }
    }

    /// Removes a body, whose memory others may have.
    pub fn end(&mut self, id: BodyId) {
        if let Some(body) = self.bodies.remove(&id) {
            self.taken -= body.bytes;
        }
    }

    /// Returns the body to give up for one that needs this many bytes, which may be itself.
    fn victim(&self, now: MonoTime, id: BodyId, bytes: usize) -> Option<BodyId> {
        let others = self.bodies.iter();
        let others = others.filter(|(other, b)| **other != id && !b.is_whole && b.bytes > 0);
        let is_stalled = |b: &Body| now.saturating_sub(b.last_byte_at) >= STALLED_AFTER;
        let stalled = others.clone().filter(|(_, b)| is_stalled(b));
        let largest = stalled.max_by_key(|(_, b)| b.bytes).or_else(|| {
            others
                .max_by_key(|(_, b)| b.bytes)
                .filter(|(_, b)| b.bytes >= bytes)
        });
        largest.map(|(other, _)| *other)
    }
}
