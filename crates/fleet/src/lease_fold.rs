//! Who holds a zone's lease, as a fold over the stream.

use fulmargate_names::ConfigVersion;
use fulmargate_names::FencingNumber;
use fulmargate_names::LogOffset;

use crate::LeaseHolder;
use crate::LeaseRecord;

/// No lease is taken in for longer than this, whatever its record says.
pub const LONGEST_TTL_MS: u64 = 30_000;

/// A lease that was in force at the last record read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HeldLease {
    /// Who holds it.
    pub holder: LeaseHolder,
    /// The offset of the take that won it, plus one: no two leases of a stream have the same.
    pub fence: FencingNumber,
    /// How long it lasts from its last record on.
    pub ttl_ms: u64,
    /// When it runs out by the log's clock.
    pub until_ms: u64,
}

/// What a record did.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LeaseChange {
    /// Its writer holds the lease from here on.
    Taken,
    /// The lease lasts longer.
    Renewed,
    /// The lease is over.
    GivenUp,
    /// Nothing: a take that lost, a renewal that came late, or what cannot be read.
    Void,
    /// A take that may have won: what held the lease before may be lost to retention.
    Unjudged,
}

/// The fold. The log has no compare-and-set: of two takes the one with the lower offset wins, and
/// each reader reaches the same verdict from the offsets and the log's own times.
#[derive(Clone, Debug, Default)]
pub struct LeaseFold {
    held: Option<HeldLease>,
    config: ConfigVersion,
    next: LogOffset,
    gap: Option<ReadGap>,
}

/// What was lost to retention may have held the lease.
#[derive(Clone, Copy, Debug)]
struct ReadGap {
    /// Takes up to this log time are not judged here: their winners show by renewing.
    judge_from_ms: u64,
    /// The first offset at which takes were judged; set once there is one.
    judged: Option<LogOffset>,
    /// A take that was not judged may be in force until then.
    blocked_until_ms: u64,
}

impl LeaseFold {
    /// The lease at the last record read; it may have run out since.
    pub fn held(&self) -> Option<&HeldLease> {
        self.held.as_ref()
    }

    /// The newest configuration that any holder has named.
    pub fn config(&self) -> ConfigVersion {
        self.config
    }

    /// Where to read on.
    pub fn next(&self) -> LogOffset {
        self.next
    }

    /// Takes in a record of the stream. Records before `next` were taken in already.
    pub fn apply(&mut self, offset: LogOffset, time_ms: u64, data: &str) -> LeaseChange {
        if offset < self.next {
            return LeaseChange::Void;
        }
        if self.next < offset {
            self.note_gap(time_ms);
        }
        self.next = LogOffset(offset.0 + 1);
        match LeaseRecord::parse(data) {
            Some(LeaseRecord::Take { holder, ttl_ms, config }) => {
                self.take(offset, time_ms, holder, ttl_ms.min(LONGEST_TTL_MS), config)
            }
            Some(LeaseRecord::Renew { holder, fence, ttl_ms, config }) => {
                let until_ms = time_ms + ttl_ms.min(LONGEST_TTL_MS);
                self.renew(time_ms, HeldLease { holder, fence, ttl_ms, until_ms }, config)
            }
            Some(LeaseRecord::GiveUp { holder, fence }) => self.give_up(&holder, fence),
            None => LeaseChange::Void,
        }
    }

    fn take(
        &mut self,
        offset: LogOffset,
        time_ms: u64,
        holder: LeaseHolder,
        ttl_ms: u64,
        config: ConfigVersion,
    ) -> LeaseChange {
        let until_ms = time_ms + ttl_ms;
        // A reader that came late would else take a loser for the holder: the symptom is two
        // holders at once. Waiting out what may be in force is enough, for a winner renews.
        if let Some(gap) = &mut self.gap
            && gap.judged.is_none()
            && time_ms <= gap.judge_from_ms.max(gap.blocked_until_ms)
        {
            gap.blocked_until_ms = gap.blocked_until_ms.max(until_ms);
            return LeaseChange::Unjudged;
        }
        if self.held.as_ref().is_some_and(|held| time_ms <= held.until_ms) {
            return LeaseChange::Void;
        }
        if let Some(gap) = &mut self.gap {
            gap.judged.get_or_insert(offset);
        }
        let fence = FencingNumber(offset.0 + 1);
        self.held = Some(HeldLease { holder, fence, ttl_ms, until_ms });
        self.config = self.config.max(config);
        LeaseChange::Taken
    }

    fn renew(&mut self, time_ms: u64, next: HeldLease, config: ConfigVersion) -> LeaseChange {
        let is_own = self.held.as_ref().is_some_and(|held| {
            held.fence == next.fence && held.holder == next.holder && time_ms <= held.until_ms
        });
        if !is_own && !self.shows_unjudged(&next) {
            return LeaseChange::Void;
        }
        self.config = self.config.max(config);
        self.held = Some(next);
        LeaseChange::Renewed
    }

    /// Whether a renewal shows the winner of a take that was not judged here.
    fn shows_unjudged(&self, next: &HeldLease) -> bool {
        let Some(gap) = &self.gap else { return false };
        let is_newer = self.held.as_ref().is_none_or(|held| held.fence < next.fence);
        is_newer && gap.judged.is_none_or(|judged| next.fence.0 <= judged.0)
    }

    fn give_up(&mut self, holder: &LeaseHolder, fence: FencingNumber) -> LeaseChange {
        if !self.held.as_ref().is_some_and(|held| held.fence == fence && held.holder == *holder) {
            return LeaseChange::Void;
        }
        self.held = None;
        LeaseChange::GivenUp
    }

    fn note_gap(&mut self, time_ms: u64) {
        self.held = None;
        let judge_from_ms = time_ms + LONGEST_TTL_MS;
        self.gap = Some(ReadGap { judge_from_ms, judged: None, blocked_until_ms: 0 });
    }
}
