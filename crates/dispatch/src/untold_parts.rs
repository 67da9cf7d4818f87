//! What caches have said and the other routers have not been told yet.
//!
//! Answers loads at which a router has much to tell: its words go to all others, and would fill its link.

use std::collections::VecDeque;
use std::time::Duration;

use crate::CacheNotice;

/// The share of a link for what is told of caches.
const LINK_SHARE: f64 = 0.25;
/// A part in a message: 9 bytes of its key and up to 3 of its tokens.
const PART_BYTES: f64 = 12.0;
/// A message of more, 12 KB, comes near the 16 KB that may wait in a link.
const MOST_PARTS: usize = 1_024;
/// A router tells some even on a link that is too small for its fleet: the others would never learn them.
const LEAST_PARTS: usize = 16;
/// Parts that wait to be told, some 200 KB. Of more the oldest are left out.
const MOST_WAITING: usize = 16_384;

/// How many parts a message to so many routers takes, so long after the last one, on a link that carries so
/// much.
pub fn told_parts(link_bytes_per_s: f64, peers: usize, since: Duration) -> usize {
    let bytes = link_bytes_per_s * LINK_SHARE * since.as_secs_f64() / peers.max(1) as f64;
    ((bytes / PART_BYTES) as usize).clamp(LEAST_PARTS, MOST_PARTS)
}

/// Notices in the order in which they were heard: a later one of the same part holds.
#[derive(Debug, Default)]
pub(crate) struct UntoldParts {
    notices: VecDeque<CacheNotice>,
    waiting: usize,
}

impl UntoldParts {
    /// A cache has spoken.
    pub(crate) fn push(&mut self, notice: CacheNotice) {
        self.waiting += notice.parts.len();
        self.notices.push_back(notice);
        while MOST_WAITING < self.waiting && 1 < self.notices.len() {
            self.drop_oldest();
        }
    }

    /// The oldest of them, so many parts at most. A notice that has more is told in pieces.
    pub(crate) fn take(&mut self, most_parts: usize) -> Vec<CacheNotice> {
        let mut taken = Vec::new();
        let mut room = most_parts;
        while let Some(mut notice) = self.notices.pop_front() {
            if notice.parts.len() <= room {
                room -= notice.parts.len();
                taken.push(notice);
                continue;
            }
            let rest = notice.parts.split_off(room);
            let is_reset = notice.is_reset && room == 0;
            self.notices.push_front(CacheNotice { parts: rest, is_reset, ..notice });
            if 0 < room {
                taken.push(notice);
            }
            break;
        }
        self.waiting -= taken.iter().map(|notice| notice.parts.len()).sum::<usize>();
        taken
    }

    /// What was believed before a reset is void also when the parts after it are left out.
    fn drop_oldest(&mut self) {
        let with_parts = |notice: &CacheNotice| !notice.parts.is_empty();
        let Some(index) = self.notices.iter().position(with_parts) else { return };
        let oldest = &mut self.notices[index];
        self.waiting -= oldest.parts.len();
        oldest.parts.clear();
        if !oldest.is_reset {
            self.notices.remove(index);
        }
    }
}
