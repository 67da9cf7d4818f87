//! The way to one backend server.

use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use fulmargate_names::ErrorKind;
use fulmargate_names::ServerName;
use fulmargate_names::TeamName;
use tokio::sync::oneshot;
use tokio::time::Instant;

use crate::EngineReport;
use crate::GateConf;
use crate::GateEntry;
use crate::GateFigures;
use crate::GateOutcome;
use crate::GateRefusal;
use crate::GateRequest;
use crate::GateTicket;
use crate::GateWaiter;
use crate::MoveReason;
use crate::gate_slot::GateSlot;
use crate::gate_state::FirstStep;
use crate::gate_state::GateState;
use crate::gate_state::QueueDecision;
use crate::gate_state::QueueFate;
use crate::lock::lock;

/// Limits and queue before one backend server, shared by all traffic threads of a router.
///
/// A request leaves the queue in one step under the lock, and whoever took it out holds the only
/// means to answer it: it is sent or refused, never both, and a caller that has hung up took its
/// request out before anybody could send it.
#[derive(Debug)]
pub struct ServerGate {
    server: ServerName,
    state: Mutex<GateState>,
}

impl ServerGate {
    /// An open gate before a server of which nothing is known.
    pub fn new(server: ServerName, conf: GateConf) -> Arc<ServerGate> {
        Arc::new(ServerGate { server, state: Mutex::new(GateState::new(conf)) })
    }

    /// The server behind this gate.
    pub fn server(&self) -> &ServerName {
        &self.server
    }

    /// Asks for the way to the server.
    pub fn enter(self: &Arc<ServerGate>, request: &GateRequest, now: Instant) -> GateEntry {
        let (sender, receiver) = oneshot::channel();
        let (step, displaced) = lock(&self.state).enter(request, sender, now);
        self.deliver(displaced, now);
        match step {
            FirstStep::Admit(slot) => GateEntry::Decided(self.admit(slot, now)),
            FirstStep::Refuse(refusal) => GateEntry::Decided(GateOutcome::Refused(refusal)),
            FirstStep::Move(reason) => GateEntry::Decided(GateOutcome::Moved(reason)),
            FirstStep::Wait(id, give_up) => {
                let priority = request.class.conf.priority;
                let team = request.team.clone();
                let gate = Arc::clone(self);
                GateEntry::Queued(GateWaiter::new(gate, id, priority, team, give_up, receiver))
            }
        }
    }

    /// Takes nothing new from now on; all that wait are told to move at once.
    pub fn close(self: &Arc<ServerGate>, reason: MoveReason, now: Instant) {
        let moved = lock(&self.state).close(reason);
        self.deliver(moved, now);
    }

    /// Takes requests again.
    pub fn open(&self) {
        lock(&self.state).open();
    }

    /// The server has started anew: begins with the limits of an unknown server.
    pub fn restart(self: &Arc<ServerGate>, now: Instant) {
        lock(&self.state).restart();
        self.pump(now);
    }

    /// How long such a request would probably wait here; zero while nothing is known.
    pub fn expected_wait(&self, request: &GateRequest, now: Instant) -> Duration {
        lock(&self.state).expected_wait(request, now)
    }

    /// The gate's numbers now.
    pub fn figures(&self) -> GateFigures {
        lock(&self.state).figures()
    }

    pub(crate) fn first_token(
        self: &Arc<ServerGate>,
        slot: &GateSlot,
        ttft: Duration,
        report: &EngineReport,
        now: Instant,
    ) {
        lock(&self.state).first_token(slot, ttft, report, now);
        self.pump(now);
    }

    pub(crate) fn overloaded(&self, now: Instant) {
        lock(&self.state).overloaded(now);
    }

    pub(crate) fn give_back(self: &Arc<ServerGate>, slot: &GateSlot, now: Instant) {
        lock(&self.state).give_back(slot);
        self.pump(now);
    }

    /// Takes a waiting request out and gives it up; `None` when another has decided on it. The gate
    /// is pumped, for the one that left may have been too large for the room that others fit in.
    pub(crate) fn expire(
        self: &Arc<ServerGate>,
        priority: u8,
        team: &TeamName,
        id: u64,
        now: Instant,
    ) -> Option<GateRefusal> {
        let refusal = {
            let mut state = lock(&self.state);
            let entry = state.leave(priority, team, id)?;
            state.refusal(ErrorKind::DeadlineUnmet, &entry, now)
        };
        self.pump(now);
        Some(refusal)
    }

    /// Takes a waiting request out without an answer: its caller has gone.
    pub(crate) fn abandon(self: &Arc<ServerGate>, priority: u8, team: &TeamName, id: u64) {
        let left = lock(&self.state).leave(priority, team, id);
        if left.is_some() {
            self.pump(Instant::now());
        }
    }

    fn pump(self: &Arc<ServerGate>, now: Instant) {
        let decisions = lock(&self.state).pump(now);
        self.deliver(decisions, now);
    }

    /// Sends decisions, with the lock free: an answer whose receiver has gone drops its ticket
    /// here, which takes the lock again.
    fn deliver(
        self: &Arc<ServerGate>,
        decisions: impl IntoIterator<Item = QueueDecision>,
        now: Instant,
    ) {
        for decision in decisions {
            let outcome = match decision.fate {
                QueueFate::Admit(slot) => self.admit(slot, now),
                QueueFate::Refuse(refusal) => GateOutcome::Refused(refusal),
                QueueFate::Move(reason) => GateOutcome::Moved(reason),
            };
            drop(decision.entry.sender.send(outcome));
        }
    }

    fn admit(self: &Arc<ServerGate>, slot: GateSlot, now: Instant) -> GateOutcome {
        GateOutcome::Admitted(GateTicket::new(Arc::clone(self), slot, now))
    }
}
