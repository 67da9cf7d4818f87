//! Keeps records of streams in the store, for the case that all hosts end at once.

use std::sync::Arc;
use std::time::Duration;

use fulmargate_consortium::KeyedRecord;
use fulmargate_consortium::StoreClient;
use fulmargate_consortium::StoreError;
use fulmargate_consortium::decode_keyed;
use fulmargate_consortium::encode_keyed;
use fulmargate_dispatch::BindingNotice;
use fulmargate_dispatch::LogPosition;
use fulmargate_dispatch::LogTopic;
use fulmargate_dispatch::VERSION_MEMORY;
use fulmargate_names::EventKind;
use serde::Deserialize;
use serde::Serialize;
use tokio::time::Instant;
use tokio::time::sleep;
use tokio::time::sleep_until;

use crate::control::binding_keys::BindingKeys;
use crate::control::fleet_codec::decode_payload;
use crate::control::fleet_codec::encode_payload;
use crate::control::fleet_writer::unix_now;
use crate::control::topic_listing::ListingState;
use crate::control::topic_listing::TopicListing;
use crate::state::SharedState;
use crate::state::boot_now;
use crate::telemetry::count_binding;

/// Shortest time between two writes of a host. Streams that began within it are lost if all hosts end.
const WRITE_INTERVAL: Duration = Duration::from_millis(50);
const WRITE_TIMEOUT: Duration = Duration::from_millis(800);
/// Delay before records that the store did not take are written again.
const RETRY_DELAY: Duration = Duration::from_millis(500);
/// Interval between two reads.
const READ_INTERVAL: Duration = Duration::from_millis(50);
const READ_TIMEOUT: Duration = Duration::from_millis(350);
/// Records in one write: some 180 KB.
const MAX_NOTICES: usize = 4_000;
/// The times of day of two hosts may differ by this much. A record kept for too long does no harm.
const CLOCK_SLACK: Duration = Duration::from_secs(10);

/// Records of one write.
#[derive(Serialize, Deserialize)]
struct StoredBatch {
    /// Time of the write since 1970.
    written_ms: u64,
    notices: Vec<BindingNotice>,
}

/// Writes records as they come. Never returns.
pub(crate) async fn run_binding_writer(state: Arc<SharedState>, client: StoreClient) {
    let mut keys: Option<BindingKeys> = None;
    loop {
        state.binding_store_change.notified().await;
        let next_write = Instant::now() + WRITE_INTERVAL;
        let notices = state.bindings().take_unstored(Instant::now());
        for notices in notices.chunks(MAX_NOTICES) {
            if let Err(err) = write(&state, &client, notices, &mut keys).await {
                state.bindings().store(notices.iter().map(|notice| notice.key));
                state.binding_store_change.notify_one();
                log_failure(&state, &err);
                sleep(RETRY_DELAY).await;
                break;
            }
        }
        sleep_until(next_write).await;
    }
}

async fn write(
    state: &SharedState,
    client: &StoreClient,
    notices: &[BindingNotice],
    keys: &mut Option<BindingKeys>,
) -> Result<(), StoreError> {
    let keys = match keys {
        Some(keys) => keys,
        None => {
            let taken = BindingKeys::take(client, &state.settings.host).await?;
            keys.insert(taken)
        }
    };
    let key = keys.next_key();
    let written_ms = unix_now().as_millis() as u64;
    let batch = StoredBatch { written_ms, notices: notices.to_vec() };
    let value = encode_payload(&batch);
    let value = value.map_err(|err| StoreError::Unreadable { reason: err.to_string() })?;
    let record = encode_keyed(&key, &value)?;
    client.append(LogTopic::Streams, None, &[record], WRITE_TIMEOUT).await?;
    count_binding("stored", notices.len());
    Ok(())
}

fn log_failure(state: &SharedState, err: &StoreError) {
    let kind = EventKind::LogOut;
    if state.log_limiter.allows(kind, Instant::now()) {
        tracing::warn!(event = kind.number(), name = kind.name(), topic = "streams", reason = %err);
    }
}

/// Reads the store's records when a stream is taken up that no host knows. Never returns.
pub(crate) async fn run_binding_reader(state: Arc<SharedState>, client: StoreClient) {
    let mut reader = BindingReader { state: state.clone(), client, next: None };
    loop {
        let wanted = state.next_binding_read().await;
        if let Err(err) = reader.read().await {
            reader.next = None;
            log_failure(&state, &err);
        }
        state.record_binding_read(wanted);
        sleep(READ_INTERVAL).await;
    }
}

struct BindingReader {
    state: Arc<SharedState>,
    client: StoreClient,
    next: Option<LogPosition>,
}

impl BindingReader {
    async fn read(&mut self) -> Result<(), StoreError> {
        let next = match self.next {
            Some(from) => self.read_from(from).await,
            None => self.read_all().await,
        };
        let next = match next {
            Err(StoreError::Deleted { .. } | StoreError::Restored { .. }) => self.read_all().await,
            next => next,
        };
        self.next = Some(next?);
        self.state.versions().record_past();
        Ok(())
    }

    async fn read_all(&self) -> Result<LogPosition, StoreError> {
        let mut listing = TopicListing::new(LogTopic::Streams);
        loop {
            let page = listing.next_page(&self.client).await?;
            page.records.iter().for_each(|listed| self.apply(&listed.record));
            if page.state != ListingState::Continues {
                return Ok(page.start.end);
            }
        }
    }

    async fn read_from(&self, from: LogPosition) -> Result<LogPosition, StoreError> {
        let mut from = from;
        loop {
            let wait = Duration::ZERO;
            let page = self.client.read(LogTopic::Streams, from, wait, READ_TIMEOUT).await?;
            for record in &page.records {
                match decode_keyed(record) {
                    Ok(record) => self.apply(&record),
                    Err(err) => tracing::debug!("unreadable record of streams: {err}"),
                }
            }
            from = from.after(page.records.len());
            if page.records.is_empty() || page.end <= from.offset {
                return Ok(from);
            }
        }
    }

    fn apply(&self, record: &KeyedRecord) {
        let Some(value) = &record.value else { return };
        let batch: StoredBatch = match decode_payload(value) {
            Ok(batch) => batch,
            Err(err) => {
                tracing::debug!("unreadable record of streams: {err}");
                return;
            }
        };
        let age = unix_now().saturating_sub(Duration::from_millis(batch.written_ms));
        if VERSION_MEMORY + CLOCK_SLACK <= age {
            return;
        }
        let mut versions = self.state.versions();
        for origin in batch.notices.iter().filter_map(|notice| notice.origin) {
            versions.record_mixed(origin.service, boot_now());
        }
        drop(versions);
        let mut bindings = self.state.bindings();
        for notice in &batch.notices {
            let lifetime = Duration::from_millis(u64::from(notice.left_ms)) + CLOCK_SLACK;
            let left_ms = lifetime.saturating_sub(age).as_millis() as u32;
            if 0 < left_ms {
                bindings.merge(&BindingNotice { left_ms, ..*notice }, Instant::now());
            }
        }
    }
}
