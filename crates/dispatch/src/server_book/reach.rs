//! What connections say of servers, and of the host itself.

use tokio::time::Instant;

use crate::ConnectEnd;
use crate::ContactStep;
use crate::ReachNews;
use crate::ServerBook;
use crate::ServerEntry;
use crate::ServerKey;

impl ServerBook {
    /// A connection to the server was tried.
    pub fn tried(&mut self, server: ServerKey, end: ConnectEnd, now: Instant) {
        self.reach.note(server, end, now);
        if end == ConnectEnd::Reached {
            self.reached(server, now);
        }
    }

    /// Whether connections that fail are most likely the host's own trouble: nothing is to be concluded of
    /// servers from their silence.
    pub fn doubts_itself(&self, now: Instant) -> bool {
        self.reach.doubts(now)
    }

    /// Whether the host's doubt of itself has begun or ended since this was asked last.
    pub fn reach_news(&mut self, now: Instant) -> Option<ReachNews> {
        self.reach.news(now)
    }

    /// When the host's doubt of itself ends if no more connections are tried; none without a doubt.
    pub fn doubt_end(&self, now: Instant) -> Option<Instant> {
        self.reach.doubt_end(now)
    }

    /// No connection could be had. Where none was tried lately, the caller's word is held against the server.
    pub fn unreachable(&mut self, server: ServerKey, now: Instant) {
        let end = self.reach.newest(server, now);
        let is_own = end == Some(ConnectEnd::Silent) && self.reach.doubts(now);
        let Some(state) = self.state_mut(server) else { return };
        match end {
            _ if is_own => state.shut_shortly(now),
            Some(ConnectEnd::Silent) => state.unreachable(ConnectEnd::Silent, now),
            _ => state.unreachable(ConnectEnd::Refused, now),
        }
    }

    /// A request waits for a silent server: what to do about it.
    pub fn silent(&mut self, server: ServerKey, now: Instant) -> ContactStep {
        let doubted = self.reach.doubted_until(now);
        self.state_mut(server).map_or(ContactStep::Ask, |state| state.contact.step(doubted, now))
    }

    /// A connection was had that carries no request.
    pub fn reached(&mut self, server: ServerKey, now: Instant) {
        if let Some(state) = self.state_mut(server) {
            state.contact.reached(now);
        }
    }

    /// Whether a server is lost, with all that waits there: no connection has been had for a while and
    /// nothing was heard of it, or it has started again.
    pub fn is_lost(&self, entry: &ServerEntry, now: Instant) -> bool {
        match self.state(entry.key()) {
            Some(state) => state.contact.is_lost(self.reach.doubted_until(now), now),
            None => self.servers.values().any(|state| {
                state.entry.name == entry.name && entry.incarnation < state.entry.incarnation
            }),
        }
    }
}
