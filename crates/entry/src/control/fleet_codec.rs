//! Records of the routers' own topic as bytes.

#[cfg(test)]
mod tests;

use bincode::config;
use bincode::error::DecodeError;
use bincode::error::EncodeError;
use fulmargate_admission::QuotaReport;
use fulmargate_consortium::StoreError;
use fulmargate_consortium::join_keyed;
use fulmargate_dispatch::FleetRecord;
use fulmargate_dispatch::GossipMessage;
use serde::Deserialize;
use serde::Serialize;
use serde::de::DeserializeOwned;

/// The bytes of a record.
pub(crate) fn encode_record(record: &FleetRecord) -> Result<Vec<u8>, EncodeError> {
    bincode::serde::encode_to_vec(record, config::standard())
}

/// A record as it lies in the store, behind its key.
pub(crate) fn keyed_record(record: &FleetRecord) -> Result<Vec<u8>, StoreError> {
    let value = encode_record(record);
    let value = value.map_err(|err| StoreError::Unreadable { reason: err.to_string() })?;
    join_keyed(&record.key(), &value)
}

/// Reads a record. A later version of the router may write kinds that this one does not know.
pub(crate) fn decode_record(bytes: &[u8]) -> Result<FleetRecord, DecodeError> {
    bincode::serde::decode_from_slice(bytes, config::standard()).map(|(record, _)| record)
}

/// Bytes of a message's length, which goes before it.
pub(crate) const LENGTH_BYTES: usize = 4;

/// Header of a question for records: the asker's last read of the store failed. A router that does not
/// know it leaves it out of account.
pub(crate) const STORE_HEADER: &str = "fulmargate-store";
/// Its only value.
pub(crate) const STORE_OUT: &str = "out-of-reach";

/// Path of a stream of words that another router passes on.
pub(crate) const RELAYED_PATH: &str = "/relayed";
/// Header of such a stream: the host that passes them on.
pub(crate) const RELAY_HEADER: &str = "fulmargate-relay";

/// A question for records, or its answer.
pub(crate) fn encode_plain<T: Serialize>(value: &T) -> Result<Vec<u8>, EncodeError> {
    bincode::serde::encode_to_vec(value, config::standard())
}

/// Reads a question or an answer.
pub(crate) fn decode_plain<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, DecodeError> {
    bincode::serde::decode_from_slice(bytes, config::standard()).map(|(value, _)| value)
}

/// What goes behind a message. Routers of an earlier version read the message and leave the rest, and send
/// none.
#[derive(Serialize, Deserialize)]
struct NewsTail {
    link_kbps: Option<u32>,
}

/// What goes behind that.
#[derive(Serialize, Deserialize)]
struct RelayTail {
    subscribes: bool,
}

/// And what goes behind that.
#[derive(Serialize, Deserialize)]
struct QuotaTail {
    quotas: Option<QuotaReport>,
}

/// A message between routers with its length before it.
pub(crate) fn encode_news(news: &GossipMessage) -> Result<Vec<u8>, EncodeError> {
    let mut message = bincode::serde::encode_to_vec(news, config::standard())?;
    let tail = NewsTail { link_kbps: news.link_kbps };
    message.extend(bincode::serde::encode_to_vec(tail, config::standard())?);
    let tail = RelayTail { subscribes: news.subscribes };
    message.extend(bincode::serde::encode_to_vec(tail, config::standard())?);
    let tail = QuotaTail { quotas: news.quotas.clone() };
    message.extend(bincode::serde::encode_to_vec(tail, config::standard())?);
    let mut bytes = (message.len() as u32).to_be_bytes().to_vec();
    bytes.extend_from_slice(&message);
    Ok(bytes)
}

/// Reads a message without its length.
pub(crate) fn decode_news(bytes: &[u8]) -> Result<GossipMessage, DecodeError> {
    let (mut news, length): (GossipMessage, usize) =
        bincode::serde::decode_from_slice(bytes, config::standard())?;
    let mut rest = bytes.get(length..).unwrap_or_default();
    if let Some(tail) = take_tail::<NewsTail>(&mut rest)? {
        news.link_kbps = tail.link_kbps;
    }
    if let Some(tail) = take_tail::<RelayTail>(&mut rest)? {
        news.subscribes = tail.subscribes;
    }
    if let Some(tail) = take_tail::<QuotaTail>(&mut rest)? {
        news.quotas = tail.quotas;
    }
    Ok(news)
}

/// The next tail of a message; none where the sender's version has no more of them.
fn take_tail<T: DeserializeOwned>(rest: &mut &[u8]) -> Result<Option<T>, DecodeError> {
    if rest.is_empty() {
        return Ok(None);
    }
    let (tail, length) = bincode::serde::decode_from_slice(rest, config::standard())?;
    *rest = rest.get(length..).unwrap_or_default();
    Ok(Some(tail))
}
