//! Reads the cache events of one engine or of the prompt cache store.

#[cfg(test)]
mod tests;

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use fulmargate_consortium::CachePage;
use fulmargate_consortium::StoreError;
use fulmargate_dispatch::CacheNotice;
use fulmargate_dispatch::ServerKey;
use fulmargate_dispatch::backfill_retry_delay;
use fulmargate_names::EventKind;
use fulmargate_names::Incarnation;
use tokio::time::Instant;
use tokio::time::sleep;

use crate::control::cache_event_client::CacheEventClient;
use crate::control::cache_event_client::ReadMode;
use crate::state::SharedState;

/// Delay between calls to one source. Batches the events of a busy engine, as each call
/// has a fixed cost on both sides.
const READ_INTERVAL: Duration = Duration::from_millis(250);
/// A page with more parts belongs to a backfill.
const MAX_LIVE_PARTS: usize = 128;
/// Delay after a failed call for new events.
const LIVE_RETRY_DELAY: Duration = Duration::from_millis(1_000);

/// An engine incarnation, or the prompt cache store.
#[derive(Clone, Copy, Debug)]
pub(crate) struct CacheSource {
    /// Server under which the reported parts are recorded.
    pub(crate) key: ServerKey,
    pub(crate) address: SocketAddr,
    pub(crate) incarnation: Option<Incarnation>,
}

/// Reads the events of one source in a loop.
pub(crate) struct CacheReader {
    state: Arc<SharedState>,
    client: Rc<CacheEventClient>,
    source: CacheSource,
    /// Sequence number to continue from.
    next: u64,
    mode: ReadMode,
    /// Epoch of the source's event stream, unrelated to the store epoch. Parts reported in an
    /// earlier one no longer apply. `None` before the first page.
    epoch: Option<u64>,
    /// Consecutive failed calls.
    failures: u32,
}

impl CacheReader {
    pub(crate) fn new(
        state: Arc<SharedState>,
        client: Rc<CacheEventClient>,
        source: CacheSource,
    ) -> CacheReader {
        CacheReader {
            state,
            client,
            source,
            next: 0,
            mode: ReadMode::Backfill,
            epoch: None,
            failures: 0,
        }
    }

    pub(crate) async fn run(mut self) {
        loop {
            let page = self.client.read(self.source.address, self.next, self.mode).await;
            sleep(self.handle_page(page)).await;
        }
    }

    /// Processes a page and returns the delay before the next call.
    fn handle_page(&mut self, page: Result<CachePage, StoreError>) -> Duration {
        let page = match page {
            Ok(page) => page,
            Err(err) => {
                tracing::debug!("could not read cache events from {}: {err}", self.source.address);
                return self.record_failure();
            }
        };
        // Another incarnation answers at this address. The server list will replace the source.
        if self.is_other_incarnation(&page) {
            return self.record_failure();
        }
        self.failures = 0;
        let is_new_epoch = self.epoch.is_some_and(|epoch| epoch != page.epoch);
        self.epoch = Some(page.epoch);
        self.next = page.next;
        let is_partial_backfill = MAX_LIVE_PARTS < page.parts.len();
        self.mode = if is_partial_backfill { ReadMode::Backfill } else { ReadMode::Live };
        self.publish(page, is_new_epoch);
        READ_INTERVAL
    }

    /// Counts a failed call and returns the delay before the next.
    ///
    /// A failed first call may have transferred most of the retained events, so it is retried with
    /// exponential backoff. Later calls transfer only what is new.
    fn record_failure(&mut self) -> Duration {
        self.mode = ReadMode::Backfill;
        self.failures = self.failures.saturating_add(1);
        match self.epoch {
            None => backfill_retry_delay(self.failures),
            Some(_) => LIVE_RETRY_DELAY,
        }
    }

    fn is_other_incarnation(&self, page: &CachePage) -> bool {
        let expected = self.source.incarnation;
        expected.is_some() && page.incarnation.is_some() && page.incarnation != expected
    }

    fn publish(&self, page: CachePage, is_new_epoch: bool) {
        let is_reset = is_new_epoch || page.has_gap;
        if is_reset {
            let kind = EventKind::EventGap;
            let address = self.source.address;
            tracing::info!(event = kind.number(), name = kind.name(), %address, is_new = is_new_epoch);
        }
        if !is_reset && page.parts.is_empty() {
            return;
        }
        let notice = CacheNotice { server: self.source.key, is_reset, parts: page.parts };
        self.state.servers().apply_cache_update(notice, Instant::now());
    }
}
