//! Responses whose head has arrived, from a server or through another host.

use std::pin::Pin;
use std::sync::Arc;
use std::task::Context;
use std::task::Poll;

use bytes::Bytes;
use derive_more::Display;
use derive_more::Error;
use fulmargate_consortium::ResponseHead;
use fulmargate_dispatch::BodyFraming;
use fulmargate_dispatch::SendOutcome;
use fulmargate_dispatch::ServerEntry;
use fulmargate_dispatch::StreamOrigin;
use fulmargate_names::HostName;
use fulmargate_names::WeightsVersion;
use http::response::Parts;
use http_body_util::BodyExt;
use hyper::body::Body;
use hyper::body::Frame;
use hyper::body::Incoming;
use tokio::time::Instant;
use tokio::time::timeout_at;

use crate::traffic::block_body::BlockBody;
use crate::traffic::buffered_body::BodyMemory;
use crate::traffic::buffered_body::BufferedBody;
use crate::traffic::in_flight_request::InFlightRequest;
use crate::traffic::peer_forwarding::ForwardBody;
use crate::traffic::send_attempt::SendError;
use crate::traffic::server_connection::ServerConnection;

/// Who sent a response.
#[derive(Clone, Debug)]
pub(crate) enum ResponseOrigin {
    /// A server, on a connection of this host.
    Server(Arc<ServerEntry>),
    /// Another host, which has sent the request to a server.
    Helper(HostName),
}

/// A response whose head has arrived.
pub(crate) struct UpstreamResponse {
    pub(crate) parts: Parts,
    pub(crate) head: ResponseHead,
    pub(crate) framing: BodyFraming,
    pub(crate) body: UpstreamBody,
    pub(crate) origin: ResponseOrigin,
    pub(crate) weights: Option<WeightsVersion>,
    /// Service and software version of the server.
    pub(crate) stream_origin: StreamOrigin,
}

/// A body that is being received. Dropping it cancels the request.
pub(crate) enum UpstreamBody {
    Server { body: Incoming, in_flight: InFlightRequest, connection: ServerConnection },
    Helper(Box<ForwardBody>),
}

/// Why a body ended early.
#[derive(Debug, Display, Error)]
#[display("{reason}")]
pub(crate) struct BodyError {
    reason: String,
}

impl BodyError {
    fn new(err: &dyn ToString) -> BodyError {
        BodyError { reason: err.to_string() }
    }
}

impl ResponseOrigin {
    /// The server, if the response came on a connection of this host.
    pub(crate) fn server(&self) -> Option<&Arc<ServerEntry>> {
        match self {
            ResponseOrigin::Server(server) => Some(server),
            ResponseOrigin::Helper(_) => None,
        }
    }

    /// The host that the response came through.
    pub(crate) fn helper(&self) -> Option<&HostName> {
        match self {
            ResponseOrigin::Server(_) => None,
            ResponseOrigin::Helper(host) => Some(host),
        }
    }
}

impl UpstreamResponse {
    /// Reads the body to its end on the connection, which does not show that it is complete.
    pub(crate) async fn read_body(
        &mut self,
        memory: BodyMemory,
        deadline: Instant,
    ) -> Result<BlockBody, SendError> {
        let stated = self.body.stated_length();
        let mut body = BufferedBody::begin(memory, stated, deadline).await?;
        loop {
            let frame = timeout_at(deadline, self.body.frame()).await.map_err(|_| {
                SendError::new(SendOutcome::TimedOut, &"the answer did not end in time")
            })?;
            let Some(frame) = frame else { return Ok(body.take()) };
            let frame = frame.map_err(|err| SendError::new(SendOutcome::Broken, &err))?;
            body.push(&frame.into_data().unwrap_or_default(), deadline).await?;
        }
    }

    /// The request's place at its server; `None` if another host has sent it.
    pub(crate) fn in_flight(&self) -> Option<&InFlightRequest> {
        match &self.body {
            UpstreamBody::Server { in_flight, .. } => Some(in_flight),
            UpstreamBody::Helper(_) => None,
        }
    }
}

impl UpstreamBody {
    /// The length that the response states.
    fn stated_length(&self) -> Option<usize> {
        match self {
            UpstreamBody::Server { body, .. } => {
                body.size_hint().exact().and_then(|bytes| usize::try_from(bytes).ok())
            }
            UpstreamBody::Helper(_) => None,
        }
    }
}

impl Body for UpstreamBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        match self.get_mut() {
            UpstreamBody::Server { body, connection, .. } => {
                let frame = Pin::new(body).poll_frame(context);
                if let Poll::Ready(Some(Ok(frame))) = &frame
                    && frame.data_ref().is_some_and(|data| !data.is_empty())
                {
                    connection.record_part();
                }
                frame.map(|frame| frame.map(|result| result.map_err(|err| BodyError::new(&err))))
            }
            UpstreamBody::Helper(body) => {
                let frame = Pin::new(body.as_mut()).poll_frame(context);
                frame.map(|frame| frame.map(|result| result.map_err(|err| BodyError::new(&err))))
            }
        }
    }
}
