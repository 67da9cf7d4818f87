//! Queue of prompts that wait for an engine.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use fulmargate_dispatch::ChoiceView;
use fulmargate_dispatch::Placement;
use fulmargate_dispatch::PlacementRequest;
use fulmargate_dispatch::QueueOutcome;
use fulmargate_dispatch::QueueTicket;
use fulmargate_dispatch::RequestQueue;
use fulmargate_dispatch::ServerRegistry;
use indexmap::IndexMap;
use tokio::sync::Notify;
use tokio::sync::oneshot;
use tokio::sync::oneshot::Receiver;
use tokio::sync::oneshot::Sender;
use tokio::time::Instant;
use tokio::time::sleep;
use tokio::time::timeout;

use crate::state::SharedState;
use crate::state::boot_now;

/// Engines with outdated weights stop receiving requests this long before requests may no longer start on
/// these weights. The wait that is estimated for each engine is deducted in addition.
const WEIGHTS_EXPIRY_MARGIN: Duration = Duration::from_millis(1_500);
/// Maximum time between two passes over a non-empty queue. Engines become available and deadlines approach
/// without a notification.
const MAX_SERVE_INTERVAL: Duration = Duration::from_millis(15);
/// Minimum time between two passes, which batches notifications.
const MIN_SERVE_INTERVAL: Duration = Duration::from_millis(2);

/// The queue, shared by the waiting requests and the task that assigns engines to them.
#[derive(Default)]
pub(crate) struct PromptQueue {
    inner: Mutex<QueueState>,
    changed: Notify,
}

#[derive(Default)]
struct QueueState {
    requests: RequestQueue,
    senders: IndexMap<QueueTicket, Sender<QueueOutcome>>,
}

/// A queued prompt. Dropping it removes the prompt from the queue, such as when the caller disconnects.
pub(crate) struct QueuedPrompt {
    state: Arc<SharedState>,
    ticket: QueueTicket,
    receiver: Receiver<QueueOutcome>,
}

impl PromptQueue {
    /// Signals that engine capacity may have become available.
    pub(crate) fn wake(&self) {
        self.changed.notify_one();
    }

    pub(crate) fn len(&self) -> usize {
        self.lock().requests.len()
    }

    /// Assigns engines to queued prompts. Never returns.
    pub(crate) async fn run(state: Arc<SharedState>) {
        loop {
            let changed = state.prompt_queue.changed.notified();
            if state.prompt_queue.len() == 0 {
                changed.await;
            } else if timeout(MAX_SERVE_INTERVAL, changed).await.is_err() {
                tracing::trace!("queue served without notification");
            }
            state.prompt_queue.serve(&state);
            sleep(MIN_SERVE_INTERVAL).await;
        }
    }

    fn serve(&self, state: &SharedState) {
        let mut queue = self.lock();
        let QueueState { requests, senders } = &mut *queue;
        if requests.is_empty() {
            return;
        }
        let outcomes = with_view(state, |servers, view| requests.run(servers, view));
        for (ticket, outcome) in outcomes.unwrap_or_default() {
            let Some(sender) = senders.swap_remove(&ticket) else { continue };
            if let Err(QueueOutcome::Assigned(assigned)) = sender.send(outcome) {
                state.servers().record_end(&assigned.ticket);
            }
        }
    }

    fn lock(&self) -> MutexGuard<'_, QueueState> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl QueuedPrompt {
    /// Waits until an engine is assigned or the prompt is rejected.
    pub(crate) async fn wait(mut self) -> QueueOutcome {
        (&mut self.receiver).await.unwrap_or(QueueOutcome::NoEngine)
    }
}

impl Drop for QueuedPrompt {
    fn drop(&mut self) {
        let mut queue = self.state.prompt_queue.lock();
        queue.requests.remove(self.ticket);
        queue.senders.swap_remove(&self.ticket);
        drop(queue);
        // Release an engine that was assigned in the meantime.
        if let Ok(QueueOutcome::Assigned(assigned)) = self.receiver.try_recv() {
            self.state.servers().record_end(&assigned.ticket);
        }
    }
}

/// Places the prompt immediately unless queued prompts take precedence.
pub(crate) fn try_place(state: &SharedState, placement: &PlacementRequest) -> Placement {
    let queue = state.prompt_queue.lock();
    let may_bypass =
        queue.requests.may_bypass(&placement.call) || queue.requests.may_go_on(placement);
    drop(queue);
    if !may_bypass {
        return Placement::Queued(f64::from(placement.call.prompt_tokens()));
    }
    with_view(state, |servers, view| servers.place(placement, view)).unwrap_or(Placement::NoEngine)
}

/// Adds the prompt to the queue.
pub(crate) fn enqueue(state: &Arc<SharedState>, placement: PlacementRequest) -> QueuedPrompt {
    let (sender, receiver) = oneshot::channel();
    let mut queue = state.prompt_queue.lock();
    let ticket = queue.requests.push(placement);
    queue.senders.insert(ticket, sender);
    drop(queue);
    state.prompt_queue.wake();
    QueuedPrompt { state: state.clone(), ticket, receiver }
}

/// For how long weights may be outdated when a prompt is sent to their engine.
pub(crate) fn max_weights_age(state: &SharedState) -> Duration {
    state.settings.bounds.weights().saturating_sub(WEIGHTS_EXPIRY_MARGIN)
}

/// Runs `decide` on the current state. Returns none until a configuration is loaded.
fn with_view<T>(
    state: &SharedState,
    decide: impl FnOnce(&mut ServerRegistry, ChoiceView<'_>) -> T,
) -> Option<T> {
    let table = state.table.load_full()?;
    let weights = state.weights.load_full();
    let view = ChoiceView {
        table: &table,
        weights: &weights,
        weights_bound: max_weights_age(state),
        zone: &state.settings.zone,
        now: Instant::now(),
        boot_now: boot_now(),
    };
    Some(decide(&mut state.servers(), view))
}
