//! Questions between routers. Answers are bytes that this crate does not read.

use bincode::BorrowDecode;
use bincode::Encode;
use bincode::de::BorrowDecoder;
use bincode::enc::Encoder;
use bincode::error::DecodeError;
use bincode::error::EncodeError;
use bytes::Bytes;
use derive_more::Display;
use derive_more::Error;
use fulmargate_names::HostName;
use fulmargate_names::LogOffset;

use crate::wire::BINCODE_CONFIG;
use crate::wire::PROTOCOL_VERSION;
use crate::wire::decode_name;
use crate::wire::decode_tag;
use crate::wire::decode_u64;
use crate::wire::encode_name;
use crate::wire::unknown_tag;

/// What one router may ask another. The list is closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PeerQuestion {
    /// The configuration stream's records from an offset on, or a snapshot.
    ConfigRecords {
        /// The first record wanted.
        from_offset: LogOffset,
    },
    /// What a router that has just started needs to place requests as a warm one does.
    WarmState,
}

/// Why a question got no answer.
#[derive(Debug, Display, Error)]
pub enum AskError {
    /// No present host has this name.
    #[display("no such host")]
    UnknownHost,
    /// The host has nothing to say to this.
    #[display("the host has no answer")]
    NoAnswer,
    /// The host answers too many others at the moment; ask another.
    #[display("the host is busy")]
    Busy,
    /// Another host, or a host of another fleet, listens at the address.
    #[display("another host listens at the address")]
    WrongHost,
    /// The answer is longer than allowed.
    #[display("the answer is too long")]
    TooLong,
    /// No answer in time.
    #[display("no answer in time")]
    Timeout,
    /// The connection failed.
    #[display("the connection failed: {reason}")]
    Connection {
        /// What the library says.
        reason: String,
    },
}

/// A question with whom it is for: addresses are reused.
#[derive(Debug, PartialEq, Eq)]
pub(crate) struct QuestionFrame {
    pub(crate) fleet: String,
    pub(crate) host: HostName,
    pub(crate) question: PeerQuestion,
}

impl QuestionFrame {
    pub(crate) fn to_bytes(&self) -> Bytes {
        let mut bytes = vec![PROTOCOL_VERSION];
        bytes.extend(bincode::encode_to_vec(self, BINCODE_CONFIG).expect("questions are short"));
        Bytes::from(bytes)
    }

    pub(crate) fn from_bytes(bytes: &[u8]) -> Option<QuestionFrame> {
        let (&version, body) = bytes.split_first()?;
        let decoded = bincode::borrow_decode_from_slice(body, BINCODE_CONFIG).ok();
        decoded.filter(|_| version == PROTOCOL_VERSION).map(|(frame, _)| frame)
    }
}

const CONFIG_RECORDS: u8 = 0;
const WARM_STATE: u8 = 1;

impl Encode for QuestionFrame {
    fn encode<E: Encoder>(&self, encoder: &mut E) -> Result<(), EncodeError> {
        encode_name(encoder, &self.fleet)?;
        encode_name(encoder, self.host.as_str())?;
        match self.question {
            PeerQuestion::ConfigRecords { from_offset } => {
                (CONFIG_RECORDS, from_offset.0).encode(encoder)
            }
            PeerQuestion::WarmState => WARM_STATE.encode(encoder),
        }
    }
}

impl<'de, C> BorrowDecode<'de, C> for QuestionFrame {
    fn borrow_decode<D: BorrowDecoder<'de, Context = C>>(
        decoder: &mut D,
    ) -> Result<Self, DecodeError> {
        let fleet = decode_name(decoder)?;
        let host = decode_name(decoder)?;
        let question = match decode_tag(decoder)? {
            CONFIG_RECORDS => {
                PeerQuestion::ConfigRecords { from_offset: LogOffset(decode_u64(decoder)?) }
            }
            WARM_STATE => PeerQuestion::WarmState,
            tag => return unknown_tag(tag, WARM_STATE),
        };
        Ok(QuestionFrame { fleet, host, question })
    }
}
