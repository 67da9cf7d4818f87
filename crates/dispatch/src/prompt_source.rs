//! Sources of cached prompt prefixes.

use std::net::SocketAddr;

use fulmargate_names::ZoneName;
use tokio::time::Instant;

use crate::ServerKey;
use crate::link_usage::LinkUsage;

/// Time to set up a fetch.
const FETCH_SETUP_MS: f64 = 2.0;
/// Transfers to another availability zone take this many times as long.
const CROSS_ZONE_FACTOR: f64 = 2.0;
/// A fetch is not started if it would wait longer for the link.
const MAX_LINK_WAIT_MS: f64 = 1_500.0;

/// An engine or the prompt cache store, with the prefix of a prompt that it holds.
#[derive(Clone, Debug)]
pub(crate) struct PromptSource {
    pub(crate) key: ServerKey,
    pub(crate) address: SocketAddr,
    pub(crate) zone: ZoneName,
    /// Length in tokens of the prefix that it holds or is about to prefill.
    pub(crate) tokens: u32,
    /// Length in tokens of the prefix that can be fetched now.
    pub(crate) ready_tokens: u32,
    pub(crate) link_mbps: f64,
    pub(crate) link: LinkUsage,
}

impl PromptSource {
    /// Transmission time, without waiting for the link.
    pub(crate) fn transfer_ms(&self, tokens: f64, token_bytes: f64, target_zone: &ZoneName) -> f64 {
        let factor = if self.zone == *target_zone { 1.0 } else { CROSS_ZONE_FACTOR };
        tokens * token_bytes * 8.0 / (self.link_mbps.max(1.0) * 1_000.0) * factor
    }

    /// Time until an engine in that zone has received the tokens, or `None` if the link is too
    /// busy.
    pub(crate) fn fetch_ms(
        &self,
        tokens: f64,
        token_bytes: f64,
        target_zone: &ZoneName,
        now: Instant,
    ) -> Option<f64> {
        let wait = self.link.wait_ms(now);
        if MAX_LINK_WAIT_MS < wait {
            return None;
        }
        Some(FETCH_SETUP_MS + wait + self.transfer_ms(tokens, token_bytes, target_zone))
    }
}
