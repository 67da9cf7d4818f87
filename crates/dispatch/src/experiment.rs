//! Mechanisms that builds with the `experiments` feature can disable, to compare results without
//! them.

use derive_more::Display;

/// A mechanism that can be disabled.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash)]
pub enum Mechanism {
    /// Short prompts go before longer ones of the same priority.
    ShortFirst,
    /// Routers queue prompts instead of sending them to a full engine.
    RequestQueue,
    /// Prompts that wait too long are rejected with a retry delay.
    Refusal,
    /// Queued prompts are ordered by value for each prefilled token.
    EarningOrder,
    /// Engines are assumed to prefill in order of arrival.
    ArrivalOrder,
    /// Long prompts are kept away from chats.
    ChatInterference,
    /// How strictly they are kept away is inferred from the gaps in streams.
    StallLearning,
    /// Gossip intervals are short in small fleets.
    FastGossip,
    /// Requests avoid replaced weights.
    NewWeights,
    /// Prompt prefixes are fetched from engines and the prompt cache store.
    Fetches,
    /// The prompt cache store keeps prefixes that were requested before.
    StoreKeeping,
    /// All routers send a prompt that is cached nowhere to the same engine.
    Homes,
    /// Sends of other routers since their last gossip message are estimated.
    UnreportedSends,
    /// A call considers only a sample of the engines.
    Draws,
}

impl Mechanism {
    /// All mechanisms.
    pub const ALL: [Mechanism; 14] = [
        Mechanism::ShortFirst,
        Mechanism::RequestQueue,
        Mechanism::Refusal,
        Mechanism::EarningOrder,
        Mechanism::ArrivalOrder,
        Mechanism::ChatInterference,
        Mechanism::StallLearning,
        Mechanism::FastGossip,
        Mechanism::NewWeights,
        Mechanism::Fetches,
        Mechanism::StoreKeeping,
        Mechanism::Homes,
        Mechanism::UnreportedSends,
        Mechanism::Draws,
    ];
}

/// Whether a mechanism is enabled: always in builds without the `experiments` feature.
#[cfg(not(feature = "experiments"))]
#[inline]
pub const fn is_enabled(_: Mechanism) -> bool {
    true
}

/// Whether a mechanism is enabled. Disabled are those set by [`disable`] and those listed,
/// separated by commas, in the environment variable `FULMARGATE_OFF`.
#[cfg(feature = "experiments")]
pub fn is_enabled(mechanism: Mechanism) -> bool {
    switches::is_enabled(mechanism)
}

#[cfg(feature = "experiments")]
pub use switches::disable;

#[cfg(feature = "experiments")]
mod switches {
    use std::cell::RefCell;
    use std::sync::LazyLock;

    use super::Mechanism;

    static DISABLED: LazyLock<Vec<String>> = LazyLock::new(|| {
        let names = std::env::var("FULMARGATE_OFF").unwrap_or_default();
        names.split(',').map(str::to_owned).collect()
    });

    thread_local! {
        static DISABLED_ON_THREAD: RefCell<Vec<Mechanism>> = const { RefCell::new(Vec::new()) };
    }

    /// Disables exactly these mechanisms on this thread, in addition to those of the environment.
    pub fn disable(mechanisms: &[Mechanism]) {
        DISABLED_ON_THREAD.with_borrow_mut(|disabled| *disabled = mechanisms.to_vec());
    }

    pub(super) fn is_enabled(mechanism: Mechanism) -> bool {
        let is_disabled_here =
            DISABLED_ON_THREAD.with_borrow(|disabled| disabled.contains(&mechanism));
        !is_disabled_here && (DISABLED.is_empty() || !DISABLED.contains(&mechanism.to_string()))
    }
}
