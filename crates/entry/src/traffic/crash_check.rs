//! Finds out whether servers that broke off requests have crashed.

use std::sync::Arc;
use std::time::Duration;

use fulmargate_dispatch::CHECK_TIMEOUT;
use fulmargate_dispatch::CRASH_SERIES_TIME;
use fulmargate_dispatch::CheckInputs;
use fulmargate_dispatch::CheckVerdict;
use fulmargate_dispatch::ConnectOutcome;
use fulmargate_dispatch::CrashReason;
use fulmargate_dispatch::ProbeOutcome;
use fulmargate_dispatch::ServerEntry;
use fulmargate_names::EventKind;
use fulmargate_names::RequestId;
use futures_util::future::select_ok;
use tokio::time::Instant;
use tokio::time::sleep;
use tokio::time::timeout;

use crate::state::SharedState;
use crate::telemetry::SuspectSource;
use crate::telemetry::count_crash_check;
use crate::telemetry::log_suspect_changes;
use crate::traffic::server_connection::ServerConnection;

/// Interval at which a check looks at what has become known.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// The same once only a change of the server list can change the verdict.
const LIST_POLL_INTERVAL: Duration = Duration::from_millis(200);
/// Time after which a failed connection is tried again: both have to fail in time.
const RETRY_DELAY: Duration = Duration::from_millis(100);
/// Servers that a host tries, to tell a crash from a cut of its own links.
const MAX_CONTROL_SERVERS: usize = 2;
/// A server was serving if an event of it has come within this time before the break.
const SERVING_TIME: Duration = Duration::from_millis(500);
/// Time that a request waits for the first connection attempt of a check before it is sent again.
const FIRST_PROBE_TIME: Duration = Duration::from_millis(50);

/// A check of a server that broke off a request.
pub(crate) struct CrashCheck {
    state: Arc<SharedState>,
    /// The request whose connection broke.
    id: RequestId,
    server: Arc<ServerEntry>,
    /// The server was seen to leave in good order.
    is_leaving: bool,
}

/// Starts a check, unless one is under way, and waits for its first connection attempt. If that fails, the request is
/// suspected from now on. `heard` is when the request had its last event.
pub(crate) async fn check_server(
    state: &Arc<SharedState>,
    id: &RequestId,
    server: &Arc<ServerEntry>,
    heard: Option<Instant>,
) {
    if state.suspects().begin_check(server.key(), Instant::now()) {
        // One that served on after its entry was removed was leaving. The entry of a crashed one is removed later.
        let was_serving = heard.is_some_and(|heard| heard.elapsed() < SERVING_TIME);
        let is_leaving = was_serving && state.servers().state(server.key()).is_none();
        let (state, id, server) = (state.clone(), id.clone(), server.clone());
        let check = CrashCheck { state, id, server, is_leaving };
        tokio::task::spawn_local(check.run());
    }
    let probed = state.suspect_probed.notified();
    if state.suspects().awaits_probe(server.key()) {
        let _elapsed = timeout(FIRST_PROBE_TIME, probed).await;
    }
}

impl CrashCheck {
    /// Checks the server until there is a verdict. A crash is evidence against the requests that ran there.
    async fn run(mut self) {
        if self.is_leaving {
            let inputs = self.inputs();
            self.log_verdict(CheckVerdict::Reached, inputs, 0);
            return self.finish(CheckVerdict::Reached);
        }
        let mut reported = CheckVerdict::Undecided;
        let (verdict, inputs) = loop {
            self.probe_if_needed().await;
            let inputs = self.inputs();
            let verdict = inputs.verdict();
            if matches!(verdict, CheckVerdict::Crashed(_)) || CHECK_TIMEOUT <= inputs.age {
                break (verdict, inputs);
            }
            if self.is_leaving || inputs.has_survived {
                break (CheckVerdict::Reached, inputs);
            }
            let is_open = verdict == CheckVerdict::Undecided;
            if verdict != reported && !is_open {
                self.state.suspects().drop_suspicions(self.server.key(), Instant::now());
                self.log_verdict(verdict, inputs, 0);
            }
            reported = verdict;
            sleep(if is_open { POLL_INTERVAL } else { LIST_POLL_INTERVAL }).await;
        };
        if verdict != reported || verdict == CheckVerdict::Undecided {
            self.log_verdict(verdict, inputs, self.suspect_count());
        }
        self.finish(verdict);
    }

    /// Requests that ran at the server when it broke connections.
    fn suspect_count(&self) -> usize {
        self.state.suspects().requests_at(self.server.key())
    }

    fn finish(self, verdict: CheckVerdict) {
        let now = Instant::now();
        let changes = self.state.suspects().finish_check(self.server.key(), verdict, now);
        self.state.fleet_record_change.notify_one();
        self.state.crash_evidence_change.notify_one();
        count_crash_check(verdict);
        if let CheckVerdict::Crashed(reason) = verdict {
            self.log_crash(reason);
        }
        log_suspect_changes(&self.state, &changes, SuspectSource::Check);
    }

    async fn probe_if_needed(&mut self) {
        let key = self.server.key();
        if !self.state.suspects().take_needed_probe(key) {
            return;
        }
        let connecting = ServerConnection::connect_to_server(&self.state, &self.server).await;
        let outcome = connecting.map_or_else(|err| err.outcome(), |_| ConnectOutcome::Reached);
        let now = Instant::now();
        match outcome {
            ConnectOutcome::Reached => {
                self.state.suspects().record_probe(key, ProbeOutcome::Reached, now);
            }
            // Connections also time out on a saturated link and while the local network fails.
            ConnectOutcome::TimedOut if !self.times_out_again().await => {
                self.state.suspects().record_no_probe(key);
                sleep(RETRY_DELAY).await;
            }
            ConnectOutcome::Refused | ConnectOutcome::TimedOut => {
                self.state.servers().record_unreachable(key, now);
                record_failed_probe(&self.state, &self.server).await;
            }
        }
        self.state.suspect_probed.notify_waiters();
    }

    async fn times_out_again(&self) -> bool {
        sleep(RETRY_DELAY).await;
        let connecting = ServerConnection::connect_to_server(&self.state, &self.server).await;
        connecting.is_err() && !self.state.servers().suspects_local_fault(Instant::now())
    }

    fn inputs(&mut self) -> CheckInputs {
        let now = Instant::now();
        let inputs = self.state.suspects().check_inputs(self.server.key(), now);
        let mut servers = self.state.servers();
        let is_ready = servers.state(self.server.key()).is_some();
        self.is_leaving |= servers.is_draining(self.server.key());
        // A list without any entry of the service is no evidence on one server.
        let has_service =
            servers.states().any(|state| state.entry().service == self.server.service);
        let series_began = now.checked_sub(inputs.age + CRASH_SERIES_TIME).unwrap_or(now);
        CheckInputs {
            others_cut: servers.peers_cut_before(&self.server.service, series_began, now),
            peers: servers.live_peers(now).len(),
            is_fleet_whole: servers.is_fleet_whole(now),
            is_listed: is_ready || self.is_leaving || !has_service,
            ..inputs
        }
    }

    fn log_crash(&self, reason: CrashReason) {
        let kind = EventKind::ServerCrashed;
        if self.state.log_limiter.allows(kind, Instant::now()) {
            tracing::warn!(
                event = kind.number(),
                name = kind.name(),
                id = %self.id,
                server = %self.server.name,
                %reason,
            );
        }
    }

    fn log_verdict(&self, verdict: CheckVerdict, inputs: CheckInputs, suspects: usize) {
        let kind = EventKind::CrashChecked;
        if !self.state.log_limiter.allows(kind, Instant::now()) {
            return;
        }
        tracing::info!(
            event = kind.number(),
            name = kind.name(),
            id = %self.id,
            server = %self.server.name,
            %verdict,
            own_reached = inputs.own_reached,
            others_reached = inputs.others_reached,
            others_failed = inputs.others_failed,
            others_isolated = inputs.others_isolated,
            others_cut = inputs.others_cut,
            peers = inputs.peers,
            is_fleet_whole = inputs.is_fleet_whole,
            is_control_reached = inputs.is_control_reached,
            is_listed = inputs.is_listed,
            has_survived = inputs.has_survived,
            suspects,
            age_ms = inputs.age.as_millis() as u64,
            asked_ms = inputs.asked.map(|asked| asked.as_millis() as u64),
        );
    }
}

/// Whether another server of the same service takes connections.
async fn reaches_control(state: &Arc<SharedState>, server: &ServerEntry) -> bool {
    let controls = state.servers().control_servers(server, MAX_CONTROL_SERVERS);
    let connect =
        |control: &Arc<ServerEntry>| Box::pin(connect_to_control(state.clone(), control.clone()));
    !controls.is_empty() && select_ok(controls.iter().map(connect)).await.is_ok()
}

async fn connect_to_control(
    state: Arc<SharedState>,
    control: Arc<ServerEntry>,
) -> Result<(), ConnectOutcome> {
    let connecting = ServerConnection::connect_to_server(&state, &control).await;
    connecting.map(drop).map_err(|err| err.outcome())
}

/// Whether a refused connection is the server's own failure: another server of its service can be reached, or no other
/// host reaches one either. A host whose links are cut is refused by all.
pub(crate) async fn is_refusal_of_server(state: &Arc<SharedState>, server: &ServerEntry) -> bool {
    let has_controls = !state.servers().control_servers(server, 1).is_empty();
    !has_controls
        || reaches_control(state, server).await
        || !state.servers().is_reached_by_others(&server.service, Instant::now())
}

/// Tries servers that other hosts suspect to have crashed. Never returns.
pub(crate) async fn run_peer_checks(state: Arc<SharedState>) {
    loop {
        state.suspect_wake.notified().await;
        let now = Instant::now();
        let peers = state.servers().live_peers(now);
        let wanted = state.suspects().take_wanted_probes(&peers, now);
        for key in wanted {
            let entry = state.servers().state(key).map(|server| server.entry().clone());
            if let Some(server) = entry {
                tokio::task::spawn_local(probe_for_peer(state.clone(), server));
            }
        }
    }
}

async fn probe_for_peer(state: Arc<SharedState>, server: Arc<ServerEntry>) {
    let connecting = ServerConnection::connect_to_server(&state, &server).await;
    let outcome = connecting.map_or_else(|err| err.outcome(), |_| ConnectOutcome::Reached);
    let now = Instant::now();
    if outcome == ConnectOutcome::Reached {
        state.suspects().record_probe(server.key(), ProbeOutcome::Reached, now);
    } else if outcome == ConnectOutcome::Refused || !state.servers().suspects_local_fault(now) {
        record_failed_probe(&state, &server).await;
    }
}

/// Records a connection that failed, at once and again when another server of the service is reached.
async fn record_failed_probe(state: &Arc<SharedState>, server: &ServerEntry) {
    let isolated = ProbeOutcome::Isolated;
    state.suspects().record_probe(server.key(), isolated, Instant::now());
    state.suspect_probed.notify_waiters();
    state.crash_evidence_change.notify_one();
    if reaches_control(state, server).await {
        state.suspects().record_probe(server.key(), ProbeOutcome::Failed, Instant::now());
        state.crash_evidence_change.notify_one();
    }
}
