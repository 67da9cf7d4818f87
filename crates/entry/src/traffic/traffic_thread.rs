//! The thread that accepts callers' connections and serves their requests.

use std::net::TcpListener as StdListener;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use fulmargate_names::EventKind;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use hyper_util::rt::TokioTimer;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::runtime::Builder;
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::task::LocalSet;
use tokio::time::Instant;
use tokio::time::sleep;

use crate::daemon::ShutdownTokens;
use crate::daemon::StartError;
use crate::sockets::PeerTimeout;
use crate::sockets::set_peer_timeout;
use crate::sockets::set_reset_on_close;
use crate::state::HeldBytes;
use crate::state::SharedState;
use crate::telemetry::count_refused_connection;
use crate::traffic::caller_io::CallerIo;
use crate::traffic::caller_io::ResetSwitch;
use crate::traffic::crash_check::run_peer_checks;
use crate::traffic::peer_forwarding::ForwardCall;
use crate::traffic::peer_forwarding::ForwardService;
use crate::traffic::prompt_queue::PromptQueue;
use crate::traffic::reach_prober::run_prober;
use crate::traffic::request_service::serve_request;
use crate::traffic::stream_binding::run_binding_publisher;

/// Idle timeout of callers' connections until a configuration is loaded.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(15);
/// Read buffer of a connection, and thereby the upper bound of a request head. hyper requires at least 8 KB.
const MAX_HEAD_BYTES: usize = 32 * 1024;
/// Memory of a connection: its buffers, and what has arrived of a request that is not read yet.
const CONNECTION_BYTES: usize = 16 << 10;
/// How long data sent to a caller may stay unacknowledged before the connection is dropped.
const CALLER_TCP_TIMEOUT: PeerTimeout = PeerTimeout {
    unacknowledged: Duration::from_secs(10),
    probe_interval: Duration::from_secs(10),
};
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
                () = self.accept(listener) => {}
            }
            Ok(())
        }))
    }

    async fn accept(&self, listener: TcpListener) {
        loop {
            match listener.accept().await {
                Ok((stream, _)) => self.admit(stream),
                Err(err) => {
                    tracing::warn!("cannot accept connection: {err}");
                    sleep(ACCEPT_RETRY_DELAY).await;
                }
            }
        }
    }

    fn admit(&self, stream: TcpStream) {
        let Some(held) = self.state.held_memory.take_connection(CONNECTION_BYTES) else {
            return refuse_connection(&self.state, &stream);
        };
        let (state, stop) = (self.state.clone(), self.stop.clone());
        tokio::task::spawn_local(serve_connection(state, stop, stream, held));
    }
}

/// Closes a connection unread, so that its caller tries another host.
fn refuse_connection(state: &SharedState, stream: &TcpStream) {
    count_refused_connection();
    if let Err(err) = set_reset_on_close(stream, true) {
        tracing::debug!("cannot reset a refused connection: {err}");
    }
    let kind = EventKind::ConnectionRefused;
    if state.log_limiter.allows(kind, Instant::now()) {
        tracing::info!(
            event = kind.number(),
            name = kind.name(),
            reason = "memory",
            held_bytes = state.held_memory.used_bytes(),
            connections = state.open_connections.load(Ordering::Relaxed),
            requests = state.open_requests.load(Ordering::Relaxed),
        );
    }
}

async fn serve_connection(
    state: Arc<SharedState>,
    stop: ShutdownTokens,
    stream: TcpStream,
    _held: HeldBytes,
) {
    state.open_connections.fetch_add(1, Ordering::Relaxed);
    if let Err(err) = set_peer_timeout(&stream, CALLER_TCP_TIMEOUT) {
        tracing::debug!("cannot set TCP options on caller connection: {err}");
    }
    let idle = state
        .table
        .load()
        .as_ref()
        .map_or(DEFAULT_IDLE_TIMEOUT, |table| table.limits().idle_timeout);
    let (service_state, service_stop) = (state.clone(), stop.clone());
    let switch = ResetSwitch::default();
    let io = CallerIo::new(stream, switch.clone());
    let service = service_fn(move |request| {
        let (state, stop) = (service_state.clone(), service_stop.clone());
        serve_request(state, stop, request, switch.clone())
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        // Also applies to the idle time between requests.
        .header_read_timeout(idle)
        .max_buf_size(MAX_HEAD_BYTES)
        .serve_connection(TokioIo::new(io), service);
    let mut connection = std::pin::pin!(connection);
    let result = tokio::select! {
        result = &mut connection => result,
        () = stop.draining.cancelled() => {
            // Closes immediately if no request is open, otherwise after the response.
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    if let Err(err) = result {
        tracing::debug!("caller connection failed: {err}");
    }
    state.open_connections.fetch_sub(1, Ordering::Relaxed);
}
