//! Tells the book how connections end.

use std::sync::Arc;

use fulmargate_dispatch::ConnectEnd;
use fulmargate_dispatch::ServerKey;
use tokio::time::Instant;

use crate::state::SharedState;

/// A connection to the server was tried, by whichever thread.
pub(crate) fn note_connect(state: &Arc<SharedState>, server: ServerKey, end: ConnectEnd) {
    state.book().tried(server, end, Instant::now());
}
