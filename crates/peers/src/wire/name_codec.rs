//! Encoding of names and numbers that other crates own.

use bincode::BorrowDecode;
use bincode::Encode;
use bincode::de::BorrowDecoder;
use bincode::enc::Encoder;
use bincode::error::AllowedEnumVariants;
use bincode::error::DecodeError;
use bincode::error::EncodeError;

/// Writes the text of a name.
pub(crate) fn put_name<E: Encoder>(encoder: &mut E, name: &str) -> Result<(), EncodeError> {
    name.encode(encoder)
}

/// Reads a name without copying its text twice.
pub(crate) fn take_name<'de, D, T>(decoder: &mut D) -> Result<T, DecodeError>
where
    D: BorrowDecoder<'de>,
    T: From<&'de str>,
{
    let text: &'de str = BorrowDecode::borrow_decode(decoder)?;
    Ok(T::from(text))
}

/// Reads a number.
pub(crate) fn take_number<'de, D: BorrowDecoder<'de>>(decoder: &mut D) -> Result<u64, DecodeError> {
    BorrowDecode::borrow_decode(decoder)
}

/// Reads the tag of an enum.
pub(crate) fn take_tag<'de, D: BorrowDecoder<'de>>(decoder: &mut D) -> Result<u8, DecodeError> {
    BorrowDecode::borrow_decode(decoder)
}

/// The error for a tag beyond `last`.
pub(crate) fn unknown_tag<T>(tag: u8, last: u8) -> Result<T, DecodeError> {
    Err(DecodeError::UnexpectedVariant {
        type_name: std::any::type_name::<T>(),
        allowed: &AllowedEnumVariants::Range { min: 0, max: u8::MAX as u32 },
        found: u32::from(tag.max(last)),
    })
}
