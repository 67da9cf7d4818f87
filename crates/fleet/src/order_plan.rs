//! Which orders to give now.

use std::time::Duration;
use std::time::Instant;

use fulmargate_names::ServerName;
use indexmap::IndexMap;

use crate::OrderWish;
use crate::ServerReport;
use crate::WantedServer;

/// Loads that run at once in a zone: more would share the weight store's rate and take more
/// engines out of use for longer.
const MOST_LOADS: usize = 2;

/// The times of orders.
#[derive(Clone, Copy, Debug)]
pub struct OrderPace {
    /// An order is void after this, and repeated only then.
    pub deadline: Duration,
    /// A report that is older says nothing of the present.
    pub fresh: Duration,
    /// A load that nothing is heard of is counted for this long.
    pub longest_load: Duration,
}

impl Default for OrderPace {
    fn default() -> OrderPace {
        OrderPace {
            deadline: Duration::from_secs(2),
            fresh: Duration::from_millis(1_500),
            longest_load: Duration::from_secs(30),
        }
    }
}

/// What an engine said last.
#[derive(Clone, Debug)]
pub struct SeenServer {
    /// Its report.
    pub report: ServerReport,
    /// The time that the report speaks of.
    pub as_of: Instant,
}

/// An order that may still take effect, or whose effect is not confirmed yet.
#[derive(Clone, Debug)]
struct OpenOrder {
    wish: OrderWish,
    given: Instant,
}

/// Which orders were given, and which are next.
#[derive(Clone, Debug)]
pub struct OrderPlan {
    pace: OrderPace,
    open: IndexMap<ServerName, OpenOrder>,
    /// When each engine last got an order.
    last: IndexMap<ServerName, Instant>,
}

impl OrderPlan {
    /// A plan under which no order was given yet.
    pub fn new(pace: OrderPace) -> OrderPlan {
        OrderPlan { pace, open: IndexMap::new(), last: IndexMap::new() }
    }

    /// Forgets what was given: the lease has gone to another.
    pub fn clear(&mut self) {
        self.open.clear();
    }

    /// The orders to give now; they count as given.
    pub fn next(
        &mut self,
        wanted: &[WantedServer],
        seen: &IndexMap<ServerName, SeenServer>,
        now: Instant,
    ) -> Vec<(ServerName, OrderWish)> {
        self.close_orders(seen, now);
        let is_busy = |server: &&WantedServer| self.is_busy(&server.server, seen, now);
        let busy = wanted.iter().filter(is_busy).count();
        let usable = wanted.iter().filter(|server| self.is_fresh(&server.server, seen, now));
        // One engine goes on serving wherever there are two: a zone of two must not be loaded whole.
        let most = MOST_LOADS.min(usable.count().saturating_sub(1).max(1));
        let mut orders: Vec<(ServerName, OrderWish)> = Vec::new();
        for server in self.by_turn(wanted) {
            let name = &server.server;
            if most <= busy + orders.len() {
                break;
            }
            if self.is_busy(name, seen, now) || !self.is_fresh(name, seen, now) {
                continue;
            }
            if let Some(wish) = server.missing(&seen[name].report) {
                orders.push((name.clone(), wish));
            }
        }
        for (server, wish) in &orders {
            self.open.insert(server.clone(), OpenOrder { wish: wish.clone(), given: now });
            self.last.insert(server.clone(), now);
        }
        orders
    }

    /// Those that waited longest come first: engines whose loads fail would else keep all others
    /// from their turn.
    fn by_turn<'a>(&self, wanted: &'a [WantedServer]) -> Vec<&'a WantedServer> {
        let mut servers: Vec<&WantedServer> = wanted.iter().collect();
        servers.sort_by_key(|server| self.last.get(&server.server).copied());
        servers
    }

    /// Whether the engine loads, or may yet begin to on account of an order.
    fn is_busy(
        &self,
        name: &ServerName,
        seen: &IndexMap<ServerName, SeenServer>,
        now: Instant,
    ) -> bool {
        let is_loading = seen.get(name).is_some_and(|seen| {
            let age = now.saturating_duration_since(seen.as_of);
            !seen.report.loading.is_empty() && age <= self.pace.longest_load
        });
        is_loading || self.open.contains_key(name)
    }

    /// Whether the engine serves and its report speaks of the present.
    fn is_fresh(
        &self,
        name: &ServerName,
        seen: &IndexMap<ServerName, SeenServer>,
        now: Instant,
    ) -> bool {
        seen.get(name).is_some_and(|seen| {
            let age = now.saturating_duration_since(seen.as_of);
            age <= self.pace.fresh && !seen.report.leaving
        })
    }

    /// An order is closed by a report that has what it asked for, or by one from after its deadline
    /// that shows no load: then it did not arrive, or the load failed, and may be repeated.
    fn close_orders(&mut self, seen: &IndexMap<ServerName, SeenServer>, now: Instant) {
        let pace = self.pace;
        self.open.retain(|name, order| {
            let void_at = order.given + pace.deadline;
            let Some(seen) = seen.get(name).filter(|seen| order.given < seen.as_of) else {
                return now < void_at + pace.longest_load;
            };
            if !seen.report.loading.is_empty() {
                return true;
            }
            let is_silent_for_long = void_at + pace.longest_load <= now;
            !is_done(&order.wish, &seen.report) && seen.as_of < void_at && !is_silent_for_long
        });
    }
}

fn is_done(wish: &OrderWish, report: &ServerReport) -> bool {
    match wish {
        OrderWish::LoadWeights { model, version } => report.weights.get(model) == Some(version),
        OrderWish::LoadAdapter { adapter, .. } => report.adapters.contains(adapter),
    }
}
