//! Gossip: sends new records to neighbors.

use super::PeerCore;
use crate::MemberRecord;
use crate::PeerItem;
use crate::RecordKey;
use crate::RecordKind;
use crate::SpreadUrgency;
use crate::wire::PeerMessage;
use crate::wire::PeerRecord;
use crate::wire::encoded_len;

/// Bytes of the budget that gossip leaves for anti-entropy, so that lost updates are repaired
/// under load.
const ANTI_ENTROPY_RESERVE: usize = 4_096;
/// Bytes of the budget that lazy records leave for urgent ones.
const URGENT_RESERVE: usize = 16_384;
/// Urgent records are sent immediately only if no more than this many arrived since the last
/// round.
const MAX_IMMEDIATE_RECORDS: u32 = 8;

impl PeerCore {
    /// Sends queued records to a few random neighbors.
    pub(super) fn gossip_round(&mut self, now_ms: u64) {
        self.byte_budget.refill(now_ms);
        self.new_urgent = 0;
        let targets = self.neighbors.pick(self.pace.fanout, &mut self.rng);
        self.gossip_to(&targets, now_ms);
    }

    /// Sends urgent records to all neighbors without waiting for the next round. Under load they
    /// wait, so that many records share a frame and the byte budget holds.
    pub(super) fn gossip_urgent(&mut self, now_ms: u64) {
        let can_send_now = self.new_urgent <= MAX_IMMEDIATE_RECORDS
            && self.byte_budget.available() > self.pace.max_gossip_bytes;
        if self.new_urgent > 0 && can_send_now {
            let targets = self.neighbors.ids().to_vec();
            self.gossip_to(&targets, now_ms);
        }
    }

    fn gossip_to(&mut self, targets: &[u64], now_ms: u64) {
        if self.gossip_queue.len() == 0 && self.version_announcements_left == 0 {
            return;
        }
        for &id in targets {
            let Some(target) = self.members.get(id).filter(|record| record.is_present()).cloned()
            else {
                continue;
            };
            let records = self.select_records(&target, now_ms);
            if records.is_empty() && self.version_announcements_left == 0 {
                continue;
            }
            self.version_announcements_left = self.version_announcements_left.saturating_sub(1);
            self.send(target.address, PeerMessage::Update { records });
        }
    }

    fn select_records(&mut self, target: &MemberRecord, now_ms: u64) -> Vec<PeerRecord> {
        let urgent_limit =
            self.pace.max_gossip_bytes.min(self.byte_budget.available_above(ANTI_ENTROPY_RESERVE));
        let lazy_limit = urgent_limit.min(self.byte_budget.available_above(URGENT_RESERVE));
        let mut records = Vec::new();
        let mut bytes = 0;
        for key in self.gossip_queue.candidates(target.id()) {
            if !self.is_in_scope(key.kind, target) {
                continue;
            }
            let Some(record) = self.current_record(key, now_ms) else {
                self.gossip_queue.remove(key);
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
            self.gossip_queue.mark_sent(key, target.id());
            records.push(record);
        }
        records
    }

    /// The record under `key` with its current age or remaining TTL.
    pub(super) fn current_record(&self, key: RecordKey, now_ms: u64) -> Option<PeerRecord> {
        if key.kind == RecordKind::Member {
            return self.members.current_record(key.id, now_ms).map(PeerRecord::Member);
        }
        self.items.current_record(key, now_ms).map(PeerRecord::Item)
    }

    /// Publishes lazy items whose send interval has passed.
    pub(super) fn publish_due_items(&mut self, now_ms: u64) {
        let size = self.fleet_size();
        for item in self.paced_queue.take_due(size, now_ms) {
            let ttl_ms = item.kind().row().ttl_ms;
            match item.kind() {
                RecordKind::TeamUsage => self.publish_usage(item, ttl_ms, now_ms),
                _ => self.publish_record(item, ttl_ms, now_ms),
            }
        }
    }

    /// Republishes the configuration version of this host before its record expires.
    pub(super) fn republish_version(&mut self, now_ms: u64) {
        if self.config_version.0 == 0 || now_ms < self.next_version_refresh_ms {
            return;
        }
        self.next_version_refresh_ms = now_ms + RecordKind::ConfigInForce.row().ttl_ms / 2;
        let host = self.members.own().host.clone();
        self.paced_queue.push(PeerItem::ConfigInForce { host, version: self.config_version });
    }
}
