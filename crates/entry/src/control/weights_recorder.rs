//! Writes since when weights are outdated to the fleet topic, for hosts that start when no other one is there.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use fulmargate_consortium::StoreClient;
use fulmargate_consortium::StoreError;
use fulmargate_dispatch::BootTime;
use fulmargate_dispatch::FleetRecord;
use fulmargate_dispatch::HeartbeatMark;
use fulmargate_dispatch::LogTopic;
use fulmargate_dispatch::WeightsRecord;
use fulmargate_dispatch::WeightsTable;
use fulmargate_names::EventKind;
use fulmargate_names::ModelName;
use fulmargate_names::WeightsVersion;
use tokio::time::Instant;
use tokio::time::sleep;
use tokio::time::timeout;

use crate::control::fleet_codec::encode_keyed_record;
use crate::control::order_scheduler::SchedulerState;
use crate::control::stored_weights::StoredWeights;
use crate::state::SharedState;
use crate::state::boot_now;

const APPEND_TIMEOUT: Duration = Duration::from_millis(800);
/// Longest time between two looks for records that are due.
const MAX_IDLE_TIME: Duration = Duration::from_millis(500);
/// Interval of looks while a record is due and this router has no lease. All hosts may be killed at any moment.
const LEASE_POLL_INTERVAL: Duration = Duration::from_millis(25);
const RETRY_DELAY: Duration = Duration::from_millis(250);

/// Writes the ages of outdated weights while this router holds the lease on orders.
pub(crate) struct WeightsRecorder {
    state: Arc<SharedState>,
    client: StoreClient,
    scheduler: Rc<SchedulerState>,
    stored: Rc<StoredWeights>,
}

/// What a look for due records has led to.
enum RecordStep {
    /// The topic has all that this router knows.
    Current,
    /// The holder of the lease has a record to write, and this router is not the holder.
    NotHolder,
    /// A write has failed.
    Failed,
}

impl WeightsRecorder {
    pub(crate) fn new(
        state: Arc<SharedState>,
        client: StoreClient,
        scheduler: Rc<SchedulerState>,
        stored: Rc<StoredWeights>,
    ) -> WeightsRecorder {
        WeightsRecorder { state, client, scheduler, stored }
    }

    /// Writes records until it is dropped.
    pub(crate) async fn run(self) {
        loop {
            match self.write_due().await {
                RecordStep::Current => {
                    // Not notified of reports of other hosts.
                    let change = self.state.weights_change.notified();
                    let _notified = timeout(MAX_IDLE_TIME, change).await;
                }
                RecordStep::NotHolder => sleep(LEASE_POLL_INTERVAL).await,
                RecordStep::Failed => sleep(RETRY_DELAY).await,
            }
        }
    }

    async fn write_due(&self) -> RecordStep {
        let now = boot_now();
        let records = self.due_records(now);
        if records.is_empty() {
            return RecordStep::Current;
        }
        if self.scheduler.lease.borrow().usable_fence(now).is_none() {
            return RecordStep::NotHolder;
        }
        if let Err(err) = self.append(&records).await {
            let kind = EventKind::LogOut;
            if self.state.log_limiter.allows(kind, Instant::now()) {
                tracing::warn!(event = kind.number(), name = kind.name(), topic = "fleet", reason = %err);
            }
            return RecordStep::Failed;
        }
        for record in records {
            log_recorded(&record);
            self.stored.record_written(record);
        }
        RecordStep::Current
    }

    fn due_records(&self, now: BootTime) -> Vec<WeightsRecord> {
        let Some(list) = self.state.server_list.load_full() else { return Vec::new() };
        let weights = self.state.weights.load_full();
        let records = weights.targets().filter_map(|(model, target)| {
            let record = self.record_of(&weights, model, target, list.end, now)?;
            let known = self.stored.newest(model);
            known.is_none_or(|known| !known.covers(&record)).then_some(record)
        });
        records.collect()
    }

    /// What is known of a model; `None` if no bound is running.
    fn record_of(
        &self,
        weights: &WeightsTable,
        model: &ModelName,
        target: WeightsVersion,
        mark: HeartbeatMark,
        now: BootTime,
    ) -> Option<WeightsRecord> {
        let running = weights.running_proofs(model, self.state.settings.bounds.weights(), now);
        if running.is_empty() {
            return None;
        }
        let ages = running.iter().map(|proof| (proof.version, now.since(proof.proven_at)));
        // A complete read proves that no version newer than the target had been named.
        let read = self.state.proof().age(now).map(|age| (target, age));
        let proofs = ages.chain(read).map(|(version, age)| (version, age.as_millis() as u64));
        Some(WeightsRecord { model: model.clone(), target, proofs: proofs.collect(), mark })
    }

    async fn append(&self, records: &[WeightsRecord]) -> Result<(), StoreError> {
        let mut encoded = Vec::new();
        for record in records {
            encoded.push(encode_keyed_record(&FleetRecord::Weights(record.clone()))?);
        }
        self.client.append(LogTopic::Fleet, None, &encoded, APPEND_TIMEOUT).await.map(|_| ())
    }
}

fn log_recorded(record: &WeightsRecord) {
    let kind = EventKind::WeightsRecorded;
    let oldest = record.proofs.first();
    tracing::info!(
        event = kind.number(),
        name = kind.name(),
        model = %record.model,
        target = %record.target,
        proofs = record.proofs.len(),
        oldest_version = oldest.map(|(version, _)| version.0),
        oldest_age_ms = oldest.map(|(_, age_ms)| *age_ms),
        epoch = %record.mark.epoch,
        offset = %record.mark.offset,
        servers = record.mark.servers,
    );
}
