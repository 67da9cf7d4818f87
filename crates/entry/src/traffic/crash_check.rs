//! Whether a server that broke off a request has crashed.

use std::sync::Arc;
use std::time::Duration;

use fulmargate_dispatch::ConnectEnd;
use fulmargate_dispatch::ContactStep;
use fulmargate_dispatch::ServerEntry;
use fulmargate_names::EventKind;
use fulmargate_names::RequestId;
use tokio::time::Instant;
use tokio::time::sleep;

use crate::state::CrashSighting;
use crate::state::SharedState;
use crate::traffic::channel::Channel;

/// Pause before the book is asked. When the host's own link is full, connections to many servers fail within
/// some milliseconds, and only with most of them noted the book knows that it is not the servers.
const JUDGE_PAUSE: Duration = Duration::from_millis(100);
/// Connections in vain to a server that is in the list no more, so that the book knows nothing of it.
const SILENT_CONNECTIONS: u32 = 2;
/// A server that is neither reached nor found gone in this time is not said to have crashed: as long as the
/// host doubts itself while it hears some servers.
const LONGEST_CHECK: Duration = Duration::from_secs(3);

/// A request that broke off, and the server that ran it.
pub(crate) struct CrashCheck {
    pub(crate) state: Arc<SharedState>,
    pub(crate) id: RequestId,
    /// Fingerprint of the request.
    pub(crate) print: u128,
    pub(crate) server: Arc<ServerEntry>,
}

impl CrashCheck {
    /// Notes a crash, and has the other routers told.
    ///
    /// A new connection that is refused shows that the server is gone. One that times out shows nothing by
    /// itself: on a full link all do, and innocent requests were convicted of crashing servers that were
    /// well. Silence counts after a second connection in vain, and not while the host doubts itself.
    pub(crate) async fn run(self) {
        let Some(reason) = self.find_gone().await else { return };
        let CrashCheck { state, id, print, server } = self;
        state.crashes().note(print, server.key(), Instant::now());
        let kind = EventKind::ServerCrashed;
        if state.lines.allows(kind, Instant::now()) {
            tracing::warn!(event = kind.number(), name = kind.name(), %id, server = %server.name, %reason);
        }
        let sighting = CrashSighting { print, server };
        if state.crash_sender.send(sighting).is_err() {
            tracing::debug!("the process stops: a crash is not told to others");
        }
    }

    /// Why the server is gone; none if it is not, or nobody can tell.
    async fn find_gone(&self) -> Option<String> {
        let key = self.server.key();
        let until = Instant::now() + LONGEST_CHECK;
        let mut step = ContactStep::Ask;
        let mut in_vain = 0;
        while Instant::now() < until {
            if step == ContactStep::Ask {
                let fault = Channel::to_server(&self.state, &self.server).await.err()?;
                self.state.book().unreachable(key, Instant::now());
                if fault.end() == ConnectEnd::Refused {
                    return Some(fault.to_string());
                }
                in_vain += 1;
            }
            sleep(JUDGE_PAUSE).await;
            let now = Instant::now();
            step = self.state.book().silent(key, now);
            if self.state.book().doubts_itself(now) {
                in_vain = 0;
            }
            if step == ContactStep::Unreachable || SILENT_CONNECTIONS <= in_vain {
                return Some("no connection lately".to_owned());
            }
        }
        None
    }
}
