//! How busy a link is that carries cached prompts.

use std::time::Duration;

use tokio::time::Instant;

/// Transfers of one link run one after another; this is when the last one known of ends.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct LinkMeter {
    busy_until: Option<Instant>,
}

impl LinkMeter {
    /// A transfer of this length was asked for.
    pub(crate) fn add(&mut self, transfer_ms: f64, now: Instant) {
        let start = self.busy_until.map_or(now, |until| until.max(now));
        self.busy_until = Some(start + Duration::from_secs_f64(transfer_ms.max(0.0) / 1_000.0));
    }

    /// Time until a transfer that is asked for now begins.
    pub(crate) fn wait_ms(&self, now: Instant) -> f64 {
        let wait =
            self.busy_until.map_or(Duration::ZERO, |until| until.saturating_duration_since(now));
        wait.as_secs_f64() * 1_000.0
    }
}
