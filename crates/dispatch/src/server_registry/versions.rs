//! Software versions of servers.

use fulmargate_names::HostName;
use fulmargate_names::ServiceName;
use fulmargate_names::SoftwareVersion;
use tokio::time::Instant;

use crate::BootTime;
use crate::CallFacts;
use crate::OwnerCandidate;
use crate::ServerKey;
use crate::ServerRegistry;
use crate::ServerState;
use crate::StreamOrigin;
use crate::VersionTracker;

impl ServerRegistry {
    /// Sets from when on streams may begin at each server.
    pub fn apply_versions(&mut self, tracker: &VersionTracker, now: BootTime) {
        for state in self.servers.values_mut() {
            state.streams_from = tracker.waits_until(state.origin(), now);
        }
    }

    /// Servers of a service that the software version excludes for a call.
    pub fn excluded_by_version(
        &self,
        service: &ServiceName,
        call: &CallFacts,
        begun_at: Option<StreamOrigin>,
        now: BootTime,
    ) -> Vec<ServerKey> {
        let excluded =
            self.servers_of(service).filter(|state| !state.may_stream(call, begun_at, now));
        excluded.map(ServerState::key).collect()
    }

    /// Whether a server of this origin is listed.
    pub fn has_origin(&self, origin: StreamOrigin) -> bool {
        self.servers.values().any(|state| state.origin() == origin)
    }

    /// The software version of an origin, if a server of it is listed that states one.
    pub fn version_of(&self, origin: StreamOrigin) -> Option<SoftwareVersion> {
        let state = self.servers.values().find(|state| state.origin() == origin)?;
        state.entry.version.clone()
    }

    /// Live hosts that keep records of streams.
    pub fn binding_hosts(&self, now: Instant) -> Vec<OwnerCandidate> {
        self.peers.binding_hosts(now).collect()
    }

    /// Whether a live host does not bind streams to their origin.
    pub fn has_unbinding_peers(&self, now: Instant) -> bool {
        self.peers.hosts(now).count() != self.peers.binding_hosts(now).count()
    }

    /// Whether a host keeps records of streams and goes on with those that another host has bound.
    pub fn binds_streams(&self, host: &HostName, now: Instant) -> bool {
        self.peers.binding_hosts(now).any(|candidate| candidate.host == *host)
    }
}
