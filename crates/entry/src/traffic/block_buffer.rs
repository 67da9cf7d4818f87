//! A body while it arrives, copied into blocks.

use bytes::Bytes;

use crate::state::HeldBytes;
use crate::state::MemoryShortage;
use crate::traffic::block_body::BlockBody;
use crate::traffic::request_memory::RequestMemory;

/// First block of a body of unknown length. Each further one has the size of all before, so that a short body takes
/// little and a long one has few blocks.
const MIN_BLOCK_BYTES: usize = 4 << 10;
/// Largest block. Blocks of one size leave no gaps in the allocator's memory, and none is moved when a body grows.
const MAX_BLOCK_BYTES: usize = 64 << 10;

/// Collects the bytes of a body. Each block is counted before it is allocated.
pub(crate) struct BlockBuffer {
    memory: RequestMemory,
    held: HeldBytes,
    blocks: Vec<Bytes>,
    /// The block that is being filled.
    block: Vec<u8>,
    /// Bytes of all blocks.
    allocated: usize,
    /// Length of the whole body if it is known, otherwise its upper bound.
    max_bytes: usize,
    is_length_known: bool,
    /// Bytes that `held` has room for.
    free_bytes: usize,
}

impl BlockBuffer {
    /// An empty body. `held` is what is held for its message so far.
    pub(crate) fn new(memory: RequestMemory, held: HeldBytes, max_bytes: usize) -> BlockBuffer {
        BlockBuffer {
            memory,
            held,
            blocks: Vec::new(),
            block: Vec::new(),
            allocated: 0,
            max_bytes,
            is_length_known: false,
            free_bytes: 0,
        }
    }

    /// The same for a body whose length is `max_bytes`.
    pub(crate) fn with_known_length(mut self) -> BlockBuffer {
        self.is_length_known = true;
        self
    }

    /// Leaves the first bytes uncounted, as `held` has room for them.
    pub(crate) fn with_free_bytes(mut self, free_bytes: usize) -> BlockBuffer {
        self.free_bytes = free_bytes;
        self
    }

    /// Adds to what is held, which has room for as many bytes more.
    pub(crate) fn hold(&mut self, held: HeldBytes) {
        self.free_bytes += held.bytes();
        self.held.merge(held);
    }

    /// Copies bytes into blocks, so that what they are a part of can be dropped. If there is no memory for all, `bytes`
    /// is left with the rest.
    pub(crate) async fn push(&mut self, bytes: &mut &[u8]) -> Result<(), MemoryShortage> {
        while !bytes.is_empty() {
            if self.block.len() == self.block.capacity() {
                self.add_block().await?;
            }
            let room = self.block.capacity() - self.block.len();
            let (part, rest) = bytes.split_at(room.min(bytes.len()));
            self.block.extend_from_slice(part);
            *bytes = rest;
        }
        Ok(())
    }

    /// The whole body.
    pub(crate) fn finish(mut self) -> BlockBody {
        self.seal_block();
        BlockBody::new(self.blocks, Some(self.held))
    }

    async fn add_block(&mut self) -> Result<(), MemoryShortage> {
        let growth = match self.is_length_known {
            true => MAX_BLOCK_BYTES,
            false => self.allocated.clamp(MIN_BLOCK_BYTES, MAX_BLOCK_BYTES),
        };
        let left = self.max_bytes.saturating_sub(self.allocated);
        let block_bytes = growth.min(left.max(1));
        let uncounted = self.free_bytes.min(block_bytes);
        let taken = self.memory.take(block_bytes - uncounted).await?;
        self.free_bytes -= uncounted;
        self.held.merge(taken);
        self.allocated += block_bytes;
        self.seal_block();
        self.block = Vec::with_capacity(block_bytes);
        Ok(())
    }

    fn seal_block(&mut self) {
        let block = std::mem::take(&mut self.block);
        if !block.is_empty() {
            self.blocks.push(Bytes::from(block));
        }
    }
}
