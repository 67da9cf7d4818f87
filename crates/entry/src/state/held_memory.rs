//! Memory that callers' connections and requests hold.

use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;

/// Share of the daemon's memory for callers' connections and requests.
const CALLER_SHARE: f64 = 0.45;
/// Part of it from which no new connection is taken, so that requests on open ones can be read.
const CONNECTION_SHARE: f64 = 0.8;

/// Counts the memory that callers' connections and requests hold, and bounds it.
#[derive(Clone, Debug)]
pub(crate) struct HeldMemory {
    bytes: Arc<AtomicUsize>,
    max_bytes: usize,
}

/// Memory held by one connection or request; given back on drop.
#[derive(Debug)]
pub(crate) struct HeldBytes {
    memory: HeldMemory,
    bytes: usize,
}

impl HeldMemory {
    /// For a daemon that may use this much memory.
    pub(crate) fn new(memory_mb: u64) -> HeldMemory {
        let max_bytes = (memory_mb << 20) as f64 * CALLER_SHARE;
        HeldMemory { bytes: Arc::default(), max_bytes: max_bytes as usize }
    }

    /// Takes memory for a connection; none if too much is held.
    pub(crate) fn take_connection(&self, bytes: usize) -> Option<HeldBytes> {
        let max_bytes = self.max_bytes as f64 * CONNECTION_SHARE;
        self.take_below(bytes, max_bytes as usize)
    }

    /// Takes memory for a request; none if too much is held.
    pub(crate) fn take(&self, bytes: usize) -> Option<HeldBytes> {
        self.take_below(bytes, self.max_bytes)
    }

    /// Bytes held now.
    pub(crate) fn used_bytes(&self) -> usize {
        self.bytes.load(Ordering::Relaxed)
    }

    fn take_below(&self, bytes: usize, max_bytes: usize) -> Option<HeldBytes> {
        self.reserve(bytes, max_bytes).then(|| HeldBytes { memory: self.clone(), bytes })
    }

    fn reserve(&self, bytes: usize, max_bytes: usize) -> bool {
        let used = self.bytes.fetch_add(bytes, Ordering::Relaxed) + bytes;
        if max_bytes < used {
            self.bytes.fetch_sub(bytes, Ordering::Relaxed);
        }
        used <= max_bytes
    }
}

impl HeldBytes {
    /// Takes more memory. Returns whether there was any.
    pub(crate) fn grow(&mut self, bytes: usize) -> bool {
        let is_taken = self.memory.reserve(bytes, self.memory.max_bytes);
        if is_taken {
            self.bytes += bytes;
        }
        is_taken
    }
}

impl Drop for HeldBytes {
    fn drop(&mut self) {
        self.memory.bytes.fetch_sub(self.bytes, Ordering::Relaxed);
    }
}
