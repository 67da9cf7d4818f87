//! What a desk tells the operators.

use metrics::Counter;
use metrics::Gauge;
use metrics::counter;
use metrics::gauge;

use crate::BookPhase;
use crate::DeskStats;
use crate::ShardDesk;

/// The metrics of one shard.
pub(crate) struct DeskMetrics {
    told: DeskStats,
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

impl DeskMetrics {
    pub(crate) fn new(stream: &str) -> DeskMetrics {
        let stream = String::from(stream);
        let count = |name: &'static str| counter!(name, "stream" => stream.clone());
        DeskMetrics {
            told: DeskStats::default(),
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

    /// Tells what has changed since the last time.
    pub(crate) fn tell(&mut self, desk: &ShardDesk) {
        let stats = *desk.stats();
        if stats == self.told {
            return;
        }
        self.claims.increment(stats.claims - self.told.claims);
        self.wins.increment(stats.wins - self.told.wins);
        self.releases.increment(stats.releases - self.told.releases);
        self.claims_appended.increment(stats.claims_appended - self.told.claims_appended);
        self.appends.increment(stats.appends - self.told.appends);
        self.append_bytes.increment(stats.append_bytes - self.told.append_bytes);
        self.appends_failed.increment(stats.appends_failed - self.told.appends_failed);
        self.renewals.increment(stats.renewals - self.told.renewals);
        self.books_lost.increment(stats.books_lost - self.told.books_lost);
        self.held_keys.set(desk.book().len() as f64);
        self.book_complete.set(f64::from(u8::from(desk.phase() == BookPhase::Complete)));
        self.told = stats;
    }
}
