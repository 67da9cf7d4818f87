//! Connections that peers open.

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

use crate::net::answer_side::ASK_PATH;
use crate::net::answer_side::answer;
use crate::net::counted_stream::CountedStream;
use crate::net::frame_pump::FrameQueue;
use crate::net::frame_pump::SETUP_TIMEOUT;
use crate::net::link_error::LinkError;
use crate::net::link_table::LINK_QUEUE;
use crate::net::link_task::EXCHANGE_PATH;
use crate::net::link_task::LinkContext;
use crate::net::link_task::accept_link;
use crate::net::net_state::AcceptedLink;
use crate::net::net_state::LinkEvent;
use crate::net::net_state::NetState;

/// Connections that peers may hold open.
const ACCEPT_LIMIT: usize = 256;
/// Pause after a failure to accept.
const ACCEPT_PAUSE: Duration = Duration::from_millis(100);

/// Accepts connections until the host stops.
pub(crate) struct ListenerTask {
    pub(crate) state: Rc<NetState>,
    pub(crate) events: mpsc::Sender<LinkEvent>,
    pub(crate) next_link: Rc<Cell<u64>>,
    pub(crate) open: Rc<Cell<usize>>,
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
                Ok((stream, _)) if task.open.get() < ACCEPT_LIMIT => {
                    actix_rt::spawn(task.clone().serve(stream));
                }
                Ok(_) => {
                    task.state.counters.links_refused.fetch_add(1, Ordering::Relaxed);
                }
                Err(error) => {
                    tracing::debug!(%error, "accept failed");
                    tokio::time::sleep(ACCEPT_PAUSE).await;
                }
            }
        }
    }

    async fn serve(self: Rc<Self>, stream: TcpStream) {
        self.open.set(self.open.get() + 1);
        tokio::select! {
            ended = self.serve_streams(stream) => {
                if let Err(error) = ended {
                    tracing::debug!(%error, "a peer's connection ended");
                }
            }
            () = self.state.cancellation.cancelled() => {}
        }
        self.open.set(self.open.get() - 1);
    }

    async fn serve_streams(&self, stream: TcpStream) -> Result<(), LinkError> {
        stream.set_nodelay(true)?;
        let stream = CountedStream::new(stream, self.state.counters.clone());
        let handshake = h2::server::Builder::new().max_concurrent_streams(4).handshake(stream);
        let mut connection =
            timeout(SETUP_TIMEOUT, handshake).await.map_err(|_| LinkError::Timeout)??;
        let cancellation = self.state.cancellation.child_token();
        let ended = self.serve_requests(&mut connection, &cancellation).await;
        cancellation.cancel();
        ended
    }

    /// A connection on which nothing is open is closed after a while. A peer that was cut off sends
    /// no end; kept, such connections would fill the number allowed, and no peer could come in.
    async fn serve_requests(
        &self,
        connection: &mut Connection<CountedStream, Bytes>,
        cancellation: &CancellationToken,
    ) -> Result<(), LinkError> {
        let idle = Duration::from_millis(self.state.idle_ms);
        loop {
            match timeout(idle, connection.accept()).await {
                Ok(Some(accepted)) => {
                    let (request, respond) = accepted?;
                    self.serve_request(request, respond, cancellation);
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
        mut respond: SendResponse<Bytes>,
        cancellation: &CancellationToken,
    ) {
        match request.uri().path() {
            EXCHANGE_PATH => {
                self.serve_exchange(request.into_body(), respond, cancellation.child_token());
            }
            ASK_PATH => {
                actix_rt::spawn(answer(self.state.clone(), request.into_body(), respond));
            }
            _ => {
                let refusal = Response::builder()
                    .status(StatusCode::NOT_FOUND)
                    .body(())
                    .expect("a fixed answer");
                let _ = respond.send_response(refusal, true);
            }
        }
    }

    fn serve_exchange(
        &self,
        body: RecvStream,
        respond: SendResponse<Bytes>,
        cancellation: CancellationToken,
    ) {
        self.state.counters.links_accepted.fetch_add(1, Ordering::Relaxed);
        let link = self.next_link.get() + 1;
        self.next_link.set(link);
        let (queue, frames) = mpsc::channel(LINK_QUEUE);
        let waiting = Rc::new(Cell::new(0));
        let ends =
            AcceptedLink { queue, waiting: waiting.clone(), cancellation: cancellation.clone() };
        let context = LinkContext {
            link,
            state: self.state.clone(),
            events: self.events.clone(),
            cancellation,
        };
        let frame_queue = FrameQueue { frames, waiting };
        actix_rt::spawn(context.clone().run(accept_link(
            context,
            body,
            respond,
            ends,
            frame_queue,
        )));
    }
}
