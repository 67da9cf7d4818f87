//! Encoding of names, integers and enum tags.

use bincode::BorrowDecode;
use bincode::Encode;
use bincode::de::BorrowDecoder;
use bincode::enc::Encoder;
use bincode::error::AllowedEnumVariants;
use bincode::error::DecodeError;
use bincode::error::EncodeError;

pub(crate) fn encode_name<E: Encoder>(encoder: &mut E, name: &str) -> Result<(), EncodeError> {
    name.encode(encoder)
}

/// Decodes a name from text borrowed from the input, which avoids an intermediate copy.
pub(crate) fn decode_name<'de, D, T>(decoder: &mut D) -> Result<T, DecodeError>
where
    D: BorrowDecoder<'de>,
    T: From<&'de str>,
{
    let text: &'de str = BorrowDecode::borrow_decode(decoder)?;
    Ok(T::from(text))
}

pub(crate) fn decode_u64<'de, D: BorrowDecoder<'de>>(decoder: &mut D) -> Result<u64, DecodeError> {
    BorrowDecode::borrow_decode(decoder)
}

pub(crate) fn decode_tag<'de, D: BorrowDecoder<'de>>(decoder: &mut D) -> Result<u8, DecodeError> {
    BorrowDecode::borrow_decode(decoder)
}

/// Returns the error for a tag that is not valid for its enum.
pub(crate) fn unknown_tag<T>(tag: u8, max_known: u8) -> Result<T, DecodeError> {
    Err(DecodeError::UnexpectedVariant {
        type_name: std::any::type_name::<T>(),
        allowed: &AllowedEnumVariants::Range { min: 0, max: u8::MAX as u32 },
        found: u32::from(tag.max(max_known)),
    })
}
