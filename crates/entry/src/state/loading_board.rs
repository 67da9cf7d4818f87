//! Engines that this router has ordered to load.

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

/// A notice that an engine does not load any more is repeated this long, against lost messages.
const ENDED_AGE: Duration = Duration::from_millis(600);

/// The notices that go to the other routers, so that they send nothing to an engine that would turn
/// it away: without them, each load cost some ten refused sends, and the budget of repeats was
/// spent on those.
#[derive(Debug, Default)]
pub(crate) struct LoadingBoard {
    notices: Mutex<IndexMap<ServerKey, (LoadingNotice, Instant)>>,
    changed: Notify,
}

impl LoadingBoard {
    /// An engine is about to get an order.
    pub(crate) fn begin(&self, server: ServerKey, model: &ModelName, version: WeightsVersion) {
        let notice =
            LoadingNotice { server, model: model.clone(), version, stage: LoadingStage::Loading };
        self.lock().insert(server, (notice, Instant::now()));
        self.changed.notify_one();
    }

    /// Its weights are in place.
    pub(crate) fn done(&self, server: ServerKey, version: WeightsVersion) {
        self.end(server, LoadingStage::InPlace, Some(version));
    }

    /// It keeps the weights it has, for the time being.
    pub(crate) fn give_up(&self, server: ServerKey) {
        self.end(server, LoadingStage::GivenUp, None);
    }

    fn end(&self, server: ServerKey, stage: LoadingStage, version: Option<WeightsVersion>) {
        if let Some((notice, at)) = self.lock().get_mut(&server) {
            notice.stage = stage;
            notice.version = version.unwrap_or(notice.version);
            *at = Instant::now();
        }
        self.changed.notify_one();
    }

    /// It may still load, unwatched: the others stop to be told.
    pub(crate) fn drop_notice(&self, server: ServerKey) {
        self.lock().swap_remove(&server);
    }

    /// All notices that still matter.
    pub(crate) fn notices(&self) -> Vec<LoadingNotice> {
        let now = Instant::now();
        let mut notices = self.lock();
        notices.retain(|_, (notice, at)| {
            notice.stage == LoadingStage::Loading || now.saturating_duration_since(*at) < ENDED_AGE
        });
        notices.values().map(|(notice, _)| notice.clone()).collect()
    }

    /// Waits for a change.
    pub(crate) async fn changed(&self) {
        self.changed.notified().await;
    }

    fn lock(&self) -> MutexGuard<'_, IndexMap<ServerKey, (LoadingNotice, Instant)>> {
        self.notices.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
