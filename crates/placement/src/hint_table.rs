//! Hints about which servers have a prefix cached.

use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use fulmargate_names::PromptHash;

use crate::ServerId;

/// Associativity: hints kept for all prefixes of one set.
const WAYS: usize = 8;
const TAG_BITS: u32 = 20;
const ID_BITS: u32 = 20;
const TIME_BITS: u32 = 24;
const ID_MASK: u64 = (1 << ID_BITS) - 1;
const TIME_MASK: u64 = (1 << TIME_BITS) - 1;
/// Times are stored in units of 16 ms and wrap after three days.
const TIME_SHIFT: u32 = 4;

/// A lock-free, fixed-size table of cache hints, one integer each. Hints may be outdated. Each refers
/// to one incarnation of a server, so hints about an earlier incarnation never match a restarted
/// server.
#[derive(Debug)]
pub(crate) struct HintTable {
    slots: Vec<AtomicU64>,
}

/// A hint that a server has a prefix cached.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct CacheHint {
    pub(crate) server: ServerId,
    /// Time since the last use known to this router.
    pub(crate) age_ms: u64,
}

impl HintTable {
    /// Creates an empty table. `slots` is rounded up to a power of two.
    pub(crate) fn new(slots: usize) -> HintTable {
        let slots = slots.next_power_of_two().max(WAYS);
        HintTable { slots: (0..slots).map(|_| AtomicU64::new(0)).collect() }
    }

    /// Records that the prefix was used on the server.
    pub(crate) fn record(&self, prefix: PromptHash, server: ServerId, now_ms: u64) {
        let word = pack(prefix, server, now_ms);
        let set = self.set(prefix);
        let found =
            set.iter().find(|slot| slot.load(Ordering::Relaxed) >> TIME_BITS == word >> TIME_BITS);
        let age = |slot: &AtomicU64| match slot.load(Ordering::Relaxed) {
            0 => u64::MAX,
            word => age_ms(word, now_ms),
        };
        let Some(slot) = found.or_else(|| set.iter().max_by_key(|slot| age(slot))) else { return };
        slot.store(word, Ordering::Relaxed);
    }

    /// Removes the hint that the server has the prefix cached.
    pub(crate) fn invalidate(&self, prefix: PromptHash, server: ServerId) {
        let key = pack(prefix, server, 0) >> TIME_BITS;
        for slot in self.set(prefix) {
            if slot.load(Ordering::Relaxed) >> TIME_BITS == key {
                slot.store(0, Ordering::Relaxed);
            }
        }
    }

    /// Returns the hints for the prefix.
    pub(crate) fn lookup(
        &self,
        prefix: PromptHash,
        now_ms: u64,
    ) -> impl Iterator<Item = CacheHint> + '_ {
        let tag = prefix.0 >> (u64::BITS - TAG_BITS);
        self.set(prefix).iter().filter_map(move |slot| {
            let word = slot.load(Ordering::Relaxed);
            if word == 0 || word >> (u64::BITS - TAG_BITS) != tag {
                return None;
            }
            let server = ServerId(((word >> TIME_BITS) & ID_MASK) as u32);
            Some(CacheHint { server, age_ms: age_ms(word, now_ms) })
        })
    }

    fn set(&self, prefix: PromptHash) -> &[AtomicU64] {
        let sets = self.slots.len() / WAYS;
        let set = (prefix.0 as usize) & (sets - 1);
        &self.slots[set * WAYS..(set + 1) * WAYS]
    }
}

fn pack(prefix: PromptHash, server: ServerId, now_ms: u64) -> u64 {
    let tag = prefix.0 >> (u64::BITS - TAG_BITS);
    let id = u64::from(server.0) & ID_MASK;
    let time = (now_ms >> TIME_SHIFT) & TIME_MASK;
    (tag << (u64::BITS - TAG_BITS)) | (id << TIME_BITS) | time
}

/// Threads may read the clock out of order; a timestamp in the future has age 0.
fn age_ms(word: u64, now_ms: u64) -> u64 {
    let age = (now_ms >> TIME_SHIFT).wrapping_sub(word & TIME_MASK) & TIME_MASK;
    if age < TIME_MASK / 2 { age << TIME_SHIFT } else { 0 }
}
