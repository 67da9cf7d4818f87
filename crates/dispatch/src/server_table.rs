//! Which backend servers there are, from the platform's list as it is read.

use std::sync::Arc;
use std::time::Duration;

use fulmargate_names::Incarnation;
use fulmargate_names::ServerName;
use indexmap::IndexMap;
use indexmap::IndexSet;

use crate::BootTime;
use crate::ServerEntry;
use crate::ServerStage;
use crate::server_entry::SharedEntry;

/// Without an answer of the store for so long, entries may have lapsed though their servers live.
/// A third of the three missed heartbeats after which the store drops an entry.
const OUTAGE: Duration = Duration::from_millis(1_500);
/// Servers that live are listed again within about two seconds of the store's return; the rest is
/// allowance for the pace of reading.
const RETURN_GRACE: Duration = Duration::from_millis(2_400);
/// After the store has come back from a copy its list names servers that have left, until their entries
/// lapse again: three heartbeats of 1.2 s, and as much for a busy store.
const COPIED_LIST: Duration = Duration::from_millis(7_200);
/// Starts are remembered for so many names, against words that arrive late. At a thousand restarts a
/// day this reaches back for days; a name takes some 100 bytes.
const MOST_STARTS: usize = 4_096;

/// What is known of a server's newest start.
#[derive(Clone, Copy, Debug)]
struct KnownStart {
    incarnation: Option<Incarnation>,
    has_drained: bool,
}

/// The fold over the list's records.
///
/// An entry that disappears means that the server has left, but not right after an outage of the
/// store: heartbeats could not be written, and all entries lapse at once. A router that believed
/// it then would refuse every request. Such entries are kept until the grace time is over.
#[derive(Debug, Default)]
pub struct ServerTable {
    servers: IndexMap<ServerName, SharedEntry>,
    /// The newest start known of each name that drained or told of its start.
    starts: IndexMap<ServerName, KnownStart>,
    lapsed: IndexSet<ServerName>,
    /// Servers whose entries were removed, and their starts.
    left: IndexMap<ServerName, Option<Incarnation>>,
    last_contact: Option<BootTime>,
    returned: Option<BootTime>,
    /// When the store came back from a copy.
    restored: Option<BootTime>,
}

impl ServerTable {
    /// The store has answered a read that was sent at `sent`. To be told before the read's records
    /// are applied. Returns whether this ended an outage.
    pub fn contact(&mut self, sent: BootTime, now: BootTime) -> bool {
        let was_out = self.last_contact.is_some_and(|last| OUTAGE <= sent.since(last));
        if was_out {
            self.returned = Some(now);
        }
        self.last_contact = Some(now);
        was_out
    }

    /// An entry was written. Returns whether it counts: what an earlier start of the server said, or
    /// somebody else under its name, does not.
    pub fn put(&mut self, mut entry: ServerEntry) -> bool {
        let known = self.starts.get(&entry.name).copied();
        if known.is_some_and(|known| entry.incarnation < known.incarnation) {
            return false;
        }
        // A server that has said it drains stays draining: an older entry that is read later, or
        // one written by a confused server, would bring it requests that it cuts off when it ends.
        // A new start of it is another server.
        let same = known.filter(|known| known.incarnation == entry.incarnation);
        if same.is_some_and(|known| known.has_drained) {
            entry.stage = ServerStage::Draining;
        }
        self.note_start(&entry);
        self.left.swap_remove(&entry.name);
        self.lapsed.swap_remove(&entry.name);
        self.servers.insert(entry.name.clone(), Arc::new(entry));
        true
    }

    /// The store has come back from a copy: entries written since are missing until their servers write
    /// again, as after an outage.
    pub fn restored(&mut self, now: BootTime) {
        self.returned = Some(now);
        self.restored = Some(now);
    }

    /// Takes in an entry of the whole list. Returns whether it counts.
    ///
    /// In a copy a server that has left looks ready, and would get requests that it cuts off when it ends.
    /// One that lives writes its entry again within a heartbeat.
    pub fn put_listed(&mut self, entry: ServerEntry, now: BootTime) -> bool {
        let is_copied = self.restored.is_some_and(|restored| now.since(restored) < COPIED_LIST);
        if is_copied && self.left.get(&entry.name) == Some(&entry.incarnation) {
            return false;
        }
        self.put(entry)
    }

    /// An entry was removed.
    pub fn remove(&mut self, name: &ServerName, now: BootTime) {
        if self.in_grace(now) && self.servers.contains_key(name) {
            self.lapsed.insert(name.clone());
            return;
        }
        self.drop_server(name);
    }

    /// The whole list was read because records were lost: what is not in it was removed.
    pub fn retain_listed(&mut self, listed: &IndexSet<ServerName>, now: BootTime) {
        let missing: Vec<ServerName> =
            self.servers.keys().filter(|name| !listed.contains(*name)).cloned().collect();
        for name in &missing {
            self.remove(name, now);
        }
    }

    /// Drops what has not come back in time. Returns the names.
    pub fn expire(&mut self, now: BootTime) -> Vec<ServerName> {
        if self.in_grace(now) || self.lapsed.is_empty() {
            return Vec::new();
        }
        let gone: Vec<ServerName> = self.lapsed.drain(..).collect();
        for name in &gone {
            self.drop_server(name);
        }
        gone
    }

    /// Servers that may get requests.
    pub fn usable(&self) -> Vec<Arc<ServerEntry>> {
        let ready = self.servers.values().filter(|entry| entry.stage == ServerStage::Ready);
        ready.cloned().collect()
    }

    /// All entries, draining ones included.
    pub fn entries(&self) -> impl Iterator<Item = &Arc<ServerEntry>> {
        self.servers.values()
    }

    /// Whether an entry is kept although the list has dropped it.
    pub fn is_lapsed(&self, name: &ServerName) -> bool {
        self.lapsed.contains(name)
    }

    fn in_grace(&self, now: BootTime) -> bool {
        self.returned.is_some_and(|returned| now.since(returned) < RETURN_GRACE)
    }

    fn drop_server(&mut self, name: &ServerName) {
        self.lapsed.swap_remove(name);
        let Some(entry) = self.servers.swap_remove(name) else { return };
        self.left.insert(name.clone(), entry.incarnation);
        if MOST_STARTS < self.left.len() {
            self.left.shift_remove_index(0);
        }
    }

    fn note_start(&mut self, entry: &ServerEntry) {
        let has_drained = entry.stage == ServerStage::Draining;
        if entry.incarnation.is_none() && !has_drained {
            return;
        }
        let start = KnownStart { incarnation: entry.incarnation, has_drained };
        if self.starts.insert(entry.name.clone(), start).is_none() {
            self.bound_starts();
        }
    }

    /// Servers that are still listed are remembered in any case.
    fn bound_starts(&mut self) {
        if self.starts.len() <= MOST_STARTS {
            return;
        }
        let oldest = self.starts.keys().position(|name| !self.servers.contains_key(name));
        if let Some(oldest) = oldest {
            self.starts.shift_remove_index(oldest);
        }
    }
}
