//! Writes evidence on crashing requests and limits of servers to the fleet topic.

use std::sync::Arc;
use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use fulmargate_admission::StoredLimitSlot;
use fulmargate_consortium::StoreClient;
use fulmargate_consortium::StoreError;
use fulmargate_dispatch::FleetRecord;
use fulmargate_dispatch::LogTopic;
use fulmargate_names::EventKind;
use tokio::time::Instant;
use tokio::time::sleep;
use tokio::time::timeout;

use crate::control::fleet_codec::encode_keyed_record;
use crate::state::SharedState;

const APPEND_TIMEOUT: Duration = Duration::from_millis(800);
/// Delay for batching: a crashing server breaks all its requests at once.
const BATCH_DELAY: Duration = Duration::from_millis(50);
/// Longest time between two looks for records that are due.
const MAX_IDLE_TIME: Duration = Duration::from_millis(500);

/// Records of one write.
#[derive(Default)]
struct DueWrites {
    suspects: Vec<FleetRecord>,
    limits: Vec<StoredLimitSlot>,
}

impl DueWrites {
    fn take(state: &SharedState) -> DueWrites {
        let now = Instant::now();
        DueWrites {
            suspects: state.suspects().take_due_writes(unix_now(), now),
            limits: state.servers().take_limit_writes(now),
        }
    }

    fn records(&self) -> Vec<FleetRecord> {
        let of_limits = |record: &StoredLimitSlot| FleetRecord::Limits {
            slot: record.slot,
            entries: record.entries.clone(),
        };
        self.suspects.iter().cloned().chain(self.limits.iter().map(of_limits)).collect()
    }

    fn retry(&self, state: &SharedState) {
        state.suspects().write_failed(&self.suspects, Instant::now());
        state.servers().limit_write_failed(&self.limits);
    }
}

/// Writes what the suspect table and the limits have for the store. Never returns.
pub(crate) async fn run_fleet_writer(state: Arc<SharedState>, client: StoreClient) {
    loop {
        // Not notified for retries and for what other hosts have found.
        let _notified = timeout(MAX_IDLE_TIME, state.fleet_record_change.notified()).await;
        sleep(BATCH_DELAY).await;
        let writes = DueWrites::take(&state);
        let records = writes.records();
        if records.is_empty() {
            continue;
        }
        if let Err(err) = append(&client, &records).await {
            writes.retry(&state);
            let kind = EventKind::LogOut;
            if state.log_limiter.allows(kind, Instant::now()) {
                tracing::warn!(event = kind.number(), name = kind.name(), topic = "fleet", reason = %err);
            }
        }
    }
}

async fn append(client: &StoreClient, records: &[FleetRecord]) -> Result<(), StoreError> {
    let mut encoded = Vec::new();
    for record in records {
        encoded.push(encode_keyed_record(record)?);
    }
    client.append(LogTopic::Fleet, None, &encoded, APPEND_TIMEOUT).await.map(|_| ())
}

/// Time since 1970.
pub(crate) fn unix_now() -> Duration {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default()
}
