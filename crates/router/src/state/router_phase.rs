//! How far a router is in its life.

use std::sync::atomic::AtomicU8;
use std::sync::atomic::Ordering;

/// How far a router is in its life.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
#[repr(u8)]
pub(crate) enum RouterPhase {
    /// No configuration is in force yet.
    Starting = 0,
    /// It takes traffic.
    Serving = 1,
    /// Stop requested: not ready any more, but requests are still served.
    Leaving = 2,
    /// It takes nothing new and finishes what is open.
    Closing = 3,
}

/// The phase, readable from any thread.
#[derive(Default)]
pub(crate) struct PhaseCell {
    phase: AtomicU8,
}

impl PhaseCell {
    /// The phase now.
    pub(crate) fn get(&self) -> RouterPhase {
        match self.phase.load(Ordering::Acquire) {
            0 => RouterPhase::Starting,
            1 => RouterPhase::Serving,
            2 => RouterPhase::Leaving,
            _ => RouterPhase::Closing,
        }
    }

    /// Moves on; a phase that has passed never comes back.
    pub(crate) fn advance(&self, phase: RouterPhase) {
        self.phase.fetch_max(phase as u8, Ordering::AcqRel);
    }
}
