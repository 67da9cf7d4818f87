//! Follows the cache events of engines and of the store of cached prompts.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use fulmargate_consortium::CachePage;
use fulmargate_consortium::EngineClient;
use fulmargate_dispatch::CacheNotice;
use fulmargate_dispatch::HearingTime;
use fulmargate_dispatch::ServerEntry;
use fulmargate_dispatch::ServerKey;
use fulmargate_names::EventKind;
use fulmargate_names::HostName;
use fulmargate_names::Incarnation;
use indexmap::IndexMap;
use tokio::time::Instant;
use tokio::time::sleep;
use xxhash_rust::xxh3::xxh3_64;

use crate::state::SharedState;

/// How often the list of sources is looked at.
const LIST_PACE: Duration = Duration::from_millis(500);
/// A call waits this long for an event.
const READ_WAIT: Duration = Duration::from_millis(400);
/// And is given up after this time more.
const READ_ALLOWANCE: Duration = Duration::from_millis(400);
/// Pause between calls to one source: events of a busy engine come some 50 times a second, and each
/// call costs both sides.
const READ_PACE: Duration = Duration::from_millis(250);
/// Pause after a failed call.
const FAILURE_PAUSE: Duration = Duration::from_millis(1_000);

type ReadSources = Rc<RefCell<IndexMap<ServerKey, CacheSource>>>;

/// An engine's start or the store.
#[derive(Clone, Copy, Debug)]
struct CacheSource {
    address: SocketAddr,
    incarnation: Option<Incarnation>,
}

/// Has each source read by one router, which tells the others: a source serves few calls at once,
/// and what it says is the same for all.
pub(crate) struct CacheWatch {
    state: Arc<SharedState>,
    engines: EngineClient,
    /// Whether the other routers can have been heard.
    hearing: HearingTime,
    /// Sources that this router reads.
    read: ReadSources,
}

impl CacheWatch {
    /// Reads nothing yet.
    pub(crate) fn new(state: Arc<SharedState>) -> CacheWatch {
        CacheWatch {
            state,
            engines: EngineClient::new(),
            hearing: HearingTime::new(Instant::now()),
            read: ReadSources::default(),
        }
    }

    /// Takes and leaves sources as routers and servers come and go.
    pub(crate) async fn run(mut self) {
        loop {
            let own = self.own_sources();
            let new: Vec<(ServerKey, CacheSource)> = {
                let read = self.read.borrow();
                let is_new = |(key, _): &(&ServerKey, &CacheSource)| !read.contains_key(*key);
                own.iter().filter(is_new).map(|(key, source)| (*key, *source)).collect()
            };
            *self.read.borrow_mut() = own;
            for (key, source) in new {
                let reader = CacheReader {
                    state: self.state.clone(),
                    engines: self.engines.clone(),
                    read: self.read.clone(),
                    key,
                    source,
                };
                actix_rt::spawn(reader.run());
            }
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
        let source = |entry: &ServerEntry| CacheSource {
            address: entry.address,
            incarnation: entry.incarnation,
        };
        let mut sources: IndexMap<ServerKey, CacheSource> =
            engines.map(|state| (state.key(), source(state.entry()))).collect();
        drop(book);
        if let Some(address) = table.cache_store_address() {
            sources.insert(ServerKey::STORE, CacheSource { address, incarnation: None });
        }
        sources.retain(|key, _| is_reader(*key, own, &hosts));
        sources
    }
}

/// Whether this host reads a source: of the hosts that are heard, it has the highest hash.
fn is_reader(key: ServerKey, own: &HostName, others: &[HostName]) -> bool {
    let rank = |host: &HostName| xxh3_64(format!("{host}/{}", key.0).as_bytes());
    let own_rank = rank(own);
    others.iter().all(|host| rank(host) < own_rank)
}

/// Reads one source.
struct CacheReader {
    state: Arc<SharedState>,
    engines: EngineClient,
    read: ReadSources,
    key: ServerKey,
    source: CacheSource,
}

impl CacheReader {
    async fn run(self) {
        let mut next = 0;
        let mut epoch = None;
        while self.read.borrow().contains_key(&self.key) {
            let timeout = READ_WAIT + READ_ALLOWANCE;
            match self.engines.cache_events(self.source.address, next, READ_WAIT, timeout).await {
                // Another start answers at the address. The list will name it.
                Ok(page) if self.is_foreign(&page) => sleep(FAILURE_PAUSE).await,
                Ok(page) => {
                    let is_new = epoch.is_some_and(|epoch| epoch != page.epoch);
                    epoch = Some(page.epoch);
                    next = page.next;
                    self.tell(page, is_new);
                    sleep(READ_PACE).await;
                }
                Err(err) => {
                    tracing::debug!(
                        "cache events of {} are not to be had: {err}",
                        self.source.address
                    );
                    sleep(FAILURE_PAUSE).await;
                }
            }
        }
    }

    fn is_foreign(&self, page: &CachePage) -> bool {
        let expected = self.source.incarnation;
        expected.is_some() && page.incarnation.is_some() && page.incarnation != expected
    }

    fn tell(&self, page: CachePage, is_new: bool) {
        let is_reset = is_new || page.is_gap;
        if is_reset {
            let gap = EventKind::EventGap;
            tracing::info!(event = gap.number(), name = gap.name(), address = %self.source.address, is_new);
        }
        if !is_reset && page.parts.is_empty() {
            return;
        }
        let notice = CacheNotice { server: self.key, is_reset, parts: page.parts };
        self.state.book().hear_cache(notice, Instant::now());
    }
}
