//! Finds entries of the server list that nobody writes any more.

use std::time::Duration;

use fulmargate_names::ServerName;
use indexmap::IndexMap;

use crate::BootTime;

/// Time in contact with the store after which an entry that was not written is silent. The platform removes the entry
/// of a server after three heartbeats of 1.2 s; the rest allows for reads through a zone reader.
const MAX_SILENCE: Duration = Duration::from_millis(4_800);
/// Most time between two reads that counts as contact. Outages and suspensions are not the servers' silence.
const MAX_CONTACT_STEP: Duration = Duration::from_millis(1_200);

/// When each entry was written last, on a clock that runs only while this router reads the list.
#[derive(Debug, Default)]
pub(crate) struct SilenceTracker {
    contact: Duration,
    last_contact: Option<BootTime>,
    writes: IndexMap<ServerName, EntryWrites>,
}

#[derive(Clone, Copy, Debug)]
struct EntryWrites {
    last: Duration,
    last_heartbeat: Option<Duration>,
}

impl SilenceTracker {
    /// Records a read of the list.
    pub(crate) fn record_contact(&mut self, now: BootTime) {
        let elapsed = self.last_contact.map_or(Duration::ZERO, |last| now.since(last));
        self.contact += elapsed.min(MAX_CONTACT_STEP);
        self.last_contact = Some(now);
    }

    /// Records that an entry was written, or is new to this router.
    pub(crate) fn record_write(&mut self, server: &ServerName) {
        let last = self.contact;
        let new = EntryWrites { last, last_heartbeat: None };
        self.writes.entry(server.clone()).or_insert(new).last = last;
    }

    /// Records that an entry was written unchanged.
    pub(crate) fn record_heartbeat(&mut self, server: &ServerName) {
        if let Some(writes) = self.writes.get_mut(server) {
            writes.last_heartbeat = Some(self.contact);
        }
    }

    pub(crate) fn remove(&mut self, server: &ServerName) {
        self.writes.swap_remove(server);
    }

    /// Whether an entry has not been written for longer than the platform keeps that of a server.
    pub(crate) fn is_silent(&self, server: &ServerName) -> bool {
        let writes = self.writes.get(server);
        writes.is_some_and(|writes| self.contact - writes.last >= MAX_SILENCE)
    }

    /// Whether a server writes heartbeats.
    pub(crate) fn is_beating(&self, server: &ServerName) -> bool {
        let last = self.writes.get(server).and_then(|writes| writes.last_heartbeat);
        last.is_some_and(|last| self.contact - last < MAX_SILENCE)
    }
}
