//! Division of the slots of a brittle service's servers among the routers.

use std::collections::VecDeque;
use std::time::Duration;

use fulmargate_names::HostName;
use tokio::time::Instant;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::ServerKey;

/// Divisions that count: a router that loses slots gives them up within one report delay, and its last use of them is
/// known to the others within another.
const COUNTED_DIVISIONS: usize = 3;
/// The division follows the demand once a router has this many times its equal part of it.
const SKEWED_PARTS: f64 = 2.0;
/// The same as a share of the demand, where there are two routers.
const MAX_EQUAL_SHARE: f64 = 0.75;
/// Slots of a server that the largest share must be worth. Single requests do not move what is worth less.
const MIN_SKEWED_SLOTS: f64 = 2.0;
/// Requests a second at all routers from which the division follows the demand.
const MIN_SKEWED_RATE: f64 = 1.0;
/// Smallest weight of a router, as a power of two of the mean: its first requests find a slot.
const MIN_WEIGHT_POWER: f64 = -3.0;

/// Keeps the offsets of servers apart from the order of the routers.
const OFFSET_SEED: u64 = 0x736c_6f74;

/// A router and its demand, in requests a second; `None` if it is not known.
pub(crate) type RouterDemand = (HostName, Option<f64>);

/// The routers and their weights at one time. Without weights the division is equal.
#[derive(Clone, Debug, Default, PartialEq)]
struct Division {
    routers: Vec<HostName>,
    weights: Option<Vec<f64>>,
}

/// A change between an equal division and one by demand.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct DivisionSwitch {
    pub(crate) is_by_demand: bool,
    /// Largest share of the demand that one router has.
    pub(crate) largest_share: f64,
}

/// How the slots of one service's servers are divided, by the demand of the last moments.
#[derive(Debug, Default)]
pub(crate) struct SlotShares {
    /// The newest is first.
    divisions: VecDeque<Division>,
    updated: Option<Instant>,
}

impl SlotShares {
    /// Whether the last division was a report delay ago, or among another number of routers.
    pub(crate) fn is_due(&self, routers: usize, report_delay: Duration, now: Instant) -> bool {
        !self.is_recent(report_delay, now) || !self.is_among(routers)
    }

    /// Whether the last division was among this number of routers.
    pub(crate) fn is_among(&self, routers: usize) -> bool {
        self.divisions.front().is_some_and(|last| last.routers.len() == routers)
    }

    fn is_recent(&self, report_delay: Duration, now: Instant) -> bool {
        let is_recent = |at: Instant| now.saturating_duration_since(at) < report_delay;
        self.updated.is_some_and(is_recent)
    }

    /// Divides anew. Returns whether the division is by demand from now on, if that changes.
    pub(crate) fn update(
        &mut self,
        demands: Vec<RouterDemand>,
        slots: u32,
        report_delay: Duration,
        now: Instant,
    ) -> Option<DivisionSwitch> {
        let largest_share = largest_share(&demands);
        let division = Division::new(demands, slots);
        let was_by_demand = self.divisions.front().is_some_and(Division::is_by_demand);
        let is_by_demand = division.is_by_demand();
        // Earlier divisions count for a report delay each.
        if self.is_recent(report_delay, now) {
            self.divisions.pop_front();
        } else {
            self.updated = Some(now);
        }
        self.divisions.push_front(division);
        self.divisions.truncate(COUNTED_DIVISIONS);
        (was_by_demand != is_by_demand).then_some(DivisionSwitch { is_by_demand, largest_share })
    }

    /// Slots of a server with this much room that the router may use.
    pub(crate) fn slots_of(&self, router: &HostName, server: ServerKey, room: u32) -> u32 {
        let slots = self.divisions.iter().map(|division| division.slots_of(router, server, room));
        slots.min().unwrap_or_default()
    }
}

impl Division {
    /// Equal while the demand of a router is not known: others may believe in equal parts.
    fn new(demands: Vec<RouterDemand>, slots: u32) -> Division {
        let known: Vec<f64> = demands.iter().filter_map(|(_, rate)| *rate).collect();
        let is_skewed = known.len() == demands.len() && is_skewed(&known, slots);
        let routers = demands.into_iter().map(|(router, _)| router).collect();
        Division { routers, weights: is_skewed.then(|| weights(&known)) }
    }

    fn is_by_demand(&self) -> bool {
        self.weights.is_some()
    }

    fn slots_of(&self, router: &HostName, server: ServerKey, room: u32) -> u32 {
        let order = |router: &HostName| xxh3_64_with_seed(router.as_str().as_bytes(), server.0);
        let own = order(router);
        let Some(weights) = &self.weights else {
            let position = self.routers.iter().filter(|router| order(router) < own).count() as u32;
            let routers = self.routers.len().max(1) as u32;
            return room / routers + u32::from(position < room % routers);
        };
        let (mut before, mut own_weight, mut total) = (0.0, 0.0, 0.0);
        for (other, weight) in self.routers.iter().zip(weights) {
            total += weight;
            match order(other) {
                _ if other == router => own_weight = *weight,
                other if other < own => before += weight,
                _ => {}
            }
        }
        // Slots whose number lies in the router's part of the circle: all parts together are the room.
        let offset = xxh3_64_with_seed(&server.0.to_le_bytes(), OFFSET_SEED);
        let offset = (offset >> 11) as f64 / (1_u64 << 53) as f64;
        let bound = |weight: f64| (f64::from(room) * weight / total + offset).floor();
        (bound(before + own_weight) - bound(before)) as u32
    }
}

/// Whether one router has far more than its equal part of the demand, and that is worth some slots.
fn is_skewed(rates: &[f64], slots: u32) -> bool {
    let total: f64 = rates.iter().sum();
    let largest = rates.iter().copied().fold(0.0, f64::max) / total;
    let equal_share = (SKEWED_PARTS / rates.len() as f64).min(MAX_EQUAL_SHARE);
    MIN_SKEWED_RATE <= total
        && equal_share <= largest
        && MIN_SKEWED_SLOTS <= largest * f64::from(slots)
}

fn weights(rates: &[f64]) -> Vec<f64> {
    let mean = rates.iter().sum::<f64>() / rates.len() as f64;
    let weight = |rate: &f64| (rate / mean).log2().round().max(MIN_WEIGHT_POWER).exp2();
    rates.iter().map(weight).collect()
}

fn largest_share(demands: &[RouterDemand]) -> f64 {
    let rates = || demands.iter().filter_map(|(_, rate)| *rate);
    let total: f64 = rates().sum();
    if 0.0 < total { rates().fold(0.0, f64::max) / total } else { 0.0 }
}
