//! The decisions of one shard's desk.

mod append_side;
mod read_side;
mod wait_side;

use std::time::Duration;

use fulmargate_names::Disposition;
use fulmargate_names::LogOffset;
use indexmap::IndexMap;
use tokio::sync::mpsc::UnboundedSender;
use tokio::sync::oneshot;
use tokio::time::Instant;

use crate::ClaimBook;
use crate::ClaimCall;
use crate::ClaimEntry;
use crate::ClaimKey;
use crate::ClaimOutcome;
use crate::ClaimRelease;
use crate::ClaimTicket;
use crate::ClaimVerdict;
use crate::ClaimerGone;
use crate::ClaimerId;
use crate::CutOffRule;
use crate::DeskCommand;
use crate::DeskSettings;
use crate::DeskStats;
use crate::KeyHash;
use crate::KeyView;
use crate::KnownCall;
use crate::KnownKey;
use crate::NewClaim;
use crate::RanPlace;
use crate::group_queue::GroupQueue;
use crate::log_outage::LogOutage;
use crate::own_claims::OwnClaim;
use crate::own_claims::OwnClaims;

use append_side::FlightGroup;
pub use append_side::GroupAppend;
use read_side::LogClock;
pub use read_side::PAGE_LEN;

/// How soon the desk looks again while somebody waits.
const BUSY_LOOK: Duration = Duration::from_millis(10);
/// How soon the desk looks again while nobody waits.
const IDLE_LOOK: Duration = Duration::from_secs(1);

/// How far the book has got.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BookPhase {
    /// It has not met the stream's end yet, so a key that it doesn't hold may be claimed all the same.
    Reading,
    /// It has met the stream's end, and follows it.
    Complete,
    /// It met a record of a later layout, and can judge no key from there on.
    Stopped,
}

/// An answer whose body lies in the log.
#[derive(Debug)]
pub struct OutcomeFetch {
    /// Where the outcome lies.
    pub place: RanPlace,
    /// The record.
    pub offset: LogOffset,
    /// Who waits for it.
    pub reply: oneshot::Sender<ClaimVerdict>,
}

/// The decisions of one shard's desk: what to append, what to answer, when to look again. It does no I/O; the driver brings it
/// commands, pages of the stream and the ends of appends, each with the time.
///
/// A claim is won when the fold has passed its own record, never by the answer to its append. So a lost answer changes nothing,
/// and two routers that claim one key see the same winner.
#[derive(Debug)]
pub struct ShardDesk {
    me: ClaimerId,
    settings: DeskSettings,
    commands: UnboundedSender<DeskCommand>,
    book: ClaimBook,
    phase: BookPhase,
    clock: LogClock,
    queue: GroupQueue,
    flight: Option<FlightGroup>,
    fence_due: bool,
    /// The latest record whose append was answered and that the fold has not met, and when it was last asked for.
    unfolded: Option<(u64, Instant)>,
    own: OwnClaims,
    waiters: IndexMap<KeyHash, Vec<ClaimCall>>,
    parked: Vec<ClaimCall>,
    knowns: Vec<KnownCall>,
    barrier: Option<Vec<KnownCall>>,
    fetches: Vec<OutcomeFetch>,
    appends_out: LogOutage,
    reads_out: LogOutage,
    sequence: u64,
    number: u64,
    complete_ms: u64,
    renew_check: Instant,
    /// How much later than others this router writes old claims anew, so that mostly one router does.
    stagger_ms: u64,
    stats: DeskStats,
}

impl ShardDesk {
    /// A desk that has read nothing yet. Tickets send what becomes of them to `commands`.
    pub fn new(
        me: ClaimerId,
        settings: DeskSettings,
        commands: UnboundedSender<DeskCommand>,
        now: Instant,
    ) -> ShardDesk {
        let seed = read_side::host_seed(&me);
        ShardDesk {
            book: ClaimBook::new(LogOffset(0)),
            phase: BookPhase::Reading,
            clock: LogClock::new(now),
            queue: GroupQueue::new(&settings, now),
            flight: None,
            fence_due: false,
            unfolded: None,
            own: OwnClaims::default(),
            waiters: IndexMap::new(),
            parked: Vec::new(),
            knowns: Vec::new(),
            barrier: None,
            fetches: Vec::new(),
            appends_out: LogOutage::new(seed, now),
            reads_out: LogOutage::new(seed, now),
            sequence: 0,
            number: 0,
            complete_ms: 0,
            renew_check: now,
            stagger_ms: seed % (settings.retention_ms / 4).max(1),
            stats: DeskStats::default(),
            me,
            settings,
            commands,
        }
    }

    /// The book.
    pub fn book(&self) -> &ClaimBook {
        &self.book
    }

    /// How far the book has got.
    pub fn phase(&self) -> BookPhase {
        self.phase
    }

    /// What the desk has done so far.
    pub fn stats(&self) -> &DeskStats {
        &self.stats
    }

    /// Whether everything that was handed to the desk is in the log.
    pub fn is_drained(&self) -> bool {
        self.flight.is_none() && self.queue.is_empty()
    }

    /// Sends what is in the queue without waiting for more.
    pub fn hurry(&mut self) {
        self.queue.hurry();
    }

    /// Takes a command in.
    pub fn command(&mut self, command: DeskCommand, now: Instant) {
        match command {
            DeskCommand::Claim(call) => self.claim(call, now),
            DeskCommand::Known(call) => self.knowns.push(call),
            DeskCommand::Outcome { key, number, outcome } => {
                self.close(key, ClaimEntry::Outcome(ClaimOutcome { key, number, outcome }), now);
            }
            DeskCommand::Release { key, number } => self.release(key, number, now),
            DeskCommand::ClaimerGone { host, incarnation } => {
                self.book.claimer_gone(&host, incarnation);
                self.decide_waiters(now);
            }
        }
    }

    /// Gives up waits that are over, and writes old claims anew. To be called when `wake_at` has come.
    pub fn tick(&mut self, now: Instant) {
        for number in self.own.overdue(now) {
            self.give_up(number, now);
        }
        self.expire_parked(now);
        self.expire_waiters(now);
        self.expire_knowns(now);
        self.renew_old(now);
    }

    fn claim(&mut self, call: ClaimCall, now: Instant) {
        self.stats.claims += 1;
        match self.phase {
            BookPhase::Reading => self.parked.push(call),
            BookPhase::Complete => self.decide(call, now),
            BookPhase::Stopped => answer(call.reply, ClaimVerdict::LogOut(Disposition::Unknown)),
        }
    }

    /// What a call comes to as the book stands: a verdict, a wait, or a claim.
    fn decide(&mut self, call: ClaimCall, now: Instant) {
        let key = call.key.hash;
        match self.book.view(key, call.print) {
            KeyView::Reused => answer(call.reply, ClaimVerdict::Reused),
            KeyView::Unknown => answer(call.reply, ClaimVerdict::Unknown),
            KeyView::Ran(place) => self.answer_ran(place, call.reply),
            KeyView::Pending { claimed_ms, claimer_gone } => {
                if self.is_lost(claimed_ms, claimer_gone, now) {
                    answer(call.reply, ClaimVerdict::Unknown);
                } else {
                    self.waiters.entry(key).or_default().push(call);
                }
            }
            KeyView::Free if self.own.of_key(key).is_some() => {
                self.waiters.entry(key).or_default().push(call);
            }
            KeyView::Free => self.start_claim(call, now),
        }
    }

    /// Whether no outcome will come: the claimer's process has ended, or has had all the time that a call may take.
    fn is_lost(&self, claimed_ms: u64, claimer_gone: ClaimerGone, now: Instant) -> bool {
        claimer_gone == ClaimerGone::Yes
            || claimed_ms + self.settings.pending_ms <= self.clock.log_ms(now)
    }

    fn start_claim(&mut self, call: ClaimCall, now: Instant) {
        if self.is_too_old(call.key.made_ms, now) {
            return answer(call.reply, ClaimVerdict::TooOld);
        }
        let patience = self.settings.append_patience;
        if self.appends_out.is_settled(patience, now) || self.reads_out.is_long(patience, now) {
            let said = self.said_when_cut_off(call.key, now);
            return answer(call.reply, ClaimVerdict::LogOut(said));
        }
        self.number += 1;
        let entry = NewClaim {
            key: call.key.hash,
            print: call.print,
            number: self.number,
            made_ms: call.key.made_ms,
        };
        let append_by = call.deadline.min(now + patience);
        self.queue.push_claim(entry.clone());
        self.own.insert(OwnClaim { entry, call: Some(call), append_by, sequence: None });
    }

    /// Whether the key is certainly too old: the log's clock is at least as late as the desk believes.
    fn is_too_old(&self, made_ms: Option<u64>, now: Instant) -> bool {
        let memory = &self.settings.memory;
        made_ms.is_some_and(|made_ms| made_ms + memory.remember_ms <= self.clock.log_ms(now))
    }

    /// What the book proves of a key, when it has met the stream's end. That it holds no claim of the key proves nothing if a
    /// claim may be forgotten, or may have gone from the log before the book was begun.
    fn known_by_book(&self, key: ClaimKey, now: Instant) -> KnownKey {
        if self.book.holds(key.hash) || self.own.of_key(key.hash).is_some() {
            return KnownKey::Claimed;
        }
        let ahead_ms = self.settings.memory.ahead_ms;
        let begun_too_late = key.made_ms.is_some_and(|made_ms| match self.book.whole_from_ms() {
            Some(0) => false,
            Some(whole_from_ms) => made_ms < whole_from_ms + ahead_ms,
            None => true,
        });
        if begun_too_late || self.is_too_old(key.made_ms, now) {
            KnownKey::TooOld
        } else {
            KnownKey::Free
        }
    }

    /// What can be said of a call that was not sent, without the log.
    fn said_when_cut_off(&self, key: ClaimKey, now: Instant) -> Disposition {
        let is_free =
            self.phase == BookPhase::Complete && self.known_by_book(key, now) == KnownKey::Free;
        if is_free && self.settings.cut_off == CutOffRule::CallOnly {
            Disposition::NotRun
        } else {
            Disposition::Unknown
        }
    }

    fn release(&mut self, key: KeyHash, number: u64, now: Instant) {
        self.stats.releases += 1;
        self.close(key, ClaimEntry::Release(ClaimRelease { key, number }), now);
    }

    fn close(&mut self, key: KeyHash, entry: ClaimEntry, now: Instant) {
        self.queue.push_closing(entry, now);
        if self.waiters.contains_key(&key) {
            self.queue.hurry();
        }
    }

    /// Hands a won claim to the caller it was made for; gives it back if that one has left. It is not handed to another try of
    /// the call: that one may have begun after others were told that the key is claimed, and would then win it unreleased.
    fn grant(&mut self, claim: OwnClaim, now: Instant) {
        let NewClaim { key, number, .. } = claim.entry;
        // A process that was frozen finds callers whose time is over: to send for them would be to send late.
        let waiting = claim.call.filter(|call| now < call.deadline && !call.reply.is_closed());
        let Some(call) = waiting else {
            return self.release(key, number, now);
        };
        self.stats.wins += 1;
        let expires = now + self.settings.ticket_life;
        let commands = self.commands.clone();
        let ticket = ClaimTicket::new(key, number, expires, self.settings.body_limit, commands);
        // A caller that left at this moment drops the ticket, which releases the claim.
        answer(call.reply, ClaimVerdict::Won(ticket));
    }

    fn answer_ran(&mut self, place: RanPlace, reply: oneshot::Sender<ClaimVerdict>) {
        match place.offset {
            Some(offset) => self.fetches.push(OutcomeFetch { place, offset, reply }),
            None => answer(reply, ClaimVerdict::Done(place.without_body())),
        }
    }

    /// The answers that the driver has to fetch from the log.
    pub fn take_fetches(&mut self) -> Vec<OutcomeFetch> {
        std::mem::take(&mut self.fetches)
    }
}

/// A caller that has left needs no answer.
fn answer(reply: oneshot::Sender<ClaimVerdict>, verdict: ClaimVerdict) {
    let _ = reply.send(verdict);
}
