//! Tracks the store epoch seen by the reader of one topic.

use std::sync::Arc;

use fulmargate_consortium::StoreError;
use fulmargate_names::EventKind;
use fulmargate_names::StoreEpoch;

use crate::state::SharedState;
use crate::state::boot_now;

/// Detects that the store was restored from a backup.
pub(crate) struct EpochTracker {
    state: Arc<SharedState>,
    topic: &'static str,
    epoch: Option<StoreEpoch>,
    has_advanced: bool,
}

impl EpochTracker {
    pub(crate) fn new(state: Arc<SharedState>, topic: &'static str) -> EpochTracker {
        EpochTracker { state, topic, epoch: None, has_advanced: false }
    }

    /// Whether the store was restored from a backup since this process started.
    pub(crate) fn has_advanced(&self) -> bool {
        self.has_advanced
    }

    /// Records that the whole topic was listed in this epoch. Returns whether the store was
    /// restored from a backup since the previous listing.
    ///
    /// A delayed listing of an earlier epoch is rejected: it would bring back replaced records.
    pub(crate) fn record_listing(&mut self, epoch: StoreEpoch) -> Result<bool, StoreError> {
        let before = self.epoch.unwrap_or(epoch);
        if epoch < before {
            let reason = format!("stale listing: epoch {epoch} after epoch {before}");
            return Err(StoreError::Unreadable { reason });
        }
        self.epoch = Some(epoch);
        if epoch == before {
            return Ok(false);
        }
        self.has_advanced = true;
        self.state.proof().mark_untrusted(epoch, boot_now());
        let kind = EventKind::StoreRestored;
        tracing::warn!(event = kind.number(), name = kind.name(), topic = self.topic, %before, %epoch);
        Ok(true)
    }
}
