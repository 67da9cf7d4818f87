//! Engines that are loading weights on this router's order.

#[cfg(test)]
mod tests;

use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use fulmargate_dispatch::LoadingNotice;
use fulmargate_dispatch::LoadingStage;
use fulmargate_dispatch::ServerKey;
use fulmargate_names::ModelName;
use fulmargate_names::WeightsVersion;
use indexmap::IndexMap;
use tokio::sync::Notify;
use tokio::time::Instant;

/// How long the end of a load is announced, in case messages are lost.
const FINISHED_NOTICE_TTL: Duration = Duration::from_millis(600);
/// The end of a load is announced in at least this many messages. In a large fleet, messages can be further
/// apart than `FINISHED_NOTICE_TTL`; without an announcement the other routers avoid the engine until their
/// own load timeout expires.
const MIN_ANNOUNCEMENTS: u32 = 2;

/// Notices published to the other routers, so that they send no requests to an engine that rejects
/// them while it loads weights.
#[derive(Debug, Default)]
pub(crate) struct LoadingRegistry {
    notices: Mutex<IndexMap<ServerKey, TrackedNotice>>,
    changed: Notify,
}

#[derive(Debug)]
struct TrackedNotice {
    notice: LoadingNotice,
    updated: Instant,
    /// Messages that have carried the notice since it was updated.
    announcements: u32,
}

impl LoadingRegistry {
    /// Announces that an engine is about to be ordered to load weights.
    pub(crate) fn start(&self, server: ServerKey, model: &ModelName, version: WeightsVersion) {
        let notice =
            LoadingNotice { server, model: model.clone(), version, stage: LoadingStage::Loading };
        let tracked = TrackedNotice { notice, updated: Instant::now(), announcements: 0 };
        self.lock().insert(server, tracked);
        self.changed.notify_one();
    }

    /// Announces that the engine has loaded the weights.
    pub(crate) fn finish(&self, server: ServerKey, version: WeightsVersion) {
        self.update_stage(server, LoadingStage::Loaded, Some(version));
    }

    /// Announces that the load was abandoned and the engine keeps its current weights.
    pub(crate) fn abandon(&self, server: ServerKey) {
        self.update_stage(server, LoadingStage::Failed, None);
    }

    fn update_stage(
        &self,
        server: ServerKey,
        stage: LoadingStage,
        version: Option<WeightsVersion>,
    ) {
        if let Some(tracked) = self.lock().get_mut(&server) {
            tracked.notice.stage = stage;
            tracked.notice.version = version.unwrap_or(tracked.notice.version);
            tracked.updated = Instant::now();
            tracked.announcements = 0;
        }
        self.changed.notify_one();
    }

    /// Stops announcing the engine without reporting an outcome: the load may still be running, but this
    /// router no longer tracks it.
    pub(crate) fn remove(&self, server: ServerKey) {
        self.lock().swap_remove(&server);
    }

    /// Returns all notices to announce. Must be called once per message to the other routers.
    pub(crate) fn notices(&self) -> Vec<LoadingNotice> {
        let now = Instant::now();
        let mut notices = self.lock();
        notices.retain(|_, tracked| tracked.must_announce(now));
        let announced = notices.values_mut().map(|tracked| {
            tracked.announcements = tracked.announcements.saturating_add(1);
            tracked.notice.clone()
        });
        announced.collect()
    }

    /// Waits until a notice is added or finished.
    pub(crate) async fn changed(&self) {
        self.changed.notified().await;
    }

    fn lock(&self) -> MutexGuard<'_, IndexMap<ServerKey, TrackedNotice>> {
        self.notices.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl TrackedNotice {
    fn must_announce(&self, now: Instant) -> bool {
        let age = now.saturating_duration_since(self.updated);
        self.notice.stage == LoadingStage::Loading
            || self.announcements < MIN_ANNOUNCEMENTS
            || age < FINISHED_NOTICE_TTL
    }
}
