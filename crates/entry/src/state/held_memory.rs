//! Memory that connections and requests hold.

#[cfg(test)]
mod tests;

use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;

/// Share of the daemon's memory for callers: their connections, what the kernel holds of them unread, their requests
/// and answers.
const CALLER_SHARE: f64 = 0.6;
/// Part of it from which no new connection is taken, so that requests on open ones can be read.
const CONNECTION_SHARE: f64 = 0.9;
/// Part of it for what single holders have beyond `SMALL_HOLDER_BYTES`, so that small requests find room beside large
/// ones.
const LARGE_SHARE: f64 = 0.5;
/// What one holder has up to here does not count as large.
const SMALL_HOLDER_BYTES: usize = 140 << 10;
/// Share of the daemon's memory for requests of other hosts.
const FORWARD_SHARE: f64 = 0.14;
/// Response bodies that are being read and open events of streams, beyond the first bytes of each.
const MAX_ANSWER_BYTES: usize = 8 << 20;
/// Part of the memory above which it is scarce.
const SCARCE_SHARE: f64 = 0.875;

/// Why there is no memory.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum MemoryShortage {
    /// All of it is held.
    Total,
    /// The part for large holders is held.
    Large,
}

/// Counts the memory that is held, and bounds it.
#[derive(Clone, Debug)]
pub(crate) struct HeldMemory {
    used: Arc<AtomicUsize>,
    large: Arc<AtomicUsize>,
    max_bytes: usize,
    max_large_bytes: usize,
}

/// One that holds memory, in one or more pieces.
#[derive(Clone, Debug)]
pub(crate) struct MemoryHolder {
    memory: HeldMemory,
    bytes: Arc<AtomicUsize>,
}

/// Memory of a holder; given back on drop.
#[derive(Debug)]
pub(crate) struct HeldBytes {
    holder: MemoryHolder,
    bytes: usize,
}

impl HeldMemory {
    /// For the callers of a daemon that may use this much memory.
    pub(crate) fn for_callers(memory_mb: u64) -> HeldMemory {
        let max_bytes = share_bytes(memory_mb, CALLER_SHARE);
        let max_large_bytes = (max_bytes as f64 * LARGE_SHARE) as usize;
        HeldMemory { used: Arc::default(), large: Arc::default(), max_bytes, max_large_bytes }
    }

    /// For the requests of other hosts.
    pub(crate) fn for_forwards(memory_mb: u64) -> HeldMemory {
        HeldMemory::without_large_part(share_bytes(memory_mb, FORWARD_SHARE))
    }

    /// For response bodies that are read whole before they are sent.
    pub(crate) fn for_answers() -> HeldMemory {
        HeldMemory::without_large_part(MAX_ANSWER_BYTES)
    }

    fn without_large_part(max_bytes: usize) -> HeldMemory {
        let max_large_bytes = max_bytes;
        HeldMemory { used: Arc::default(), large: Arc::default(), max_bytes, max_large_bytes }
    }

    /// A holder that has nothing yet.
    pub(crate) fn holder(&self) -> MemoryHolder {
        MemoryHolder { memory: self.clone(), bytes: Arc::default() }
    }

    /// Bytes held now.
    pub(crate) fn used_bytes(&self) -> usize {
        self.used.load(Ordering::Relaxed)
    }

    /// Whether next to all of it is held.
    pub(crate) fn is_scarce(&self) -> bool {
        (self.max_bytes as f64 * SCARCE_SHARE) as usize <= self.used_bytes()
    }

    /// Upper bound of the bytes held.
    pub(crate) fn max_bytes(&self) -> usize {
        self.max_bytes
    }

    /// Upper bound at which a new connection is taken.
    pub(crate) fn max_connection_bytes(&self) -> usize {
        (self.max_bytes as f64 * CONNECTION_SHARE) as usize
    }
}

impl MemoryHolder {
    /// Bytes that it holds.
    pub(crate) fn bytes(&self) -> usize {
        self.bytes.load(Ordering::Relaxed)
    }

    /// Whether it holds more than a small holder does.
    pub(crate) fn is_large(&self) -> bool {
        SMALL_HOLDER_BYTES < self.bytes()
    }

    /// Takes memory if all of it stays below the bound, beside `slack` bytes that are being given back.
    pub(crate) fn take(&self, bytes: usize, slack: usize) -> Result<HeldBytes, MemoryShortage> {
        self.take_below(bytes, self.memory.max_bytes + slack, slack)
    }

    /// Takes memory for a new connection.
    pub(crate) fn take_connection(
        &self,
        bytes: usize,
        slack: usize,
    ) -> Result<HeldBytes, MemoryShortage> {
        self.take_below(bytes, self.memory.max_connection_bytes() + slack, slack)
    }

    /// Takes memory beyond the bound, for what exists already.
    pub(crate) fn take_always(&self, bytes: usize) -> HeldBytes {
        self.add(bytes);
        HeldBytes { holder: self.clone(), bytes }
    }

    fn take_below(
        &self,
        bytes: usize,
        max_bytes: usize,
        slack: usize,
    ) -> Result<HeldBytes, MemoryShortage> {
        if bytes == 0 {
            return Ok(self.take_always(0));
        }
        let memory = &self.memory;
        if max_bytes < memory.used_bytes() + bytes {
            return Err(MemoryShortage::Total);
        }
        let large = large_part(self.bytes() + bytes) - large_part(self.bytes());
        let used_large = memory.large.load(Ordering::Relaxed);
        if 0 < large && memory.max_large_bytes + slack < used_large + large {
            return Err(MemoryShortage::Large);
        }
        Ok(self.take_always(bytes))
    }

    fn add(&self, bytes: usize) {
        let before = self.bytes.fetch_add(bytes, Ordering::Relaxed);
        let large = large_part(before + bytes) - large_part(before);
        self.memory.used.fetch_add(bytes, Ordering::Relaxed);
        self.memory.large.fetch_add(large, Ordering::Relaxed);
    }

    fn give_back(&self, bytes: usize) {
        let before = self.bytes.fetch_sub(bytes, Ordering::Relaxed);
        let large = large_part(before) - large_part(before - bytes);
        self.memory.used.fetch_sub(bytes, Ordering::Relaxed);
        self.memory.large.fetch_sub(large, Ordering::Relaxed);
    }
}

impl HeldBytes {
    /// Bytes held.
    pub(crate) fn bytes(&self) -> usize {
        self.bytes
    }

    /// Adds what another piece of the same holder holds.
    pub(crate) fn merge(&mut self, mut other: HeldBytes) {
        self.bytes += std::mem::take(&mut other.bytes);
    }

    /// Gives back all but `bytes`.
    pub(crate) fn shrink_to(&mut self, bytes: usize) {
        let excess = self.bytes.saturating_sub(bytes);
        self.holder.give_back(excess);
        self.bytes -= excess;
    }
}

impl Drop for HeldBytes {
    fn drop(&mut self) {
        self.holder.give_back(self.bytes);
    }
}

fn share_bytes(memory_mb: u64, share: f64) -> usize {
    ((memory_mb << 20) as f64 * share) as usize
}

fn large_part(bytes: usize) -> usize {
    bytes.saturating_sub(SMALL_HOLDER_BYTES)
}
