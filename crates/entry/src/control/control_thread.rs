//! Starts the tasks of the control thread and runs the graceful shutdown.

use std::net::TcpListener;
use std::path::PathBuf;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use actix_web::rt::System;
use fulmargate_consortium::StoreClient;
use fulmargate_names::EventKind;
use fulmargate_settings::EntrySettings;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;
use tokio::sync::mpsc::UnboundedSender;
use tokio::time::Instant;
use tokio::time::sleep;
use tokio::time::sleep_until;
use tokio::time::timeout_at;
use tokio_util::sync::CancellationToken;

use crate::control::binding_store::run_binding_reader;
use crate::control::binding_store::run_binding_writer;
use crate::control::cache_watcher::CacheWatcher;
use crate::control::fleet_watcher::FleetReader;
use crate::control::fleet_watcher::FleetWatcher;
use crate::control::fleet_watcher::SharedFleetState;
use crate::control::fleet_writer::run_fleet_writer;
use crate::control::gossip_sender::GossipSender;
use crate::control::log_source::LogSource;
use crate::control::operator_watcher::OperatorWatcher;
use crate::control::order_scheduler::OrderScheduler;
use crate::control::pages::serve_http_pages;
use crate::control::peer_listener::PeerListener;
use crate::control::peer_listener::PeerServices;
use crate::control::record_cache::RecordCache;
use crate::control::relay_forwarder::RelayForwarder;
use crate::control::relay_queue::SharedRelays;
use crate::control::server_watcher::ServerWatcher;
use crate::control::stored_weights::StoredWeights;
use crate::control::weights_asker::WeightsAsker;
use crate::control::weights_recorder::WeightsRecorder;
use crate::daemon::ShutdownTokens;
use crate::daemon::StartError;
use crate::state::SharedState;
use crate::telemetry::render_metrics;
use crate::traffic::ForwardCall;

/// How long new connections are accepted after the readiness check begins to fail. The load
/// balancer polls it every second and removes a host after two failures.
const READINESS_DRAIN_DELAY: Duration = Duration::from_millis(2_600);
/// Time left before the shutdown deadline, so that the process exits before it is killed.
const SHUTDOWN_MARGIN: Duration = Duration::from_millis(500);
/// Time before that end in which requests without a response are answered.
const ANSWER_TIME: Duration = Duration::from_millis(200);
/// Interval at which the shutdown checks for open connections.
const CONNECTION_POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Interval at which recorded samples are drained into histogram buckets, which bounds their
/// memory.
const METRICS_UPKEEP_INTERVAL: Duration = Duration::from_secs(5);

pub(crate) struct ControlListeners {
    /// Readiness checks of the load balancer.
    pub(crate) readiness: TcpListener,
    /// Metrics scrapes.
    pub(crate) metrics: TcpListener,
    /// Gossip and log requests of other routers.
    pub(crate) peers: TcpListener,
}

/// The control thread: an actix system with the tasks that talk to the store, to engines and to
/// other routers.
pub(crate) struct ControlThread {
    pub(crate) state: Arc<SharedState>,
    pub(crate) stop: ShutdownTokens,
    pub(crate) path: PathBuf,
}

impl ControlThread {
    /// Runs until the shutdown is complete.
    pub(crate) fn run(
        self,
        listeners: ControlListeners,
        forwards: UnboundedSender<ForwardCall>,
    ) -> Result<(), StartError> {
        System::new().block_on(async move {
            let ControlListeners { readiness, metrics, peers } = listeners;
            let pages = serve_http_pages(self.state.clone(), self.stop.clone(), readiness, metrics)
                .map_err(|err| StartError::Thread { task: "pages", reason: err.to_string() })?;
            actix_rt::spawn(pages);
            let record_cache = Rc::new(RecordCache::new(self.state.settings.link_bytes_per_s()));
            let relays = SharedRelays::default();
            let fleet_state = SharedFleetState::default();
            let services = PeerServices {
                state: self.state.clone(),
                fleet_state: fleet_state.clone(),
                record_cache: record_cache.clone(),
                relays: relays.clone(),
                forwards,
            };
            let listener = PeerListener::new(services, peers)
                .map_err(|err| StartError::Thread { task: "peers", reason: err.to_string() })?;
            spawn_until_cancelled(&self.stop.complete, listener.run());
            self.start_tasks(&record_cache, &relays, &fleet_state);
            self.serve_signals().await?;
            self.shut_down().await;
            Ok(())
        })
    }

    fn start_tasks(
        &self,
        record_cache: &Rc<RecordCache>,
        relays: &SharedRelays,
        fleet_state: &SharedFleetState,
    ) {
        let client = StoreClient::new(self.state.settings.store);
        let token = self.stop.complete.clone();
        // Each watcher has its own connection to the router that it reads from.
        let source = || {
            LogSource::new(
                self.state.clone(),
                client.clone(),
                fleet_state.clone(),
                record_cache.clone(),
            )
        };
        let stored_weights = Rc::new(StoredWeights::new(self.state.clone()));
        let operator_watcher =
            OperatorWatcher::new(self.state.clone(), source(), stored_weights.clone());
        spawn_until_cancelled(&token, operator_watcher.run());
        let weights_asker = WeightsAsker::new(self.state.clone(), fleet_state.clone());
        spawn_until_cancelled(&token, weights_asker.run());
        let server_watcher =
            ServerWatcher::new(self.state.clone(), source(), stored_weights.clone());
        spawn_until_cancelled(&token, server_watcher.run());
        let reader = FleetReader::new(
            self.state.clone(),
            source(),
            fleet_state.clone(),
            stored_weights.clone(),
        );
        spawn_until_cancelled(&token, FleetWatcher::new(reader.clone()).run());
        spawn_until_cancelled(&token, run_fleet_writer(self.state.clone(), client.clone()));
        spawn_until_cancelled(&token, run_binding_writer(self.state.clone(), client.clone()));
        spawn_until_cancelled(&token, run_binding_reader(self.state.clone(), client.clone()));
        let gossip = GossipSender::new(
            self.state.clone(),
            fleet_state.clone(),
            relays.clone(),
            self.stop.requested.clone(),
        );
        spawn_until_cancelled(&token, gossip.run());
        let forwarder =
            RelayForwarder::new(self.state.clone(), fleet_state.clone(), relays.clone());
        spawn_until_cancelled(&token, forwarder.run());
        spawn_until_cancelled(&token, CacheWatcher::new(self.state.clone()).run());
        self.start_scheduler(client, reader, fleet_state, stored_weights);
        spawn_until_cancelled(&token, run_metrics_upkeep(self.state.clone()));
    }

    /// The tasks of the holder of the lease, which end when the shutdown begins, so that another host takes it.
    fn start_scheduler(
        &self,
        client: StoreClient,
        reader: FleetReader,
        fleet_state: &SharedFleetState,
        stored_weights: Rc<StoredWeights>,
    ) {
        let (state, stop) = (&self.state, &self.stop.requested);
        let scheduler =
            OrderScheduler::new(state.clone(), client.clone(), fleet_state.clone(), reader);
        let recorder =
            WeightsRecorder::new(state.clone(), client, scheduler.shared(), stored_weights);
        spawn_until_cancelled(stop, recorder.run());
        // Releases the lease when the shutdown begins.
        spawn_until_cancelled(&self.stop.complete, scheduler.run(stop.clone()));
    }

    /// Waits for a signal to stop. SIGHUP is handled, as it would otherwise end the process; it
    /// only compares the settings.
    async fn serve_signals(&self) -> Result<(), StartError> {
        let register = |kind: SignalKind| {
            signal(kind)
                .map_err(|err| StartError::Thread { task: "signals", reason: err.to_string() })
        };
        let mut sigterm = register(SignalKind::terminate())?;
        let mut sigint = register(SignalKind::interrupt())?;
        let mut sighup = register(SignalKind::hangup())?;
        loop {
            tokio::select! {
                _ = sigterm.recv() => return Ok(()),
                _ = sigint.recv() => return Ok(()),
                _ = sighup.recv() => self.compare_settings(),
            }
        }
    }

    fn compare_settings(&self) {
        let kind = EventKind::SettingsReread;
        match EntrySettings::load(&self.path) {
            Ok(settings) => {
                let is_changed = settings != self.state.settings;
                tracing::info!(event = kind.number(), name = kind.name(), is_changed);
            }
            Err(err) => {
                tracing::warn!(event = kind.number(), name = kind.name(), reason = %err);
            }
        }
    }

    /// Fails the readiness check, closes idle connections, then waits for the open ones.
    async fn shut_down(&self) {
        let kind = EventKind::StopBegun;
        let open = self.state.open_requests.load(Ordering::Relaxed);
        tracing::info!(event = kind.number(), name = kind.name(), open);
        let grace = self.state.settings.bounds.stop_grace();
        let requested = Instant::now();
        let end = requested + grace.saturating_sub(SHUTDOWN_MARGIN);
        let last_answers = requested + grace.saturating_sub(SHUTDOWN_MARGIN + ANSWER_TIME);
        self.state.stop_end.get_or_init(|| last_answers);
        self.stop.requested.cancel();
        sleep_until(last_answers.min(requested + READINESS_DRAIN_DELAY)).await;
        self.stop.draining.cancel();
        let all_ended = timeout_at(last_answers, self.wait_for_connections()).await.is_ok();
        self.stop.ending.cancel();
        if timeout_at(end, self.wait_for_connections()).await.is_err() {
            tracing::debug!("connections are cut");
        }
        let kind = EventKind::StopEnded;
        tracing::info!(event = kind.number(), name = kind.name(), all_ended);
        self.stop.complete.cancel();
    }

    async fn wait_for_connections(&self) {
        while 0 < self.state.open_connections.load(Ordering::Relaxed) {
            sleep(CONNECTION_POLL_INTERVAL).await;
        }
    }
}

fn spawn_until_cancelled(token: &CancellationToken, task: impl Future<Output = ()> + 'static) {
    let token = token.clone();
    actix_rt::spawn(async move {
        tokio::select! {
            () = token.cancelled() => {}
            () = task => {}
        }
    });
}

async fn run_metrics_upkeep(state: Arc<SharedState>) {
    loop {
        sleep(METRICS_UPKEEP_INTERVAL).await;
        render_metrics(&state);
    }
}
