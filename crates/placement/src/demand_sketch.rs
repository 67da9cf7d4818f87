//! How much is asked for which prefix, approximately.

use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use fulmargate_names::PromptHash;

use crate::decaying_value::DecayingValue;

/// Slots in which a prefix may stand.
const WAYS: usize = 4;
/// Below this many recent requests a prefix gives way to another.
const MIN_COUNT: f64 = 0.5;
/// Requests that are pretended to have been seen at first, so that the first few ones do not each
/// look like a large share of all.
const PRIOR_REQUESTS: f64 = 50.0;
const MIN_UNCACHED_WEIGHT: f64 = 0.05;

/// Recent requests for each of the most wanted prefixes, without locks and of fixed size. When
/// two threads take the same slot at once one count is lost, and is made up for by the next ones.
#[derive(Debug)]
pub(crate) struct DemandSketch {
    slots: Vec<DemandSlot>,
    total: DecayingValue,
    window_ms: f64,
}

#[derive(Debug, Default)]
struct DemandSlot {
    prefix: AtomicU64,
    requests: DecayingValue,
    uncached: DecayingValue,
}

/// Recent demand for one prefix.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PrefixDemand {
    /// The prefix.
    pub prefix: PromptHash,
    /// Requests in a second.
    pub requests_per_s: f64,
    /// Uncached tokens of a request on average.
    pub uncached_tokens: f64,
}

impl DemandSketch {
    /// An empty sketch; the number of slots is a power of two.
    pub(crate) fn new(slots: usize, window_ms: f64) -> DemandSketch {
        let slots = (0..slots.next_power_of_two()).map(|_| DemandSlot::default()).collect();
        DemandSketch { slots, total: DecayingValue::default(), window_ms }
    }

    /// Counts a request.
    pub(crate) fn record_request(&self, prefix: PromptHash, now_ms: u64) {
        self.total.add(1.0, now_ms, self.window_ms);
        let set = self.set(prefix);
        if let Some(slot) = set.iter().find(|slot| slot.holds(prefix)) {
            slot.requests.add(1.0, now_ms, self.window_ms);
            return;
        }
        let count = |slot: &DemandSlot| slot.requests.value(now_ms, self.window_ms);
        let Some(coldest) = set.iter().min_by(|a, b| count(a).total_cmp(&count(b))) else { return };
        if MIN_COUNT < count(coldest) {
            // Newcomers wear the least wanted prefix down instead of pushing it out at once.
            coldest.requests.add(-MIN_COUNT, now_ms, self.window_ms);
            return;
        }
        coldest.prefix.store(prefix.0, Ordering::Relaxed);
        coldest.requests.set(1.0, now_ms);
        coldest.uncached.set(0.0, now_ms);
    }

    /// Notes how many tokens of a request were not cached.
    pub(crate) fn record_uncached(&self, prefix: PromptHash, tokens: f64, now_ms: u64) {
        if let Some(slot) = self.set(prefix).iter().find(|slot| slot.holds(prefix)) {
            slot.uncached.update_average(tokens, now_ms, self.window_ms, MIN_UNCACHED_WEIGHT);
        }
    }

    /// The prefix's share of all requests.
    pub(crate) fn share(&self, prefix: PromptHash, now_ms: u64) -> f64 {
        let total = self.total.value(now_ms, self.window_ms) + PRIOR_REQUESTS;
        self.count(prefix, now_ms) / total
    }

    /// Recent requests for the prefix.
    pub(crate) fn count(&self, prefix: PromptHash, now_ms: u64) -> f64 {
        let slot = self.set(prefix).iter().find(|slot| slot.holds(prefix));
        slot.map_or(0.0, |slot| slot.requests.value(now_ms, self.window_ms))
    }

    /// Requests in a second for all prefixes.
    pub(crate) fn requests_per_s(&self, now_ms: u64) -> f64 {
        self.total.value(now_ms, self.window_ms) * 1_000.0 / self.window_ms
    }

    /// The most wanted prefixes, most wanted first.
    pub(crate) fn top(&self, limit: usize, now_ms: u64) -> Vec<PrefixDemand> {
        let mut demands: Vec<PrefixDemand> = self
            .slots
            .iter()
            .filter(|slot| slot.prefix.load(Ordering::Relaxed) != 0)
            .map(|slot| slot.demand(now_ms, self.window_ms))
            .filter(|demand| MIN_COUNT * 1_000.0 / self.window_ms < demand.requests_per_s)
            .collect();
        demands.sort_by(|a, b| {
            b.requests_per_s.total_cmp(&a.requests_per_s).then(a.prefix.cmp(&b.prefix))
        });
        demands.truncate(limit);
        demands
    }

    fn set(&self, prefix: PromptHash) -> &[DemandSlot] {
        let sets = self.slots.len() / WAYS;
        let set = (prefix.0 as usize) & (sets - 1);
        &self.slots[set * WAYS..(set + 1) * WAYS]
    }
}

impl DemandSlot {
    fn holds(&self, prefix: PromptHash) -> bool {
        self.prefix.load(Ordering::Relaxed) == prefix.0
    }

    fn demand(&self, now_ms: u64, window_ms: f64) -> PrefixDemand {
        PrefixDemand {
            prefix: PromptHash(self.prefix.load(Ordering::Relaxed)),
            requests_per_s: self.requests.value(now_ms, window_ms) * 1_000.0 / window_ms,
            uncached_tokens: self.uncached.value(now_ms, f64::INFINITY),
        }
    }
}
