//! The decisions of one shard's coordinator.

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

use crate::ClaimCall;
use crate::ClaimEntry;
use crate::ClaimKey;
use crate::ClaimOutcome;
use crate::ClaimRelease;
use crate::ClaimTable;
use crate::ClaimTicket;
use crate::ClaimVerdict;
use crate::ClaimerGone;
use crate::ClaimerId;
use crate::CutOffRule;
use crate::KeyHash;
use crate::KeyView;
use crate::KnownCall;
use crate::KnownKey;
use crate::LedgerCommand;
use crate::LedgerSettings;
use crate::LedgerStats;
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

/// Poll interval while calls wait.
const BUSY_LOOK: Duration = Duration::from_millis(10);
/// Poll interval while no call waits.
const IDLE_LOOK: Duration = Duration::from_secs(1);

/// Progress of the table in its stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TablePhase {
    /// It has not reached the stream's end yet, so a key that it doesn't hold may be claimed.
    Reading,
    /// It has reached the stream's end and follows it.
    Complete,
    /// It read a record of a later layout and cannot decide on any key from there on.
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

/// The decisions for one shard: what to append, what to answer, when to poll again. It does no I/O; the driver passes it
/// commands, pages of the stream and the results of appends, each with the time.
///
/// A claim is won when the fold has passed its own record, never by the answer to its append. So a lost answer changes nothing,
/// and two routers that claim one key see the same winner.
#[derive(Debug)]
pub struct ShardCoordinator {
    me: ClaimerId,
    settings: LedgerSettings,
    commands: UnboundedSender<LedgerCommand>,
    table: ClaimTable,
    phase: TablePhase,
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
    /// Delay of this router's renewals, different for each router, so that mostly one of them renews.
    stagger_ms: u64,
    stats: LedgerStats,
}

impl ShardCoordinator {
    /// Creates a coordinator that has read nothing yet. Tickets report their outcomes to `commands`.
    pub fn new(
        me: ClaimerId,
        settings: LedgerSettings,
        commands: UnboundedSender<LedgerCommand>,
        now: Instant,
    ) -> ShardCoordinator {
        let seed = read_side::host_seed(&me);
        ShardCoordinator {
            table: ClaimTable::new(LogOffset(0)),
            phase: TablePhase::Reading,
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
            stats: LedgerStats::default(),
            me,
            settings,
            commands,
        }
    }

    /// The table.
    pub fn table(&self) -> &ClaimTable {
        &self.table
    }

    /// Progress of the table in its stream.
    pub fn phase(&self) -> TablePhase {
        self.phase
    }

    /// Counters since the start.
    pub fn stats(&self) -> &LedgerStats {
        &self.stats
    }

    /// Whether all submitted commands are in the log.
    pub fn is_drained(&self) -> bool {
        self.flight.is_none() && self.queue.is_empty()
    }

    /// Sends what is in the queue without waiting for more.
    pub fn hurry(&mut self) {
        self.queue.hurry();
    }

    /// Handles a command.
    pub fn command(&mut self, command: LedgerCommand, now: Instant) {
        match command {
            LedgerCommand::Claim(call) => self.claim(call, now),
            LedgerCommand::Known(call) => self.knowns.push(call),
            LedgerCommand::Outcome { key, number, outcome } => {
                self.close(key, ClaimEntry::Outcome(ClaimOutcome { key, number, outcome }), now);
            }
            LedgerCommand::Release { key, number } => self.release(key, number, now),
            LedgerCommand::ClaimerGone { host, incarnation } => {
                self.table.claimer_gone(&host, incarnation);
                self.decide_waiters(now);
            }
        }
    }

    /// Ends expired waits and renews old claims. Must be called at `wake_at`.
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
            TablePhase::Reading => self.parked.push(call),
            TablePhase::Complete => self.decide(call, now),
            TablePhase::Stopped => answer(call.reply, ClaimVerdict::LogOut(Disposition::Unknown)),
        }
    }

    /// Decides a call by the table: a verdict, a wait, or a claim.
    fn decide(&mut self, call: ClaimCall, now: Instant) {
        let key = call.key.hash;
        match self.table.view(key, call.print) {
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

    /// Whether the key is certainly too old: the log's clock is at least as late as the coordinator's estimate.
    fn is_too_old(&self, made_ms: Option<u64>, now: Instant) -> bool {
        let memory = &self.settings.memory;
        made_ms.is_some_and(|made_ms| made_ms + memory.remember_ms <= self.clock.log_ms(now))
    }

    /// What the table proves of a key, when it has met the stream's end. That it holds no claim of the key proves nothing if a
    /// claim may be forgotten, or may have gone from the log before the table was begun.
    fn known_by_book(&self, key: ClaimKey, now: Instant) -> KnownKey {
        if self.table.holds(key.hash) || self.own.of_key(key.hash).is_some() {
            return KnownKey::Claimed;
        }
        let ahead_ms = self.settings.memory.ahead_ms;
        let begun_too_late = key.made_ms.is_some_and(|made_ms| match self.table.whole_from_ms() {
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

    /// The disposition of a call that was not sent, without the log.
    fn said_when_cut_off(&self, key: ClaimKey, now: Instant) -> Disposition {
        let is_free =
            self.phase == TablePhase::Complete && self.known_by_book(key, now) == KnownKey::Free;
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

    /// Passes a won claim to the caller it was made for; releases it if that caller has disconnected. It is not handed to another try of
    /// the call: that one may have begun after other callers got `busy` for the key, and would then win it unreleased.
    fn grant(&mut self, claim: OwnClaim, now: Instant) {
        let NewClaim { key, number, .. } = claim.entry;
        // After a freeze, callers' deadlines may have passed; their calls must not be sent late.
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

/// Answers a call unless its caller has disconnected.
fn answer(reply: oneshot::Sender<ClaimVerdict>, verdict: ClaimVerdict) {
    let _ = reply.send(verdict);
}
