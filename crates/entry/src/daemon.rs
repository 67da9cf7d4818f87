//! Process startup and graceful shutdown.

use std::io;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::path::Path;
use std::sync::Arc;
use std::thread;

use derive_more::Display;
use derive_more::Error;
use fulmargate_names::EventKind;
use fulmargate_settings::EntrySettings;
use tokio::sync::mpsc::unbounded_channel;
use tokio_util::sync::CancellationToken;

use crate::control::ControlListeners;
use crate::control::ControlThread;
use crate::state::SharedState;
use crate::telemetry::install_logging;
use crate::telemetry::install_metrics;
use crate::traffic::TrafficThread;

/// An error that prevents the daemon from starting or makes it exit.
#[derive(Debug, Display, Error)]
pub enum StartError {
    /// A listening socket could not be listening.
    #[display("cannot listen on {address}: {reason}")]
    Listen {
        /// The configured address.
        address: SocketAddr,
        /// The error of the operating system.
        reason: io::Error,
    },
    /// A thread could not be started, or failed.
    #[display("{task}: {reason}")]
    Thread {
        /// The purpose of the thread.
        task: &'static str,
        /// The cause, as text.
        reason: String,
    },
}

/// Runs the daemon until it is shut down.
pub fn run(mut settings: EntrySettings, path: &Path) -> Result<(), StartError> {
    let _log_guard = install_logging();
    install_metrics();
    let callers = listen(&mut settings.callers)?;
    let readiness = listen(&mut settings.readiness)?;
    let metrics = listen(&mut settings.metrics)?;
    let peers = listen(&mut settings.peers)?;
    let (forward_sender, forward_receiver) = unbounded_channel();
    let state = Arc::new(SharedState::new(settings));
    tracing::info!(
        event = EventKind::ProcessStarted.number(),
        name = EventKind::ProcessStarted.name(),
        host = %state.settings.host,
        zone = %state.settings.zone,
        incarnation = %state.incarnation,
        callers = %state.settings.callers,
        readiness = %state.settings.readiness,
        metrics = %state.settings.metrics,
        peers = %state.settings.peers,
    );
    let stop = ShutdownTokens::default();
    let traffic = TrafficThread { state: state.clone(), stop: stop.clone() };
    let handle = thread::Builder::new()
        .name("traffic".to_owned())
        .spawn(move || traffic.run(callers, forward_receiver))
        .map_err(|err| StartError::Thread { task: "traffic thread", reason: err.to_string() })?;
    let control = ControlThread { state, stop, path: path.to_owned() };
    control.run(ControlListeners { readiness, metrics, peers }, forward_sender)?;
    match handle.join() {
        Ok(result) => result,
        Err(_) => Err(StartError::Thread { task: "traffic thread", reason: "panicked".to_owned() }),
    }
}

/// Cancellation tokens for the stages of a graceful shutdown.
#[derive(Clone, Debug, Default)]
pub(crate) struct ShutdownTokens {
    /// Shutdown was requested: readiness checks fail, and every response carries
    /// `connection: close`.
    pub(crate) requested: CancellationToken,
    /// The load balancer has had time to remove this host: idle connections are closed, and new
    /// requests are rejected.
    pub(crate) draining: CancellationToken,
    /// The shutdown timeout is about to elapse: requests without a response are answered.
    pub(crate) ending: CancellationToken,
    /// All requests have completed, or the shutdown timeout has elapsed.
    pub(crate) complete: CancellationToken,
}

/// Opens a listener. If `address` has port 0, replaces it with the port that was assigned.
fn listen(address: &mut SocketAddr) -> Result<TcpListener, StartError> {
    let open = || {
        let listener = TcpListener::bind(*address)?;
        listener.set_nonblocking(true)?;
        let bound = listener.local_addr()?;
        Ok((listener, bound))
    };
    let listening = open();
    let (listener, bound) =
        listening.map_err(|reason| StartError::Listen { address: *address, reason })?;
    *address = bound;
    Ok(listener)
}
