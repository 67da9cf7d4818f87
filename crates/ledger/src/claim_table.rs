//! The fold of a claim stream.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use fulmargate_names::HostName;
use fulmargate_names::Incarnation;
use fulmargate_names::LogOffset;
use fulmargate_platform::LogRecord;
use indexmap::IndexMap;

use crate::CallOutcome;
use crate::ClaimEntry;
use crate::ClaimOutcome;
use crate::ClaimRecord;
use crate::ClaimRelease;
use crate::ClaimerGone;
use crate::KeyHash;
use crate::KeyView;
use crate::MemoryRule;
use crate::NewClaim;
use crate::RECORD_LAYOUT;
use crate::RanPlace;
use crate::RecordEffect;
use crate::RenewPlan;
use crate::RenewedClaim;
use crate::RenewedState;
use crate::RequestPrint;
use crate::TableChange;
use crate::TableError;
use crate::claimer_table::ClaimerIndex;
use crate::claimer_table::ClaimerTable;
use crate::held_claim::HeldClaim;
use crate::held_claim::HeldState;

/// How far the log's clock may step back before a forgotten claim could be asked for again.
const FORGET_SLACK_MS: u64 = 10_000;

/// Which claim holds which key, folded from a claim stream.
///
/// What a record does depends on the records before it and on itself alone, so all readers agree, whenever they began and
/// whatever their clocks and settings say. The lowest offset wins a key, then the first entry of a record.
#[derive(Clone, Debug)]
pub struct ClaimTable {
    next: LogOffset,
    /// All records that landed later than this were read; `None` while that isn't known of any time.
    whole_from_ms: Option<u64>,
    log_time_ms: u64,
    held: IndexMap<KeyHash, HeldClaim>,
    claimers: ClaimerTable,
    forget: BinaryHeap<Reverse<(u64, KeyHash)>>,
}

impl ClaimTable {
    /// Creates a table that begins at `first`, the oldest offset that the log keeps.
    pub fn new(first: LogOffset) -> ClaimTable {
        let whole_from_ms = (first == LogOffset(0)).then_some(0);
        ClaimTable {
            next: first,
            whole_from_ms,
            log_time_ms: 0,
            held: IndexMap::new(),
            claimers: ClaimerTable::default(),
            forget: BinaryHeap::new(),
        }
    }

    /// Time from which the table has read every record; `None` while it has read none and older ones are deleted.
    pub fn whole_from_ms(&self) -> Option<u64> {
        self.whole_from_ms
    }

    /// The offset that the table has to read next.
    pub fn next_offset(&self) -> LogOffset {
        self.next
    }

    /// The latest time of a record, by the log's clock. The log's present is never before it.
    pub fn log_time_ms(&self) -> u64 {
        self.log_time_ms
    }

    /// How many keys are held.
    pub fn len(&self) -> usize {
        self.held.len()
    }

    /// Whether no key is held.
    pub fn is_empty(&self) -> bool {
        self.held.is_empty()
    }

    /// Records that a host's router of this incarnation has ended.
    pub fn claimer_gone(&mut self, host: &HostName, incarnation: Incarnation) {
        self.claimers.observe(host, Incarnation(incarnation.0 + 1));
    }

    /// State of a key, for a request.
    pub fn view(&self, key: KeyHash, print: RequestPrint) -> KeyView {
        let Some(claim) = self.held.get(&key) else {
            return KeyView::Free;
        };
        if claim.print != print {
            return KeyView::Reused;
        }
        match claim.state {
            HeldState::Pending => {
                let gone = self.claimers.is_gone(claim.claimer);
                let claimer_gone = if gone { ClaimerGone::Yes } else { ClaimerGone::No };
                KeyView::Pending { claimed_ms: claim.claimed_ms, claimer_gone }
            }
            HeldState::Unknown => KeyView::Unknown,
            HeldState::Ran(place) => KeyView::Ran(place),
        }
    }

    /// Whether a claim holds the key.
    pub fn holds(&self, key: KeyHash) -> bool {
        self.held.contains_key(&key)
    }

    /// Folds the next record.
    pub fn fold(&mut self, record: &LogRecord) -> Result<RecordEffect, TableError> {
        if record.offset != self.next {
            return Err(TableError::Gap { next: self.next, offset: record.offset });
        }
        let parsed = parse_record(record)?;
        self.next = LogOffset(record.offset.0 + 1);
        self.whole_from_ms.get_or_insert(record.time_ms);
        self.log_time_ms = record.time_ms.max(self.log_time_ms);
        let Some(parsed) = parsed else {
            return Ok(RecordEffect::Unreadable);
        };
        let claimer = self.claimers.intern(&parsed.claimer);
        if !self.claimers.admit(claimer, parsed.sequence) {
            return Ok(RecordEffect::Void);
        }
        let mut changes = Vec::new();
        for (position, entry) in parsed.entries.into_iter().enumerate() {
            let place = EntryPlace {
                claimer,
                offset: record.offset,
                time_ms: record.time_ms,
                position: position as u16,
                memory: parsed.memory,
            };
            changes.extend(self.fold_entry(entry, place));
        }
        self.forget_old();
        Ok(RecordEffect::Folded { claimer: parsed.claimer, sequence: parsed.sequence, changes })
    }

    fn fold_entry(&mut self, entry: ClaimEntry, place: EntryPlace) -> Option<TableChange> {
        match entry {
            ClaimEntry::Claim(claim) => Some(self.fold_claim(&claim, place)),
            ClaimEntry::Outcome(outcome) => self.fold_outcome(outcome, place),
            ClaimEntry::Release(release) => self.fold_release(&release, place),
            ClaimEntry::Renew(renewed) => {
                self.fold_renew(&renewed, place);
                None
            }
        }
    }

    fn fold_claim(&mut self, claim: &NewClaim, place: EntryPlace) -> TableChange {
        let NewClaim { key, number, .. } = *claim;
        let until_ms = place.memory.until_ms(claim.made_ms, place.time_ms);
        // The first claim of an old key may be forgotten or out of retention. Its age is judged by the record's own time, so
        // a claim that took long to land is void for every reader.
        if until_ms <= place.time_ms {
            return TableChange::TooOld { key, number };
        }
        if self.held.get(&key).is_some_and(|held| place.time_ms < held.until_ms) {
            return TableChange::Lost { key, number };
        }
        let held = HeldClaim {
            print: claim.print,
            number,
            claimer: place.claimer,
            release_ms: place.memory.release_ms,
            claimed_ms: place.time_ms,
            until_ms,
            standing_ms: place.time_ms,
            state: HeldState::Pending,
        };
        self.hold(key, held);
        TableChange::Won { key, number }
    }

    /// Only the claimer's first outcome counts: callers have been answered by it.
    fn fold_outcome(&mut self, claim: ClaimOutcome, place: EntryPlace) -> Option<TableChange> {
        let ClaimOutcome { key, number, outcome } = claim;
        let held = self.pending_of(key, number, place.claimer)?;
        held.state = match &outcome {
            CallOutcome::Unknown => HeldState::Unknown,
            CallOutcome::Ran(ran) => HeldState::Ran(RanPlace {
                status: ran.status,
                position: place.position,
                offset: Some(place.offset),
            }),
        };
        Some(TableChange::Settled { key, outcome })
    }

    /// A release that lands late is void. Otherwise a claim could be renewed by a reader that has not met the release yet,
    /// and whoever begins to read between the two would hold a key that is free for all others.
    fn fold_release(&mut self, release: &ClaimRelease, place: EntryPlace) -> Option<TableChange> {
        let ClaimRelease { key, number } = *release;
        let held = self.pending_of(key, number, place.claimer)?;
        if held.claimed_ms + u64::from(held.release_ms) <= place.time_ms {
            return None;
        }
        self.held.swap_remove(&key);
        Some(TableChange::Released { key })
    }

    fn pending_of(
        &mut self,
        key: KeyHash,
        number: u64,
        claimer: ClaimerIndex,
    ) -> Option<&mut HeldClaim> {
        self.held.get_mut(&key).filter(|held| {
            held.claimer == claimer && held.number == number && held.state == HeldState::Pending
        })
    }

    /// Idempotent: a late or repeated renewal takes no key from another claim and reverts no state of its own.
    fn fold_renew(&mut self, renewed: &RenewedClaim, place: EntryPlace) {
        if renewed.until_ms <= place.time_ms {
            return;
        }
        let claimer = self.claimers.intern(&renewed.claimer);
        if let Some(held) = self.held.get_mut(&renewed.key)
            && place.time_ms < held.until_ms
        {
            if held.claimer == claimer && held.number == renewed.number {
                held.standing_ms = place.time_ms.max(held.standing_ms);
                held.release_ms = 0;
            }
            return;
        }
        let state = match renewed.state {
            RenewedState::Pending => HeldState::Pending,
            RenewedState::Unknown => HeldState::Unknown,
            RenewedState::Ran(status) => {
                HeldState::Ran(RanPlace { status, position: 0, offset: None })
            }
        };
        let held = HeldClaim {
            print: renewed.print,
            number: renewed.number,
            claimer,
            release_ms: 0,
            claimed_ms: renewed.claimed_ms,
            until_ms: renewed.until_ms,
            standing_ms: place.time_ms,
            state,
        };
        self.hold(renewed.key, held);
    }

    fn hold(&mut self, key: KeyHash, held: HeldClaim) {
        self.forget.push(Reverse((held.until_ms, key)));
        self.held.insert(key, held);
    }

    fn forget_old(&mut self) {
        let now_ms = self.log_time_ms.saturating_sub(FORGET_SLACK_MS);
        while let Some(Reverse((until_ms, key))) = self.forget.peek().copied() {
            if now_ms < until_ms {
                return;
            }
            self.forget.pop();
            if self.held.get(&key).is_some_and(|held| held.until_ms == until_ms) {
                self.held.swap_remove(&key);
            }
        }
    }

    /// The claims that have to be renewed.
    pub fn to_renew(&self, plan: &RenewPlan) -> Vec<RenewedClaim> {
        let due = self.held.iter().filter(|(_, held)| plan.includes(held));
        due.take(plan.limit).map(|(key, held)| self.renewed(*key, held)).collect()
    }

    fn renewed(&self, key: KeyHash, held: &HeldClaim) -> RenewedClaim {
        RenewedClaim {
            key,
            print: held.print,
            claimer: self.claimers.claimer(held.claimer).clone(),
            number: held.number,
            claimed_ms: held.claimed_ms,
            until_ms: held.until_ms,
            state: match held.state {
                HeldState::Pending => RenewedState::Pending,
                HeldState::Unknown => RenewedState::Unknown,
                HeldState::Ran(place) => RenewedState::Ran(place.status),
            },
        }
    }
}

/// Where an entry stands.
#[derive(Clone, Copy)]
struct EntryPlace {
    claimer: ClaimerIndex,
    offset: LogOffset,
    time_ms: u64,
    position: u16,
    memory: MemoryRule,
}

/// The record's content, or `None` if it is not of this stream.
fn parse_record(record: &LogRecord) -> Result<Option<ClaimRecord>, TableError> {
    if let Ok(parsed) = serde_json::from_str::<ClaimRecord>(&record.data)
        && parsed.layout <= RECORD_LAYOUT
    {
        return Ok(Some(parsed));
    }
    let value: serde_json::Value = serde_json::from_str(&record.data).unwrap_or_default();
    match value.get("v").and_then(serde_json::Value::as_u64) {
        Some(layout) if u64::from(RECORD_LAYOUT) < layout => {
            Err(TableError::LaterLayout { offset: record.offset, layout })
        }
        _ => Ok(None),
    }
}
