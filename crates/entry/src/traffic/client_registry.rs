//! All connections of callers, and who of them is closed when memory or descriptors run out.

use std::cell::Cell;
use std::cell::RefCell;
use std::rc::Rc;
use std::rc::Weak;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use fulmargate_names::EventKind;
use indexmap::IndexMap;
use tokio::time::Instant;
use tokio::time::sleep;

use crate::state::HeldBytes;
use crate::state::HeldMemory;
use crate::state::MemoryShortage;
use crate::state::SharedState;
use crate::telemetry::count_closed_client;
use crate::traffic::client_connection::ClientConnection;
use crate::traffic::client_connection::CloseReason;
use crate::traffic::client_connection::ScarceResource;

/// Part of the memory that may be taken while connections that hold it are being closed.
const SLACK_DIVISOR: usize = 16;
/// Part of a resource that is freed at a time, so that one look at all connections serves many newcomers.
const BATCH_DIVISOR: usize = 64;
/// After a look that found no connection to close, the next one takes place this much later.
const FRUITLESS_PAUSE: Duration = Duration::from_millis(10);
/// Interval at which a holder checks whether connections that are being closed have given back their memory.
const RELEASE_POLL_INTERVAL: Duration = Duration::from_millis(5);
/// Checks before the memory is reported as used up.
const MAX_RELEASE_POLLS: usize = 40;

/// Connections of callers, on the traffic thread.
pub(crate) struct ClientRegistry {
    state: Arc<SharedState>,
    clients: RefCell<IndexMap<u64, Weak<ClientConnection>>>,
    /// Those that are being closed and have not given back what they hold.
    closing: RefCell<IndexMap<u64, Weak<ClientConnection>>>,
    next_id: Cell<u64>,
    max_clients: usize,
    /// No look at all connections before this time.
    next_look: Cell<Option<Instant>>,
}

impl ClientRegistry {
    /// For this number of connections at most.
    pub(crate) fn new(state: Arc<SharedState>, max_clients: usize) -> ClientRegistry {
        ClientRegistry {
            state,
            clients: RefCell::default(),
            closing: RefCell::default(),
            next_id: Cell::new(0),
            max_clients,
            next_look: Cell::new(None),
        }
    }

    pub(crate) fn memory(&self) -> &HeldMemory {
        &self.state.held_memory
    }

    /// Registers a connection.
    pub(crate) fn register(self: &Rc<Self>) -> Rc<ClientConnection> {
        let id = self.next_id.get();
        self.next_id.set(id + 1);
        let client = Rc::new(ClientConnection::new(id, self.clone(), Instant::now()));
        self.clients.borrow_mut().insert(id, Rc::downgrade(&client));
        client
    }

    pub(crate) fn remove(&self, id: u64) {
        self.clients.borrow_mut().swap_remove(&id);
        self.record_closed(id);
    }

    /// Records that a connection that was being closed holds nothing any more that others wait for.
    pub(crate) fn record_closed(&self, id: u64) {
        self.closing.borrow_mut().swap_remove(&id);
    }

    /// Waits for a descriptor for a new connection, closing others for it. Returns whether there is one.
    pub(crate) async fn has_descriptor(&self) -> bool {
        for _ in 0..MAX_RELEASE_POLLS {
            if self.clients.borrow().len() < self.max_clients {
                return true;
            }
            if !self.is_closing_any() && !self.free_descriptors() {
                return false;
            }
            sleep(RELEASE_POLL_INTERVAL).await;
        }
        false
    }

    /// Closes connections that use descriptors and do nothing. Returns whether there were any.
    pub(crate) fn free_descriptors(&self) -> bool {
        let needed = 1 + self.max_clients / BATCH_DIVISOR;
        self.close_worst(ScarceResource::Descriptors, needed, None) != 0
    }

    /// Takes memory for a connection that was just accepted.
    pub(crate) async fn take_connection(
        &self,
        client: &ClientConnection,
        bytes: usize,
    ) -> Result<HeldBytes, MemoryShortage> {
        let take = |slack| client.holder().take_connection(bytes, slack);
        self.take_with(client, bytes, &take).await
    }

    /// Takes memory, waiting for connections that are closed for it.
    pub(crate) async fn take(
        &self,
        client: &ClientConnection,
        bytes: usize,
    ) -> Result<HeldBytes, MemoryShortage> {
        let take = |slack| client.holder().take(bytes, slack);
        self.take_with(client, bytes, &take).await
    }

    /// Takes memory at once, closing others for it.
    pub(crate) fn take_now(
        &self,
        client: &ClientConnection,
        bytes: usize,
    ) -> Result<HeldBytes, MemoryShortage> {
        let take = |slack| client.holder().take(bytes, slack);
        self.try_take(client, bytes, &take)
    }

    /// Takes memory that is in use already, and closes others if it is beyond the bound.
    pub(crate) fn take_always(&self, client: &ClientConnection, bytes: usize) -> HeldBytes {
        match self.take_now(client, bytes) {
            Ok(held) => held,
            Err(_) => client.holder().take_always(bytes),
        }
    }

    async fn take_with(
        &self,
        client: &ClientConnection,
        bytes: usize,
        take: &dyn Fn(usize) -> Result<HeldBytes, MemoryShortage>,
    ) -> Result<HeldBytes, MemoryShortage> {
        let mut taken = self.try_take(client, bytes, take);
        for _ in 0..MAX_RELEASE_POLLS {
            if taken.is_ok() || !self.is_closing_any() {
                return taken;
            }
            sleep(RELEASE_POLL_INTERVAL).await;
            taken = self.try_take(client, bytes, take);
        }
        taken
    }

    fn try_take(
        &self,
        client: &ClientConnection,
        bytes: usize,
        take: &dyn Fn(usize) -> Result<HeldBytes, MemoryShortage>,
    ) -> Result<HeldBytes, MemoryShortage> {
        let shortage = match take(0) {
            Ok(held) => return Ok(held),
            Err(shortage) => shortage,
        };
        let (scarce, needed) = match shortage {
            MemoryShortage::Total => {
                let batch = self.memory().max_bytes() / BATCH_DIVISOR;
                (ScarceResource::Memory, bytes + batch)
            }
            MemoryShortage::Large => (ScarceResource::LargeMemory, bytes),
        };
        let releasing = self.releasing_bytes();
        if releasing < needed {
            self.close_worst(scarce, needed - releasing, Some(client.id));
        }
        let max_slack = self.memory().max_bytes() / SLACK_DIVISOR;
        take(self.releasing_bytes().min(max_slack))
    }

    /// Closes the connections with the highest scores until they give back what is needed. Returns what they give back.
    fn close_worst(&self, scarce: ScarceResource, needed: usize, taker: Option<u64>) -> usize {
        let now = Instant::now();
        if self.next_look.get().is_some_and(|next_look| now < next_look) {
            return 0;
        }
        let mut candidates: Vec<(f64, Rc<ClientConnection>)> = Vec::new();
        for client in self.clients.borrow().values().filter_map(Weak::upgrade) {
            if taker != Some(client.id)
                && let Some(score) = client.eviction_score(scarce, now)
            {
                candidates.push((score, client));
            }
        }
        candidates.sort_unstable_by(|one, other| other.0.total_cmp(&one.0));
        let reason = match scarce {
            ScarceResource::Descriptors => CloseReason::Descriptors,
            ScarceResource::Memory | ScarceResource::LargeMemory => CloseReason::Memory,
        };
        let mut freed = 0;
        for (_, client) in &candidates {
            if needed <= freed {
                break;
            }
            freed += match scarce {
                ScarceResource::Descriptors => 1,
                _ => client.holder().bytes(),
            };
            client.close(reason);
            self.closing.borrow_mut().insert(client.id, Rc::downgrade(client));
        }
        if freed == 0 {
            self.next_look.set(Some(now + FRUITLESS_PAUSE));
        }
        freed
    }

    fn is_closing_any(&self) -> bool {
        !self.closing.borrow().is_empty()
    }

    /// What connections that are being closed still hold.
    fn releasing_bytes(&self) -> usize {
        let closing = self.closing.borrow();
        closing.values().filter_map(Weak::upgrade).map(|client| client.holder().bytes()).sum()
    }

    /// Logs and counts a connection that is closed before its time.
    pub(crate) fn log_closed(&self, client: &ClientConnection, reason: CloseReason) {
        let phase = client.phase().name();
        count_closed_client(reason.name(), phase);
        let kind = EventKind::ClientClosed;
        // An idle connection is closed without harm to its caller.
        if reason == CloseReason::IdleTimeout
            || !self.state.log_limiter.allows(kind, Instant::now())
        {
            return;
        }
        tracing::info!(
            event = kind.number(),
            name = kind.name(),
            reason = reason.name(),
            phase,
            held_bytes = client.holder().bytes(),
            stalled_ms = client.stall().as_millis() as u64,
            all_held_bytes = self.memory().used_bytes(),
            connections = self.state.open_connections.load(Ordering::Relaxed),
        );
    }
}
