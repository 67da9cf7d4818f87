//! Anti-entropy: compares all records with a neighbor to repair lost updates.

use rand::Rng;

use super::PeerCore;
use crate::MemberRecord;
use crate::RecordKey;
use crate::RecordKind;
use crate::state::digest_buckets::BUCKET_COUNT;
use crate::state::digest_buckets::bucket_of;
use crate::state::digest_buckets::buckets_to_compare;
use crate::state::digest_buckets::is_stable_bucket;
use crate::state::digest_buckets::stable_digest;
use crate::wire::PeerMessage;
use crate::wire::PeerRecord;
use crate::wire::SummaryEntry;
use crate::wire::encoded_len;

/// Maximum bytes of records in one response. The rest follows in later rounds.
const MAX_RESPONSE_BYTES: usize = 8 * 1_024;
const MAX_SUMMARY_ENTRIES: usize = 256;
/// Maximum number of keys in one `RecordRequest`.
const MAX_REQUESTED_KEYS: usize = 128;

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

    /// Starts a full comparison if the stable digest in a probe differs from ours. This repairs a
    /// lost update at the next probe instead of the next periodic digest.
    pub(super) fn compare_stable_digest(&mut self, from: &MemberRecord, digest: u32) {
        if self.can_start_comparison
            && self.byte_budget.available() > 0
            && digest != self.stable_digest()
        {
            self.can_start_comparison = false;
            let buckets = self.buckets();
            self.send(from.address, PeerMessage::Digest { buckets });
        }
    }

    pub(super) fn stable_digest(&self) -> u32 {
        stable_digest(&self.buckets())
    }

    fn buckets(&self) -> Vec<u32> {
        self.members.digest().combined(self.items.digest())
    }

    pub(super) fn handle_digest(&mut self, from: &MemberRecord, theirs: &[u32]) {
        let start = self.rng.random_range(0..BUCKET_COUNT);
        let (buckets, entries) =
            self.limited_summary(&buckets_to_compare(&self.buckets(), theirs, start));
        if !buckets.is_empty() && self.byte_budget.available() > 0 {
            self.send(from.address, PeerMessage::Summary { buckets, entries });
        }
    }

    /// Summarizes as many buckets as fit into one response, but at least one.
    fn limited_summary(&self, differing: &[u16]) -> (Vec<u16>, Vec<SummaryEntry>) {
        let mut buckets = Vec::new();
        let mut entries = Vec::new();
        for &bucket in differing {
            let mut added = self.summary(&[bucket]);
            if !buckets.is_empty() && entries.len() + added.len() > MAX_SUMMARY_ENTRIES {
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

    /// Requests records that differ and sends our own versions of them. The receiver of the older
    /// version drops it.
    pub(super) fn handle_summary(
        &mut self,
        from: &MemberRecord,
        buckets: &[u16],
        theirs: &[SummaryEntry],
        now_ms: u64,
    ) {
        // Differing buckets suggest a partition or a mass restart: compare again soon.
        if buckets.iter().any(|&bucket| is_stable_bucket(bucket)) {
            self.next_digest_ms = self.next_digest_ms.min(now_ms + self.pace.probe_interval_ms);
        }
        let own = self.summary(buckets);
        let is_covered = |entry: &&SummaryEntry| {
            bucket_of(entry.key).is_some_and(|bucket| buckets.contains(&bucket))
        };
        let missing = theirs.iter().filter(is_covered).filter(|entry| !own.contains(entry));
        let keys: Vec<RecordKey> =
            missing.map(|entry| entry.key).take(MAX_REQUESTED_KEYS).collect();
        let offered: Vec<RecordKey> =
            own.iter().filter(|entry| !theirs.contains(entry)).map(|entry| entry.key).collect();
        if !keys.is_empty() && self.byte_budget.available() > 0 {
            self.send(from.address, PeerMessage::RecordRequest { keys });
        }
        self.send_records(from, &offered, now_ms);
    }

    pub(super) fn handle_record_request(
        &mut self,
        from: &MemberRecord,
        keys: &[RecordKey],
        now_ms: u64,
    ) {
        self.send_records(from, keys, now_ms);
    }

    fn send_records(&mut self, target: &MemberRecord, keys: &[RecordKey], now_ms: u64) {
        let limit = MAX_RESPONSE_BYTES.min(self.byte_budget.available());
        let mut records: Vec<PeerRecord> = Vec::new();
        let mut bytes = 0;
        for &key in keys {
            let is_in_scope = key.kind == RecordKind::Member || self.is_in_scope(key.kind, target);
            let Some(record) = self.current_record(key, now_ms).filter(|_| is_in_scope) else {
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
