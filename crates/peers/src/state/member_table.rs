//! This host's view of the fleet members.

use std::cmp::Ordering;

use fulmargate_names::HostName;
use fulmargate_names::Incarnation;
use indexmap::IndexMap;

use crate::MemberRecord;
use crate::MemberState;
use crate::RecordKind;
use crate::record_key::name_hash;
use crate::state::digest_buckets::DigestBuckets;
use crate::state::digest_buckets::bucket_of;
use crate::wire::SummaryEntry;

#[derive(Clone, Debug)]
struct MemberEntry {
    record: MemberRecord,
    /// When the host entered its current state.
    since_ms: u64,
    suspected_until_ms: u64,
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum MemberMergeResult {
    /// The record was newer; `previous` is the one it replaced.
    Accepted { previous: Option<MemberRecord> },
    /// The same record is already stored.
    Known,
    /// The stored record is newer.
    Stale,
    /// The record reports a host as gone that is alive here; probe the host instead of accepting
    /// it.
    Unconfirmed,
    /// The record reports this host as suspected or gone.
    Accused,
    /// The record shows a newer incarnation of this host.
    Superseded { by: Incarnation },
}

/// Members by the hash of their name, including this host.
#[derive(Debug)]
pub(crate) struct MemberTable {
    own_id: u64,
    entries: IndexMap<u64, MemberEntry>,
    digest: DigestBuckets,
}

impl MemberTable {
    pub(crate) fn new(own: MemberRecord) -> MemberTable {
        let own_id = own.id();
        let mut table =
            MemberTable { own_id, entries: IndexMap::new(), digest: DigestBuckets::new() };
        table.upsert(own, 0, 0);
        table
    }

    pub(crate) fn own(&self) -> &MemberRecord {
        &self.entries[&self.own_id].record
    }

    /// Merges a record received from a peer.
    pub(crate) fn merge(
        &mut self,
        record: MemberRecord,
        now_ms: u64,
        suspicion_ms: u64,
    ) -> MemberMergeResult {
        if record.id() == self.own_id {
            return self.merge_own(&record);
        }
        // The age of an absent host travels with its record. Otherwise hosts that expire the
        // record at different times would keep reintroducing it to each other.
        if !record.is_present() && record.age_ms >= RecordKind::Member.row().ttl_ms {
            return MemberMergeResult::Stale;
        }
        let previous = self.entries.get(&record.id()).map(|entry| entry.record.clone());
        let newer = match &previous {
            Some(stored) => match compare_records(stored, record) {
                RecordComparison::Newer(newer) => newer,
                RecordComparison::Known => return MemberMergeResult::Known,
                RecordComparison::Stale => return MemberMergeResult::Stale,
                RecordComparison::Unconfirmed => return MemberMergeResult::Unconfirmed,
            },
            None if self.ensure_capacity() => record,
            None => return MemberMergeResult::Stale,
        };
        let since_ms = now_ms.saturating_sub(newer.age_ms);
        self.upsert(newer, since_ms, now_ms + suspicion_ms);
        MemberMergeResult::Accepted { previous }
    }

    fn merge_own(&self, record: &MemberRecord) -> MemberMergeResult {
        let own = self.own();
        if record.incarnation > own.incarnation {
            return MemberMergeResult::Superseded { by: record.incarnation };
        }
        let is_accused = record.incarnation == own.incarnation
            && record.state != MemberState::Alive
            && record.heartbeat >= own.heartbeat
            && own.state == MemberState::Alive;
        if is_accused { MemberMergeResult::Accused } else { MemberMergeResult::Known }
    }

    /// Raises the own heartbeat above the accusation.
    pub(crate) fn refute(&mut self, accused_heartbeat: u64) {
        let mut own = self.own().clone();
        own.heartbeat = own.heartbeat.max(accused_heartbeat) + 1;
        self.upsert(own, 0, 0);
    }

    pub(crate) fn leave(&mut self, now_ms: u64) {
        let mut own = self.own().clone();
        own.state = MemberState::Left;
        self.upsert(own, now_ms, 0);
    }

    /// Marks a host as suspected. Returns its record if it was alive before.
    pub(crate) fn suspect(
        &mut self,
        id: u64,
        now_ms: u64,
        suspicion_ms: u64,
    ) -> Option<MemberRecord> {
        let mut record = self.get(id)?.clone();
        if record.state != MemberState::Alive || id == self.own_id {
            return None;
        }
        record.state = MemberState::Suspected;
        self.upsert(record.clone(), now_ms, now_ms + suspicion_ms);
        Some(record)
    }

    /// Marks hosts as gone whose suspicion timed out and returns them. Removes hosts that have
    /// been absent for the whole TTL.
    pub(crate) fn expire(&mut self, now_ms: u64) -> Vec<MemberRecord> {
        let mut gone = Vec::new();
        let mut expired = Vec::new();
        for (&id, entry) in &self.entries {
            let is_past_ttl =
                now_ms.saturating_sub(entry.since_ms) >= RecordKind::Member.row().ttl_ms;
            match entry.record.state {
                MemberState::Suspected if now_ms >= entry.suspected_until_ms => {
                    gone.push(entry.record.clone());
                }
                MemberState::Gone | MemberState::Left if is_past_ttl && id != self.own_id => {
                    expired.push(id);
                }
                _ => {}
            }
        }
        expired.into_iter().for_each(|id| self.remove(id));
        for record in &mut gone {
            record.state = MemberState::Gone;
            self.upsert(record.clone(), now_ms, 0);
        }
        gone
    }

    /// Extends suspicions by the time for which this process was paused.
    pub(crate) fn extend_suspicion_timeouts(&mut self, paused_ms: u64) {
        self.entries.values_mut().for_each(|entry| entry.suspected_until_ms += paused_ms);
    }

    pub(crate) fn get(&self, id: u64) -> Option<&MemberRecord> {
        self.entries.get(&id).map(|entry| &entry.record)
    }

    pub(crate) fn by_host(&self, host: &HostName) -> Option<&MemberRecord> {
        self.get(name_hash(host.as_str()))
    }

    /// The record with its current age.
    pub(crate) fn current_record(&self, id: u64, now_ms: u64) -> Option<MemberRecord> {
        let entry = self.entries.get(&id)?;
        let mut record = entry.record.clone();
        if !record.is_present() {
            record.age_ms = now_ms.saturating_sub(entry.since_ms);
        }
        Some(record)
    }

    pub(crate) fn ids(&self) -> Vec<u64> {
        self.entries.keys().copied().collect()
    }

    pub(crate) fn records(&self) -> impl Iterator<Item = &MemberRecord> {
        self.entries.values().map(|entry| &entry.record)
    }

    /// Members other than this host that are alive or suspected.
    pub(crate) fn present_peers(&self) -> impl Iterator<Item = &MemberRecord> {
        let own_id = self.own_id;
        self.records().filter(move |record| record.is_present() && record.id() != own_id)
    }

    /// Number of alive or suspected members, including this host.
    pub(crate) fn present_count(&self) -> usize {
        1 + self.present_peers().count()
    }

    pub(crate) fn digest(&self) -> &DigestBuckets {
        &self.digest
    }

    pub(crate) fn summary(&self, buckets: &[u16]) -> Vec<SummaryEntry> {
        let records =
            self.records().map(|record| SummaryEntry { key: record.key(), stamp: record.stamp() });
        records
            .filter(|entry| bucket_of(entry.key).is_some_and(|bucket| buckets.contains(&bucket)))
            .collect()
    }

    fn upsert(&mut self, mut record: MemberRecord, since_ms: u64, suspected_until_ms: u64) {
        record.age_ms = 0;
        let (id, key, stamp) = (record.id(), record.key(), record.stamp());
        let entry = MemberEntry { record, since_ms, suspected_until_ms };
        if let Some(old) = self.entries.insert(id, entry) {
            self.digest.toggle(key, old.record.stamp());
        }
        self.digest.toggle(key, stamp);
    }

    fn remove(&mut self, id: u64) {
        if let Some(entry) = self.entries.swap_remove(&id) {
            self.digest.toggle(entry.record.key(), entry.record.stamp());
        }
    }

    /// Makes room for one more member by evicting the one that has been absent longest. Returns
    /// false if all are present.
    fn ensure_capacity(&mut self) -> bool {
        if self.entries.len() < RecordKind::Member.row().max_records {
            return true;
        }
        let absent = self.entries.iter().filter(|(_, entry)| !entry.record.is_present());
        let oldest = absent.min_by_key(|(_, entry)| entry.since_ms).map(|(&id, _)| id);
        oldest.into_iter().for_each(|id| self.remove(id));
        oldest.is_some()
    }
}

enum RecordComparison {
    Newer(MemberRecord),
    Known,
    Stale,
    Unconfirmed,
}

fn compare_records(stored: &MemberRecord, record: MemberRecord) -> RecordComparison {
    match record.incarnation.cmp(&stored.incarnation) {
        Ordering::Less => return RecordComparison::Stale,
        Ordering::Greater => return RecordComparison::Newer(record),
        Ordering::Equal => {}
    }
    match (stored.state, record.state) {
        (MemberState::Left, MemberState::Left) => return RecordComparison::Known,
        (MemberState::Left, _) => return RecordComparison::Stale,
        (_, MemberState::Left) => return RecordComparison::Newer(record),
        _ => {}
    }
    match record.heartbeat.cmp(&stored.heartbeat).then(record.state.cmp(&stored.state)) {
        Ordering::Less => RecordComparison::Stale,
        Ordering::Equal => RecordComparison::Known,
        // Each host concludes by its own probes that a peer is gone. After a partition each side
        // considers the other gone; accepting these reports would make hosts drop healthy
        // neighbors until they refute.
        Ordering::Greater if record.state == MemberState::Gone => match stored.state {
            MemberState::Alive => RecordComparison::Unconfirmed,
            MemberState::Suspected => RecordComparison::Known,
            MemberState::Gone | MemberState::Left => RecordComparison::Newer(record),
        },
        Ordering::Greater => RecordComparison::Newer(record),
    }
}
