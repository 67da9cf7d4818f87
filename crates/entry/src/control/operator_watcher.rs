//! Follows the operator topic: configuration and weights targets.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use fulmargate_consortium::KeyedRecord;
use fulmargate_consortium::OperatorRecord;
use fulmargate_consortium::StoreError;
use fulmargate_consortium::decode_keyed;
use fulmargate_consortium::decode_operator;
use fulmargate_dispatch::BootTime;
use fulmargate_dispatch::LogPosition;
use fulmargate_dispatch::LogTopic;
use fulmargate_dispatch::RouteTable;
use fulmargate_dispatch::RoutingConfig;
use fulmargate_dispatch::TopicProof;
use fulmargate_dispatch::TopicRead;
use fulmargate_names::EventKind;
use fulmargate_names::ModelName;
use fulmargate_names::StoreEpoch;
use fulmargate_names::WeightsVersion;
use tokio::time::Instant;

use crate::control::epoch_tracker::EpochTracker;
use crate::control::log_source::LogSource;
use crate::control::log_source::SourcePage;
use crate::control::store_retry::StoreRetry;
use crate::control::stored_weights::StoredWeights;
use crate::control::topic_listing::ListingState;
use crate::control::topic_listing::TopicListing;
use crate::state::SharedState;
use crate::state::boot_now;

/// Long-poll wait of a read. A page from a zone reader may be complete only as of two waits ago,
/// and a new configuration must become active within 2 to 3 s. Keys are refused when the last
/// complete read is 5 s old.
const POLL_WAIT: Duration = Duration::from_millis(800);
/// Added to the wait for the response timeout. The store answers in 4 ms, and in 250 ms when it is slow.
const RESPONSE_GRACE: Duration = Duration::from_millis(700);

/// Maintains the active configuration and the weights targets.
pub(crate) struct OperatorWatcher {
    state: Arc<SharedState>,
    source: LogSource,
    retry: StoreRetry,
    /// Position of the next read; `None` if the topic has to be listed.
    next: Option<LogPosition>,
    /// The listing in progress, if any.
    listing: Option<TopicListing>,
    /// Whether that listing has had a configuration which is no older than the active one.
    has_listed_config: bool,
    epoch: EpochTracker,
    /// Bounds the write time of the next records.
    topic_proof: TopicProof,
    /// Whether requests with API keys were admitted after the last read.
    admitted_keys: bool,
    /// A record written since the active configuration could not be read. It may have revoked keys.
    has_unreadable_record: bool,
    stored_weights: Rc<StoredWeights>,
}

impl OperatorWatcher {
    pub(crate) fn new(
        state: Arc<SharedState>,
        source: LogSource,
        stored_weights: Rc<StoredWeights>,
    ) -> OperatorWatcher {
        let retry = StoreRetry::new("operator");
        let epoch = EpochTracker::new(state.clone(), "operator");
        OperatorWatcher {
            state,
            source,
            retry,
            next: None,
            listing: None,
            has_listed_config: false,
            epoch,
            topic_proof: TopicProof::default(),
            admitted_keys: false,
            has_unreadable_record: false,
            stored_weights,
        }
    }

    /// Reads the topic in a loop.
    pub(crate) async fn run(mut self) {
        loop {
            let result = match self.next {
                Some(from) => self.read_next(from).await,
                None => self.read_listing().await,
            };
            match result {
                Ok(()) => self.retry.succeeded(),
                Err(err @ (StoreError::Deleted { .. } | StoreError::Restored { .. })) => {
                    self.topic_proof.record_failure();
                    let kind = EventKind::LogTruncated;
                    tracing::warn!(event = kind.number(), name = kind.name(), topic = "operator", reason = %err);
                    self.next = None;
                    self.listing = None;
                    self.has_listed_config = false;
                    self.retry.back_off_relisting(&err, self.source.max_retry_delay()).await;
                }
                Err(err) => {
                    self.topic_proof.record_failure();
                    self.retry.back_off(&err, self.source.max_retry_delay()).await;
                }
            }
            self.log_admission_change();
        }
    }

    async fn read_next(&mut self, from: LogPosition) -> Result<(), StoreError> {
        let topic = LogTopic::Operator;
        let sent = boot_now();
        let page = self.source.read(topic, from, POLL_WAIT, RESPONSE_GRACE).await?;
        let read = TopicRead { sent, received: boot_now() };
        self.apply_page(from.epoch, read, &page);
        self.next = Some(from.after(page.records.len()));
        self.topic_proof.record_read(read, self.if_readable(page.unchanged_until));
        // A page may end before the topic does; only a complete read proves that nothing is newer.
        if let Some(sent) = page.complete_as_of {
            self.renew_proof(sent);
        }
        Ok(())
    }

    /// Reads the topic's listing. After an error, the next call goes on with the page that failed.
    async fn read_listing(&mut self) -> Result<(), StoreError> {
        loop {
            let listing = self.listing.get_or_insert_with(|| TopicListing::new(LogTopic::Operator));
            let page = self.source.next_page(listing).await?;
            self.epoch.record_listing(page.start.end.epoch)?;
            let sent = page.start.sent;
            let read = TopicRead { sent, received: boot_now() };
            for listed in &page.records {
                self.has_listed_config |= self.apply(&listed.record, read);
            }
            if page.state == ListingState::Continues {
                continue;
            }
            self.listing = None;
            let has_config = std::mem::take(&mut self.has_listed_config);
            // The configuration may be among what a listing that stalled has left out.
            self.has_unreadable_record |= page.state == ListingState::Stalled && !has_config;
            self.next = Some(page.start.end);
            // Weights may be missing after a listing that stalled.
            let complete_until = Some(sent).filter(|_| page.state == ListingState::Complete);
            self.topic_proof.record_read(read, self.if_readable(complete_until));
            self.renew_proof(sent);
            return Ok(());
        }
    }

    /// Records that the topic was read to its end by a read sent at this time. Has no effect if a
    /// record could not be decoded, since that may be a newer configuration.
    fn renew_proof(&self, sent: BootTime) {
        if self.state.table.load().is_some() && !self.has_unreadable_record {
            self.state.proof().renew(sent);
        }
    }

    /// A record that could not be decoded may name weights.
    fn if_readable(&self, complete_until: Option<BootTime>) -> Option<BootTime> {
        complete_until.filter(|_| !self.has_unreadable_record)
    }

    fn apply_page(&mut self, epoch: StoreEpoch, read: TopicRead, page: &SourcePage) {
        for record in &page.records {
            match decode_keyed(record) {
                Ok(record) if self.apply(&record, read) => self.state.proof().mark_trusted(epoch),
                Ok(_) => {}
                Err(err) => self.record_unreadable(&err),
            }
        }
    }

    /// Returns whether the record is a configuration no older than the active one. Written after a
    /// restore from a backup, it includes all that operators had written before.
    fn apply(&mut self, record: &KeyedRecord, read: TopicRead) -> bool {
        match decode_operator(record) {
            Ok(OperatorRecord::Config(config)) => return self.activate_config(*config),
            Ok(OperatorRecord::Weights(model, version)) => {
                self.set_weights_target(&model, version, read);
            }
            Ok(OperatorRecord::Other) => {}
            Err(err) => self.record_unreadable(&err),
        }
        false
    }

    /// Activates a configuration as a whole. A delayed page may contain an older one, which is
    /// ignored. Returns whether it is no older than the active one.
    fn activate_config(&mut self, mut config: RoutingConfig) -> bool {
        let version = config.version;
        let current = self.state.table.load().as_ref().map(|table| table.version());
        if current.is_some_and(|current| version <= current) {
            return current == Some(version);
        }
        self.has_unreadable_record = false;
        self.apply_quotas(&mut config);
        let table = Arc::new(RouteTable::new(config));
        let (routes, hosts, keys) = table.sizes();
        let kind = EventKind::ConfigAccepted;
        tracing::info!(
            event = kind.number(),
            name = kind.name(),
            version = %table.version(),
            routes,
            hosts,
            keys,
        );
        let is_moved = self.state.route_history().apply(table.routes(), boot_now());
        self.state.table.store(Some(table));
        if is_moved {
            self.state.publish_bindings();
        }
        self.state.proof().set_active_version(version);
        true
    }

    /// Keeps the previous quota where the new one is invalid; the rest of the configuration
    /// applies.
    fn apply_quotas(&self, config: &mut RoutingConfig) {
        let previous = self.state.table.load_full();
        for (team, err) in config.keep_quotas(previous.as_deref()) {
            let kind = EventKind::ConfigUnreadable;
            tracing::error!(
                event = kind.number(),
                name = kind.name(),
                version = %config.version,
                %team,
                reason = %err,
            );
        }
        let quotas = config.teams.iter().filter_map(|team| Some((&team.name, team.quota?)));
        self.state.quotas().set_quotas(quotas, Instant::now());
    }

    fn set_weights_target(&self, model: &ModelName, version: WeightsVersion, read: TopicRead) {
        let previous = self.state.weights.load().target(model);
        let written_after = self.topic_proof.written_after(read);
        if !self.state.change_weights(|weights| weights.add_target(model, version, written_after)) {
            return;
        }
        let age = written_after.map(|at| boot_now().since(at).as_millis() as u64);
        let kind = EventKind::WeightsNamed;
        tracing::info!(
            event = kind.number(),
            name = kind.name(),
            %model,
            %version,
            previous = previous.map(|version| version.0),
            age_ms = age,
        );
        self.stored_weights.apply_pending();
    }

    fn log_admission_change(&mut self) {
        let admits_keys = self.state.admits_keys();
        if admits_keys == self.admitted_keys {
            return;
        }
        self.admitted_keys = admits_keys;
        let age_ms = self.state.proof().age(boot_now()).map(|age| age.as_millis() as u64);
        let kind = if admits_keys { EventKind::ConfigProven } else { EventKind::ConfigUnproven };
        tracing::warn!(event = kind.number(), name = kind.name(), age_ms);
    }

    fn record_unreadable(&mut self, err: &StoreError) {
        self.has_unreadable_record = true;
        let kind = EventKind::ConfigUnreadable;
        tracing::error!(event = kind.number(), name = kind.name(), reason = %err);
    }
}
