//! Reads the cache events of one engine or of the store of cached prompts.

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
use fulmargate_dispatch::history_pause;
use fulmargate_names::EventKind;
use fulmargate_names::Incarnation;
use tokio::time::Instant;
use tokio::time::sleep;

use crate::control::cache_calls::CacheCalls;
use crate::control::cache_calls::ReadStage;
use crate::state::SharedState;

/// Pause between calls to one source: events of a busy engine come some 50 times a second, and each
/// call costs both sides.
const READ_PACE: Duration = Duration::from_millis(250);
/// A page of more parts is one of many: between two calls a busy engine names some 40.
const MOST_FOLLOWING_PARTS: usize = 128;
/// Pause after a failed call for what is new.
const FAILURE_PAUSE: Duration = Duration::from_millis(1_000);

/// An engine's start or the store.
#[derive(Clone, Copy, Debug)]
pub(crate) struct CacheSource {
    /// What the parts that it names are remembered under.
    pub(crate) key: ServerKey,
    pub(crate) address: SocketAddr,
    pub(crate) incarnation: Option<Incarnation>,
}

/// Reads one source on and on.
pub(crate) struct CacheReader {
    state: Arc<SharedState>,
    calls: Rc<CacheCalls>,
    source: CacheSource,
    /// Where to read on.
    next: u64,
    stage: ReadStage,
    epoch: Option<u64>,
    /// Calls in a row that brought nothing.
    failures: u32,
}

impl CacheReader {
    /// Has read nothing yet.
    pub(crate) fn new(
        state: Arc<SharedState>,
        calls: Rc<CacheCalls>,
        source: CacheSource,
    ) -> CacheReader {
        CacheReader {
            state,
            calls,
            source,
            next: 0,
            stage: ReadStage::Behind,
            epoch: None,
            failures: 0,
        }
    }

    /// Reads until it is dropped.
    pub(crate) async fn run(mut self) {
        loop {
            let page = self.calls.read(self.source.address, self.next, self.stage).await;
            sleep(self.take_in(page)).await;
        }
    }

    /// Takes in a page and says how long to pause.
    fn take_in(&mut self, page: Result<CachePage, StoreError>) -> Duration {
        let page = match page {
            Ok(page) => page,
            Err(err) => {
                tracing::debug!("cache events of {} are not to be had: {err}", self.source.address);
                return self.fail();
            }
        };
        // Another start answers at the address. The list will name it.
        if self.is_foreign(&page) {
            return self.fail();
        }
        self.failures = 0;
        let is_new = self.epoch.is_some_and(|epoch| epoch != page.epoch);
        self.epoch = Some(page.epoch);
        self.next = page.next;
        let is_long = MOST_FOLLOWING_PARTS < page.parts.len();
        self.stage = if is_long { ReadStage::Behind } else { ReadStage::Following };
        self.tell(page, is_new);
        READ_PACE
    }

    /// A call from the beginning that fails may have brought most of what is kept: made each second, such
    /// calls fill a small link for good. One that goes on brings what is new.
    fn fail(&mut self) -> Duration {
        self.stage = ReadStage::Behind;
        self.failures = self.failures.saturating_add(1);
        match self.epoch {
            None => history_pause(self.failures),
            Some(_) => FAILURE_PAUSE,
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
            let address = self.source.address;
            tracing::info!(event = gap.number(), name = gap.name(), %address, is_new);
        }
        if !is_reset && page.parts.is_empty() {
            return;
        }
        let notice = CacheNotice { server: self.source.key, is_reset, parts: page.parts };
        self.state.book().hear_cache(notice, Instant::now());
    }
}
