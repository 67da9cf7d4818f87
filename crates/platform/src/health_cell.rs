//! Whether the log can be reached.

use std::cell::Cell;

use fulmargate_names::EventKind;
use tokio::time::Instant;

use crate::LogError;

/// Whether the log can be reached, as the last call found it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LogState {
    /// The last call was answered.
    Up,
    /// No call was answered since then; at first, since the client was made.
    Out {
        /// When the first of the failures in a row ended.
        since: Instant,
    },
}

/// The state that the clones of a client share.
#[derive(Debug)]
pub(crate) struct HealthCell {
    state: Cell<LogState>,
}

impl HealthCell {
    pub(crate) fn new() -> HealthCell {
        HealthCell { state: Cell::new(LogState::Out { since: Instant::now() }) }
    }

    pub(crate) fn state(&self) -> LogState {
        self.state.get()
    }

    /// Takes in how a call ended. A refusal for the rate is an answer: the log is up.
    pub(crate) fn observe(&self, error: Option<LogError>) {
        match (self.state.get(), error) {
            (LogState::Out { .. }, None | Some(LogError::Throttled)) => {
                self.state.set(LogState::Up);
                tracing::info!(
                    event = EventKind::LogBack.number(),
                    name = EventKind::LogBack.name()
                );
            }
            (LogState::Up, Some(error)) if error != LogError::Throttled => {
                self.state.set(LogState::Out { since: Instant::now() });
                tracing::warn!(event = EventKind::LogOut.number(), name = EventKind::LogOut.name(), %error);
            }
            _ => (),
        }
    }
}
