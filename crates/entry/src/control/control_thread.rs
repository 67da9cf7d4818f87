//! Starts the tasks of the control thread and runs the planned stop.

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
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::time::sleep;
use tokio_util::sync::CancellationToken;

use crate::control::cache_watcher::CacheWatcher;
use crate::control::fleet_watcher::FleetReader;
use crate::control::fleet_watcher::FleetWatcher;
use crate::control::fleet_watcher::SharedFleetState;
use crate::control::gossip_sender::GossipSender;
use crate::control::log_source::LogSource;
use crate::control::operator_watcher::OperatorWatcher;
use crate::control::order_scheduler::OrderScheduler;
use crate::control::pages::serve_pages;
use crate::control::peer_listener::PeerListener;
use crate::control::record_cache::RecordCache;
use crate::control::relay_forwarder::RelayForwarder;
use crate::control::relay_queue::SharedRelays;
use crate::control::server_watcher::ServerWatcher;
use crate::daemon::StartError;
use crate::daemon::StopTokens;
use crate::state::CrashSighting;
use crate::state::SharedState;
use crate::telemetry::render_metrics;

/// The balancer asks once a second and takes a host out after two misses; until then it still
/// sends new connections.
const STOP_LEAD: Duration = Duration::from_millis(2_600);
/// Before the time for a stop is over, so that the process ends by itself.
const STOP_MARGIN: Duration = Duration::from_millis(500);
/// How often the stop looks for open connections.
const STOP_PACE: Duration = Duration::from_millis(50);
/// The recorder's samples are put into buckets at this pace, which bounds their memory.
const UPKEEP_PACE: Duration = Duration::from_secs(5);

/// Listeners of the control thread.
pub(crate) struct ControlListeners {
    /// For the balancer.
    pub(crate) readiness: TcpListener,
    /// For readers of metrics.
    pub(crate) metrics: TcpListener,
    /// For other routers.
    pub(crate) peers: TcpListener,
}

/// The control thread: an actix system with the tasks that talk to the store and to engines.
pub(crate) struct ControlThread {
    pub(crate) state: Arc<SharedState>,
    pub(crate) stop: StopTokens,
    pub(crate) path: PathBuf,
}

impl ControlThread {
    /// Runs until the planned stop is over.
    pub(crate) fn run(
        self,
        listeners: ControlListeners,
        crashes: UnboundedReceiver<CrashSighting>,
    ) -> Result<(), StartError> {
        System::new().block_on(async move {
            let ControlListeners { readiness, metrics, peers } = listeners;
            let pages = serve_pages(self.state.clone(), self.stop.clone(), readiness, metrics)
                .map_err(|err| StartError::Thread { what: "pages", reason: err.to_string() })?;
            actix_rt::spawn(pages);
            let record_cache = Rc::new(RecordCache::new(self.state.settings.link_bytes_per_s()));
            let relays = SharedRelays::default();
            let listener =
                PeerListener::new(self.state.clone(), record_cache.clone(), relays.clone(), peers)
                    .map_err(|err| StartError::Thread { what: "peers", reason: err.to_string() })?;
            spawn_until(&self.stop.ended, listener.run());
            self.start_tasks(&record_cache, &relays, crashes);
            self.serve_signals().await?;
            self.end().await;
            Ok(())
        })
    }

    fn start_tasks(
        &self,
        record_cache: &Rc<RecordCache>,
        relays: &SharedRelays,
        crashes: UnboundedReceiver<CrashSighting>,
    ) {
        let client = StoreClient::new(self.state.settings.store);
        let token = self.stop.ended.clone();
        let fleet_state = SharedFleetState::default();
        // Each watcher has a link of its own to the router that it asks.
        let source = || {
            LogSource::new(
                self.state.clone(),
                client.clone(),
                fleet_state.clone(),
                record_cache.clone(),
            )
        };
        let operator = OperatorWatcher::new(self.state.clone(), source());
        spawn_until(&token, operator.run());
        let servers = ServerWatcher::new(self.state.clone(), source());
        spawn_until(&token, servers.run());
        let reader = FleetReader::new(self.state.clone(), source(), fleet_state.clone());
        spawn_until(&token, FleetWatcher::new(reader.clone()).run(crashes));
        let gossip = GossipSender::new(self.state.clone(), fleet_state.clone(), relays.clone());
        spawn_until(&token, gossip.run());
        let desk = RelayForwarder::new(self.state.clone(), fleet_state.clone(), relays.clone());
        spawn_until(&token, desk.run());
        spawn_until(&token, CacheWatcher::new(self.state.clone()).run());
        let orders = OrderScheduler::new(self.state.clone(), client, fleet_state, reader);
        // A host that leaves gives no more orders: another takes the lease.
        spawn_until(&self.stop.begun, orders.run());
        spawn_until(&token, keep_metrics(self.state.clone()));
    }

    /// Waits for the signal to stop. SIGHUP only compares settings: an unhandled one would end the
    /// process and cut all requests.
    async fn serve_signals(&self) -> Result<(), StartError> {
        let open = |kind: SignalKind| {
            signal(kind)
                .map_err(|err| StartError::Thread { what: "signals", reason: err.to_string() })
        };
        let mut terminate = open(SignalKind::terminate())?;
        let mut interrupt = open(SignalKind::interrupt())?;
        let mut hangup = open(SignalKind::hangup())?;
        loop {
            tokio::select! {
                _ = terminate.recv() => return Ok(()),
                _ = interrupt.recv() => return Ok(()),
                _ = hangup.recv() => self.reread(),
            }
        }
    }

    fn reread(&self) {
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

    /// First the balancer learns that nothing new should come, then idle connections are closed,
    /// then the process waits for what is open.
    async fn end(&self) {
        let begun = EventKind::StopBegun;
        let open = self.state.open_requests.load(Ordering::Relaxed);
        tracing::info!(event = begun.number(), name = begun.name(), open);
        self.stop.begun.cancel();
        sleep(STOP_LEAD).await;
        self.stop.closing.cancel();
        let rest = self.state.settings.bounds.stop_grace() - STOP_LEAD;
        let wait = rest.saturating_sub(STOP_MARGIN);
        let all_ended = tokio::time::timeout(wait, self.all_closed()).await.is_ok();
        let ended = EventKind::StopEnded;
        tracing::info!(event = ended.number(), name = ended.name(), all_ended);
        self.stop.ended.cancel();
    }

    async fn all_closed(&self) {
        while 0 < self.state.open_connections.load(Ordering::Relaxed) {
            sleep(STOP_PACE).await;
        }
    }
}

fn spawn_until(token: &CancellationToken, task: impl Future<Output = ()> + 'static) {
    let token = token.clone();
    actix_rt::spawn(async move {
        tokio::select! {
            () = token.cancelled() => {}
            () = task => {}
        }
    });
}

async fn keep_metrics(state: Arc<SharedState>) {
    loop {
        sleep(UPKEEP_PACE).await;
        render_metrics(&state);
    }
}
