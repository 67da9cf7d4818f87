//! A plain call that waits for a server at its rate limit.

use std::sync::Arc;

use fulmargate_dispatch::CallFacts;
use fulmargate_dispatch::PlainTicket;
use fulmargate_names::ServiceName;

use crate::state::SharedState;

/// Keeps its position among the waiting calls until it is dropped, including when the caller disconnects.
pub(crate) struct QueuedCall {
    state: Arc<SharedState>,
    ticket: PlainTicket,
}

impl QueuedCall {
    pub(crate) fn new(
        state: Arc<SharedState>,
        service: &ServiceName,
        facts: &CallFacts,
    ) -> QueuedCall {
        let ticket = state.servers().enqueue_plain(service, facts);
        QueuedCall { state, ticket }
    }

    pub(crate) fn ticket(&self) -> &PlainTicket {
        &self.ticket
    }
}

impl Drop for QueuedCall {
    fn drop(&mut self) {
        self.state.servers().dequeue_plain(&self.ticket);
    }
}
