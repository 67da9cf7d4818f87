//! Accepts connections from peers.

use std::cell::Cell;
use std::rc::Rc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use h2::RecvStream;
use h2::server::Connection;
use h2::server::SendResponse;
use http::Request;
use http::Response;
use http::StatusCode;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::time::timeout;
use tokio_util::sync::CancellationToken;

use crate::net::counting_stream::CountingStream;
use crate::net::frame_io::FrameQueue;
use crate::net::frame_io::SETUP_TIMEOUT;
use crate::net::link_error::LinkError;
use crate::net::link_table::LINK_QUEUE_CAPACITY;
use crate::net::link_task::LINK_PATH;
use crate::net::link_task::LinkContext;
use crate::net::link_task::run_incoming_link;
use crate::net::net_state::IncomingLink;
use crate::net::net_state::LinkEvent;
use crate::net::net_state::NetState;
use crate::net::query_server::QUERY_PATH;
use crate::net::query_server::serve_query;

const MAX_CONNECTIONS: usize = 256;
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Accepts connections until the host stops.
pub(crate) struct ListenerTask {
    pub(crate) state: Rc<NetState>,
    pub(crate) events: mpsc::Sender<LinkEvent>,
    pub(crate) last_link_id: Rc<Cell<u64>>,
    pub(crate) open_connections: Rc<Cell<usize>>,
}

impl ListenerTask {
    pub(crate) async fn run(self, listener: TcpListener) {
        let task = Rc::new(self);
        loop {
            let accepted = tokio::select! {
                accepted = listener.accept() => accepted,
                () = task.state.cancellation.cancelled() => return,
            };
            match accepted {
                Ok((stream, _)) if task.open_connections.get() < MAX_CONNECTIONS => {
                    actix_rt::spawn(task.clone().serve(stream));
                }
                Ok(_) => {
                    task.state.counters.links_refused.fetch_add(1, Ordering::Relaxed);
                }
                Err(error) => {
                    tracing::debug!(%error, "accept failed");
                    tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                }
            }
        }
    }

    async fn serve(self: Rc<Self>, stream: TcpStream) {
        self.open_connections.set(self.open_connections.get() + 1);
        tokio::select! {
            result = self.serve_connection(stream) => {
                if let Err(error) = result {
                    tracing::debug!(%error, "peer connection failed");
                }
            }
            () = self.state.cancellation.cancelled() => {}
        }
        self.open_connections.set(self.open_connections.get() - 1);
    }

    async fn serve_connection(&self, stream: TcpStream) -> Result<(), LinkError> {
        stream.set_nodelay(true)?;
        let stream = CountingStream::new(stream, self.state.counters.clone());
        let handshake = h2::server::Builder::new().max_concurrent_streams(4).handshake(stream);
        let mut connection =
            timeout(SETUP_TIMEOUT, handshake).await.map_err(|_| LinkError::Timeout)??;
        let cancellation = self.state.cancellation.child_token();
        let result = self.serve_requests(&mut connection, &cancellation).await;
        cancellation.cancel();
        result
    }

    /// Serves requests until the connection ends or is idle without open streams. Otherwise,
    /// connections of unreachable peers would accumulate up to `MAX_CONNECTIONS`.
    async fn serve_requests(
        &self,
        connection: &mut Connection<CountingStream, Bytes>,
        cancellation: &CancellationToken,
    ) -> Result<(), LinkError> {
        let idle_timeout = Duration::from_millis(self.state.idle_timeout_ms);
        loop {
            match timeout(idle_timeout, connection.accept()).await {
                Ok(Some(accepted)) => {
                    let (request, responder) = accepted?;
                    self.serve_request(request, responder, cancellation);
                }
                Ok(None) => return Ok(()),
                Err(_) if connection.has_streams() => {}
                Err(_) => return Err(LinkError::Timeout),
            }
        }
    }

    fn serve_request(
        &self,
        request: Request<RecvStream>,
        mut responder: SendResponse<Bytes>,
        cancellation: &CancellationToken,
    ) {
        match request.uri().path() {
            LINK_PATH => {
                self.serve_link(request.into_body(), responder, cancellation.child_token());
            }
            QUERY_PATH => {
                actix_rt::spawn(serve_query(self.state.clone(), request.into_body(), responder));
            }
            _ => {
                let refusal = Response::builder()
                    .status(StatusCode::NOT_FOUND)
                    .body(())
                    .expect("a valid response");
                let _ = responder.send_response(refusal, true);
            }
        }
    }

    fn serve_link(
        &self,
        body: RecvStream,
        responder: SendResponse<Bytes>,
        cancellation: CancellationToken,
    ) {
        self.state.counters.links_accepted.fetch_add(1, Ordering::Relaxed);
        let link_id = self.last_link_id.get() + 1;
        self.last_link_id.set(link_id);
        let (queue, frames) = mpsc::channel(LINK_QUEUE_CAPACITY);
        let pending = Rc::new(Cell::new(0));
        let incoming_link =
            IncomingLink { queue, pending: pending.clone(), cancellation: cancellation.clone() };
        let context = LinkContext {
            link_id,
            state: self.state.clone(),
            events: self.events.clone(),
            cancellation,
        };
        let frame_queue = FrameQueue { frames, pending };
        actix_rt::spawn(context.clone().run(run_incoming_link(
            context,
            body,
            responder,
            incoming_link,
            frame_queue,
        )));
    }
}
