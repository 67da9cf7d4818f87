//! Reach of services from this host, and hosts that reach them.

use std::sync::Arc;
use std::time::Duration;

use fulmargate_names::HostName;
use fulmargate_names::ServiceName;
use fulmargate_names::ZoneName;
use tokio::time::Instant;

use crate::ChosenHelper;
use crate::ReachChange;
use crate::ReachReport;
use crate::ServerEntry;
use crate::ServerKey;
use crate::ServerRegistry;
use crate::ServerState;
use crate::helper_choice::choose_helper;
use crate::helper_choice::service_key;

impl ServerRegistry {
    /// Starts and ends of services' being out of reach since the last call.
    pub fn take_reach_changes(&mut self) -> Vec<ReachChange> {
        self.reach.take_changes()
    }

    /// Whether no server of the service can be reached from this host.
    pub fn is_unreached(&self, service: &ServiceName) -> bool {
        self.reach.is_unreached(service)
    }

    /// How long the service has been out of this host's reach; `None` if it is not.
    pub fn unreached_for(&self, service: &ServiceName, now: Instant) -> Option<Duration> {
        self.reach.unreached_for(service, now)
    }

    /// Whether a server of the service was reached since this time.
    pub fn was_reached_since(&self, service: &ServiceName, since: Instant) -> bool {
        self.reach.was_reached_since(service, since)
    }

    /// Age of the latest connection attempt to a server of the service; `None` if all that is known succeeded.
    pub fn reach_age(&self, service: &ServiceName, now: Instant) -> Option<Duration> {
        self.reach.evidence_age(service, now)
    }

    /// Share of the requests for a service that this host should send itself.
    pub fn local_share(&self, service: &ServiceName, now: Instant) -> f64 {
        if !self.reach.is_tracked(service) {
            return 1.0;
        }
        let hosts = self.peers.hosts(now).count() + 1;
        self.reach.local_share(service, self.servers_of(service).count(), hosts, now)
    }

    /// Which services this host reaches, for the next gossip message.
    pub fn reach_report(&self, takes_requests: bool) -> ReachReport {
        let unreached = self.reach.unreached().map(|service| service_key(service.as_str()));
        ReachReport { unreached: unreached.collect(), takes_requests }
    }

    /// Chooses a host that reaches the service, for a request with this random number.
    pub fn choose_helper(
        &self,
        service: &ServiceName,
        own_zone: &ZoneName,
        excluded: &[HostName],
        draw: u64,
        now: Instant,
    ) -> Option<ChosenHelper> {
        let candidates = self.peers.helper_candidates(service_key(service.as_str()), excluded, now);
        choose_helper(&candidates, own_zone, draw)
    }

    /// Number of other hosts that reach the service, by their latest reports.
    pub fn helper_count(&self, service: &ServiceName, now: Instant) -> usize {
        let candidates = self.peers.helper_candidates(service_key(service.as_str()), &[], now);
        candidates.iter().filter(|candidate| candidate.reaches_service).count()
    }

    /// Whether other hosts reach the service and this one does not.
    pub fn is_out_of_reach(&self, service: &ServiceName, now: Instant) -> bool {
        self.is_unreached(service) && self.is_reached_by_others(service, now)
    }

    /// Whether another host reaches the service, by its latest report.
    pub fn is_reached_by_others(&self, service: &ServiceName, now: Instant) -> bool {
        0 < self.helper_count(service, now)
    }

    /// Live hosts that reach the service of a server.
    pub fn peers_reaching(&self, service: &ServiceName, now: Instant) -> Vec<HostName> {
        self.peers.hosts_reaching(service_key(service.as_str()), now).cloned().collect()
    }

    /// Number of live hosts that have not reached the service since before then.
    pub fn peers_cut_before(&self, service: &ServiceName, before: Instant, now: Instant) -> usize {
        self.peers.hosts_unreached_before(service_key(service.as_str()), before, now)
    }

    /// Whether servers have to be probed.
    pub fn needs_probes(&self, now: Instant) -> bool {
        self.reach.needs_probes(now)
    }

    /// The servers to which a connection has to be tried now.
    pub fn next_probes(&mut self, now: Instant) -> Vec<Arc<ServerEntry>> {
        let services: Vec<ServiceName> = self.reach.tracked().cloned().collect();
        let mut entries = Vec::new();
        for service in services {
            let listed: Vec<ServerKey> = self.servers_of(&service).map(ServerState::key).collect();
            let probed = self.reach.next_probes(&service, &listed, now);
            entries
                .extend(probed.iter().filter_map(|key| Some(self.servers.get(key)?.entry.clone())));
        }
        entries
    }

    /// Other servers of the same service, to distinguish the failure of one from that of this host's network.
    pub fn control_servers(&self, server: &ServerEntry, count: usize) -> Vec<Arc<ServerEntry>> {
        let others = self.servers_of(&server.service).filter(|state| state.key() != server.key());
        others.take(count).map(|state| state.entry.clone()).collect()
    }

    /// Whether all known routers are in touch.
    pub fn is_fleet_whole(&mut self, now: Instant) -> bool {
        self.limits.as_mut().is_some_and(|limits| limits.reaches_all_routers(now))
    }

    /// Ends the backoff of a server that a probe has reached.
    pub fn record_probe_reached(&mut self, server: ServerKey) {
        if let Some(state) = self.state_mut(server) {
            state.end_backoff();
        }
    }

    pub(super) fn servers_of(&self, service: &ServiceName) -> impl Iterator<Item = &ServerState> {
        self.servers.values().filter(move |state| state.entry.service == *service)
    }
}
