//! Random secrets: keys of organisations, of announcements, of session tokens.

use std::fmt::Write;

use rand::Rng;
use sha2::{
    Digest,
    Sha256, //
};
use smol_str::SmolStr;

/// Random bytes in a secret.
const SECRET_BYTES: usize = 32;

/// A random secret as text: a prefix that names its use, then hex digits.
#[derive(Clone)]
pub struct Secret {
    text: String,
}

impl Secret {
    /// Makes a secret from the operating system's random numbers.
    ///
    /// The prefix lets a scanner of repositories and logs recognise it.
    pub fn make(prefix: &str) -> Self {
        let mut buf = [0_u8; SECRET_BYTES];
        rand::rng().fill_bytes(&mut buf);
        Self {
            text: format!("{prefix}_{}", hex(&buf)),
        }
    }

    /// Returns the secret itself.
    pub fn reveal(&self) -> &str {
        &self.text
    }

    /// Returns the hex SHA-256 under which the secret is stored.
    pub fn hash(&self) -> SmolStr {
        hash_of(&self.text)
    }
}

/// Returns the hex SHA-256 of a key.
///
/// A plain hash is enough, because a key has 256 random bits: there is no list
/// of likely keys to try.
pub fn hash_of(key: &str) -> SmolStr {
    hex(&Sha256::digest(key.as_bytes())).into()
}

fn hex(buf: &[u8]) -> String {
    buf.iter().fold(String::new(), |mut text, byte| {
        let _ = write!(text, "{byte:02x}");
        text
    })
}
