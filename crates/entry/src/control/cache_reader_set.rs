//! The cache event readers that run on this host.

#[cfg(test)]
mod tests;

use std::rc::Rc;
use std::sync::Arc;

use fulmargate_dispatch::ServerKey;
use indexmap::IndexMap;
use tokio_util::task::AbortOnDropHandle;

use crate::control::cache_event_client::CacheEventClient;
use crate::control::cache_reader::CacheReader;
use crate::control::cache_reader::CacheSource;
use crate::state::SharedState;

/// One reader task per source assigned to this host.
pub(crate) struct CacheReaderSet {
    state: Arc<SharedState>,
    client: Rc<CacheEventClient>,
    tasks: IndexMap<ServerKey, AbortOnDropHandle<()>>,
}

impl CacheReaderSet {
    pub(crate) fn new(state: Arc<SharedState>, client: Rc<CacheEventClient>) -> CacheReaderSet {
        CacheReaderSet { state, client, tasks: IndexMap::new() }
    }

    /// Starts readers for new sources and cancels those of removed ones.
    pub(crate) fn set_sources(&mut self, sources: &IndexMap<ServerKey, CacheSource>) {
        // Cancelling closes the connection. Left running, each call would still transfer its
        // source's retained events.
        self.tasks.retain(|key, _| sources.contains_key(key));
        for (key, source) in sources {
            if !self.tasks.contains_key(key) {
                let reader = CacheReader::new(self.state.clone(), self.client.clone(), *source);
                let task = actix_rt::spawn(reader.run());
                self.tasks.insert(*key, AbortOnDropHandle::new(task));
            }
        }
    }
}
