//! What the claim streams hold.

use std::sync::Arc;

use fulmargate_names::HostName;
use fulmargate_names::Incarnation;
use serde::Deserialize;
use serde::Serialize;

use crate::KeyHash;
use crate::RequestPrint;

/// The layout that this build writes; it reads no higher one.
pub const RECORD_LAYOUT: u32 = 1;

/// Who claims: one start of the router on one entry host.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ClaimerId {
    /// The entry host.
    #[serde(rename = "h")]
    pub host: HostName,
    /// The start of its router.
    #[serde(rename = "i")]
    pub incarnation: Incarnation,
}

/// One record of a claim stream: a group of entries by one claimer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimRecord {
    /// The layout of the record.
    #[serde(rename = "v")]
    pub layout: u32,
    /// Who wrote it.
    #[serde(flatten)]
    pub claimer: ClaimerId,
    /// Grows with each record of the claimer in this stream. A record that lands after a higher one is void, and so is the
    /// second of two equal ones.
    #[serde(rename = "n")]
    pub sequence: u64,
    /// How long its claims are remembered.
    #[serde(rename = "m")]
    pub memory: MemoryRule,
    /// The entries, in their order.
    #[serde(rename = "e")]
    pub entries: Vec<ClaimEntry>,
}

/// One entry of a record.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimEntry {
    /// Asks for a key.
    #[serde(rename = "c")]
    Claim(NewClaim),
    /// Says what became of the call.
    #[serde(rename = "o")]
    Outcome(ClaimOutcome),
    /// Gives a key back whose call was never sent.
    #[serde(rename = "x")]
    Release(ClaimRelease),
    /// Writes a claim anew before its record goes out of retention.
    #[serde(rename = "w")]
    Renew(RenewedClaim),
}

/// Asks for a key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct NewClaim {
    /// The key.
    #[serde(rename = "k")]
    pub key: KeyHash,
    /// The request that it comes with.
    #[serde(rename = "f")]
    pub print: RequestPrint,
    /// The claimer's number of the claim, unique in this stream.
    #[serde(rename = "c")]
    pub number: u64,
    /// When the caller made the key, where the key says so.
    #[serde(rename = "m", default, skip_serializing_if = "Option::is_none")]
    pub made_ms: Option<u64>,
}

/// How long claims are remembered, by the log's clock. It stands in each record, so that all readers judge alike whatever
/// their own settings say.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemoryRule {
    /// A key that tells its age is refused from this age on, and remembered up to it.
    #[serde(rename = "a")]
    pub remember_ms: u64,
    /// A key made later than this after its claim's landing tells no age.
    #[serde(rename = "f")]
    pub ahead_ms: u64,
    /// A key that tells no age is remembered for so long after the landing of its claim.
    #[serde(rename = "o")]
    pub opaque_ms: u64,
    /// A claim can be released for so long after its landing.
    #[serde(rename = "r")]
    pub release_ms: u32,
}

impl MemoryRule {
    /// To when a claim that lands at `landed_ms` is remembered.
    ///
    /// Whether the key's time counts is judged by the landing alone. A router's own idea of the time will not do: one that
    /// believes an old key to be new would have it remembered anew, and run again.
    pub fn until_ms(&self, made_ms: Option<u64>, landed_ms: u64) -> u64 {
        match made_ms {
            Some(made_ms) if made_ms <= landed_ms + self.ahead_ms => made_ms + self.remember_ms,
            _ => landed_ms + self.opaque_ms,
        }
    }
}

/// Outcome of a claimed call. Only the claimer's own record counts.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimOutcome {
    /// The key.
    #[serde(rename = "k")]
    pub key: KeyHash,
    /// The number of the claim.
    #[serde(rename = "c")]
    pub number: u64,
    /// What became of the call.
    #[serde(rename = "s")]
    pub outcome: CallOutcome,
}

/// What became of a call that was sent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum CallOutcome {
    /// A backend server answered it.
    #[serde(rename = "r")]
    Ran(RanOutcome),
    /// It may have run.
    #[serde(rename = "u")]
    Unknown,
}

/// The answer of the backend server that ran the call.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RanOutcome {
    /// HTTP status.
    #[serde(rename = "s")]
    pub status: u16,
    /// The print of the whole body, where it was known.
    #[serde(rename = "g", default, skip_serializing_if = "Option::is_none")]
    pub digest: Option<RequestPrint>,
    /// The body, where it was small enough to keep.
    #[serde(rename = "b", default, skip_serializing_if = "Option::is_none")]
    pub body: Option<KeptBody>,
}

/// A small body, kept so that a re-send gets the first answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeptBody {
    /// The content type.
    #[serde(rename = "t")]
    pub content_type: Arc<str>,
    /// The bytes, in base64.
    #[serde(rename = "b")]
    pub base64: Arc<str>,
}

/// Gives a key back. Only the claimer may, and only for a call of which no byte was sent, or that the server refused unrun.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimRelease {
    /// The key.
    #[serde(rename = "k")]
    pub key: KeyHash,
    /// The number of the claim.
    #[serde(rename = "c")]
    pub number: u64,
}

/// A claim written anew, by any router, as it stood in the writer's table.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RenewedClaim {
    /// The key.
    #[serde(rename = "k")]
    pub key: KeyHash,
    /// The request that it came with.
    #[serde(rename = "f")]
    pub print: RequestPrint,
    /// Whose claim it is.
    #[serde(flatten)]
    pub claimer: ClaimerId,
    /// The claimer's number of the claim.
    #[serde(rename = "c")]
    pub number: u64,
    /// When the claim landed.
    #[serde(rename = "t")]
    pub claimed_ms: u64,
    /// To when it is remembered.
    #[serde(rename = "u")]
    pub until_ms: u64,
    /// What is known of its call; the body of an answer isn't written anew.
    #[serde(rename = "s")]
    pub state: RenewedState,
}

/// What is known of a renewed claim's call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RenewedState {
    /// No outcome yet.
    #[serde(rename = "p")]
    Pending,
    /// It may have run.
    #[serde(rename = "u")]
    Unknown,
    /// It ran and was answered with this status.
    #[serde(rename = "r")]
    Ran(u16),
}
