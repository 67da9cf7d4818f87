//! Requests that servers have completed lately.

use std::time::Duration;

use indexmap::IndexSet;
use tokio::time::Instant;

/// Each request is remembered for this time at least, and for three times as long at most.
const GENERATION_TIME: Duration = Duration::from_secs(5);
/// Upper bound on the requests of a generation.
const MAX_REQUESTS: usize = 8_192;

/// Fingerprints of requests that servers have completed lately, in two generations.
#[derive(Debug, Default)]
pub(crate) struct CompletedSet {
    current: IndexSet<u128>,
    previous: IndexSet<u128>,
    /// When the current generation began.
    began: Option<Instant>,
}

impl CompletedSet {
    pub(crate) fn insert(&mut self, fingerprint: u128, now: Instant) {
        self.rotate(now);
        self.current.insert(fingerprint);
    }

    pub(crate) fn contains(&mut self, fingerprint: u128, now: Instant) -> bool {
        self.rotate(now);
        self.current.contains(&fingerprint) || self.previous.contains(&fingerprint)
    }

    fn rotate(&mut self, now: Instant) {
        let age = now.saturating_duration_since(*self.began.get_or_insert(now));
        if age < GENERATION_TIME && self.current.len() < MAX_REQUESTS {
            return;
        }
        self.previous = std::mem::take(&mut self.current);
        if 2 * GENERATION_TIME <= age {
            self.previous.clear();
        }
        self.began = Some(now);
    }
}
