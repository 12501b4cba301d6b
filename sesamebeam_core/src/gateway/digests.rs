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

use super::{
    directory::{
        Indexed,
        ServerId,
        ServerState, //
    },
    loads::{
        self,
        ServerKey, //
    },
};
use crate::policy::hash;

/// Highest bits of a key, which tell its part, and the next ones, which tell its section.
const PART_BITS: u32 = 6;
const SECTION_BITS: u32 = 6;

/// Bits of a key below those that tell its part, and below those that tell its section.
const PART_SHIFT: u32 = ServerKey::BITS - PART_BITS;
const SECTION_SHIFT: u32 = PART_SHIFT - SECTION_BITS;

/// Parts of a directory. The digests of all take 320 bytes.
pub const PARTS: usize = 1 << PART_BITS;

/// Sections of a part.
const SECTIONS: usize = 1 << SECTION_BITS;

/// A section of the directory, by its number among all.
pub type Section = u16;

/// Digests of the sections of one part, by which a difference between two large
/// directories is told without the rest of its part.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PartDetail {
    /// Number of the part.
    part: u8,
    sections: Vec<u32>,
}

impl PartDetail {
    /// Makes the digests of what belongs to a part.
    pub(super) fn of(part: usize, servers: impl Iterator<Item = Indexed>) -> Self {
        let mut sections = vec![0; SECTIONS];
        for server in servers {
            let at = usize::from(section(server.key())) % SECTIONS;
            sections[at] ^= digest(&server);
        }
        Self {
            part: part as u8,
            sections,
        }
    }

    /// Returns the number of the part; none if the sender has others.
    pub(super) fn part(&self) -> Option<usize> {
        let part = usize::from(self.part);
        (part < PARTS && self.sections.len() == SECTIONS).then_some(part)
    }

    /// Iterates over the sections in which two differ.
    pub(super) fn differing(&self, other: &Self) -> impl Iterator<Item = Section> {
        let first = usize::from(self.part) * SECTIONS;
        let pairs = self.sections.iter().zip(&other.sections).enumerate();
        let differing = pairs.filter(|(_, (own, other))| own != other);
        differing.map(move |(at, _)| (first + at) as Section)
    }
}

/// Returns the first and the last key of a part.
pub(super) fn keys_of_part(part: usize) -> (ServerKey, ServerKey) {
    let first = (part as ServerKey) << PART_SHIFT;
    (first, first | (ServerKey::MAX >> PART_BITS))
}

/// Returns the first and the last key of a section.
pub(super) fn keys_of_section(section: Section) -> (ServerKey, ServerKey) {
    let first = ServerKey::from(section) << SECTION_SHIFT;
    (
        first,
        first | (ServerKey::MAX >> (PART_BITS + SECTION_BITS)),
    )
}

fn section(key: ServerKey) -> Section {
    (key >> SECTION_SHIFT) as Section
}

/// Returns the digest of one backend server. One that has left has none: one side may have
/// forgotten it.
fn digest(server: &Indexed) -> u32 {
    if server.state == ServerState::Gone {
        return 0;
    }
    let (life, state) = (&server.life, server.state as u8);
    let held = format!("{} {} {state} {}", life.id, life.born, server.version);
    hash::name(held.as_bytes()) as u32
}

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

    /// Returns those that are in both.
    pub(super) fn and(self, others: Self) -> Self {
        Self(self.0 & others.0)
    }

    /// Returns them without some others.
    pub(super) fn without(self, others: Self) -> Self {
        Self(self.0 & !others.0)
    }

    /// Returns whether a backend server belongs to one of them.
    pub fn has(self, id: &ServerId) -> bool {
        self.has_part(part(loads::key(id)))
    }

    /// Returns whether a part is one of them, by its number.
    pub(super) fn has_part(self, number: usize) -> bool {
        self.0 & (1 << number) != 0
    }

    /// Iterates over the numbers of the parts.
    pub(super) fn numbers(self) -> impl Iterator<Item = usize> {
        (0..PARTS).filter(move |&n| self.has_part(n))
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
    /// Adds a backend server, or takes it out again.
    pub(super) fn toggle(&mut self, server: &Indexed) {
        self.0[part(server.key())] ^= digest(server);
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

fn part(key: ServerKey) -> usize {
    (key >> PART_SHIFT) as usize
}
