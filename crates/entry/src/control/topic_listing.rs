//! Reads the newest record of each key of a topic, page by page.

use std::time::Duration;

use fulmargate_consortium::ListedRecord;
use fulmargate_consortium::StoreClient;
use fulmargate_consortium::StoreError;
use fulmargate_dispatch::BootTime;
use fulmargate_dispatch::LogPosition;
use fulmargate_dispatch::LogTopic;
use indexmap::IndexSet;
use tokio::time::sleep;
use xxhash_rust::xxh3::xxh3_64;

use crate::control::listing_log::ListingLog;
use crate::state::boot_now;

/// Timeout for a page, which doesn't wait.
const PAGE_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Pages that are read without a pause: above what all servers of a large fleet need.
const PROMPT_PAGES: u64 = 32;
/// Pause before each further page, so that hosts which list a large topic together stay below the store's rate.
const PAGE_PAUSE: Duration = Duration::from_millis(100);

/// A listing in progress. It goes on after a page that could not be read.
#[derive(Debug)]
pub(crate) struct TopicListing {
    topic: LogTopic,
    /// Key after which the next page begins; `None` for the first one.
    after: Option<String>,
    /// Hashes of the keys after which pages were asked for.
    asked: IndexSet<u64>,
    start: Option<ListingStart>,
    pages: u64,
    log: ListingLog,
}

/// When a listing began, and where the topic ended then. Pages aren't a snapshot: what is written later is read from
/// there.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ListingStart {
    /// Send time of the request for the first page.
    pub(crate) sent: BootTime,
    pub(crate) end: LogPosition,
}

/// What follows a page.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ListingState {
    /// More pages.
    Continues,
    /// Nothing: all keys were listed.
    Complete,
    /// The store returned a page that does not go forward. Keys may be missing.
    Stalled,
}

/// A page of a listing.
#[derive(Debug)]
pub(crate) struct ListedPage {
    pub(crate) records: Vec<ListedRecord>,
    /// Send time of the request for this page.
    pub(crate) sent: BootTime,
    pub(crate) start: ListingStart,
    pub(crate) state: ListingState,
}

impl TopicListing {
    pub(crate) fn new(topic: LogTopic) -> TopicListing {
        let log = ListingLog::new(topic);
        TopicListing { topic, after: None, asked: IndexSet::new(), start: None, pages: 0, log }
    }

    /// Reads the next page. After an error the next call asks for the same page again, unless the store was restored:
    /// then a new listing has to begin.
    pub(crate) async fn next_page(
        &mut self,
        client: &StoreClient,
    ) -> Result<ListedPage, StoreError> {
        if PROMPT_PAGES <= self.pages {
            sleep(PAGE_PAUSE).await;
        }
        let sent = boot_now();
        let result = client.newest(self.topic, self.after.as_deref(), PAGE_TIMEOUT).await;
        let page = result.inspect_err(|err| self.log.record_failure(err))?;
        let start = *self.start.get_or_insert(ListingStart { sent, end: page.end });
        if page.end.epoch != start.end.epoch {
            return Err(StoreError::Restored { epoch: page.end.epoch });
        }
        self.pages += 1;
        let state = match &page.next {
            None => ListingState::Complete,
            Some(next) if self.asked.insert(xxh3_64(next.as_bytes())) => ListingState::Continues,
            Some(_) => ListingState::Stalled,
        };
        self.log.record_page(&page, state);
        self.after = page.next;
        Ok(ListedPage { records: page.records, sent, start, state })
    }
}
