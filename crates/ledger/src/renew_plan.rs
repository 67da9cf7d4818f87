//! Selection of claims to renew.

use crate::held_claim::HeldClaim;

/// Selects the claims to renew, by the log's clock.
#[derive(Clone, Copy, Debug)]
pub struct RenewPlan {
    /// Those whose latest record landed before this.
    pub standing_before_ms: u64,
    /// Those that must be kept for longer than this after their latest record.
    pub lasting_ms: u64,
    /// All records up to this time are in the table.
    pub complete_ms: u64,
    /// Maximum number of claims.
    pub limit: usize,
}

impl RenewPlan {
    /// A claim that can still be released is left out: its release may lie beyond what the table has read.
    pub(crate) fn includes(&self, held: &HeldClaim) -> bool {
        let releasable_to_ms = held.claimed_ms + u64::from(held.release_ms);
        held.standing_ms < self.standing_before_ms
            && held.standing_ms + self.lasting_ms < held.until_ms
            && releasable_to_ms < self.complete_ms
    }
}
