//! What is known of one suspect.

use std::time::Duration;

use fulmargate_names::HostName;
use fulmargate_names::ServerName;
use indexmap::IndexMap;
use indexmap::IndexSet;
use tokio::time::Instant;

use crate::CrashId;
use crate::SuspectConf;

/// Cleared crashes that are remembered, so that late news of them revives no suspicion.
const MOST_CLEARED: usize = 8;

/// What is known of one request that was under way when a server crashed.
#[derive(Debug)]
pub(crate) struct SuspectRecord {
    /// Crashes that count against it, and when each was seen.
    pub(crate) open: IndexMap<CrashId, Instant>,
    /// Crashes that it did not cause.
    pub(crate) cleared: IndexSet<CrashId>,
    /// Whether it was convicted.
    pub(crate) guilt: Guilt,
    /// Other routers that run it, where, and until when their word holds.
    runners: IndexMap<HostName, (ServerName, Instant)>,
    touched: Instant,
}

/// Whether a suspect was convicted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Guilt {
    Open,
    Convicted,
}

impl SuspectRecord {
    /// Nothing known yet.
    pub(crate) fn new(now: Instant) -> SuspectRecord {
        SuspectRecord {
            open: IndexMap::new(),
            cleared: IndexSet::new(),
            guilt: Guilt::Open,
            runners: IndexMap::new(),
            touched: now,
        }
    }

    /// The last crash that counts against it.
    pub(crate) fn latest(&self) -> Option<(&CrashId, Instant)> {
        let (crash, at) = self.open.iter().max_by_key(|(crash, at)| (**at, *crash))?;
        Some((crash, *at))
    }

    /// Whether it has been there for more than one crash.
    pub(crate) fn is_repeated(&self) -> bool {
        self.open.len() > 1
    }

    /// A crash counts against it no more. A conviction needs two crashes, and falls without them.
    pub(crate) fn acquit(&mut self, crash: &CrashId) {
        self.open.shift_remove(crash);
        if !self.is_repeated() {
            self.guilt = Guilt::Open;
        }
    }

    /// Remembers that it did not cause this crash.
    pub(crate) fn remember_cleared(&mut self, crash: &CrashId) {
        self.cleared.insert(crash.clone());
        if self.cleared.len() > MOST_CLEARED {
            self.cleared.shift_remove_index(0);
        }
    }

    /// There is news of it, or it is still being sent.
    pub(crate) fn touch(&mut self, now: Instant) {
        self.touched = now;
    }

    /// Another router says whether and where it runs the request; gives back where it ran before.
    pub(crate) fn set_runner(
        &mut self,
        host: &HostName,
        run: Option<(ServerName, Instant)>,
    ) -> Option<ServerName> {
        let before = match run {
            Some(run) => self.runners.insert(host.clone(), run),
            None => self.runners.swap_remove(host),
        };
        before.map(|(server, _)| server)
    }

    /// Servers on which other routers run the request.
    pub(crate) fn runs_elsewhere(&self, now: Instant) -> impl Iterator<Item = &ServerName> {
        let fresh = move |(_, until): &&(ServerName, Instant)| *until > now;
        self.runners.values().filter(fresh).map(|(server, _)| server)
    }

    /// Whether it is no longer worth its memory.
    pub(crate) fn is_expired(&self, conf: &SuspectConf, now: Instant) -> bool {
        let ttl = match self.guilt {
            Guilt::Convicted => conf.convicted_ttl,
            Guilt::Open => conf.suspect_ttl,
        };
        self.age(now) > ttl
    }

    /// Time since the last news.
    pub(crate) fn age(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.touched)
    }
}
