//! The actor of the control thread.

use std::collections::HashSet;
use std::sync::Arc;
use std::time::Duration;

use actix::Actor;
use actix::AsyncContext;
use actix::Context;
use actix::Handler;
use awc::Client;
use fulmargate_admission::MoveReason;
use fulmargate_config::ConfigKeeper;
use fulmargate_config::ServerState;
use fulmargate_names::EventKind;
use fulmargate_names::Incarnation;
use fulmargate_names::ServerName;
use fulmargate_placement::ServerStanding;
use fulmargate_platform::LogClient;
use fulmargate_platform::LogState;
use tokio::time::Instant;

use crate::control::control_message::ConfigPublished;
use crate::control::control_message::ProbeFinding;
use crate::control::control_message::ProbeResult;
use crate::control::control_message::ServerLife;
use crate::control::control_message::ServerTrouble;
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
    /// Servers that get nothing new because they do not answer.
    pub(crate) down: HashSet<ServerName>,
}

impl ControlActor {
    pub(crate) fn new(
        state: Arc<RouterState>,
        keeper: ConfigKeeper,
        log: LogClient,
        client: Client,
    ) -> ControlActor {
        ControlActor {
            routes: RouteKeeper::new(&state.zone),
            state,
            keeper,
            log,
            client,
            probing: HashSet::new(),
            down: HashSet::new(),
        }
    }

    pub(crate) fn log_reachable(&self) -> bool {
        matches!(self.log.state(), LogState::Up)
    }

    fn publish(&mut self) {
        let Some(table) = self.routes.build() else {
            return;
        };
        let version = table.version;
        let before = self.state.routes.swap(Some(Arc::new(table)));
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

    fn watch_down(&mut self, ctx: &mut Context<ControlActor>) {
        let down: Vec<ServerName> = self.down.iter().cloned().collect();
        for name in down {
            self.start_probe(&name, ctx);
        }
    }

    /// One probe of a server at a time: a herd of broken connections asks once.
    fn start_probe(&mut self, name: &ServerName, ctx: &mut Context<ControlActor>) {
        let Some(route) = self.routes.server(name) else {
            self.down.remove(name);
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
    fn note_life(&mut self, route: &Arc<ServerRoute>, incarnation: Incarnation) -> bool {
        let before = route.note_incarnation(incarnation);
        if incarnation <= before {
            return false;
        }
        let now = Instant::now();
        self.state.suspects.seen(&route.name, incarnation, now);
        if 0 < before.0 {
            route.gate.restart(now);
            let kind = EventKind::ServerRestarted;
            tracing::info!(event = kind.number(), name = kind.name(), server = %route.name, %incarnation);
        }
        if !route.is_leaving() && !self.down.contains(&route.name) {
            route.gate.open();
        }
        true
    }

    fn note_leaving(&mut self, route: &Arc<ServerRoute>, incarnation: Incarnation) -> bool {
        if incarnation <= route.leaving_incarnation() {
            return false;
        }
        route.note_leaving(incarnation);
        route.gate.close(MoveReason::Leaving, Instant::now());
        let kind = EventKind::ServerLeaving;
        tracing::info!(event = kind.number(), name = kind.name(), server = %route.name, %incarnation);
        true
    }

    fn note_up(&mut self, route: &Arc<ServerRoute>) {
        if !self.down.remove(&route.name) {
            return;
        }
        self.routes.meter(&route.name).set_standing(ServerStanding::InUse);
        if !route.is_leaving() {
            route.gate.open();
        }
        let kind = EventKind::ServerRestored;
        tracing::info!(event = kind.number(), name = kind.name(), server = %route.name);
    }

    fn note_down(&mut self, route: &Arc<ServerRoute>) {
        if !self.down.insert(route.name.clone()) {
            return;
        }
        self.routes.meter(&route.name).set_standing(ServerStanding::OutOfUse);
        route.gate.close(MoveReason::Ejected, Instant::now());
        let kind = EventKind::ServerEjected;
        tracing::warn!(event = kind.number(), name = kind.name(), server = %route.name);
    }

    /// Gates of drained servers turn waiting requests away; those drained no more take them again.
    fn set_gates(&mut self) {
        let Some(document) = self.routes.document().cloned() else {
            return;
        };
        for route in self.routes.servers() {
            let state = document.servers.get(&route.name).map(|entry| entry.state);
            if state != Some(ServerState::Active) {
                route.gate.close(MoveReason::Leaving, Instant::now());
            } else if !route.is_leaving() && !self.down.contains(&route.name) {
                route.gate.open();
            }
        }
    }
}

impl Actor for ControlActor {
    type Context = Context<ControlActor>;

    fn started(&mut self, ctx: &mut Context<ControlActor>) {
        ctx.run_interval(WATCH_PERIOD, ControlActor::watch_all);
        ctx.run_interval(TROUBLE_PERIOD, ControlActor::watch_down);
    }
}

impl Handler<ConfigPublished> for ControlActor {
    type Result = ();

    fn handle(&mut self, message: ConfigPublished, ctx: &mut Context<ControlActor>) {
        self.routes.set_config(message.published);
        self.set_gates();
        self.publish();
        self.watch_all(ctx);
    }
}

impl Handler<ServerTrouble> for ControlActor {
    type Result = ();

    fn handle(&mut self, message: ServerTrouble, ctx: &mut Context<ControlActor>) {
        self.start_probe(&message.server, ctx);
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
            let incarnation = message.incarnation.max(route.incarnation());
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
                self.state.suspects.seen(&route.name, report.incarnation, now);
                self.note_up(&route);
                if report.leaving {
                    is_changed |= self.note_leaving(&route, report.incarnation);
                }
                is_changed |= self.routes.note_weights(&route.name, &report.weights);
                if is_changed {
                    self.publish();
                }
            }
            ProbeFinding::Closed => {
                self.state.suspects.crashed(&route.name, message.known, now);
                self.note_down(&route);
            }
            ProbeFinding::Silent => self.note_down(&route),
        }
    }
}
