//! Digests by which two processes find what one knows of backend servers and the
//! other does not.
//!
//! Backend servers are spread over parts by their names, and each part has one
//! digest. Two directories that are alike show so by some hundred bytes; of others
//! only the parts that differ are told. Told in full on every new connection, both
//! ways, 3,000 backend servers overran a group that had just started: its 300 entries
//! served nobody within 30 s.

use serde::{
    Deserialize,
    Serialize, //
};

use super::directory::{
    Indexed,
    ServerId,
    ServerState, //
};
use crate::policy::hash;

/// Parts of a directory. One difference among 10,000 backend servers costs the
/// 160 of its part, and the digests themselves 320 bytes.
pub const PARTS: usize = 64;

/// Some parts of a directory.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Parts(u64);

impl Parts {
    /// All parts.
    pub const ALL: Self = Self(u64::MAX);

    /// Returns whether there are none.
    pub fn is_empty(self) -> bool {
        self.0 == 0
    }

    /// Returns whether a backend server belongs to one of them.
    pub fn has(self, id: &ServerId) -> bool {
        self.has_part(part(id))
    }

    /// Returns whether a part is one of them, by its number.
    pub(super) fn has_part(self, number: usize) -> bool {
        self.0 & (1 << number) != 0
    }

    /// Collects parts by their numbers.
    pub(super) fn these(numbers: impl Iterator<Item = usize>) -> Self {
        Self(numbers.fold(0, |parts, n| parts | (1 << n)))
    }
}

/// Digests of all parts of a directory; those of an empty one are 0.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Digests(Vec<u32>);

impl Default for Digests {
    fn default() -> Self {
        Self(vec![0; PARTS])
    }
}

impl Digests {
    /// Adds a backend server, or takes it out again. One that has left is in none: one
    /// side may have forgotten it.
    pub(super) fn toggle(&mut self, server: &Indexed) {
        if server.state != ServerState::Gone {
            let (life, state) = (&server.life, server.state as u8);
            let held = format!("{} {} {state} {}", life.id, life.born, server.version);
            self.0[part(&life.id)] ^= hash::name(held.as_bytes()) as u32;
        }
    }

    /// Returns one digest of all.
    pub fn whole(&self) -> u32 {
        let bytes: Vec<u8> = self.0.iter().flat_map(|d| d.to_le_bytes()).collect();
        hash::name(&bytes) as u32
    }

    /// Returns the parts in which two directories differ. All do if the other
    /// sender spreads them otherwise.
    pub fn differing(&self, other: &Self) -> Parts {
        let differs = |n: &usize| self.0.get(*n) != other.0.get(*n);
        Parts::these((0..PARTS).filter(differs))
    }

    /// Returns the parts with anything in them.
    pub fn filled(&self) -> Parts {
        self.differing(&Self::default())
    }
}

fn part(id: &ServerId) -> usize {
    hash::name(id.as_bytes()) as usize % PARTS
}
