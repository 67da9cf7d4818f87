//! Records that this host maintains in the fleet topic.

#[cfg(test)]
mod tests;

use fulmargate_dispatch::FleetRecord;
use indexmap::IndexMap;

use crate::control::fleet_codec::encode_keyed_record;

/// Rewrites own records that the store lost when it was restored from a backup. Without its
/// membership record, a host stays unknown to all that start later.
#[derive(Debug, Default)]
pub(crate) struct OwnRecords {
    joined: Option<OwnRecord>,
}

#[derive(Debug)]
struct OwnRecord {
    key: String,
    /// Encoded with the key, as stored in the topic.
    bytes: Vec<u8>,
    is_written: bool,
}

impl OwnRecords {
    pub(crate) fn has_joined(&self) -> bool {
        self.joined.is_some()
    }

    /// Adds a record that is to be kept in the store.
    pub(crate) fn put(&mut self, record: &FleetRecord) {
        let bytes = match encode_keyed_record(record) {
            Ok(bytes) => bytes,
            Err(err) => {
                tracing::error!("could not encode a fleet record: {err}");
                return;
            }
        };
        self.joined = Some(OwnRecord { key: record.key(), bytes, is_written: false });
    }

    /// Compares with the records that the store lists by key.
    pub(crate) fn reconcile(&mut self, listed: &IndexMap<String, Vec<u8>>) {
        if let Some(own) = &mut self.joined {
            own.is_written = listed.get(&own.key) == Some(&own.bytes);
        }
    }

    /// Records to be written.
    pub(crate) fn missing(&self) -> Vec<Vec<u8>> {
        let own = self.joined.iter();
        own.filter(|own| !own.is_written).map(|own| own.bytes.clone()).collect()
    }

    /// Marks records as written. Records replaced since are unaffected.
    pub(crate) fn mark_written(&mut self, records: &[Vec<u8>]) {
        if let Some(own) = &mut self.joined {
            own.is_written |= records.contains(&own.bytes);
        }
    }
}
