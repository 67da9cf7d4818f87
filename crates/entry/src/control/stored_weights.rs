//! Ages of weights that routers have left in the fleet topic.

use std::cell::RefCell;
use std::sync::Arc;

use fulmargate_dispatch::WeightsProof;
use fulmargate_dispatch::WeightsRecord;
use fulmargate_names::EventKind;
use fulmargate_names::ModelName;
use indexmap::IndexMap;

use crate::state::ServerListEnd;
use crate::state::SharedState;
use crate::state::boot_now;

/// The newest record of each model, used on the control thread only. A record is applied once the model's target and
/// the end of the servers' topic are known, which are read in any order.
pub(crate) struct StoredWeights {
    state: Arc<SharedState>,
    newest: RefCell<IndexMap<ModelName, WeightsRecord>>,
    pending: RefCell<IndexMap<ModelName, WeightsRecord>>,
}

impl StoredWeights {
    pub(crate) fn new(state: Arc<SharedState>) -> StoredWeights {
        StoredWeights { state, newest: RefCell::default(), pending: RefCell::default() }
    }

    /// The newest record that this router has read or written.
    pub(crate) fn newest(&self, model: &ModelName) -> Option<WeightsRecord> {
        self.newest.borrow().get(model).cloned()
    }

    /// Adds a record that this router has written.
    pub(crate) fn record_written(&self, record: WeightsRecord) {
        self.newest.borrow_mut().insert(record.model.clone(), record);
    }

    /// Adds a record that was read.
    pub(crate) fn record_read(&self, record: WeightsRecord) {
        if self.newest(&record.model).as_ref() == Some(&record) {
            return;
        }
        self.pending.borrow_mut().insert(record.model.clone(), record.clone());
        self.record_written(record);
        self.apply_pending();
    }

    /// Applies the records for which all is known.
    pub(crate) fn apply_pending(&self) {
        let Some(list) = self.state.server_list.load_full() else { return };
        self.pending.borrow_mut().retain(|_, record| !self.apply(record, &list));
    }

    /// Returns whether the record was applied.
    fn apply(&self, record: &WeightsRecord, list: &ServerListEnd) -> bool {
        let previous = self.state.weights.load_full();
        if previous.target(&record.model).is_none() {
            return false;
        }
        let interval = self.state.settings.bounds.heartbeat();
        let Some(estimates) = record.estimates(&list.end, list.as_of, interval) else {
            return false;
        };
        self.state.change_weights(|weights| {
            for estimate in &estimates {
                weights.add_estimate(&record.model, *estimate);
            }
        });
        for estimate in estimates {
            if previous.is_age_unknown(&record.model, estimate.version) {
                log_learned(record, estimate, list);
            }
        }
        true
    }
}

fn log_learned(record: &WeightsRecord, estimate: WeightsProof, list: &ServerListEnd) {
    let kind = EventKind::WeightsAgeLearned;
    tracing::info!(
        event = kind.number(),
        name = kind.name(),
        model = %record.model,
        version = %estimate.version,
        age_ms = boot_now().since(estimate.proven_at).as_millis() as u64,
        source = "store",
        records = record.mark.records_until(&list.end),
    );
}
