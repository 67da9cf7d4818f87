//! Incremental hashes over records, compared by anti-entropy.

use crate::DigestGroup;
use crate::RecordKey;
use crate::record_key::hash_numbers;

const STABLE_BUCKETS: usize = 32;
const VOLATILE_BUCKETS: usize = 16;
pub(crate) const BUCKET_COUNT: usize = STABLE_BUCKETS + VOLATILE_BUCKETS;
/// Maximum number of volatile buckets compared per round, since they almost always differ.
const MAX_VOLATILE_PER_ROUND: usize = 1;

/// One hash per bucket: the XOR of the hashes of key and stamp of each record in the bucket.
#[derive(Clone, Debug)]
pub(crate) struct DigestBuckets {
    hashes: [u32; BUCKET_COUNT],
}

impl DigestBuckets {
    pub(crate) fn new() -> DigestBuckets {
        DigestBuckets { hashes: [0; BUCKET_COUNT] }
    }

    /// Adds a record to its bucket, or removes it if it was added before.
    pub(crate) fn toggle(&mut self, key: RecordKey, stamp: u32) {
        if let Some(bucket) = bucket_of(key) {
            self.hashes[usize::from(bucket)] ^=
                hash_numbers(&[key.kind as u64, key.id, u64::from(stamp)]);
        }
    }

    /// Hashes over the records of both.
    pub(crate) fn combined(&self, other: &DigestBuckets) -> Vec<u32> {
        self.hashes.iter().zip(&other.hashes).map(|(a, b)| a ^ b).collect()
    }
}

/// The bucket of a key; `None` for kinds excluded from digests.
pub(crate) fn bucket_of(key: RecordKey) -> Option<u16> {
    match key.kind.row().group {
        DigestGroup::Stable => Some((key.id % STABLE_BUCKETS as u64) as u16),
        DigestGroup::Volatile => {
            Some((STABLE_BUCKETS as u64 + key.id % VOLATILE_BUCKETS as u64) as u16)
        }
        DigestGroup::None => None,
    }
}

/// Differing buckets in the order in which to compare them. The random `start` gives each bucket
/// its turn when one round cannot cover all.
pub(crate) fn buckets_to_compare(own: &[u32], other: &[u32], start: usize) -> Vec<u16> {
    let mut volatile = differing_buckets(own, other, STABLE_BUCKETS..BUCKET_COUNT, start);
    volatile.truncate(MAX_VOLATILE_PER_ROUND);
    let stable = differing_buckets(own, other, 0..STABLE_BUCKETS, start);
    stable.into_iter().chain(volatile).collect()
}

/// One hash over all stable buckets.
pub(crate) fn stable_digest(buckets: &[u32]) -> u32 {
    let stable: Vec<u64> =
        buckets.iter().take(STABLE_BUCKETS).map(|&hash| u64::from(hash)).collect();
    hash_numbers(&stable)
}

/// Whether a bucket holds rarely changing records.
pub(crate) fn is_stable_bucket(bucket: u16) -> bool {
    usize::from(bucket) < STABLE_BUCKETS
}

fn differing_buckets(
    own: &[u32],
    other: &[u32],
    range: std::ops::Range<usize>,
    start: usize,
) -> Vec<u16> {
    let length = range.len();
    (0..length)
        .map(|step| range.start + (start + step) % length)
        .filter(|&bucket| own.get(bucket) != other.get(bucket))
        .map(|bucket| bucket as u16)
        .collect()
}
