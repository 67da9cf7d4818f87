//! Memory of the bodies of all requests.

use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;

/// Bytes of each body that count towards no bound, so that small requests are taken beside large ones.
const FREE_BYTES: usize = 64 * 1024;

/// Counts the bytes of bodies, and bounds them.
#[derive(Clone, Debug)]
pub(crate) struct BodyMemory {
    used: Arc<AtomicUsize>,
    max_bytes: usize,
}

/// Bytes of one body; given back on drop.
#[derive(Debug)]
pub(crate) struct HeldBody {
    memory: BodyMemory,
    length: usize,
    counted: usize,
}

impl BodyMemory {
    /// For this number of bytes of all bodies together.
    pub(crate) fn new(max_bytes: usize) -> BodyMemory {
        BodyMemory { used: Arc::default(), max_bytes }
    }

    /// A body of which nothing has arrived.
    pub(crate) fn body(&self) -> HeldBody {
        HeldBody { memory: self.clone(), length: 0, counted: 0 }
    }
}

impl HeldBody {
    /// Counts bytes that have arrived. Returns whether there is memory for them.
    pub(crate) fn grow(&mut self, bytes: usize) -> bool {
        self.length += bytes;
        let missing = self.length.saturating_sub(FREE_BYTES + self.counted);
        let used = self.memory.used.fetch_add(missing, Ordering::Relaxed) + missing;
        self.counted += missing;
        missing == 0 || used <= self.memory.max_bytes
    }
}

impl Drop for HeldBody {
    fn drop(&mut self) {
        self.memory.used.fetch_sub(self.counted, Ordering::Relaxed);
    }
}
