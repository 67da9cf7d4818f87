//! Finds a server for a request and gets through its gate.

use std::sync::Arc;
use std::time::Duration;

use fulmargate_admission::GateEntry;
use fulmargate_admission::GateOutcome;
use fulmargate_admission::GateRefusal;
use fulmargate_admission::GateRequest;
use fulmargate_admission::GateTicket;
use fulmargate_admission::RunFit;
use fulmargate_admission::RunRefusal;
use fulmargate_admission::SuspectStanding;
use fulmargate_names::ErrorKind;
use fulmargate_names::ServerName;
use fulmargate_names::WeightsVersion;
use fulmargate_placement::Choice;
use fulmargate_placement::OpenRequest;
use fulmargate_placement::PlacementRequest;
use fulmargate_placement::ServerId;
use fulmargate_relay::EqualServers;
use tokio::time::Instant;
use tokio::time::timeout_at;

use crate::attempt::AttemptHold;
use crate::attempt::EngineRunner;
use crate::caller::RequestError;
use crate::state::ModelRoute;
use crate::state::RouteTable;
use crate::state::ServerRoute;

/// Servers that refuse or turn a request away before it is given up.
const MAX_MOVES: u32 = 6;
/// How long a suspect that finds no free server waits before it looks again.
const SUSPECT_LOOK: Duration = Duration::from_millis(50);

/// A request that may be sent to a server now.
pub(crate) struct PlacedAttempt {
    pub(crate) server: Arc<ServerRoute>,
    pub(crate) choice: Choice,
    pub(crate) hold: AttemptHold,
}

/// What came of one try to get through to a server.
enum PlaceStep {
    Placed(Box<PlacedAttempt>),
    /// The server takes nothing now; another may.
    Elsewhere(ServerName),
    /// The server's gate gave the request up.
    Refused(ServerName, GateRefusal),
    /// It is a suspect and no server is free for it.
    WaitForTurn,
}

impl EngineRunner {
    /// Waits for a server, as long as the deadline allows.
    pub(crate) async fn place(&self) -> Result<PlacedAttempt, RequestError> {
        let mut passed: Vec<ServerName> = Vec::new();
        let mut refusal = None;
        let mut moves = 0;
        while moves < MAX_MOVES {
            let table = self.table()?;
            let Some(route) = table.models.get(&self.call.model) else {
                return Err(RequestError::new(ErrorKind::UnknownModel));
            };
            match self.place_once(&table, route, &passed).await? {
                Some(PlaceStep::Placed(placed)) => return Ok(*placed),
                Some(PlaceStep::Elsewhere(server)) => passed.push(server),
                Some(PlaceStep::Refused(server, given)) => {
                    refusal = Some(soonest(refusal, given));
                    passed.push(server);
                }
                Some(PlaceStep::WaitForTurn) => {
                    self.wait_for_turn().await?;
                    continue;
                }
                None => break,
            }
            moves += 1;
        }
        Err(self.not_placed(refusal))
    }

    /// Waits for a place at one server only.
    pub(crate) async fn place_at(
        &self,
        server: &ServerName,
    ) -> Result<PlacedAttempt, RequestError> {
        let table = self.table()?;
        let Some(route) = table.models.get(&self.call.model) else {
            return Err(RequestError::new(ErrorKind::UnknownModel));
        };
        let others = route.view.servers().map(|other| other.name());
        let others: Vec<ServerName> = others.filter(|other| *other != server).cloned().collect();
        match self.place_once(&table, route, &others).await? {
            Some(PlaceStep::Placed(placed)) => Ok(*placed),
            Some(PlaceStep::Refused(_, refusal)) => Err(self.not_placed(Some(refusal))),
            Some(PlaceStep::Elsewhere(_) | PlaceStep::WaitForTurn) | None => {
                Err(self.not_placed(None))
            }
        }
    }

    /// Whether a server may have these weights: it has reported them, or has reported none yet.
    pub(crate) fn may_have_weights(&self, server: &ServerName, weights: WeightsVersion) -> bool {
        let Ok(table) = self.table() else { return true };
        table.servers.get(server).is_some_and(|route| route.may_have(&self.call.model, weights))
    }

    /// Whether other servers than this one can go on with a stream that began under these weights.
    pub(crate) fn equal_servers(
        &self,
        server: &ServerName,
        weights: WeightsVersion,
    ) -> EqualServers {
        let Ok(table) = self.table() else { return EqualServers::OutOfReach };
        let Some(route) = table.models.get(&self.call.model) else { return EqualServers::Gone };
        let others = route.view.servers().map(|other| other.name());
        let others = others.filter(|name| *name != server && self.call.entry.may_reach(name));
        let equal: Vec<&ServerName> =
            others.filter(|name| self.may_have_weights(name, weights)).collect();
        match equal.iter().any(|name| !self.failed.contains(name)) {
            true => EqualServers::InReach,
            false if equal.is_empty() => EqualServers::Gone,
            false => EqualServers::OutOfReach,
        }
    }

    async fn place_once(
        &self,
        table: &RouteTable,
        route: &ModelRoute,
        passed: &[ServerName],
    ) -> Result<Option<PlaceStep>, RequestError> {
        let now = Instant::now();
        let standing = self.state.suspects.standing(self.call.print, now);
        let excluded = match standing {
            SuspectStanding::Convicted => {
                return Err(RequestError::new(ErrorKind::CrashingRequest));
            }
            SuspectStanding::Held => return Ok(Some(PlaceStep::WaitForTurn)),
            SuspectStanding::Innocent => self.excluded(route, passed),
            SuspectStanding::Suspect => match self.excluded_for_suspect(route, passed) {
                Some(excluded) => excluded,
                None => return Ok(Some(PlaceStep::WaitForTurn)),
            },
        };
        let now_ms = self.state.now_ms();
        let request = PlacementRequest {
            policy: table.policy,
            weights: self.call.weights,
            excluded: &excluded,
            now_ms,
        };
        let Some(choice) = route.placer.choose(&route.view, &self.call.chain, &request) else {
            return Ok(None);
        };
        let Some(server) = table.servers.get(choice.server.name()) else {
            return Ok(Some(PlaceStep::Elsewhere(choice.server.name().clone())));
        };
        let load = route.placer.begin(&choice, &self.call.chain, self.call.weights, now_ms);
        Ok(Some(self.pass_gate(server, choice, load).await))
    }

    async fn pass_gate(
        &self,
        server: &Arc<ServerRoute>,
        choice: Choice,
        load: OpenRequest,
    ) -> PlaceStep {
        let request = GateRequest {
            team: self.call.team.clone(),
            class: self.call.class.clone(),
            prefill_tokens: self.call.chain.tokens().saturating_sub(choice.predicted_cached),
        };
        let outcome = match server.gate.enter(&request, Instant::now()) {
            GateEntry::Decided(outcome) => outcome,
            GateEntry::Queued(waiter) => waiter.wait().await,
        };
        match outcome {
            GateOutcome::Admitted(ticket) => self.begin_run(server, choice, load, ticket),
            GateOutcome::Refused(refusal) => PlaceStep::Refused(server.name.clone(), refusal),
            GateOutcome::Moved(_) => PlaceStep::Elsewhere(server.name.clone()),
        }
    }

    /// The last check before the first byte: what runs beside a suspect may become one.
    fn begin_run(
        &self,
        server: &Arc<ServerRoute>,
        choice: Choice,
        load: OpenRequest,
        ticket: GateTicket,
    ) -> PlaceStep {
        let begun = self.state.suspects.begin(
            self.call.print,
            &server.name,
            server.incarnation(),
            Instant::now(),
        );
        match begun {
            Ok(run) => {
                let hold = AttemptHold { load, ticket, run };
                PlaceStep::Placed(Box::new(PlacedAttempt {
                    server: Arc::clone(server),
                    choice,
                    hold,
                }))
            }
            Err(RunRefusal::Busy) => PlaceStep::Elsewhere(server.name.clone()),
            Err(RunRefusal::Held { .. } | RunRefusal::Convicted) => PlaceStep::WaitForTurn,
        }
    }

    /// Servers that this request must not go to: those that failed it, those that turned it away,
    /// and those that its team may not reach.
    fn excluded(&self, route: &ModelRoute, passed: &[ServerName]) -> Vec<ServerId> {
        let is_out = |name: &ServerName| {
            self.failed.contains(name) || passed.contains(name) || !self.call.entry.may_reach(name)
        };
        let servers = route.view.servers().filter(|server| is_out(server.name()));
        servers.map(|server| server.meter.id()).collect()
    }

    /// The same for a suspect, which also keeps off servers where another suspect runs. `None` if
    /// no server is left for it now.
    fn excluded_for_suspect(
        &self,
        route: &ModelRoute,
        passed: &[ServerName],
    ) -> Option<Vec<ServerId>> {
        let now = Instant::now();
        let fit = |name: &ServerName| self.state.suspects.run_fit(self.call.print, name, now);
        let mut excluded = self.excluded(route, passed);
        let open: Vec<_> =
            route.view.servers().filter(|server| !excluded.contains(&server.meter.id())).collect();
        let has_own = open.iter().any(|server| fit(server.name()) == RunFit::Own);
        let mut left = 0;
        for server in &open {
            let is_fit = match fit(server.name()) {
                RunFit::Anywhere | RunFit::Own => true,
                RunFit::Shared => !has_own,
                RunFit::Busy | RunFit::Held { .. } | RunFit::Never => false,
            };
            if is_fit {
                left += 1;
            } else {
                excluded.push(server.meter.id());
            }
        }
        (0 < left || open.is_empty()).then_some(excluded)
    }

    /// Waits until the table of suspects changes, or for the deadline.
    async fn wait_for_turn(&self) -> Result<(), RequestError> {
        let deadline = self.call.deadline();
        let now = Instant::now();
        if deadline <= now {
            return Err(RequestError::new(ErrorKind::DeadlineUnmet));
        }
        let mut changes = self.state.suspects.changes();
        let look = deadline.min(now + SUSPECT_LOOK);
        let _looked_again_either_way = timeout_at(look, changes.changed()).await;
        Ok(())
    }

    fn not_placed(&self, refusal: Option<GateRefusal>) -> RequestError {
        match refusal {
            Some(refusal) => RequestError::new(refusal.kind)
                .retry_after_ms(refusal.retry_after.as_millis() as u64),
            None => RequestError::new(ErrorKind::NoServer),
        }
    }
}

fn soonest(before: Option<GateRefusal>, given: GateRefusal) -> GateRefusal {
    match before {
        Some(before) if before.retry_after < given.retry_after => before,
        _ => given,
    }
}
