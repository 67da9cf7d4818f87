//! Metrics of the coordinator.

use metrics::Counter;
use metrics::Gauge;
use metrics::counter;
use metrics::gauge;

use crate::LedgerStats;
use crate::ShardCoordinator;
use crate::TablePhase;

/// The metrics of one shard.
pub(crate) struct LedgerMetrics {
    published: LedgerStats,
    claims: Counter,
    wins: Counter,
    releases: Counter,
    claims_appended: Counter,
    appends: Counter,
    append_bytes: Counter,
    appends_failed: Counter,
    renewals: Counter,
    books_lost: Counter,
    held_keys: Gauge,
    book_complete: Gauge,
}

impl LedgerMetrics {
    pub(crate) fn new(stream: &str) -> LedgerMetrics {
        let stream = String::from(stream);
        let count = |name: &'static str| counter!(name, "stream" => stream.clone());
        LedgerMetrics {
            published: LedgerStats::default(),
            claims: count("fulmargate_claims_total"),
            wins: count("fulmargate_claims_won_total"),
            releases: count("fulmargate_claims_released_total"),
            claims_appended: count("fulmargate_claims_appended_total"),
            appends: count("fulmargate_claim_appends_total"),
            append_bytes: count("fulmargate_claim_append_bytes_total"),
            appends_failed: count("fulmargate_claim_appends_failed_total"),
            renewals: count("fulmargate_claims_renewed_total"),
            books_lost: count("fulmargate_claim_books_lost_total"),
            held_keys: gauge!("fulmargate_claim_keys", "stream" => stream.clone()),
            book_complete: gauge!("fulmargate_claim_book_complete", "stream" => stream.clone()),
        }
    }

    /// Publishes the changes since the last call.
    pub(crate) fn publish(&mut self, coordinator: &ShardCoordinator) {
        let stats = *coordinator.stats();
        if stats == self.published {
            return;
        }
        self.claims.increment(stats.claims - self.published.claims);
        self.wins.increment(stats.wins - self.published.wins);
        self.releases.increment(stats.releases - self.published.releases);
        self.claims_appended.increment(stats.claims_appended - self.published.claims_appended);
        self.appends.increment(stats.appends - self.published.appends);
        self.append_bytes.increment(stats.append_bytes - self.published.append_bytes);
        self.appends_failed.increment(stats.appends_failed - self.published.appends_failed);
        self.renewals.increment(stats.renewals - self.published.renewals);
        self.books_lost.increment(stats.books_lost - self.published.books_lost);
        self.held_keys.set(coordinator.table().len() as f64);
        self.book_complete.set(f64::from(u8::from(coordinator.phase() == TablePhase::Complete)));
        self.published = stats;
    }
}
