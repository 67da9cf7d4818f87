//! Order of plain calls that wait for a limited server.

use fulmargate_names::ServiceName;
use indexmap::IndexMap;

/// Plain calls that wait at this router, by service. Lower priority numbers go first, then earlier arrivals.
#[derive(Debug, Default)]
pub(crate) struct PlainQueue {
    /// Priority and number of each waiting call, in order.
    waiting: IndexMap<ServiceName, Vec<(u8, u64)>>,
    next: u64,
}

/// A waiting plain call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlainTicket {
    service: ServiceName,
    position: (u8, u64),
}

impl PlainQueue {
    pub(crate) fn push(&mut self, service: &ServiceName, priority: u8) -> PlainTicket {
        let position = (priority, self.next);
        self.next += 1;
        let waiting = self.waiting.entry(service.clone()).or_default();
        let index = waiting.partition_point(|other| *other < position);
        waiting.insert(index, position);
        PlainTicket { service: service.clone(), position }
    }

    pub(crate) fn remove(&mut self, ticket: &PlainTicket) {
        let Some(waiting) = self.waiting.get_mut(&ticket.service) else { return };
        waiting.retain(|position| *position != ticket.position);
        if waiting.is_empty() {
            self.waiting.swap_remove(&ticket.service);
        }
    }

    /// Number of calls before this one; without a ticket, before a new call of this priority.
    pub(crate) fn ahead(
        &self,
        service: &ServiceName,
        priority: u8,
        ticket: Option<&PlainTicket>,
    ) -> usize {
        let Some(waiting) = self.waiting.get(service) else { return 0 };
        let position = ticket.map_or((priority, self.next), |ticket| ticket.position);
        waiting.partition_point(|other| *other < position)
    }
}
