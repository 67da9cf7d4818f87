//! What routers tell each other of servers.

use std::time::Duration;

use fulmargate_names::HostName;
use fulmargate_names::ZoneName;
use tokio::time::Instant;

use crate::CacheNotice;
use crate::FleetHost;
use crate::GossipMessage;
use crate::LinkRank;
use crate::LoadingStage;
use crate::PeerLoad;
use crate::PromptNotice;
use crate::ServerBook;
use crate::ServerKey;
use crate::ZonePeer;

/// Prompts that wait to be told; what is beyond is a guess that the others lack.
pub(super) const MOST_UNTOLD: usize = 256;

impl ServerBook {
    /// What the other routers are told of this one's requests and of caches, so many parts of these at most.
    /// Prompts and parts are told once.
    pub fn take_news(&mut self, most_parts: usize, now: Instant) -> GossipMessage {
        self.peers.drop_silent(now);
        let busy = self.servers.values().filter(|state| 0 < state.open);
        let loads = busy
            .map(|state| PeerLoad {
                server: state.key(),
                open: state.open,
                chats: state.chats,
                backlog: state.backlog,
            })
            .collect();
        let prompts = std::mem::take(&mut self.untold);
        let caches = self.untold_caches.take(most_parts);
        GossipMessage { loads, prompts, caches, ..GossipMessage::default() }
    }

    /// Another router's message.
    pub fn hear(&mut self, news: &GossipMessage, now: Instant) {
        let Some(host) = &news.host else { return };
        self.peers.hear(host, news, now);
        for notice in &news.loading {
            let Some(state) = self.servers.get_mut(&notice.server) else { continue };
            match notice.stage {
                LoadingStage::Loading => state.loads(now),
                LoadingStage::InPlace => state.loaded(&notice.model, notice.version),
                LoadingStage::GivenUp => state.loads_no_more(),
            }
        }
        for notice in &news.prompts {
            self.note_prompt(notice, now);
        }
        for notice in &news.caches {
            self.note_cache(notice, now);
        }
    }

    /// An engine or the store has told this router of its cache.
    pub fn hear_cache(&mut self, notice: CacheNotice, now: Instant) {
        self.note_cache(&notice, now);
        self.untold_caches.push(notice);
    }

    fn note_cache(&mut self, notice: &CacheNotice, now: Instant) {
        let memory = match notice.server {
            ServerKey::STORE => Some(&mut self.kept),
            server => self.servers.get_mut(&server).map(|state| &mut state.memory),
        };
        let Some(memory) = memory else { return };
        if notice.is_reset {
            memory.clear();
        }
        for (key, tokens) in &notice.parts {
            memory.hear(*key, *tokens, now);
        }
    }

    /// A prompt goes to an engine, through this router or another.
    pub(super) fn note_prompt(&mut self, notice: &PromptNotice, now: Instant) {
        let parts = || notice.parts.iter().copied();
        parts().for_each(|part| self.demand.note(part, now));
        let taken = f64::from(notice.taken_tokens);
        let ready = now + Duration::from_millis(u64::from(notice.ready_ms));
        if let Some(state) = self.servers.get_mut(&notice.server) {
            state.memory.read(notice.scope, parts(), taken, ready);
        }
        if notice.is_stored || notice.source == Some(ServerKey::STORE) {
            let stored = if notice.is_stored { taken } else { 0.0 };
            self.kept.read(notice.scope, parts(), stored, ready);
        }
        let transfer_ms = f64::from(notice.transfer_ms);
        match notice.source {
            Some(ServerKey::STORE) => self.store_link.add(transfer_ms, now),
            Some(source) => {
                if let Some(state) = self.servers.get_mut(&source) {
                    state.link.add(transfer_ms, now);
                }
            }
            None => {}
        }
    }

    /// Routers that have spoken lately.
    pub fn live_peers(&self, now: Instant) -> Vec<HostName> {
        self.peers.hosts(now).cloned().collect()
    }

    /// Those of one availability zone.
    pub fn zone_peers(&self, zone: &ZoneName, now: Instant) -> Vec<ZonePeer> {
        self.peers.zone_peers(zone, now).collect()
    }

    /// All routers that have spoken lately, and where they are.
    pub fn fleet_hosts(&self, now: Instant) -> Vec<FleetHost> {
        self.peers.fleet_hosts(now).collect()
    }

    /// This router and the others speak at this pace.
    pub fn set_gossip_interval(&mut self, pace: Duration) {
        self.gossip_interval = Some(pace);
    }

    /// How this host's link compares to those of the other routers.
    pub fn link_rank(&self, own_kbps: u32, now: Instant) -> LinkRank {
        self.peers.link_rank(own_kbps, now)
    }
}
