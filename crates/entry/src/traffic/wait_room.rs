//! The line of prompts that wait for an engine, and the tasks that wait for its word.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use fulmargate_dispatch::ChoiceView;
use fulmargate_dispatch::PlacementRequest;
use fulmargate_dispatch::Placing;
use fulmargate_dispatch::RequestQueue;
use fulmargate_dispatch::ServerBook;
use fulmargate_dispatch::WaitEnd;
use fulmargate_dispatch::WaitNumber;
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

/// Requests go to engines with older weights until this long before the bound. A request may wait
/// at the engine before it begins, and the bound is on its beginning.
const WEIGHTS_MARGIN: Duration = Duration::from_millis(1_500);
/// The line is served at this pace at least: engines open again and prompts grow late without a word.
const LONGEST_PAUSE: Duration = Duration::from_millis(15);
/// And at this pace at most: some hundred answers and words come in a second, often together.
const LEAST_PAUSE: Duration = Duration::from_millis(2);

/// The line, shared by the calls that wait and the task that serves it.
#[derive(Default)]
pub(crate) struct WaitRoom {
    inside: Mutex<RoomInside>,
    changed: Notify,
}

#[derive(Default)]
struct RoomInside {
    line: RequestQueue,
    senders: IndexMap<WaitNumber, Sender<WaitEnd>>,
}

/// A place in the line, given up when it is dropped: its caller has left.
pub(crate) struct WaitPlace {
    state: Arc<SharedState>,
    number: WaitNumber,
    receiver: Receiver<WaitEnd>,
}

impl WaitRoom {
    /// Something has changed that may give a waiting prompt room.
    pub(crate) fn wake(&self) {
        self.changed.notify_one();
    }

    /// Prompts that wait.
    pub(crate) fn len(&self) -> usize {
        self.lock().line.len()
    }

    /// Serves the line on and on.
    pub(crate) async fn run(state: Arc<SharedState>) {
        loop {
            let changed = state.waiting.changed.notified();
            if state.waiting.len() == 0 {
                changed.await;
            } else if timeout(LONGEST_PAUSE, changed).await.is_err() {
                tracing::trace!("the line is served without a change");
            }
            state.waiting.serve(&state);
            sleep(LEAST_PAUSE).await;
        }
    }

    fn serve(&self, state: &SharedState) {
        let mut inside = self.lock();
        let RoomInside { line, senders } = &mut *inside;
        if line.is_empty() {
            return;
        }
        let ends = with_view(state, |book, view| line.serve(book, view));
        for (number, end) in ends.unwrap_or_default() {
            let Some(sender) = senders.swap_remove(&number) else { continue };
            if let Err(WaitEnd::Taken(taken)) = sender.send(end) {
                state.book().left(&taken.ticket);
            }
        }
    }

    fn lock(&self) -> MutexGuard<'_, RoomInside> {
        self.inside.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl WaitPlace {
    /// Waits for an engine, or for the word that there will be none in time.
    pub(crate) async fn wait(mut self) -> WaitEnd {
        (&mut self.receiver).await.unwrap_or(WaitEnd::Nowhere)
    }
}

impl Drop for WaitPlace {
    fn drop(&mut self) {
        let mut inside = self.state.waiting.lock();
        inside.line.leave(self.number);
        inside.senders.swap_remove(&self.number);
        drop(inside);
        // An engine that was taken for it in the meantime is free again.
        if let Ok(WaitEnd::Taken(taken)) = self.receiver.try_recv() {
            self.state.book().left(&taken.ticket);
        }
    }
}

/// Places the prompt, if it need not wait behind others.
pub(crate) fn place_first(state: &SharedState, wish: &PlacementRequest) -> Placing {
    if !state.waiting.lock().line.goes_first(&wish.call) {
        return Placing::Wait(f64::from(wish.call.prompt_tokens()));
    }
    with_view(state, |book, view| book.place(wish, view)).unwrap_or(Placing::Nowhere)
}

/// Takes a place in the line.
pub(crate) fn enter_line(state: &Arc<SharedState>, wish: PlacementRequest) -> WaitPlace {
    let (sender, receiver) = oneshot::channel();
    let mut inside = state.waiting.lock();
    let number = inside.line.enter(wish);
    inside.senders.insert(number, sender);
    drop(inside);
    state.waiting.wake();
    WaitPlace { state: state.clone(), number, receiver }
}

/// Decides with what is known at this moment; nothing without a configuration.
fn with_view<T>(
    state: &SharedState,
    decide: impl FnOnce(&mut ServerBook, ChoiceView<'_>) -> T,
) -> Option<T> {
    let table = state.table.load_full()?;
    let weights = state.weights.load_full();
    let view = ChoiceView {
        table: &table,
        weights: &weights,
        weights_bound: state.settings.bounds.weights().saturating_sub(WEIGHTS_MARGIN),
        zone: &state.settings.zone,
        now: Instant::now(),
        boot_now: boot_now(),
    };
    Some(decide(&mut state.book(), view))
}
