//! Hand-written encoding of records: a tag, a length, the body.
//!
//! The length lets a host skip a kind that a newer release has added, while two releases run side
//! by side.

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
use crate::wire::frame_codec::CONFIG;
use crate::wire::item_codec::decode_record;
use crate::wire::name_codec::put_name;
use crate::wire::name_codec::take_name;
use crate::wire::name_codec::take_number;
use crate::wire::name_codec::take_tag;
use crate::wire::name_codec::unknown_tag;
use crate::wire::peer_message::PeerRecord;

/// Bytes that a value takes in a frame.
pub(crate) fn encoded_len<T: Encode>(value: &T) -> usize {
    let mut sizer = EncoderImpl::new(SizeWriter::default(), CONFIG);
    value.encode(&mut sizer).expect("counting does not fail");
    sizer.into_writer().bytes_written
}

impl Encode for PeerRecord {
    fn encode<E: Encoder>(&self, encoder: &mut E) -> Result<(), EncodeError> {
        (self.kind() as u8).encode(encoder)?;
        match self {
            PeerRecord::Member(record) => encode_sized(record, encoder),
            PeerRecord::Item(record) => encode_sized(record, encoder),
        }
    }
}

fn encode_sized<T: Encode, E: Encoder>(body: &T, encoder: &mut E) -> Result<(), EncodeError> {
    (encoded_len(body) as u64).encode(encoder)?;
    body.encode(encoder)
}

/// Writes records one after the other, their number first.
pub(crate) fn encode_records<E: Encoder>(
    records: &[PeerRecord],
    encoder: &mut E,
) -> Result<(), EncodeError> {
    (records.len() as u64).encode(encoder)?;
    records.iter().try_for_each(|record| record.encode(encoder))
}

/// Reads records and skips those of unknown kinds.
pub(crate) fn decode_records<'de, D: BorrowDecoder<'de>>(
    decoder: &mut D,
) -> Result<Vec<PeerRecord>, DecodeError> {
    let count = take_number(decoder)?;
    let mut records = Vec::new();
    for _ in 0..count {
        let tag = take_tag(decoder)?;
        let body: &'de [u8] = BorrowDecode::borrow_decode(decoder)?;
        if let Some(kind) = RecordKind::from_tag(tag) {
            records.push(decode_body(kind, body)?);
        }
    }
    Ok(records)
}

/// What stands after a body's known fields is left unread: a newer release may have added it.
fn decode_body(kind: RecordKind, body: &[u8]) -> Result<PeerRecord, DecodeError> {
    let reader = bincode::de::read::SliceReader::new(body);
    let mut decoder = bincode::de::DecoderImpl::new(reader, CONFIG, ());
    if kind == RecordKind::Member {
        return decode_member(&mut decoder).map(PeerRecord::Member);
    }
    decode_record(kind, &mut decoder).map(PeerRecord::Item)
}

impl Encode for MemberRecord {
    fn encode<E: Encoder>(&self, encoder: &mut E) -> Result<(), EncodeError> {
        put_name(encoder, self.host.as_str())?;
        self.incarnation.0.encode(encoder)?;
        self.heartbeat.encode(encoder)?;
        (self.state as u8).encode(encoder)?;
        put_name(encoder, self.zone.as_str())?;
        self.address.encode(encoder)?;
        self.age_ms.encode(encoder)
    }
}

/// Reads a member's record.
pub(crate) fn decode_member<'de, D: BorrowDecoder<'de>>(
    decoder: &mut D,
) -> Result<MemberRecord, DecodeError> {
    Ok(MemberRecord {
        host: take_name(decoder)?,
        incarnation: Incarnation(take_number(decoder)?),
        heartbeat: take_number(decoder)?,
        state: decode_state(decoder)?,
        zone: take_name(decoder)?,
        address: BorrowDecode::borrow_decode(decoder)?,
        age_ms: take_number(decoder)?,
    })
}

fn decode_state<'de, D: BorrowDecoder<'de>>(decoder: &mut D) -> Result<MemberState, DecodeError> {
    match take_tag(decoder)? {
        0 => Ok(MemberState::Alive),
        1 => Ok(MemberState::Suspected),
        2 => Ok(MemberState::Gone),
        3 => Ok(MemberState::Left),
        tag => unknown_tag(tag, 3),
    }
}
