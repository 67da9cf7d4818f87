//! The meters of all servers, by name.

use std::sync::Arc;

use fulmargate_names::Incarnation;
use fulmargate_names::ServerName;
use indexmap::IndexMap;

use crate::PlacementConf;
use crate::ServerId;
use crate::ServerMeter;

/// Keeps the meter of each server's present life, on the control thread. A snapshot of the fleet
/// takes its meters from here, so that what was measured outlives the snapshot but not the life.
#[derive(Debug)]
pub struct MeterBook {
    meters: IndexMap<ServerName, Arc<ServerMeter>>,
    next_id: u32,
    tokens_per_ms: f64,
}

impl MeterBook {
    /// No servers yet.
    pub fn new(conf: &PlacementConf) -> MeterBook {
        let tokens_per_ms = conf.prefill_tokens_per_ms;
        MeterBook { meters: IndexMap::new(), next_id: 1, tokens_per_ms }
    }

    /// The meter of a server's life; a new one if the incarnation is newer than any seen. The
    /// word of a late message about an older life gets the present life's meter.
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

    /// Forgets servers that are no longer configured.
    pub fn retain(&mut self, mut is_kept: impl FnMut(&ServerName) -> bool) {
        self.meters.retain(|name, _| is_kept(name));
    }
}
