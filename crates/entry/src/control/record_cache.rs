//! Records that this router keeps for those that ask it.

use std::cell::RefCell;
use std::time::Duration;

use fulmargate_dispatch::BootTime;
use fulmargate_dispatch::ForwardBudget;
use fulmargate_dispatch::LogAnswer;
use fulmargate_dispatch::LogCache;
use fulmargate_dispatch::LogPosition;
use fulmargate_dispatch::LogQuestion;
use fulmargate_dispatch::LogTopic;
use fulmargate_dispatch::SubscriberStore;
use indexmap::IndexMap;
use tokio::sync::Notify;
use tokio::time::Instant;
use tokio::time::timeout_at;

use crate::state::boot_now;

/// What a router keeps for others must be younger than twice the wait of a question, or than this where
/// there is none; else they read for themselves. A read proves the moment before its wait, so that a
/// sound reader's proof gets as old as two of its waits. The list of servers is read without one each 0.7 s.
const LEAST_AGE: Duration = Duration::from_millis(1_200);

/// The topics that this router reads, kept for those that ask.
pub(crate) struct RecordCache {
    caches: RefCell<IndexMap<LogTopic, LogCache>>,
    changed: Notify,
    budget: RefCell<ForwardBudget>,
}

/// What another router is told that asks for records.
pub(crate) enum CacheReply {
    /// The records.
    Records(LogAnswer),
    /// They are here and may not go now: the asker reads the store, and asks here again afterwards.
    OverBudget {
        /// Bytes of the records.
        bytes: usize,
        /// Bytes that may go now.
        left: i64,
    },
    /// They are not here, or are too old: the asker turns to another router for a while.
    NotThere,
}

impl RecordCache {
    /// An empty shelf on a host whose link carries so much.
    pub(crate) fn new(link_bytes_per_s: f64) -> RecordCache {
        let budget = ForwardBudget::new(link_bytes_per_s, Instant::now());
        RecordCache {
            caches: RefCell::default(),
            changed: Notify::new(),
            budget: RefCell::new(budget),
        }
    }

    /// Keeps what the store has given from a position on, and when the read was sent that proved it.
    pub(crate) fn put(
        &self,
        topic: LogTopic,
        from: LogPosition,
        records: &[Vec<u8>],
        proven: Option<BootTime>,
    ) {
        let mut caches = self.caches.borrow_mut();
        let cache = caches.entry(topic).or_default();
        cache.add(from, records);
        if let Some(sent) = proven {
            cache.prove(sent);
        }
        drop(caches);
        self.changed.notify_waiters();
    }

    /// Answers another router, as soon as there is a record or a newer proof, or its wait is over. A
    /// host that does not read itself says so at once, and so does one that may not hand on so much now.
    pub(crate) async fn answer(&self, question: LogQuestion, store: SubscriberStore) -> CacheReply {
        let arrived = boot_now();
        let longest = longest_age(question);
        let until = Instant::now() + Duration::from_millis(question.wait_ms);
        let known = self.proven(question.topic);
        loop {
            let changed = self.changed.notified();
            let Some(answer) = self.now(question, arrived, longest) else {
                return CacheReply::NotThere;
            };
            let is_news = !answer.records.is_empty() || self.proven(question.topic) != known;
            if is_news || until <= Instant::now() {
                return self.within_budget(answer, store);
            }
            // A proof that gets too old during the wait is no answer: this host has lost the store, and
            // the asker has to read for itself while there is time.
            let left = longest.saturating_sub(Duration::from_millis(answer.age_ms));
            let too_old = Instant::now() + left + Duration::from_millis(1);
            let _changed_or_over = timeout_at(until.min(too_old), changed).await;
        }
    }

    fn within_budget(&self, answer: LogAnswer, store: SubscriberStore) -> CacheReply {
        let mut budget = self.budget.borrow_mut();
        let bytes = answer.bytes();
        match budget.try_take(bytes, store, Instant::now()) {
            true => CacheReply::Records(answer),
            false => CacheReply::OverBudget { bytes, left: budget.left() },
        }
    }

    fn now(
        &self,
        question: LogQuestion,
        arrived: BootTime,
        longest: Duration,
    ) -> Option<LogAnswer> {
        let caches = self.caches.borrow();
        caches.get(&question.topic)?.answer(question.position(), longest, arrived, boot_now())
    }

    fn proven(&self, topic: LogTopic) -> Option<BootTime> {
        self.caches.borrow().get(&topic).and_then(LogCache::proven)
    }
}

/// The oldest proof that is an answer. A configuration must be in force within 2 to 3 s of its writing: a reader
/// that was cut off would give its last proof for longer, and then keep the next question for its whole wait.
fn longest_age(question: LogQuestion) -> Duration {
    (Duration::from_millis(question.wait_ms) * 2).max(LEAST_AGE)
}
