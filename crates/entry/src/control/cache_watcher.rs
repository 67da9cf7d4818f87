//! Assigns the sources of prompt cache events to routers and runs the cache event readers of this
//! host.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use fulmargate_dispatch::PeerDiscovery;
use fulmargate_dispatch::ServerEntry;
use fulmargate_dispatch::ServerKey;
use fulmargate_names::HostName;
use indexmap::IndexMap;
use tokio::time::Instant;
use tokio::time::sleep;
use xxhash_rust::xxh3::xxh3_64;

use crate::control::cache_event_client::CacheEventClient;
use crate::control::cache_reader::CacheSource;
use crate::control::cache_reader_set::CacheReaderSet;
use crate::state::SharedState;

/// Interval at which the assignment is recomputed.
const SYNC_INTERVAL: Duration = Duration::from_millis(500);

/// Assigns each source to one router, which forwards the events to the others, since a source
/// serves few concurrent calls.
pub(crate) struct CacheWatcher {
    state: Arc<SharedState>,
    /// Whether the other routers have had time to reach this one.
    peer_discovery: PeerDiscovery,
    readers: CacheReaderSet,
}

impl CacheWatcher {
    pub(crate) fn new(state: Arc<SharedState>) -> CacheWatcher {
        let client = CacheEventClient::new(state.settings.link_bytes_per_s());
        let readers = CacheReaderSet::new(state.clone(), Rc::new(client));
        CacheWatcher { state, peer_discovery: PeerDiscovery::new(Instant::now()), readers }
    }

    /// Updates the readers as routers and servers come and go.
    pub(crate) async fn run(mut self) {
        loop {
            let sources = self.assigned_sources();
            self.readers.set_sources(&sources);
            sleep(SYNC_INTERVAL).await;
        }
    }

    fn assigned_sources(&mut self) -> IndexMap<ServerKey, CacheSource> {
        let own = &self.state.settings.host;
        // A new process knows no other routers. It would read all sources itself and saturate its
        // link.
        if !self.peer_discovery.is_complete(own, &self.state.fleet.load().members, Instant::now()) {
            return IndexMap::new();
        }
        let table = self.state.table.load();
        let Some(table) = table.as_ref() else { return IndexMap::new() };
        let now = Instant::now();
        let servers = self.state.servers();
        let peers = servers.live_peers(now);
        let mut sources = IndexMap::new();
        for service in table.services().filter(|service| table.has_engines(&service.name)) {
            // Each engine is read by a host that reaches it.
            if servers.is_out_of_reach(&service.name, now) {
                continue;
            }
            let readers = servers.peers_reaching(&service.name, now);
            let engines = servers.states().filter(|state| state.entry().service == service.name);
            let assigned = engines.filter(|state| is_assigned_to(state.key(), own, &readers));
            sources.extend(
                assigned.map(|state| (state.key(), cache_source(state.key(), state.entry()))),
            );
        }
        drop(servers);
        if let Some(address) = table.cache_store_address()
            && is_assigned_to(ServerKey::STORE, own, &peers)
        {
            let store = CacheSource { key: ServerKey::STORE, address, incarnation: None };
            sources.insert(ServerKey::STORE, store);
        }
        sources
    }
}

fn cache_source(key: ServerKey, entry: &ServerEntry) -> CacheSource {
    CacheSource { key, address: entry.address, incarnation: entry.incarnation }
}

/// Rendezvous hashing over the live hosts: the one with the highest hash reads the source.
fn is_assigned_to(key: ServerKey, own: &HostName, peers: &[HostName]) -> bool {
    let weight = |host: &HostName| xxh3_64(format!("{host}/{}", key.0).as_bytes());
    let own_weight = weight(own);
    peers.iter().all(|host| weight(host) < own_weight)
}
