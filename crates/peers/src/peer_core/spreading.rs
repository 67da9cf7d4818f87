//! Handing news on.

use super::PeerCore;
use crate::MemberRecord;
use crate::PeerItem;
use crate::RecordKey;
use crate::RecordKind;
use crate::SpreadUrgency;
use crate::wire::PeerMessage;
use crate::wire::PeerRecord;
use crate::wire::encoded_len;

/// What news leaves of the allowance for comparing, without which a flood would hide what was lost.
const COMPARE_RESERVE: usize = 4_096;
/// What lazy records leave of the allowance, so that urgent ones need not wait for it.
const URGENT_RESERVE: usize = 16_384;
/// Urgent records that may be new between two rounds for them to be sent at once.
const QUIET_RECORDS: u32 = 8;

impl PeerCore {
    /// One round: the newest records to a few neighbours.
    pub(super) fn spread(&mut self, now_ms: u64) {
        self.allowance.refill(now_ms);
        self.fresh_urgent = 0;
        let targets = self.neighbors.pick(self.pace.fanout, &mut self.rng);
        self.spread_to(&targets, now_ms);
    }

    /// In quiet times urgent news goes to all neighbours at once, so that it crosses the fleet in a
    /// few round trips. When much is new it waits for the next rounds, where many records share a
    /// frame and the allowance holds.
    pub(super) fn spread_at_once(&mut self, now_ms: u64) {
        let is_quiet =
            self.fresh_urgent <= QUIET_RECORDS && self.allowance.left() > self.pace.frame_bytes;
        if self.fresh_urgent > 0 && is_quiet {
            let targets = self.neighbors.ids().to_vec();
            self.spread_to(&targets, now_ms);
        }
    }

    fn spread_to(&mut self, targets: &[u64], now_ms: u64) {
        if self.rumors.len() == 0 && self.nudges_left == 0 {
            return;
        }
        for &id in targets {
            let Some(target) = self.members.get(id).filter(|record| record.is_present()).cloned()
            else {
                continue;
            };
            let records = self.pack(&target, now_ms);
            if records.is_empty() && self.nudges_left == 0 {
                continue;
            }
            self.nudges_left = self.nudges_left.saturating_sub(1);
            self.send(target.address, PeerMessage::Update { records });
        }
    }

    fn pack(&mut self, target: &MemberRecord, now_ms: u64) -> Vec<PeerRecord> {
        let urgent_limit = self.pace.frame_bytes.min(self.allowance.left_beyond(COMPARE_RESERVE));
        let lazy_limit = urgent_limit.min(self.allowance.left_beyond(URGENT_RESERVE));
        let mut records = Vec::new();
        let mut bytes = 0;
        for key in self.rumors.candidates(target.id()) {
            if !self.is_for(key.kind, target) {
                continue;
            }
            let Some(record) = self.aged(key, now_ms) else {
                self.rumors.remove(key);
                continue;
            };
            let length = encoded_len(&record);
            let limit = match key.kind.row().urgency {
                SpreadUrgency::Urgent => urgent_limit,
                SpreadUrgency::Lazy => lazy_limit,
            };
            if bytes + length > limit {
                continue;
            }
            bytes += length;
            self.rumors.sent(key, target.id());
            records.push(record);
        }
        records
    }

    /// A record as it is to be sent now.
    pub(super) fn aged(&self, key: RecordKey, now_ms: u64) -> Option<PeerRecord> {
        if key.kind == RecordKind::Member {
            return self.members.aged(key.id, now_ms).map(PeerRecord::Member);
        }
        self.items.aged(key, now_ms).map(PeerRecord::Item)
    }

    /// Lazy items whose turn has come.
    pub(super) fn put_due_items(&mut self, now_ms: u64) {
        let size = self.size();
        for item in self.lazy.take_due(size, now_ms) {
            let ttl_ms = item.kind().row().ttl_ms;
            match item.kind() {
                RecordKind::TeamUsage => self.put_usage(item, ttl_ms, now_ms),
                _ => self.put_now(item, ttl_ms, now_ms),
            }
        }
    }

    /// A host's version is told again long before its record expires.
    pub(super) fn refresh_in_force(&mut self, now_ms: u64) {
        if self.in_force.0 == 0 || now_ms < self.refresh_ms {
            return;
        }
        self.refresh_ms = now_ms + RecordKind::ConfigInForce.row().ttl_ms / 2;
        let host = self.members.own().host.clone();
        self.lazy.push(PeerItem::ConfigInForce { host, version: self.in_force });
    }
}
