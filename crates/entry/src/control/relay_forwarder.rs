//! Forwards gossip messages to the hosts that subscribe to this relay.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use fulmargate_names::HostName;
use indexmap::IndexSet;
use tokio::time::Instant;
use tokio::time::sleep;

use crate::control::connection_table::ConnectionTable;
use crate::control::connection_table::SharedConnections;
use crate::control::connection_table::StreamKind;
use crate::control::connection_table::send_or_connect;
use crate::control::fleet_watcher::SharedFleetState;
use crate::control::relay_queue::SharedRelays;
use crate::state::SharedState;

/// Messages are forwarded in batches at this interval: forwarding each by itself would cost a
/// small host most of its CPU time.
const FORWARD_INTERVAL: Duration = Duration::from_millis(40);
/// Without messages of this zone, relays of other zones get an empty batch as a keepalive at this
/// interval.
const KEEPALIVE_INTERVAL: Duration = Duration::from_millis(120);
/// Send buffer of a relay's connection. Fits a batch of some hundred messages.
const MAX_SEND_BUFFER_BYTES: usize = 64 * 1024;

/// Sends batches of relayed messages to the subscribers.
pub(crate) struct RelayForwarder {
    state: Arc<SharedState>,
    fleet_state: SharedFleetState,
    relays: SharedRelays,
    connections: SharedConnections,
}

impl RelayForwarder {
    pub(crate) fn new(
        state: Arc<SharedState>,
        fleet_state: SharedFleetState,
        relays: SharedRelays,
    ) -> RelayForwarder {
        let stream_kind = StreamKind::Relayed(state.settings.host.clone());
        let connections =
            SharedConnections::new(ConnectionTable::new(stream_kind, MAX_SEND_BUFFER_BYTES).into());
        RelayForwarder { state, fleet_state, relays, connections }
    }

    /// Forwards batches until it is dropped.
    pub(crate) async fn run(self) {
        let mut last_sent = Instant::now();
        loop {
            sleep(FORWARD_INTERVAL).await;
            let zone = &self.state.settings.zone;
            let batch = self.relays.queue.borrow_mut().take_batch(zone, Instant::now());
            let Some(batch) = batch else {
                self.connections.borrow_mut().retain(|_| false);
                continue;
            };
            let subscribers = batch.zone_hosts.iter().chain(&batch.other_relays);
            let subscribers: IndexSet<&HostName> = subscribers.collect();
            self.connections.borrow_mut().retain(|host| subscribers.contains(host));
            if batch.zone_messages.is_empty() && last_sent.elapsed() < KEEPALIVE_INTERVAL {
                self.send_all(&batch.zone_hosts, &batch.all_messages);
                continue;
            }
            last_sent = Instant::now();
            self.send_all(&batch.zone_hosts, &batch.all_messages);
            self.send_all(&batch.other_relays, &batch.zone_messages);
        }
    }

    fn send_all(&self, hosts: &[HostName], messages: &Bytes) {
        for host in hosts {
            let address = self.fleet_state.borrow().address_of(host);
            if let Some(address) = address {
                send_or_connect(&self.connections, host, address, messages);
            }
        }
    }
}
