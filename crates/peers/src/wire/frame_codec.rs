//! Framing: a big-endian length prefix, the protocol version and a bincode-encoded message.

use bincode::config::Configuration;
use bincode::config::Limit;
use bytes::Buf;
use bytes::BufMut;
use bytes::Bytes;
use bytes::BytesMut;
use derive_more::Display;
use derive_more::Error;

use crate::wire::peer_message::PeerFrame;

/// Protocol version, sent as the first byte of every frame.
pub const PROTOCOL_VERSION: u8 = 1;
/// Maximum length of a frame in bytes, without its length prefix.
pub const MAX_FRAME_BYTES: usize = 256 * 1024;
/// Size of the length prefix in bytes.
pub const LENGTH_PREFIX_BYTES: usize = 4;

/// Variable-length integers; the limit bounds what a corrupt length can make the decoder allocate.
pub(crate) const BINCODE_CONFIG: Configuration<
    bincode::config::LittleEndian,
    bincode::config::Varint,
    Limit<MAX_FRAME_BYTES>,
> = bincode::config::standard().with_limit::<MAX_FRAME_BYTES>();

/// Error reading a frame. The stream cannot be resynchronized afterwards, so the link is closed.
#[derive(Debug, Display, Error)]
pub enum FrameError {
    /// The frame is empty or longer than `MAX_FRAME_BYTES`.
    #[display("invalid frame length: {length} bytes")]
    Length {
        /// Length given by the prefix.
        length: usize,
    },
    /// The sender uses a different protocol version.
    #[display("unsupported protocol version {version}, expected {PROTOCOL_VERSION}")]
    Version {
        /// Version given in the frame.
        version: u8,
    },
    /// The message could not be decoded.
    #[display("cannot decode message: {source}")]
    Message {
        /// Error from the decoder.
        source: bincode::error::DecodeError,
    },
    /// Bytes remain in the frame after the message.
    #[display("{count} unexpected bytes after the message")]
    TrailingBytes {
        /// Number of remaining bytes.
        count: usize,
    },
}

/// Encodes a frame, including its length prefix.
pub fn encode_frame(frame: &PeerFrame) -> Bytes {
    let body = bincode::encode_to_vec(frame, BINCODE_CONFIG)
        .expect("messages are kept below the frame limit");
    let mut out = BytesMut::with_capacity(LENGTH_PREFIX_BYTES + 1 + body.len());
    out.put_u32(1 + body.len() as u32);
    out.put_u8(PROTOCOL_VERSION);
    out.put_slice(&body);
    out.freeze()
}

/// Decodes a frame whose length prefix has been removed.
pub fn decode_frame(bytes: &[u8]) -> Result<PeerFrame, FrameError> {
    let Some((&version, body)) = bytes.split_first() else {
        return Err(FrameError::Length { length: 0 });
    };
    if version != PROTOCOL_VERSION {
        return Err(FrameError::Version { version });
    }
    let (frame, read) = bincode::borrow_decode_from_slice(body, BINCODE_CONFIG)
        .map_err(|source| FrameError::Message { source })?;
    if read < body.len() {
        return Err(FrameError::TrailingBytes { count: body.len() - read });
    }
    Ok(frame)
}

/// Splits a byte stream into frames.
#[derive(Debug, Default)]
pub struct FrameReader {
    buffer: BytesMut,
}

impl FrameReader {
    /// Appends received bytes.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Removes the next complete frame from the buffer, without its length prefix.
    pub fn next_frame(&mut self) -> Result<Option<Bytes>, FrameError> {
        if self.buffer.len() < LENGTH_PREFIX_BYTES {
            return Ok(None);
        }
        let length = (&self.buffer[..LENGTH_PREFIX_BYTES]).get_u32() as usize;
        if length == 0 || length > MAX_FRAME_BYTES {
            return Err(FrameError::Length { length });
        }
        if self.buffer.len() < LENGTH_PREFIX_BYTES + length {
            return Ok(None);
        }
        self.buffer.advance(LENGTH_PREFIX_BYTES);
        Ok(Some(self.buffer.split_to(length).freeze()))
    }
}
