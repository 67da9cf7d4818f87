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
/// But in so many messages at least. Routers of a large fleet speak up to 600 ms apart, and a notice that
/// has aged between two messages is told to nobody: the others leave an engine alone that is well, until
/// they take its load for over after 2.5 s. A message that finds no room in a link is left out; the next one has
/// some, or that router reads nothing.
const LEAST_TOLD: u32 = 2;

/// The notices that go to the other routers, so that they send nothing to an engine that would turn
/// it away: without them, each load cost some ten refused sends, and the budget of repeats was
/// spent on those.
#[derive(Debug, Default)]
pub(crate) struct LoadingBoard {
    notices: Mutex<IndexMap<ServerKey, OpenNotice>>,
    changed: Notify,
}

/// A notice, when it last changed, and in how many messages it has gone out since.
#[derive(Debug)]
struct OpenNotice {
    notice: LoadingNotice,
    changed: Instant,
    told: u32,
}

impl LoadingBoard {
    /// An engine is about to get an order.
    pub(crate) fn begin(&self, server: ServerKey, model: &ModelName, version: WeightsVersion) {
        let notice =
            LoadingNotice { server, model: model.clone(), version, stage: LoadingStage::Loading };
        let open = OpenNotice { notice, changed: Instant::now(), told: 0 };
        self.lock().insert(server, open);
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
        if let Some(open) = self.lock().get_mut(&server) {
            open.notice.stage = stage;
            open.notice.version = version.unwrap_or(open.notice.version);
            open.changed = Instant::now();
            open.told = 0;
        }
        self.changed.notify_one();
    }

    /// It may still load, unwatched: the others stop to be told.
    pub(crate) fn drop_notice(&self, server: ServerKey) {
        self.lock().swap_remove(&server);
    }

    /// All notices that still matter. Each call is for one message to the other routers.
    pub(crate) fn notices(&self) -> Vec<LoadingNotice> {
        let now = Instant::now();
        let mut notices = self.lock();
        notices.retain(|_, open| open.matters(now));
        let told = notices.values_mut().map(|open| {
            open.told = open.told.saturating_add(1);
            open.notice.clone()
        });
        told.collect()
    }

    /// Waits for a change.
    pub(crate) async fn changed(&self) {
        self.changed.notified().await;
    }

    fn lock(&self) -> MutexGuard<'_, IndexMap<ServerKey, OpenNotice>> {
        self.notices.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl OpenNotice {
    fn matters(&self, now: Instant) -> bool {
        let age = now.saturating_duration_since(self.changed);
        self.notice.stage == LoadingStage::Loading || self.told < LEAST_TOLD || age < ENDED_AGE
    }
}
