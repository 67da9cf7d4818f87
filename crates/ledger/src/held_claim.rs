//! One entry of the claim table.

use fulmargate_names::LogOffset;
use fulmargate_platform::LogRecord;

use crate::CallOutcome;
use crate::ClaimEntry;
use crate::ClaimOutcome;
use crate::ClaimRecord;
use crate::RanOutcome;
use crate::RequestPrint;
use crate::claimer_table::ClaimerIndex;

/// A claim that holds its key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct HeldClaim {
    /// The request that it came with.
    pub(crate) print: RequestPrint,
    /// The claimer's number of the claim.
    pub(crate) number: u64,
    /// The claimer.
    pub(crate) claimer: ClaimerIndex,
    /// How long after its landing it can be released; 0 once it is renewed.
    pub(crate) release_ms: u32,
    /// When it landed.
    pub(crate) claimed_ms: u64,
    /// Until when it is kept.
    pub(crate) until_ms: u64,
    /// When its latest record landed.
    pub(crate) standing_ms: u64,
    /// State of its call.
    pub(crate) state: HeldState,
}

/// State of a claimed call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum HeldState {
    /// No outcome yet.
    Pending,
    /// It may have run.
    Unknown,
    /// It ran.
    Ran(RanPlace),
}

/// Outcome of a call that ran. The body stays in the log, as bodies would dominate the memory use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RanPlace {
    /// HTTP status.
    pub status: u16,
    /// The place of its outcome's entry in its record.
    pub position: u16,
    /// The record that holds its outcome; `None` when the claim was renewed after the body's time.
    pub offset: Option<LogOffset>,
}

impl RanPlace {
    /// The outcome without its body.
    pub fn without_body(&self) -> RanOutcome {
        RanOutcome { status: self.status, digest: None, body: None }
    }

    /// The outcome from the record at `offset`.
    pub fn outcome_in(&self, record: &LogRecord) -> RanOutcome {
        let parsed = serde_json::from_str::<ClaimRecord>(&record.data).ok();
        let entry =
            parsed.and_then(|parsed| parsed.entries.into_iter().nth(usize::from(self.position)));
        match entry {
            Some(ClaimEntry::Outcome(ClaimOutcome { outcome: CallOutcome::Ran(ran), .. })) => ran,
            _ => self.without_body(),
        }
    }
}
