//! Registry of server meters.

use std::sync::Arc;

use fulmargate_names::Incarnation;
use fulmargate_names::ServerName;
use indexmap::IndexMap;

use crate::PlacementConf;
use crate::ServerId;
use crate::ServerMeter;

/// Owns the meter of each server's current incarnation, on the control thread. Measurements persist
/// across fleet snapshots and are reset when a server restarts.
#[derive(Debug)]
pub struct MeterRegistry {
    meters: IndexMap<ServerName, Arc<ServerMeter>>,
    next_id: u32,
    tokens_per_ms: f64,
}

impl MeterRegistry {
    /// Creates an empty registry.
    pub fn new(conf: &PlacementConf) -> MeterRegistry {
        let tokens_per_ms = conf.prefill_tokens_per_ms;
        MeterRegistry { meters: IndexMap::new(), next_id: 1, tokens_per_ms }
    }

    /// Returns the meter of a server. A newer incarnation gets a new meter; for an older one, such
    /// as from a delayed message, the current meter is returned.
    pub fn meter(&mut self, name: &ServerName, incarnation: Incarnation) -> Arc<ServerMeter> {
        let known = self.meters.get(name);
        if let Some(meter) = known.filter(|meter| incarnation <= meter.incarnation()) {
            return meter.clone();
        }
        let id = ServerId(self.next_id);
        self.next_id += 1;
        let meter = ServerMeter::new(id, name.clone(), incarnation, self.tokens_per_ms);
        let meter = Arc::new(meter);
        self.meters.insert(name.clone(), meter.clone());
        meter
    }

    /// Removes servers that are no longer configured.
    pub fn retain(&mut self, mut is_configured: impl FnMut(&ServerName) -> bool) {
        self.meters.retain(|name, _| is_configured(name));
    }
}
