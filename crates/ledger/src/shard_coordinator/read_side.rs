//! What the coordinator reads.

use std::time::Duration;

use fulmargate_names::Disposition;
use fulmargate_names::EventKind;
use fulmargate_names::LogOffset;
use fulmargate_platform::LogError;
use fulmargate_platform::LogPage;
use tokio::time::Instant;

use super::ShardCoordinator;
use super::TablePhase;
use super::answer;
use crate::ClaimEntry;
use crate::ClaimTable;
use crate::ClaimVerdict;
use crate::ClaimerId;
use crate::KnownKey;
use crate::RecordEffect;
use crate::RenewPlan;
use crate::RequestPrint;
use crate::TableChange;
use crate::TableError;

/// Records that each read of a stream asks for. So many of the largest are half of what the log client reads at once. Only an
/// empty page has met the stream's end, for the log may give fewer.
pub const PAGE_LEN: usize = 500;

/// Claims that one look writes anew.
const RENEW_LIMIT: usize = 200;
/// Looks for claims to write anew in the time that the log keeps a record.
const RENEW_LOOKS: u64 = 100;
/// How far the log's clock may step back without a release being overlooked.
const CLOCK_SLACK_MS: u64 = 100;

/// How long the fold waits for the coordinator's own record once it has landed, before the coordinator reads for itself.
const OVERDUE: Duration = Duration::from_millis(50);

/// What the log's clock shows, never ahead of it.
#[derive(Debug)]
pub(super) struct LogClock {
    log_ms: u64,
    seen: Instant,
}

impl LogClock {
    pub(super) fn new(now: Instant) -> LogClock {
        LogClock { log_ms: 0, seen: now }
    }

    /// The time of the latest record and what has passed since it was read.
    pub(super) fn log_ms(&self, now: Instant) -> u64 {
        self.log_ms + now.saturating_duration_since(self.seen).as_millis() as u64
    }

    fn observe(&mut self, log_ms: u64, now: Instant) {
        if self.log_ms(now) < log_ms {
            *self = LogClock { log_ms, seen: now };
        }
    }
}

/// A number that differs from host to host.
pub(super) fn host_seed(me: &ClaimerId) -> u64 {
    let RequestPrint(bytes) = RequestPrint::of(&[me.host.as_str().as_bytes()]);
    u64::from_le_bytes(bytes)
}

impl ShardCoordinator {
    /// Where the stream is read on.
    pub fn next_offset(&self) -> LogOffset {
        self.table.next_offset()
    }

    /// Takes in a page that was read from `next_offset` or before it; `asked` is when its read began.
    pub fn take_page(&mut self, page: &LogPage, asked: Instant, now: Instant) {
        self.reads_out.end();
        if self.phase == TablePhase::Stopped {
            return;
        }
        if self.table.next_offset() < page.first {
            self.begin_book(page.first);
        }
        for record in &page.records {
            if record.offset < self.table.next_offset() {
                continue;
            }
            match self.table.fold(record) {
                Ok(effect) => self.take_effect(effect, now),
                Err(TableError::Gap { .. }) => {
                    return self.read_failed(LogError::Unreadable { status: 200 }, now);
                }
                Err(TableError::LaterLayout { .. }) => return self.stop_book(record.offset),
            }
        }
        let log_ms = self.table.log_time_ms();
        self.clock.observe(log_ms, now);
        self.complete_ms = log_ms.max(self.complete_ms);
        if page.records.is_empty() {
            self.meet_end(asked, now);
        }
    }

    /// Takes in that a read failed.
    pub fn read_failed(&mut self, error: LogError, now: Instant) {
        self.reads_out.failed(error, now);
    }

    /// When the next read may begin.
    pub fn read_at(&self) -> Instant {
        self.reads_out.retry_at()
    }

    /// Where a read without waiting has to begin, if one is due.
    ///
    /// Somebody may wait for one: a key may have been claimed through another router at any moment before the question, so
    /// only a read that begins after it tells. Or the coordinator's own record has landed and the waiting read has not brought it:
    /// after a partition that read may hang on a dead connection until its timeout, while claims that are won run out of time.
    pub fn next_barrier(&mut self, now: Instant) -> Option<LogOffset> {
        let wanted = !self.knowns.is_empty() || self.is_overdue(now);
        // While the table is read for the first time, the tail does it without waiting.
        if self.barrier.is_some() || self.phase == TablePhase::Reading || !wanted {
            return None;
        }
        if let Some((_, asked)) = &mut self.unfolded {
            *asked = now;
        }
        self.barrier = Some(std::mem::take(&mut self.knowns));
        Some(self.table.next_offset())
    }

    fn is_overdue(&self, now: Instant) -> bool {
        self.unfolded.is_some_and(|(_, asked)| asked + OVERDUE <= now)
    }

    /// Takes in how that read ended.
    pub fn barrier_ended(
        &mut self,
        result: Result<LogPage, LogError>,
        asked: Instant,
        now: Instant,
    ) {
        let calls = self.barrier.take().unwrap_or_default();
        let met_end = match result {
            Ok(page) => {
                self.take_page(&page, asked, now);
                if !page.records.is_empty() {
                    // More may be there than one page: the questions wait for the next read.
                    return self.knowns.extend(calls);
                }
                self.phase == TablePhase::Complete
            }
            Err(error) => {
                self.read_failed(error, now);
                false
            }
        };
        for call in calls {
            let known = match self.known_by_book(call.key, now) {
                KnownKey::Claimed => KnownKey::Claimed,
                known if met_end => known,
                _ => KnownKey::Blind,
            };
            let _ = call.reply.send(known);
        }
    }

    /// Begins anew at the oldest record. At the start that is no loss: whatever must outlive its record was written anew. Later
    /// it means that records went before they were read, and the claims under way stay undecided.
    fn begin_book(&mut self, first: LogOffset) {
        if self.table.next_offset() != LogOffset(0) {
            self.stats.books_lost += 1;
            let kind = EventKind::LogTruncated;
            let next = self.table.next_offset();
            tracing::warn!(event = kind.number(), name = kind.name(), %next, %first, "claims are read anew");
            for claim in self.own.take_all() {
                if let Some(call) = claim.call {
                    answer(call.reply, ClaimVerdict::LogOut(Disposition::Unknown));
                }
            }
            let waiters = std::mem::take(&mut self.waiters);
            self.parked.extend(waiters.into_values().flatten());
        }
        self.table = ClaimTable::new(first);
        self.phase = TablePhase::Reading;
    }

    fn stop_book(&mut self, offset: LogOffset) {
        tracing::error!(%offset, "a later build wrote this record of claims: no key is judged from here on");
        self.phase = TablePhase::Stopped;
    }

    fn meet_end(&mut self, asked: Instant, now: Instant) {
        self.complete_ms = self.clock.log_ms(asked).max(self.complete_ms);
        if self.phase == TablePhase::Complete {
            return;
        }
        self.phase = TablePhase::Complete;
        for call in std::mem::take(&mut self.parked) {
            self.decide(call, now);
        }
    }

    fn take_effect(&mut self, effect: RecordEffect, now: Instant) {
        let RecordEffect::Folded { claimer, sequence, changes } = effect else {
            return;
        };
        let is_own = claimer == self.me;
        for change in changes {
            match change {
                TableChange::Won { number, .. } if is_own => self.own_won(number, now),
                TableChange::Lost { number, .. } if is_own => self.own_lost(number, now),
                TableChange::TooOld { number, .. } if is_own => self.own_too_old(number),
                TableChange::Settled { key, outcome } => self.settle_key(key, &outcome),
                TableChange::Released { key } => self.decide_key(key, now),
                TableChange::Won { .. } | TableChange::Lost { .. } | TableChange::TooOld { .. } => {
                }
            }
        }
        if is_own {
            self.flight_folded(sequence);
            self.drop_void_claims(sequence, now);
        }
    }

    fn own_won(&mut self, number: u64, now: Instant) {
        if let Some(claim) = self.own.remove(number) {
            self.grant(claim, now);
        }
    }

    fn own_lost(&mut self, number: u64, now: Instant) {
        let call = self.own.remove(number).and_then(|claim| claim.call);
        if let Some(call) = call {
            let kind = EventKind::ClaimLost;
            tracing::info!(event = kind.number(), name = kind.name(), key = ?call.key.hash);
            self.decide(call, now);
        }
    }

    fn own_too_old(&mut self, number: u64) {
        let call = self.own.remove(number).and_then(|claim| claim.call);
        if let Some(call) = call {
            answer(call.reply, ClaimVerdict::TooOld);
        }
    }

    /// Claims of records that did not land before this one will never count. Those that are still wanted are made anew.
    fn drop_void_claims(&mut self, sequence: u64, now: Instant) {
        for number in self.own.up_to(sequence) {
            let call = self.own.remove(number).and_then(|claim| claim.call);
            if let Some(call) = call {
                self.decide(call, now);
            }
        }
    }

    /// Writes claims anew whose records go out of retention before they may be forgotten.
    pub(super) fn renew_old(&mut self, now: Instant) {
        let busy = self.queue.has_closings() || self.flight.is_some();
        if self.phase != TablePhase::Complete || busy || now < self.renew_check {
            return;
        }
        let log_ms = self.clock.log_ms(now);
        let plan = RenewPlan {
            standing_before_ms: log_ms
                .saturating_sub(self.settings.renew_after_ms + self.stagger_ms),
            lasting_ms: self.settings.outlived_ms(),
            complete_ms: self.complete_ms.saturating_sub(CLOCK_SLACK_MS),
            limit: RENEW_LIMIT,
        };
        let renewed = self.table.to_renew(&plan);
        if renewed.len() < RENEW_LIMIT {
            let pause_ms = self.settings.retention_ms / RENEW_LOOKS;
            self.renew_check = now + Duration::from_millis(pause_ms);
        }
        self.stats.renewals += renewed.len() as u64;
        for claim in renewed {
            self.queue.push_closing(ClaimEntry::Renew(claim), now);
        }
    }
}
