//! A request in flight at a backend server.

use std::sync::Arc;

use fulmargate_admission::NamedLimit;
use fulmargate_dispatch::LoadReport;
use fulmargate_dispatch::ProbeStep;
use fulmargate_dispatch::SendTicket;
use fulmargate_dispatch::ServerEntry;
use tokio::time::Instant;

use crate::state::SharedState;
use crate::telemetry::log_brittle;
use crate::telemetry::log_named_limit;
use crate::telemetry::log_unreadable_limit;
use crate::traffic::server_connection::ConnectError;
use crate::traffic::server_connection::ServerConnection;

/// Counts towards the server's load until it is dropped, including when the caller disconnects.
pub(crate) struct InFlightRequest {
    state: Arc<SharedState>,
    ticket: SendTicket,
}

impl InFlightRequest {
    /// Takes ownership of the ticket that was issued when the server was chosen.
    pub(crate) fn new(state: Arc<SharedState>, ticket: SendTicket) -> InFlightRequest {
        InFlightRequest { state, ticket }
    }

    /// Records that the response head has arrived, with the load that the server reported in it.
    pub(crate) fn record_response_head(&mut self, load: Option<LoadReport>) {
        self.state.servers().record_response(&mut self.ticket, load, Instant::now());
        self.state.prompt_queue.wake();
    }

    /// Records the rate limit that a response named, or that it named none.
    pub(crate) fn record_limit(&self, server: &ServerEntry, named: NamedLimit) {
        let now = Instant::now();
        let change = self.state.servers().record_limit(&self.ticket, named, now);
        if named == NamedLimit::Unreadable {
            log_unreadable_limit(&self.state, server);
        }
        if let Some(change) = change {
            self.state.fleet_record_change.notify_one();
            log_named_limit(&self.state, server, change);
        }
    }

    /// Records the rejections at which the servers of this service fall over, as a response named them.
    pub(crate) fn record_brittle(&self, server: &ServerEntry, named: NamedLimit) {
        let now = Instant::now();
        let change = self.state.servers().record_brittle(&self.ticket, named, now);
        if named == NamedLimit::Unreadable {
            log_unreadable_limit(&self.state, server);
        }
        if let Some(change) = change {
            log_brittle(&self.state, server, change);
        }
    }

    /// Records that the request goes out on an open connection.
    pub(crate) fn record_sent(&mut self) {
        self.state.servers().record_sent(&mut self.ticket, Instant::now());
    }

    /// Records that the server has answered the request, which was sent at `sent` and names its incarnation.
    pub(crate) fn record_answer(&self, sent: Instant) {
        self.state.suspects().record_answer(self.ticket.server, sent);
    }

    /// Returns how to proceed while the server sends no response.
    pub(crate) fn next_probe_step(&self) -> ProbeStep {
        self.state.servers().next_probe_step(self.ticket.server, Instant::now())
    }

    pub(crate) async fn connect(
        &self,
        server: &ServerEntry,
    ) -> Result<ServerConnection, ConnectError> {
        ServerConnection::connect_to_server(&self.state, server).await
    }

    /// Records that a probe connection to the server failed.
    pub(crate) fn record_unreachable(&self) {
        self.state.servers().record_unreachable(self.ticket.server, Instant::now());
    }

    /// Returns whether a local network fault is suspected.
    pub(crate) fn suspects_local_fault(&self) -> bool {
        self.state.servers().suspects_local_fault(Instant::now())
    }

    /// Returns whether other hosts reach the server's service and this one does not.
    pub(crate) fn is_out_of_reach(&self, server: &ServerEntry) -> bool {
        self.state.servers().is_out_of_reach(&server.service, Instant::now())
    }

    /// Returns whether the server has failed or restarted, so that its requests in flight are lost.
    pub(crate) fn is_lost(&self, server: &ServerEntry) -> bool {
        self.state.servers().is_lost(server, Instant::now())
    }

    /// Records that the complete response arrived.
    pub(crate) fn record_success(&self) {
        self.state.servers().record_success(&self.ticket, Instant::now());
    }

    /// Records a stream's longest gap between events, as a share of the gap that its route allows.
    pub(crate) fn record_max_gap(&self, share: f64) {
        self.state.servers().record_stall(&self.ticket, share, Instant::now());
    }
}

impl Drop for InFlightRequest {
    fn drop(&mut self) {
        self.state.servers().record_end(&self.ticket);
        self.state.prompt_queue.wake();
    }
}
