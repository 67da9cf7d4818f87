//! Passes words on to the routers that want them.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use fulmargate_names::HostName;
use indexmap::IndexSet;
use tokio::time::Instant;
use tokio::time::sleep;

use crate::control::fleet_watcher::SharedFleetState;
use crate::control::link_table::LinkPath;
use crate::control::link_table::LinkTable;
use crate::control::link_table::SharedTable;
use crate::control::link_table::tell;
use crate::control::relay_board::SharedRelays;
use crate::state::SharedState;

/// Words are passed on together at this pace: a message for each would cost a host with an eighth of a core
/// most of its time, and a longer pause makes them older.
const TURN_PACE: Duration = Duration::from_millis(40);
/// A relay without words says that it is there at this pace: its listeners would else take it for lost.
const IDLE_PACE: Duration = Duration::from_millis(120);
/// What may wait in a link, in bytes: a turn of some hundred words.
const MOST_WAITING_BYTES: usize = 64 * 1024;

/// The desk.
pub(crate) struct RelayForwarder {
    state: Arc<SharedState>,
    fleet_state: SharedFleetState,
    relays: SharedRelays,
    table: SharedTable,
}

impl RelayForwarder {
    /// No links yet.
    pub(crate) fn new(
        state: Arc<SharedState>,
        fleet_state: SharedFleetState,
        relays: SharedRelays,
    ) -> RelayForwarder {
        let path = LinkPath::Relayed(state.settings.host.clone());
        let table = SharedTable::new(LinkTable::new(path, MOST_WAITING_BYTES).into());
        RelayForwarder { state, fleet_state, relays, table }
    }

    /// Passes on and on.
    pub(crate) async fn run(self) {
        let mut spoken = Instant::now();
        loop {
            sleep(TURN_PACE).await;
            let zone = &self.state.settings.zone;
            let turn = self.relays.board.borrow_mut().take_turn(zone, Instant::now());
            let Some(turn) = turn else {
                self.table.borrow_mut().retain(|_| false);
                continue;
            };
            let listeners = turn.zone_hosts.iter().chain(&turn.other_relays);
            let listeners: IndexSet<&HostName> = listeners.collect();
            self.table.borrow_mut().retain(|host| listeners.contains(host));
            if turn.zone_words.is_empty() && spoken.elapsed() < IDLE_PACE {
                self.pass_on(&turn.zone_hosts, &turn.all_words);
                continue;
            }
            spoken = Instant::now();
            self.pass_on(&turn.zone_hosts, &turn.all_words);
            self.pass_on(&turn.other_relays, &turn.zone_words);
        }
    }

    fn pass_on(&self, hosts: &[HostName], words: &Bytes) {
        for host in hosts {
            let address = self.fleet_state.borrow().address_of(host);
            if let Some(address) = address {
                tell(&self.table, host, address, words);
            }
        }
    }
}
