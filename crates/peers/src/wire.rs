//! Wire protocol between routers: framing, messages and their binary encoding.

mod frame_codec;
mod item_codec;
mod message_codec;
mod peer_message;
mod primitive_codec;
mod record_codec;

pub(crate) use frame_codec::BINCODE_CONFIG;
pub use frame_codec::FrameError;
pub use frame_codec::FrameReader;
pub use frame_codec::LENGTH_PREFIX_BYTES;
pub use frame_codec::MAX_FRAME_BYTES;
pub use frame_codec::PROTOCOL_VERSION;
pub use frame_codec::decode_frame;
pub use frame_codec::encode_frame;
pub(crate) use item_codec::estimated_record_len;
pub use peer_message::JoinResponsePart;
pub use peer_message::PeerFrame;
pub use peer_message::PeerMessage;
pub use peer_message::PeerRecord;
pub use peer_message::SummaryEntry;
pub(crate) use primitive_codec::decode_name;
pub(crate) use primitive_codec::decode_tag;
pub(crate) use primitive_codec::decode_u64;
pub(crate) use primitive_codec::encode_name;
pub(crate) use primitive_codec::unknown_tag;
pub(crate) use record_codec::encoded_len;
