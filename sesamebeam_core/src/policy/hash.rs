//! Hashes that every entry computes alike.

use xxhash_rust::xxh3::{
    xxh3_64,
    xxh3_64_with_seed, //
};

/// Maps a name to a point in [0, 1), the same at every entry.
///
/// `salt` keeps decisions apart, so that the sessions that see one roll-out
/// first are not the ones that see every roll-out first.
pub fn unit(name: &[u8], salt: &str) -> f64 {
    let seed = xxh3_64_with_seed(salt.as_bytes(), 0);
    let bits = xxh3_64_with_seed(name, seed) >> 11;
    bits as f64 / (1u64 << 53) as f64
}

/// Weight of `item` for `chooser` in rendezvous hashing; the highest weights win.
pub fn rendezvous(chooser: &str, item: &[u8]) -> u64 {
    xxh3_64_with_seed(item, xxh3_64_with_seed(chooser.as_bytes(), 0))
}

/// Hashes a name, the same at every entry.
pub fn name(name: &[u8]) -> u64 {
    xxh3_64(name)
}
