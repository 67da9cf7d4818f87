//! Detects whether a server that dropped a request has crashed.

use std::sync::Arc;
use std::time::Duration;

use derive_more::Display;
use fulmargate_dispatch::ConnectOutcome;
use fulmargate_dispatch::ProbeStep;
use fulmargate_dispatch::ServerEntry;
use fulmargate_names::EventKind;
use fulmargate_names::RequestId;
use tokio::time::Instant;
use tokio::time::sleep;

use crate::state::CrashSighting;
use crate::state::SharedState;
use crate::traffic::server_connection::ServerConnection;

/// Delay between a failed connection and its evaluation. A local network fault makes connections to many servers
/// fail at about the same time; the delay lets most of these failures be recorded first.
const EVALUATION_DELAY: Duration = Duration::from_millis(100);
/// Connection timeouts after which a server counts as crashed, even if it is no longer listed and therefore not
/// tracked. Counted anew while a local network fault is suspected.
const MAX_FAILED_CONNECTIONS: u32 = 2;
/// Servers that a host tries, to tell a crash from a cut of its own links.
const MAX_CONTROL_SERVERS: usize = 2;
/// If no verdict is reached within this time, such as during a suspected local network fault, the server is
/// not reported as crashed. As long as such a suspicion lasts once a server has responded.
const CHECK_TIMEOUT: Duration = Duration::from_secs(3);

/// What the check of a server has found.
#[derive(Debug, Display)]
enum CheckVerdict {
    /// It has crashed, for this reason.
    #[display("crashed")]
    Crashed(String),
    /// It takes connections.
    #[display("reached")]
    Reached,
    /// It refuses connections, as do the others of its service, which other hosts reach.
    #[display("taken_for_cut")]
    TakenForCut,
    #[display("undecided")]
    Undecided,
}

/// A request whose connection broke, and the server that was running it.
pub(crate) struct CrashCheck {
    pub(crate) state: Arc<SharedState>,
    pub(crate) id: RequestId,
    /// Fingerprint of the request.
    pub(crate) fingerprint: u128,
    pub(crate) server: Arc<ServerEntry>,
}

impl CrashCheck {
    /// Checks the server; if it has crashed, records the crash and publishes it to the other routers.
    ///
    /// A single refused connection is taken as a crash. Connections also time out on a saturated link, so timeouts
    /// count only when repeated, and not while a local network fault is suspected.
    pub(crate) async fn run(self) {
        let started = Instant::now();
        let verdict = self.detect_crash().await;
        self.log_verdict(&verdict, started);
        let CheckVerdict::Crashed(reason) = verdict else { return };
        let CrashCheck { state, id, fingerprint, server } = self;
        state.crashes().record(fingerprint, server.key(), Instant::now());
        let kind = EventKind::ServerCrashed;
        if state.log_limiter.allows(kind, Instant::now()) {
            tracing::warn!(event = kind.number(), name = kind.name(), %id, server = %server.name, %reason);
        }
        let sighting = CrashSighting { fingerprint, server };
        if state.crash_sender.send(sighting).is_err() {
            tracing::debug!("crash not published to other routers: the process is shutting down");
        }
    }

    fn log_verdict(&self, verdict: &CheckVerdict, started: Instant) {
        let kind = EventKind::CrashChecked;
        let now = Instant::now();
        if !self.state.log_limiter.allows(kind, now) {
            return;
        }
        let servers = self.state.servers();
        tracing::info!(
            event = kind.number(),
            name = kind.name(),
            id = %self.id,
            server = %self.server.name,
            %verdict,
            helpers = servers.helper_count(&self.server.service, now),
            is_listed = servers.state(self.server.key()).is_some(),
            age_ms = started.elapsed().as_millis() as u64,
        );
    }

    async fn detect_crash(&self) -> CheckVerdict {
        let key = self.server.key();
        let deadline = Instant::now() + CHECK_TIMEOUT;
        let mut step = ProbeStep::Probe;
        let mut failed_connections = 0;
        while Instant::now() < deadline {
            if step == ProbeStep::Probe {
                let connecting = ServerConnection::connect_to_server(&self.state, &self.server);
                let Err(error) = connecting.await else { return CheckVerdict::Reached };
                self.state.servers().record_unreachable(key, Instant::now());
                if error.outcome() == ConnectOutcome::Refused {
                    // Links to several servers need not be cut at the same instant.
                    sleep(EVALUATION_DELAY).await;
                    let is_confirmed = is_refusal_of_server(&self.state, &self.server).await;
                    return match is_confirmed {
                        true => CheckVerdict::Crashed(error.to_string()),
                        false => CheckVerdict::TakenForCut,
                    };
                }
                failed_connections += 1;
            }
            sleep(EVALUATION_DELAY).await;
            let now = Instant::now();
            step = self.state.servers().next_probe_step(key, now);
            if self.state.servers().suspects_local_fault(now) {
                failed_connections = 0;
            }
            if step == ProbeStep::Unreachable || MAX_FAILED_CONNECTIONS <= failed_connections {
                return CheckVerdict::Crashed("no connection lately".to_owned());
            }
        }
        CheckVerdict::Undecided
    }
}

/// Whether a refused connection is the server's own failure: another server of its service can be reached, or no other
/// host reaches one either. A host whose links are cut is refused by all.
pub(crate) async fn is_refusal_of_server(state: &Arc<SharedState>, server: &ServerEntry) -> bool {
    let controls = state.servers().control_servers(server, MAX_CONTROL_SERVERS);
    for control in &controls {
        if ServerConnection::connect_to_server(state, control).await.is_ok() {
            return true;
        }
    }
    controls.is_empty() || !state.servers().is_reached_by_others(&server.service, Instant::now())
}
