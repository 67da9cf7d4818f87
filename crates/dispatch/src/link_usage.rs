//! Utilization of a link that carries cached prompts.

use std::time::Duration;

use tokio::time::Instant;

/// End of the last known transfer; the transfers of a link run one after another.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct LinkUsage {
    busy_until: Option<Instant>,
}

impl LinkUsage {
    /// Records a requested transfer.
    pub(crate) fn add(&mut self, transfer_ms: f64, now: Instant) {
        let start = self.busy_until.map_or(now, |until| until.max(now));
        self.busy_until = Some(start + Duration::from_secs_f64(transfer_ms.max(0.0) / 1_000.0));
    }

    /// Time until a transfer requested now would start.
    pub(crate) fn wait_ms(&self, now: Instant) -> f64 {
        let wait =
            self.busy_until.map_or(Duration::ZERO, |until| until.saturating_duration_since(now));
        wait.as_secs_f64() * 1_000.0
    }
}
