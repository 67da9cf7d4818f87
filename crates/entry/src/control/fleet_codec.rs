//! Records of the routers' own topic as bytes.

use bincode::config;
use bincode::error::DecodeError;
use bincode::error::EncodeError;
use fulmargate_dispatch::FleetRecord;

/// The bytes of a record.
pub(crate) fn encode_record(record: &FleetRecord) -> Result<Vec<u8>, EncodeError> {
    bincode::serde::encode_to_vec(record, config::standard())
}

/// Reads a record. A later version of the router may write kinds that this one does not know.
pub(crate) fn decode_record(bytes: &[u8]) -> Result<FleetRecord, DecodeError> {
    bincode::serde::decode_from_slice(bytes, config::standard()).map(|(record, _)| record)
}
