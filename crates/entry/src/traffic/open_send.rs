//! A request that is under way at a server.

use std::sync::Arc;

use fulmargate_dispatch::ContactStep;
use fulmargate_dispatch::LoadReport;
use fulmargate_dispatch::SendTicket;
use fulmargate_dispatch::ServerEntry;
use tokio::time::Instant;

use crate::state::SharedState;
use crate::traffic::channel::Channel;
use crate::traffic::channel::ConnectFault;

/// Counts at the server until it is dropped, also when its caller leaves.
pub(crate) struct OpenSend {
    state: Arc<SharedState>,
    ticket: SendTicket,
}

impl OpenSend {
    /// Takes over the book's ticket.
    pub(crate) fn new(state: Arc<SharedState>, ticket: SendTicket) -> OpenSend {
        OpenSend { state, ticket }
    }

    /// The first of the answer has come.
    pub(crate) fn answered(&mut self, load: Option<LoadReport>) {
        self.state.book().answered(&mut self.ticket, load, Instant::now());
        self.state.waiting.wake();
    }

    /// What to do about the server's silence.
    pub(crate) fn silent(&self) -> ContactStep {
        self.state.book().silent(self.ticket.server, Instant::now())
    }

    /// Connects to the server.
    pub(crate) async fn connect(&self, server: &ServerEntry) -> Result<Channel, ConnectFault> {
        Channel::to_server(&self.state, server).await
    }

    /// No connection was had that was to carry no request.
    pub(crate) fn unreachable(&self) {
        self.state.book().unreachable(self.ticket.server, Instant::now());
    }

    /// Whether the server's silence is most likely this host's own.
    pub(crate) fn doubts_itself(&self) -> bool {
        self.state.book().doubts_itself(Instant::now())
    }

    /// Whether the server is lost with what waits there.
    pub(crate) fn is_lost(&self, server: &ServerEntry) -> bool {
        self.state.book().is_lost(server, Instant::now())
    }

    /// The whole answer came and was good.
    pub(crate) fn succeeded(&self) {
        self.state.book().succeeded(&self.ticket, Instant::now());
    }

    /// A stream's longest pause, as a share of what its caller is content with.
    pub(crate) fn paused(&self, share: f64) {
        self.state.book().paused(&self.ticket, share, Instant::now());
    }
}

impl Drop for OpenSend {
    fn drop(&mut self) {
        self.state.book().left(&self.ticket);
        self.state.waiting.wake();
    }
}
