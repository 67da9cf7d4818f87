//! Admission gate of one backend server.

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
use crate::GateOutcome;
use crate::GateRefusal;
use crate::GateRequest;
use crate::GateSnapshot;
use crate::GateTicket;
use crate::GateWaiter;
use crate::MoveReason;
use crate::gate_slot::GateSlot;
use crate::gate_state::EntryAction;
use crate::gate_state::GateState;
use crate::gate_state::QueueAction;
use crate::gate_state::QueueDecision;
use crate::lock::lock;

/// Concurrency limits and queue of one backend server, shared by all traffic threads of a router.
///
/// Only the thread that removes a request from the queue sends its decision. Each request therefore
/// gets exactly one, and a request whose caller has disconnected is never sent.
#[derive(Debug)]
pub struct ServerGate {
    server: ServerName,
    state: Mutex<GateState>,
}

impl ServerGate {
    /// An open gate with the initial limits.
    pub fn new(server: ServerName, conf: GateConf) -> Arc<ServerGate> {
        Arc::new(ServerGate { server, state: Mutex::new(GateState::new(conf)) })
    }

    /// The server behind this gate.
    pub fn server(&self) -> &ServerName {
        &self.server
    }

    /// Admits, queues or rejects a request.
    pub fn enter(self: &Arc<ServerGate>, request: &GateRequest, now: Instant) -> GateEntry {
        let (sender, receiver) = oneshot::channel();
        let (action, displaced) = lock(&self.state).enter(request, sender, now);
        self.send_decisions(displaced, now);
        match action {
            EntryAction::Admit(slot) => GateEntry::Decided(self.admit(slot, now)),
            EntryAction::Refuse(refusal) => GateEntry::Decided(GateOutcome::Refused(refusal)),
            EntryAction::Move(reason) => GateEntry::Decided(GateOutcome::Moved(reason)),
            EntryAction::Wait(id, expires_at) => {
                let priority = request.class.conf.priority;
                let team = request.team.clone();
                let gate = Arc::clone(self);
                GateEntry::Queued(GateWaiter::new(gate, id, priority, team, expires_at, receiver))
            }
        }
    }

    /// Rejects new requests from now on, and moves all queued ones to other servers.
    pub fn close(self: &Arc<ServerGate>, reason: MoveReason, now: Instant) {
        let decisions = lock(&self.state).close(reason);
        self.send_decisions(decisions, now);
    }

    /// Accepts requests again.
    pub fn open(&self) {
        lock(&self.state).open();
    }

    /// Resets load and limits after the server has restarted.
    pub fn restart(self: &Arc<ServerGate>, now: Instant) {
        lock(&self.state).restart();
        self.dispatch(now);
    }

    /// Estimated queueing time of such a request; zero while unknown.
    pub fn expected_wait(&self, request: &GateRequest, now: Instant) -> Duration {
        lock(&self.state).expected_wait(request, now)
    }

    /// A snapshot of the gate's state.
    pub fn snapshot(&self) -> GateSnapshot {
        lock(&self.state).snapshot()
    }

    pub(crate) fn first_token(
        self: &Arc<ServerGate>,
        slot: &GateSlot,
        ttft: Duration,
        report: &EngineReport,
        now: Instant,
    ) {
        lock(&self.state).first_token(slot, ttft, report, now);
        self.dispatch(now);
    }

    pub(crate) fn overloaded(&self, now: Instant) {
        lock(&self.state).overloaded(now);
    }

    pub(crate) fn release(self: &Arc<ServerGate>, slot: &GateSlot, now: Instant) {
        lock(&self.state).release(slot);
        self.dispatch(now);
    }

    /// Removes an expired request from the queue; `None` if it has already been decided on. Smaller
    /// requests that it blocked may fit now, so they are dispatched.
    pub(crate) fn expire(
        self: &Arc<ServerGate>,
        priority: u8,
        team: &TeamName,
        id: u64,
        now: Instant,
    ) -> Option<GateRefusal> {
        let refusal = {
            let mut state = lock(&self.state);
            let entry = state.remove(priority, team, id)?;
            state.refusal(ErrorKind::DeadlineUnmet, &entry, now)
        };
        self.dispatch(now);
        Some(refusal)
    }

    /// Removes a request whose caller has disconnected.
    pub(crate) fn cancel(self: &Arc<ServerGate>, priority: u8, team: &TeamName, id: u64) {
        let removed = lock(&self.state).remove(priority, team, id);
        if removed.is_some() {
            self.dispatch(Instant::now());
        }
    }

    fn dispatch(self: &Arc<ServerGate>, now: Instant) {
        let decisions = lock(&self.state).dispatch(now);
        self.send_decisions(decisions, now);
    }

    /// Sends decisions. The lock must not be held: if a receiver is gone, its ticket is dropped
    /// here, which locks the state again.
    fn send_decisions(
        self: &Arc<ServerGate>,
        decisions: impl IntoIterator<Item = QueueDecision>,
        now: Instant,
    ) {
        for decision in decisions {
            let outcome = match decision.action {
                QueueAction::Admit(slot) => self.admit(slot, now),
                QueueAction::Refuse(refusal) => GateOutcome::Refused(refusal),
                QueueAction::Move(reason) => GateOutcome::Moved(reason),
            };
            drop(decision.entry.sender.send(outcome));
        }
    }

    fn admit(self: &Arc<ServerGate>, slot: GateSlot, now: Instant) -> GateOutcome {
        GateOutcome::Admitted(GateTicket::new(Arc::clone(self), slot, now))
    }
}
