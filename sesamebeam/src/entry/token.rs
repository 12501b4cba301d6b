//! Session tokens: what a caller shows to keep its version without a look-up.

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

/// What every token starts with; a caller's own session name may not.
pub(crate) const PREFIX: &str = "sb1.";

/// Bytes of the signature that a token carries.
const SIGNATURE: usize = 16;

/// Longest token that is read, in bytes.
const MAX_TOKEN: usize = 1024;

/// Signs and checks session tokens.
#[derive(Clone)]
pub(crate) struct TokenSigner {
    mac: Hmac<Sha256>,
}

impl TokenSigner {
    /// Takes the secret that all entries of the fleet share.
    pub(crate) fn new(secret: &[u8]) -> Self {
        let digest = <Sha256 as sha2::Digest>::digest(secret);
        // A digest has a length that every HMAC takes.
        let mac = Hmac::new_from_slice(&digest).unwrap_or_else(|_| Hmac::new(&Default::default()));
        Self { mac }
    }

    /// Writes a token.
    pub(crate) fn sign(&self, token: &SessionToken) -> String {
        let body = postcard::to_stdvec(token).unwrap_or_default();
        let signature = self.signature(&body);
        let body = URL_SAFE_NO_PAD.encode(&body);
        let signature = URL_SAFE_NO_PAD.encode(&signature[..SIGNATURE]);
        format!("{PREFIX}{body}.{signature}")
    }

    /// Reads a token; none if it is not one of ours.
    pub(crate) fn open(&self, text: &str) -> Option<SessionToken> {
        if text.len() > MAX_TOKEN {
            return None;
        }
        let (body, signature) = text.strip_prefix(PREFIX)?.split_once('.')?;
        let body = URL_SAFE_NO_PAD.decode(body).ok()?;
        let signature = URL_SAFE_NO_PAD.decode(signature).ok()?;
        let mut mac = self.mac.clone();
        mac.update(&body);
        if signature.len() != SIGNATURE || mac.verify_truncated_left(&signature).is_err() {
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
