//! Frames: a length, the protocol's version, and the message in bincode.

use bincode::config::Configuration;
use bincode::config::Limit;
use bytes::Buf;
use bytes::BufMut;
use bytes::Bytes;
use bytes::BytesMut;
use derive_more::Display;
use derive_more::Error;

use crate::wire::peer_message::PeerFrame;

/// Version of the protocol, the first byte of each frame.
pub const PROTOCOL_VERSION: u8 = 1;
/// A longer frame is not read.
pub const FRAME_LIMIT: usize = 256 * 1024;
/// Length of the length.
pub const LENGTH_BYTES: usize = 4;

/// Numbers take one byte when small, and nothing longer than a frame is allocated.
pub(crate) const CONFIG: Configuration<
    bincode::config::LittleEndian,
    bincode::config::Varint,
    Limit<FRAME_LIMIT>,
> = bincode::config::standard().with_limit::<FRAME_LIMIT>();

/// Why a frame could not be read. The link is of no use after it.
#[derive(Debug, Display, Error)]
pub enum FrameError {
    /// Longer than any frame may be, or empty.
    #[display("frame of {length} bytes")]
    Length {
        /// The length it claims.
        length: usize,
    },
    /// Another version of the protocol.
    #[display("protocol version {version}, expected {PROTOCOL_VERSION}")]
    Version {
        /// The version it claims.
        version: u8,
    },
    /// Not a message.
    #[display("unreadable message: {source}")]
    Message {
        /// What the decoder says.
        source: bincode::error::DecodeError,
    },
    /// Bytes stand after the message.
    #[display("{excess} bytes after the message")]
    Excess {
        /// How many.
        excess: usize,
    },
}

/// Writes a frame with its length.
pub fn encode_frame(frame: &PeerFrame) -> Bytes {
    let body =
        bincode::encode_to_vec(frame, CONFIG).expect("messages are bounded when they are made");
    let mut out = BytesMut::with_capacity(LENGTH_BYTES + 1 + body.len());
    out.put_u32(1 + body.len() as u32);
    out.put_u8(PROTOCOL_VERSION);
    out.put_slice(&body);
    out.freeze()
}

/// Reads a frame without its length.
pub fn decode_frame(bytes: &[u8]) -> Result<PeerFrame, FrameError> {
    let Some((&version, body)) = bytes.split_first() else {
        return Err(FrameError::Length { length: 0 });
    };
    if version != PROTOCOL_VERSION {
        return Err(FrameError::Version { version });
    }
    let (frame, read) = bincode::borrow_decode_from_slice(body, CONFIG)
        .map_err(|source| FrameError::Message { source })?;
    if read < body.len() {
        return Err(FrameError::Excess { excess: body.len() - read });
    }
    Ok(frame)
}

/// Cuts a byte stream into frames.
#[derive(Debug, Default)]
pub struct FrameReader {
    buffer: BytesMut,
}

impl FrameReader {
    /// Takes in what came.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// The next whole frame without its length, if there is one.
    pub fn next_frame(&mut self) -> Result<Option<Bytes>, FrameError> {
        if self.buffer.len() < LENGTH_BYTES {
            return Ok(None);
        }
        let length = (&self.buffer[..LENGTH_BYTES]).get_u32() as usize;
        if length == 0 || length > FRAME_LIMIT {
            return Err(FrameError::Length { length });
        }
        if self.buffer.len() < LENGTH_BYTES + length {
            return Ok(None);
        }
        self.buffer.advance(LENGTH_BYTES);
        Ok(Some(self.buffer.split_to(length).freeze()))
    }
}
