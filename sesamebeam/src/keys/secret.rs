//! Random secrets: organisation keys, announcement keys and session-token secrets.

use std::fmt::Write;

use rand::Rng;
use sha2::{
    Digest,
    Sha256, //
};
use smol_str::SmolStr;

/// Number of random bytes in a secret.
const SECRET_BYTES: usize = 32;

/// A random secret in text form: a prefix that identifies its use, followed by hex
/// digits.
#[derive(Clone)]
pub struct Secret {
    text: String,
}

impl Secret {
    /// Generates a secret with the thread-local random number generator, which the
    /// operating system seeds.
    ///
    /// The prefix lets secret scanners recognise it in repositories and logs.
    pub fn generate(prefix: &str) -> Self {
        let mut buf = [0_u8; SECRET_BYTES];
        rand::rng().fill_bytes(&mut buf);
        Self {
            text: format!("{prefix}_{}", hex(&buf)),
        }
    }

    /// Returns the secret in plain text.
    pub fn reveal(&self) -> &str {
        &self.text
    }

    /// Returns the hex SHA-256 under which the secret is stored.
    pub fn hash(&self) -> SmolStr {
        sha256_hex(&self.text)
    }
}

/// Returns the hex SHA-256 of a key.
///
/// An unsalted fast hash is sufficient: a key has 256 random bits, so a dictionary
/// attack is not possible.
pub fn sha256_hex(key: &str) -> SmolStr {
    hex(&Sha256::digest(key.as_bytes())).into()
}

fn hex(buf: &[u8]) -> String {
    buf.iter().fold(String::new(), |mut text, byte| {
        let _ = write!(text, "{byte:02x}");
        text
    })
}
