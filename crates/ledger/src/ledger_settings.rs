//! Settings of the claim coordinator.

use std::time::Duration;

use crate::MemoryRule;

/// The answer of a coordinator that is cut off from the log, for a call whose key its table does not hold.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CutOffRule {
    /// `not-run` applies to this call: it was not sent and won't be. It says nothing of an earlier call under the key
    /// that was claimed through another router since the table was last read.
    CallOnly,
    /// `not-run` would apply to the key, which a coordinator without the log cannot prove: it answers `unknown`.
    KeyToo,
}

/// Settings of the claim coordinator. Those in milliseconds of the log's clock (`_ms`) must be equal on all routers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LedgerSettings {
    /// How long the log keeps records.
    pub retention_ms: u64,
    /// How long claims are remembered.
    pub memory: MemoryRule,
    /// The age of a record at which its claims are renewed, if they must outlive it.
    pub renew_after_ms: u64,
    /// The age from which a claim without an outcome counts as unknown.
    pub pending_ms: u64,
    /// How long a won claim may be sent, by the claimer's clock.
    pub ticket_life: Duration,
    /// How long a claim waits for its append before it is refused.
    pub append_patience: Duration,
    /// How long an outcome waits for a claim to share its append with.
    pub outcome_linger: Duration,
    /// Appends a second of groups that are not full.
    pub appends_per_s: u32,
    /// Appends that may follow each other at once after a quiet time.
    pub append_burst: u32,
    /// Claims in a group that goes at once.
    pub full_group: usize,
    /// The largest record.
    pub group_bytes: usize,
    /// The largest body of an answer that is kept.
    pub body_limit: usize,
    /// The answer while the coordinator is cut off from the log.
    pub cut_off: CutOffRule,
}

/// Why settings are refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, derive_more::Display, derive_more::Error)]
pub enum LedgerSettingsError {
    /// Keys with an age would be remembered longer than the log keeps their claims.
    #[display("remember_ms + ahead_ms must be at most nine tenths of retention_ms")]
    RememberTooLong,
    /// Keys without an age would be forgotten before keys with one.
    #[display("opaque_ms must be at least remember_ms + ahead_ms")]
    OpaqueTooShort,
    /// Claims would be renewed while they can be released, or too late.
    #[display("renew_after_ms must lie between twice release_ms and six tenths of retention_ms")]
    RenewMisplaced,
    /// A number that must not be 0.
    #[display("appends_per_s, append_burst, full_group and group_bytes must not be 0")]
    Zero,
}

const MINUTE_MS: u64 = 60_000;
const LONGEST_TICKET: Duration = Duration::from_secs(10);
const DAY_MS: u64 = 24 * 60 * MINUTE_MS;

impl LedgerSettings {
    /// Settings for a log with this retention.
    pub fn for_retention(retention: Duration) -> LedgerSettings {
        let retention_ms = retention.as_millis() as u64;
        let remember_ms = (retention_ms / 5 * 4).min(DAY_MS);
        let ahead_ms = (retention_ms / 20).min(5 * MINUTE_MS);
        let release_ms = (retention_ms / 10).min(2 * MINUTE_MS);
        LedgerSettings {
            retention_ms,
            memory: MemoryRule {
                remember_ms,
                ahead_ms,
                opaque_ms: DAY_MS.max(remember_ms + ahead_ms),
                release_ms: release_ms as u32,
            },
            renew_after_ms: retention_ms / 2,
            pending_ms: MINUTE_MS,
            // A ticket that runs out unsent has to be released in time.
            ticket_life: Duration::from_millis(release_ms / 2).min(LONGEST_TICKET),
            append_patience: Duration::from_secs(1),
            outcome_linger: Duration::from_millis(100),
            appends_per_s: 20,
            append_burst: 5,
            full_group: 25,
            group_bytes: 64 << 10,
            body_limit: 2 << 10,
            cut_off: CutOffRule::CallOnly,
        }
    }

    /// Refuses settings under which a claim could be forgotten while its key is still accepted.
    pub fn check(&self) -> Result<(), LedgerSettingsError> {
        let aged_ms = self.memory.remember_ms + self.memory.ahead_ms;
        if self.outlived_ms() < aged_ms {
            return Err(LedgerSettingsError::RememberTooLong);
        }
        if self.memory.opaque_ms < aged_ms {
            return Err(LedgerSettingsError::OpaqueTooShort);
        }
        let earliest_ms = 2 * u64::from(self.memory.release_ms);
        let latest_ms = self.retention_ms / 10 * 6;
        if self.renew_after_ms < earliest_ms || latest_ms < self.renew_after_ms {
            return Err(LedgerSettingsError::RenewMisplaced);
        }
        let zero = self.appends_per_s == 0
            || self.append_burst == 0
            || self.full_group == 0
            || self.group_bytes == 0;
        if zero { Err(LedgerSettingsError::Zero) } else { Ok(()) }
    }

    /// How long a record is assumed to last: a tenth less than the log keeps it.
    pub(crate) fn outlived_ms(&self) -> u64 {
        self.retention_ms - self.retention_ms / 10
    }
}
