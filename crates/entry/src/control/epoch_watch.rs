//! The store's epoch, as one topic's reader knows it.

use std::sync::Arc;

use fulmargate_consortium::StoreError;
use fulmargate_names::EventKind;
use fulmargate_names::StoreEpoch;

use crate::state::SharedState;
use crate::state::boot_now;

/// Sees when the store has come back from a copy.
pub(crate) struct EpochWatch {
    state: Arc<SharedState>,
    topic: &'static str,
    epoch: Option<StoreEpoch>,
    has_risen: bool,
}

impl EpochWatch {
    /// Knows of no epoch yet.
    pub(crate) fn new(state: Arc<SharedState>, topic: &'static str) -> EpochWatch {
        EpochWatch { state, topic, epoch: None, has_risen: false }
    }

    /// Whether the store has come back from a copy since this process started.
    pub(crate) fn has_risen(&self) -> bool {
        self.has_risen
    }

    /// The whole topic was listed in this epoch. Returns whether the store has come back from a copy since the
    /// topic was listed before.
    ///
    /// A list of an earlier epoch was on its way for long: taken in, it would bring back what was replaced.
    pub(crate) fn listed(&mut self, epoch: StoreEpoch) -> Result<bool, StoreError> {
        let before = self.epoch.unwrap_or(epoch);
        if epoch < before {
            let reason = format!("a list of epoch {epoch} after one of epoch {before}");
            return Err(StoreError::Unreadable { reason });
        }
        self.epoch = Some(epoch);
        if epoch == before {
            return Ok(false);
        }
        self.has_risen = true;
        self.state.proof().doubt(epoch, boot_now());
        let restored = EventKind::StoreRestored;
        tracing::warn!(event = restored.number(), name = restored.name(), topic = self.topic, %before, %epoch);
        Ok(true)
    }
}
