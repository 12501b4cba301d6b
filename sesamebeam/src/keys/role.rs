//! The role and name that a certificate vouches for.

use std::{
    fmt,
    str::FromStr, //
};

use rustls::pki_types::CertificateDer;
use sesamebeam_core::ids::{
    InstanceId,
    NodeId, //
};
use smol_str::SmolStr;

use super::KeyError;

/// Name under which every process of a fleet can be reached as a TLS server.
pub(crate) const FLEET_NAME: &str = "sesamebeam.internal";

/// Longest DNS label in bytes (RFC 1035, section 2.3.4).
const MAX_LABEL: usize = 63;

/// Who a peer is, out of its certificate.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Role {
    /// An entry, by its instance name.
    Entry(InstanceId),
    /// A control replica, by its number.
    Control(NodeId),
    /// An operator, by name.
    Operator(SmolStr),
}

/// Kind of a role, without the name.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum RoleKind {
    /// An entry.
    Entry,
    /// A control replica.
    Control,
    /// An operator.
    Operator,
}

impl Role {
    /// Returns the kind of the role.
    pub fn kind(&self) -> RoleKind {
        match self {
            Self::Entry(_) => RoleKind::Entry,
            Self::Control(_) => RoleKind::Control,
            Self::Operator(_) => RoleKind::Operator,
        }
    }

    /// Returns the DNS name that stands for the role in a certificate.
    pub(crate) fn dns_name(&self) -> String {
        format!("{self}.{FLEET_NAME}")
    }

    /// Reads the role out of a certificate whose chain was verified before.
    ///
    /// # Errors
    ///
    /// Fails if the certificate names no role of ours.
    pub(crate) fn from_certificate(cert: &CertificateDer<'_>) -> Result<Self, KeyError> {
        let cert = webpki::EndEntityCert::try_from(cert).map_err(|_| KeyError::NoRole)?;
        cert.valid_dns_names()
            .filter_map(|name| name.strip_suffix(FLEET_NAME)?.strip_suffix('.'))
            .find_map(|name| name.parse().ok())
            .ok_or(KeyError::NoRole)
    }
}

impl fmt::Display for Role {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Entry(name) => write!(f, "entry.{name}"),
            Self::Control(node) => write!(f, "control.{node}"),
            Self::Operator(name) => write!(f, "operator.{name}"),
        }
    }
}

impl FromStr for Role {
    type Err = KeyError;

    fn from_str(text: &str) -> Result<Self, KeyError> {
        let fault = || KeyError::Name(text.into());
        let (kind, name) = text.split_once('.').ok_or_else(fault)?;
        if !is_label(name) {
            return Err(fault());
        }
        match kind {
            "entry" => Ok(Self::Entry(name.into())),
            "control" => Ok(Self::Control(name.parse().map_err(|_| fault())?)),
            "operator" => Ok(Self::Operator(name.into())),
            _ => Err(fault()),
        }
    }
}

fn is_label(name: &str) -> bool {
    let plain = |c: u8| c.is_ascii_lowercase() || c.is_ascii_digit() || c == b'-';
    (1..=MAX_LABEL).contains(&name.len())
        && name.bytes().all(plain)
        && !name.starts_with('-')
        && !name.ends_with('-')
}
