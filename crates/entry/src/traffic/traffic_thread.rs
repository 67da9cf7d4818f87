//! Accepts callers' connections.

use std::net::TcpListener as StdListener;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use hyper_util::rt::TokioTimer;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::runtime::Builder;
use tokio::task::LocalSet;
use tokio::time::sleep;

use crate::daemon::StartError;
use crate::daemon::StopTokens;
use crate::sockets::watch_peer;
use crate::state::SharedState;
use crate::traffic::caller_edge::serve_request;
use crate::traffic::wait_room::WaitRoom;

/// Until a configuration is known.
const COMMON_IDLE: Duration = Duration::from_secs(15);
/// Largest head, and read buffer of a connection; hyper takes no less than 8 KB.
const HEAD_BYTES: usize = 32 * 1024;
/// A caller whose host fell silent is dropped after this time.
const SILENT_CALLER: Duration = Duration::from_secs(10);
/// Pause after a failed accept: without free descriptors the next one fails, too.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Carries requests. It runs hyper by hand and not actix-web: a caller that leaves must cancel its
/// request at once, a planned stop must close just the idle connections, and a stream that broke
/// must end without its last chunk; for all three the connection itself has to be held.
pub(crate) struct TrafficThread {
    pub(crate) state: Arc<SharedState>,
    pub(crate) stop: StopTokens,
}

impl TrafficThread {
    /// Runs until the planned stop is over.
    pub(crate) fn run(self, listener: StdListener) -> Result<(), StartError> {
        let failed = |err: std::io::Error| StartError::Thread {
            what: "traffic thread",
            reason: err.to_string(),
        };
        let runtime = Builder::new_current_thread().enable_all().build().map_err(failed)?;
        let tasks = LocalSet::new();
        runtime.block_on(tasks.run_until(async move {
            let listener = TcpListener::from_std(listener).map_err(failed)?;
            tokio::task::spawn_local(WaitRoom::run(self.state.clone()));
            let ended = self.stop.ended.clone();
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
                Ok((stream, _)) => {
                    let state = self.state.clone();
                    let stop = self.stop.clone();
                    tokio::task::spawn_local(serve_connection(state, stop, stream));
                }
                Err(err) => {
                    tracing::warn!("a connection could not be accepted: {err}");
                    sleep(ACCEPT_PAUSE).await;
                }
            }
        }
    }
}

async fn serve_connection(state: Arc<SharedState>, stop: StopTokens, stream: TcpStream) {
    state.open_connections.fetch_add(1, Ordering::Relaxed);
    if let Err(err) = watch_peer(&stream, SILENT_CALLER) {
        tracing::debug!("a caller's connection cannot be watched: {err}");
    }
    let idle = state.table.load().as_ref().map_or(COMMON_IDLE, |table| table.limits().idle_timeout);
    let (call_state, call_stop) = (state.clone(), stop.clone());
    let service =
        service_fn(move |request| serve_request(call_state.clone(), call_stop.clone(), request));
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        // Also bounds the time between requests, which is the longer one.
        .header_read_timeout(idle)
        .max_buf_size(HEAD_BYTES)
        .serve_connection(TokioIo::new(stream), service);
    let mut connection = std::pin::pin!(connection);
    let result = tokio::select! {
        result = &mut connection => result,
        () = stop.closing.cancelled() => {
            // Closes at once if no request is open, else after its answer.
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    if let Err(err) = result {
        tracing::debug!("a caller's connection has ended: {err}");
    }
    state.open_connections.fetch_sub(1, Ordering::Relaxed);
}
