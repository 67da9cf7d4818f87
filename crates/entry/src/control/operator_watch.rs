//! Follows what operators write.

use std::sync::Arc;
use std::time::Duration;

use fulmargate_consortium::KeyedRecord;
use fulmargate_consortium::OperatorRecord;
use fulmargate_consortium::StoreError;
use fulmargate_consortium::decode_operator;
use fulmargate_consortium::split_keyed;
use fulmargate_dispatch::BootTime;
use fulmargate_dispatch::LogPosition;
use fulmargate_dispatch::LogTopic;
use fulmargate_dispatch::RouteTable;
use fulmargate_dispatch::RoutingConfig;
use fulmargate_names::EventKind;
use fulmargate_names::ModelName;
use fulmargate_names::StoreEpoch;
use fulmargate_names::WeightsVersion;
use tokio::time::Instant;

use crate::control::epoch_watch::EpochWatch;
use crate::control::log_source::LogSource;
use crate::control::log_source::ProvenPage;
use crate::control::store_contact::StoreContact;
use crate::state::SharedState;
use crate::state::boot_now;

/// A read waits this long for a record. Until it returns nothing is proved, so the wait is well
/// below the bound on taken keys (5 s). Where a reader is asked, its proof may be two waits old, and a
/// configuration must be in force within 2 to 3 s; a shorter wait costs more calls.
const READ_WAIT: Duration = Duration::from_millis(800);
/// A read that waits is given up after this time more: the store's answers take 4 ms, and 250 ms
/// when it is slow.
const READ_ALLOWANCE: Duration = Duration::from_millis(700);

/// Keeps the configuration and the weights wanted.
pub(crate) struct OperatorWatch {
    state: Arc<SharedState>,
    source: LogSource,
    contact: StoreContact,
    /// Where to read on; nothing before the whole topic was read, or after records were lost.
    next: Option<LogPosition>,
    epoch: EpochWatch,
    /// What is read next was written after this moment; nothing at the start of the process.
    written_after: Option<BootTime>,
    was_proven: bool,
    /// A record could not be read since the configuration in force was: it may have taken keys away.
    is_blind: bool,
}

impl OperatorWatch {
    /// Knows nothing yet.
    pub(crate) fn new(state: Arc<SharedState>, source: LogSource) -> OperatorWatch {
        let contact = StoreContact::new("operator");
        let epoch = EpochWatch::new(state.clone(), "operator");
        OperatorWatch {
            state,
            source,
            contact,
            next: None,
            epoch,
            written_after: None,
            was_proven: false,
            is_blind: false,
        }
    }

    /// Reads on and on.
    pub(crate) async fn run(mut self) {
        loop {
            let result = match self.next {
                Some(from) => self.read_on(from).await,
                None => self.read_all().await,
            };
            match result {
                Ok(()) => {
                    self.contact.held();
                    self.written_after = Some(boot_now());
                }
                Err(err @ (StoreError::Deleted { .. } | StoreError::Restored { .. })) => {
                    let lost = EventKind::LogTruncated;
                    tracing::warn!(event = lost.number(), name = lost.name(), topic = "operator", reason = %err);
                    self.next = None;
                    self.contact.begin_anew(&err, self.source.longest_pause()).await;
                }
                Err(err) => self.contact.lost(&err, self.source.longest_pause()).await,
            }
            self.tell_proof();
        }
    }

    async fn read_on(&mut self, from: LogPosition) -> Result<(), StoreError> {
        let topic = LogTopic::Operator;
        let page = self.source.read(topic, from, READ_WAIT, READ_ALLOWANCE).await?;
        if !self.contact.is_lost() {
            // The read was waiting for these records.
            self.written_after = Some(boot_now());
        }
        self.apply_page(from.epoch, &page);
        self.next = Some(from.after(page.records.len()));
        // A page may end before the topic does; only the whole proves that nothing is newer.
        if let Some(sent) = page.proven {
            self.renew_proof(sent);
        }
        Ok(())
    }

    async fn read_all(&mut self) -> Result<(), StoreError> {
        let newest = self.source.read_newest(LogTopic::Operator).await?;
        self.epoch.listed(newest.end.epoch)?;
        for listed in &newest.records {
            self.apply(&listed.record);
        }
        self.next = Some(newest.end);
        self.renew_proof(newest.sent);
        Ok(())
    }

    /// Nothing newer had been written at this moment. That proves the configuration in force only if
    /// all that was written could be read.
    fn renew_proof(&self, sent: BootTime) {
        if self.state.table.load().is_some() && !self.is_blind {
            self.state.proof().renew(sent);
        }
    }

    fn apply_page(&mut self, epoch: StoreEpoch, page: &ProvenPage) {
        for record in &page.records {
            match split_keyed(record) {
                Ok(record) if self.apply(&record) => self.state.proof().settle(epoch),
                Ok(_) => {}
                Err(err) => self.note_unreadable(&err),
            }
        }
    }

    /// Returns whether it is a configuration as new as that in force, or newer. Written after the store came
    /// back from a copy, it holds all that operators had written before.
    fn apply(&mut self, record: &KeyedRecord) -> bool {
        match decode_operator(record) {
            Ok(OperatorRecord::Config(config)) => return self.put_in_force(*config),
            Ok(OperatorRecord::Weights(model, version)) => self.name_weights(&model, version),
            Ok(OperatorRecord::Other) => {}
            Err(err) => self.note_unreadable(&err),
        }
        false
    }

    /// A configuration is swapped in whole. An older one, which a page that was made earlier may
    /// hold, never replaces a newer one. Returns whether it is no older than the one in force.
    fn put_in_force(&mut self, mut config: RoutingConfig) -> bool {
        let version = config.version;
        let current = self.state.table.load().as_ref().map(|table| table.version());
        if current.is_some_and(|current| version <= current) {
            return current == Some(version);
        }
        self.is_blind = false;
        self.take_quotas(&mut config);
        let table = Arc::new(RouteTable::new(config));
        let (routes, hosts, keys) = table.sizes();
        let accepted = EventKind::ConfigAccepted;
        tracing::info!(
            event = accepted.number(),
            name = accepted.name(),
            version = %table.version(),
            routes,
            hosts,
            keys,
        );
        self.state.table.store(Some(table));
        self.state.proof().put_in_force(version);
        true
    }

    /// A quota that cannot be read leaves the one before in force; the rest of the configuration holds.
    fn take_quotas(&self, config: &mut RoutingConfig) {
        let before = self.state.table.load_full();
        for (team, fault) in config.keep_quotas(before.as_deref()) {
            let unreadable = EventKind::ConfigUnreadable;
            tracing::error!(
                event = unreadable.number(),
                name = unreadable.name(),
                version = %config.version,
                %team,
                reason = %fault,
            );
        }
        let quotas = config.teams.iter().filter_map(|team| Some((&team.name, team.quota?)));
        self.state.quotas().set_quotas(quotas, Instant::now());
    }

    fn name_weights(&self, model: &ModelName, version: WeightsVersion) {
        let mut weights = (**self.state.weights.load()).clone();
        // Requests must not begin on older weights long after the naming. What is read after an
        // outage, or by a process that has just started, may have been named long ago; the other
        // routers say when.
        let named = self.written_after.unwrap_or_default();
        if !weights.name_version(model, version, named) {
            return;
        }
        self.state.weights.store(Arc::new(weights));
        let named = EventKind::WeightsNamed;
        tracing::info!(event = named.number(), name = named.name(), %model, %version);
    }

    fn tell_proof(&mut self) {
        let is_proven = self.state.admits_keys();
        if is_proven == self.was_proven {
            return;
        }
        self.was_proven = is_proven;
        let age_ms = self.state.proof().age(boot_now()).map(|age| age.as_millis() as u64);
        let kind = if is_proven { EventKind::ConfigProven } else { EventKind::ConfigUnproven };
        tracing::warn!(event = kind.number(), name = kind.name(), age_ms);
    }

    fn note_unreadable(&mut self, err: &StoreError) {
        self.is_blind = true;
        let unreadable = EventKind::ConfigUnreadable;
        tracing::error!(event = unreadable.number(), name = unreadable.name(), reason = %err);
    }
}
