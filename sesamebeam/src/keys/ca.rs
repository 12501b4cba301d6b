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
    read_file,
    role::FLEET_NAME,
    write_private,
    write_public, //
};

/// Validity of the CA certificate in years.
const CA_VALIDITY_YEARS: i32 = 10;

/// Validity of a process's certificate in years.
const CERT_VALIDITY_YEARS: i32 = 2;

/// Certificate authority that issues the certificates of all processes of a fleet.
pub struct FleetCa {
    cert_pem: String,
    key_pem: String,
    issuer: Issuer<'static, KeyPair>,
}

/// A certificate and its private key, both PEM-encoded.
#[derive(Clone)]
pub struct IssuedCert {
    /// PEM-encoded certificate.
    pub cert_pem: String,
    /// PEM-encoded private key.
    pub key_pem: String,
}

impl FleetCa {
    /// Generates a CA with a new key.
    ///
    /// # Errors
    ///
    /// Returns an error if the key or the certificate cannot be generated.
    pub fn generate(fleet: &str) -> Result<Self, KeyError> {
        let key = KeyPair::generate()?;
        let mut params = CertificateParams::new(Vec::new())?;
        params
            .distinguished_name
            .push(DnType::CommonName, format!("{fleet} fleet CA"));
        params.is_ca = IsCa::Ca(BasicConstraints::Constrained(0));
        params.key_usages = vec![KeyUsagePurpose::KeyCertSign, KeyUsagePurpose::CrlSign];
        set_validity(&mut params, CA_VALIDITY_YEARS);
        let cert_pem = params.self_signed(&key)?.pem();
        Self::from_pem(cert_pem, key.serialize_pem())
    }

    /// Reads a CA from a folder.
    ///
    /// # Errors
    ///
    /// Returns an error if a file is missing or contains no key or certificate.
    pub fn load(folder: &Path) -> Result<Self, KeyError> {
        let cert_pem = read_file(&folder.join(CA_FILE))?;
        let key_pem = read_file(&folder.join(CA_KEY_FILE))?;
        Self::from_pem(cert_pem, key_pem)
    }

    /// Writes the CA to a folder. Only the owner can read the key file.
    ///
    /// # Errors
    ///
    /// Returns an error if the folder already contains a CA or cannot be written.
    pub fn save(&self, folder: &Path) -> Result<(), KeyError> {
        write_private(&folder.join(CA_KEY_FILE), &self.key_pem)?;
        write_public(&folder.join(CA_FILE), &self.cert_pem)
    }

    /// Returns the PEM-encoded CA certificate.
    pub fn cert_pem(&self) -> &str {
        &self.cert_pem
    }

    /// Issues a certificate for a process.
    ///
    /// An operator's certificate is valid for client authentication only, so that it
    /// cannot be used to impersonate a replica or an entry.
    ///
    /// # Errors
    ///
    /// Returns an error if the role's name cannot be used in a certificate.
    pub fn issue(&self, role: &Role) -> Result<IssuedCert, KeyError> {
        // A role that was constructed without parsing may contain an invalid name.
        let role: Role = role.to_string().parse()?;
        let mut dns_names = vec![role.dns_name()];
        let mut usages = vec![ExtendedKeyUsagePurpose::ClientAuth];
        if !matches!(role, Role::Operator(_)) {
            dns_names.push(FLEET_NAME.to_owned());
            usages.push(ExtendedKeyUsagePurpose::ServerAuth);
        }
        let key = KeyPair::generate()?;
        let mut params = CertificateParams::new(dns_names)?;
        params
            .distinguished_name
            .push(DnType::CommonName, role.to_string());
        params.key_usages = vec![KeyUsagePurpose::DigitalSignature];
        params.extended_key_usages = usages;
        params.use_authority_key_identifier_extension = true;
        set_validity(&mut params, CERT_VALIDITY_YEARS);
        let cert = params.signed_by(&key, &self.issuer)?;
        Ok(IssuedCert {
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

impl IssuedCert {
    /// Writes the certificate, its key and the CA certificate to the key folder of a
    /// process.
    ///
    /// # Errors
    ///
    /// Returns an error if the folder already contains a certificate or cannot be written.
    pub fn save(&self, folder: &Path, ca: &FleetCa) -> Result<(), KeyError> {
        write_private(&folder.join(KEY_FILE), &self.key_pem)?;
        write_public(&folder.join(CERT_FILE), &self.cert_pem)?;
        write_public(&folder.join(CA_FILE), &ca.cert_pem)
    }
}

/// Sets the validity period. It starts with the previous year, so that an instance
/// whose clock is slow accepts a new certificate.
fn set_validity(params: &mut CertificateParams, years: i32) {
    let year = current_year();
    params.not_before = rcgen::date_time_ymd(year - 1, 1, 1);
    params.not_after = rcgen::date_time_ymd(year + years, 12, 31);
}

fn current_year() -> i32 {
    // An RFC 3339 timestamp starts with the four-digit year.
    let text = humantime::format_rfc3339_seconds(SystemTime::now()).to_string();
    text.get(..4).and_then(|y| y.parse().ok()).unwrap_or(2026)
}
