//! The right to have one request under way.

use std::sync::Arc;

use fulmargate_names::ServerName;
use tokio::time::Instant;

use crate::EngineReport;
use crate::ServerGate;
use crate::gate_slot::GateSlot;

/// The right to have one request under way at a server; dropping it makes room for the next.
#[derive(Debug)]
pub struct GateTicket {
    gate: Arc<ServerGate>,
    slot: GateSlot,
    sent: Instant,
    phase: TicketPhase,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum TicketPhase {
    Sent,
    Answering,
}

impl GateTicket {
    pub(crate) fn new(gate: Arc<ServerGate>, slot: GateSlot, sent: Instant) -> GateTicket {
        GateTicket { gate, slot, sent, phase: TicketPhase::Sent }
    }

    /// The server that the request goes to.
    pub fn server(&self) -> &ServerName {
        self.gate.server()
    }

    /// The first token, or a plain service's answer, has come. Later calls count for nothing.
    pub fn first_token(&mut self, report: &EngineReport, now: Instant) {
        if self.phase == TicketPhase::Answering {
            return;
        }
        self.phase = TicketPhase::Answering;
        let ttft = now.saturating_duration_since(self.sent);
        self.gate.first_token(&self.slot, ttft, report, now);
        self.slot.prefill_tokens = 0;
    }

    /// The server refused the request for its load, and ran nothing.
    pub fn overloaded(self, now: Instant) {
        self.gate.overloaded(now);
    }
}

impl Drop for GateTicket {
    fn drop(&mut self) {
        self.gate.give_back(&self.slot, Instant::now());
    }
}
