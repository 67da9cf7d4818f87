//! A response body that is read whole before it is sent to the caller.

use std::time::Duration;

use fulmargate_dispatch::SendOutcome;
use tokio::time::Instant;
use tokio::time::sleep;

use crate::state::HeldBytes;
use crate::state::MemoryHolder;
use crate::traffic::block_body::BlockBody;
use crate::traffic::block_buffer::BlockBuffer;
use crate::traffic::request_memory::RequestMemory;
use crate::traffic::send_attempt::SendError;
use crate::traffic::server_connection::UNREAD_RESPONSE_BYTES;

/// Upper bound of one body.
const MAX_BODY_BYTES: usize = 8 << 20;
/// Bytes of each body for which no room is waited.
const FREE_BYTES: usize = 16 << 10;
/// How long a body waits for memory. Its server waits meanwhile.
const MEMORY_TIMEOUT: Duration = Duration::from_secs(2);
/// Least memory taken at a time for a body of unknown length: one block.
const MIN_STEP_BYTES: usize = 64 << 10;
/// Pause between tries to take memory.
const MEMORY_RETRY_INTERVAL: Duration = Duration::from_millis(20);

/// Where a body's memory is taken from.
#[derive(Clone)]
pub(crate) struct BodyMemory {
    /// That of the request.
    pub(crate) request: RequestMemory,
    /// That for all bodies which are being read.
    pub(crate) reading: MemoryHolder,
}

/// What a body holds.
struct BodyHold {
    request: HeldBytes,
    reading: HeldBytes,
}

/// Bytes of a body so far, counted towards the memory of its request and, until it is read whole, that of all bodies.
pub(crate) struct BufferedBody {
    memory: BodyMemory,
    /// What is held for bytes that have not arrived yet.
    ahead: usize,
    buffer: BlockBuffer,
    reading: HeldBytes,
    length: usize,
}

impl BufferedBody {
    /// An empty body. Memory for a stated length is taken before any of it is read, so that bodies that wait for memory
    /// do not hold what the others need.
    pub(crate) async fn begin(
        memory: BodyMemory,
        stated: Option<usize>,
        deadline: Instant,
    ) -> Result<BufferedBody, SendError> {
        let counted = stated.unwrap_or_default().saturating_sub(FREE_BYTES);
        if MAX_BODY_BYTES < counted {
            return Err(too_long());
        }
        let mut held = memory.request.take_always(FREE_BYTES);
        let taken = memory.take_until(counted, deadline).await?;
        held.merge(taken.request);
        let buffer = match stated {
            Some(stated) => {
                BlockBuffer::new(memory.request.clone(), held, stated).with_known_length()
            }
            None => BlockBuffer::new(memory.request.clone(), held, MAX_BODY_BYTES),
        };
        let ahead = FREE_BYTES + counted;
        let buffer = buffer.with_free_bytes(ahead);
        Ok(BufferedBody { memory, ahead, buffer, reading: taken.reading, length: 0 })
    }

    /// Adds bytes. Fails if the body is too long, or if there is no memory for it until `deadline`.
    pub(crate) async fn push(&mut self, bytes: &[u8], deadline: Instant) -> Result<(), SendError> {
        self.length += bytes.len();
        if MAX_BODY_BYTES < self.length {
            return Err(too_long());
        }
        if self.ahead < self.length {
            let step = MIN_STEP_BYTES.max(self.length - self.ahead);
            let taken = self.memory.take_until(step, deadline).await?;
            self.reading.merge(taken.reading);
            self.buffer.hold(taken.request);
            self.ahead += step;
        }
        let pushed = self.buffer.push(&mut &bytes[..]).await;
        pushed.map_err(|_| no_memory())
    }

    /// The whole body.
    pub(crate) fn take(self) -> BlockBody {
        self.buffer.finish()
    }
}

impl BodyMemory {
    fn try_take(&self, taken: HeldBytes, bytes: usize) -> Option<BodyHold> {
        let reading = self.reading.take(bytes, 0).ok()?;
        Some(BodyHold { request: taken, reading })
    }

    /// Takes memory once there is some. The server's connection is not read meanwhile.
    async fn take_until(&self, bytes: usize, deadline: Instant) -> Result<BodyHold, SendError> {
        let deadline = deadline.min(Instant::now() + MEMORY_TIMEOUT);
        let mut unread = None;
        loop {
            if let Ok(taken) = self.request.take(bytes).await
                && let Some(hold) = self.try_take(taken, bytes)
            {
                return Ok(hold);
            }
            if deadline <= Instant::now() {
                return Err(no_memory());
            }
            unread.get_or_insert_with(|| self.request.take_always(UNREAD_RESPONSE_BYTES));
            sleep(MEMORY_RETRY_INTERVAL).await;
        }
    }
}

fn no_memory() -> SendError {
    SendError::new(SendOutcome::Broken, &"there is no memory for the body")
}

fn too_long() -> SendError {
    SendError::new(SendOutcome::Broken, &"the body is too long")
}
