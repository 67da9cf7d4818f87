//! The health of all servers.

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

/// Leaving incarnations of servers that are not in the configuration that are remembered.
const MOST_MARKS: usize = 4_096;

/// The health of all servers, with a floor: however many fail, a share of each zone's servers of a
/// pool stays in use, for a fault of the router or of the network can make all look dead.
#[derive(Debug)]
pub struct HealthBook {
    conf: HealthConf,
    state: Mutex<BookState>,
}

#[derive(Debug, Default)]
struct BookState {
    servers: IndexMap<ServerName, BookRow>,
    /// Incarnations that leave, also of servers that are not configured or not met yet: a server
    /// that is taken out and put back must not come back to life.
    marks: IndexMap<ServerName, Incarnation>,
}

#[derive(Debug)]
struct BookRow {
    spot: ServerSpot,
    health: ServerHealth,
}

impl HealthBook {
    /// No servers yet.
    pub fn new(conf: HealthConf) -> HealthBook {
        HealthBook { conf, state: Mutex::default() }
    }

    /// Takes over the servers of a configuration; what is known of those that stay is kept.
    pub fn set_servers(&self, spots: &[ServerSpot], now: Instant) -> Vec<HealthNews> {
        let mut state = lock(&self.state);
        let mut before = std::mem::take(&mut state.servers);
        for spot in spots {
            let mark = state.marks.get(&spot.server).copied();
            let mut health = match before.swap_remove(&spot.server) {
                Some(row) => row.health,
                None => ServerHealth::new(mark, now),
            };
            health.drain = spot.drain;
            state.servers.insert(spot.server.clone(), BookRow { spot: spot.clone(), health });
        }
        let mut news = Vec::new();
        for spot in spots {
            state.keep_floor(&self.conf, spot, &mut news);
        }
        news
    }

    /// Takes in a result. `incarnation` is the one that the request was sent to, if it is known:
    /// late failures of an earlier one must not eject its successor.
    pub fn note(
        &self,
        server: &ServerName,
        incarnation: Option<Incarnation>,
        result: ServerResult,
        now: Instant,
    ) -> Vec<HealthNews> {
        let mut state = lock(&self.state);
        let mut news = Vec::new();
        let Some(row) = state.servers.get_mut(server) else {
            return news;
        };
        if incarnation.is_some() && incarnation < row.health.incarnation {
            return news;
        }
        match row.health.note(result, &self.conf, now) {
            HealthStep::Nothing => {}
            HealthStep::Restored => news.push(told(server, HealthChange::Restored)),
            HealthStep::Eject => state.eject(&self.conf, server, now, &mut news),
        }
        news
    }

    /// The server was heard under this incarnation.
    pub fn seen(
        &self,
        server: &ServerName,
        incarnation: Incarnation,
        now: Instant,
    ) -> Vec<HealthNews> {
        let mut state = lock(&self.state);
        let Some(row) = state.servers.get_mut(server) else {
            return Vec::new();
        };
        let known = row.health.incarnation;
        if known.is_some_and(|known| incarnation <= known) {
            return Vec::new();
        }
        let was_closed = row.health.is_leaving() || row.health.is_out();
        row.health.restart(incarnation, now);
        let is_news = known.is_some() || was_closed;
        if !is_news || row.health.is_leaving() {
            return Vec::new();
        }
        vec![told(server, HealthChange::Restarted)]
    }

    /// Somebody says that this incarnation leaves: the list, the server, operators or a peer. It
    /// stays so until a later incarnation is seen.
    pub fn leaving(&self, server: &ServerName, incarnation: Incarnation) -> Vec<HealthNews> {
        let mut state = lock(&self.state);
        state.mark(server, incarnation);
        let mut news = Vec::new();
        let Some(row) = state.servers.get_mut(server) else {
            return news;
        };
        let was_leaving = row.health.is_leaving();
        row.health.leaving = row.health.leaving.max(Some(incarnation));
        if was_leaving || !row.health.is_leaving() {
            return news;
        }
        let spot = row.spot.clone();
        news.push(told(server, HealthChange::Leaving));
        state.keep_floor(&self.conf, &spot, &mut news);
        news
    }

    /// How far a server is in use; a server that is not configured is not.
    pub fn in_use(&self, server: &ServerName, now: Instant) -> ServerUse {
        let state = lock(&self.state);
        let row = state.servers.get(server);
        row.map_or(ServerUse::Drained, |row| row.health.in_use(&self.conf, now))
    }

    /// How far each server is in use.
    pub fn all_in_use(&self, now: Instant) -> Vec<(ServerName, ServerUse)> {
        let state = lock(&self.state);
        let rows = state.servers.iter();
        rows.map(|(name, row)| (name.clone(), row.health.in_use(&self.conf, now))).collect()
    }

    /// Servers that are due one trial request or probe each; it counts as taken.
    pub fn trial_due(&self, now: Instant) -> Vec<ServerName> {
        let mut state = lock(&self.state);
        let due = |row: &mut BookRow| {
            row.health.is_present().then(|| row.health.take_trial(&self.conf, now)).flatten()
        };
        let rows = state.servers.iter_mut();
        rows.filter_map(|(name, row)| due(row).map(|()| name.clone())).collect()
    }

    /// The incarnations that leave, for other routers.
    pub fn leaving_marks(&self) -> Vec<(ServerName, Incarnation)> {
        let state = lock(&self.state);
        state.marks.iter().map(|(name, incarnation)| (name.clone(), *incarnation)).collect()
    }
}

impl BookState {
    fn mark(&mut self, server: &ServerName, incarnation: Incarnation) {
        if self.marks.len() >= MOST_MARKS && !self.marks.contains_key(server) {
            self.marks.shift_remove_index(0);
        }
        let mark = self.marks.entry(server.clone()).or_insert(incarnation);
        *mark = incarnation.max(*mark);
    }

    fn eject(
        &mut self,
        conf: &HealthConf,
        server: &ServerName,
        now: Instant,
        news: &mut Vec<HealthNews>,
    ) {
        let Some(row) = self.servers.get(server) else {
            return;
        };
        let was_out = row.health.is_out();
        let was_kept = row.health.is_last_resort();
        let room = was_out || self.out(&row.spot) < self.most_out(conf, &row.spot);
        let Some(row) = self.servers.get_mut(server) else {
            return;
        };
        if room {
            row.health.eject(conf, now);
            if !was_out {
                news.push(told(server, HealthChange::Ejected));
            }
        } else {
            row.health.keep();
            if !was_kept {
                news.push(told(server, HealthChange::KeptByFloor));
            }
        }
    }

    /// Takes servers back into use while too few are left, the one due first.
    fn keep_floor(&mut self, conf: &HealthConf, spot: &ServerSpot, news: &mut Vec<HealthNews>) {
        while self.out(spot) > self.most_out(conf, spot) {
            let rows = self.servers.values_mut();
            let out = rows.filter(|row| row.is_beside(spot) && row.health.is_out());
            let Some(row) = out.min_by_key(|row| row.health.out_until()) else {
                return;
            };
            row.health.keep();
            news.push(told(&row.spot.server, HealthChange::KeptByFloor));
        }
    }

    /// Servers beside this one, itself included, that are out of use for their failures.
    fn out(&self, spot: &ServerSpot) -> usize {
        self.servers.values().filter(|row| row.is_beside(spot) && row.health.is_out()).count()
    }

    /// How many of them may be.
    fn most_out(&self, conf: &HealthConf, spot: &ServerSpot) -> usize {
        let present = self.servers.values().filter(|row| row.is_beside(spot)).count();
        let least = (present as f64 * conf.floor).ceil() as usize;
        present.saturating_sub(least)
    }
}

impl BookRow {
    /// Whether it could stand in for a server of this spot.
    fn is_beside(&self, spot: &ServerSpot) -> bool {
        let same = self.spot.zone == spot.zone && self.spot.pool == spot.pool;
        same && self.health.is_present()
    }
}

fn told(server: &ServerName, change: HealthChange) -> HealthNews {
    HealthNews { server: server.clone(), change }
}
