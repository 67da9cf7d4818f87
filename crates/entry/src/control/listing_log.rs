//! Logs the progress of a listing: a read of the newest record of each key of a topic.

use std::time::Duration;

use fulmargate_consortium::NewestPage;
use fulmargate_consortium::StoreError;
use fulmargate_dispatch::LogTopic;
use fulmargate_names::EventKind;
use tokio::time::Instant;

use crate::control::topic_listing::ListingState;
use crate::telemetry::count_listed_page;
use crate::telemetry::topic_label;

/// A listing in progress writes a line this often.
const PROGRESS_INTERVAL: Duration = Duration::from_secs(2);

/// Counts the pages of a listing.
#[derive(Debug)]
pub(crate) struct ListingLog {
    topic: LogTopic,
    began: Instant,
    last_line: Instant,
    pages: u64,
    records: u64,
    unreadable: u64,
    bytes: u64,
    failures: u64,
}

impl ListingLog {
    pub(crate) fn new(topic: LogTopic) -> ListingLog {
        let began = Instant::now();
        ListingLog {
            topic,
            began,
            last_line: began,
            pages: 0,
            records: 0,
            unreadable: 0,
            bytes: 0,
            failures: 0,
        }
    }

    /// Records a page.
    pub(crate) fn record_page(&mut self, page: &NewestPage, state: ListingState) {
        self.pages += 1;
        self.records += page.records.len() as u64;
        self.unreadable += page.unreadable as u64;
        let sizes =
            page.records.iter().map(|listed| listed.record.value.as_ref().map_or(0, Vec::len));
        self.bytes += sizes.sum::<usize>() as u64;
        count_listed_page(self.topic, "read");
        self.log_progress(page.next.as_deref(), state);
    }

    /// Records that a page could not be read.
    pub(crate) fn record_failure(&mut self, err: &StoreError) {
        self.failures += 1;
        count_listed_page(self.topic, "failed");
        tracing::debug!("page of a listing failed: {err}");
    }

    /// Logs the end of the listing, or that it goes on after the key `next`.
    fn log_progress(&mut self, next: Option<&str>, state: ListingState) {
        let kind = match state {
            ListingState::Continues if self.last_line.elapsed() < PROGRESS_INTERVAL => return,
            ListingState::Continues => EventKind::ListingContinues,
            ListingState::Complete => EventKind::TopicListed,
            ListingState::Stalled => EventKind::ListingStalled,
        };
        self.last_line = Instant::now();
        tracing::info!(
            event = kind.number(),
            name = kind.name(),
            topic = topic_label(self.topic),
            pages = self.pages,
            records = self.records,
            unreadable = self.unreadable,
            bytes = self.bytes,
            failures = self.failures,
            after = next,
            took_ms = self.began.elapsed().as_millis() as u64,
        );
    }
}
