//! The fleet's certificate authority.

use std::{
    path::Path,
    time::SystemTime, //
};

use rcgen::{
    BasicConstraints,
    CertificateParams,
    DnType,
    ExtendedKeyUsagePurpose,
    IsCa,
    Issuer,
    KeyPair,
    KeyUsagePurpose, //
};

use super::{
    CA_FILE,
    CA_KEY_FILE,
    CERT_FILE,
    KEY_FILE,
    KeyError,
    Role,
    read,
    role::FLEET_NAME,
    write_private,
    write_public, //
};

/// Years for which the CA's certificate is valid.
const CA_YEARS: i32 = 10;

/// Years for which a process's certificate is valid.
const CERT_YEARS: i32 = 2;

/// The authority that vouches for every process of one fleet.
pub struct FleetCa {
    cert_pem: String,
    key_pem: String,
    issuer: Issuer<'static, KeyPair>,
}

/// A certificate with its private key, both in PEM form.
#[derive(Clone)]
pub struct Issued {
    /// The certificate.
    pub cert_pem: String,
    /// The private key.
    pub key_pem: String,
}

impl FleetCa {
    /// Makes an authority with a fresh key.
    ///
    /// # Errors
    ///
    /// Fails if no key can be made.
    pub fn make(fleet: &str) -> Result<Self, KeyError> {
        let key = KeyPair::generate()?;
        let mut params = CertificateParams::new(Vec::new())?;
        params
            .distinguished_name
            .push(DnType::CommonName, format!("{fleet} fleet CA"));
        params.is_ca = IsCa::Ca(BasicConstraints::Constrained(0));
        params.key_usages = vec![KeyUsagePurpose::KeyCertSign, KeyUsagePurpose::CrlSign];
        set_validity(&mut params, CA_YEARS);
        let cert_pem = params.self_signed(&key)?.pem();
        Self::from_pem(cert_pem, key.serialize_pem())
    }

    /// Reads an authority from its folder.
    ///
    /// # Errors
    ///
    /// Fails if a file is missing or holds no key or certificate.
    pub fn load(folder: &Path) -> Result<Self, KeyError> {
        let cert_pem = read(&folder.join(CA_FILE))?;
        let key_pem = read(&folder.join(CA_KEY_FILE))?;
        Self::from_pem(cert_pem, key_pem)
    }

    /// Writes the authority into a folder, the key readable only by its owner.
    ///
    /// # Errors
    ///
    /// Fails if the folder has an authority already or cannot be written.
    pub fn save(&self, folder: &Path) -> Result<(), KeyError> {
        write_private(&folder.join(CA_KEY_FILE), &self.key_pem)?;
        write_public(&folder.join(CA_FILE), &self.cert_pem)
    }

    /// Returns the authority's certificate in PEM form.
    pub fn cert_pem(&self) -> &str {
        &self.cert_pem
    }

    /// Issues a certificate for a process.
    ///
    /// An operator's certificate serves for clients only, so that nobody can
    /// pose as a replica or an entry with it.
    ///
    /// # Errors
    ///
    /// Fails if the role's name cannot stand in a certificate.
    pub fn issue(&self, role: &Role) -> Result<Issued, KeyError> {
        // A role that was not parsed may hold any text.
        let role: Role = role.to_string().parse()?;
        let mut names = vec![role.dns_name()];
        let mut uses = vec![ExtendedKeyUsagePurpose::ClientAuth];
        if !matches!(role, Role::Operator(_)) {
            names.push(FLEET_NAME.to_owned());
            uses.push(ExtendedKeyUsagePurpose::ServerAuth);
        }
        let key = KeyPair::generate()?;
        let mut params = CertificateParams::new(names)?;
        params
            .distinguished_name
            .push(DnType::CommonName, role.to_string());
        params.key_usages = vec![KeyUsagePurpose::DigitalSignature];
        params.extended_key_usages = uses;
        params.use_authority_key_identifier_extension = true;
        set_validity(&mut params, CERT_YEARS);
        let cert = params.signed_by(&key, &self.issuer)?;
        Ok(Issued {
            cert_pem: cert.pem(),
            key_pem: key.serialize_pem(),
        })
    }

    fn from_pem(cert_pem: String, key_pem: String) -> Result<Self, KeyError> {
        let key = KeyPair::from_pem(&key_pem)?;
        let issuer = Issuer::from_ca_cert_pem(&cert_pem, key)?;
        Ok(Self {
            cert_pem,
            key_pem,
            issuer,
        })
    }
}

impl Issued {
    /// Writes the certificate, its key and the authority's certificate into the
    /// key folder of a process.
    ///
    /// # Errors
    ///
    /// Fails if the folder has a certificate already or cannot be written.
    pub fn save(&self, folder: &Path, ca: &FleetCa) -> Result<(), KeyError> {
        write_private(&folder.join(KEY_FILE), &self.key_pem)?;
        write_public(&folder.join(CERT_FILE), &self.cert_pem)?;
        write_public(&folder.join(CA_FILE), &ca.cert_pem)
    }
}

/// Sets the validity from the start of the last year on, so that an instance
/// whose clock is behind accepts a fresh certificate.
fn set_validity(params: &mut CertificateParams, years: i32) {
    let year = current_year();
    params.not_before = rcgen::date_time_ymd(year - 1, 1, 1);
    params.not_after = rcgen::date_time_ymd(year + years, 12, 31);
}

fn current_year() -> i32 {
    // RFC 3339 puts the year into the first four characters.
    let text = humantime::format_rfc3339_seconds(SystemTime::now()).to_string();
    text.get(..4).and_then(|y| y.parse().ok()).unwrap_or(2026)
}
