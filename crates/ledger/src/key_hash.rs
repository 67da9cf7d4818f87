//! What stands for an idempotency key and for a request in the ledger.

use std::fmt;

use base64::Engine;
use base64::engine::general_purpose::URL_SAFE_NO_PAD;
use fulmargate_names::TeamName;
use serde::Deserialize;
use serde::Deserializer;
use serde::Serialize;
use serde::Serializer;
use serde::de;
use sha2::Digest;
use sha2::Sha256;
use uuid::Uuid;

/// Stands for a team's idempotency key: 128 bits of its SHA-256, so that no two keys of any teams meet.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct KeyHash(pub [u8; 16]);

/// Stands for a request (method, path, body): 64 bits of its SHA-256. Tells a re-send from another request under the same key.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestPrint(pub [u8; 8]);

/// A caller's idempotency key as the ledger needs it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClaimKey {
    /// The key's hash within its team.
    pub hash: KeyHash,
    /// When the caller made the key, in milliseconds since 1970, where the key says so (UUIDv7).
    pub made_ms: Option<u64>,
}

impl ClaimKey {
    /// Takes the text of the header `idempotency-key`.
    pub fn new(team: &TeamName, text: &str) -> ClaimKey {
        let digest = digest_of(&[team.as_str().as_bytes(), text.as_bytes()]);
        ClaimKey { hash: KeyHash(first_bytes(&digest)), made_ms: made_ms(text) }
    }
}

impl RequestPrint {
    /// The print of a request's parts. Each part counts with its length, so that no other division gives the same print.
    pub fn of(parts: &[&[u8]]) -> RequestPrint {
        RequestPrint(first_bytes(&digest_of(parts)))
    }
}

fn digest_of(parts: &[&[u8]]) -> [u8; 32] {
    let mut hasher = Sha256::new();
    for part in parts {
        hasher.update((part.len() as u64).to_le_bytes());
        hasher.update(part);
    }
    hasher.finalize().into()
}

fn first_bytes<const N: usize>(digest: &[u8; 32]) -> [u8; N] {
    std::array::from_fn(|index| digest[index])
}

fn made_ms(text: &str) -> Option<u64> {
    let uuid = Uuid::parse_str(text).ok().filter(|uuid| uuid.get_version_num() == 7)?;
    let (seconds, nanos) = uuid.get_timestamp()?.to_unix();
    Some(seconds * 1_000 + u64::from(nanos) / 1_000_000)
}

macro_rules! bytes_as_text {
    ($name:ident) => {
        impl fmt::Debug for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&URL_SAFE_NO_PAD.encode(self.0))
            }
        }

        impl Serialize for $name {
            fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
                serializer.serialize_str(&URL_SAFE_NO_PAD.encode(self.0))
            }
        }

        impl<'de> Deserialize<'de> for $name {
            fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<$name, D::Error> {
                deserializer.deserialize_str(BytesVisitor).map($name)
            }
        }
    };
}

bytes_as_text!(KeyHash);
bytes_as_text!(RequestPrint);

/// Reads a fixed number of bytes from base64.
struct BytesVisitor<const N: usize>;

impl<const N: usize> de::Visitor<'_> for BytesVisitor<N> {
    type Value = [u8; N];

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{N} bytes in base64")
    }

    fn visit_str<E: de::Error>(self, text: &str) -> Result<[u8; N], E> {
        let bytes = URL_SAFE_NO_PAD.decode(text).map_err(E::custom)?;
        <[u8; N]>::try_from(&*bytes).map_err(|_| E::invalid_length(bytes.len(), &self))
    }
}
