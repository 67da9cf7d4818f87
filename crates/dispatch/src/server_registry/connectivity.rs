//! Reachability of servers, and suspected local network faults.

use tokio::time::Instant;

use crate::ConnectOutcome;
use crate::ProbeStep;
use crate::ServerEntry;
use crate::ServerKey;
use crate::ServerRegistry;
use crate::SuspicionChange;

impl ServerRegistry {
    /// Records the outcome of a connection attempt.
    pub fn record_connect(&mut self, server: ServerKey, outcome: ConnectOutcome, now: Instant) {
        self.local_fault_detector.record(server, outcome, now);
        self.record_reach(server, outcome, now);
        if outcome == ConnectOutcome::Reached {
            self.record_reachable(server, now);
        }
    }

    fn record_reach(&mut self, server: ServerKey, outcome: ConnectOutcome, now: Instant) {
        let Some(state) = self.servers.get(&server) else { return };
        let service = state.entry.service.clone();
        let listed = self.servers_of(&service).count();
        self.reach.record(&service, server, outcome, listed, now);
        if outcome != ConnectOutcome::Reached && self.reach.is_partly_reached(&service, now) {
            self.state_mut(server).into_iter().for_each(|state| state.leave_to_prober(now));
        }
    }

    /// Whether a local network fault is suspected. Connection timeouts are then not counted against servers.
    pub fn suspects_local_fault(&self, now: Instant) -> bool {
        self.local_fault_detector.is_suspected(now)
    }

    /// Returns the start or end of a suspected local network fault once, if there was one since the last call.
    pub fn take_suspicion_change(&mut self, now: Instant) -> Option<SuspicionChange> {
        self.local_fault_detector.take_change(now)
    }

    /// When the suspected local network fault expires if no further connection is attempted.
    pub fn suspicion_end(&self, now: Instant) -> Option<Instant> {
        self.local_fault_detector.suspicion_end(now)
    }

    /// Records that no connection to the server could be opened for a request. If the latest recorded attempt
    /// timed out, this counts as a timeout, or as a brief backoff only while a local network fault is suspected.
    /// In all other cases, including no recent attempt, it counts as a refusal.
    pub fn record_unreachable(&mut self, server: ServerKey, now: Instant) {
        let outcome = self.local_fault_detector.latest_outcome(server, now);
        let is_local_fault = outcome == Some(ConnectOutcome::TimedOut)
            && self.local_fault_detector.is_suspected(now);
        let Some(state) = self.state_mut(server) else { return };
        match outcome {
            _ if is_local_fault => state.back_off_briefly(now),
            Some(ConnectOutcome::TimedOut) => {
                state.connection_failed(ConnectOutcome::TimedOut, now);
            }
            _ => state.connection_failed(ConnectOutcome::Refused, now),
        }
    }

    /// Returns what a request should do whose server has not sent anything for a while.
    pub fn next_probe_step(&mut self, server: ServerKey, now: Instant) -> ProbeStep {
        let local_fault_end = self.local_fault_detector.suspected_until(now);
        self.state_mut(server)
            .map_or(ProbeStep::Probe, |state| state.probe.next_step(local_fault_end, now))
    }

    /// Records a successful connection that carries no request.
    pub fn record_reachable(&mut self, server: ServerKey, now: Instant) {
        if let Some(state) = self.state_mut(server) {
            state.probe.record_reached(now);
        }
    }

    /// Whether the server and all requests in flight there are lost: it has been unreachable for a while, or
    /// has restarted. This host's failures say nothing of a server while only other hosts reach its service.
    pub fn is_lost(&self, entry: &ServerEntry, now: Instant) -> bool {
        match self.state(entry.key()) {
            Some(_) if self.is_out_of_reach(&entry.service, now) => false,
            Some(state) => state.probe.is_lost(self.local_fault_detector.suspected_until(now), now),
            None => self.servers.values().any(|state| {
                state.entry.name == entry.name && entry.incarnation < state.entry.incarnation
            }),
        }
    }
}
