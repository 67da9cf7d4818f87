//! Cache updates that have not been published to the other routers yet.
//!
//! Updates go to all routers and would saturate the link of a router that has many.

use std::time::Duration;

use indexmap::IndexMap;

use crate::CacheNotice;
use crate::ServerKey;

/// Share of a link for cache updates.
const LINK_SHARE: f64 = 0.25;
/// Encoded size of a part: 9 bytes for its key and up to 3 for its tokens.
const PART_BYTES: f64 = 12.0;
/// Upper bound of the parts in a message, 12 KB; a link buffers 16 KB.
const MAX_PARTS: usize = 1_024;
/// Lower bound of the parts in a message, also on a link that is too narrow for the fleet.
/// Otherwise the others would never get any updates.
const MIN_PARTS: usize = 16;
/// Maximum number of pending parts, about 500 KB; the oldest are dropped first.
const MAX_PENDING_PARTS: usize = 16_384;

/// Number of parts for a message to all peers that follows the last one after `elapsed`.
pub fn max_published_parts(link_bytes_per_s: f64, peers: usize, elapsed: Duration) -> usize {
    let bytes = link_bytes_per_s * LINK_SHARE * elapsed.as_secs_f64() / peers.max(1) as f64;
    ((bytes / PART_BYTES) as usize).clamp(MIN_PARTS, MAX_PARTS)
}

/// The newest update of each part, by server.
///
/// The newest updates are published first, so that a large backlog does not delay them. Each part
/// occurs only once, so that an older update never follows a newer one.
#[derive(Debug, Default)]
pub(crate) struct PendingUpdates {
    servers: IndexMap<ServerKey, ServerUpdates>,
}

#[derive(Debug, Default)]
struct ServerUpdates {
    is_reset: bool,
    /// The newest is last.
    parts: IndexMap<u64, u32>,
}

impl PendingUpdates {
    /// Adds an update from a cache.
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

    /// Takes up to `max_parts` of the newest updates. Servers with few are published completely,
    /// the others share the rest.
    pub(crate) fn take(&mut self, max_parts: usize) -> Vec<CacheNotice> {
        self.servers.sort_by(|_, one, _, other| one.parts.len().cmp(&other.parts.len()));
        let mut remaining_servers = self.servers.len();
        let mut available = max_parts;
        let mut notices = Vec::new();
        for (key, server) in &mut self.servers {
            let parts = server.take_newest(available.div_ceil(remaining_servers));
            remaining_servers -= 1;
            available -= parts.len();
            let is_reset = std::mem::take(&mut server.is_reset);
            if is_reset || !parts.is_empty() {
                notices.push(CacheNotice { server: *key, is_reset, parts });
            }
        }
        self.servers.retain(|_, server| !server.parts.is_empty());
        notices
    }

    /// Limits memory on a router that receives updates faster than it can publish them: the server
    /// with the most parts loses its oldest. Resets are never dropped.
    fn drop_oldest(&mut self) {
        let pending: usize = self.servers.values().map(|server| server.parts.len()).sum();
        let excess = pending.saturating_sub(MAX_PENDING_PARTS);
        if excess == 0 {
            return;
        }
        let largest = self.servers.values_mut().max_by_key(|server| server.parts.len());
        if let Some(server) = largest {
            server.parts.drain(..excess.min(server.parts.len()));
        }
    }
}

impl ServerUpdates {
    fn take_newest(&mut self, max_parts: usize) -> Vec<(u64, u32)> {
        let kept = self.parts.len().saturating_sub(max_parts);
        self.parts.split_off(kept).into_iter().collect()
    }
}
