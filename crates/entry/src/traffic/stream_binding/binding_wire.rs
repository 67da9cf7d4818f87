//! Messages between hosts about where streams began.

use bincode::config;
use bincode::error::DecodeError;
use bincode::error::EncodeError;
use bytes::Bytes;
use fulmargate_dispatch::BindingNotice;
use fulmargate_dispatch::StreamKey;
use serde::Deserialize;
use serde::Serialize;
use serde::de::DeserializeOwned;

/// Path of a stream that carries one message and its reply.
pub(crate) const BINDING_PATH: &str = "/bindings";
/// Upper bound of a message. Fits the streams that a host begins in some seconds.
pub(crate) const MAX_BINDING_BYTES: usize = 256 * 1024;

/// A message to an owner.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum BindingMessage {
    /// Records to keep.
    Keep {
        /// In memory only.
        notices: Vec<BindingNotice>,
        /// In memory and in the store.
        for_store: Vec<BindingNotice>,
    },
    /// Asks for the record of an attempt.
    Ask(StreamKey),
}

/// The reply to a message.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct BindingReply {
    /// The record that was asked for.
    pub(crate) notice: Option<BindingNotice>,
}

pub(crate) fn encode_binding<T: Serialize>(message: &T) -> Result<Bytes, EncodeError> {
    bincode::serde::encode_to_vec(message, config::standard()).map(Bytes::from)
}

pub(crate) fn decode_binding<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, DecodeError> {
    bincode::serde::decode_from_slice(bytes, config::standard()).map(|(message, _)| message)
}
