//! Why a prompt went where it went.

use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

/// Why a server was chosen. The list is closed; each choice has exactly one reason.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum ChoiceReason {
    /// The first server of the prompt's preference list.
    Home,
    /// Another server of the list: the prefix is hot and kept on several.
    Spread,
    /// A server believed to hold more of the prompt than the first of the list.
    Warm,
    /// A less loaded server, where waiting at home would cost more than computing anew.
    Detour,
    /// The servers before it on the list are out of use or were excluded.
    Fallback,
    /// The prompt is too short for its place to matter: least loaded of two.
    ShortPrompt,
    /// No near server can be used.
    FarZone,
    /// Policy `round_robin`.
    RoundRobin,
    /// Policy `least_load`.
    LeastLoad,
    /// Policy `prefix_hash`.
    PrefixHash,
}

impl ChoiceReason {
    /// All reasons in the order of the list.
    pub const ALL: [ChoiceReason; 10] = [
        ChoiceReason::Home,
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
            ChoiceReason::Home => "home",
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

/// How often each reason was given.
#[derive(Debug, Default)]
pub struct ReasonCounts {
    counts: [AtomicU64; ChoiceReason::ALL.len()],
}

impl ReasonCounts {
    /// Counts a choice.
    pub fn add(&self, reason: ChoiceReason) {
        self.counts[reason as usize].fetch_add(1, Ordering::Relaxed);
    }

    /// How often the reason was given.
    pub fn count(&self, reason: ChoiceReason) -> u64 {
        self.counts[reason as usize].load(Ordering::Relaxed)
    }
}
