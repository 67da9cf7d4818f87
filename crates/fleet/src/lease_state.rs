//! A candidate's side of a lease: when it holds it, and when it appends.

use std::time::Duration;
use std::time::Instant;

use fulmargate_names::ConfigVersion;
use fulmargate_names::FencingNumber;
use fulmargate_names::LogOffset;
use indexmap::IndexMap;

use crate::HeldLease;
use crate::LeaseChange;
use crate::LeaseFold;
use crate::LeaseHolder;
use crate::LeaseRecord;

/// The times of a lease.
#[derive(Clone, Copy, Debug)]
pub struct LeasePace {
    /// How long a lease lasts from its last record on.
    pub ttl: Duration,
    /// The holder counts so much less: for clocks that run unequally fast.
    pub margin: Duration,
    /// Candidates try one after the other, so far apart.
    pub stagger: Duration,
    /// How long an order of the holder before may still take effect.
    pub wait_out: Duration,
}

impl Default for LeasePace {
    fn default() -> LeasePace {
        LeasePace {
            ttl: Duration::from_secs(6),
            margin: Duration::from_millis(500),
            stagger: Duration::from_secs(1),
            wait_out: Duration::from_secs(3),
        }
    }
}

/// A lease that this process holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OwnLease {
    /// The number that goes with each order.
    pub fence: FencingNumber,
    /// The configuration that the lease's last record names.
    pub config: ConfigVersion,
    /// No order goes out from here on.
    pub until: Instant,
    /// No order goes out before: orders of the holder before may still come late.
    pub acts_from: Instant,
    renew_at: Instant,
}

/// What is known of a record that this process sent.
#[derive(Clone, Copy, Debug)]
struct SentRecord {
    at: Instant,
    config: ConfigVersion,
}

/// A candidate's side of a lease. Whether its records won is read from the stream alone, so that a
/// lost answer to an append needs no care of its own.
#[derive(Clone, Debug)]
pub struct LeaseState {
    me: LeaseHolder,
    pace: LeasePace,
    fold: LeaseFold,
    own: Option<OwnLease>,
    sent: IndexMap<String, SentRecord>,
    count: u64,
    /// When the last record that gave or prolonged a lease was read here.
    seen_at: Option<Instant>,
    /// Since when nobody holds the lease, as far as is known.
    free_since: Option<Instant>,
    next_try: Option<Instant>,
}

impl LeaseState {
    /// A candidate that knows nothing of the stream yet.
    pub fn new(me: LeaseHolder, pace: LeasePace) -> LeaseState {
        LeaseState {
            me,
            pace,
            fold: LeaseFold::default(),
            own: None,
            sent: IndexMap::new(),
            count: 0,
            seen_at: None,
            free_since: None,
            next_try: None,
        }
    }

    /// Where to read on.
    pub fn next(&self) -> LogOffset {
        self.fold.next()
    }

    /// Who holds the lease by the records read.
    pub fn held(&self) -> Option<&HeldLease> {
        self.fold.held()
    }

    /// The lease, while this process may act on it. To be asked right before each order.
    pub fn lease(&self, now: Instant) -> Option<OwnLease> {
        self.own.filter(|own| now < own.until)
    }

    /// Whether the lease's stream knows of no newer configuration than this.
    pub fn is_newest(&self, config: ConfigVersion) -> bool {
        self.fold.config() <= config
    }

    /// An engine has met a higher number: the lease is lost, whatever the clock says.
    pub fn lose(&mut self, fence: FencingNumber) {
        self.own = self.own.filter(|own| own.fence != fence);
    }

    /// Takes in a record of the stream.
    pub fn apply(&mut self, offset: LogOffset, time_ms: u64, id: &str, data: &str, now: Instant) {
        let change = self.fold.apply(offset, time_ms, data);
        match change {
            LeaseChange::Void => return,
            LeaseChange::GivenUp => {
                self.own = None;
                self.seen_at = None;
                return;
            }
            LeaseChange::Taken | LeaseChange::Renewed | LeaseChange::Unjudged => {
                self.seen_at = Some(now);
                self.free_since = None;
            }
        }
        let Some(held) = self.fold.held().filter(|_| change != LeaseChange::Unjudged) else {
            return;
        };
        let fence = held.fence;
        let sent = self.sent.swap_remove(id).filter(|_| held.holder == self.me);
        let Some(SentRecord { at, config }) = sent else {
            self.own = self.own.filter(|own| own.fence == fence);
            return;
        };
        // Counted from before the append was sent: the log's own count begins later, so that the
        // next holder's take is not valid before this ends here.
        let until = at + self.pace.ttl - self.pace.margin;
        let kept = self.own.filter(|own| own.fence == fence);
        let acts_from = kept.map_or(now + self.pace.wait_out, |own| own.acts_from);
        let renew_at = at + self.pace.ttl / 3;
        self.own = Some(OwnLease { fence, config, until, acts_from, renew_at });
    }

    /// The record to append now, with its id, if one is due. The stream was read to its end.
    pub fn due(
        &mut self,
        rank: usize,
        config: ConfigVersion,
        now: Instant,
    ) -> Option<(String, LeaseRecord)> {
        let holder = self.me.clone();
        let ttl_ms = self.pace.ttl.as_millis() as u64;
        let record = match self.lease(now) {
            Some(own) if now < own.renew_at && config <= own.config => return None,
            Some(own) => LeaseRecord::Renew { holder, fence: own.fence, ttl_ms, config },
            None if now < self.take_at(rank, now) => return None,
            None => LeaseRecord::Take { holder, ttl_ms, config },
        };
        if self.next_try.is_some_and(|next| now < next) {
            return None;
        }
        self.next_try = Some(now + self.pace.margin);
        Some((self.note_sent(now, config), record))
    }

    /// The record that ends the lease before its time, if it is held; nothing is sent after it.
    pub fn give_up(&mut self, now: Instant) -> Option<(String, LeaseRecord)> {
        let own = self.lease(now)?;
        self.own = None;
        self.count += 1;
        let id = format!("{}-{}-{}", self.me.host, self.me.incarnation, self.count);
        Some((id, LeaseRecord::GiveUp { holder: self.me.clone(), fence: own.fence }))
    }

    /// A take before the lease has run out is void by the fold; waiting only spares appends.
    fn take_at(&mut self, rank: usize, now: Instant) -> Instant {
        let stagger = self.pace.stagger * rank as u32;
        let Some(seen) = self.seen_at else {
            return *self.free_since.get_or_insert(now) + stagger;
        };
        let ttl = self.fold.held().map(|held| Duration::from_millis(held.ttl_ms));
        seen + ttl.unwrap_or(self.pace.ttl) + self.pace.margin + stagger
    }

    fn note_sent(&mut self, now: Instant, config: ConfigVersion) -> String {
        self.count += 1;
        let id = format!("{}-{}-{}", self.me.host, self.me.incarnation, self.count);
        self.sent.insert(id.clone(), SentRecord { at: now, config });
        let longest = self.pace.ttl;
        self.sent.retain(|_, sent| now.saturating_duration_since(sent.at) <= longest);
        id
    }
}
