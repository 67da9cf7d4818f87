//! The secrets that authenticate resume tokens.

use std::fmt;

use derive_more::Display;
use derive_more::Error;
use hmac::Hmac;
use hmac::Mac;
use sha2::Sha256;

/// Bytes that a secret must have at least.
pub const MIN_SECRET_BYTES: usize = 16;

pub(crate) type TokenMac = Hmac<Sha256>;

/// Secrets shared by all entry hosts. The first one signs; each is accepted, so that a secret can
/// be replaced while old tokens, and hosts that have not yet the new settings, are still about.
#[derive(Clone)]
pub struct TokenSecrets {
    signing: TokenMac,
    accepted: Vec<TokenMac>,
}

/// Why secrets are refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, Error)]
pub enum SecretFault {
    /// There is none.
    #[display("no secret is given")]
    Missing,
    /// One is too short to authenticate anything.
    #[display("secret {index} has {bytes} bytes, at least {MIN_SECRET_BYTES} are needed")]
    TooShort {
        /// Which one, from 0.
        index: usize,
        /// Its length.
        bytes: usize,
    },
}

impl TokenSecrets {
    /// Takes the secrets in the order of the settings: the one in use first.
    pub fn new(secrets: &[String]) -> Result<TokenSecrets, SecretFault> {
        for (index, secret) in secrets.iter().enumerate() {
            let bytes = secret.len();
            if bytes < MIN_SECRET_BYTES {
                return Err(SecretFault::TooShort { index, bytes });
            }
        }
        let accepted: Vec<TokenMac> =
            secrets.iter().map(|secret| keyed_mac(secret.as_bytes())).collect();
        let signing = accepted.first().cloned().ok_or(SecretFault::Missing)?;
        Ok(TokenSecrets { signing, accepted })
    }

    pub(crate) fn signing(&self) -> TokenMac {
        self.signing.clone()
    }

    pub(crate) fn accepted(&self) -> impl Iterator<Item = TokenMac> {
        self.accepted.iter().cloned()
    }
}

impl fmt::Debug for TokenSecrets {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "TokenSecrets({} accepted)", self.accepted.len())
    }
}

fn keyed_mac(secret: &[u8]) -> TokenMac {
    TokenMac::new_from_slice(secret).expect("HMAC takes a key of any length")
}
