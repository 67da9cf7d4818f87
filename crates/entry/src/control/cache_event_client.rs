//! HTTP calls that read cache events from engines and from the prompt cache store.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::time::Duration;

use fulmargate_consortium::CacheEventsRequest;
use fulmargate_consortium::CachePage;
use fulmargate_consortium::EngineClient;
use fulmargate_consortium::MAX_PAGE_BYTES;
use fulmargate_consortium::StoreError;
use fulmargate_dispatch::BackfillLimiter;
use tokio::sync::Semaphore;
use tokio::time::Instant;
use tokio::time::sleep;

/// Long-poll wait of a call for new events.
const LIVE_POLL_WAIT: Duration = Duration::from_millis(400);
/// Long-poll wait of a backfill call. Retained events are returned at once, but engines count calls
/// with a shorter wait as probes.
const BACKFILL_POLL_WAIT: Duration = Duration::from_millis(200);
/// Added to the wait for the response timeout. Also the minimum timeout for the page body.
const RESPONSE_GRACE: Duration = Duration::from_millis(400);
/// Concurrent backfill calls. Each call may use the whole bandwidth allotted to backfills.
const MAX_CONCURRENT_BACKFILLS: usize = 1;

/// What a call is expected to return.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ReadMode {
    /// Events that the source recorded before this reader connected, or while it could not.
    Backfill,
    /// Events since the last call.
    Live,
}

/// Issues the calls of all cache readers on this host.
pub(crate) struct CacheEventClient {
    engines: EngineClient,
    backfill_permits: Semaphore,
    backfill_limiter: RefCell<BackfillLimiter>,
}

impl CacheEventClient {
    pub(crate) fn new(link_bytes_per_s: f64) -> CacheEventClient {
        CacheEventClient {
            engines: EngineClient::new(),
            backfill_permits: Semaphore::new(MAX_CONCURRENT_BACKFILLS),
            backfill_limiter: RefCell::new(BackfillLimiter::new(link_bytes_per_s)),
        }
    }

    /// Reads the events of a source from sequence number `since`.
    pub(crate) async fn read(
        &self,
        address: SocketAddr,
        since: u64,
        mode: ReadMode,
    ) -> Result<CachePage, StoreError> {
        match mode {
            ReadMode::Backfill => self.read_backfill(address, since).await,
            ReadMode::Live => self.read_live(address, since).await,
        }
    }

    async fn read_live(&self, address: SocketAddr, since: u64) -> Result<CachePage, StoreError> {
        let request = CacheEventsRequest {
            since,
            wait: LIVE_POLL_WAIT,
            head_timeout: LIVE_POLL_WAIT + RESPONSE_GRACE,
            body_timeout: RESPONSE_GRACE,
        };
        self.engines
            .cache_events(address, request, &|bytes| count_read_bytes(ReadMode::Live, bytes))
            .await
    }

    /// Reads one page of a backfill, throttled so that a host that takes over many sources doesn't
    /// saturate its link.
    async fn read_backfill(
        &self,
        address: SocketAddr,
        since: u64,
    ) -> Result<CachePage, StoreError> {
        let _permit = self.backfill_permits.acquire().await;
        let wait = self.backfill_limiter.borrow().wait(Instant::now());
        sleep(wait).await;
        let page_transfer_time = self.backfill_limiter.borrow().transfer_time(MAX_PAGE_BYTES);
        let request = CacheEventsRequest {
            since,
            wait: BACKFILL_POLL_WAIT,
            head_timeout: BACKFILL_POLL_WAIT + RESPONSE_GRACE,
            // Allows for a page that takes all of the allotted bandwidth.
            body_timeout: page_transfer_time.max(RESPONSE_GRACE),
        };
        let on_bytes = |bytes: usize| {
            count_read_bytes(ReadMode::Backfill, bytes);
            self.backfill_limiter.borrow_mut().add(bytes, Instant::now());
        };
        self.engines.cache_events(address, request, &on_bytes).await
    }
}

/// Counts received bytes, including those of calls that fail later.
fn count_read_bytes(mode: ReadMode, bytes: usize) {
    let kind = match mode {
        ReadMode::Backfill => "kept",
        ReadMode::Live => "new",
    };
    metrics::counter!("fulmargate_cache_read_bytes_total", "kind" => kind).increment(bytes as u64);
}
