//! The actor of the control thread.

use std::collections::HashSet;
use std::sync::Arc;
use std::time::Duration;

use actix::Actor;
use actix::AsyncContext;
use actix::Context;
use actix::Handler;
use awc::Client;
use fulmargate_admission::ConfiguredServer;
use fulmargate_admission::DrainState;
use fulmargate_admission::HealthChange;
use fulmargate_admission::HealthEvent;
use fulmargate_admission::MoveReason;
use fulmargate_admission::ServerAvailability;
use fulmargate_admission::ServerResult;
use fulmargate_config::ConfigKeeper;
use fulmargate_config::ServerEntry;
use fulmargate_config::ServerKind;
use fulmargate_config::ServerState;
use fulmargate_names::EventKind;
use fulmargate_names::Incarnation;
use fulmargate_names::ModelName;
use fulmargate_names::ServerName;
use fulmargate_peers::PeerHandle;
use fulmargate_peers::PeerItem;
use fulmargate_placement::ServerStanding;
use fulmargate_platform::LogClient;
use fulmargate_platform::LogState;
use indexmap::IndexMap;
use tokio::time::Instant;

use crate::control::control_message::ConfigPublished;
use crate::control::control_message::HealthTold;
use crate::control::control_message::ProbeFinding;
use crate::control::control_message::ProbeResult;
use crate::control::control_message::ServerLife;
use crate::control::control_message::ServerTrouble;
use crate::control::orders::OrderScheduler;
use crate::control::peer_exchange::PeerExchange;
use crate::control::route_keeper::RouteKeeper;
use crate::control::server_probe::probe;
use crate::state::RouterPhase;
use crate::state::RouterState;
use crate::state::ServerRoute;

/// How often each server is asked for its state.
const WATCH_PERIOD: Duration = Duration::from_millis(500);
/// How soon a server in trouble is asked again.
const TROUBLE_PERIOD: Duration = Duration::from_millis(100);

/// Keeps what is agreed and what is known of servers, and publishes the table of routes.
pub(crate) struct ControlActor {
    pub(crate) state: Arc<RouterState>,
    pub(crate) keeper: ConfigKeeper,
    pub(crate) routes: RouteKeeper,
    log: LogClient,
    client: Client,
    probing: HashSet<ServerName>,
    pub(crate) peers: PeerExchange,
    pub(crate) orders: OrderScheduler,
}

impl ControlActor {
    pub(crate) fn new(
        state: Arc<RouterState>,
        keeper: ConfigKeeper,
        log: LogClient,
        client: Client,
        peers: PeerHandle,
    ) -> ControlActor {
        ControlActor {
            routes: RouteKeeper::new(&state.zone),
            orders: OrderScheduler::new(&state),
            state,
            keeper,
            log,
            client,
            probing: HashSet::new(),
            peers: PeerExchange::new(peers),
        }
    }

    pub(crate) fn log_reachable(&self) -> bool {
        matches!(self.log.state(), LogState::Up)
    }

    pub(crate) fn publish(&mut self) {
        let Some(table) = self.routes.build() else {
            return;
        };
        let version = table.version;
        let before = self.state.publish(table);
        if before.as_ref().is_none_or(|before| before.version < version) {
            let host = self.state.host.clone();
            self.peers.handle.put(PeerItem::ConfigInForce { host, version });
        }
        if before.is_none() {
            self.state.phase.advance(RouterPhase::Serving);
            let kind = EventKind::RouterReady;
            tracing::info!(event = kind.number(), name = kind.name(), host = %self.state.host, %version);
        }
    }

    fn watch_all(&mut self, ctx: &mut Context<ControlActor>) {
        let names: Vec<ServerName> =
            self.routes.servers().map(|route| route.name.clone()).collect();
        for name in names {
            self.start_probe(&name, ctx);
        }
    }

    /// Servers that are out of use are probed until they answer again.
    fn try_again(&mut self, ctx: &mut Context<ControlActor>) {
        for name in self.state.health.trial_due(Instant::now()) {
            self.start_probe(&name, ctx);
        }
        self.set_standings();
    }

    /// One probe of a server at a time: a herd of broken connections asks once.
    fn start_probe(&mut self, name: &ServerName, ctx: &mut Context<ControlActor>) {
        let Some(route) = self.routes.server(name) else {
            return;
        };
        if !self.probing.insert(name.clone()) {
            return;
        }
        let address = route.address;
        let known = route.incarnation();
        let client = self.client.clone();
        let server = name.clone();
        let control = ctx.address();
        actix_rt::spawn(async move {
            let finding = probe(&client, &server, address).await;
            control.do_send(ProbeResult { server, known, finding });
        });
    }

    /// Notes a life of a server; tells whether the table changes.
    pub(crate) fn note_life(&mut self, route: &Arc<ServerRoute>, incarnation: Incarnation) -> bool {
        let before = route.note_incarnation(incarnation);
        if incarnation <= before {
            return false;
        }
        let now = Instant::now();
        self.state.suspects.incarnation_seen(&route.name, incarnation, now);
        let news = self.state.health.incarnation_seen(&route.name, incarnation, now);
        if 0 < before.0 {
            route.gate.restart(now);
            let kind = EventKind::ServerRestarted;
            tracing::info!(event = kind.number(), name = kind.name(), server = %route.name, %incarnation);
            let server = route.name.clone();
            self.peers.handle.put(PeerItem::ServerSeen { server, incarnation });
        }
        self.take_health(&news);
        true
    }

    pub(crate) fn note_leaving(
        &mut self,
        route: &Arc<ServerRoute>,
        incarnation: Incarnation,
    ) -> bool {
        if incarnation <= route.leaving_incarnation() {
            return false;
        }
        route.note_leaving(incarnation);
        self.state.health.mark_leaving(&route.name, incarnation);
        // A late report of an earlier incarnation does not affect its successor.
        if !route.is_leaving() {
            return false;
        }
        route.gate.close(MoveReason::Leaving, Instant::now());
        let server = route.name.clone();
        self.peers.handle.put(PeerItem::ServerLeaving { server, incarnation });
        let kind = EventKind::ServerLeaving;
        tracing::info!(event = kind.number(), name = kind.name(), server = %route.name, %incarnation);
        true
    }

    fn note_result(&mut self, route: &Arc<ServerRoute>, known: Incarnation, result: ServerResult) {
        let known = (0 < known.0).then_some(known);
        let news = self.state.health.record_result(&route.name, known, result, Instant::now());
        self.take_health(&news);
    }

    /// Logs changes of health and carries them out.
    fn take_health(&mut self, news: &[HealthEvent]) {
        if news.is_empty() {
            return;
        }
        for HealthEvent { server, change } in news {
            let kind = match change {
                HealthChange::Ejected | HealthChange::KeptByFloor => EventKind::ServerEjected,
                HealthChange::Restored | HealthChange::Restarted => EventKind::ServerRestored,
                HealthChange::Leaving => EventKind::ServerLeaving,
            };
            tracing::warn!(event = kind.number(), name = kind.name(), %server, ?change);
        }
        self.set_standings();
    }

    /// Opens and closes gates, and puts servers in use or out of it. A server that fails but is
    /// kept by the floor is used only while no better one of its pool is left: a zone that is cut
    /// off would else hold on to half of its share of requests.
    fn set_standings(&mut self) {
        let now = Instant::now();
        let uses: IndexMap<ServerName, ServerAvailability> =
            self.state.health.all_availability(now).into_iter().collect();
        let configured_servers = self.configured_servers();
        let has_better = |configured: &ConfiguredServer| {
            let beside = configured_servers.iter().filter(|other| other.pool == configured.pool);
            beside.into_iter().any(|other| {
                matches!(
                    uses.get(&other.server),
                    Some(ServerAvailability::Open | ServerAvailability::Warming { .. })
                )
            })
        };
        for configured in &configured_servers {
            let found =
                uses.get(&configured.server).copied().unwrap_or(ServerAvailability::Drained);
            let closed = match found {
                ServerAvailability::LastResort if has_better(configured) => {
                    Some(MoveReason::Ejected)
                }
                found if found.accepts_requests() => None,
                ServerAvailability::Leaving | ServerAvailability::Drained => {
                    Some(MoveReason::Leaving)
                }
                _ => Some(MoveReason::Ejected),
            };
            self.set_standing(&configured.server, closed, now);
        }
    }

    fn set_standing(&mut self, name: &ServerName, closed: Option<MoveReason>, now: Instant) {
        let meter = self.routes.meter(name);
        let Some(route) = self.routes.server(name) else {
            return;
        };
        if route.gate.snapshot().closed == closed {
            return;
        }
        match closed {
            Some(reason) => {
                meter.set_standing(ServerStanding::OutOfUse);
                route.gate.close(reason, now);
            }
            None => {
                meter.set_standing(ServerStanding::InUse);
                route.gate.open();
            }
        }
    }

    fn configured_servers(&self) -> Vec<ConfiguredServer> {
        let Some(document) = self.routes.document() else {
            return Vec::new();
        };
        document.servers.iter().map(|(name, entry)| configured_server(name, entry)).collect()
    }
}

fn configured_server(name: &ServerName, entry: &ServerEntry) -> ConfiguredServer {
    let pool = match &entry.kind {
        ServerKind::Engine { models, .. } => models.first().map(ModelName::to_string),
        ServerKind::Service { service } => Some(service.to_string()),
    };
    ConfiguredServer {
        server: name.clone(),
        zone: entry.zone.clone(),
        pool: Arc::from(pool.unwrap_or_default()),
        drain: match entry.state {
            ServerState::Active => DrainState::InUse,
            ServerState::Drained => DrainState::Drained,
        },
    }
}

impl Actor for ControlActor {
    type Context = Context<ControlActor>;

    fn started(&mut self, ctx: &mut Context<ControlActor>) {
        ctx.run_interval(WATCH_PERIOD, ControlActor::watch_all);
        ctx.run_interval(TROUBLE_PERIOD, ControlActor::try_again);
        self.start_telling(ctx);
        self.start_orders(self.log.clone(), self.client.clone(), ctx);
    }
}

impl Handler<ConfigPublished> for ControlActor {
    type Result = ();

    fn handle(&mut self, message: ConfigPublished, ctx: &mut Context<ControlActor>) {
        self.routes.set_config(message.published);
        let news = self.state.health.set_servers(&self.configured_servers(), Instant::now());
        self.take_health(&news);
        self.publish();
        self.set_standings();
        self.watch_all(ctx);
    }
}

impl Handler<ServerTrouble> for ControlActor {
    type Result = ();

    fn handle(&mut self, message: ServerTrouble, ctx: &mut Context<ControlActor>) {
        self.start_probe(&message.server, ctx);
    }
}

impl Handler<HealthTold> for ControlActor {
    type Result = ();

    fn handle(&mut self, message: HealthTold, _ctx: &mut Context<ControlActor>) {
        self.take_health(&message.news);
    }
}

impl Handler<ServerLife> for ControlActor {
    type Result = ();

    fn handle(&mut self, message: ServerLife, _ctx: &mut Context<ControlActor>) {
        let Some(route) = self.routes.server(&message.server).cloned() else {
            return;
        };
        let mut is_changed = self.note_life(&route, message.incarnation);
        if message.is_leaving {
            // A notice that names an incarnation applies to that one only: a late one must not take
            // its successor out of use.
            let incarnation = match message.incarnation {
                Incarnation(0) => route.incarnation(),
                told => told,
            };
            is_changed |= self.note_leaving(&route, incarnation);
        }
        if is_changed {
            self.publish();
        }
    }
}

impl Handler<ProbeResult> for ControlActor {
    type Result = ();

    fn handle(&mut self, message: ProbeResult, _ctx: &mut Context<ControlActor>) {
        self.probing.remove(&message.server);
        let Some(route) = self.routes.server(&message.server).cloned() else {
            return;
        };
        let now = Instant::now();
        match message.finding {
            ProbeFinding::Answered(report) => {
                let mut is_changed = self.note_life(&route, report.incarnation);
                self.state.suspects.incarnation_seen(&route.name, report.incarnation, now);
                self.note_result(&route, message.known, ServerResult::Answered);
                if report.leaving {
                    is_changed |= self.note_leaving(&route, report.incarnation);
                }
                self.orders.note_report(&route.name, &report);
                is_changed |= self.routes.note_weights(&route.name, &report.weights);
                if is_changed {
                    self.publish();
                }
            }
            ProbeFinding::Closed => {
                self.state.suspects.crashed(&route.name, message.known, now);
                self.note_result(&route, message.known, ServerResult::Closed);
            }
            ProbeFinding::Silent => {
                self.note_result(&route, message.known, ServerResult::TimedOut);
            }
        }
    }
}
