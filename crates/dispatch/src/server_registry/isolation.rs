//! Servers for requests that are kept apart.

use fulmargate_names::ServiceName;
use tokio::time::Instant;

use crate::ServerKey;
use crate::ServerRegistry;
use crate::ServerState;
use crate::server_state::LimitHeadroom;

impl ServerRegistry {
    /// Servers of the service that may take a request, the least loaded first; those that are not open only if no other
    /// is left.
    pub fn run_candidates(
        &self,
        service: &ServiceName,
        excluded: &[ServerKey],
        now: Instant,
    ) -> Vec<ServerKey> {
        let listed: Vec<&ServerState> =
            self.servers_of(service).filter(|state| !excluded.contains(&state.key())).collect();
        let mut open: Vec<&ServerState> =
            listed.iter().copied().filter(|state| state.accepts_request(now)).collect();
        if open.is_empty() {
            open = listed;
        }
        let load = |state: &ServerState| {
            let requests = state.open + self.peers.total(state.key()).open;
            let is_exhausted = state.headroom == LimitHeadroom::Exhausted;
            (is_exhausted, u64::from(requests) * 1_000 / u64::from(state.entry.slots.max(1)))
        };
        open.sort_by_cached_key(|state| (load(state), state.key().0));
        open.into_iter().map(ServerState::key).collect()
    }

    /// All other servers of the service.
    pub fn others_of_service(&self, service: &ServiceName, server: ServerKey) -> Vec<ServerKey> {
        let others = self.servers_of(service).map(ServerState::key);
        others.filter(|other| *other != server).collect()
    }
}
