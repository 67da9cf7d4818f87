//! The store's era, as one topic's reader knows it.

use std::sync::Arc;

use fulmargate_consortium::StoreError;
use fulmargate_names::EventKind;
use fulmargate_names::StoreEra;

use crate::state::SharedState;
use crate::state::boot_now;

/// Sees when the store has come back from a copy.
pub(crate) struct EraWatch {
    state: Arc<SharedState>,
    topic: &'static str,
    era: Option<StoreEra>,
    has_risen: bool,
}

impl EraWatch {
    /// Knows of no era yet.
    pub(crate) fn new(state: Arc<SharedState>, topic: &'static str) -> EraWatch {
        EraWatch { state, topic, era: None, has_risen: false }
    }

    /// Whether the store has come back from a copy since this process started.
    pub(crate) fn has_risen(&self) -> bool {
        self.has_risen
    }

    /// The whole topic was listed in this era. Returns whether the store has come back from a copy since the
    /// topic was listed before.
    ///
    /// A list of an earlier era was on its way for long: taken in, it would bring back what was replaced.
    pub(crate) fn listed(&mut self, era: StoreEra) -> Result<bool, StoreError> {
        let before = self.era.unwrap_or(era);
        if era < before {
            let reason = format!("a list of era {era} after one of era {before}");
            return Err(StoreError::Unreadable { reason });
        }
        self.era = Some(era);
        if era == before {
            return Ok(false);
        }
        self.has_risen = true;
        self.state.proof().doubt(era, boot_now());
        let restored = EventKind::StoreRestored;
        tracing::warn!(event = restored.number(), name = restored.name(), topic = self.topic, %before, %era);
        Ok(true)
    }
}
