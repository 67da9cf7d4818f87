//! Words of other routers that this one passes on.

#[cfg(test)]
mod tests;

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use bytes::BytesMut;
use fulmargate_dispatch::RelayChoice;
use fulmargate_names::HostName;
use fulmargate_names::ZoneName;
use indexmap::IndexMap;
use tokio::time::Instant;

/// A router asks again with each of its words, the slowest of which come 0.6 s apart.
const LISTENER_AGE: Duration = Duration::from_millis(1_500);
/// Words that wait to be passed on. A turn of 200 hosts' longest words stays below; more would only be older.
const MOST_WAITING_BYTES: usize = 256 * 1024;

/// The board and this router's own choice of relays, shared by the tasks of the control thread.
#[derive(Clone, Default)]
pub(crate) struct SharedRelays {
    pub(crate) board: Rc<RefCell<RelayBoard>>,
    pub(crate) choice: Rc<RefCell<RelayChoice>>,
}

/// Who wants words, and the words since they were last passed on, as they came.
#[derive(Default)]
pub(crate) struct RelayBoard {
    /// By host, with its zone and when it last asked.
    listeners: IndexMap<HostName, (ZoneName, Instant)>,
    /// Words of this zone.
    own_zone: BytesMut,
    /// Words of other zones.
    other_zones: BytesMut,
}

/// What is passed on in a turn.
pub(crate) struct RelayTurn {
    /// For hosts of this zone: all words.
    pub(crate) all_words: Bytes,
    pub(crate) zone_hosts: Vec<HostName>,
    /// For relays of other zones: the words of this one.
    pub(crate) zone_words: Bytes,
    pub(crate) other_relays: Vec<HostName>,
}

impl RelayBoard {
    /// A router wants to hear what others say.
    pub(crate) fn listen(&mut self, host: &HostName, zone: &ZoneName, now: Instant) {
        self.listeners.insert(host.clone(), (zone.clone(), now));
    }

    /// A word of a router of this zone, with its length before it.
    pub(crate) fn push_own_zone(&mut self, message: &[u8]) {
        push(&mut self.own_zone, message);
    }

    /// A word of another zone.
    pub(crate) fn push_other_zone(&mut self, message: &[u8]) {
        push(&mut self.other_zones, message);
    }

    /// Takes what is to be passed on now; nothing where nobody listens.
    pub(crate) fn take_turn(&mut self, own_zone: &ZoneName, now: Instant) -> Option<RelayTurn> {
        self.listeners.retain(|_, (_, at)| now.saturating_duration_since(*at) < LISTENER_AGE);
        let zone_words = self.own_zone.split().freeze();
        let other_words = self.other_zones.split();
        if self.listeners.is_empty() {
            return None;
        }
        let (zone_hosts, other_relays): (Vec<_>, Vec<_>) =
            self.listeners.iter().partition(|(_, (zone, _))| zone == own_zone);
        let names = |hosts: Vec<(&HostName, &(ZoneName, Instant))>| {
            hosts.into_iter().map(|(host, _)| host.clone()).collect()
        };
        let mut all_words = BytesMut::with_capacity(zone_words.len() + other_words.len());
        all_words.extend_from_slice(&zone_words);
        all_words.extend_from_slice(&other_words);
        let (zone_hosts, other_relays) = (names(zone_hosts), names(other_relays));
        Some(RelayTurn { all_words: all_words.freeze(), zone_hosts, zone_words, other_relays })
    }
}

fn push(waiting: &mut BytesMut, message: &[u8]) {
    if waiting.len() + message.len() <= MOST_WAITING_BYTES {
        waiting.extend_from_slice(message);
    }
}
