//! Cached log records for other routers.

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

/// Lower limit of [`max_proof_age`]. Covers requests without a wait: those reads are 0.7 s apart.
const MIN_PROOF_AGE_LIMIT: Duration = Duration::from_millis(1_200);

/// Cached records of the topics that this router reads.
pub(crate) struct RecordCache {
    caches: RefCell<IndexMap<LogTopic, LogCache>>,
    changed: Notify,
    budget: RefCell<ForwardBudget>,
}

/// Response to a log request of another router.
pub(crate) enum CacheReply {
    Records(LogResponse),
    /// The records exceed the forwarding budget. The requester reads the store, and comes back for
    /// its next read.
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

    /// Adds records read from the store, with the send time of the read if that proves them
    /// complete.
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

    /// Answers as soon as there is a record or a newer proof, or the wait is over. Answers at once
    /// if this host doesn't read the topic or the budget is exhausted.
    pub(crate) async fn answer(&self, request: LogRequest, store: StoreAccess) -> CacheReply {
        let received_at = boot_now();
        let max_age = max_proof_age(request);
        let deadline = Instant::now() + Duration::from_millis(request.wait_ms);
        let known_proof = self.complete_as_of(request.topic);
        loop {
            let changed = self.changed.notified();
            let Some(answer) = self.lookup(request, received_at, max_age) else {
                return CacheReply::Unavailable;
            };
            let is_update =
                !answer.records.is_empty() || self.complete_as_of(request.topic) != known_proof;
            if is_update || deadline <= Instant::now() {
                return self.charge_budget(answer, store);
            }
            // Stops waiting when the proof expires: this host has lost the store, and the requester
            // has to read it while there is time.
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

/// The maximum age of a proof: twice the wait, as a read proves the time before its own wait.
/// Bounded because a partitioned reader keeps returning its last proof, and a configuration must be
/// in force within 2 to 3 s.
fn max_proof_age(request: LogRequest) -> Duration {
    (Duration::from_millis(request.wait_ms) * 2).max(MIN_PROOF_AGE_LIMIT)
}
