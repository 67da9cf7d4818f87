//! What waits for the next append, and when it goes.

use std::collections::VecDeque;
use std::time::Duration;

use tokio::time::Instant;

use crate::CallOutcome;
use crate::ClaimEntry;
use crate::LedgerSettings;
use crate::NewClaim;

/// Bytes of an entry without its body, rounded up.
const ENTRY_BYTES: usize = 200;

/// Whether the next append goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum GroupTime {
    /// Now.
    Now,
    /// Not before this moment.
    At(Instant),
    /// Nothing waits.
    Never,
}

/// What waits for the next append, and when it goes.
///
/// A group goes at once when it is full, else at a bounded rate. So the log gets at most one append for `full_group` claims or
/// `appends_per_s` of them, whichever is more, and a claim that comes alone doesn't wait.
#[derive(Debug)]
pub(crate) struct GroupQueue {
    claims: VecDeque<NewClaim>,
    closings: VecDeque<ClaimEntry>,
    closing_since: Option<Instant>,
    urgent: bool,
    tokens: f64,
    counted: Instant,
    per_second: f64,
    burst: f64,
    linger: Duration,
    full_group: usize,
    group_bytes: usize,
}

impl GroupQueue {
    pub(crate) fn new(settings: &LedgerSettings, now: Instant) -> GroupQueue {
        GroupQueue {
            claims: VecDeque::new(),
            closings: VecDeque::new(),
            closing_since: None,
            urgent: false,
            tokens: f64::from(settings.append_burst),
            counted: now,
            per_second: f64::from(settings.appends_per_s),
            burst: f64::from(settings.append_burst),
            linger: settings.outcome_linger,
            full_group: settings.full_group,
            group_bytes: settings.group_bytes,
        }
    }

    pub(crate) fn push_claim(&mut self, claim: NewClaim) {
        self.claims.push_back(claim);
    }

    /// Puts a claim back that an append did not take.
    pub(crate) fn return_claim(&mut self, claim: NewClaim) {
        self.claims.push_front(claim);
    }

    pub(crate) fn claim_numbers(&self) -> Vec<u64> {
        self.claims.iter().map(|claim| claim.number).collect()
    }

    pub(crate) fn remove_claim(&mut self, number: u64) {
        self.claims.retain(|claim| claim.number != number);
    }

    /// Outcomes, releases and renewals. They wait for claims to go with, but not for ever.
    pub(crate) fn push_closing(&mut self, entry: ClaimEntry, now: Instant) {
        self.closings.push_back(entry);
        self.closing_since.get_or_insert(now);
    }

    /// Somebody waits for what is in the queue.
    pub(crate) fn hurry(&mut self) {
        self.urgent = true;
    }

    pub(crate) fn has_closings(&self) -> bool {
        !self.closings.is_empty()
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.claims.is_empty() && self.closings.is_empty()
    }

    /// When the next group goes.
    pub(crate) fn time(&mut self, now: Instant) -> GroupTime {
        self.count(now);
        if self.is_empty() {
            return GroupTime::Never;
        }
        if self.full_group <= self.claims.len() {
            return GroupTime::Now;
        }
        let linger_end = self.closing_since.map(|since| since + self.linger);
        let wanted = match linger_end {
            Some(end) if self.claims.is_empty() && !self.urgent => end.max(now),
            _ => now,
        };
        let missing = (1.0 - self.tokens).max(0.0);
        let token_at = now + Duration::from_secs_f64(missing / self.per_second);
        let at = wanted.max(token_at);
        if now < at { GroupTime::At(at) } else { GroupTime::Now }
    }

    /// Takes the next group out.
    pub(crate) fn take(&mut self, now: Instant) -> Vec<ClaimEntry> {
        self.count(now);
        self.tokens = (self.tokens - 1.0).max(0.0);
        let mut bytes = 0;
        let mut entries = Vec::new();
        while let Some(claim) = self.claims.pop_front() {
            entries.push(ClaimEntry::Claim(claim));
            bytes += ENTRY_BYTES;
            if self.group_bytes <= bytes {
                return entries;
            }
        }
        while let Some(entry) = self.closings.pop_front() {
            bytes += entry_bytes(&entry);
            entries.push(entry);
            if self.group_bytes <= bytes {
                break;
            }
        }
        self.closing_since = self.has_closings().then_some(now);
        self.urgent = self.urgent && self.has_closings();
        entries
    }

    fn count(&mut self, now: Instant) {
        let passed = now.saturating_duration_since(self.counted);
        self.tokens = (self.tokens + passed.as_secs_f64() * self.per_second).min(self.burst);
        self.counted = now;
    }
}

fn entry_bytes(entry: &ClaimEntry) -> usize {
    let body = match entry {
        ClaimEntry::Outcome(claim) => match &claim.outcome {
            CallOutcome::Ran(ran) => ran.body.as_ref().map_or(0, |body| body.base64.len()),
            CallOutcome::Unknown => 0,
        },
        _ => 0,
    };
    ENTRY_BYTES + body
}
