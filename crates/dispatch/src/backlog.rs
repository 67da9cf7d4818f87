//! Queued prompt tokens of an engine, by urgency.

use serde::Deserialize;
use serde::Serialize;

/// Urgency levels that engines distinguish.
pub(crate) const URGENCY_LEVELS: usize = 10;
/// The first levels are for requests that can still be answered in time.
const TIMELY_LEVELS: u8 = 5;
/// Priorities above this number share its timely levels.
const MAX_TIMELY_PRIORITY: u8 = 2;

/// Urgency of a request at an engine, 0 first.
///
/// Requests that can no longer be answered in time go behind all others, so that an overloaded
/// engine still answers as many as it can in time. Short prompts go before longer ones of the same
/// priority, as they take an engine only milliseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Urgency(u8);

impl Urgency {
    /// Urgency of a short prompt.
    pub fn short(priority: u8) -> Urgency {
        Urgency(2 * priority.min(MAX_TIMELY_PRIORITY))
    }

    /// Urgency of a longer prompt that can be answered in time.
    pub fn timely(priority: u8) -> Urgency {
        Urgency((2 * priority.min(MAX_TIMELY_PRIORITY) + 1).min(TIMELY_LEVELS - 1))
    }

    /// Urgency of a prompt that can no longer be answered in time.
    pub fn late(priority: u8) -> Urgency {
        Urgency(priority.min(TIMELY_LEVELS - 1) + TIMELY_LEVELS)
    }

    /// The level, 0 first.
    pub fn level(self) -> u8 {
        self.0
    }
}

/// Prompt tokens of the requests that wait for their first event, by urgency.
///
/// Integers keep sums over routers exact, and zeros take one byte each in gossip messages.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Backlog([u32; URGENCY_LEVELS]);

impl Backlog {
    /// Adds the tokens of a request.
    pub fn add(&mut self, urgency: Urgency, tokens: f64) {
        let level = &mut self.0[usize::from(urgency.0)];
        *level = level.saturating_add(tokens.round() as u32);
    }

    /// Removes the tokens of a request.
    pub fn take(&mut self, urgency: Urgency, tokens: f64) {
        let level = &mut self.0[usize::from(urgency.0)];
        *level = level.saturating_sub(tokens.round() as u32);
    }

    /// Adds the backlog of another router.
    pub(crate) fn add_all(&mut self, other: &Backlog) {
        for (level, added) in self.0.iter_mut().zip(other.0) {
            *level = level.saturating_add(added);
        }
    }

    /// Removes the backlog of another router.
    pub(crate) fn take_all(&mut self, other: &Backlog) {
        for (level, removed) in self.0.iter_mut().zip(other.0) {
            *level = level.saturating_sub(removed);
        }
    }

    /// Tokens that are prefilled before a new request of this urgency.
    pub fn before(&self, urgency: Urgency) -> f64 {
        self.0[..=usize::from(urgency.0)].iter().copied().map(f64::from).sum()
    }

    /// Tokens of all levels.
    pub fn total(&self) -> f64 {
        self.0.iter().copied().map(f64::from).sum()
    }
}
