//! Limit on recomputation caused by detours.

use std::sync::atomic::AtomicI64;
use std::sync::atomic::Ordering;

/// Maximum accumulated balance.
const MAX_TOKENS: i64 = 30_000;
/// Resolution of the fixed-point balance.
const UNITS_PER_TOKEN: f64 = 16.0;

/// Token budget for detours, replenished with a fraction of all uncached tokens.
///
/// Without a limit, a brief overload would sustain itself: longer waits cause detours, each detour
/// recomputes a prompt and evicts another, and the added work makes waits longer still.
#[derive(Debug)]
pub(crate) struct DetourBudget {
    balance: AtomicI64,
    share: f64,
}

impl DetourBudget {
    pub(crate) fn new(share: f64) -> DetourBudget {
        DetourBudget { balance: AtomicI64::new(0), share }
    }

    /// Credits a fraction of a request's uncached tokens.
    pub(crate) fn deposit(&self, uncached: f64) {
        let deposited = (uncached * self.share * UNITS_PER_TOKEN) as i64;
        let max_units = (MAX_TOKENS as f64 * UNITS_PER_TOKEN) as i64;
        let change = |balance: i64| Some((balance + deposited).min(max_units));
        let _ = self.balance.fetch_update(Ordering::Relaxed, Ordering::Relaxed, change);
    }

    /// Deducts the tokens if the balance is sufficient.
    pub(crate) fn try_spend(&self, tokens: f64) -> bool {
        let cost = (tokens * UNITS_PER_TOKEN) as i64;
        let change = |balance: i64| (cost <= balance).then_some(balance - cost);
        self.balance.fetch_update(Ordering::Relaxed, Ordering::Relaxed, change).is_ok()
    }
}
