//! Health of all servers.

use std::sync::Mutex;

use fulmargate_names::Incarnation;
use fulmargate_names::ServerName;
use indexmap::IndexMap;
use tokio::time::Instant;

use crate::ConfiguredServer;
use crate::HealthChange;
use crate::HealthConf;
use crate::HealthEvent;
use crate::ServerAvailability;
use crate::ServerResult;
use crate::lock::lock;
use crate::server_health::HealthStep;
use crate::server_health::ServerHealth;

/// Maximum number of servers for which a leaving incarnation is remembered.
const MAX_LEAVING: usize = 4_096;

/// Health of all servers. A minimum share of each zone's servers of a pool is never ejected,
/// because a fault of the router or the network can make all servers appear to fail.
#[derive(Debug)]
pub struct HealthRegistry {
    conf: HealthConf,
    state: Mutex<HealthState>,
}

#[derive(Debug, Default)]
struct HealthState {
    servers: IndexMap<ServerName, HealthEntry>,
    /// Newest leaving incarnation of each server, configured or not, so that removing a server from
    /// the configuration and adding it again doesn't put a leaving incarnation back into use.
    leaving: IndexMap<ServerName, Incarnation>,
}

#[derive(Debug)]
struct HealthEntry {
    configured: ConfiguredServer,
    health: ServerHealth,
}

impl HealthRegistry {
    /// Creates a registry without servers.
    pub fn new(conf: HealthConf) -> HealthRegistry {
        HealthRegistry { conf, state: Mutex::default() }
    }

    /// Replaces the configured servers, keeping the health of those that remain.
    pub fn set_servers(
        &self,
        configured_servers: &[ConfiguredServer],
        now: Instant,
    ) -> Vec<HealthEvent> {
        let mut state = lock(&self.state);
        let mut previous = std::mem::take(&mut state.servers);
        for configured in configured_servers {
            let known_leaving = state.leaving.get(&configured.server).copied();
            let mut health = match previous.swap_remove(&configured.server) {
                Some(entry) => entry.health,
                None => ServerHealth::new(known_leaving, now),
            };
            health.drain = configured.drain;
            state.servers.insert(
                configured.server.clone(),
                HealthEntry { configured: configured.clone(), health },
            );
        }
        let mut events = Vec::new();
        for configured in configured_servers {
            state.enforce_floor(&self.conf, configured, &mut events);
        }
        events
    }

    /// Records the result of a request sent to this incarnation, if known. Failures of an earlier
    /// incarnation are ignored, so that they don't eject its successor.
    pub fn record_result(
        &self,
        server: &ServerName,
        incarnation: Option<Incarnation>,
        result: ServerResult,
        now: Instant,
    ) -> Vec<HealthEvent> {
        let mut state = lock(&self.state);
        let mut events = Vec::new();
        let Some(entry) = state.servers.get_mut(server) else {
            return events;
        };
        if incarnation.is_some() && incarnation < entry.health.incarnation {
            return events;
        }
        match entry.health.record_result(result, &self.conf, now) {
            HealthStep::Nothing => {}
            HealthStep::Restored => events.push(event_of(server, HealthChange::Restored)),
            HealthStep::Eject => state.eject(&self.conf, server, now, &mut events),
        }
        events
    }

    /// Records that the server reported this incarnation.
    pub fn incarnation_seen(
        &self,
        server: &ServerName,
        incarnation: Incarnation,
        now: Instant,
    ) -> Vec<HealthEvent> {
        let mut state = lock(&self.state);
        let Some(entry) = state.servers.get_mut(server) else {
            return Vec::new();
        };
        let previous_incarnation = entry.health.incarnation;
        if previous_incarnation.is_some_and(|previous| incarnation <= previous) {
            return Vec::new();
        }
        let was_unavailable = entry.health.is_leaving() || entry.health.is_ejected();
        entry.health.restart(incarnation, now);
        let is_change = previous_incarnation.is_some() || was_unavailable;
        if !is_change || entry.health.is_leaving() {
            return Vec::new();
        }
        vec![event_of(server, HealthChange::Restarted)]
    }

    /// Marks an incarnation as leaving, as announced by discovery, the server, an operator or
    /// another router. Only a later incarnation is used again.
    pub fn mark_leaving(&self, server: &ServerName, incarnation: Incarnation) -> Vec<HealthEvent> {
        let mut state = lock(&self.state);
        state.mark_leaving(server, incarnation);
        let mut events = Vec::new();
        let Some(entry) = state.servers.get_mut(server) else {
            return events;
        };
        let was_leaving = entry.health.is_leaving();
        entry.health.leaving = entry.health.leaving.max(Some(incarnation));
        if was_leaving || !entry.health.is_leaving() {
            return events;
        }
        let configured = entry.configured.clone();
        events.push(event_of(server, HealthChange::Leaving));
        state.enforce_floor(&self.conf, &configured, &mut events);
        events
    }

    /// State of a server; `Drained` if it is not configured.
    pub fn availability(&self, server: &ServerName, now: Instant) -> ServerAvailability {
        let state = lock(&self.state);
        let entry = state.servers.get(server);
        entry
            .map_or(ServerAvailability::Drained, |entry| entry.health.availability(&self.conf, now))
    }

    /// States of all servers.
    pub fn all_availability(&self, now: Instant) -> Vec<(ServerName, ServerAvailability)> {
        let state = lock(&self.state);
        let entries = state.servers.iter();
        entries
            .map(|(name, entry)| (name.clone(), entry.health.availability(&self.conf, now)))
            .collect()
    }

    /// Servers that are due for a trial request or probe. The caller must send one to each.
    pub fn trial_due(&self, now: Instant) -> Vec<ServerName> {
        let mut state = lock(&self.state);
        let take_trial_of = |entry: &mut HealthEntry| {
            entry.health.is_available().then(|| entry.health.take_trial(&self.conf, now)).flatten()
        };
        let entries = state.servers.iter_mut();
        entries.filter_map(|(name, entry)| take_trial_of(entry).map(|()| name.clone())).collect()
    }

    /// Leaving incarnations, to be sent to other routers.
    pub fn leaving_incarnations(&self) -> Vec<(ServerName, Incarnation)> {
        let state = lock(&self.state);
        state.leaving.iter().map(|(name, incarnation)| (name.clone(), *incarnation)).collect()
    }
}

impl HealthState {
    fn mark_leaving(&mut self, server: &ServerName, incarnation: Incarnation) {
        if self.leaving.len() >= MAX_LEAVING && !self.leaving.contains_key(server) {
            self.leaving.shift_remove_index(0);
        }
        let known_leaving = self.leaving.entry(server.clone()).or_insert(incarnation);
        *known_leaving = incarnation.max(*known_leaving);
    }

    fn eject(
        &mut self,
        conf: &HealthConf,
        server: &ServerName,
        now: Instant,
        events: &mut Vec<HealthEvent>,
    ) {
        let Some(entry) = self.servers.get(server) else {
            return;
        };
        let was_ejected = entry.health.is_ejected();
        let was_last_resort = entry.health.is_last_resort();
        let may_eject = was_ejected
            || self.ejected_count(&entry.configured) < self.max_ejected(conf, &entry.configured);
        let Some(entry) = self.servers.get_mut(server) else {
            return;
        };
        if may_eject {
            entry.health.eject(conf, now);
            if !was_ejected {
                events.push(event_of(server, HealthChange::Ejected));
            }
        } else {
            entry.health.keep_as_last_resort();
            if !was_last_resort {
                events.push(event_of(server, HealthChange::KeptByFloor));
            }
        }
    }

    /// Puts ejected servers back into use while too few are left, in the order in which their
    /// ejections end.
    fn enforce_floor(
        &mut self,
        conf: &HealthConf,
        configured: &ConfiguredServer,
        events: &mut Vec<HealthEvent>,
    ) {
        while self.ejected_count(configured) > self.max_ejected(conf, configured) {
            let entries = self.servers.values_mut();
            let ejected = entries.filter(|entry| {
                entry.is_available_in_same_pool(configured) && entry.health.is_ejected()
            });
            let Some(entry) = ejected.min_by_key(|entry| entry.health.ejected_until()) else {
                return;
            };
            entry.health.keep_as_last_resort();
            events.push(event_of(&entry.configured.server, HealthChange::KeptByFloor));
        }
    }

    /// Number of ejected servers in the same zone and pool.
    fn ejected_count(&self, configured: &ConfiguredServer) -> usize {
        self.servers
            .values()
            .filter(|entry| {
                entry.is_available_in_same_pool(configured) && entry.health.is_ejected()
            })
            .count()
    }

    /// Maximum number of ejected servers in the same zone and pool.
    fn max_ejected(&self, conf: &HealthConf, configured: &ConfiguredServer) -> usize {
        let available = self
            .servers
            .values()
            .filter(|entry| entry.is_available_in_same_pool(configured))
            .count();
        let min_in_use = (available as f64 * conf.min_in_use_share).ceil() as usize;
        available.saturating_sub(min_in_use)
    }
}

impl HealthEntry {
    /// Whether it is available and in the same zone and pool.
    fn is_available_in_same_pool(&self, configured: &ConfiguredServer) -> bool {
        let same_pool =
            self.configured.zone == configured.zone && self.configured.pool == configured.pool;
        same_pool && self.health.is_available()
    }
}

fn event_of(server: &ServerName, change: HealthChange) -> HealthEvent {
    HealthEvent { server: server.clone(), change }
}
