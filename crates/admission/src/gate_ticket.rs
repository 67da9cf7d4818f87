//! Permit for one in-flight request.

use std::sync::Arc;

use fulmargate_names::ServerName;
use tokio::time::Instant;

use crate::EngineReport;
use crate::ServerGate;
use crate::gate_slot::GateSlot;

/// Permit for one in-flight request at a server. Dropping it releases the request's slot.
#[derive(Debug)]
pub struct GateTicket {
    gate: Arc<ServerGate>,
    slot: GateSlot,
    sent_at: Instant,
    phase: TicketPhase,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum TicketPhase {
    Sent,
    Responding,
}

impl GateTicket {
    pub(crate) fn new(gate: Arc<ServerGate>, slot: GateSlot, sent_at: Instant) -> GateTicket {
        GateTicket { gate, slot, sent_at, phase: TicketPhase::Sent }
    }

    /// The server to send the request to.
    pub fn server(&self) -> &ServerName {
        self.gate.server()
    }

    /// Reports the first token, or the response of a service without tokens. Only the first call
    /// counts.
    pub fn first_token(&mut self, report: &EngineReport, now: Instant) {
        if self.phase == TicketPhase::Responding {
            return;
        }
        self.phase = TicketPhase::Responding;
        let ttft = now.saturating_duration_since(self.sent_at);
        self.gate.first_token(&self.slot, ttft, report, now);
        self.slot.prefill_tokens = 0;
    }

    /// Reports that the server rejected the request as overloaded without running it.
    pub fn overloaded(self, now: Instant) {
        self.gate.overloaded(now);
    }
}

impl Drop for GateTicket {
    fn drop(&mut self) {
        self.gate.release(&self.slot, Instant::now());
    }
}
