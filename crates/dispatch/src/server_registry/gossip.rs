//! State that routers exchange about servers.

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
use crate::ServerKey;
use crate::ServerRegistry;
use crate::ServerState;
use crate::ZonePeer;

/// Upper bound on prompts that wait for the next gossip message. Further ones are not announced, which makes
/// the other routers' cache estimates less accurate.
pub(super) const MAX_PENDING_PROMPTS: usize = 256;

impl ServerRegistry {
    /// Builds the next gossip message: current loads, and the pending prompts and cache updates with at most
    /// `max_parts` parts. Prompts and cache updates in the message are no longer pending.
    pub fn take_gossip(&mut self, max_parts: usize, now: Instant) -> GossipMessage {
        self.peers.remove_expired(now);
        // What is open at servers out of reach may have ended long ago; servers report their load to other hosts.
        let reach = &self.reach;
        let has_load =
            |state: &&ServerState| 0 < state.open && !reach.is_unreached(&state.entry.service);
        let loads = self
            .servers
            .values()
            .filter(has_load)
            .map(|state| PeerLoad {
                server: state.key(),
                open: state.open,
                chats: state.chats,
                backlog: state.backlog,
            })
            .collect();
        let prompts = std::mem::take(&mut self.pending_prompts);
        let caches = self.pending_cache_updates.take(max_parts);
        GossipMessage { loads, prompts, caches, ..GossipMessage::default() }
    }

    /// Applies a gossip message from another router.
    pub fn apply_gossip(&mut self, message: &GossipMessage, now: Instant) {
        let Some(host) = &message.host else { return };
        self.peers.record_message(host, message, now);
        for notice in &message.loading {
            let Some(state) = self.servers.get_mut(&notice.server) else { continue };
            match notice.stage {
                LoadingStage::Loading => state.mark_loading(now),
                LoadingStage::Loaded => state.mark_loaded(&notice.model, notice.version),
                LoadingStage::Failed => state.clear_loading(),
            }
        }
        for notice in &message.prompts {
            self.apply_prompt_notice(notice, now);
        }
        for notice in &message.caches {
            self.apply_cache_notice(notice, now);
        }
        self.apply_rejections(&message.rejections, now);
    }

    /// Applies a cache update received from an engine or the prompt cache store, and queues it for gossip.
    pub fn apply_cache_update(&mut self, notice: CacheNotice, now: Instant) {
        self.apply_cache_notice(&notice, now);
        self.pending_cache_updates.push(notice);
    }

    fn apply_cache_notice(&mut self, notice: &CacheNotice, now: Instant) {
        let cache = match notice.server {
            ServerKey::STORE => Some(&mut self.store_cache),
            server => self.servers.get_mut(&server).map(|state| &mut state.cache),
        };
        let Some(cache) = cache else { return };
        if notice.is_reset {
            cache.clear();
        }
        for (key, tokens) in &notice.parts {
            cache.apply_event(*key, *tokens, now);
        }
    }

    /// Updates cache, demand and link estimates for a prompt that this or another router sent.
    pub(super) fn apply_prompt_notice(&mut self, notice: &PromptNotice, now: Instant) {
        let parts = || notice.parts.iter().copied();
        parts().for_each(|part| self.demand.record(part, now));
        let taken = f64::from(notice.taken_tokens);
        let ready_at = now + Duration::from_millis(u64::from(notice.ready_ms));
        if let Some(state) = self.servers.get_mut(&notice.server) {
            state.cache.record_prompt(notice.scope, parts(), taken, ready_at);
        }
        if notice.is_stored || notice.source == Some(ServerKey::STORE) {
            let stored = if notice.is_stored { taken } else { 0.0 };
            self.store_cache.record_prompt(notice.scope, parts(), stored, ready_at);
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

    /// Routers that sent a message recently.
    pub fn live_peers(&self, now: Instant) -> Vec<HostName> {
        self.peers.hosts(now).cloned().collect()
    }

    /// Live routers of one availability zone.
    pub fn zone_peers(&self, zone: &ZoneName, now: Instant) -> Vec<ZonePeer> {
        self.peers.zone_peers(zone, now).collect()
    }

    /// Live routers with their availability zones.
    pub fn fleet_hosts(&self, now: Instant) -> Vec<FleetHost> {
        self.peers.fleet_hosts(now).collect()
    }

    /// Sets the interval between two gossip messages of a router.
    pub fn set_gossip_interval(&mut self, interval: Duration) {
        self.gossip_interval = Some(interval);
    }

    /// Compares this host's link bandwidth to that of the other routers.
    pub fn link_rank(&self, own_kbps: u32, now: Instant) -> LinkRank {
        self.peers.link_rank(own_kbps, now)
    }
}
