//! The readers of cache events that run on this host.

#[cfg(test)]
mod tests;

use std::cell::RefCell;
use std::rc::Rc;
use std::sync::Arc;

use fulmargate_dispatch::ServerKey;
use indexmap::IndexMap;

use crate::control::cache_calls::CacheCalls;
use crate::control::cache_reader::CacheReader;
use crate::control::cache_reader::CacheSource;
use crate::state::SharedState;

/// Sources that are read.
pub(crate) type ReadSources = Rc<RefCell<IndexMap<ServerKey, CacheSource>>>;

/// One reader for each source that is this host's.
pub(crate) struct CacheReaders {
    state: Arc<SharedState>,
    calls: Rc<CacheCalls>,
    read: ReadSources,
}

impl CacheReaders {
    /// No readers yet.
    pub(crate) fn new(state: Arc<SharedState>, calls: Rc<CacheCalls>) -> CacheReaders {
        CacheReaders { state, calls, read: ReadSources::default() }
    }

    /// From now on these sources are read and no others.
    pub(crate) fn read_only(&mut self, sources: IndexMap<ServerKey, CacheSource>) {
        let new: Vec<CacheSource> = {
            let read = self.read.borrow();
            let is_new = |source: &&CacheSource| !read.contains_key(&source.key);
            sources.values().filter(is_new).copied().collect()
        };
        *self.read.borrow_mut() = sources;
        for source in new {
            let (calls, read) = (self.calls.clone(), self.read.clone());
            let reader = CacheReader::new(self.state.clone(), calls, read, source);
            actix_rt::spawn(reader.run());
        }
    }
}
