//! One exchange with one peer, seen from either side.

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

use crate::net::counted_stream::CountedStream;
use crate::net::frame_pump::FrameQueue;
use crate::net::frame_pump::FrameSource;
use crate::net::frame_pump::SETUP_TIMEOUT;
use crate::net::frame_pump::write_bytes;
use crate::net::frame_pump::write_queue;
use crate::net::link_error::LinkError;
use crate::net::net_state::AcceptedLink;
use crate::net::net_state::LinkEvent;
use crate::net::net_state::NetState;

/// Path of the exchange.
pub(crate) const EXCHANGE_PATH: &str = "/exchange";

/// A link's number, where it reports to, and what ends it.
#[derive(Clone)]
pub(crate) struct LinkContext {
    pub(crate) link: u64,
    pub(crate) state: Rc<NetState>,
    pub(crate) events: mpsc::Sender<LinkEvent>,
    pub(crate) cancellation: CancellationToken,
}

impl LinkContext {
    /// Runs a link to its end and reports it.
    pub(crate) async fn run(self, body: impl Future<Output = Result<(), LinkError>>) {
        let ended = tokio::select! {
            ended = body => ended,
            () = self.cancellation.cancelled() => Err(LinkError::Dropped),
        };
        let error = ended.err().unwrap_or(LinkError::Closed);
        let _ = self.events.send(LinkEvent::Down { link: self.link, error }).await;
    }

    async fn report(&self, event: LinkEvent) -> Result<(), LinkError> {
        self.events.send(event).await.map_err(|_| LinkError::Dropped)
    }

    async fn read_frames(&self, source: &mut FrameSource) -> Result<(), LinkError> {
        loop {
            let frame = source.next().await?;
            self.report(LinkEvent::Frame { link: self.link, frame }).await?;
        }
    }
}

/// Connects to a peer and exchanges frames with it.
pub(crate) async fn open_link(
    context: LinkContext,
    address: SocketAddr,
    mut queue: FrameQueue,
) -> Result<(), LinkError> {
    let stream = timeout(SETUP_TIMEOUT, TcpStream::connect(address))
        .await
        .map_err(|_| LinkError::Timeout)??;
    stream.set_nodelay(true)?;
    let stream = CountedStream::new(stream, context.state.counters.clone());
    let (client, connection) =
        h2::client::Builder::new().enable_push(false).handshake(stream).await?;
    tokio::select! {
        ended = connection => Err(ended.err().map_or(LinkError::Closed, LinkError::H2)),
        ended = exchange_as_client(&context, client, &mut queue) => ended,
    }
}

async fn exchange_as_client(
    context: &LinkContext,
    client: SendRequest<Bytes>,
    queue: &mut FrameQueue,
) -> Result<(), LinkError> {
    let request = Request::builder()
        .method(Method::POST)
        .uri(EXCHANGE_PATH)
        .body(())
        .expect("a fixed request");
    let (answer, mut stream) = client.ready().await?.send_request(request, false)?;
    write_bytes(&mut stream, context.state.hello()).await?;
    let read = async {
        let answer = timeout(SETUP_TIMEOUT, answer).await.map_err(|_| LinkError::Timeout)??;
        if answer.status() != StatusCode::OK {
            return Err(LinkError::Refused { status: answer.status().as_u16() });
        }
        let mut source = FrameSource::new(answer.into_body(), context.state.clone());
        let member = source.hello().await?;
        context.report(LinkEvent::Up { link: context.link, member, accepted: None }).await?;
        context.read_frames(&mut source).await
    };
    tokio::select! {
        ended = read => ended,
        ended = write_queue(&mut stream, queue) => ended,
    }
}

/// Exchanges frames with a peer that has connected.
pub(crate) async fn accept_link(
    context: LinkContext,
    body: RecvStream,
    mut respond: SendResponse<Bytes>,
    ends: AcceptedLink,
    mut queue: FrameQueue,
) -> Result<(), LinkError> {
    let mut source = FrameSource::new(body, context.state.clone());
    let member = match source.hello().await {
        Ok(member) => member,
        Err(error) => {
            let refusal =
                Response::builder().status(StatusCode::FORBIDDEN).body(()).expect("a fixed answer");
            respond.send_response(refusal, true)?;
            return Err(error);
        }
    };
    let mut stream = respond.send_response(Response::new(()), false)?;
    write_bytes(&mut stream, context.state.hello()).await?;
    context.report(LinkEvent::Up { link: context.link, member, accepted: Some(ends) }).await?;
    pump(&context, &mut source, &mut stream, &mut queue).await
}

async fn pump(
    context: &LinkContext,
    source: &mut FrameSource,
    stream: &mut SendStream<Bytes>,
    queue: &mut FrameQueue,
) -> Result<(), LinkError> {
    tokio::select! {
        ended = context.read_frames(source) => ended,
        ended = write_queue(stream, queue) => ended,
    }
}
