//! Which claims have to be written anew.

use crate::held_claim::HeldClaim;

/// Which claims have to be written anew, by the log's clock.
#[derive(Clone, Copy, Debug)]
pub struct RenewPlan {
    /// Those whose latest record landed before this.
    pub standing_before_ms: u64,
    /// Those that must be remembered for longer than this after their latest record.
    pub lasting_ms: u64,
    /// All records up to this time are in the book.
    pub complete_ms: u64,
    /// No more than this.
    pub limit: usize,
}

impl RenewPlan {
    /// A claim that can still be released is left out: its release may lie beyond what the book has read.
    pub(crate) fn includes(&self, held: &HeldClaim) -> bool {
        let releasable_to_ms = held.claimed_ms + u64::from(held.release_ms);
        held.standing_ms < self.standing_before_ms
            && held.standing_ms + self.lasting_ms < held.until_ms
            && releasable_to_ms < self.complete_ms
    }
}
