//! Tasks that run outgoing and incoming links.

use std::net::SocketAddr;
use std::rc::Rc;

use bytes::Bytes;
use h2::RecvStream;
use h2::SendStream;
use h2::client::SendRequest;
use h2::server::SendResponse;
use http::Method;
use http::Request;
use http::Response;
use http::StatusCode;
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::time::timeout;
use tokio_util::sync::CancellationToken;

use crate::net::counting_stream::CountingStream;
use crate::net::frame_io::FrameQueue;
use crate::net::frame_io::FrameReceiver;
use crate::net::frame_io::SETUP_TIMEOUT;
use crate::net::frame_io::write_all;
use crate::net::frame_io::write_queued_frames;
use crate::net::link_error::LinkError;
use crate::net::net_state::IncomingLink;
use crate::net::net_state::LinkEvent;
use crate::net::net_state::NetState;

/// HTTP path of links.
pub(crate) const LINK_PATH: &str = "/exchange";

/// ID, event channel and cancellation token of a link.
#[derive(Clone)]
pub(crate) struct LinkContext {
    pub(crate) link_id: u64,
    pub(crate) state: Rc<NetState>,
    pub(crate) events: mpsc::Sender<LinkEvent>,
    pub(crate) cancellation: CancellationToken,
}

impl LinkContext {
    /// Runs a link until it closes, then reports `LinkEvent::Down`.
    pub(crate) async fn run(self, body: impl Future<Output = Result<(), LinkError>>) {
        let result = tokio::select! {
            result = body => result,
            () = self.cancellation.cancelled() => Err(LinkError::ClosedLocally),
        };
        let error = result.err().unwrap_or(LinkError::ClosedByPeer);
        let _ = self.events.send(LinkEvent::Down { link_id: self.link_id, error }).await;
    }

    async fn report(&self, event: LinkEvent) -> Result<(), LinkError> {
        self.events.send(event).await.map_err(|_| LinkError::ClosedLocally)
    }

    async fn read_frames(&self, receiver: &mut FrameReceiver) -> Result<(), LinkError> {
        loop {
            let frame = receiver.next().await?;
            self.report(LinkEvent::Frame { link_id: self.link_id, frame }).await?;
        }
    }
}

/// Connects to a peer and exchanges frames until the link closes.
pub(crate) async fn run_outgoing_link(
    context: LinkContext,
    address: SocketAddr,
    mut queue: FrameQueue,
) -> Result<(), LinkError> {
    let stream = timeout(SETUP_TIMEOUT, TcpStream::connect(address))
        .await
        .map_err(|_| LinkError::Timeout)??;
    stream.set_nodelay(true)?;
    let stream = CountingStream::new(stream, context.state.counters.clone());
    let (client, connection) =
        h2::client::Builder::new().enable_push(false).handshake(stream).await?;
    tokio::select! {
        result = connection => Err(result.err().map_or(LinkError::ClosedByPeer, LinkError::H2)),
        result = exchange_as_client(&context, client, &mut queue) => result,
    }
}

async fn exchange_as_client(
    context: &LinkContext,
    client: SendRequest<Bytes>,
    queue: &mut FrameQueue,
) -> Result<(), LinkError> {
    let request =
        Request::builder().method(Method::POST).uri(LINK_PATH).body(()).expect("a valid request");
    let (response, mut stream) = client.ready().await?.send_request(request, false)?;
    write_all(&mut stream, context.state.encode_hello()).await?;
    let read = async {
        let response = timeout(SETUP_TIMEOUT, response).await.map_err(|_| LinkError::Timeout)??;
        if response.status() != StatusCode::OK {
            return Err(LinkError::Refused { status: response.status().as_u16() });
        }
        let mut receiver = FrameReceiver::new(response.into_body(), context.state.clone());
        let member = receiver.receive_hello().await?;
        context.report(LinkEvent::Up { link_id: context.link_id, member, incoming: None }).await?;
        context.read_frames(&mut receiver).await
    };
    tokio::select! {
        result = read => result,
        result = write_queued_frames(&mut stream, queue) => result,
    }
}

/// Exchanges frames with a connected peer until the link closes.
pub(crate) async fn run_incoming_link(
    context: LinkContext,
    body: RecvStream,
    mut responder: SendResponse<Bytes>,
    incoming_link: IncomingLink,
    mut queue: FrameQueue,
) -> Result<(), LinkError> {
    let mut receiver = FrameReceiver::new(body, context.state.clone());
    let member = match receiver.receive_hello().await {
        Ok(member) => member,
        Err(error) => {
            let refusal = Response::builder()
                .status(StatusCode::FORBIDDEN)
                .body(())
                .expect("a valid response");
            responder.send_response(refusal, true)?;
            return Err(error);
        }
    };
    let mut stream = responder.send_response(Response::new(()), false)?;
    write_all(&mut stream, context.state.encode_hello()).await?;
    context
        .report(LinkEvent::Up { link_id: context.link_id, member, incoming: Some(incoming_link) })
        .await?;
    exchange_frames(&context, &mut receiver, &mut stream, &mut queue).await
}

async fn exchange_frames(
    context: &LinkContext,
    receiver: &mut FrameReceiver,
    stream: &mut SendStream<Bytes>,
    queue: &mut FrameQueue,
) -> Result<(), LinkError> {
    tokio::select! {
        result = context.read_frames(receiver) => result,
        result = write_queued_frames(stream, queue) => result,
    }
}
