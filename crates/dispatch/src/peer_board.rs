//! What other routers have said of their requests under way.

use std::time::Duration;

use fulmargate_names::HostName;
use fulmargate_names::ZoneName;
use indexmap::IndexMap;
use tokio::time::Instant;

use crate::PeerLoad;
use crate::ServerKey;
use crate::Urgency;

/// A router's word counts this long, twice the pause between messages of a fleet of some 90. One that
/// fell silent may have ended, and its requests with it.
const WORD_AGE: Duration = Duration::from_millis(1_200);

/// The newest word of each router, and the sums by server.
#[derive(Debug, Default)]
pub struct PeerBoard {
    words: IndexMap<HostName, PeerWord>,
}

#[derive(Debug)]
struct PeerWord {
    at: Instant,
    zone: Option<ZoneName>,
    loads: IndexMap<ServerKey, PeerLoad>,
}

impl PeerBoard {
    /// A router has spoken.
    pub fn hear(
        &mut self,
        host: &HostName,
        zone: Option<&ZoneName>,
        loads: &[PeerLoad],
        now: Instant,
    ) {
        let loads = loads.iter().map(|load| (load.server, *load)).collect();
        self.words.insert(host.clone(), PeerWord { at: now, zone: zone.cloned(), loads });
        self.words.retain(|_, word| now.saturating_duration_since(word.at) < WORD_AGE);
    }

    /// Routers that have spoken lately.
    pub fn hosts(&self, now: Instant) -> impl Iterator<Item = &HostName> {
        let is_fresh = move |word: &PeerWord| now.saturating_duration_since(word.at) < WORD_AGE;
        self.words.iter().filter(move |(_, word)| is_fresh(word)).map(|(host, _)| host)
    }

    /// Those of one availability zone.
    pub fn zone_hosts(&self, zone: &ZoneName, now: Instant) -> impl Iterator<Item = &HostName> {
        let is_there = move |word: &PeerWord| {
            word.zone.as_ref() == Some(zone) && now.saturating_duration_since(word.at) < WORD_AGE
        };
        self.words.iter().filter(move |(_, word)| is_there(word)).map(|(host, _)| host)
    }

    /// Requests of all of them at a server.
    pub fn open(&self, server: ServerKey, now: Instant) -> u32 {
        self.loads(server, now).map(|load| load.open).sum()
    }

    /// Chats of all of them at a server.
    pub fn chats(&self, server: ServerKey, now: Instant) -> u32 {
        self.loads(server, now).map(|load| load.chats).sum()
    }

    /// Their prompt tokens that are read before a request of this urgency.
    pub fn tokens_before(&self, server: ServerKey, urgency: Urgency, now: Instant) -> f64 {
        self.loads(server, now).map(|load| load.backlog.before(urgency)).sum()
    }

    fn loads(&self, server: ServerKey, now: Instant) -> impl Iterator<Item = &PeerLoad> {
        self.fresh(now).filter_map(move |word| word.loads.get(&server))
    }

    fn fresh(&self, now: Instant) -> impl Iterator<Item = &PeerWord> {
        let is_fresh = move |word: &&PeerWord| now.saturating_duration_since(word.at) < WORD_AGE;
        self.words.values().filter(is_fresh)
    }
}
