//! Reasons for placement decisions.

use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

/// Why a server was selected. Each choice has exactly one reason.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum ChoiceReason {
    /// The first server of the prompt's preference list.
    Owner,
    /// Another server of the list, because the prefix is hot and replicated.
    Spread,
    /// A server predicted to have more of the prompt cached than the owner.
    Warm,
    /// A less loaded server, because waiting at the owner would cost more than recomputing.
    Detour,
    /// The preceding servers of the preference list are unusable or excluded.
    Fallback,
    /// The prompt is too short to benefit from caching; the less loaded of two sampled servers.
    ShortPrompt,
    /// No near server is usable.
    FarZone,
    /// Policy `round_robin`.
    RoundRobin,
    /// Policy `least_load`.
    LeastLoad,
    /// Policy `prefix_hash`.
    PrefixHash,
}

impl ChoiceReason {
    /// All reasons in declaration order.
    pub const ALL: [ChoiceReason; 10] = [
        ChoiceReason::Owner,
        ChoiceReason::Spread,
        ChoiceReason::Warm,
        ChoiceReason::Detour,
        ChoiceReason::Fallback,
        ChoiceReason::ShortPrompt,
        ChoiceReason::FarZone,
        ChoiceReason::RoundRobin,
        ChoiceReason::LeastLoad,
        ChoiceReason::PrefixHash,
    ];

    /// The name in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            ChoiceReason::Owner => "home",
            ChoiceReason::Spread => "spread",
            ChoiceReason::Warm => "warm",
            ChoiceReason::Detour => "detour",
            ChoiceReason::Fallback => "fallback",
            ChoiceReason::ShortPrompt => "short_prompt",
            ChoiceReason::FarZone => "far_zone",
            ChoiceReason::RoundRobin => "round_robin",
            ChoiceReason::LeastLoad => "least_load",
            ChoiceReason::PrefixHash => "prefix_hash",
        }
    }
}

/// Number of choices by reason.
#[derive(Debug, Default)]
pub struct ReasonCounts {
    counts: [AtomicU64; ChoiceReason::ALL.len()],
}

impl ReasonCounts {
    /// Counts a choice.
    pub fn add(&self, reason: ChoiceReason) {
        self.counts[reason as usize].fetch_add(1, Ordering::Relaxed);
    }

    /// Number of choices made for this reason.
    pub fn count(&self, reason: ChoiceReason) -> u64 {
        self.counts[reason as usize].load(Ordering::Relaxed)
    }
}
