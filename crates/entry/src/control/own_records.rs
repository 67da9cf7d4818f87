//! What this host has written to the routers' topic and wants to lie there.

#[cfg(test)]
mod tests;

use fulmargate_dispatch::FleetRecord;
use indexmap::IndexMap;

use crate::control::fleet_codec::keyed_record;

/// Crashes that are written again after the store has lost them; a server that crashes breaks some 16
/// requests, and those before are known to all hosts that run.
const MOST_CRASHES: usize = 64;

/// The store acknowledges a record and may lose it when it comes back from a copy. A host whose address is
/// lost stays unknown to all that start later; so each host compares what the store lists with what it has
/// written, and writes again what is missing.
#[derive(Debug, Default)]
pub(crate) struct OwnRecords {
    joined: Option<OwnRecord>,
    /// By key, the newest last.
    crashes: IndexMap<String, OwnRecord>,
}

#[derive(Debug)]
struct OwnRecord {
    key: String,
    /// As it lies in the store, behind its key.
    bytes: Vec<u8>,
    is_written: bool,
}

impl OwnRecords {
    /// Whether this host has said where it is.
    pub(crate) fn has_joined(&self) -> bool {
        self.joined.is_some()
    }

    /// This host wants the record to lie in the store.
    pub(crate) fn put(&mut self, record: &FleetRecord) {
        let bytes = match keyed_record(record) {
            Ok(bytes) => bytes,
            Err(err) => {
                tracing::error!("a record cannot be written: {err}");
                return;
            }
        };
        let own = OwnRecord { key: record.key(), bytes, is_written: false };
        match record {
            FleetRecord::Crash { .. } => self.put_crash(own),
            _ => self.joined = Some(own),
        }
    }

    fn put_crash(&mut self, own: OwnRecord) {
        self.crashes.shift_remove(&own.key);
        self.crashes.insert(own.key.clone(), own);
        if MOST_CRASHES < self.crashes.len() {
            self.crashes.shift_remove_index(0);
        }
    }

    /// The store lists these records by key. A crash of another host may have taken the place of an own one.
    pub(crate) fn compare(&mut self, listed: &IndexMap<String, Vec<u8>>) {
        if let Some(own) = &mut self.joined {
            own.is_written = listed.get(&own.key) == Some(&own.bytes);
        }
        for own in self.crashes.values_mut() {
            own.is_written = listed.contains_key(&own.key);
        }
    }

    /// Records to be written.
    pub(crate) fn missing(&self) -> Vec<Vec<u8>> {
        let all = self.joined.iter().chain(self.crashes.values());
        all.filter(|own| !own.is_written).map(|own| own.bytes.clone()).collect()
    }

    /// These were written. Others may have taken their places here meanwhile.
    pub(crate) fn written(&mut self, records: &[Vec<u8>]) {
        for own in self.joined.iter_mut().chain(self.crashes.values_mut()) {
            own.is_written |= records.contains(&own.bytes);
        }
    }
}
