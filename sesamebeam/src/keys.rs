//! Keys and certificates: the fleet's CA, a certificate for each process, and
//! the secrets of callers, announcements and session tokens.

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
        Issued, //
    },
    credentials::Credentials,
    role::{
        Role,
        RoleKind, //
    },
    secret::{
        Secret,
        hash_of, //
    },
};

/// File with the certificate of the fleet's CA.
pub const CA_FILE: &str = "ca.pem";

/// File with the private key of the fleet's CA; never copied to an instance.
pub const CA_KEY_FILE: &str = "ca.key.pem";

/// File with the certificate of a process.
pub const CERT_FILE: &str = "cert.pem";

/// File with the private key of a process.
pub const KEY_FILE: &str = "key.pem";

/// Why a key or certificate could not be made, read or written.
#[derive(Debug, Error)]
pub enum KeyError {
    /// A file could not be read.
    #[error("cannot read {path}: {source}")]
    Read {
        /// File that was to be read.
        path: PathBuf,
        /// What the system said.
        source: io::Error,
    },
    /// A file could not be written.
    #[error("cannot write {path}: {source}")]
    Write {
        /// File that was to be written.
        path: PathBuf,
        /// What the system said.
        source: io::Error,
    },
    /// A file holds no key or certificate.
    #[error("{path} holds no {wanted} in PEM form")]
    Pem {
        /// File that was read.
        path: PathBuf,
        /// What it should hold.
        wanted: &'static str,
    },
    /// A name cannot stand in a certificate.
    #[error("`{0}` is no name for a certificate: 1 to 63 of a-z, 0-9 and `-`, not at an end")]
    Name(SmolStr),
    /// A certificate names no role of ours.
    #[error("certificate names no role of this system")]
    NoRole,
    /// A certificate could not be made.
    #[error("cannot make a certificate: {0}")]
    Make(#[from] rcgen::Error),
    /// The credentials do not fit together.
    #[error("credentials are not usable: {0}")]
    Unusable(#[from] rustls::Error),
    /// The CA certificate cannot vouch for peers.
    #[error("CA certificate is not usable: {0}")]
    Verifier(#[from] rustls::server::VerifierBuilderError),
    /// The TLS version is not available.
    #[error("TLS 1.3 is not available for QUIC")]
    NoInitialCipher(#[from] quinn::crypto::rustls::NoInitialCipherSuite),
}

/// Writes a file that only its owner can read, refusing to replace one.
///
/// # Errors
///
/// Fails if the file exists or cannot be written.
pub fn write_private(path: &Path, text: &str) -> Result<(), KeyError> {
    write(path, text, 0o600)
}

/// Writes a file that everybody can read, refusing to replace one.
///
/// # Errors
///
/// Fails if the file exists or cannot be written.
pub fn write_public(path: &Path, text: &str) -> Result<(), KeyError> {
    write(path, text, 0o644)
}

fn write(path: &Path, text: &str, mode: u32) -> Result<(), KeyError> {
    let fault = |source| KeyError::Write {
        path: path.to_owned(),
        source,
    };
    let mut f = fs::OpenOptions::new()
        .write(true)
        .create_new(true)
        .mode(mode)
        .open(path)
        .map_err(fault)?;
    f.write_all(text.as_bytes()).map_err(fault)?;
    f.sync_all().map_err(fault)
}

fn read(path: &Path) -> Result<String, KeyError> {
    fs::read_to_string(path).map_err(|source| KeyError::Read {
        path: path.to_owned(),
        source,
    })
}
