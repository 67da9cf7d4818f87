//! The thread that accepts callers' connections and serves their requests.

use std::net::TcpListener as StdListener;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use fulmargate_names::EventKind;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::runtime::Builder;
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::task::LocalSet;
use tokio::time::Instant;
use tokio::time::sleep;

use crate::daemon::ShutdownTokens;
use crate::daemon::StartError;
use crate::sockets::max_client_connections;
use crate::sockets::set_receive_buffer;
use crate::sockets::set_reset_on_close;
use crate::sockets::set_send_buffer;
use crate::state::SharedState;
use crate::telemetry::count_refused_connection;
use crate::traffic::caller_connection::CONNECTION_BYTES;
use crate::traffic::caller_connection::CallerConnection;
use crate::traffic::caller_io::RECEIVE_BUFFER_BYTES;
use crate::traffic::client_connection::CloseReason;
use crate::traffic::client_registry::ClientRegistry;
use crate::traffic::crash_check::run_peer_checks;
use crate::traffic::peer_forwarding::ForwardCall;
use crate::traffic::peer_forwarding::ForwardService;
use crate::traffic::prompt_queue::PromptQueue;
use crate::traffic::reach_prober::run_prober;
use crate::traffic::stream_binding::run_binding_publisher;

/// What the kernel holds of a caller's answers. Linux makes twice as much of it.
const SEND_BUFFER_BYTES: usize = 128 << 10;
/// Delay after a failed accept, which avoids a busy loop while no file descriptor is free.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Serves callers' requests. Uses hyper directly instead of actix-web to control connections: a disconnected
/// caller cancels its request, a graceful shutdown closes idle connections only, and an aborted stream ends
/// without its final chunk.
pub(crate) struct TrafficThread {
    pub(crate) state: Arc<SharedState>,
    pub(crate) stop: ShutdownTokens,
}

impl TrafficThread {
    /// Runs until the shutdown is complete.
    pub(crate) fn run(
        self,
        listener: StdListener,
        forwards: UnboundedReceiver<ForwardCall>,
    ) -> Result<(), StartError> {
        let failed = |err: std::io::Error| StartError::Thread {
            task: "traffic thread",
            reason: err.to_string(),
        };
        let runtime = Builder::new_current_thread().enable_all().build().map_err(failed)?;
        let tasks = LocalSet::new();
        bound_buffers(&listener);
        let max_clients = max_client_connections(self.state.settings.max_fds);
        runtime.block_on(tasks.run_until(async move {
            let listener = TcpListener::from_std(listener).map_err(failed)?;
            tokio::task::spawn_local(PromptQueue::run(self.state.clone()));
            let (state, stop) = (self.state.clone(), self.stop.clone());
            tokio::task::spawn_local(ForwardService { state, stop }.run(forwards));
            tokio::task::spawn_local(run_prober(self.state.clone()));
            tokio::task::spawn_local(run_peer_checks(self.state.clone()));
            tokio::task::spawn_local(run_binding_publisher(self.state.clone()));
            let ended = self.stop.complete.clone();
            tokio::select! {
                () = ended.cancelled() => {}
                () = self.accept(listener, max_clients) => {}
            }
            Ok(())
        }))
    }

    async fn accept(&self, listener: TcpListener, max_clients: usize) {
        let registry = Rc::new(ClientRegistry::new(self.state.clone(), max_clients));
        loop {
            match listener.accept().await {
                Ok((stream, _)) => self.admit(&registry, stream).await,
                Err(err) => {
                    tracing::warn!("cannot accept connection: {err}");
                    sleep(ACCEPT_RETRY_DELAY).await;
                }
            }
        }
    }

    async fn admit(&self, registry: &Rc<ClientRegistry>, stream: TcpStream) {
        if !registry.has_descriptor().await {
            return refuse_connection(&self.state, &stream, CloseReason::Descriptors);
        }
        let client = registry.register();
        let Ok(held) = registry.take_connection(&client, CONNECTION_BYTES).await else {
            return refuse_connection(&self.state, &stream, CloseReason::Memory);
        };
        let (state, stop) = (self.state.clone(), self.stop.clone());
        let connection = CallerConnection { state, stop, client, held };
        tokio::task::spawn_local(connection.serve(stream));
    }
}

/// Bounds the kernel's buffers of the connections that are accepted.
fn bound_buffers(listener: &StdListener) {
    let bounded = set_receive_buffer(listener, RECEIVE_BUFFER_BYTES)
        .and_then(|()| set_send_buffer(listener, SEND_BUFFER_BYTES));
    if let Err(err) = bounded {
        tracing::warn!("cannot bound the buffers of caller connections: {err}");
    }
}

/// Closes a connection unread, so that its caller tries another host.
fn refuse_connection(state: &SharedState, stream: &TcpStream, reason: CloseReason) {
    count_refused_connection();
    if let Err(err) = set_reset_on_close(stream, true) {
        tracing::debug!("cannot reset a refused connection: {err}");
    }
    let kind = EventKind::ConnectionRefused;
    if state.log_limiter.allows(kind, Instant::now()) {
        tracing::info!(
            event = kind.number(),
            name = kind.name(),
            reason = reason.name(),
            held_bytes = state.held_memory.used_bytes(),
            connections = state.open_connections.load(Ordering::Relaxed),
            requests = state.open_requests.load(Ordering::Relaxed),
        );
    }
}
