//! TLS credentials with which a process authenticates itself and verifies its peers.

use std::{
    path::Path,
    sync::Arc, //
};

use quinn::crypto::rustls::{
    QuicClientConfig,
    QuicServerConfig, //
};
use rustls::{
    ClientConfig, RootCertStore, ServerConfig,
    crypto::CryptoProvider,
    pki_types::{
        CertificateDer,
        PrivateKeyDer,
        pem::PemObject, //
    },
    server::WebPkiClientVerifier,
    version::TLS13,
};

use xxhash_rust::xxh3::xxh3_128;

use super::{
    CA_FILE,
    CERT_FILE,
    FleetCa,
    KEY_FILE,
    KeyError,
    Role,
    read_file, //
};

/// ALPN protocol name, so that connections to other QUIC services fail in the
/// handshake.
const ALPN: &[u8] = b"sesamebeam/1";

/// The CA certificate, and the certificate and private key of a process.
pub struct Credentials {
    role: Role,
    /// Digest of the fleet's CA certificate.
    fleet_digest: u128,
    roots: Arc<RootCertStore>,
    chain: Vec<CertificateDer<'static>>,
    key: PrivateKeyDer<'static>,
}

impl Clone for Credentials {
    fn clone(&self) -> Self {
        Self {
            role: self.role.clone(),
            fleet_digest: self.fleet_digest,
            roots: Arc::clone(&self.roots),
            chain: self.chain.clone(),
            key: self.key.clone_key(),
        }
    }
}

impl Credentials {
    /// Reads `ca.pem`, `cert.pem` and `key.pem` from a folder.
    ///
    /// # Errors
    ///
    /// Returns an error if a file is missing or does not contain the expected PEM item,
    /// or if the certificate contains no role.
    pub fn load(folder: &Path) -> Result<Self, KeyError> {
        let ca = folder.join(CA_FILE);
        let cert = folder.join(CERT_FILE);
        let key = folder.join(KEY_FILE);
        let ca_der = certificates(&read_file(&ca)?, &ca)?;
        let cert_der = certificates(&read_file(&cert)?, &cert)?;
        let key_der = private_key(&read_file(&key)?, &key)?;
        Self::new(ca_der, cert_der, key_der)
    }

    /// Issues credentials without writing files, for several roles within one process.
    ///
    /// # Errors
    ///
    /// Returns an error if the role's name cannot be used in a certificate.
    pub fn from_ca(ca: &FleetCa, role: &Role) -> Result<Self, KeyError> {
        let issued = ca.issue(role)?;
        let ca_der = certificates(ca.cert_pem(), Path::new(CA_FILE))?;
        let cert_der = certificates(&issued.cert_pem, Path::new(CERT_FILE))?;
        let key_der = private_key(&issued.key_pem, Path::new(KEY_FILE))?;
        Self::new(ca_der, cert_der, key_der)
    }

    /// Returns the role in the certificate.
    pub fn role(&self) -> &Role {
        &self.role
    }

    /// Returns the digest of the fleet's CA certificate, which identifies the fleet.
    pub fn fleet_digest(&self) -> u128 {
        self.fleet_digest
    }

    /// Returns the TLS configuration for connecting to peers.
    pub(crate) fn client_config(&self) -> Result<QuicClientConfig, KeyError> {
        let mut cfg = ClientConfig::builder_with_provider(provider())
            .with_protocol_versions(&[&TLS13])?
            .with_root_certificates(Arc::clone(&self.roots))
            .with_client_auth_cert(self.chain.clone(), self.key.clone_key())?;
        cfg.alpn_protocols = vec![ALPN.to_vec()];
        Ok(QuicClientConfig::try_from(cfg)?)
    }

    /// Returns the TLS configuration for accepting peers, which must present a
    /// certificate of the same fleet.
    pub(crate) fn server_config(&self) -> Result<QuicServerConfig, KeyError> {
        let verifier =
            WebPkiClientVerifier::builder_with_provider(Arc::clone(&self.roots), provider())
                .build()?;
        let mut cfg = ServerConfig::builder_with_provider(provider())
            .with_protocol_versions(&[&TLS13])?
            .with_client_cert_verifier(verifier)
            .with_single_cert(self.chain.clone(), self.key.clone_key())?;
        cfg.alpn_protocols = vec![ALPN.to_vec()];
        // A resumed session would keep an identity whose certificate has since
        // expired. A full handshake per connection is cheap enough.
        cfg.send_tls13_tickets = 0;
        Ok(QuicServerConfig::try_from(cfg)?)
    }

    fn new(
        ca: Vec<CertificateDer<'static>>,
        chain: Vec<CertificateDer<'static>>,
        key: PrivateKeyDer<'static>,
    ) -> Result<Self, KeyError> {
        let mut roots = RootCertStore::empty();
        let fleet_digest = ca.first().map_or(0, |cert| xxh3_128(cert));
        for cert in ca {
            roots.add(cert)?;
        }
        let own_cert = chain.first().ok_or(KeyError::NoRole)?;
        Ok(Self {
            role: Role::from_certificate(own_cert)?,
            fleet_digest,
            roots: Arc::new(roots),
            chain,
            key,
        })
    }
}

fn provider() -> Arc<CryptoProvider> {
    Arc::new(rustls::crypto::ring::default_provider())
}

fn certificates(pem: &str, path: &Path) -> Result<Vec<CertificateDer<'static>>, KeyError> {
    let certs: Vec<_> = CertificateDer::pem_slice_iter(pem.as_bytes())
        .collect::<Result<_, _>>()
        .unwrap_or_default();
    if certs.is_empty() {
        return Err(KeyError::MissingPemItem {
            path: path.to_owned(),
            expected: "certificate",
        });
    }
    Ok(certs)
}

fn private_key(pem: &str, path: &Path) -> Result<PrivateKeyDer<'static>, KeyError> {
    PrivateKeyDer::from_pem_slice(pem.as_bytes()).map_err(|_| KeyError::MissingPemItem {
        path: path.to_owned(),
        expected: "private key",
    })
}
