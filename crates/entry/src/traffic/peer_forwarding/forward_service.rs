//! Sends requests of other hosts to servers.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use fulmargate_dispatch::CallProgress;
use fulmargate_dispatch::StreamOrigin;
use fulmargate_names::ErrorKind;
use fulmargate_names::EventKind;
use fulmargate_names::HostName;
use h2::Reason;
use h2::RecvStream;
use h2::server::SendResponse;
use http::Request;
use http::Response;
use http_body_util::BodyExt;
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::task::spawn_local;
use tokio::time::Instant;
use tokio::time::timeout;

use crate::daemon::ShutdownTokens;
use crate::state::SharedState;
use crate::telemetry::count_forward;
use crate::traffic::block_body::BlockBody;
use crate::traffic::block_buffer::BlockBuffer;
use crate::traffic::peer_forwarding::forward_wire::ForwardHead;
use crate::traffic::peer_forwarding::forward_wire::ForwardReply;
use crate::traffic::peer_forwarding::forward_wire::RunCounts;
use crate::traffic::peer_forwarding::forward_wire::WireError;
use crate::traffic::peer_forwarding::forward_wire::encode_head;
use crate::traffic::peer_forwarding::forward_wire::read_head;
use crate::traffic::peer_forwarding::helper_connection::send_bytes;
use crate::traffic::request_decoder::DecodedRequest;
use crate::traffic::request_decoder::decode_forwarded;
use crate::traffic::request_failure::RequestFailure;
use crate::traffic::request_handler::HandledRequest;
use crate::traffic::request_handler::RequestHandler;
use crate::traffic::request_handler::ResumePoint;
use crate::traffic::request_memory::RequestMemory;
use crate::traffic::server_connection::SERVER_CONNECTION_BYTES;
use crate::traffic::stream_binding::resolve_origin;

/// Requests of other hosts in progress. Bounds the memory that they take here.
const MAX_FORWARDED_REQUESTS: usize = 512;
/// A request that has not arrived whole within this time is dropped. The forwarding host has it whole.
const READ_TIMEOUT: Duration = Duration::from_secs(3);

/// Memory of a request without its body, with the connection to its server.
const REQUEST_BYTES: usize = (16 << 10) + SERVER_CONNECTION_BYTES;
/// Error detail for a request that this host has no memory for.
const MEMORY_USED_UP: &str = "the helper's memory for forwarded requests is used up";

/// A forwarded request whose sender is a known host.
pub(crate) struct ForwardCall {
    pub(crate) sender: HostName,
    pub(crate) request: Request<RecvStream>,
    pub(crate) respond: SendResponse<Bytes>,
}

/// Serves forwarded requests on the traffic thread.
pub(crate) struct ForwardService {
    pub(crate) state: Arc<SharedState>,
    pub(crate) stop: ShutdownTokens,
}

/// Counts a forwarded request as an open connection, which a planned stop waits for.
struct ForwardGuard(Arc<SharedState>);

impl ForwardGuard {
    fn new(state: Arc<SharedState>) -> ForwardGuard {
        state.open_connections.fetch_add(1, Ordering::Relaxed);
        state.forwarded_requests.fetch_add(1, Ordering::Relaxed);
        ForwardGuard(state)
    }
}

impl Drop for ForwardGuard {
    fn drop(&mut self) {
        self.0.open_connections.fetch_sub(1, Ordering::Relaxed);
        self.0.forwarded_requests.fetch_sub(1, Ordering::Relaxed);
    }
}

/// A request that was read.
struct ReceivedForward {
    head: ForwardHead,
    /// When the head arrived, from which the time left counts.
    received: Instant,
    body: ReceivedBody,
}

/// The body of a forwarded request.
enum ReceivedBody {
    Whole {
        body: BlockBody,
        memory: RequestMemory,
    },
    /// It was not read to its end, as this host has no memory for it.
    Unread,
}

impl ForwardService {
    /// Serves calls until their sender is dropped.
    pub(crate) async fn run(self, mut calls: UnboundedReceiver<ForwardCall>) {
        let service = Arc::new(self);
        while let Some(call) = calls.recv().await {
            let service = service.clone();
            spawn_local(async move { service.serve(call).await });
        }
    }

    async fn serve(&self, call: ForwardCall) {
        let _guard = ForwardGuard::new(self.state.clone());
        let ForwardCall { sender, request, mut respond } = call;
        let mut body = request.into_body();
        let received = match timeout(READ_TIMEOUT, self.read_request(&mut body)).await {
            Ok(Ok(received)) => received,
            Ok(Err(err)) => return self.log_refused(&sender, &err.to_string()),
            Err(_) => return self.log_refused(&sender, "the request did not arrive in time"),
        };
        let handled = tokio::select! {
            biased;
            _reset = std::future::poll_fn(|context| respond.poll_reset(context)) => return,
            handled = self.handle(&sender, received) => handled,
        };
        count_forward("accepted");
        if let Err(err) = send_reply(&mut respond, handled).await {
            tracing::debug!("reply to a forwarded request not sent: {err}");
        }
    }

    /// Reads a request as far as there is memory for it.
    async fn read_request(&self, stream: &mut RecvStream) -> Result<ReceivedForward, WireError> {
        let (head, first) = read_head(stream).await?;
        let received = Instant::now();
        let unread = || ReceivedBody::Unread;
        let memory = RequestMemory::Forwarded(self.state.forward_memory.holder());
        let Ok(held) = memory.take(REQUEST_BYTES).await else {
            return Ok(ReceivedForward { head, received, body: unread() });
        };
        let mut buffer = BlockBuffer::new(memory.clone(), held, usize::MAX);
        if buffer.push(&mut &first[..]).await.is_err() {
            return Ok(ReceivedForward { head, received, body: unread() });
        }
        while let Some(chunk) = stream.data().await {
            let chunk = chunk?;
            stream.flow_control().release_capacity(chunk.len())?;
            if buffer.push(&mut &chunk[..]).await.is_err() {
                return Ok(ReceivedForward { head, received, body: unread() });
            }
        }
        let body = ReceivedBody::Whole { body: buffer.finish(), memory };
        Ok(ReceivedForward { head, received, body })
    }

    async fn handle(&self, sender: &HostName, received: ReceivedForward) -> HandledRequest {
        let ReceivedForward { head, received, body } = received;
        let progress = CallProgress::resumed(head.runs.arrivals, head.runs.possible_runs);
        if let Err(failure) = self.check_capacity(&head) {
            self.log_refused(sender, &failure.detail);
            return HandledRequest::failed(failure, progress);
        }
        let ReceivedBody::Whole { body, memory } = body else {
            let failure = RequestFailure::new(ErrorKind::QueueFull, head.time_left());
            let failure = failure.with_detail(MEMORY_USED_UP.to_owned());
            self.log_refused(sender, &failure.detail);
            return HandledRequest::failed(failure, progress);
        };
        let decoded = match decode_forwarded(&self.state, &head, body, memory, received) {
            Ok(decoded) => decoded,
            Err(failure) => {
                self.log_refused(sender, &failure.detail);
                return HandledRequest::failed(failure, progress);
            }
        };
        self.log_accepted(sender, &decoded.facts.id.to_string(), &head);
        let point = ResumePoint { last_event: head.last_event.clone(), weights: head.weights };
        let origin = match head.binds_streams {
            true => head.origin,
            false => match self.resolve_for_earlier_version(&head, &decoded).await {
                Ok(origin) => origin,
                Err(failure) => return HandledRequest::failed(failure, progress),
            },
        };
        let handler = RequestHandler::forwarded(self.state.clone(), decoded, progress);
        let handler = handler.bound_to(origin);
        let handler = if head.is_counted { handler.with_counted_send() } else { handler };
        handler.run(point).await
    }

    /// Where a request of a host goes on that does not bind streams. One that it has begun itself may have any origin.
    async fn resolve_for_earlier_version(
        &self,
        head: &ForwardHead,
        decoded: &DecodedRequest,
    ) -> Result<Option<StreamOrigin>, RequestFailure> {
        if head.last_event.is_some() {
            let failure = RequestFailure::new(ErrorKind::ResumeUnknown, head.time_left());
            return Err(failure.with_detail("the forwarding host binds no streams".to_owned()));
        }
        let stream = resolve_origin(&self.state, decoded).await?;
        Ok(stream.map(|stream| stream.origin))
    }

    /// Whether this host may take the request. One with an older configuration may not: it might know neither the
    /// route nor the key.
    fn check_capacity(&self, head: &ForwardHead) -> Result<(), RequestFailure> {
        let refuse = |kind, detail: &str| {
            Err(RequestFailure::new(kind, head.time_left()).with_detail(detail.to_owned()))
        };
        if self.stop.requested.is_cancelled() {
            return refuse(ErrorKind::Stopping, "the helper is stopping");
        }
        if MAX_FORWARDED_REQUESTS < self.state.forwarded_requests.load(Ordering::Relaxed) {
            return refuse(ErrorKind::QueueFull, "the helper has too many forwarded requests");
        }
        let version = self.state.table.load().as_ref().map(|table| table.version());
        if version.is_none_or(|version| version < head.config) {
            return refuse(ErrorKind::NotReady, "the helper's configuration is older");
        }
        Ok(())
    }

    fn log_accepted(&self, sender: &HostName, id: &str, head: &ForwardHead) {
        let kind = EventKind::ForwardAccepted;
        if !self.state.log_limiter.allows(kind, Instant::now()) {
            return;
        }
        tracing::info!(
            event = kind.number(),
            name = kind.name(),
            id,
            from = %sender,
            arrivals = head.runs.arrivals,
            possible_runs = head.runs.possible_runs,
            time_left_ms = head.time_left_ms,
            last_event = head.last_event,
            sender_config = head.config.0,
        );
    }

    fn log_refused(&self, sender: &HostName, reason: &str) {
        count_forward("refused");
        let kind = EventKind::ForwardRefused;
        if self.state.log_limiter.allows(kind, Instant::now()) {
            tracing::info!(event = kind.number(), name = kind.name(), from = %sender, reason);
        }
    }
}

/// Sends the reply and the response's body, as the forwarding host takes it. The stream is reset if the body breaks off.
async fn send_reply(
    respond: &mut SendResponse<Bytes>,
    handled: HandledRequest,
) -> Result<(), WireError> {
    let runs = RunCounts {
        arrivals: handled.progress.arrivals(),
        possible_runs: handled.progress.possible_runs(),
    };
    let response = match handled.result {
        Ok(response) => response,
        Err(failure) => {
            let reply = encode_head(&ForwardReply::failure(&failure, runs))?;
            let mut stream = respond.send_response(Response::new(()), false)?;
            return Ok(stream.send_data(reply, true)?);
        }
    };
    let (parts, mut body) = response.into_parts();
    let reply =
        ForwardReply::response(&parts, handled.server, handled.weights, runs, handled.origin);
    let reply = encode_head(&reply)?;
    let mut stream = respond.send_response(Response::new(()), false)?;
    send_bytes(&mut stream, reply).await?;
    loop {
        let frame = tokio::select! {
            biased;
            _reset = std::future::poll_fn(|context| stream.poll_reset(context)) => return Ok(()),
            frame = body.frame() => frame,
        };
        match frame {
            Some(Ok(frame)) => {
                send_bytes(&mut stream, frame.into_data().unwrap_or_default()).await?;
            }
            Some(Err(_)) => {
                stream.send_reset(Reason::INTERNAL_ERROR);
                return Ok(());
            }
            None => return Ok(stream.send_data(Bytes::new(), true)?),
        }
    }
}
