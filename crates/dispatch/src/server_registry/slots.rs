//! Division of the slots of brittle servers among the routers.

use fulmargate_names::ServiceName;
use indexmap::IndexMap;
use tokio::time::Instant;

use crate::ServerRegistry;
use crate::ServerState;
use crate::server_registry::brittle::GOSSIP_TRANSIT;
use crate::server_registry::brittle::service_risk_key;
use crate::slot_shares::DivisionSwitch;
use crate::slot_shares::RouterDemand;

/// A change between an equal division of a service's slots and one by demand.
#[derive(Clone, Debug, PartialEq)]
pub struct DivisionChange {
    /// The service.
    pub service: ServiceName,
    /// Whether it is by demand from now on.
    pub is_by_demand: bool,
    /// Largest share of the demand that one router has.
    pub largest_share: f64,
    /// This router's demand, in requests a second.
    pub own_rate: f64,
    /// Routers that share the slots.
    pub routers: usize,
}

impl ServerRegistry {
    /// Records a request that arrived at this router for a service.
    pub fn record_demand(&mut self, service: &ServiceName, now: Instant) {
        if let Some(limits) = &mut self.limits {
            limits.record_demand(service_risk_key(service), now);
        }
    }

    /// Changes of divisions since the last call.
    pub fn take_division_changes(&mut self) -> Vec<DivisionChange> {
        std::mem::take(&mut self.division_changes)
    }

    /// Divides the slots of brittle services' servers anew where that is due.
    pub(super) fn refresh_slot_shares(&mut self, now: Instant) {
        let services = self.brittle_services();
        self.slot_shares.retain(|service, _| services.contains_key(service));
        let report_delay = self.current_gossip_interval(now) + GOSSIP_TRANSIT;
        let routers = self.peers.hosts(now).count() + 1;
        for (service, slots) in services {
            let mut shares = self.slot_shares.swap_remove(&service).unwrap_or_default();
            if shares.is_due(routers, report_delay, now) {
                let demands = self.demands(&service, now);
                if let Some(switch) = shares.update(demands, slots, report_delay, now) {
                    let change = self.division_change(service.clone(), switch, now);
                    self.division_changes.push(change);
                }
            }
            self.slot_shares.insert(service, shares);
        }
    }

    /// Whether slots are divided among another number of routers than there are.
    pub(super) fn lacks_routers(&self, now: Instant) -> bool {
        if self.slot_shares.is_empty() {
            return false;
        }
        let routers = self.peers.hosts(now).count() + 1;
        self.slot_shares.values().any(|shares| !shares.is_among(routers))
    }

    fn division_change(
        &mut self,
        service: ServiceName,
        switch: DivisionSwitch,
        now: Instant,
    ) -> DivisionChange {
        let key = service_risk_key(&service);
        DivisionChange {
            service,
            is_by_demand: switch.is_by_demand,
            largest_share: switch.largest_share,
            own_rate: self.limits.as_mut().map_or(0.0, |limits| limits.own_demand(key, now)),
            routers: self.peers.hosts(now).count() + 1,
        }
    }

    /// Number of the server's slots that this router may use.
    pub(super) fn own_slots(&self, state: &ServerState, now: Instant) -> u32 {
        let Some(limits) = &self.limits else { return u32::MAX };
        let room = state.room(now) as u32;
        let shares = self.slot_shares.get(&state.entry.service);
        shares.map_or(0, |shares| shares.slots_of(limits.own(), state.key(), room))
    }

    /// Brittle services with the slots of one of their servers, the largest number.
    fn brittle_services(&self) -> IndexMap<ServiceName, u32> {
        let mut services = IndexMap::new();
        if self.limits.as_ref().is_none_or(|limits| limits.servers().is_empty()) {
            return services;
        }
        let states = self.servers.values();
        for state in states.filter(|state| self.brittle_rate(&state.entry.service).is_some()) {
            let slots = services.entry(state.entry.service.clone()).or_insert(0);
            *slots = state.entry.slots.max(*slots);
        }
        services
    }

    /// Demand of all live routers for a service.
    fn demands(&mut self, service: &ServiceName, now: Instant) -> Vec<RouterDemand> {
        let Some(limits) = &mut self.limits else { return Vec::new() };
        let key = service_risk_key(service);
        let peers = self.peers.hosts(now);
        let mut demands: Vec<RouterDemand> =
            peers.map(|host| (host.clone(), limits.demand_of(host, key, now))).collect();
        let own_demand = limits.own_demand(key, now);
        demands.push((limits.own().clone(), Some(own_demand)));
        demands
    }
}
