//! Hash functions that give the same result on every entry.

use xxhash_rust::xxh3::{
    xxh3_64,
    xxh3_64_with_seed, //
};

/// Maps a name to a point in [0, 1) that is the same on every entry.
///
/// `salt` makes decisions independent of each other. Without it, the sessions
/// that get one rollout first would get every rollout first.
pub fn unit(name: &[u8], salt: &str) -> f64 {
    let seed = xxh3_64_with_seed(salt.as_bytes(), 0);
    let bits = xxh3_64_with_seed(name, seed) >> 11;
    bits as f64 / (1u64 << 53) as f64
}

/// Returns the weight of `item` for `chooser` in rendezvous hashing. The items
/// with the highest weights are selected.
pub fn rendezvous(chooser: &str, item: &[u8]) -> u64 {
    xxh3_64_with_seed(item, xxh3_64_with_seed(chooser.as_bytes(), 0))
}

/// Hashes a name to a value that is the same on every entry.
pub fn name(name: &[u8]) -> u64 {
    xxh3_64(name)
}
