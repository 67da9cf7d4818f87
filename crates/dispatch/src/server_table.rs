//! Registry of backend servers, built from the records of the platform's server list.

use std::sync::Arc;
use std::time::Duration;

use fulmargate_names::Incarnation;
use fulmargate_names::ServerName;
use fulmargate_names::ServiceName;
use indexmap::IndexMap;
use indexmap::IndexSet;

use crate::BootTime;
use crate::ServerEntry;
use crate::ServerKey;
use crate::ServerStage;
use crate::heartbeat_clock::HeartbeatClock;
use crate::outage_tracker::LapseExtent;
use crate::outage_tracker::OutageTracker;
use crate::server_entry::SharedEntry;
use crate::silence_tracker::SilenceTracker;

/// How long after a restore from backup the list may contain servers that have left. Their entries expire
/// after three heartbeats of 1.2 s; the rest allows for a busy store.
const RESTORED_LIST_TTL: Duration = Duration::from_millis(7_200);
/// Rounds of heartbeats after a removal by which a live server would be listed again: they span more than the
/// two seconds that it takes.
const MIN_DEPARTED_ROUNDS: u64 = 3;
/// Rounds without a write after which an entry expires. A server that announces its departure has written
/// more recently.
const MIN_SILENT_ROUNDS: u64 = 3;
/// Upper bound on remembered starts and departures, which serve to reject late records. At about 100 bytes
/// each, this covers several days of a thousand restarts a day.
const MAX_STARTS: usize = 4_096;

/// The last known start of a server.
#[derive(Clone, Copy, Debug)]
struct KnownStart {
    incarnation: Option<Incarnation>,
    has_drained: bool,
}

/// What became of an entry that the list no longer contains.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EntryRemoval {
    /// There was no such entry.
    Unlisted,
    /// The server gets no further requests.
    Dropped,
    /// The entry is kept for a grace period.
    Lapsed {
        /// The rest of the grace period.
        grace: Duration,
    },
}

/// Why a lapsed entry was dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LapseEnd {
    /// The store has accepted heartbeats of the other servers for so long that a live server would be listed
    /// again.
    LaterHeartbeats,
    /// The grace period is over.
    GraceOver,
}

/// An entry that the list no longer contains, but whose server may be alive.
#[derive(Clone, Copy, Debug)]
struct LapsedEntry {
    /// Rounds of heartbeats before its removal.
    rounds: u64,
    /// Heartbeats of all servers before its removal.
    heartbeats: u64,
    /// Whether it expired for lack of heartbeats while the store accepted those of others: its server has
    /// crashed, or was cut off from the store.
    was_silent: bool,
}

/// State folded from the records of the server list.
///
/// An entry that disappears means that its server has left, except right after an outage of the store: all
/// entries expire at once then, because no heartbeat could be written. Such entries are kept for a grace
/// period, so that the router does not reject every request. A router that was itself cut off or suspended
/// sees the same silence; the heartbeats of the other servers tell it apart from an outage of the store.
#[derive(Debug, Default)]
pub struct ServerTable {
    servers: IndexMap<ServerName, SharedEntry>,
    /// Last known start of each server that was draining or has an incarnation.
    starts: IndexMap<ServerName, KnownStart>,
    /// Servers that the list dropped during a grace period.
    lapsed: IndexMap<ServerName, LapsedEntry>,
    heartbeats: HeartbeatClock,
    /// The latest heartbeat of any server whose entry lapsed later.
    last_lapsed_heartbeat: u64,
    /// Servers whose entries were removed, with their incarnations.
    departed: IndexMap<ServerName, Option<Incarnation>>,
    outages: OutageTracker,
    silence: SilenceTracker,
    /// When the store was last restored from a backup.
    restored_at: Option<BootTime>,
}

impl ServerTable {
    /// Records a response of the store to a read sent at `sent`, before the records of that read are applied.
    /// Returns whether this ended an outage.
    pub fn record_response(&mut self, sent: BootTime, now: BootTime) -> bool {
        self.silence.record_contact(now);
        self.outages.record_response(sent, now)
    }

    /// Records that a read sent at `sent` failed.
    pub fn record_failure(&mut self, sent: BootTime) {
        self.outages.record_failure(sent);
    }

    /// Applies a written entry. Returns false for an entry of an earlier incarnation, which is ignored.
    pub fn put(&mut self, entry: ServerEntry) -> bool {
        let (name, is_lapsed) = (entry.name.clone(), self.is_lapsed(&entry.name));
        let before = self.servers.get(&name).cloned();
        if !self.insert(entry) {
            return false;
        }
        if !is_lapsed && before.as_ref() == self.servers.get(&name) {
            self.heartbeats.record_heartbeat(&name);
            self.silence.record_heartbeat(&name);
        }
        true
    }

    /// Inserts an entry unless it is of an earlier incarnation.
    fn insert(&mut self, mut entry: ServerEntry) -> bool {
        let known = self.starts.get(&entry.name).copied();
        if known.is_some_and(|known| entry.incarnation < known.incarnation) {
            return false;
        }
        // An incarnation that was draining stays draining. Otherwise a late or faulty entry would send it
        // requests that are cut off when it exits.
        let same_start = known.filter(|known| known.incarnation == entry.incarnation);
        if same_start.is_some_and(|known| known.has_drained) {
            entry.stage = ServerStage::Draining;
        }
        // A process keeps its software. One whose entry contradicts itself has no known version.
        let listed = self.servers.get(&entry.name);
        let same_listed = listed.filter(|listed| listed.incarnation == entry.incarnation);
        if same_listed.is_some_and(|listed| listed.version != entry.version) {
            entry.version = None;
        }
        self.record_start(&entry);
        self.departed.swap_remove(&entry.name);
        self.lapsed.swap_remove(&entry.name);
        self.heartbeats.record_change(&entry.name);
        self.silence.record_write(&entry.name);
        self.servers.insert(entry.name.clone(), Arc::new(entry));
        true
    }

    /// Records that the store was restored from a backup. Entries newer than the backup are missing until
    /// their servers write them again.
    pub fn restored(&mut self, now: BootTime) {
        self.outages.begin_grace(now);
        self.restored_at = Some(now);
    }

    /// Applies an entry from a read of the full list. Returns whether the entry was accepted.
    ///
    /// A restored list may show a departed server as ready. Such an entry is ignored; if the server is alive,
    /// it writes its entry again within one heartbeat.
    pub fn put_listed(&mut self, entry: ServerEntry, now: BootTime) -> bool {
        let is_restored =
            self.restored_at.is_some_and(|restored_at| now.since(restored_at) < RESTORED_LIST_TTL);
        if is_restored && self.departed.get(&entry.name) == Some(&entry.incarnation) {
            return false;
        }
        self.insert(entry)
    }

    /// Removes an entry, or keeps it as lapsed during a grace period.
    pub fn remove(&mut self, name: &ServerName, now: BootTime) -> EntryRemoval {
        if !self.servers.contains_key(name) {
            return EntryRemoval::Unlisted;
        }
        let grace = self.outages.remaining_grace(now);
        if grace.is_zero() {
            self.drop_server(name);
            return EntryRemoval::Dropped;
        }
        let last_heartbeat = self.heartbeats.last_heartbeat(name);
        self.last_lapsed_heartbeat = self.last_lapsed_heartbeat.max(last_heartbeat);
        let lapsed = LapsedEntry {
            rounds: self.heartbeats.rounds(),
            heartbeats: self.heartbeats.heartbeats(),
            was_silent: MIN_SILENT_ROUNDS <= self.heartbeats.rounds_since_write(name),
        };
        self.lapsed.entry(name.clone()).or_insert(lapsed);
        EntryRemoval::Lapsed { grace }
    }

    /// Removes all entries that are not in a full list, which is read when records were lost.
    pub fn retain_listed(
        &mut self,
        listed: &IndexSet<ServerName>,
        now: BootTime,
    ) -> Vec<(ServerName, EntryRemoval)> {
        let missing: Vec<ServerName> =
            self.servers.keys().filter(|name| !listed.contains(*name)).cloned().collect();
        let remove = |name: ServerName| {
            let removal = self.remove(&name, now);
            (name, removal)
        };
        missing.into_iter().map(remove).collect()
    }

    /// Drops the lapsed entries of servers that have left. Returns their names.
    pub fn expire(&mut self, now: BootTime) -> Vec<(ServerName, LapseEnd)> {
        let is_grace_over = self.grace_end().is_some_and(|end| end <= now);
        let end = |lapsed: &LapsedEntry| match self.has_departed(lapsed) {
            true => Some(LapseEnd::LaterHeartbeats),
            false => is_grace_over.then_some(LapseEnd::GraceOver),
        };
        let lapsed = self.lapsed.iter();
        let expired: Vec<(ServerName, LapseEnd)> =
            lapsed.filter_map(|(name, lapsed)| Some((name.clone(), end(lapsed)?))).collect();
        for (name, _) in &expired {
            self.drop_server(name);
        }
        expired
    }

    /// When lapsed entries expire if nothing is read until then; `None` if the next outage may have begun by
    /// that time.
    pub fn next_expiry(&self) -> Option<BootTime> {
        self.grace_end().filter(|end| self.outages.is_in_contact(*end))
    }

    fn grace_end(&self) -> Option<BootTime> {
        let extent = match self.lapsed.len() {
            0 => return None,
            count if count * 2 < self.servers.len() => LapseExtent::Few,
            _ => LapseExtent::Most,
        };
        self.outages.grace_end(extent)
    }

    /// Servers that may receive requests: the ready ones. Entries that nobody writes any more belong to no server, if
    /// servers of their service write theirs.
    pub fn usable(&self) -> Vec<Arc<ServerEntry>> {
        let ready = || self.servers.values().filter(|entry| entry.stage == ServerStage::Ready);
        let beating = ready().filter(|entry| self.silence.is_beating(&entry.name));
        let services: IndexSet<&ServiceName> = beating.map(|entry| &entry.service).collect();
        let is_usable = |entry: &&SharedEntry| {
            !self.is_silent(&entry.name) || !services.contains(&entry.service)
        };
        ready().filter(is_usable).cloned().collect()
    }

    /// Listed servers that are draining.
    pub fn draining(&self) -> IndexSet<ServerKey> {
        let draining = self.servers.values().filter(|entry| entry.stage == ServerStage::Draining);
        draining.map(|entry| entry.key()).collect()
    }

    /// Whether an entry has not been written for longer than the platform keeps that of a server.
    pub fn is_silent(&self, name: &ServerName) -> bool {
        self.silence.is_silent(name)
    }

    /// All entries, including those of draining servers.
    pub fn entries(&self) -> impl Iterator<Item = &Arc<ServerEntry>> {
        self.servers.values()
    }

    /// Whether there is an entry of this server.
    pub fn contains(&self, name: &ServerName) -> bool {
        self.servers.contains_key(name)
    }

    /// Whether an entry is kept although the list no longer contains it.
    pub fn is_lapsed(&self, name: &ServerName) -> bool {
        self.lapsed.contains_key(name)
    }

    /// Whether the server had left before an outage, or has had time to register again after it.
    fn has_departed(&self, lapsed: &LapsedEntry) -> bool {
        // No heartbeat is written in an outage, so this one came between the removal and the outage in which
        // its own server's entry lapsed.
        let left_before_outage = lapsed.heartbeats < self.last_lapsed_heartbeat;
        let had_time = lapsed.rounds + MIN_DEPARTED_ROUNDS <= self.heartbeats.rounds();
        !lapsed.was_silent && (left_before_outage || had_time)
    }

    fn drop_server(&mut self, name: &ServerName) {
        self.lapsed.swap_remove(name);
        self.heartbeats.remove(name);
        self.silence.remove(name);
        let Some(entry) = self.servers.swap_remove(name) else { return };
        self.departed.insert(name.clone(), entry.incarnation);
        if MAX_STARTS < self.departed.len() {
            self.departed.shift_remove_index(0);
        }
    }

    fn record_start(&mut self, entry: &ServerEntry) {
        let has_drained = entry.stage == ServerStage::Draining;
        if entry.incarnation.is_none() && !has_drained {
            return;
        }
        let start = KnownStart { incarnation: entry.incarnation, has_drained };
        if self.starts.insert(entry.name.clone(), start).is_none() {
            self.evict_oldest_start();
        }
    }

    /// Evicts the oldest start of an unlisted server if there are too many.
    fn evict_oldest_start(&mut self) {
        if self.starts.len() <= MAX_STARTS {
            return;
        }
        let oldest = self.starts.keys().position(|name| !self.servers.contains_key(name));
        if let Some(oldest) = oldest {
            self.starts.shift_remove_index(oldest);
        }
    }
}
