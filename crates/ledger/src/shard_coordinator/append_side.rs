//! What the coordinator appends.

use fulmargate_names::LogOffset;
use fulmargate_platform::Landing;
use fulmargate_platform::LogError;
use tokio::time::Instant;

use super::ShardCoordinator;
use crate::ClaimEntry;
use crate::ClaimRecord;
use crate::RECORD_LAYOUT;
use crate::group_queue::GroupTime;

/// A record to append. Its end must be brought back with `append_ended` before the next one is asked for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct GroupAppend {
    /// The record's id.
    pub id: String,
    /// The record.
    pub data: String,
}

/// A record whose fate is not known yet.
#[derive(Debug)]
pub(super) struct FlightGroup {
    sequence: u64,
    entries: Vec<ClaimEntry>,
    append: GroupAppend,
    stage: FlightStage,
    landing: Landing,
}

/// Where a record is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum FlightStage {
    /// Its append has not ended.
    InAir,
    /// Its append failed; another try may follow.
    Resting,
}

impl ShardCoordinator {
    /// The next record to append, if one is due.
    pub fn next_append(&mut self, now: Instant) -> Option<GroupAppend> {
        if let Some(flight) = &self.flight {
            if flight.stage != FlightStage::Resting || now < self.appends_out.retry_at() {
                return None;
            }
            if self.is_flight_wanted() {
                return self.retry_flight();
            }
            self.abandon_flight(now);
        }
        if now < self.appends_out.retry_at() {
            return None;
        }
        self.drop_unwanted();
        match self.queue.time(now) {
            GroupTime::Now => Some(self.start_flight(now)),
            GroupTime::Never if self.fence_due => Some(self.start_flight(now)),
            GroupTime::At(_) | GroupTime::Never => None,
        }
    }

    /// When the coordinator wants to be called again, if nothing happens before.
    pub fn wake_at(&mut self, now: Instant) -> Instant {
        let idle = self.own.is_empty()
            && self.waiters.is_empty()
            && self.parked.is_empty()
            && self.knowns.is_empty()
            && self.barrier.is_none()
            && self.flight.is_none();
        let look = now + if idle { super::IDLE_LOOK } else { super::BUSY_LOOK };
        let free = self.flight.as_ref().is_none_or(|flight| flight.stage == FlightStage::Resting);
        let append_at = match self.queue.time(now) {
            GroupTime::Now if free => now,
            GroupTime::At(at) if free => at,
            _ => look,
        };
        look.min(append_at.max(self.appends_out.retry_at()))
    }

    /// The id of the record whose append has not ended. An append is of no more use once its record is no longer this one.
    pub fn append_in_air(&self) -> Option<&str> {
        let flight = self.flight.as_ref().filter(|flight| flight.stage == FlightStage::InAir)?;
        Some(&flight.append.id)
    }

    /// Takes in how the append of the record `id` ended.
    pub fn append_ended(&mut self, id: &str, result: Result<LogOffset, LogError>, now: Instant) {
        if self.append_in_air() != Some(id) {
            return;
        }
        match result {
            Ok(_) => {
                self.unfolded = Some((self.sequence, now));
                self.flight_landed();
            }
            Err(error) => self.flight_failed(error, now),
        }
    }

    /// Takes in that the fold has met the coordinator's own record. It may come before the append's answer, or in place of it.
    pub(super) fn flight_folded(&mut self, sequence: u64) {
        self.unfolded.take_if(|(landed, _)| *landed <= sequence);
        if self.flight.as_ref().is_some_and(|flight| flight.sequence <= sequence) {
            self.flight_landed();
        }
    }

    fn flight_landed(&mut self) {
        self.flight = None;
        self.fence_due = false;
        self.appends_out.end();
    }

    fn flight_failed(&mut self, error: LogError, now: Instant) {
        self.stats.appends_failed += 1;
        self.appends_out.failed(error, now);
        let Some(flight) = &mut self.flight else {
            return;
        };
        flight.stage = FlightStage::Resting;
        if error.landing() == Landing::Maybe {
            flight.landing = Landing::Maybe;
        }
        if flight.landing == Landing::Never {
            self.unwind_flight(now);
        }
    }

    fn start_flight(&mut self, now: Instant) -> GroupAppend {
        self.sequence += 1;
        let sequence = self.sequence;
        let entries = self.queue.take(now);
        for number in claim_numbers(&entries) {
            self.stats.claims_appended += 1;
            if let Some(claim) = self.own.get_mut(number) {
                claim.sequence = Some(sequence);
            }
        }
        let record = ClaimRecord {
            layout: RECORD_LAYOUT,
            claimer: self.me.clone(),
            sequence,
            memory: self.settings.memory,
            entries: entries.clone(),
        };
        let data = serde_json::to_string(&record).expect("a record is plain data");
        let append = GroupAppend {
            id: format!("{}.{}.{sequence}", self.me.host, self.me.incarnation),
            data,
        };
        self.count_append(&append);
        let flight = FlightGroup {
            sequence,
            entries,
            append: append.clone(),
            stage: FlightStage::InAir,
            landing: Landing::Never,
        };
        self.flight = Some(flight);
        append
    }

    fn count_append(&mut self, append: &GroupAppend) {
        self.stats.appends += 1;
        self.stats.append_bytes += append.data.len() as u64;
    }

    /// Sends the record again as it is. The fold counts equal ones once, so both may land.
    fn retry_flight(&mut self) -> Option<GroupAppend> {
        let flight = self.flight.as_mut()?;
        flight.stage = FlightStage::InAir;
        let append = flight.append.clone();
        self.count_append(&append);
        Some(append)
    }

    fn is_flight_wanted(&self) -> bool {
        let entries = self.flight.iter().flat_map(|flight| &flight.entries);
        claim_numbers(entries).any(|number| self.own.is_wanted(number))
    }

    /// Nobody waits for the record any more and it may land yet. Its claims stay known, to be released if they win; its other
    /// entries go again with a later record. That one, an empty one if need be, is a fence: its number makes this one void if
    /// it lands after it, so the claims are known to be dead once the fold has met the fence alone.
    fn abandon_flight(&mut self, now: Instant) {
        let Some(flight) = self.flight.take() else {
            return;
        };
        for entry in flight.entries {
            match entry {
                ClaimEntry::Claim(_) => self.fence_due = true,
                entry => self.queue.push_closing(entry, now),
            }
        }
    }

    /// The record certainly did not land: its entries go back to the queue, for a record with a new number.
    fn unwind_flight(&mut self, now: Instant) {
        let Some(flight) = self.flight.take() else {
            return;
        };
        for entry in flight.entries.into_iter().rev() {
            match entry {
                ClaimEntry::Claim(claim) => {
                    if let Some(own) = self.own.get_mut(claim.number) {
                        own.sequence = None;
                        self.queue.return_claim(claim);
                    }
                }
                entry => self.queue.push_closing(entry, now),
            }
        }
    }

    /// Claims whose caller has left go no further.
    fn drop_unwanted(&mut self) {
        for number in self.queue.claim_numbers() {
            if !self.own.is_wanted(number) {
                self.queue.remove_claim(number);
                self.own.remove(number);
            }
        }
    }
}

/// The numbers of the claims among the entries.
fn claim_numbers<'a>(
    entries: impl IntoIterator<Item = &'a ClaimEntry>,
) -> impl Iterator<Item = u64> {
    entries.into_iter().filter_map(|entry| match entry {
        ClaimEntry::Claim(claim) => Some(claim.number),
        _ => None,
    })
}
