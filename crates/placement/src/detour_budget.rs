//! How much may be computed anew to save waiting.

use std::sync::atomic::AtomicI64;
use std::sync::atomic::Ordering;

/// Most tokens that can be saved up.
const MAX_TOKENS: i64 = 30_000;
const UNITS_PER_TOKEN: f64 = 16.0;

/// A part of the uncached tokens of all requests, to be spent on detours.
///
/// Without a bound a fleet that was pushed over its capacity for a moment stays there: waits grow,
/// requests leave their warm servers, each detour computes a prompt anew and pushes out another
/// one, and waits grow further. With it the extra work is a fixed part of the work there is.
#[derive(Debug)]
pub(crate) struct DetourBudget {
    balance: AtomicI64,
    share: f64,
}

impl DetourBudget {
    pub(crate) fn new(share: f64) -> DetourBudget {
        DetourBudget { balance: AtomicI64::new(0), share }
    }

    /// Earns a part of a request's uncached tokens.
    pub(crate) fn deposit(&self, uncached: f64) {
        let deposited = (uncached * self.share * UNITS_PER_TOKEN) as i64;
        let max_units = (MAX_TOKENS as f64 * UNITS_PER_TOKEN) as i64;
        let change = |balance: i64| Some((balance + deposited).min(max_units));
        let _ = self.balance.fetch_update(Ordering::Relaxed, Ordering::Relaxed, change);
    }

    /// Spends tokens if so many are saved.
    pub(crate) fn try_spend(&self, tokens: f64) -> bool {
        let cost = (tokens * UNITS_PER_TOKEN) as i64;
        let change = |balance: i64| (cost <= balance).then_some(balance - cost);
        self.balance.fetch_update(Ordering::Relaxed, Ordering::Relaxed, change).is_ok()
    }
}
