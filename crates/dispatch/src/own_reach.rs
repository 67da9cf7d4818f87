//! Whether the host itself is cut short, by the connections that it tried.

use std::time::Duration;

use indexmap::IndexMap;
use tokio::time::Instant;

use crate::ConnectEnd;
use crate::ServerKey;

/// A trial counts for so long. A connection times out within 0.15 s and a server that failed is tried again
/// after 0.4 s, so that a busy host tries all its servers in this time; a link that is well again is seen
/// as such when it has passed.
const TRIAL_AGE: Duration = Duration::from_secs(1);
/// Trials are of one row if no more than this lies between them: servers that stay silent are tried again
/// after 1.6 s at most.
const ROW_AGE: Duration = Duration::from_secs(3);
/// For so long at least nothing had been heard when a connection was given up: as long as one is tried.
const SILENT_TIME: Duration = Duration::from_millis(150);
/// One silent server is a server's trouble. Two at once, while next to nothing else comes about, are
/// rarer than a full link, and a small service has no more.
const LEAST_SILENT: usize = 2;
/// Silent servers for each one that was heard. A host in one of three or four zones of the same size that is
/// cut off from the others hears its own: two or three are silent for each one heard.
const SILENT_TO_HEARD: usize = 4;
/// From the first server that is heard on, a doubt lasts so long at most: about twice as long as links were
/// seen to be full when a large configuration is handed on.
const LONGEST_DOUBT: Duration = Duration::from_secs(3);
/// A doubt within this time after the trials looked so last is the same one: as long as a doubt itself, so
/// that verdicts hold for half of the time at least, however the trials come.
const REST: Duration = Duration::from_secs(3);

/// Connections to servers that were tried lately, and what they say of the host.
///
/// When the host's own link is full, or the host gets no processor time, no connection comes about in time,
/// to whatever server. Taken for the servers' silence, all servers were lost at once: callers got 502 for
/// requests that ran on, requests were sent again elsewhere, and innocent ones were said to have crashed
/// servers. So while nearly all servers that were tried are silent, their silence is not held against them.
///
/// Servers that are gone are still seen. One or a few are outnumbered by those that are heard. A zone that
/// is cut off hears its own servers: a quarter of all ends the doubt, and a smaller part, or servers that are
/// heard now and then, bound it by 3 s. A host that hears nobody at all doubts itself for as long as that
/// lasts: no verdict would lead its requests to a server that answers, and what waits on a connection to a
/// host that is gone is ended by the system's own probes of that connection. A refusal is an answer, and
/// counts against its server in any case. The doubt is over when more than a fifth of the servers are heard
/// again, and a second after the last silence in any case.
#[derive(Clone, Debug, Default)]
pub(crate) struct OwnReach {
    trials: IndexMap<ServerKey, ServerTrial>,
    doubt: Option<OwnDoubt>,
    /// Since when it has been told that the host doubts itself.
    told: Option<Instant>,
}

/// The newest trial of a server.
#[derive(Clone, Copy, Debug)]
struct ServerTrial {
    at: Instant,
    end: ConnectEnd,
    /// The first of those in a row that ended so.
    since: Instant,
}

/// The newest doubt. It may be over.
#[derive(Clone, Copy, Debug)]
struct OwnDoubt {
    /// The trials looked so last.
    held: Instant,
    /// It is over by then.
    end: Instant,
    /// It may last so long, once a server was heard.
    bound: Option<Instant>,
}

/// Servers by their newest trials.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ReachCount {
    /// Servers of which nothing was heard.
    pub silent: usize,
    /// Servers that took the connection or refused it.
    pub heard: usize,
}

/// What is new about the host's doubt of itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReachNews {
    /// It has begun.
    Doubted(ReachCount),
    /// It is over after so long.
    Restored(ReachCount, Duration),
}

impl OwnReach {
    /// A connection was tried.
    pub(crate) fn note(&mut self, server: ServerKey, end: ConnectEnd, now: Instant) {
        self.trials.retain(|_, trial| now < trial.at + ROW_AGE);
        let last = self.trials.get(&server).filter(|last| last.end == end);
        let since = last.map_or(now, |last| last.since);
        self.trials.insert(server, ServerTrial { at: now, end, since });
        let count = self.count(now);
        if count.is_one_sided() {
            self.hold(count, now);
        } else if let Some(doubt) = &mut self.doubt {
            doubt.end = doubt.end.min(now);
            doubt.bound.get_or_insert(now + LONGEST_DOUBT);
        }
    }

    /// How the newest connection to the server ended, if it was tried lately.
    pub(crate) fn newest(&self, server: ServerKey, now: Instant) -> Option<ConnectEnd> {
        let trial = self.trials.get(&server)?;
        trial.is_young(now).then_some(trial.end)
    }

    /// Whether silence is most likely the host's own trouble.
    pub(crate) fn doubts(&self, now: Instant) -> bool {
        self.doubt_end(now).is_some()
    }

    /// Until when the newest doubt lasted, or now: silence before that is not held against servers.
    pub(crate) fn doubted_until(&self, now: Instant) -> Option<Instant> {
        self.doubt.map(|doubt| doubt.end.min(now))
    }

    /// Whether a doubt has begun or ended since this was asked last.
    pub(crate) fn news(&mut self, now: Instant) -> Option<ReachNews> {
        let count = self.count(now);
        match (self.told, self.doubts(now)) {
            (None, true) => {
                self.told = Some(now);
                Some(ReachNews::Doubted(count))
            }
            (Some(since), false) => {
                self.told = None;
                Some(ReachNews::Restored(count, now.saturating_duration_since(since)))
            }
            _ => None,
        }
    }

    /// When the doubt ends by itself, if there is one.
    pub(crate) fn doubt_end(&self, now: Instant) -> Option<Instant> {
        self.doubt.map(|doubt| doubt.end).filter(|end| now < *end)
    }

    /// Servers by how their newest connections ended. When a link fills, all were heard just before, which
    /// says nothing of it any more: only those count that were heard since most of the silent ones fell
    /// silent. Some may have been dead long before that.
    pub(crate) fn count(&self, now: Instant) -> ReachCount {
        let young = || self.trials.values().filter(|trial| trial.is_young(now));
        let silent = || young().filter(|trial| trial.end == ConnectEnd::Silent);
        let mut began: Vec<Instant> = silent().map(|trial| trial.since).collect();
        began.sort_unstable();
        let middle = began.get(began.len() / 2).copied();
        let is_heard = |trial: &&ServerTrial| {
            let is_late = middle.is_none_or(|middle| middle <= trial.at + SILENT_TIME);
            trial.end != ConnectEnd::Silent && is_late
        };
        ReachCount { silent: silent().count(), heard: young().filter(is_heard).count() }
    }

    /// Begins a doubt or goes on with it.
    fn hold(&mut self, count: ReachCount, now: Instant) {
        let last = self.doubt.filter(|doubt| now < doubt.held + REST);
        let mut bound = last.and_then(|last| last.bound);
        if 0 < count.heard {
            bound.get_or_insert(now + LONGEST_DOUBT);
        }
        let by_itself = now + TRIAL_AGE;
        let end = bound.map_or(by_itself, |bound| by_itself.min(bound));
        // One that ran out earlier is over since then, not since its bound.
        let past = last.map_or(end, |last| last.end.min(now));
        self.doubt = Some(OwnDoubt { held: now, end: end.max(past), bound });
    }
}

impl ReachCount {
    fn is_one_sided(self) -> bool {
        LEAST_SILENT <= self.silent && SILENT_TO_HEARD * self.heard <= self.silent
    }
}

impl ServerTrial {
    fn is_young(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.at) < TRIAL_AGE
    }
}
