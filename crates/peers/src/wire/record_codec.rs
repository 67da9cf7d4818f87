//! Binary encoding of records: kind tag, length and body.
//!
//! The length allows a host to skip kinds that only a newer release knows.

use bincode::BorrowDecode;
use bincode::Encode;
use bincode::de::BorrowDecoder;
use bincode::enc::Encoder;
use bincode::enc::EncoderImpl;
use bincode::enc::write::SizeWriter;
use bincode::error::DecodeError;
use bincode::error::EncodeError;
use fulmargate_names::Incarnation;

use crate::MemberRecord;
use crate::MemberState;
use crate::RecordKind;
use crate::wire::frame_codec::BINCODE_CONFIG;
use crate::wire::item_codec::decode_item_record;
use crate::wire::peer_message::PeerRecord;
use crate::wire::primitive_codec::decode_name;
use crate::wire::primitive_codec::decode_tag;
use crate::wire::primitive_codec::decode_u64;
use crate::wire::primitive_codec::encode_name;
use crate::wire::primitive_codec::unknown_tag;

/// Size of a value's encoding in bytes.
pub(crate) fn encoded_len<T: Encode>(value: &T) -> usize {
    let mut size_encoder = EncoderImpl::new(SizeWriter::default(), BINCODE_CONFIG);
    value.encode(&mut size_encoder).expect("a size count cannot fail");
    size_encoder.into_writer().bytes_written
}

impl Encode for PeerRecord {
    fn encode<E: Encoder>(&self, encoder: &mut E) -> Result<(), EncodeError> {
        (self.kind() as u8).encode(encoder)?;
        match self {
            PeerRecord::Member(record) => encode_length_prefixed(record, encoder),
            PeerRecord::Item(record) => encode_length_prefixed(record, encoder),
        }
    }
}

fn encode_length_prefixed<T: Encode, E: Encoder>(
    body: &T,
    encoder: &mut E,
) -> Result<(), EncodeError> {
    (encoded_len(body) as u64).encode(encoder)?;
    body.encode(encoder)
}

/// Encodes the number of records, then the records.
pub(crate) fn encode_records<E: Encoder>(
    records: &[PeerRecord],
    encoder: &mut E,
) -> Result<(), EncodeError> {
    (records.len() as u64).encode(encoder)?;
    records.iter().try_for_each(|record| record.encode(encoder))
}

/// Decodes a list of records, skipping those of unknown kinds.
pub(crate) fn decode_records<'de, D: BorrowDecoder<'de>>(
    decoder: &mut D,
) -> Result<Vec<PeerRecord>, DecodeError> {
    let count = decode_u64(decoder)?;
    let mut records = Vec::new();
    for _ in 0..count {
        let tag = decode_tag(decoder)?;
        let body: &'de [u8] = BorrowDecode::borrow_decode(decoder)?;
        if let Some(kind) = RecordKind::from_tag(tag) {
            records.push(decode_record_body(kind, body)?);
        }
    }
    Ok(records)
}

/// Ignores bytes after the known fields, which a newer release may have added.
fn decode_record_body(kind: RecordKind, body: &[u8]) -> Result<PeerRecord, DecodeError> {
    let reader = bincode::de::read::SliceReader::new(body);
    let mut decoder = bincode::de::DecoderImpl::new(reader, BINCODE_CONFIG, ());
    if kind == RecordKind::Member {
        return decode_member(&mut decoder).map(PeerRecord::Member);
    }
    decode_item_record(kind, &mut decoder).map(PeerRecord::Item)
}

impl Encode for MemberRecord {
    fn encode<E: Encoder>(&self, encoder: &mut E) -> Result<(), EncodeError> {
        encode_name(encoder, self.host.as_str())?;
        self.incarnation.0.encode(encoder)?;
        self.heartbeat.encode(encoder)?;
        (self.state as u8).encode(encoder)?;
        encode_name(encoder, self.zone.as_str())?;
        self.address.encode(encoder)?;
        self.age_ms.encode(encoder)
    }
}

pub(crate) fn decode_member<'de, D: BorrowDecoder<'de>>(
    decoder: &mut D,
) -> Result<MemberRecord, DecodeError> {
    Ok(MemberRecord {
        host: decode_name(decoder)?,
        incarnation: Incarnation(decode_u64(decoder)?),
        heartbeat: decode_u64(decoder)?,
        state: decode_member_state(decoder)?,
        zone: decode_name(decoder)?,
        address: BorrowDecode::borrow_decode(decoder)?,
        age_ms: decode_u64(decoder)?,
    })
}

fn decode_member_state<'de, D: BorrowDecoder<'de>>(
    decoder: &mut D,
) -> Result<MemberState, DecodeError> {
    match decode_tag(decoder)? {
        0 => Ok(MemberState::Alive),
        1 => Ok(MemberState::Suspected),
        2 => Ok(MemberState::Gone),
        3 => Ok(MemberState::Left),
        tag => unknown_tag(tag, 3),
    }
}
