//! Requests that may crash the backend servers that run them.

use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use fulmargate_names::HostName;
use fulmargate_names::Incarnation;
use fulmargate_names::ServerName;
use tokio::sync::watch;
use tokio::time::Instant;

use crate::CrashId;
use crate::Fingerprint;
use crate::SuspectConf;
use crate::SuspectRun;
use crate::SuspectVerdict;
use crate::lock::lock;
use crate::run_table::RunEntry;
use crate::suspect_state::SuspectState;
use crate::trial_order::TrialOrder;

/// Finds the request that crashes servers among all that were under way when one crashed.
///
/// Each of those is a suspect and most are innocent. A suspect runs again with no other suspect
/// on its server; it is cleared when its answer comes whole, and convicted when that server
/// crashes too and nothing else explains it. Suspicion, runs and convictions travel to the other
/// routers, so that a request sent again is treated there as what it is.
#[derive(Debug)]
pub struct SuspectBook {
    state: Mutex<SuspectState>,
    changes: watch::Sender<u64>,
}

/// What is held of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SuspectStanding {
    /// Nothing is open against it.
    Innocent,
    /// It runs apart from other suspects.
    Suspect,
    /// Two servers crashed with it; it may not run until it is known who did it.
    Held,
    /// It crashes servers, and is refused.
    Convicted,
}

/// How well a server suits a request, apart from load and cache.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunFit {
    /// It is no suspect: any server.
    Anywhere,
    /// A suspect, on a server that is this router's for suspects: the first choice.
    Own,
    /// A suspect, on a server where another router may run one: the second choice.
    Shared,
    /// Another suspect runs there, or this one runs already, or it is another router's turn there.
    Busy,
    /// No server yet.
    Held {
        /// When to look again.
        retry_after: Duration,
    },
    /// No server ever.
    Never,
}

/// Why a run may not begin.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunRefusal {
    /// As `RunFit::Busy`: try another server, or look again after a change or a turn.
    Busy,
    /// It is not yet known which request crashes servers.
    Held {
        /// When to look again.
        retry_after: Duration,
    },
    /// The request crashes servers: `ErrorKind::CrashingRequest`.
    Convicted,
}

impl SuspectBook {
    /// An empty book.
    pub fn new(conf: SuspectConf) -> Arc<SuspectBook> {
        Arc::new(SuspectBook {
            state: Mutex::new(SuspectState::new(conf)),
            changes: watch::Sender::new(0),
        })
    }

    /// Names the routers among which servers are divided for runs of suspects.
    pub fn set_routers(&self, own: &HostName, all: &[HostName]) {
        lock(&self.state).set_order(TrialOrder::new(own, all));
    }

    /// What is held of a request now.
    pub fn standing(&self, print: Fingerprint, now: Instant) -> SuspectStanding {
        lock(&self.state).standing(print, now)
    }

    /// Whether and how well a request may run on a server.
    pub fn may_run_on(&self, print: Fingerprint, server: &ServerName, now: Instant) -> RunFit {
        lock(&self.state).fit(print, server, now)
    }

    /// Whether a suspect runs on a server: what runs beside it may become one.
    pub fn has_suspect(&self, server: &ServerName, now: Instant) -> bool {
        lock(&self.state).has_suspect(server, now)
    }

    /// Begins a run, before its first byte is sent. The check and the entry are one step: two
    /// threads can't both find the server free of suspects.
    pub fn begin(
        self: &Arc<SuspectBook>,
        print: Fingerprint,
        server: &ServerName,
        incarnation: Incarnation,
        now: Instant,
    ) -> Result<SuspectRun, RunRefusal> {
        let place = CrashId { server: server.clone(), incarnation };
        let (id, standing) = lock(&self.state).begin(RunEntry { print, place }, now)?;
        if standing == SuspectStanding::Suspect {
            self.notify();
        }
        Ok(SuspectRun::new(Arc::clone(self), id, standing))
    }

    /// The server's process has ended under this incarnation or an earlier one: its port is
    /// closed, or another process answers there.
    pub fn crashed(&self, server: &ServerName, incarnation: Incarnation, now: Instant) {
        lock(&self.state).crashed(server, incarnation, now);
        self.notify();
    }

    /// The server answered, under this incarnation, a question that was put after connections to
    /// it broke.
    pub fn seen(&self, server: &ServerName, incarnation: Incarnation, now: Instant) {
        lock(&self.state).seen(server, incarnation, now);
        self.notify();
    }

    /// Takes in another router's word.
    pub fn learn(&self, verdict: &SuspectVerdict, from: &HostName, now: Instant) {
        lock(&self.state).learn(verdict, from, now);
        self.notify();
    }

    /// What other routers have to be told since the last call; also drops what has expired.
    pub fn news(&self, now: Instant) -> Vec<SuspectVerdict> {
        lock(&self.state).news(now)
    }

    /// All that is known, for a router that has just started.
    pub fn verdicts(&self, now: Instant) -> Vec<SuspectVerdict> {
        lock(&self.state).verdicts(now)
    }

    /// Changes when a suspect's run begins or ends or a verdict comes in: who waits for a server
    /// or for a verdict looks again, and control has news to send.
    pub fn changes(&self) -> watch::Receiver<u64> {
        self.changes.subscribe()
    }

    pub(crate) fn end(&self, id: u64, end: RunEnd, now: Instant) {
        let mut state = lock(&self.state);
        match end {
            RunEnd::Well => state.ended_well(id, now),
            RunEnd::Broke => state.broke(id, now),
            RunEnd::Withdrawn => state.withdraw(id, now),
        }
    }

    pub(crate) fn notify(&self) {
        self.changes.send_modify(|change| *change = change.wrapping_add(1));
    }
}

/// How a run ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RunEnd {
    Well,
    Broke,
    Withdrawn,
}
