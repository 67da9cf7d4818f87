//! Taking in what other hosts say.

use fulmargate_names::ConfigVersion;

use super::PeerCore;
use super::Standing;
use crate::ItemRecord;
use crate::MemberRecord;
use crate::MemberState;
use crate::OverCause;
use crate::PeerItem;
use crate::PeerNews;
use crate::RecordKind;
use crate::SpreadScope;
use crate::SpreadUrgency;
use crate::peer_pace::LAZY_SENDS;
use crate::peer_pace::URGENT_SENDS;
use crate::state::item_table::ItemMerge;
use crate::state::member_table::MemberMerge;
use crate::wire::PeerRecord;

/// A peer that is ahead is named again after this time, in case the first question failed.
const AHEAD_AGAIN_MS: u64 = 1_000;

impl PeerCore {
    /// Takes note of who speaks; false when it is not to be listened to.
    pub(super) fn meet(&mut self, from: &MemberRecord, now_ms: u64) -> bool {
        if from.host == self.members.own().host {
            self.take_member(from, from, now_ms);
            return false;
        }
        let held = self.members.get(from.id()).map(|held| held.incarnation);
        match held {
            Some(incarnation) if incarnation > from.incarnation => {
                // A process that was frozen while another took its name: it learns that from this.
                self.tell_record(from.address, from.id(), now_ms);
                false
            }
            Some(incarnation) if incarnation == from.incarnation => true,
            _ => {
                self.take_member(from, from, now_ms);
                true
            }
        }
    }

    pub(super) fn take_records(
        &mut self,
        from: &MemberRecord,
        records: Vec<PeerRecord>,
        now_ms: u64,
    ) {
        for record in records {
            if self.standing != Standing::Taking {
                return;
            }
            match record {
                PeerRecord::Member(member) => self.take_member(from, &member, now_ms),
                PeerRecord::Item(item) => self.take_item(from, item, now_ms),
            }
        }
    }

    fn take_member(&mut self, from: &MemberRecord, record: &MemberRecord, now_ms: u64) {
        let (id, key, heartbeat) = (record.id(), record.key(), record.heartbeat);
        let suspicion_ms = self.pace.suspicion_ms(self.members.present());
        match self.members.merge(record.clone(), now_ms, suspicion_ms) {
            MemberMerge::Accepted { previous } => {
                self.rumor_member(id, Some(from.id()));
                if !self.neighbors.is_full() {
                    self.neighbors.refresh(&self.members, &mut self.rng);
                }
                self.tell_member_news(id, previous.as_ref());
            }
            MemberMerge::Known => self.rumors.heard_again(key, from.id()),
            MemberMerge::Stale => {}
            MemberMerge::Doubted => self.doubt(record),
            MemberMerge::Accused => {
                self.refute(heartbeat);
                self.tell_record(from.address, id, now_ms);
            }
            MemberMerge::Superseded { by } => {
                self.standing = Standing::Superseded;
                self.news(PeerNews::Superseded { by });
            }
        }
    }

    fn tell_member_news(&mut self, id: u64, previous: Option<&MemberRecord>) {
        let Some(member) = self.members.get(id).cloned() else {
            return;
        };
        let (host, incarnation) = (member.host.clone(), member.incarnation);
        let replaced = previous.filter(|previous| previous.incarnation < incarnation);
        let over = replaced.map(|previous| (previous.incarnation, OverCause::Replaced));
        let is_same = previous.is_some_and(|previous| {
            previous.incarnation == incarnation
                && previous.state == member.state
                && previous.address == member.address
        });
        let left = (member.state == MemberState::Left).then_some((incarnation, OverCause::Left));
        if !is_same {
            self.news(PeerNews::Member { member });
        }
        for (incarnation, cause) in over.into_iter().chain(left) {
            self.news(PeerNews::IncarnationOver { host: host.clone(), incarnation, cause });
        }
    }

    fn take_item(&mut self, from: &MemberRecord, record: ItemRecord, now_ms: u64) {
        let key = record.item.key();
        match self.items.merge(record.clone(), now_ms) {
            ItemMerge::Accepted => {
                self.rumor_item(&record.item, Some(from.id()));
                self.news(PeerNews::Item { record });
            }
            ItemMerge::Known => self.rumors.heard_again(key, from.id()),
            ItemMerge::Stale => {}
            ItemMerge::Joined(item) => {
                let ttl_ms = record.remaining_ms;
                self.put_now(item, ttl_ms, now_ms);
                self.items
                    .aged(key, now_ms)
                    .into_iter()
                    .for_each(|record| self.news(PeerNews::Item { record }));
            }
        }
    }

    /// Puts a record of this host in force here and hands it on.
    pub(super) fn put_now(&mut self, item: PeerItem, ttl_ms: u64, now_ms: u64) {
        if self.items.is_fresh(&item, ttl_ms, now_ms) {
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
        if self.items.merge(record.clone(), now_ms) == ItemMerge::Accepted {
            self.rumor_item(&record.item, None);
            if record.item.kind() == RecordKind::ZoneUsage {
                self.news(PeerNews::Item { record });
            }
        }
    }

    pub(super) fn rumor_member(&mut self, id: u64, heard_from: Option<u64>) {
        if let Some(record) = self.members.get(id) {
            self.rumors.push(record.key(), URGENT_SENDS, heard_from, self.last_ms);
            self.fresh_urgent += 1;
        }
    }

    fn rumor_item(&mut self, item: &PeerItem, heard_from: Option<u64>) {
        let row = item.kind().row();
        if row.scope == SpreadScope::Reporter {
            return;
        }
        match row.urgency {
            SpreadUrgency::Urgent => {
                self.rumors.push(item.key(), URGENT_SENDS, heard_from, self.last_ms);
                self.fresh_urgent += 1;
            }
            SpreadUrgency::Lazy => {
                self.rumors.push(item.key(), LAZY_SENDS, heard_from, self.last_ms);
            }
        }
    }

    /// The router hears of a peer that is ahead, and again while it stays behind.
    pub(super) fn compare_config(
        &mut self,
        from: &MemberRecord,
        in_force: ConfigVersion,
        now_ms: u64,
    ) {
        let (named, named_ms) = self.ahead;
        let is_due = in_force > named || now_ms >= named_ms + AHEAD_AGAIN_MS;
        if in_force > self.in_force && is_due {
            self.ahead = (in_force, now_ms);
            self.news(PeerNews::ConfigAhead { host: from.host.clone(), version: in_force });
        }
    }

    /// A new configuration is made known by the next frames, empty ones where there is no news.
    pub(super) fn raise_in_force(&mut self, version: ConfigVersion) {
        if version > self.in_force {
            self.in_force = version;
            self.nudges_left = URGENT_SENDS;
            self.fresh_urgent += 1;
        }
    }
}
