//! Roles of processes, as named in their certificates.

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

/// DNS name in the certificates of all TLS servers of a fleet.
pub(crate) const FLEET_NAME: &str = "sesamebeam.internal";

/// Maximum length of a DNS label in bytes (RFC 1035, section 2.3.4).
const MAX_LABEL_BYTES: usize = 63;

/// Role and name of a process, authenticated by its certificate.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Role {
    /// An entry, identified by its instance name.
    Entry(InstanceId),
    /// A control replica, identified by its node number.
    Control(NodeId),
    /// An operator, identified by name.
    Operator(SmolStr),
}

/// A role without its name.
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

    /// Returns the DNS name that represents the role in a certificate.
    pub(crate) fn dns_name(&self) -> String {
        format!("{self}.{FLEET_NAME}")
    }

    /// Extracts the role from a certificate whose chain is already verified.
    ///
    /// # Errors
    ///
    /// Returns an error if the certificate contains no DNS name of a role.
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
        let invalid_name = || KeyError::InvalidName(text.into());
        let (kind, name) = text.split_once('.').ok_or_else(invalid_name)?;
        if !is_dns_label(name) {
            return Err(invalid_name());
        }
        match kind {
            "entry" => Ok(Self::Entry(name.into())),
            "control" => Ok(Self::Control(name.parse().map_err(|_| invalid_name())?)),
            "operator" => Ok(Self::Operator(name.into())),
            _ => Err(invalid_name()),
        }
    }
}

fn is_dns_label(name: &str) -> bool {
    let is_allowed = |c: u8| c.is_ascii_lowercase() || c.is_ascii_digit() || c == b'-';
    (1..=MAX_LABEL_BYTES).contains(&name.len())
        && name.bytes().all(is_allowed)
        && !name.starts_with('-')
        && !name.ends_with('-')
}
