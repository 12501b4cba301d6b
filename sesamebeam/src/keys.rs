//! Keys and certificates: the fleet's CA, the certificates of processes, and the
//! secrets for callers, announcements and session tokens.

mod ca;
mod credentials;
mod role;
mod secret;

use std::{
    fs,
    io::{
        self,
        Write, //
    },
    os::unix::fs::OpenOptionsExt,
    path::{
        Path,
        PathBuf, //
    },
};

use smol_str::SmolStr;
use thiserror::Error;

pub(crate) use self::role::FLEET_NAME;
pub use self::{
    ca::{
        FleetCa,
        IssuedCert, //
    },
    credentials::Credentials,
    role::{
        Role,
        RoleKind, //
    },
    secret::{
        Secret,
        sha256_hex, //
    },
};

/// File name of the fleet CA's certificate.
pub const CA_FILE: &str = "ca.pem";

/// File name of the fleet CA's private key, which is never copied to an instance.
pub const CA_KEY_FILE: &str = "ca.key.pem";

/// File name of a process's certificate.
pub const CERT_FILE: &str = "cert.pem";

/// File name of a process's private key.
pub const KEY_FILE: &str = "key.pem";

/// Error when generating, reading, writing or using a key or certificate.
#[derive(Debug, Error)]
pub enum KeyError {
    /// A file could not be read.
    #[error("cannot read {path}: {source}")]
    Read {
        /// Path of the file.
        path: PathBuf,
        /// Underlying I/O error.
        source: io::Error,
    },
    /// A file could not be written.
    #[error("cannot write {path}: {source}")]
    Write {
        /// Path of the file.
        path: PathBuf,
        /// Underlying I/O error.
        source: io::Error,
    },
    /// A file does not contain the expected PEM item.
    #[error("{path} contains no PEM-encoded {expected}")]
    MissingPemItem {
        /// Path of the file.
        path: PathBuf,
        /// Item that the file must contain.
        expected: &'static str,
    },
    /// A role name cannot be used in a certificate.
    #[error("`{0}` is no name for a certificate: 1 to 63 of a-z, 0-9 and `-`, not at an end")]
    InvalidName(SmolStr),
    /// A certificate contains no DNS name of a role.
    #[error("certificate contains no DNS name of a known role")]
    NoRole,
    /// A key or certificate could not be generated or parsed.
    #[error("cannot generate or parse a key or certificate: {0}")]
    Certificate(#[from] rcgen::Error),
    /// The TLS library rejected the credentials, such as a key that does not match
    /// the certificate.
    #[error("invalid credentials: {0}")]
    InvalidCredentials(#[from] rustls::Error),
    /// The CA certificate cannot be used to verify peers.
    #[error("cannot verify peers with the CA certificate: {0}")]
    Verifier(#[from] rustls::server::VerifierBuilderError),
    /// The crypto provider lacks the cipher suite that QUIC requires.
    #[error("crypto provider lacks the TLS 1.3 cipher suite required by QUIC")]
    NoInitialCipher(#[from] quinn::crypto::rustls::NoInitialCipherSuite),
}

/// Creates a file that only its owner can read.
///
/// # Errors
///
/// Returns an error if the file already exists or cannot be written.
pub fn write_private(path: &Path, text: &str) -> Result<(), KeyError> {
    create_file(path, text, 0o600)
}

/// Creates a file that all users can read.
///
/// # Errors
///
/// Returns an error if the file already exists or cannot be written.
pub fn write_public(path: &Path, text: &str) -> Result<(), KeyError> {
    create_file(path, text, 0o644)
}

fn create_file(path: &Path, text: &str, mode: u32) -> Result<(), KeyError> {
    let write_error = |source| KeyError::Write {
        path: path.to_owned(),
        source,
    };
    let mut file = fs::OpenOptions::new()
        .write(true)
        .create_new(true)
        .mode(mode)
        .open(path)
        .map_err(write_error)?;
    file.write_all(text.as_bytes()).map_err(write_error)?;
    file.sync_all().map_err(write_error)
}

fn read_file(path: &Path) -> Result<String, KeyError> {
    fs::read_to_string(path).map_err(|source| KeyError::Read {
        path: path.to_owned(),
        source,
    })
}
