//! Binary encoding of items. The item's type is given by the kind tag of the enclosing record.

use bincode::BorrowDecode;
use bincode::Encode;
use bincode::de::BorrowDecoder;
use bincode::enc::Encoder;
use bincode::enc::EncoderImpl;
use bincode::enc::write::SizeWriter;
use bincode::error::DecodeError;
use bincode::error::EncodeError;
use bytes::Bytes;
use fulmargate_names::ConfigVersion;
use fulmargate_names::Incarnation;
use fulmargate_names::PromptHash;
use fulmargate_names::ServerName;

use crate::ItemRecord;
use crate::PeerItem;
use crate::RecordKind;
use crate::TeamRate;
use crate::VerdictState;
use crate::WordTopic;
use crate::wire::frame_codec::BINCODE_CONFIG;
use crate::wire::primitive_codec::decode_name;
use crate::wire::primitive_codec::decode_tag;
use crate::wire::primitive_codec::decode_u64;
use crate::wire::primitive_codec::encode_name;
use crate::wire::primitive_codec::unknown_tag;

/// Estimated size of a record's tag, length, origin, incarnation, sequence, order and lifetime.
const RECORD_HEADER_BYTES: usize = 40;

impl Encode for ItemRecord {
    fn encode<E: Encoder>(&self, encoder: &mut E) -> Result<(), EncodeError> {
        encode_name(encoder, self.origin.as_str())?;
        self.incarnation.0.encode(encoder)?;
        self.sequence.encode(encoder)?;
        self.order.encode(encoder)?;
        self.remaining_ms.encode(encoder)?;
        encode_item(&self.item, encoder)
    }
}

/// Decodes an item record of the given kind. Fails for `RecordKind::Member`.
pub(crate) fn decode_item_record<'de, D: BorrowDecoder<'de>>(
    kind: RecordKind,
    decoder: &mut D,
) -> Result<ItemRecord, DecodeError> {
    Ok(ItemRecord {
        origin: decode_name(decoder)?,
        incarnation: Incarnation(decode_u64(decoder)?),
        sequence: decode_u64(decoder)?,
        order: decode_u64(decoder)?,
        remaining_ms: decode_u64(decoder)?,
        item: decode_item(kind, decoder)?,
    })
}

/// Estimates the encoded size of the record for an item before the record is created.
pub(crate) fn estimated_record_len(item: &PeerItem) -> usize {
    let mut size_encoder = EncoderImpl::new(SizeWriter::default(), BINCODE_CONFIG);
    encode_item(item, &mut size_encoder).expect("a size count cannot fail");
    RECORD_HEADER_BYTES + size_encoder.into_writer().bytes_written
}

fn encode_item<E: Encoder>(item: &PeerItem, encoder: &mut E) -> Result<(), EncodeError> {
    match item {
        PeerItem::ConfigInForce { host, version } => {
            encode_name(encoder, host.as_str())?;
            version.0.encode(encoder)
        }
        PeerItem::ServerLeaving { server, incarnation }
        | PeerItem::ServerSeen { server, incarnation } => {
            encode_name(encoder, server.as_str())?;
            incarnation.0.encode(encoder)
        }
        PeerItem::CrashVerdict { fingerprint, state, servers } => {
            fingerprint.encode(encoder)?;
            (*state as u8).encode(encoder)?;
            (servers.len() as u64).encode(encoder)?;
            servers.iter().try_for_each(|server| encode_name(encoder, server.as_str()))
        }
        PeerItem::TeamUsage { host, teams } => {
            encode_name(encoder, host.as_str())?;
            teams.encode(encoder)
        }
        PeerItem::ZoneUsage { zone, hosts, teams } => {
            encode_name(encoder, zone.as_str())?;
            hosts.encode(encoder)?;
            teams.encode(encoder)
        }
        PeerItem::HotPrefix { prefix, server, incarnation } => {
            // Fixed-length, because a varint would be longer for most hashes.
            prefix.0.to_le_bytes().encode(encoder)?;
            encode_name(encoder, server.as_str())?;
            incarnation.0.encode(encoder)
        }
        PeerItem::ClaimerGone { host, incarnation } => {
            encode_name(encoder, host.as_str())?;
            incarnation.0.encode(encoder)
        }
        PeerItem::HostWord { host, part, bytes, .. } => {
            encode_name(encoder, host.as_str())?;
            part.to_le_bytes().encode(encoder)?;
            bytes[..].encode(encoder)
        }
    }
}

fn decode_item<'de, D: BorrowDecoder<'de>>(
    kind: RecordKind,
    decoder: &mut D,
) -> Result<PeerItem, DecodeError> {
    let item = match kind {
        RecordKind::Member => return unknown_tag(kind as u8, kind as u8),
        RecordKind::ConfigInForce => PeerItem::ConfigInForce {
            host: decode_name(decoder)?,
            version: ConfigVersion(decode_u64(decoder)?),
        },
        RecordKind::ServerLeaving => PeerItem::ServerLeaving {
            server: decode_name(decoder)?,
            incarnation: Incarnation(decode_u64(decoder)?),
        },
        RecordKind::ServerSeen => PeerItem::ServerSeen {
            server: decode_name(decoder)?,
            incarnation: Incarnation(decode_u64(decoder)?),
        },
        RecordKind::CrashVerdict => PeerItem::CrashVerdict {
            fingerprint: decode_u64(decoder)?,
            state: decode_verdict_state(decoder)?,
            servers: decode_servers(decoder)?,
        },
        RecordKind::TeamUsage => PeerItem::TeamUsage {
            host: decode_name(decoder)?,
            teams: BorrowDecode::borrow_decode(decoder)?,
        },
        RecordKind::ZoneUsage => PeerItem::ZoneUsage {
            zone: decode_name(decoder)?,
            hosts: BorrowDecode::borrow_decode(decoder)?,
            teams: BorrowDecode::borrow_decode(decoder)?,
        },
        RecordKind::HotPrefix => PeerItem::HotPrefix {
            prefix: PromptHash(u64::from_le_bytes(BorrowDecode::borrow_decode(decoder)?)),
            server: decode_name(decoder)?,
            incarnation: Incarnation(decode_u64(decoder)?),
        },
        RecordKind::ClaimerGone => PeerItem::ClaimerGone {
            host: decode_name(decoder)?,
            incarnation: Incarnation(decode_u64(decoder)?),
        },
        RecordKind::SuspectPayload
        | RecordKind::TeamUsePayload
        | RecordKind::DemandPayload
        | RecordKind::PlanPayload => decode_host_word(kind, decoder)?,
    };
    Ok(item)
}

fn decode_host_word<'de, D: BorrowDecoder<'de>>(
    kind: RecordKind,
    decoder: &mut D,
) -> Result<PeerItem, DecodeError> {
    let Some(topic) = WordTopic::of_kind(kind) else {
        return unknown_tag(kind as u8, kind as u8);
    };
    Ok(PeerItem::HostWord {
        topic,
        host: decode_name(decoder)?,
        part: u64::from_le_bytes(BorrowDecode::borrow_decode(decoder)?),
        bytes: Bytes::copy_from_slice(<&[u8]>::borrow_decode(decoder)?),
    })
}

fn decode_verdict_state<'de, D: BorrowDecoder<'de>>(
    decoder: &mut D,
) -> Result<VerdictState, DecodeError> {
    match decode_tag(decoder)? {
        0 => Ok(VerdictState::Cleared),
        1 => Ok(VerdictState::Suspect),
        2 => Ok(VerdictState::Convicted),
        tag => unknown_tag(tag, 2),
    }
}

fn decode_servers<'de, D: BorrowDecoder<'de>>(
    decoder: &mut D,
) -> Result<Vec<ServerName>, DecodeError> {
    let count = decode_u64(decoder)?;
    (0..count).map(|_| decode_name(decoder)).collect()
}

impl Encode for TeamRate {
    fn encode<E: Encoder>(&self, encoder: &mut E) -> Result<(), EncodeError> {
        encode_name(encoder, self.team.as_str())?;
        self.milli_requests_per_s.encode(encoder)?;
        self.tokens_per_s.encode(encoder)
    }
}

impl<'de, C> BorrowDecode<'de, C> for TeamRate {
    fn borrow_decode<D: BorrowDecoder<'de, Context = C>>(
        decoder: &mut D,
    ) -> Result<Self, DecodeError> {
        Ok(TeamRate {
            team: decode_name(decoder)?,
            milli_requests_per_s: decode_u64(decoder)?,
            tokens_per_s: decode_u64(decoder)?,
        })
    }
}
