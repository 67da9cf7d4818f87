//! Health of all servers.

use std::sync::Mutex;

use fulmargate_names::Incarnation;
use fulmargate_names::ServerName;
use indexmap::IndexMap;
use tokio::time::Instant;

use crate::HealthChange;
use crate::HealthConf;
use crate::HealthNews;
use crate::ServerResult;
use crate::ServerSpot;
use crate::ServerUse;
use crate::lock::lock;
use crate::server_health::HealthStep;
use crate::server_health::ServerHealth;

/// Maximum number of servers for which a leaving incarnation is remembered.
const MAX_LEAVING: usize = 4_096;

/// Health of all servers. A minimum share of each zone's servers of a pool is never ejected,
/// because a fault of the router or the network can make all servers appear to fail.
#[derive(Debug)]
pub struct HealthBook {
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
    spot: ServerSpot,
    health: ServerHealth,
}

impl HealthBook {
    /// Creates a registry without servers.
    pub fn new(conf: HealthConf) -> HealthBook {
        HealthBook { conf, state: Mutex::default() }
    }

    /// Replaces the configured servers, keeping the health of those that remain.
    pub fn set_servers(&self, spots: &[ServerSpot], now: Instant) -> Vec<HealthNews> {
        let mut state = lock(&self.state);
        let mut previous = std::mem::take(&mut state.servers);
        for spot in spots {
            let known_leaving = state.leaving.get(&spot.server).copied();
            let mut health = match previous.swap_remove(&spot.server) {
                Some(entry) => entry.health,
                None => ServerHealth::new(known_leaving, now),
            };
            health.drain = spot.drain;
            state.servers.insert(spot.server.clone(), HealthEntry { spot: spot.clone(), health });
        }
        let mut news = Vec::new();
        for spot in spots {
            state.enforce_floor(&self.conf, spot, &mut news);
        }
        news
    }

    /// Records the result of a request sent to this incarnation, if known. Failures of an earlier
    /// incarnation are ignored, so that they don't eject its successor.
    pub fn note(
        &self,
        server: &ServerName,
        incarnation: Option<Incarnation>,
        result: ServerResult,
        now: Instant,
    ) -> Vec<HealthNews> {
        let mut state = lock(&self.state);
        let mut news = Vec::new();
        let Some(entry) = state.servers.get_mut(server) else {
            return news;
        };
        if incarnation.is_some() && incarnation < entry.health.incarnation {
            return news;
        }
        match entry.health.note(result, &self.conf, now) {
            HealthStep::Nothing => {}
            HealthStep::Restored => news.push(news_of(server, HealthChange::Restored)),
            HealthStep::Eject => state.eject(&self.conf, server, now, &mut news),
        }
        news
    }

    /// Records that the server reported this incarnation.
    pub fn seen(
        &self,
        server: &ServerName,
        incarnation: Incarnation,
        now: Instant,
    ) -> Vec<HealthNews> {
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
        vec![news_of(server, HealthChange::Restarted)]
    }

    /// Marks an incarnation as leaving, as announced by discovery, the server, an operator or
    /// another router. Only a later incarnation is used again.
    pub fn leaving(&self, server: &ServerName, incarnation: Incarnation) -> Vec<HealthNews> {
        let mut state = lock(&self.state);
        state.mark_leaving(server, incarnation);
        let mut news = Vec::new();
        let Some(entry) = state.servers.get_mut(server) else {
            return news;
        };
        let was_leaving = entry.health.is_leaving();
        entry.health.leaving = entry.health.leaving.max(Some(incarnation));
        if was_leaving || !entry.health.is_leaving() {
            return news;
        }
        let spot = entry.spot.clone();
        news.push(news_of(server, HealthChange::Leaving));
        state.enforce_floor(&self.conf, &spot, &mut news);
        news
    }

    /// State of a server; `Drained` if it is not configured.
    pub fn in_use(&self, server: &ServerName, now: Instant) -> ServerUse {
        let state = lock(&self.state);
        let entry = state.servers.get(server);
        entry.map_or(ServerUse::Drained, |entry| entry.health.in_use(&self.conf, now))
    }

    /// States of all servers.
    pub fn all_in_use(&self, now: Instant) -> Vec<(ServerName, ServerUse)> {
        let state = lock(&self.state);
        let entries = state.servers.iter();
        entries.map(|(name, entry)| (name.clone(), entry.health.in_use(&self.conf, now))).collect()
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
    pub fn leaving_marks(&self) -> Vec<(ServerName, Incarnation)> {
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
        news: &mut Vec<HealthNews>,
    ) {
        let Some(entry) = self.servers.get(server) else {
            return;
        };
        let was_ejected = entry.health.is_ejected();
        let was_last_resort = entry.health.is_last_resort();
        let may_eject =
            was_ejected || self.ejected_count(&entry.spot) < self.max_ejected(conf, &entry.spot);
        let Some(entry) = self.servers.get_mut(server) else {
            return;
        };
        if may_eject {
            entry.health.eject(conf, now);
            if !was_ejected {
                news.push(news_of(server, HealthChange::Ejected));
            }
        } else {
            entry.health.keep_as_last_resort();
            if !was_last_resort {
                news.push(news_of(server, HealthChange::KeptByFloor));
            }
        }
    }

    /// Puts ejected servers back into use while too few are left, in the order in which their
    /// ejections end.
    fn enforce_floor(&mut self, conf: &HealthConf, spot: &ServerSpot, news: &mut Vec<HealthNews>) {
        while self.ejected_count(spot) > self.max_ejected(conf, spot) {
            let entries = self.servers.values_mut();
            let ejected = entries
                .filter(|entry| entry.is_available_in_same_pool(spot) && entry.health.is_ejected());
            let Some(entry) = ejected.min_by_key(|entry| entry.health.ejected_until()) else {
                return;
            };
            entry.health.keep_as_last_resort();
            news.push(news_of(&entry.spot.server, HealthChange::KeptByFloor));
        }
    }

    /// Number of ejected servers in the same zone and pool.
    fn ejected_count(&self, spot: &ServerSpot) -> usize {
        self.servers
            .values()
            .filter(|entry| entry.is_available_in_same_pool(spot) && entry.health.is_ejected())
            .count()
    }

    /// Maximum number of ejected servers in the same zone and pool.
    fn max_ejected(&self, conf: &HealthConf, spot: &ServerSpot) -> usize {
        let available =
            self.servers.values().filter(|entry| entry.is_available_in_same_pool(spot)).count();
        let min_in_use = (available as f64 * conf.floor).ceil() as usize;
        available.saturating_sub(min_in_use)
    }
}

impl HealthEntry {
    /// Whether it is available and in the same zone and pool.
    fn is_available_in_same_pool(&self, spot: &ServerSpot) -> bool {
        let same_pool = self.spot.zone == spot.zone && self.spot.pool == spot.pool;
        same_pool && self.health.is_available()
    }
}

fn news_of(server: &ServerName, change: HealthChange) -> HealthNews {
    HealthNews { server: server.clone(), change }
}
