//! Hashes over records, kept up as records change.

use crate::DigestGroup;
use crate::RecordKey;
use crate::record_key::mix;

const STEADY_CELLS: usize = 32;
const MOVING_CELLS: usize = 16;
/// Buckets of a digest.
pub(crate) const CELLS: usize = STEADY_CELLS + MOVING_CELLS;
/// Moving buckets that one round compares: they differ nearly always.
const MOVING_ROUND: usize = 1;

/// One hash for each bucket, over the keys and stamps in it. Records that come and go cancel out.
#[derive(Clone, Debug)]
pub(crate) struct DigestCells {
    cells: [u32; CELLS],
}

impl DigestCells {
    pub(crate) fn new() -> DigestCells {
        DigestCells { cells: [0; CELLS] }
    }

    /// Takes a record in, or out when it was in.
    pub(crate) fn toggle(&mut self, key: RecordKey, stamp: u32) {
        if let Some(bucket) = bucket_of(key) {
            self.cells[usize::from(bucket)] ^= mix(&[key.kind as u64, key.id, u64::from(stamp)]);
        }
    }

    /// The hashes over what both hold.
    pub(crate) fn joined(&self, other: &DigestCells) -> Vec<u32> {
        self.cells.iter().zip(&other.cells).map(|(a, b)| a ^ b).collect()
    }
}

/// The bucket of a key; `None` for kinds that digests leave out.
pub(crate) fn bucket_of(key: RecordKey) -> Option<u16> {
    match key.kind.row().group {
        DigestGroup::Steady => Some((key.id % STEADY_CELLS as u64) as u16),
        DigestGroup::Moving => Some((STEADY_CELLS as u64 + key.id % MOVING_CELLS as u64) as u16),
        DigestGroup::None => None,
    }
}

/// Buckets that differ, in the order in which to compare them: from a random place, so that each
/// has its turn when one round can't hold them all.
pub(crate) fn round_buckets(own: &[u32], other: &[u32], start: usize) -> Vec<u16> {
    let mut moving = differing(own, other, STEADY_CELLS..CELLS, start);
    moving.truncate(MOVING_ROUND);
    let steady = differing(own, other, 0..STEADY_CELLS, start);
    steady.into_iter().chain(moving).collect()
}

/// One hash over all buckets of rarely changing records.
pub(crate) fn steady_digest(buckets: &[u32]) -> u32 {
    let steady: Vec<u64> = buckets.iter().take(STEADY_CELLS).map(|&hash| u64::from(hash)).collect();
    mix(&steady)
}

/// Whether a bucket holds rarely changing records.
pub(crate) fn is_steady(bucket: u16) -> bool {
    usize::from(bucket) < STEADY_CELLS
}

fn differing(own: &[u32], other: &[u32], range: std::ops::Range<usize>, start: usize) -> Vec<u16> {
    let length = range.len();
    (0..length)
        .map(|step| range.start + (start + step) % length)
        .filter(|&bucket| own.get(bucket) != other.get(bucket))
        .map(|bucket| bucket as u16)
        .collect()
}
