//! A caller's connection: what it holds, and whether it makes progress.

use std::cell::Cell;
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use crate::state::HeldBytes;
use crate::state::MemoryHolder;
use crate::state::MemoryShortage;
use crate::traffic::client_registry::ClientRegistry;

/// Less than this is no progress, however little is held.
const MIN_PROGRESS_BYTES: usize = 16 << 10;
/// Part of what is held that counts as progress.
const PROGRESS_DIVISOR: usize = 8;
/// A connection that has made progress within this time is not closed for want of room.
const MIN_STALL: Duration = Duration::from_millis(100);
/// Bytes of the answer by which the memory held for it changes.
const ANSWER_STEP_BYTES: usize = 8 << 10;
/// By how much longer an idle connection may stay that has had an admitted request.
const SERVED_PATIENCE: f64 = 8.0;

/// What a connection is doing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ClientPhase {
    /// Nothing of the next request has arrived.
    Idle,
    /// The head of a request has arrived in part.
    Head,
    /// The body of a request has arrived in part.
    Body,
    /// A request has arrived whole.
    Handled,
    /// An answer is being written.
    Answer,
    /// A refusal was written, and what the caller still sends is discarded.
    Lingering,
}

impl ClientPhase {
    /// Name in log lines and metric labels.
    pub(crate) fn name(self) -> &'static str {
        match self {
            ClientPhase::Idle => "idle",
            ClientPhase::Head => "head",
            ClientPhase::Body => "body",
            ClientPhase::Handled => "handled",
            ClientPhase::Answer => "answer",
            ClientPhase::Lingering => "lingering",
        }
    }
}

/// Why a connection is closed before its time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CloseReason {
    /// Others need the memory that it holds.
    Memory,
    /// Others need its descriptor.
    Descriptors,
    /// Its head took longer than the operator allows.
    HeadTimeout,
    /// It was idle for longer than the operator allows.
    IdleTimeout,
}

impl CloseReason {
    /// Name in log lines and metric labels.
    pub(crate) fn name(self) -> &'static str {
        match self {
            CloseReason::Memory => "memory",
            CloseReason::Descriptors => "descriptors",
            CloseReason::HeadTimeout => "head_timeout",
            CloseReason::IdleTimeout => "idle_timeout",
        }
    }
}

/// What runs out when a connection is looked for that may be closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ScarceResource {
    /// Memory of any holder.
    Memory,
    /// Memory of large holders.
    LargeMemory,
    /// Descriptors.
    Descriptors,
}

/// One connection of a caller.
pub(crate) struct ClientConnection {
    pub(crate) id: u64,
    registry: Rc<ClientRegistry>,
    holder: MemoryHolder,
    phase: Cell<ClientPhase>,
    /// When the phase began.
    began: Cell<Instant>,
    /// Last progress.
    progressed: Cell<Instant>,
    /// Bytes since then.
    advance: Cell<usize>,
    /// Bytes of answers that were not written yet.
    unwritten: Cell<usize>,
    /// Since when the system has taken none of them; none if nothing waits to be written.
    blocked: Cell<Option<Instant>>,
    /// Memory for them.
    answer: RefCell<Option<HeldBytes>>,
    /// Whether a request on it was admitted.
    has_served: Cell<bool>,
    /// Whether a part of the last request's body was not read.
    has_unread_body: Cell<bool>,
    /// Whether a body is being read for which the receive buffer may be large.
    is_receiving: Cell<bool>,
    reason: Cell<Option<CloseReason>>,
    closing: CancellationToken,
    refusing: CancellationToken,
    ending: CancellationToken,
}

impl ClientConnection {
    pub(crate) fn new(id: u64, registry: Rc<ClientRegistry>, now: Instant) -> ClientConnection {
        ClientConnection {
            id,
            holder: registry.memory().holder(),
            registry,
            phase: Cell::new(ClientPhase::Idle),
            began: Cell::new(now),
            progressed: Cell::new(now),
            advance: Cell::new(0),
            unwritten: Cell::new(0),
            blocked: Cell::new(None),
            answer: RefCell::default(),
            has_served: Cell::new(false),
            has_unread_body: Cell::new(false),
            is_receiving: Cell::new(false),
            reason: Cell::new(None),
            closing: CancellationToken::new(),
            refusing: CancellationToken::new(),
            ending: CancellationToken::new(),
        }
    }

    /// What it holds.
    pub(crate) fn holder(&self) -> &MemoryHolder {
        &self.holder
    }

    pub(crate) fn phase(&self) -> ClientPhase {
        self.phase.get()
    }

    /// When the current phase began.
    pub(crate) fn began(&self) -> Instant {
        self.began.get()
    }

    pub(crate) fn enter(&self, phase: ClientPhase) {
        let now = Instant::now();
        self.phase.set(phase);
        self.began.set(now);
        self.progressed.set(now);
        self.advance.set(0);
    }

    /// Records that a request on it was admitted.
    pub(crate) fn record_admitted(&self) {
        self.has_served.set(true);
    }

    /// Records whether a part of a request's body was left unread.
    pub(crate) fn set_unread_body(&self, has_unread_body: bool) {
        self.has_unread_body.set(has_unread_body);
    }

    pub(crate) fn has_unread_body(&self) -> bool {
        self.has_unread_body.get()
    }

    /// Sets whether the receive buffer may be large.
    pub(crate) fn set_receiving(&self, is_receiving: bool) {
        self.is_receiving.set(is_receiving);
    }

    pub(crate) fn is_receiving(&self) -> bool {
        self.is_receiving.get()
    }

    /// Records bytes that were read or written.
    pub(crate) fn record_progress(&self, bytes: usize) {
        let advance = self.advance.get() + bytes;
        let needed = MIN_PROGRESS_BYTES.max(self.holder.bytes() / PROGRESS_DIVISOR);
        if advance < needed {
            self.advance.set(advance);
            return;
        }
        self.advance.set(0);
        self.progressed.set(Instant::now());
    }

    /// Records bytes of an answer that are to be written. They exist already, so that others make room for them.
    pub(crate) fn record_answer(&self, bytes: usize) {
        let unwritten = self.unwritten.get() + bytes;
        self.unwritten.set(unwritten);
        let mut answer = self.answer.borrow_mut();
        let held_bytes = answer.as_ref().map_or(0, HeldBytes::bytes);
        let missing = unwritten.saturating_sub(held_bytes + ANSWER_STEP_BYTES);
        if missing == 0 {
            return;
        }
        let taken = self.registry.take_always(self, missing);
        match answer.as_mut() {
            Some(held) => held.merge(taken),
            None => *answer = Some(taken),
        }
    }

    /// Records bytes that were written, of answers or around them.
    pub(crate) fn record_written(&self, bytes: usize) {
        let unwritten = self.unwritten.get().saturating_sub(bytes);
        self.unwritten.set(unwritten);
        self.blocked.set(None);
        self.record_progress(bytes);
        let mut answer = self.answer.borrow_mut();
        if unwritten == 0 {
            *answer = None;
        } else if let Some(held) = answer.as_mut()
            && unwritten + ANSWER_STEP_BYTES <= held.bytes()
        {
            held.shrink_to(unwritten);
        }
    }

    /// Records that bytes cannot be written until the caller reads.
    pub(crate) fn record_blocked(&self) {
        if self.blocked.get().is_none() {
            self.blocked.set(Some(Instant::now()));
        }
    }

    /// Takes memory at once, closing others for it.
    pub(crate) fn take_now(&self, bytes: usize) -> Result<HeldBytes, MemoryShortage> {
        self.registry.take_now(self, bytes)
    }

    /// Takes memory, waiting for connections that are closed for it.
    pub(crate) async fn take(&self, bytes: usize) -> Result<HeldBytes, MemoryShortage> {
        self.registry.take(self, bytes).await
    }

    /// Takes memory that is in use already, closing others for it.
    pub(crate) fn take_always(&self, bytes: usize) -> HeldBytes {
        self.registry.take_always(self, bytes)
    }

    /// How much others gain if it is closed, and how little is lost; none if it must not be closed.
    pub(crate) fn eviction_score(&self, scarce: ScarceResource, now: Instant) -> Option<f64> {
        if self.is_closing() {
            return None;
        }
        let blocked = self.blocked.get();
        let is_idle = self.phase() == ClientPhase::Idle && blocked.is_none();
        let holds_it = scarce != ScarceResource::LargeMemory || self.holder.is_large();
        let may_close = match self.phase() {
            ClientPhase::Handled => false,
            ClientPhase::Answer => scarce != ScarceResource::Descriptors && blocked.is_some(),
            _ => true,
        };
        let stall = now.saturating_duration_since(self.stalled_since());
        if !holds_it || !may_close || stall < MIN_STALL {
            return None;
        }
        let patience = if is_idle && self.has_served.get() { SERVED_PATIENCE } else { 1.0 };
        let seconds = stall.as_secs_f64() / patience;
        Some(match scarce {
            ScarceResource::Descriptors => seconds,
            _ => self.holder.bytes() as f64 * seconds,
        })
    }

    /// Has the connection closed, after a refusal if a request has arrived in part.
    pub(crate) fn close(&self, reason: CloseReason) {
        if self.is_closing() {
            return;
        }
        self.reason.set(Some(reason));
        self.registry.log_closed(self, reason);
        match self.phase() {
            ClientPhase::Body => self.refusing.cancel(),
            ClientPhase::Lingering => self.ending.cancel(),
            _ => self.closing.cancel(),
        }
    }

    pub(crate) fn is_closing(&self) -> bool {
        self.reason.get().is_some()
    }

    /// Time without progress.
    pub(crate) fn stall(&self) -> Duration {
        Instant::now().saturating_duration_since(self.stalled_since())
    }

    fn stalled_since(&self) -> Instant {
        self.blocked.get().unwrap_or(self.progressed.get())
    }

    /// Waits until the connection is to be closed without an answer to a request.
    pub(crate) async fn closed(&self) -> Option<CloseReason> {
        self.closing.cancelled().await;
        self.reason.get()
    }

    /// Discards what the caller still sends from now on. The connection may be closed again for want of room.
    pub(crate) fn begin_lingering(&self) {
        self.enter(ClientPhase::Lingering);
        self.reason.set(None);
        self.registry.record_closed(self.id);
    }

    /// Waits until the connection is to be closed although its caller still sends.
    pub(crate) async fn ended(&self) {
        self.ending.cancelled().await;
    }

    /// Waits until the request whose body is read is to be refused.
    pub(crate) async fn refused(&self) {
        self.refusing.cancelled().await;
    }
}

impl Drop for ClientConnection {
    fn drop(&mut self) {
        self.registry.remove(self.id);
    }
}
