//! Detection of requests that crash backend servers.

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

/// Detects the requests that crash servers, among all that were in flight at a crash.
///
/// A suspect is run again without another suspect on its server. It is cleared when its response is
/// complete, and convicted when that server crashes too and nothing else explains the crash. All
/// routers share suspicions, runs and convictions.
#[derive(Debug)]
pub struct CrashDetector {
    state: Mutex<SuspectState>,
    changes: watch::Sender<u64>,
}

/// Standing of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SuspectStanding {
    /// No crash counts against it.
    Innocent,
    /// It may run, but not on a server with another suspect.
    Suspect,
    /// Two servers crashed with it in flight; it may not run until the cause is known.
    Held,
    /// It crashes servers and is refused.
    Convicted,
}

/// Whether a request may run on a server, regardless of load and cache.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunFit {
    /// Not a suspect: it may run on any server.
    Anywhere,
    /// A suspect, on a server owned by this router for suspects: preferred.
    Own,
    /// A suspect, on a server owned by another router: second choice.
    Shared,
    /// Another suspect runs on the server, this one already runs, or other routers take precedence.
    Busy,
    /// May not run on any server yet.
    Held {
        /// When to look again.
        retry_after: Duration,
    },
    /// Convicted: may not run on any server.
    Never,
}

/// Why a run may not begin.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunRefusal {
    /// As `RunFit::Busy`: try another server, or retry after a change or a delay.
    Busy,
    /// The cause of the crashes is not known yet.
    Held {
        /// When to look again.
        retry_after: Duration,
    },
    /// The request crashes servers: `ErrorKind::CrashingRequest`.
    Convicted,
}

impl CrashDetector {
    /// Creates a detector without suspects.
    pub fn new(conf: SuspectConf) -> Arc<CrashDetector> {
        Arc::new(CrashDetector {
            state: Mutex::new(SuspectState::new(conf)),
            changes: watch::Sender::new(0),
        })
    }

    /// Sets the routers among which the servers are divided for runs of suspects.
    pub fn set_routers(&self, own: &HostName, all: &[HostName]) {
        lock(&self.state).set_trial_order(TrialOrder::new(own, all));
    }

    /// Current standing of a request.
    pub fn standing(&self, fingerprint: Fingerprint, now: Instant) -> SuspectStanding {
        lock(&self.state).standing(fingerprint, now)
    }

    /// Whether a request may run on a server.
    pub fn run_fit(&self, fingerprint: Fingerprint, server: &ServerName, now: Instant) -> RunFit {
        lock(&self.state).run_fit(fingerprint, server, now)
    }

    /// Whether a suspect runs on a server. Requests sent there may become suspects.
    pub fn runs_suspect(&self, server: &ServerName, now: Instant) -> bool {
        lock(&self.state).runs_suspect(server, now)
    }

    /// Registers a run before its first byte is sent. Check and registration are atomic, so two
    /// threads can't both find the server free of suspects.
    pub fn begin(
        self: &Arc<CrashDetector>,
        fingerprint: Fingerprint,
        server: &ServerName,
        incarnation: Incarnation,
        now: Instant,
    ) -> Result<SuspectRun, RunRefusal> {
        let target = CrashId { server: server.clone(), incarnation };
        let (id, standing) = lock(&self.state).begin(RunEntry { fingerprint, target }, now)?;
        if standing == SuspectStanding::Suspect {
            self.notify();
        }
        Ok(SuspectRun::new(Arc::clone(self), id, standing))
    }

    /// Reports that this incarnation and all earlier ones have ended: the port is closed, or
    /// another process answers there.
    pub fn crashed(&self, server: &ServerName, incarnation: Incarnation, now: Instant) {
        lock(&self.state).crashed(server, incarnation, now);
        self.notify();
    }

    /// Reports that the server answered a probe under this incarnation, sent after connections to
    /// it broke.
    pub fn incarnation_seen(&self, server: &ServerName, incarnation: Incarnation, now: Instant) {
        lock(&self.state).incarnation_seen(server, incarnation, now);
        self.notify();
    }

    /// Merges a verdict from another router.
    pub fn merge_verdict(&self, verdict: &SuspectVerdict, from: &HostName, now: Instant) {
        lock(&self.state).merge(verdict, from, now);
        self.notify();
    }

    /// Returns the verdicts changed since the last call, to be sent to other routers, and drops
    /// expired records.
    pub fn take_changed_verdicts(&self, now: Instant) -> Vec<SuspectVerdict> {
        lock(&self.state).take_changed_verdicts(now)
    }

    /// All verdicts, for a router that has just started.
    pub fn verdicts(&self, now: Instant) -> Vec<SuspectVerdict> {
        lock(&self.state).verdicts(now)
    }

    /// Notifies of new or ended runs of suspects and of merged verdicts, for tasks that wait for a
    /// server or send verdicts to other routers.
    pub fn changes(&self) -> watch::Receiver<u64> {
        self.changes.subscribe()
    }

    pub(crate) fn end(&self, id: u64, end: RunEnd, now: Instant) {
        let mut state = lock(&self.state);
        match end {
            RunEnd::Completed => state.run_completed(id, now),
            RunEnd::ConnectionBroken => state.run_broke(id, now),
            RunEnd::Abandoned => state.run_abandoned(id, now),
        }
    }

    pub(crate) fn notify(&self) {
        self.changes.send_modify(|version| *version = version.wrapping_add(1));
    }
}

/// How a run ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RunEnd {
    Completed,
    ConnectionBroken,
    Abandoned,
}
