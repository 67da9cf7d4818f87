//! What one host believes of all entry hosts.

use std::cmp::Ordering;

use fulmargate_names::HostName;
use fulmargate_names::Incarnation;
use indexmap::IndexMap;

use crate::MemberRecord;
use crate::MemberState;
use crate::RecordKind;
use crate::record_key::name_id;
use crate::state::digest_cells::DigestCells;
use crate::state::digest_cells::bucket_of;
use crate::wire::SummaryEntry;

/// A host and when it came into its state.
#[derive(Clone, Debug)]
struct MemberEntry {
    record: MemberRecord,
    since_ms: u64,
    suspected_until_ms: u64,
}

/// What came of taking a record in.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum MemberMerge {
    /// It was news; what was held before it.
    Accepted { previous: Option<MemberRecord> },
    /// It is held already.
    Known,
    /// What is held is newer.
    Stale,
    /// It says that a host is gone which is alive as far as is known here: that host is to be asked.
    Doubted,
    /// It says that this host is suspected or gone.
    Accused,
    /// It shows a later process under this host's name.
    Superseded { by: Incarnation },
}

/// The members by the hash of their name, this host among them.
#[derive(Debug)]
pub(crate) struct MemberTable {
    own_id: u64,
    entries: IndexMap<u64, MemberEntry>,
    cells: DigestCells,
}

impl MemberTable {
    pub(crate) fn new(own: MemberRecord) -> MemberTable {
        let own_id = own.id();
        let mut table = MemberTable { own_id, entries: IndexMap::new(), cells: DigestCells::new() };
        table.set(own, 0, 0);
        table
    }

    /// This host's own record.
    pub(crate) fn own(&self) -> &MemberRecord {
        &self.entries[&self.own_id].record
    }

    /// Takes in what another host says.
    pub(crate) fn merge(
        &mut self,
        record: MemberRecord,
        now_ms: u64,
        suspicion_ms: u64,
    ) -> MemberMerge {
        if record.id() == self.own_id {
            return self.merge_own(&record);
        }
        // The age travels with a record that is to be forgotten. Without it, two hosts that forget
        // at different moments would hand it back to each other for ever.
        if !record.is_present() && record.age_ms >= RecordKind::Member.row().ttl_ms {
            return MemberMerge::Stale;
        }
        let previous = self.entries.get(&record.id()).map(|entry| entry.record.clone());
        let taken = match &previous {
            Some(held) => match judge(held, record) {
                Judgement::Take(taken) => taken,
                Judgement::Known => return MemberMerge::Known,
                Judgement::Stale => return MemberMerge::Stale,
                Judgement::Doubt => return MemberMerge::Doubted,
            },
            None if self.make_room() => record,
            None => return MemberMerge::Stale,
        };
        let since_ms = now_ms.saturating_sub(taken.age_ms);
        self.set(taken, since_ms, now_ms + suspicion_ms);
        MemberMerge::Accepted { previous }
    }

    fn merge_own(&self, record: &MemberRecord) -> MemberMerge {
        let own = self.own();
        if record.incarnation > own.incarnation {
            return MemberMerge::Superseded { by: record.incarnation };
        }
        let accused = record.incarnation == own.incarnation
            && record.state != MemberState::Alive
            && record.heartbeat >= own.heartbeat
            && own.state == MemberState::Alive;
        if accused { MemberMerge::Accused } else { MemberMerge::Known }
    }

    /// This host refutes that it is suspected or gone.
    pub(crate) fn refute(&mut self, accusation: u64) {
        let mut own = self.own().clone();
        own.heartbeat = own.heartbeat.max(accusation) + 1;
        self.set(own, 0, 0);
    }

    /// This host leaves.
    pub(crate) fn leave(&mut self, now_ms: u64) {
        let mut own = self.own().clone();
        own.state = MemberState::Left;
        self.set(own, now_ms, 0);
    }

    /// A host did not answer; its record when this is news.
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
        self.set(record.clone(), now_ms, now_ms + suspicion_ms);
        Some(record)
    }

    /// Hosts whose time to refute has passed are gone, and those gone or left long ago are forgotten.
    pub(crate) fn expire(&mut self, now_ms: u64) -> Vec<MemberRecord> {
        let mut gone = Vec::new();
        let mut forgotten = Vec::new();
        for (&id, entry) in &self.entries {
            let is_over = now_ms.saturating_sub(entry.since_ms) >= RecordKind::Member.row().ttl_ms;
            match entry.record.state {
                MemberState::Suspected if now_ms >= entry.suspected_until_ms => {
                    gone.push(entry.record.clone());
                }
                MemberState::Gone | MemberState::Left if is_over && id != self.own_id => {
                    forgotten.push(id);
                }
                _ => {}
            }
        }
        forgotten.into_iter().for_each(|id| self.remove(id));
        for record in &mut gone {
            record.state = MemberState::Gone;
            self.set(record.clone(), now_ms, 0);
        }
        gone
    }

    /// Gives suspected hosts the time back that this host itself was paused.
    pub(crate) fn extend_suspicions(&mut self, paused_ms: u64) {
        self.entries.values_mut().for_each(|entry| entry.suspected_until_ms += paused_ms);
    }

    pub(crate) fn get(&self, id: u64) -> Option<&MemberRecord> {
        self.entries.get(&id).map(|entry| &entry.record)
    }

    pub(crate) fn by_host(&self, host: &HostName) -> Option<&MemberRecord> {
        self.get(name_id(host.as_str()))
    }

    /// A record with its age, to be sent.
    pub(crate) fn aged(&self, id: u64, now_ms: u64) -> Option<MemberRecord> {
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

    /// The other hosts that may be asked and told things.
    pub(crate) fn others(&self) -> impl Iterator<Item = &MemberRecord> {
        let own_id = self.own_id;
        self.records().filter(move |record| record.is_present() && record.id() != own_id)
    }

    /// How many hosts are there, this one counted.
    pub(crate) fn present(&self) -> usize {
        1 + self.others().count()
    }

    pub(crate) fn cells(&self) -> &DigestCells {
        &self.cells
    }

    pub(crate) fn summary(&self, buckets: &[u16]) -> Vec<SummaryEntry> {
        let records =
            self.records().map(|record| SummaryEntry { key: record.key(), stamp: record.stamp() });
        records
            .filter(|entry| bucket_of(entry.key).is_some_and(|bucket| buckets.contains(&bucket)))
            .collect()
    }

    fn set(&mut self, mut record: MemberRecord, since_ms: u64, suspected_until_ms: u64) {
        record.age_ms = 0;
        let (id, key, stamp) = (record.id(), record.key(), record.stamp());
        let entry = MemberEntry { record, since_ms, suspected_until_ms };
        if let Some(old) = self.entries.insert(id, entry) {
            self.cells.toggle(key, old.record.stamp());
        }
        self.cells.toggle(key, stamp);
    }

    fn remove(&mut self, id: u64) {
        if let Some(entry) = self.entries.swap_remove(&id) {
            self.cells.toggle(entry.record.key(), entry.record.stamp());
        }
    }

    /// A full table forgets the host that has been gone longest.
    fn make_room(&mut self) -> bool {
        if self.entries.len() < RecordKind::Member.row().limit {
            return true;
        }
        let absent = self.entries.iter().filter(|(_, entry)| !entry.record.is_present());
        let oldest = absent.min_by_key(|(_, entry)| entry.since_ms).map(|(&id, _)| id);
        oldest.into_iter().for_each(|id| self.remove(id));
        oldest.is_some()
    }
}

enum Judgement {
    Take(MemberRecord),
    Known,
    Stale,
    Doubt,
}

fn judge(held: &MemberRecord, record: MemberRecord) -> Judgement {
    match record.incarnation.cmp(&held.incarnation) {
        Ordering::Less => return Judgement::Stale,
        Ordering::Greater => return Judgement::Take(record),
        Ordering::Equal => {}
    }
    match (held.state, record.state) {
        (MemberState::Left, MemberState::Left) => return Judgement::Known,
        (MemberState::Left, _) => return Judgement::Stale,
        (_, MemberState::Left) => return Judgement::Take(record),
        _ => {}
    }
    match record.heartbeat.cmp(&held.heartbeat).then(record.state.cmp(&held.state)) {
        Ordering::Less => Judgement::Stale,
        Ordering::Equal => Judgement::Known,
        // "Gone" is a conclusion that each host draws itself. After a partition each side holds the
        // other to be gone, and one side's word would make the other side's hosts drop their own
        // neighbors, which never failed, until each of them had refuted. Nothing is lost by asking
        // the host instead: one that is truly gone does not answer.
        Ordering::Greater if record.state == MemberState::Gone => match held.state {
            MemberState::Alive => Judgement::Doubt,
            MemberState::Suspected => Judgement::Known,
            MemberState::Gone | MemberState::Left => Judgement::Take(record),
        },
        Ordering::Greater => Judgement::Take(record),
    }
}
