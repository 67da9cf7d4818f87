//! Approximate request rates by prefix.

use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use fulmargate_names::PromptHash;

use crate::decaying_value::DecayingValue;

/// Associativity: slots that a prefix may occupy.
const WAYS: usize = 4;
/// A prefix with fewer recent requests may be replaced.
const MIN_COUNT: f64 = 0.5;
/// Added to the total, so that the first few requests do not each appear to be a large share.
const PRIOR_REQUESTS: f64 = 50.0;
/// Minimum weight of a new sample in the average of uncached tokens.
const MIN_UNCACHED_WEIGHT: f64 = 0.05;

/// A lock-free, fixed-size sketch of the most requested prefixes. Concurrent replacement of a slot
/// may lose a count, which is acceptable for an approximation.
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
    /// Requests per second.
    pub requests_per_s: f64,
    /// Average number of uncached tokens per request.
    pub uncached_tokens: f64,
}

impl DemandSketch {
    /// Creates an empty sketch. `slots` is rounded up to a power of two.
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
            // Decrement the least requested prefix instead of evicting it at once.
            coldest.requests.add(-MIN_COUNT, now_ms, self.window_ms);
            return;
        }
        coldest.prefix.store(prefix.0, Ordering::Relaxed);
        coldest.requests.set(1.0, now_ms);
        coldest.uncached.set(0.0, now_ms);
    }

    /// Updates the average number of uncached tokens.
    pub(crate) fn record_uncached(&self, prefix: PromptHash, tokens: f64, now_ms: u64) {
        if let Some(slot) = self.set(prefix).iter().find(|slot| slot.holds(prefix)) {
            slot.uncached.update_average(tokens, now_ms, self.window_ms, MIN_UNCACHED_WEIGHT);
        }
    }

    /// The prefix's share of all recent requests.
    pub(crate) fn share(&self, prefix: PromptHash, now_ms: u64) -> f64 {
        let total = self.total.value(now_ms, self.window_ms) + PRIOR_REQUESTS;
        self.count(prefix, now_ms) / total
    }

    /// Decayed number of recent requests for the prefix.
    pub(crate) fn count(&self, prefix: PromptHash, now_ms: u64) -> f64 {
        let slot = self.set(prefix).iter().find(|slot| slot.holds(prefix));
        slot.map_or(0.0, |slot| slot.requests.value(now_ms, self.window_ms))
    }

    /// Requests per second over all prefixes.
    pub(crate) fn requests_per_s(&self, now_ms: u64) -> f64 {
        self.total.value(now_ms, self.window_ms) * 1_000.0 / self.window_ms
    }

    /// The most requested prefixes, in descending order of rate.
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
