//! Reachability of servers, and detection of network faults on the host itself.

use tokio::time::Instant;

use crate::ConnectOutcome;
use crate::ProbeStep;
use crate::ServerEntry;
use crate::ServerKey;
use crate::ServerRegistry;
use crate::SuspicionChange;

impl ServerRegistry {
    /// Records the outcome of a connection attempt.
    pub fn tried(&mut self, server: ServerKey, outcome: ConnectOutcome, now: Instant) {
        self.connectivity.note(server, outcome, now);
        if outcome == ConnectOutcome::Reached {
            self.reached(server, now);
        }
    }

    /// Whether a network fault on this host is suspected. Connection timeouts then say nothing about servers.
    pub fn doubts_itself(&self, now: Instant) -> bool {
        self.connectivity.doubts(now)
    }

    /// Returns the start or end of a suspected local fault once, if there was one since the last call.
    pub fn reach_news(&mut self, now: Instant) -> Option<SuspicionChange> {
        self.connectivity.news(now)
    }

    /// When the suspected local fault expires if no further connection is attempted.
    pub fn doubt_end(&self, now: Instant) -> Option<Instant> {
        self.connectivity.doubt_end(now)
    }

    /// Records that no connection to the server could be made. Unless the last recorded attempt timed out, the
    /// failure counts as a refusal.
    pub fn unreachable(&mut self, server: ServerKey, now: Instant) {
        let outcome = self.connectivity.newest(server, now);
        let is_local_fault =
            outcome == Some(ConnectOutcome::Silent) && self.connectivity.doubts(now);
        let Some(state) = self.state_mut(server) else { return };
        match outcome {
            _ if is_local_fault => state.back_off_briefly(now),
            Some(ConnectOutcome::Silent) => state.connection_failed(ConnectOutcome::Silent, now),
            _ => state.connection_failed(ConnectOutcome::Refused, now),
        }
    }

    /// Returns what a request should do whose server has not sent anything for a while.
    pub fn silent(&mut self, server: ServerKey, now: Instant) -> ProbeStep {
        let local_fault_end = self.connectivity.doubted_until(now);
        self.state_mut(server)
            .map_or(ProbeStep::Ask, |state| state.contact.next_step(local_fault_end, now))
    }

    /// Records a successful connection that carries no request.
    pub fn reached(&mut self, server: ServerKey, now: Instant) {
        if let Some(state) = self.state_mut(server) {
            state.contact.reached(now);
        }
    }

    /// Whether the server and all requests in flight there are lost: it has been unreachable for a while, or
    /// has restarted.
    pub fn is_lost(&self, entry: &ServerEntry, now: Instant) -> bool {
        match self.state(entry.key()) {
            Some(state) => state.contact.is_lost(self.connectivity.doubted_until(now), now),
            None => self.servers.values().any(|state| {
                state.entry.name == entry.name && entry.incarnation < state.entry.incarnation
            }),
        }
    }
}
