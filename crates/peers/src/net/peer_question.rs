//! Queries between routers. Responses are opaque bytes to this crate.

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

/// A query from one router to another.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PeerQuestion {
    /// Requests the records of the configuration log from an offset on, or a snapshot.
    ConfigRecords {
        /// Offset of the first requested record.
        from_offset: LogOffset,
    },
    /// Requests the state that lets a newly started router place requests like one that has been
    /// running for a while.
    WarmState,
}

/// Reason why a query failed.
#[derive(Debug, Display, Error)]
pub enum QueryError {
    /// No live host has this name.
    #[display("unknown host")]
    UnknownHost,
    /// The host has no answer to the query.
    #[display("the host has no answer")]
    NoAnswer,
    /// The host is serving too many queries; try another host.
    #[display("the host is busy")]
    Busy,
    /// Another host, or a host of another fleet, listens at the address.
    #[display("the address belongs to another host")]
    WrongHost,
    /// The response exceeds the maximum length.
    #[display("the response is too long")]
    TooLong,
    /// The response did not arrive in time.
    #[display("timed out")]
    Timeout,
    /// The connection failed.
    #[display("the connection failed: {reason}")]
    Connection {
        /// Error of the connection.
        reason: String,
    },
}

/// A query and its intended recipient, which is checked because addresses are reused.
#[derive(Debug, PartialEq, Eq)]
pub(crate) struct QueryFrame {
    pub(crate) fleet: String,
    pub(crate) host: HostName,
    pub(crate) query: PeerQuestion,
}

impl QueryFrame {
    pub(crate) fn to_bytes(&self) -> Bytes {
        let mut bytes = vec![PROTOCOL_VERSION];
        bytes.extend(
            bincode::encode_to_vec(self, BINCODE_CONFIG).expect("queries are below the size limit"),
        );
        Bytes::from(bytes)
    }

    pub(crate) fn from_bytes(bytes: &[u8]) -> Option<QueryFrame> {
        let (&version, body) = bytes.split_first()?;
        let decoded = bincode::borrow_decode_from_slice(body, BINCODE_CONFIG).ok();
        decoded.filter(|_| version == PROTOCOL_VERSION).map(|(frame, _)| frame)
    }
}

const CONFIG_RECORDS: u8 = 0;
const WARM_STATE: u8 = 1;

impl Encode for QueryFrame {
    fn encode<E: Encoder>(&self, encoder: &mut E) -> Result<(), EncodeError> {
        encode_name(encoder, &self.fleet)?;
        encode_name(encoder, self.host.as_str())?;
        match self.query {
            PeerQuestion::ConfigRecords { from_offset } => {
                (CONFIG_RECORDS, from_offset.0).encode(encoder)
            }
            PeerQuestion::WarmState => WARM_STATE.encode(encoder),
        }
    }
}

impl<'de, C> BorrowDecode<'de, C> for QueryFrame {
    fn borrow_decode<D: BorrowDecoder<'de, Context = C>>(
        decoder: &mut D,
    ) -> Result<Self, DecodeError> {
        let fleet = decode_name(decoder)?;
        let host = decode_name(decoder)?;
        let query = match decode_tag(decoder)? {
            CONFIG_RECORDS => {
                PeerQuestion::ConfigRecords { from_offset: LogOffset(decode_u64(decoder)?) }
            }
            WARM_STATE => PeerQuestion::WarmState,
            tag => return unknown_tag(tag, WARM_STATE),
        };
        Ok(QueryFrame { fleet, host, query })
    }
}
