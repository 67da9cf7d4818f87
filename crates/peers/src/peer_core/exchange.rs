//! Comparing everything with one neighbour, which heals what was lost on the way.

use rand::Rng;

use super::PeerCore;
use crate::MemberRecord;
use crate::RecordKey;
use crate::RecordKind;
use crate::state::digest_cells::CELLS;
use crate::state::digest_cells::bucket_of;
use crate::state::digest_cells::is_steady;
use crate::state::digest_cells::round_buckets;
use crate::state::digest_cells::steady_digest;
use crate::wire::PeerMessage;
use crate::wire::PeerRecord;
use crate::wire::SummaryEntry;
use crate::wire::encoded_len;

/// Bytes of records that one answer carries; the next round brings more.
const ANSWER_BYTES: usize = 8 * 1_024;
/// Entries of one summary.
const SUMMARY_LIMIT: usize = 256;
/// Records asked for at once.
const WANT_LIMIT: usize = 128;

impl PeerCore {
    pub(super) fn send_digest(&mut self) {
        let chosen = self.neighbors.pick(1, &mut self.rng);
        let target =
            chosen.first().and_then(|&id| self.members.get(id)).map(|record| record.address);
        if let Some(address) = target {
            let buckets = self.buckets();
            self.send(address, PeerMessage::Digest { buckets });
        }
    }

    /// A probe carries one hash over what rarely changes. Where it differs, the two hosts compare at
    /// once: who missed a record hears of it at the next probe rather than at the next digest.
    pub(super) fn compare_probed(&mut self, from: &MemberRecord, digest: u32) {
        if self.may_compare && self.allowance.left() > 0 && digest != self.steady_digest() {
            self.may_compare = false;
            let buckets = self.buckets();
            self.send(from.address, PeerMessage::Digest { buckets });
        }
    }

    pub(super) fn steady_digest(&self) -> u32 {
        steady_digest(&self.buckets())
    }

    fn buckets(&self) -> Vec<u32> {
        self.members.cells().joined(self.items.cells())
    }

    pub(super) fn answer_digest(&mut self, from: &MemberRecord, theirs: &[u32]) {
        let start = self.rng.random_range(0..CELLS);
        let (buckets, entries) = self.summary_of(&round_buckets(&self.buckets(), theirs, start));
        if !buckets.is_empty() && self.allowance.left() > 0 {
            self.send(from.address, PeerMessage::Summary { buckets, entries });
        }
    }

    /// As many of the buckets as one answer may hold, one at least.
    fn summary_of(&self, differing: &[u16]) -> (Vec<u16>, Vec<SummaryEntry>) {
        let mut buckets = Vec::new();
        let mut entries = Vec::new();
        for &bucket in differing {
            let mut added = self.summary(&[bucket]);
            if !buckets.is_empty() && entries.len() + added.len() > SUMMARY_LIMIT {
                break;
            }
            buckets.push(bucket);
            entries.append(&mut added);
        }
        (buckets, entries)
    }

    fn summary(&self, buckets: &[u16]) -> Vec<SummaryEntry> {
        let mut entries = self.members.summary(buckets);
        entries.extend(self.items.summary(buckets));
        entries
    }

    /// Whatever differs goes both ways; the older record is dropped where it arrives.
    pub(super) fn answer_summary(
        &mut self,
        from: &MemberRecord,
        buckets: &[u16],
        theirs: &[SummaryEntry],
        now_ms: u64,
    ) {
        // What differed once is likely to differ elsewhere too: after a partition or a start of all
        // hosts the next comparison comes soon.
        if buckets.iter().any(|&bucket| is_steady(bucket)) {
            self.next_digest_ms = self.next_digest_ms.min(now_ms + self.pace.period_ms);
        }
        let own = self.summary(buckets);
        let covered = |entry: &&SummaryEntry| {
            bucket_of(entry.key).is_some_and(|bucket| buckets.contains(&bucket))
        };
        let missing = theirs.iter().filter(covered).filter(|entry| !own.contains(entry));
        let keys: Vec<RecordKey> = missing.map(|entry| entry.key).take(WANT_LIMIT).collect();
        let offered: Vec<RecordKey> =
            own.iter().filter(|entry| !theirs.contains(entry)).map(|entry| entry.key).collect();
        if !keys.is_empty() && self.allowance.left() > 0 {
            self.send(from.address, PeerMessage::Want { keys });
        }
        self.send_records(from, &offered, now_ms);
    }

    pub(super) fn answer_want(&mut self, from: &MemberRecord, keys: &[RecordKey], now_ms: u64) {
        self.send_records(from, keys, now_ms);
    }

    fn send_records(&mut self, target: &MemberRecord, keys: &[RecordKey], now_ms: u64) {
        let limit = ANSWER_BYTES.min(self.allowance.left());
        let mut records: Vec<PeerRecord> = Vec::new();
        let mut bytes = 0;
        for &key in keys {
            let is_for = key.kind == RecordKind::Member || self.is_for(key.kind, target);
            let Some(record) = self.aged(key, now_ms).filter(|_| is_for) else {
                continue;
            };
            bytes += encoded_len(&record);
            if bytes > limit {
                break;
            }
            records.push(record);
        }
        if !records.is_empty() {
            self.send(target.address, PeerMessage::Update { records });
        }
    }
}
