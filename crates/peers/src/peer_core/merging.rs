//! Merging of records received from peers, and publishing of own records.

use fulmargate_names::ConfigVersion;

use super::Participation;
use super::PeerCore;
use crate::IncarnationEndReason;
use crate::ItemRecord;
use crate::MemberRecord;
use crate::MemberState;
use crate::PeerItem;
use crate::PeerNews;
use crate::RecordKind;
use crate::SpreadScope;
use crate::SpreadUrgency;
use crate::peer_pace::LAZY_SENDS;
use crate::peer_pace::URGENT_SENDS;
use crate::state::item_table::ItemMergeResult;
use crate::state::member_table::MemberMergeResult;
use crate::wire::PeerRecord;

/// Interval at which a peer with a newer configuration is reported again, in case an earlier fetch
/// failed.
const REPORT_AHEAD_INTERVAL_MS: u64 = 1_000;

impl PeerCore {
    /// Merges the record of the sender. Returns false if its frames must be ignored.
    pub(super) fn accept_sender(&mut self, from: &MemberRecord, now_ms: u64) -> bool {
        if from.host == self.members.own().host {
            self.merge_member(from, from, now_ms);
            return false;
        }
        let stored = self.members.get(from.id()).map(|stored| stored.incarnation);
        match stored {
            Some(incarnation) if incarnation > from.incarnation => {
                // The sender was superseded by a newer incarnation; the newer record tells it to
                // stop.
                self.send_member(from.address, from.id(), now_ms);
                false
            }
            Some(incarnation) if incarnation == from.incarnation => true,
            _ => {
                self.merge_member(from, from, now_ms);
                true
            }
        }
    }

    pub(super) fn merge_records(
        &mut self,
        from: &MemberRecord,
        records: Vec<PeerRecord>,
        now_ms: u64,
    ) {
        for record in records {
            if self.participation != Participation::Active {
                return;
            }
            match record {
                PeerRecord::Member(member) => self.merge_member(from, &member, now_ms),
                PeerRecord::Item(item) => self.merge_item(from, item, now_ms),
            }
        }
    }

    fn merge_member(&mut self, from: &MemberRecord, record: &MemberRecord, now_ms: u64) {
        let (id, key, heartbeat) = (record.id(), record.key(), record.heartbeat);
        let suspicion_ms = self.pace.suspicion_ms(self.members.present_count());
        match self.members.merge(record.clone(), now_ms, suspicion_ms) {
            MemberMergeResult::Accepted { previous } => {
                self.enqueue_member(id, Some(from.id()));
                if !self.neighbors.is_full() {
                    self.neighbors.refresh(&self.members, &mut self.rng);
                }
                self.notify_member_change(id, previous.as_ref());
            }
            MemberMergeResult::Known => self.gossip_queue.mark_known_by(key, from.id()),
            MemberMergeResult::Stale => {}
            MemberMergeResult::Unconfirmed => self.verify_gone_report(record),
            MemberMergeResult::Accused => {
                self.refute(heartbeat);
                self.send_member(from.address, id, now_ms);
            }
            MemberMergeResult::Superseded { by } => {
                self.participation = Participation::Superseded;
                self.notify(PeerNews::Superseded { by });
            }
        }
    }

    fn notify_member_change(&mut self, id: u64, previous: Option<&MemberRecord>) {
        let Some(member) = self.members.get(id).cloned() else {
            return;
        };
        let (host, incarnation) = (member.host.clone(), member.incarnation);
        let replaced = previous.filter(|previous| previous.incarnation < incarnation);
        let superseded =
            replaced.map(|previous| (previous.incarnation, IncarnationEndReason::Replaced));
        let is_unchanged = previous.is_some_and(|previous| {
            previous.incarnation == incarnation
                && previous.state == member.state
                && previous.address == member.address
        });
        let left = (member.state == MemberState::Left)
            .then_some((incarnation, IncarnationEndReason::Left));
        if !is_unchanged {
            self.notify(PeerNews::Member { member });
        }
        for (incarnation, reason) in superseded.into_iter().chain(left) {
            self.notify(PeerNews::IncarnationOver { host: host.clone(), incarnation, reason });
        }
    }

    fn merge_item(&mut self, from: &MemberRecord, record: ItemRecord, now_ms: u64) {
        let key = record.item.key();
        match self.items.merge(record.clone(), now_ms) {
            ItemMergeResult::Accepted => {
                self.enqueue_item(&record.item, Some(from.id()));
                self.notify(PeerNews::Item { record });
            }
            ItemMergeResult::Known => self.gossip_queue.mark_known_by(key, from.id()),
            ItemMergeResult::Stale => {}
            ItemMergeResult::Combined(item) => {
                let ttl_ms = record.remaining_ms;
                self.publish_record(item, ttl_ms, now_ms);
                self.items
                    .current_record(key, now_ms)
                    .into_iter()
                    .for_each(|record| self.notify(PeerNews::Item { record }));
            }
        }
    }

    /// Merges an item of this host into the table and queues it for gossip.
    pub(super) fn publish_record(&mut self, item: PeerItem, ttl_ms: u64, now_ms: u64) {
        if self.items.is_recently_published(&item, ttl_ms, now_ms) {
            return;
        }
        self.sequence += 1;
        let own = self.members.own();
        let record = ItemRecord {
            origin: own.host.clone(),
            incarnation: own.incarnation,
            sequence: self.sequence,
            order: self.items.next_order(&item),
            remaining_ms: ttl_ms,
            item,
        };
        if self.items.merge(record.clone(), now_ms) == ItemMergeResult::Accepted {
            self.enqueue_item(&record.item, None);
            if record.item.kind() == RecordKind::ZoneUsage {
                self.notify(PeerNews::Item { record });
            }
        }
    }

    pub(super) fn enqueue_member(&mut self, id: u64, received_from: Option<u64>) {
        if let Some(record) = self.members.get(id) {
            self.gossip_queue.push(record.key(), URGENT_SENDS, received_from, self.latest_ms);
            self.new_urgent += 1;
        }
    }

    fn enqueue_item(&mut self, item: &PeerItem, received_from: Option<u64>) {
        let row = item.kind().row();
        if row.scope == SpreadScope::Aggregator {
            return;
        }
        match row.urgency {
            SpreadUrgency::Urgent => {
                self.gossip_queue.push(item.key(), URGENT_SENDS, received_from, self.latest_ms);
                self.new_urgent += 1;
            }
            SpreadUrgency::Lazy => {
                self.gossip_queue.push(item.key(), LAZY_SENDS, received_from, self.latest_ms);
            }
        }
    }

    /// Reports a peer with a newer configuration, repeatedly while this host is behind.
    pub(super) fn check_config_version(
        &mut self,
        from: &MemberRecord,
        config_version: ConfigVersion,
        now_ms: u64,
    ) {
        let (reported, reported_ms) = self.reported_ahead;
        let is_due = config_version > reported || now_ms >= reported_ms + REPORT_AHEAD_INTERVAL_MS;
        if config_version > self.config_version && is_due {
            self.reported_ahead = (config_version, now_ms);
            self.notify(PeerNews::ConfigAhead { host: from.host.clone(), version: config_version });
        }
    }

    /// Raises the version in force. The next frames announce it, even if they carry no records.
    pub(super) fn advance_version(&mut self, version: ConfigVersion) {
        if version > self.config_version {
            self.config_version = version;
            self.version_announcements_left = URGENT_SENDS;
            self.new_urgent += 1;
        }
    }
}
