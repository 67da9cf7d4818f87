//! Servers predicted to have parts of a prompt cached.

use crate::FleetView;
use crate::PromptChain;
use crate::choice::CachePrediction;
use crate::hint_table::HintTable;

/// Maximum number of servers in the set.
const MAX_SERVERS: usize = 8;

/// A server and the number of prompt tokens it is predicted to have cached.
#[derive(Clone, Copy, Debug)]
pub(crate) struct WarmServer {
    pub(crate) index: u32,
    pub(crate) tokens: u32,
    pub(crate) age_ms: u64,
}

impl WarmServer {
    pub(crate) fn prediction(self) -> CachePrediction {
        CachePrediction::Hint { age_ms: self.age_ms, tokens: self.tokens }
    }
}

/// The hints for a prompt: the longest cached prefix of each server.
#[derive(Clone, Copy, Debug)]
pub(crate) struct WarmSet {
    servers: [Option<WarmServer>; MAX_SERVERS],
}

impl WarmSet {
    /// Looks up the anchor and all longer prefixes, longest first. Skips hints that are older than
    /// the server's estimated cache lifetime or have been invalidated.
    pub(crate) fn new(
        hints: &HintTable,
        view: &FleetView,
        chain: &PromptChain,
        now_ms: u64,
    ) -> WarmSet {
        let mut set = WarmSet { servers: [None; MAX_SERVERS] };
        for level in chain.hint_levels().iter().rev() {
            for hint in hints.lookup(level.hash, now_ms) {
                let Some(index) = view.index_of(hint.server) else { continue };
                let meter = &view.server_at(index).meter;
                let is_invalidated =
                    now_ms.saturating_sub(hint.age_ms) < meter.hints_valid_from_ms();
                if is_invalidated || meter.lifetime_ms() < hint.age_ms as f64 {
                    continue;
                }
                set.add(WarmServer { index, tokens: level.tokens, age_ms: hint.age_ms });
            }
        }
        set
    }

    pub(crate) fn get(&self, index: u32) -> Option<WarmServer> {
        self.iter().find(|warm| warm.index == index)
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = WarmServer> + '_ {
        self.servers.iter().flatten().copied()
    }

    fn add(&mut self, warm: WarmServer) {
        if self.get(warm.index).is_some() {
            return;
        }
        if let Some(empty) = self.servers.iter_mut().find(|slot| slot.is_none()) {
            *empty = Some(warm);
        }
    }
}
