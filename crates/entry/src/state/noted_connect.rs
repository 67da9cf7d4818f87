//! Tells the book how connections end, and the log what that says of the host.

use std::sync::Arc;

use fulmargate_dispatch::ConnectEnd;
use fulmargate_dispatch::ReachNews;
use fulmargate_dispatch::ServerKey;
use fulmargate_names::EventKind;
use tokio::task::spawn_local;
use tokio::time::Instant;
use tokio::time::sleep_until;

use crate::state::SharedState;
use crate::telemetry::count_connect;
use crate::telemetry::count_doubt;

/// A connection to the server was tried, by whichever thread.
pub(crate) fn note_connect(state: &Arc<SharedState>, server: ServerKey, end: ConnectEnd) {
    count_connect(end.name());
    let now = Instant::now();
    let mut book = state.book();
    book.tried(server, end, now);
    let news = book.reach_news(now);
    drop(book);
    let Some(news) = news else { return };
    tell(state, news);
    if matches!(news, ReachNews::Doubted(_)) {
        spawn_local(watch_doubt(state.clone()));
    }
}

/// Tells when the doubt is over, also if no connection is tried any more.
async fn watch_doubt(state: Arc<SharedState>) {
    loop {
        let now = Instant::now();
        let end = state.book().doubt_end(now);
        let Some(end) = end else { break };
        sleep_until(end).await;
    }
    let news = state.book().reach_news(Instant::now());
    if let Some(news) = news {
        tell(&state, news);
    }
}

fn tell(state: &SharedState, news: ReachNews) {
    let kind = match news {
        ReachNews::Doubted(_) => EventKind::OwnReachDoubted,
        ReachNews::Restored(..) => EventKind::OwnReachRestored,
    };
    if kind == EventKind::OwnReachDoubted {
        count_doubt();
    }
    if !state.lines.allows(kind, Instant::now()) {
        return;
    }
    match news {
        ReachNews::Doubted(count) => {
            tracing::warn!(
                event = kind.number(),
                name = kind.name(),
                silent = count.silent,
                heard = count.heard,
            );
        }
        ReachNews::Restored(count, time) => {
            tracing::info!(
                event = kind.number(),
                name = kind.name(),
                silent = count.silent,
                heard = count.heard,
                for_ms = time.as_millis() as u64,
            );
        }
    }
}
