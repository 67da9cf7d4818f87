//! The readers of cache events that run on this host.

#[cfg(test)]
mod tests;

use std::rc::Rc;
use std::sync::Arc;

use fulmargate_dispatch::ServerKey;
use indexmap::IndexMap;
use tokio_util::task::AbortOnDropHandle;

use crate::control::cache_calls::CacheCalls;
use crate::control::cache_reader::CacheReader;
use crate::control::cache_reader::CacheSource;
use crate::state::SharedState;

/// One reader for each source that is this host's.
pub(crate) struct CacheReaders {
    state: Arc<SharedState>,
    calls: Rc<CacheCalls>,
    running: IndexMap<ServerKey, AbortOnDropHandle<()>>,
}

impl CacheReaders {
    /// No readers yet.
    pub(crate) fn new(state: Arc<SharedState>, calls: Rc<CacheCalls>) -> CacheReaders {
        CacheReaders { state, calls, running: IndexMap::new() }
    }

    /// From now on these sources are read and no others.
    pub(crate) fn read_only(&mut self, sources: &IndexMap<ServerKey, CacheSource>) {
        // A host that begins to hear the others may have calls under way for most sources. Left to run, each
        // brings what its source has kept, over a link that is full of it. Dropped, their connections close.
        self.running.retain(|key, _| sources.contains_key(key));
        for (key, source) in sources {
            if !self.running.contains_key(key) {
                let reader = CacheReader::new(self.state.clone(), self.calls.clone(), *source);
                let task = actix_rt::spawn(reader.run());
                self.running.insert(*key, AbortOnDropHandle::new(task));
            }
        }
    }
}
