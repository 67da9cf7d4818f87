//! Encoding of forwarded requests and of their replies.
//!
//! Both begin with the length of their head in four bytes and the head; the body follows.

#[cfg(test)]
mod tests;

use std::time::Duration;

use bincode::config;
use bytes::Buf;
use bytes::BufMut;
use bytes::Bytes;
use bytes::BytesMut;
use derive_more::Display;
use derive_more::Error;
use derive_more::From;
use fulmargate_dispatch::StreamOrigin;
use fulmargate_names::ConfigVersion;
use fulmargate_names::ErrorKind;
use fulmargate_names::ServerName;
use fulmargate_names::WeightsVersion;
use h2::RecvStream;
use http::HeaderMap;
use http::HeaderName;
use http::HeaderValue;
use http::Method;
use http::Request;
use http::StatusCode;
use http::Uri;
use serde::Deserialize;
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::traffic::request_failure::RequestFailure;

/// Path of the stream that carries a forwarded request.
pub(crate) const FORWARD_PATH: &str = "/forward";
/// The host that forwards.
pub(crate) const SENDER_HEADER: &str = "fulmargate-host";
/// The incarnation of its process, which only routers know.
pub(crate) const INCARNATION_HEADER: &str = "fulmargate-incarnation";

/// Upper bound of an encoded head. Fits the largest head of a caller's request.
const MAX_HEAD_BYTES: usize = 64 * 1024;
const LENGTH_BYTES: usize = 4;

/// Headers in order; names may repeat.
type HeaderList = Vec<(String, Vec<u8>)>;

/// Sends of a request so far.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct RunCounts {
    /// Sends that may have reached a server.
    pub(crate) arrivals: u32,
    /// Sends that a server may have run.
    pub(crate) possible_runs: u32,
}

/// A caller's request without its body.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct ForwardHead {
    /// Configuration of the forwarding host.
    pub(crate) config: ConfigVersion,
    method: String,
    /// Path and query.
    target: String,
    headers: HeaderList,
    /// Time until the request's deadline.
    pub(crate) time_left_ms: u64,
    /// Time since the request arrived.
    pub(crate) waited_ms: u64,
    pub(crate) runs: RunCounts,
    /// Whether the first send is counted by the forwarding host's retry budget.
    pub(crate) is_counted: bool,
    /// The stream goes on after this event.
    pub(crate) last_event: Option<String>,
    /// The stream goes on with these weights.
    pub(crate) weights: Option<WeightsVersion>,
    /// The stream goes on at servers of this origin. Encoded after the head, where earlier versions ignore it.
    #[serde(skip)]
    pub(crate) origin: Option<StreamOrigin>,
    /// Whether the forwarding host binds streams to their origin. Hosts of an earlier version do not.
    #[serde(skip)]
    pub(crate) binds_streams: bool,
}

/// What became of a forwarded request.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) enum ForwardReply {
    /// A server's response. The body follows.
    Response {
        status: u16,
        headers: HeaderList,
        /// The server that responded.
        server: Option<ServerName>,
        weights: Option<WeightsVersion>,
        runs: RunCounts,
        /// Where the stream began. Encoded after the head; `None` from helpers of an earlier version.
        #[serde(skip)]
        origin: Option<StreamOrigin>,
    },
    /// An error of the helper.
    Failure {
        /// Code of the error kind.
        code: String,
        detail: String,
        retry_delay_ms: u64,
        closes_connection: bool,
        runs: RunCounts,
    },
}

/// Why a message between hosts cannot be read or written.
#[derive(Debug, Display, Error, From)]
pub(crate) enum WireError {
    #[display("{_0}")]
    Stream(h2::Error),
    #[display("{_0}")]
    Encode(bincode::error::EncodeError),
    #[display("{_0}")]
    Decode(bincode::error::DecodeError),
    #[display("{_0}")]
    Http(http::Error),
    #[display("the head is too long")]
    HeadTooLong,
    #[display("the message is cut off")]
    CutOff,
    #[display("the stream was closed")]
    Closed,
}

impl ForwardHead {
    /// Encodes method, path and headers of a caller's request; the other fields are zero.
    pub(crate) fn new(parts: &http::request::Parts, config: ConfigVersion) -> ForwardHead {
        let target = parts.uri.path_and_query().map_or("/", |target| target.as_str());
        ForwardHead {
            config,
            method: parts.method.as_str().to_owned(),
            target: target.to_owned(),
            headers: header_list(&parts.headers),
            time_left_ms: 0,
            waited_ms: 0,
            runs: RunCounts::default(),
            is_counted: false,
            last_event: None,
            weights: None,
            origin: None,
            binds_streams: true,
        }
    }

    /// The head of the caller's request.
    pub(crate) fn request_parts(&self) -> Result<http::request::Parts, WireError> {
        let method = Method::from_bytes(self.method.as_bytes()).map_err(http::Error::from)?;
        let target: Uri = self.target.parse().map_err(http::Error::from)?;
        let mut request = Request::new(());
        *request.method_mut() = method;
        *request.uri_mut() = target;
        *request.headers_mut() = header_map(&self.headers)?;
        Ok(request.into_parts().0)
    }

    pub(crate) fn time_left(&self) -> Duration {
        Duration::from_millis(self.time_left_ms)
    }

    pub(crate) fn waited(&self) -> Duration {
        Duration::from_millis(self.waited_ms)
    }
}

impl ForwardReply {
    pub(crate) fn response(
        parts: &http::response::Parts,
        server: Option<ServerName>,
        weights: Option<WeightsVersion>,
        runs: RunCounts,
        origin: Option<StreamOrigin>,
    ) -> ForwardReply {
        let (status, headers) = (parts.status.as_u16(), header_list(&parts.headers));
        ForwardReply::Response { status, headers, server, weights, runs, origin }
    }

    pub(crate) fn failure(failure: &RequestFailure, runs: RunCounts) -> ForwardReply {
        ForwardReply::Failure {
            code: failure.kind.row().code.to_owned(),
            detail: failure.detail.clone(),
            retry_delay_ms: failure.retry_delay.as_millis() as u64,
            closes_connection: failure.closes_connection,
            runs,
        }
    }
}

/// Rebuilds the head of a response.
pub(crate) fn response_parts(
    status: u16,
    headers: &HeaderList,
) -> Result<http::response::Parts, WireError> {
    let status = StatusCode::from_u16(status).map_err(http::Error::from)?;
    let mut parts = http::Response::new(()).into_parts().0;
    parts.status = status;
    parts.headers = header_map(headers)?;
    Ok(parts)
}

/// The error kind with this code. An unknown code comes from a later version and says nothing.
pub(crate) fn kind_of_code(code: &str) -> ErrorKind {
    let row = ErrorKind::rows().iter().find(|row| row.code == code);
    row.map_or(ErrorKind::OutcomeUnknown, |row| row.kind)
}

/// A head with the part that earlier versions of the router do not know, which is encoded after it.
pub(crate) trait ExtendedHead: Serialize + DeserializeOwned {
    /// Where the stream goes on, or began.
    fn origin(&self) -> Option<StreamOrigin>;

    /// Sets what was encoded after the head.
    fn set_origin(&mut self, origin: Option<StreamOrigin>);
}

impl ExtendedHead for ForwardHead {
    fn origin(&self) -> Option<StreamOrigin> {
        self.origin
    }

    fn set_origin(&mut self, origin: Option<StreamOrigin>) {
        self.origin = origin;
        self.binds_streams = true;
    }
}

impl ExtendedHead for ForwardReply {
    fn origin(&self) -> Option<StreamOrigin> {
        match self {
            ForwardReply::Response { origin, .. } => *origin,
            ForwardReply::Failure { .. } => None,
        }
    }

    fn set_origin(&mut self, stated: Option<StreamOrigin>) {
        if let ForwardReply::Response { origin, .. } = self {
            *origin = stated;
        }
    }
}

/// Encodes a head with its length.
pub(crate) fn encode_head<T: ExtendedHead>(head: &T) -> Result<Bytes, WireError> {
    let mut encoded = bincode::serde::encode_to_vec(head, config::standard())?;
    encoded.extend(bincode::serde::encode_to_vec(head.origin(), config::standard())?);
    let mut bytes = BytesMut::with_capacity(LENGTH_BYTES + encoded.len());
    bytes.put_u32(encoded.len() as u32);
    bytes.put_slice(&encoded);
    Ok(bytes.freeze())
}

/// Reads a head, and the beginning of the body that came with it.
pub(crate) async fn read_head<T: ExtendedHead>(
    stream: &mut RecvStream,
) -> Result<(T, Bytes), WireError> {
    let mut received = BytesMut::new();
    loop {
        if let Some(length) = received.first_chunk::<LENGTH_BYTES>() {
            let length = u32::from_be_bytes(*length) as usize;
            if MAX_HEAD_BYTES < length {
                return Err(WireError::HeadTooLong);
            }
            if LENGTH_BYTES + length <= received.len() {
                received.advance(LENGTH_BYTES);
                let head = received.split_to(length);
                return Ok((decode_head(&head)?, received.freeze()));
            }
        }
        let chunk = stream.data().await.ok_or(WireError::CutOff)??;
        stream.flow_control().release_capacity(chunk.len())?;
        received.extend_from_slice(&chunk);
    }
}

fn decode_head<T: ExtendedHead>(bytes: &[u8]) -> Result<T, WireError> {
    let (mut head, length): (T, usize) =
        bincode::serde::decode_from_slice(bytes, config::standard())?;
    let extension = bytes.get(length..).unwrap_or_default();
    if !extension.is_empty() {
        let (origin, _) = bincode::serde::decode_from_slice(extension, config::standard())?;
        head.set_origin(origin);
    }
    Ok(head)
}

fn header_list(headers: &HeaderMap) -> HeaderList {
    let entry = |(name, value): (&HeaderName, &HeaderValue)| {
        (name.as_str().to_owned(), value.as_bytes().to_vec())
    };
    headers.iter().map(entry).collect()
}

fn header_map(list: &HeaderList) -> Result<HeaderMap, http::Error> {
    let mut headers = HeaderMap::with_capacity(list.len());
    for (name, value) in list {
        let name = HeaderName::from_bytes(name.as_bytes())?;
        headers.append(name, HeaderValue::from_bytes(value)?);
    }
    Ok(headers)
}
