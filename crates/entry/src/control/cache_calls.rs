//! Calls for cache events.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::time::Duration;

use fulmargate_consortium::CachePage;
use fulmargate_consortium::CacheQuestion;
use fulmargate_consortium::EngineClient;
use fulmargate_consortium::MOST_PAGE_BYTES;
use fulmargate_consortium::StoreError;
use fulmargate_dispatch::ReadShare;
use tokio::sync::Semaphore;
use tokio::time::Instant;
use tokio::time::sleep;

/// A call waits this long for an event.
const READ_WAIT: Duration = Duration::from_millis(400);
/// A call by one who is behind need not wait, but such calls are priced as probes below this time.
const HISTORY_WAIT: Duration = Duration::from_millis(200);
/// The answer is given up after this time more, and its page after as much again.
const READ_ALLOWANCE: Duration = Duration::from_millis(400);
/// Calls at the same time by those that are behind. Each brings pages at the rate of the link, and fills it
/// with some others.
const MOST_HISTORIES: usize = 1;

/// How much a call is expected to bring.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ReadStage {
    /// Pages of what the source has kept.
    Behind,
    /// What has happened since the last call.
    Following,
}

/// Makes the calls of all readers of this host.
pub(crate) struct CacheCalls {
    engines: EngineClient,
    /// Held by calls of those that are behind.
    turns: Semaphore,
    share: RefCell<ReadShare>,
}

impl CacheCalls {
    /// No calls yet, on a link that carries so much.
    pub(crate) fn new(link_bytes_per_s: f64) -> CacheCalls {
        CacheCalls {
            engines: EngineClient::new(),
            turns: Semaphore::new(MOST_HISTORIES),
            share: RefCell::new(ReadShare::new(link_bytes_per_s)),
        }
    }

    /// What a source says from a number on.
    pub(crate) async fn read(
        &self,
        address: SocketAddr,
        since: u64,
        stage: ReadStage,
    ) -> Result<CachePage, StoreError> {
        match stage {
            ReadStage::Behind => self.read_kept(address, since).await,
            ReadStage::Following => self.read_new(address, since).await,
        }
    }

    async fn read_new(&self, address: SocketAddr, since: u64) -> Result<CachePage, StoreError> {
        let question = CacheQuestion {
            since,
            wait: READ_WAIT,
            answer_timeout: READ_WAIT + READ_ALLOWANCE,
            page_timeout: READ_ALLOWANCE,
        };
        self.engines
            .cache_events(address, question, &|bytes| count(ReadStage::Following, bytes))
            .await
    }

    /// A host that takes over many sources would fill its link with what they have kept: no other gets
    /// through to it, and what it reads comes too late and is asked for again. One page at a time, with
    /// pauses after the bytes that came, leaves the link to others.
    async fn read_kept(&self, address: SocketAddr, since: u64) -> Result<CachePage, StoreError> {
        let _turn = self.turns.acquire().await;
        let wait = self.share.borrow().wait(Instant::now());
        sleep(wait).await;
        let page_time = self.share.borrow().time_of(MOST_PAGE_BYTES);
        let question = CacheQuestion {
            since,
            wait: HISTORY_WAIT,
            answer_timeout: HISTORY_WAIT + READ_ALLOWANCE,
            // Given up sooner, a page that comes slowly would be asked for again and again.
            page_timeout: page_time.max(READ_ALLOWANCE),
        };
        let note = |bytes: usize| {
            count(ReadStage::Behind, bytes);
            self.share.borrow_mut().add(bytes, Instant::now());
        };
        self.engines.cache_events(address, question, &note).await
    }
}

/// Counts each piece of a page as it comes, also of calls that fail.
fn count(stage: ReadStage, bytes: usize) {
    let kind = match stage {
        ReadStage::Behind => "kept",
        ReadStage::Following => "new",
    };
    metrics::counter!("fulmargate_cache_read_bytes_total", "kind" => kind).increment(bytes as u64);
}
