//! Hand-written encoding of items. The tag is the record's kind and stands outside.

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
use crate::wire::frame_codec::CONFIG;
use crate::wire::name_codec::put_name;
use crate::wire::name_codec::take_name;
use crate::wire::name_codec::take_number;
use crate::wire::name_codec::take_tag;
use crate::wire::name_codec::unknown_tag;

/// Origin, incarnation, sequence, order, life, tag and length of a record, about.
const RECORD_HEAD: usize = 40;

impl Encode for ItemRecord {
    fn encode<E: Encoder>(&self, encoder: &mut E) -> Result<(), EncodeError> {
        put_name(encoder, self.origin.as_str())?;
        self.incarnation.0.encode(encoder)?;
        self.sequence.encode(encoder)?;
        self.order.encode(encoder)?;
        self.remaining_ms.encode(encoder)?;
        encode_item(&self.item, encoder)
    }
}

/// Reads the record of a kind; `None` for a kind that is not an item's.
pub(crate) fn decode_record<'de, D: BorrowDecoder<'de>>(
    kind: RecordKind,
    decoder: &mut D,
) -> Result<ItemRecord, DecodeError> {
    Ok(ItemRecord {
        origin: take_name(decoder)?,
        incarnation: Incarnation(take_number(decoder)?),
        sequence: take_number(decoder)?,
        order: take_number(decoder)?,
        remaining_ms: take_number(decoder)?,
        item: decode_item(kind, decoder)?,
    })
}

/// Bytes that an item's record takes in a frame, as far as they are known before it is made.
pub(crate) fn item_len(item: &PeerItem) -> usize {
    let mut sizer = EncoderImpl::new(SizeWriter::default(), CONFIG);
    encode_item(item, &mut sizer).expect("counting does not fail");
    RECORD_HEAD + sizer.into_writer().bytes_written
}

fn encode_item<E: Encoder>(item: &PeerItem, encoder: &mut E) -> Result<(), EncodeError> {
    match item {
        PeerItem::ConfigInForce { host, version } => {
            put_name(encoder, host.as_str())?;
            version.0.encode(encoder)
        }
        PeerItem::ServerLeaving { server, incarnation }
        | PeerItem::ServerSeen { server, incarnation } => {
            put_name(encoder, server.as_str())?;
            incarnation.0.encode(encoder)
        }
        PeerItem::CrashVerdict { fingerprint, state, servers } => {
            fingerprint.encode(encoder)?;
            (*state as u8).encode(encoder)?;
            (servers.len() as u64).encode(encoder)?;
            servers.iter().try_for_each(|server| put_name(encoder, server.as_str()))
        }
        PeerItem::TeamUsage { host, teams } => {
            put_name(encoder, host.as_str())?;
            teams.encode(encoder)
        }
        PeerItem::ZoneUsage { zone, hosts, teams } => {
            put_name(encoder, zone.as_str())?;
            hosts.encode(encoder)?;
            teams.encode(encoder)
        }
        PeerItem::HotPrefix { prefix, server, incarnation } => {
            // Hashes use all their bits: a fixed length is the shorter one.
            prefix.0.to_le_bytes().encode(encoder)?;
            put_name(encoder, server.as_str())?;
            incarnation.0.encode(encoder)
        }
        PeerItem::ClaimerGone { host, incarnation } => {
            put_name(encoder, host.as_str())?;
            incarnation.0.encode(encoder)
        }
        PeerItem::HostWord { host, part, bytes, .. } => {
            put_name(encoder, host.as_str())?;
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
            host: take_name(decoder)?,
            version: ConfigVersion(take_number(decoder)?),
        },
        RecordKind::ServerLeaving => PeerItem::ServerLeaving {
            server: take_name(decoder)?,
            incarnation: Incarnation(take_number(decoder)?),
        },
        RecordKind::ServerSeen => PeerItem::ServerSeen {
            server: take_name(decoder)?,
            incarnation: Incarnation(take_number(decoder)?),
        },
        RecordKind::CrashVerdict => PeerItem::CrashVerdict {
            fingerprint: take_number(decoder)?,
            state: decode_state(decoder)?,
            servers: decode_servers(decoder)?,
        },
        RecordKind::TeamUsage => PeerItem::TeamUsage {
            host: take_name(decoder)?,
            teams: BorrowDecode::borrow_decode(decoder)?,
        },
        RecordKind::ZoneUsage => PeerItem::ZoneUsage {
            zone: take_name(decoder)?,
            hosts: BorrowDecode::borrow_decode(decoder)?,
            teams: BorrowDecode::borrow_decode(decoder)?,
        },
        RecordKind::HotPrefix => PeerItem::HotPrefix {
            prefix: PromptHash(u64::from_le_bytes(BorrowDecode::borrow_decode(decoder)?)),
            server: take_name(decoder)?,
            incarnation: Incarnation(take_number(decoder)?),
        },
        RecordKind::ClaimerGone => PeerItem::ClaimerGone {
            host: take_name(decoder)?,
            incarnation: Incarnation(take_number(decoder)?),
        },
        RecordKind::SuspectWord
        | RecordKind::TeamUseWord
        | RecordKind::DemandWord
        | RecordKind::PlanWord => decode_word(kind, decoder)?,
    };
    Ok(item)
}

fn decode_word<'de, D: BorrowDecoder<'de>>(
    kind: RecordKind,
    decoder: &mut D,
) -> Result<PeerItem, DecodeError> {
    let Some(topic) = WordTopic::of_kind(kind) else {
        return unknown_tag(kind as u8, kind as u8);
    };
    Ok(PeerItem::HostWord {
        topic,
        host: take_name(decoder)?,
        part: u64::from_le_bytes(BorrowDecode::borrow_decode(decoder)?),
        bytes: Bytes::copy_from_slice(<&[u8]>::borrow_decode(decoder)?),
    })
}

fn decode_state<'de, D: BorrowDecoder<'de>>(decoder: &mut D) -> Result<VerdictState, DecodeError> {
    match take_tag(decoder)? {
        0 => Ok(VerdictState::Cleared),
        1 => Ok(VerdictState::Suspect),
        2 => Ok(VerdictState::Convicted),
        tag => unknown_tag(tag, 2),
    }
}

fn decode_servers<'de, D: BorrowDecoder<'de>>(
    decoder: &mut D,
) -> Result<Vec<ServerName>, DecodeError> {
    let count = take_number(decoder)?;
    (0..count).map(|_| take_name(decoder)).collect()
}

impl Encode for TeamRate {
    fn encode<E: Encoder>(&self, encoder: &mut E) -> Result<(), EncodeError> {
        put_name(encoder, self.team.as_str())?;
        self.milli_requests_per_s.encode(encoder)?;
        self.tokens_per_s.encode(encoder)
    }
}

impl<'de, C> BorrowDecode<'de, C> for TeamRate {
    fn borrow_decode<D: BorrowDecoder<'de, Context = C>>(
        decoder: &mut D,
    ) -> Result<Self, DecodeError> {
        Ok(TeamRate {
            team: take_name(decoder)?,
            milli_requests_per_s: take_number(decoder)?,
            tokens_per_s: take_number(decoder)?,
        })
    }
}
