//! Messages of other routers that this one relays.

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

/// Time after which a subscription expires. Each message that asks for it renews it; messages are
/// up to 0.6 s apart.
const SUBSCRIPTION_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Maximum size of the messages queued between two batches, for each of the two buffers. A
/// message that doesn't fit is dropped.
const MAX_QUEUED_BYTES: usize = 256 * 1024;

/// The queue and this router's own relays, shared by the tasks of the control thread.
#[derive(Clone, Default)]
pub(crate) struct SharedRelays {
    pub(crate) queue: Rc<RefCell<RelayQueue>>,
    pub(crate) choice: Rc<RefCell<RelayChoice>>,
}

/// Subscribers, and the messages received since the last batch.
#[derive(Default)]
pub(crate) struct RelayQueue {
    /// By host, with its zone and when it last renewed its subscription.
    subscribers: IndexMap<HostName, (ZoneName, Instant)>,
    /// Messages from this zone.
    own_zone: BytesMut,
    /// Messages from other zones.
    other_zones: BytesMut,
}

/// Messages to forward, and their recipients.
pub(crate) struct RelayBatch {
    /// For hosts of this zone: messages from all zones.
    pub(crate) all_messages: Bytes,
    pub(crate) zone_hosts: Vec<HostName>,
    /// For relays of other zones: messages from this zone.
    pub(crate) zone_messages: Bytes,
    pub(crate) other_relays: Vec<HostName>,
}

impl RelayQueue {
    /// Adds a subscription or renews it.
    pub(crate) fn subscribe(&mut self, host: &HostName, zone: &ZoneName, now: Instant) {
        self.subscribers.insert(host.clone(), (zone.clone(), now));
    }

    /// Adds a message of a router in this zone, including its length prefix.
    pub(crate) fn push_own_zone(&mut self, message: &[u8]) {
        push(&mut self.own_zone, message);
    }

    /// Adds a message of a router in another zone, including its length prefix.
    pub(crate) fn push_other_zone(&mut self, message: &[u8]) {
        push(&mut self.other_zones, message);
    }

    /// Takes the messages to forward now; `None` without subscribers.
    pub(crate) fn take_batch(&mut self, own_zone: &ZoneName, now: Instant) -> Option<RelayBatch> {
        self.subscribers
            .retain(|_, (_, at)| now.saturating_duration_since(*at) < SUBSCRIPTION_TIMEOUT);
        let zone_messages = self.own_zone.split().freeze();
        let other_messages = self.other_zones.split();
        if self.subscribers.is_empty() {
            return None;
        }
        let (zone_hosts, other_relays): (Vec<_>, Vec<_>) =
            self.subscribers.iter().partition(|(_, (zone, _))| zone == own_zone);
        let names = |hosts: Vec<(&HostName, &(ZoneName, Instant))>| {
            hosts.into_iter().map(|(host, _)| host.clone()).collect()
        };
        let mut all_messages = BytesMut::with_capacity(zone_messages.len() + other_messages.len());
        all_messages.extend_from_slice(&zone_messages);
        all_messages.extend_from_slice(&other_messages);
        let (zone_hosts, other_relays) = (names(zone_hosts), names(other_relays));
        Some(RelayBatch {
            all_messages: all_messages.freeze(),
            zone_hosts,
            zone_messages,
            other_relays,
        })
    }
}

fn push(buffer: &mut BytesMut, message: &[u8]) {
    if buffer.len() + message.len() <= MAX_QUEUED_BYTES {
        buffer.extend_from_slice(message);
    }
}
