//! How much may be computed anew to save waiting.

use std::sync::atomic::AtomicI64;
use std::sync::atomic::Ordering;

/// Most tokens that can be saved up.
const MOST_TOKENS: i64 = 30_000;
const UNIT: f64 = 16.0;

/// A part of the uncached tokens of all requests, to be spent on detours.
///
/// Without a bound a fleet that was pushed over its capacity for a moment stays there: waits grow,
/// requests leave their warm servers, each detour computes a prompt anew and pushes out another
/// one, and waits grow further. With it the extra work is a fixed part of the work there is.
#[derive(Debug)]
pub(crate) struct DetourBudget {
    saved: AtomicI64,
    share: f64,
}

impl DetourBudget {
    pub(crate) fn new(share: f64) -> DetourBudget {
        DetourBudget { saved: AtomicI64::new(0), share }
    }

    /// Earns a part of a request's uncached tokens.
    pub(crate) fn earn(&self, uncached: f64) {
        let earned = (uncached * self.share * UNIT) as i64;
        let most = (MOST_TOKENS as f64 * UNIT) as i64;
        let change = |saved: i64| Some((saved + earned).min(most));
        let _ = self.saved.fetch_update(Ordering::Relaxed, Ordering::Relaxed, change);
    }

    /// Spends tokens if so many are saved.
    pub(crate) fn spend(&self, tokens: f64) -> bool {
        let wanted = (tokens * UNIT) as i64;
        let change = |saved: i64| (wanted <= saved).then_some(saved - wanted);
        self.saved.fetch_update(Ordering::Relaxed, Ordering::Relaxed, change).is_ok()
    }
}
