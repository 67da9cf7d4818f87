//! Where an engine can fetch what it lacks of a prompt.

use std::net::SocketAddr;

use fulmargate_names::ZoneName;
use tokio::time::Instant;

use crate::ServerKey;
use crate::link_meter::LinkMeter;

/// Time for a fetch to begin.
const SETUP_MS: f64 = 2.0;
/// A transfer to another availability zone takes so many times as long.
const ZONE_FACTOR: f64 = 2.0;
/// A transfer that would wait longer is not started.
const LONGEST_WAIT_MS: f64 = 1_500.0;

/// An engine or the store of cached prompts, with what it has of a prompt's beginning.
#[derive(Clone, Debug)]
pub(crate) struct PromptSource {
    pub(crate) key: ServerKey,
    pub(crate) address: SocketAddr,
    pub(crate) zone: ZoneName,
    /// Tokens at the prompt's beginning that it has or is about to read.
    pub(crate) tokens: u32,
    /// Those that it has read and can give.
    pub(crate) ready_tokens: u32,
    pub(crate) link_mbps: f64,
    pub(crate) link: LinkMeter,
}

impl PromptSource {
    /// Time on the link for so many tokens.
    pub(crate) fn transfer_ms(&self, tokens: f64, token_bytes: f64, to: &ZoneName) -> f64 {
        let factor = if self.zone == *to { 1.0 } else { ZONE_FACTOR };
        tokens * token_bytes * 8.0 / (self.link_mbps.max(1.0) * 1_000.0) * factor
    }

    /// Time until an engine in that zone has them; none if the link is too busy.
    pub(crate) fn fetch_ms(
        &self,
        tokens: f64,
        token_bytes: f64,
        to: &ZoneName,
        now: Instant,
    ) -> Option<f64> {
        let wait = self.link.wait_ms(now);
        if LONGEST_WAIT_MS < wait {
            return None;
        }
        Some(SETUP_MS + wait + self.transfer_ms(tokens, token_bytes, to))
    }
}
