//! The mechanisms that a build for experiments can switch off, to measure what each is worth.

use derive_more::Display;

/// The closed list.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash)]
pub enum Mechanism {
    /// Short prompts go before all others of their rank and never behind.
    ShortFirst,
    /// Routers keep what an engine would only queue.
    RequestQueue,
    /// Prompts that wait too long are refused with a time to come back after.
    Refusal,
    /// Waiting prompts go in the order of what reading them earns.
    EarningOrder,
    /// An engine's queue is taken to be read in the order of arrival.
    ArrivalOrder,
    /// Long prompts stay away from chats as far as those suffer.
    ChatInterference,
    /// That is learned from the pauses of streams.
    StallLearning,
    /// Words between routers follow each other fast in small fleets.
    FastGossip,
    /// Requests avoid weights that have been replaced.
    NewWeights,
    /// Parts of prompts are fetched from engines and from the store.
    Fetches,
    /// The store keeps parts that were asked for before.
    StoreKeeping,
    /// A prompt that no engine has goes to the same engine from all routers.
    Homes,
    /// What others must have sent since they last spoke is expected.
    UnreportedSends,
    /// A call looks at some engines only.
    Draws,
}

impl Mechanism {
    /// All of them.
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

/// Whether a mechanism is in use. Always, but in builds for experiments, which leave out those that the
/// variable `FULMARGATE_OFF` names, separated by commas.
#[cfg(not(feature = "experiments"))]
#[inline]
pub const fn is_on(_: Mechanism) -> bool {
    true
}

/// Whether a mechanism is in use.
#[cfg(feature = "experiments")]
pub fn is_on(mechanism: Mechanism) -> bool {
    switches::is_on(mechanism)
}

#[cfg(feature = "experiments")]
pub use switches::switch_off;

#[cfg(feature = "experiments")]
mod switches {
    use std::cell::RefCell;
    use std::sync::LazyLock;

    use super::Mechanism;

    static OFF: LazyLock<Vec<String>> = LazyLock::new(|| {
        let names = std::env::var("FULMARGATE_OFF").unwrap_or_default();
        names.split(',').map(str::to_owned).collect()
    });

    thread_local! {
        static OFF_HERE: RefCell<Vec<Mechanism>> = const { RefCell::new(Vec::new()) };
    }

    /// Leaves these out on this thread, in place of those left out before.
    pub fn switch_off(mechanisms: &[Mechanism]) {
        OFF_HERE.with_borrow_mut(|off| *off = mechanisms.to_vec());
    }

    pub(super) fn is_on(mechanism: Mechanism) -> bool {
        let is_here = OFF_HERE.with_borrow(|off| off.contains(&mechanism));
        !is_here && (OFF.is_empty() || !OFF.contains(&mechanism.to_string()))
    }
}
