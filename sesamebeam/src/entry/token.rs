//! Session tokens, which keep a caller on its version without a look-up.

use base64::{
    Engine,
    engine::general_purpose::URL_SAFE_NO_PAD, //
};
use hmac::{
    Hmac,
    Mac, //
};
use sesamebeam_core::entry::event::SessionToken;
use sha2::Sha256;

/// Prefix of every token; session names chosen by callers may not start with it.
pub(crate) const TOKEN_PREFIX: &str = "sb1.";

/// Length of the truncated signature in a token, in bytes.
const SIGNATURE_BYTES: usize = 16;

/// Maximum length of a token, in bytes.
const MAX_TOKEN_BYTES: usize = 1024;

/// Signs and verifies session tokens.
#[derive(Clone)]
pub(crate) struct TokenSigner {
    mac: Hmac<Sha256>,
}

impl TokenSigner {
    /// Creates a signer with the secret that all entries of the fleet share.
    pub(crate) fn new(secret: &[u8]) -> Self {
        let digest = <Sha256 as sha2::Digest>::digest(secret);
        // HMAC accepts a key of the length of a digest, so this cannot fail.
        let mac = Hmac::new_from_slice(&digest).unwrap_or_else(|_| Hmac::new(&Default::default()));
        Self { mac }
    }

    /// Encodes and signs a token.
    pub(crate) fn sign(&self, token: &SessionToken) -> String {
        let body = postcard::to_stdvec(token).unwrap_or_default();
        let signature = self.signature(&body);
        let body = URL_SAFE_NO_PAD.encode(&body);
        let signature = URL_SAFE_NO_PAD.encode(&signature[..SIGNATURE_BYTES]);
        format!("{TOKEN_PREFIX}{body}.{signature}")
    }

    /// Decodes a token; `None` if it is malformed or its signature is invalid.
    pub(crate) fn verify(&self, text: &str) -> Option<SessionToken> {
        if text.len() > MAX_TOKEN_BYTES {
            return None;
        }
        let (body, signature) = text.strip_prefix(TOKEN_PREFIX)?.split_once('.')?;
        let body = URL_SAFE_NO_PAD.decode(body).ok()?;
        let signature = URL_SAFE_NO_PAD.decode(signature).ok()?;
        let mut mac = self.mac.clone();
        mac.update(&body);
        if signature.len() != SIGNATURE_BYTES || mac.verify_truncated_left(&signature).is_err() {
            return None;
        }
        postcard::from_bytes(&body).ok()
    }

    fn signature(&self, body: &[u8]) -> Vec<u8> {
        let mut mac = self.mac.clone();
        mac.update(body);
        mac.finalize().into_bytes().to_vec()
    }
}
