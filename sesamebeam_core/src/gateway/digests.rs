//! Digests for finding the differences between the directories of two processes.
//!
//! Backend servers are distributed over buckets by a hash of their id, and each bucket has
//! one digest. A few hundred bytes show that two directories are equal; otherwise only the
//! buckets that differ are exchanged. When directories were sent in full in both directions
//! on every new connection, 3,000 backend servers overloaded a group that had just started:
//! its 300 entries served no requests within 30 s.

use serde::{
    Deserialize,
    Serialize, //
};

use super::{
    directory::{
        IndexedServer,
        ServerId,
        ServerState, //
    },
    loads::{
        self,
        ServerKey, //
    },
};
use crate::policy::hash;

/// Number of leading bits of a key that select the bucket, and of following bits that
/// select the section.
const BUCKET_BITS: u32 = 6;
const SECTION_BITS: u32 = 6;

/// Number of bits of a key below those of the bucket, and below those of the section.
const BUCKET_SHIFT: u32 = ServerKey::BITS - BUCKET_BITS;
const SECTION_SHIFT: u32 = BUCKET_SHIFT - SECTION_BITS;

/// Number of buckets of a directory. The digests of all buckets take 320 bytes.
pub const BUCKETS: usize = 1 << BUCKET_BITS;

/// Number of sections of a bucket.
const SECTIONS: usize = 1 << SECTION_BITS;

/// Number of a section, unique within the directory.
pub type Section = u16;

/// Digests of the sections of one bucket. They narrow down a difference between two large
/// directories, so that the rest of the bucket need not be sent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SectionDigests {
    /// Number of the bucket.
    bucket: u8,
    sections: Vec<u32>,
}

impl SectionDigests {
    /// Computes the digests of the backend servers in a bucket.
    pub(super) fn compute(bucket: usize, servers: impl Iterator<Item = IndexedServer>) -> Self {
        let mut sections = vec![0; SECTIONS];
        for server in servers {
            let at = usize::from(section(server.key())) % SECTIONS;
            sections[at] ^= digest(&server);
        }
        Self {
            bucket: bucket as u8,
            sections,
        }
    }

    /// Returns the number of the bucket, or none if the sender uses another layout.
    pub(super) fn bucket(&self) -> Option<usize> {
        let bucket = usize::from(self.bucket);
        (bucket < BUCKETS && self.sections.len() == SECTIONS).then_some(bucket)
    }

    /// Iterates over the sections that differ.
    pub(super) fn differing(&self, other: &Self) -> impl Iterator<Item = Section> {
        let first = usize::from(self.bucket) * SECTIONS;
        let pairs = self.sections.iter().zip(&other.sections).enumerate();
        let differing = pairs.filter(|(_, (own, other))| own != other);
        differing.map(move |(at, _)| (first + at) as Section)
    }
}

/// Returns the first and last key of a bucket.
pub(super) fn bucket_keys(bucket: usize) -> (ServerKey, ServerKey) {
    let first = (bucket as ServerKey) << BUCKET_SHIFT;
    (first, first | (ServerKey::MAX >> BUCKET_BITS))
}

/// Returns the first and last key of a section.
pub(super) fn section_keys(section: Section) -> (ServerKey, ServerKey) {
    let first = ServerKey::from(section) << SECTION_SHIFT;
    (
        first,
        first | (ServerKey::MAX >> (BUCKET_BITS + SECTION_BITS)),
    )
}

fn section(key: ServerKey) -> Section {
    (key >> SECTION_SHIFT) as Section
}

/// Returns the digest of one backend server. It is 0 for one that is gone, because only one
/// of the two sides may still remember it.
fn digest(server: &IndexedServer) -> u32 {
    if server.state == ServerState::Gone {
        return 0;
    }
    let (incarnation, state) = (&server.incarnation, server.state as u8);
    let contents = format!(
        "{} {} {state} {}",
        incarnation.id, incarnation.started_at, server.version
    );
    hash::name(contents.as_bytes()) as u32
}

/// Set of buckets of a directory.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct BucketSet(u64);

impl BucketSet {
    /// All buckets.
    pub const ALL: Self = Self(u64::MAX);

    /// Returns whether the set is empty.
    pub fn is_empty(self) -> bool {
        self.0 == 0
    }

    /// Returns the buckets that are in both sets.
    pub(super) fn intersection(self, others: Self) -> Self {
        Self(self.0 & others.0)
    }

    /// Returns the buckets that are not in the other set.
    pub(super) fn difference(self, others: Self) -> Self {
        Self(self.0 & !others.0)
    }

    /// Returns whether a backend server belongs to one of the buckets.
    pub fn contains_server(self, id: &ServerId) -> bool {
        self.contains(bucket(loads::key(id)))
    }

    /// Returns whether the set contains a bucket.
    pub(super) fn contains(self, number: usize) -> bool {
        self.0 & (1 << number) != 0
    }

    /// Iterates over the numbers of the buckets.
    pub(super) fn iter(self) -> impl Iterator<Item = usize> {
        (0..BUCKETS).filter(move |&n| self.contains(n))
    }

    /// Creates a set from bucket numbers.
    pub(super) fn from_numbers(numbers: impl Iterator<Item = usize>) -> Self {
        Self(numbers.fold(0, |buckets, n| buckets | (1 << n)))
    }
}

/// Digests of all buckets of a directory; an empty bucket has digest 0.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Digests(Vec<u32>);

impl Default for Digests {
    fn default() -> Self {
        Self(vec![0; BUCKETS])
    }
}

impl Digests {
    /// Adds a backend server, or removes it if it was added before.
    pub(super) fn toggle(&mut self, server: &IndexedServer) {
        self.0[bucket(server.key())] ^= digest(server);
    }

    /// Returns one digest of the whole directory.
    pub fn combined(&self) -> u32 {
        let bytes: Vec<u8> = self.0.iter().flat_map(|d| d.to_le_bytes()).collect();
        hash::name(&bytes) as u32
    }

    /// Returns the buckets that differ between two directories: all of them if the other
    /// side uses another number of buckets.
    pub fn differing_buckets(&self, other: &Self) -> BucketSet {
        let differs = |n: &usize| self.0.get(*n) != other.0.get(*n);
        BucketSet::from_numbers((0..BUCKETS).filter(differs))
    }

    /// Returns the buckets that are not empty.
    pub fn non_empty_buckets(&self) -> BucketSet {
        self.differing_buckets(&Self::default())
    }
}

fn bucket(key: ServerKey) -> usize {
    (key >> BUCKET_SHIFT) as usize
}
