//! Follows the cache events of engines and of the store of cached prompts.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use fulmargate_dispatch::LastSeen;
use fulmargate_dispatch::ServerEntry;
use fulmargate_dispatch::ServerKey;
use fulmargate_names::HostName;
use indexmap::IndexMap;
use tokio::time::Instant;
use tokio::time::sleep;
use xxhash_rust::xxh3::xxh3_64;

use crate::control::cache_calls::CacheCalls;
use crate::control::cache_reader::CacheSource;
use crate::control::cache_readers::CacheReaders;
use crate::state::SharedState;

/// How often the list of sources is looked at.
const LIST_PACE: Duration = Duration::from_millis(500);

/// Has each source read by one router, which tells the others: a source serves few calls at once,
/// and what it says is the same for all.
pub(crate) struct CacheWatch {
    state: Arc<SharedState>,
    /// Whether the other routers can have been heard.
    hearing: LastSeen,
    readers: CacheReaders,
}

impl CacheWatch {
    /// Reads nothing yet.
    pub(crate) fn new(state: Arc<SharedState>) -> CacheWatch {
        let calls = CacheCalls::new(state.settings.link_bytes_per_s());
        let readers = CacheReaders::new(state.clone(), Rc::new(calls));
        CacheWatch { state, hearing: LastSeen::new(Instant::now()), readers }
    }

    /// Takes and leaves sources as routers and servers come and go.
    pub(crate) async fn run(mut self) {
        loop {
            let own = self.own_sources();
            self.readers.read_only(&own);
            sleep(LIST_PACE).await;
        }
    }

    fn own_sources(&mut self) -> IndexMap<ServerKey, CacheSource> {
        let own = &self.state.settings.host;
        // A new process has heard nobody and would read all sources, some hundred KB each: its link is full
        // for seconds, no other router reaches it, and so it goes on. Once it can have been reached, it reads
        // its share.
        if !self.hearing.is_over(own, &self.state.fleet.load().members, Instant::now()) {
            return IndexMap::new();
        }
        let table = self.state.table.load();
        let Some(table) = table.as_ref() else { return IndexMap::new() };
        let book = self.state.book();
        let hosts = book.live_peers(Instant::now());
        let engines = book.states().filter(|state| table.has_engines(&state.entry().service));
        let mut sources: IndexMap<ServerKey, CacheSource> =
            engines.map(|state| (state.key(), source(state.key(), state.entry()))).collect();
        drop(book);
        if let Some(address) = table.cache_store_address() {
            let store = CacheSource { key: ServerKey::STORE, address, incarnation: None };
            sources.insert(ServerKey::STORE, store);
        }
        sources.retain(|key, _| is_reader(*key, own, &hosts));
        sources
    }
}

fn source(key: ServerKey, entry: &ServerEntry) -> CacheSource {
    CacheSource { key, address: entry.address, incarnation: entry.incarnation }
}

/// Whether this host reads a source: of the hosts that are heard, it has the highest hash.
fn is_reader(key: ServerKey, own: &HostName, others: &[HostName]) -> bool {
    let rank = |host: &HostName| xxh3_64(format!("{host}/{}", key.0).as_bytes());
    let own_rank = rank(own);
    others.iter().all(|host| rank(host) < own_rank)
}
