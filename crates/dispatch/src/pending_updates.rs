//! What caches have said and the other routers have not been told yet.
//!
//! Answers loads at which a router has much to tell: its words go to all others, and would fill its link.

use std::time::Duration;

use indexmap::IndexMap;

use crate::CacheNotice;
use crate::ServerKey;

/// The share of a link for what is told of caches.
const LINK_SHARE: f64 = 0.25;
/// A part in a message: 9 bytes of its key and up to 3 of its tokens.
const PART_BYTES: f64 = 12.0;
/// A message of more, 12 KB, comes near the 16 KB that may wait in a link.
const MOST_PARTS: usize = 1_024;
/// A router tells some even on a link that is too small for its fleet: the others would never learn them.
const LEAST_PARTS: usize = 16;
/// Parts that wait to be told, some 500 KB. Of more the oldest are left out.
const MOST_WAITING: usize = 16_384;

/// How many parts a message to so many routers takes, so long after the last one, on a link that carries so
/// much.
pub fn published_parts(link_bytes_per_s: f64, peers: usize, since: Duration) -> usize {
    let bytes = link_bytes_per_s * LINK_SHARE * since.as_secs_f64() / peers.max(1) as f64;
    ((bytes / PART_BYTES) as usize).clamp(LEAST_PARTS, MOST_PARTS)
}

/// The newest word on each part, by server.
///
/// What is new goes before what is older: behind all that an engine has kept it would come seconds late.
/// As each part is there once, with its newest word, no older one follows.
#[derive(Debug, Default)]
pub(crate) struct PendingUpdates {
    servers: IndexMap<ServerKey, UntoldServer>,
}

#[derive(Debug, Default)]
struct UntoldServer {
    is_reset: bool,
    /// The newest at the end.
    parts: IndexMap<u64, u32>,
}

impl PendingUpdates {
    /// A cache has spoken.
    pub(crate) fn push(&mut self, notice: CacheNotice) {
        let server = self.servers.entry(notice.server).or_default();
        if notice.is_reset {
            server.is_reset = true;
            server.parts.clear();
        }
        for (part, tokens) in notice.parts {
            server.parts.shift_remove(&part);
            server.parts.insert(part, tokens);
        }
        self.drop_oldest();
    }

    /// The newest of each server, so many parts together at most. Servers with few are told whole, the others
    /// share what room is left.
    pub(crate) fn take(&mut self, most_parts: usize) -> Vec<CacheNotice> {
        self.servers.sort_by(|_, one, _, other| one.parts.len().cmp(&other.parts.len()));
        let mut left = self.servers.len();
        let mut room = most_parts;
        let mut taken = Vec::new();
        for (key, server) in &mut self.servers {
            let parts = server.take_newest(room.div_ceil(left));
            left -= 1;
            room -= parts.len();
            let is_reset = std::mem::take(&mut server.is_reset);
            if is_reset || !parts.is_empty() {
                taken.push(CacheNotice { server: *key, is_reset, parts });
            }
        }
        self.servers.retain(|_, server| !server.parts.is_empty());
        taken
    }

    /// A router that can tell less than it hears would need ever more memory. The server with the most parts
    /// loses its oldest; a reset is told all the same.
    fn drop_oldest(&mut self) {
        let waiting: usize = self.servers.values().map(|server| server.parts.len()).sum();
        let excess = waiting.saturating_sub(MOST_WAITING);
        if excess == 0 {
            return;
        }
        let largest = self.servers.values_mut().max_by_key(|server| server.parts.len());
        if let Some(server) = largest {
            server.parts.drain(..excess.min(server.parts.len()));
        }
    }
}

impl UntoldServer {
    fn take_newest(&mut self, most: usize) -> Vec<(u64, u32)> {
        let kept = self.parts.len().saturating_sub(most);
        self.parts.split_off(kept).into_iter().collect()
    }
}
