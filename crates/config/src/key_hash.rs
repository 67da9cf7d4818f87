//! Hashes of API keys.

use std::fmt;

use derive_more::Error;
use serde::Deserialize;
use serde::Serialize;
use sha2::Digest;
use sha2::Sha256;

const HASH_BYTES: usize = 32;

/// SHA-256 of an API key, written as 64 hex digits.
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct KeyHash([u8; HASH_BYTES]);

/// A text that is no hash.
#[derive(Debug, derive_more::Display, Error)]
#[display("64 hex digits, the SHA-256 of a key")]
pub struct HashError;

impl KeyHash {
    /// Hashes a key as a caller sends it.
    pub fn of_key(key: &str) -> KeyHash {
        KeyHash(Sha256::digest(key.as_bytes()).into())
    }

    /// Reads 64 hex digits.
    pub fn parse(text: &str) -> Result<KeyHash, HashError> {
        let digits = text.as_bytes();
        if digits.len() != HASH_BYTES * 2 {
            return Err(HashError);
        }
        let mut hash = [0; HASH_BYTES];
        for (byte, pair) in hash.iter_mut().zip(digits.chunks_exact(2)) {
            let high = hex_value(pair[0])?;
            let low = hex_value(pair[1])?;
            *byte = high << 4 | low;
        }
        Ok(KeyHash(hash))
    }
}

fn hex_value(digit: u8) -> Result<u8, HashError> {
    match digit {
        b'0'..=b'9' => Ok(digit - b'0'),
        b'a'..=b'f' => Ok(digit - b'a' + 10),
        b'A'..=b'F' => Ok(digit - b'A' + 10),
        _ => Err(HashError),
    }
}

impl fmt::Display for KeyHash {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for byte in self.0 {
            write!(f, "{byte:02x}")?;
        }
        Ok(())
    }
}

impl fmt::Debug for KeyHash {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "KeyHash({self})")
    }
}

impl TryFrom<String> for KeyHash {
    type Error = HashError;

    fn try_from(text: String) -> Result<KeyHash, HashError> {
        KeyHash::parse(&text)
    }
}

impl From<KeyHash> for String {
    fn from(hash: KeyHash) -> String {
        hash.to_string()
    }
}
