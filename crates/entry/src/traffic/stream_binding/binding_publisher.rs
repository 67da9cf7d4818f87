//! Publishes where streams began, while they may begin at several versions.

use std::sync::Arc;
use std::time::Duration;

use fulmargate_dispatch::BINDING_OWNERS;
use fulmargate_dispatch::BindingNotice;
use fulmargate_dispatch::binding_owners;
use fulmargate_dispatch::store_writer;
use fulmargate_names::HostName;
use indexmap::IndexMap;
use tokio::task::spawn_local;
use tokio::time::Instant;
use tokio::time::sleep;

use crate::state::SharedState;
use crate::telemetry::count_binding;
use crate::traffic::stream_binding::BindingMessage;
use crate::traffic::stream_binding::binding_client::owner_candidates;
use crate::traffic::stream_binding::binding_client::send_binding;

/// Delay for batching. A stream whose host ends within it is lost to its caller.
const BATCH_DELAY: Duration = Duration::from_millis(5);
/// Records in one message.
const MAX_NOTICES: usize = 2_000;

/// What one host is sent.
#[derive(Default)]
struct OwnerBatch {
    notices: Vec<BindingNotice>,
    for_store: Vec<BindingNotice>,
}

/// Sends own records to their owners as they come. Never returns.
pub(crate) async fn run_binding_publisher(state: Arc<SharedState>) {
    loop {
        state.binding_change.notified().await;
        sleep(BATCH_DELAY).await;
        let notices = state.bindings().take_unpublished(Instant::now());
        for notices in notices.chunks(MAX_NOTICES) {
            publish(&state, notices);
        }
    }
}

fn publish(state: &Arc<SharedState>, notices: &[BindingNotice]) {
    let own = &state.settings.host;
    let candidates = owner_candidates(state);
    let mut batches: IndexMap<HostName, OwnerBatch> = IndexMap::new();
    let mut stored = Vec::new();
    for notice in notices {
        let writer = store_writer(notice.key, own, &candidates);
        if writer == own {
            stored.push(notice.key);
        } else {
            batches.entry(writer.clone()).or_default().for_store.push(*notice);
        }
        for owner in binding_owners(notice.key, &candidates, BINDING_OWNERS) {
            if owner != *own && owner != *writer {
                batches.entry(owner).or_default().notices.push(*notice);
            }
        }
    }
    count_binding("published", notices.len());
    if !stored.is_empty() {
        state.bindings().store(stored.into_iter());
        state.binding_store_change.notify_one();
    }
    for (host, batch) in batches {
        let OwnerBatch { notices, for_store } = batch;
        let message = BindingMessage::Keep { notices, for_store };
        let state = state.clone();
        spawn_local(async move {
            if let Err(err) = send_binding(&state, &host, &message).await {
                count_binding("lost", 1);
                tracing::debug!("records of streams not sent to {host}: {err}");
            }
        });
    }
}
