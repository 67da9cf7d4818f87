//! Binary encoding of frames and messages.

use bincode::BorrowDecode;
use bincode::Encode;
use bincode::de::BorrowDecoder;
use bincode::enc::Encoder;
use bincode::error::DecodeError;
use bincode::error::EncodeError;
use fulmargate_names::ConfigVersion;

use crate::RecordKind;
use crate::record_key::RecordKey;
use crate::wire::peer_message::JoinResponsePart;
use crate::wire::peer_message::PeerFrame;
use crate::wire::peer_message::PeerMessage;
use crate::wire::peer_message::SummaryEntry;
use crate::wire::primitive_codec::decode_name;
use crate::wire::primitive_codec::decode_tag;
use crate::wire::primitive_codec::decode_u64;
use crate::wire::primitive_codec::encode_name;
use crate::wire::primitive_codec::unknown_tag;
use crate::wire::record_codec::decode_member;
use crate::wire::record_codec::decode_records;
use crate::wire::record_codec::encode_records;

const HELLO: u8 = 0;
const PROBE: u8 = 1;
const PROBE_ACK: u8 = 2;
const INDIRECT_PROBE_REQUEST: u8 = 3;
const JOIN_REQUEST: u8 = 4;
const JOIN_RESPONSE: u8 = 5;
const DIGEST: u8 = 6;
const SUMMARY: u8 = 7;
const RECORD_REQUEST: u8 = 8;
const UPDATE: u8 = 9;

impl Encode for PeerFrame {
    fn encode<E: Encoder>(&self, encoder: &mut E) -> Result<(), EncodeError> {
        self.config_version.0.encode(encoder)?;
        self.message.encode(encoder)
    }
}

impl<'de, C> BorrowDecode<'de, C> for PeerFrame {
    fn borrow_decode<D: BorrowDecoder<'de, Context = C>>(
        decoder: &mut D,
    ) -> Result<Self, DecodeError> {
        Ok(PeerFrame {
            config_version: ConfigVersion(decode_u64(decoder)?),
            message: decode_message(decoder)?,
        })
    }
}

impl Encode for PeerMessage {
    fn encode<E: Encoder>(&self, encoder: &mut E) -> Result<(), EncodeError> {
        match self {
            PeerMessage::Hello { fleet, member } => {
                HELLO.encode(encoder)?;
                encode_name(encoder, fleet)?;
                member.encode(encoder)
            }
            PeerMessage::Probe { number, digest } => {
                (PROBE, *number, digest.to_le_bytes()).encode(encoder)
            }
            PeerMessage::ProbeAck { number } => (PROBE_ACK, *number).encode(encoder),
            PeerMessage::IndirectProbeRequest { number, host, address } => {
                (INDIRECT_PROBE_REQUEST, *number).encode(encoder)?;
                encode_name(encoder, host.as_str())?;
                address.encode(encoder)
            }
            PeerMessage::JoinRequest => JOIN_REQUEST.encode(encoder),
            PeerMessage::JoinResponse { part, records } => {
                (JOIN_RESPONSE, *part as u8).encode(encoder)?;
                encode_records(records, encoder)
            }
            PeerMessage::Digest { buckets } => {
                DIGEST.encode(encoder)?;
                encode_buckets(buckets, encoder)
            }
            PeerMessage::Summary { buckets, entries } => {
                SUMMARY.encode(encoder)?;
                buckets.encode(encoder)?;
                entries.encode(encoder)
            }
            PeerMessage::RecordRequest { keys } => {
                RECORD_REQUEST.encode(encoder)?;
                keys.encode(encoder)
            }
            PeerMessage::Update { records } => {
                UPDATE.encode(encoder)?;
                encode_records(records, encoder)
            }
        }
    }
}

fn decode_message<'de, D: BorrowDecoder<'de>>(decoder: &mut D) -> Result<PeerMessage, DecodeError> {
    let message = match decode_tag(decoder)? {
        HELLO => {
            PeerMessage::Hello { fleet: decode_name(decoder)?, member: decode_member(decoder)? }
        }
        PROBE => PeerMessage::Probe { number: decode_u64(decoder)?, digest: decode_hash(decoder)? },
        PROBE_ACK => PeerMessage::ProbeAck { number: decode_u64(decoder)? },
        INDIRECT_PROBE_REQUEST => PeerMessage::IndirectProbeRequest {
            number: decode_u64(decoder)?,
            host: decode_name(decoder)?,
            address: BorrowDecode::borrow_decode(decoder)?,
        },
        JOIN_REQUEST => PeerMessage::JoinRequest,
        JOIN_RESPONSE => PeerMessage::JoinResponse {
            part: decode_join_response_part(decoder)?,
            records: decode_records(decoder)?,
        },
        DIGEST => PeerMessage::Digest { buckets: decode_buckets(decoder)? },
        SUMMARY => PeerMessage::Summary {
            buckets: BorrowDecode::borrow_decode(decoder)?,
            entries: decode_entries(decoder)?,
        },
        RECORD_REQUEST => PeerMessage::RecordRequest { keys: decode_keys(decoder)? },
        UPDATE => PeerMessage::Update { records: decode_records(decoder)? },
        tag => return unknown_tag(tag, UPDATE),
    };
    Ok(message)
}

fn decode_join_response_part<'de, D: BorrowDecoder<'de>>(
    decoder: &mut D,
) -> Result<JoinResponsePart, DecodeError> {
    match decode_tag(decoder)? {
        0 => Ok(JoinResponsePart::More),
        1 => Ok(JoinResponsePart::Last),
        2 => Ok(JoinResponsePart::Sample),
        tag => unknown_tag(tag, 2),
    }
}

/// Hashes have a fixed length, because a varint would be longer for most of them.
fn encode_buckets<E: Encoder>(buckets: &[u32], encoder: &mut E) -> Result<(), EncodeError> {
    (buckets.len() as u64).encode(encoder)?;
    buckets.iter().try_for_each(|hash| hash.to_le_bytes().encode(encoder))
}

fn decode_hash<'de, D: BorrowDecoder<'de>>(decoder: &mut D) -> Result<u32, DecodeError> {
    Ok(u32::from_le_bytes(BorrowDecode::borrow_decode(decoder)?))
}

fn decode_buckets<'de, D: BorrowDecoder<'de>>(decoder: &mut D) -> Result<Vec<u32>, DecodeError> {
    let count = decode_u64(decoder)?;
    (0..count).map(|_| decode_hash(decoder)).collect()
}

impl Encode for RecordKey {
    fn encode<E: Encoder>(&self, encoder: &mut E) -> Result<(), EncodeError> {
        (self.kind as u8).encode(encoder)?;
        self.id.to_le_bytes().encode(encoder)
    }
}

impl Encode for SummaryEntry {
    fn encode<E: Encoder>(&self, encoder: &mut E) -> Result<(), EncodeError> {
        self.key.encode(encoder)?;
        self.stamp.to_le_bytes().encode(encoder)
    }
}

/// Skips keys of unknown kinds, which a newer release may send.
fn decode_keys<'de, D: BorrowDecoder<'de>>(decoder: &mut D) -> Result<Vec<RecordKey>, DecodeError> {
    let count = decode_u64(decoder)?;
    let mut keys = Vec::new();
    for _ in 0..count {
        keys.extend(decode_key(decoder)?);
    }
    Ok(keys)
}

fn decode_key<'de, D: BorrowDecoder<'de>>(
    decoder: &mut D,
) -> Result<Option<RecordKey>, DecodeError> {
    let tag = decode_tag(decoder)?;
    let id = u64::from_le_bytes(BorrowDecode::borrow_decode(decoder)?);
    Ok(RecordKind::from_tag(tag).map(|kind| RecordKey { kind, id }))
}

fn decode_entries<'de, D: BorrowDecoder<'de>>(
    decoder: &mut D,
) -> Result<Vec<SummaryEntry>, DecodeError> {
    let count = decode_u64(decoder)?;
    let mut entries = Vec::new();
    for _ in 0..count {
        let key = decode_key(decoder)?;
        let stamp = decode_hash(decoder)?;
        entries.extend(key.map(|key| SummaryEntry { key, stamp }));
    }
    Ok(entries)
}
