//! Cache of log records that this router has read from the store and serves to other routers.

use std::cell::RefCell;
use std::time::Duration;

use fulmargate_dispatch::BootTime;
use fulmargate_dispatch::ForwardBudget;
use fulmargate_dispatch::LogCache;
use fulmargate_dispatch::LogPosition;
use fulmargate_dispatch::LogRequest;
use fulmargate_dispatch::LogResponse;
use fulmargate_dispatch::LogTopic;
use fulmargate_dispatch::StoreAccess;
use indexmap::IndexMap;
use tokio::sync::Notify;
use tokio::time::Instant;
use tokio::time::timeout_at;

use crate::state::boot_now;

/// Lower bound of [`max_record_age`], for requests without a wait: the reads of their topic are 0.7
/// s apart.
const MIN_RECORD_AGE_LIMIT: Duration = Duration::from_millis(1_200);

/// Cached records of the topics that this router reads.
pub(crate) struct RecordCache {
    caches: RefCell<IndexMap<LogTopic, LogCache>>,
    changed: Notify,
    budget: RefCell<ForwardBudget>,
}

/// Response to a log request of another router.
pub(crate) enum CacheReply {
    Records(LogResponse),
    /// The records exceed the forwarding budget. The requester reads the store this time.
    OverBudget {
        /// Size of the records.
        bytes: usize,
        /// Remaining budget in bytes.
        remaining: i64,
    },
    /// The records are missing or too old. The requester tries another router for a while.
    Unavailable,
}

impl RecordCache {
    pub(crate) fn new(link_bytes_per_s: f64) -> RecordCache {
        let budget = ForwardBudget::new(link_bytes_per_s, Instant::now());
        RecordCache {
            caches: RefCell::default(),
            changed: Notify::new(),
            budget: RefCell::new(budget),
        }
    }

    /// Adds records read from the store, with the send time of the read if it reached the end of
    /// the topic.
    pub(crate) fn put(
        &self,
        topic: LogTopic,
        from: LogPosition,
        records: &[Vec<u8>],
        complete_as_of: Option<BootTime>,
    ) {
        let mut caches = self.caches.borrow_mut();
        let cache = caches.entry(topic).or_default();
        cache.add(from, records);
        if let Some(sent) = complete_as_of {
            cache.mark_complete(sent);
        }
        drop(caches);
        self.changed.notify_waiters();
    }

    /// Answers as soon as there is a record or a newer read has reached the end of the topic, or
    /// the wait is over. Answers at once if the cached records are missing or too old.
    pub(crate) async fn answer(&self, request: LogRequest, store: StoreAccess) -> CacheReply {
        let received_at = boot_now();
        let max_age = max_record_age(request);
        let deadline = Instant::now() + Duration::from_millis(request.wait_ms);
        let known_complete_as_of = self.complete_as_of(request.topic);
        loop {
            let changed = self.changed.notified();
            let Some(answer) = self.lookup(request, received_at, max_age) else {
                return CacheReply::Unavailable;
            };
            let is_update = !answer.records.is_empty()
                || self.complete_as_of(request.topic) != known_complete_as_of;
            if is_update || deadline <= Instant::now() {
                return self.charge_budget(answer, store);
            }
            // Stops waiting when the records become too old, so that the requester reads the store.
            let remaining = max_age.saturating_sub(Duration::from_millis(answer.age_ms));
            let expires_at = Instant::now() + remaining + Duration::from_millis(1);
            let _outcome = timeout_at(deadline.min(expires_at), changed).await;
        }
    }

    fn charge_budget(&self, answer: LogResponse, store: StoreAccess) -> CacheReply {
        let mut budget = self.budget.borrow_mut();
        let bytes = answer.bytes();
        match budget.try_take(bytes, store, Instant::now()) {
            true => CacheReply::Records(answer),
            false => CacheReply::OverBudget { bytes, remaining: budget.available_bytes() },
        }
    }

    fn lookup(
        &self,
        request: LogRequest,
        received_at: BootTime,
        max_age: Duration,
    ) -> Option<LogResponse> {
        let caches = self.caches.borrow();
        caches.get(&request.topic)?.answer(request.position(), max_age, received_at, boot_now())
    }

    fn complete_as_of(&self, topic: LogTopic) -> Option<BootTime> {
        self.caches.borrow().get(&topic).and_then(LogCache::complete_as_of)
    }
}

/// Maximum time since the newest read that reached the end of the topic was sent. Such a read may
/// itself have waited as long as the request does, hence twice the wait. Without a limit, a zone
/// reader that has lost the store would keep returning outdated records.
fn max_record_age(request: LogRequest) -> Duration {
    (Duration::from_millis(request.wait_ms) * 2).max(MIN_RECORD_AGE_LIMIT)
}
