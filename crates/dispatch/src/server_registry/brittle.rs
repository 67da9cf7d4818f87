//! Servers that fall over when they have to reject more than a few requests in a second.
//!
//! While a service says that its servers are brittle, the slots of each server are divided among the routers, so that
//! all of them together send no more than it has room for, however old their reports are. Any other send may be
//! rejected and draws on a bucket that all routers share, as rate limits of servers do.

use std::time::Duration;

use fulmargate_admission::LimitChange;
use fulmargate_admission::LimitWait;
use fulmargate_admission::NamedLimit;
use fulmargate_names::ServiceName;
use serde::Deserialize;
use serde::Serialize;
use tokio::time::Instant;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::SendTicket;
use crate::ServerKey;
use crate::ServerRegistry;
use crate::ServerState;

/// Keeps the buckets of risky sends apart from those of rate limits.
const RISK_KEY_SEED: u64 = 0x6272_6974;
/// Rejections that are left for sends which were thought safe and for requests that several routers send at once.
const RESERVED_REJECTIONS: f64 = 3.0;
/// Share of the other rejections that risky sends may use up.
const RISKY_SHARE: f64 = 0.5;
/// Time after which a request looks for a server with room again.
const ROOM_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Shortest and longest expected time between two requests that find room.
const MIN_SPACING: Duration = Duration::from_millis(1);
const MAX_SPACING: Duration = Duration::from_millis(200);
/// How long a brittle server that rejected a request gets none.
const REJECTED_BACKOFF: Duration = Duration::from_millis(300);
/// Time that a gossip message spends on the way and at relays.
pub(super) const GOSSIP_TRANSIT: Duration = Duration::from_millis(20);
/// Upper bound of the rejections that wait for the next gossip message.
const MAX_NOTICES: usize = 32;

/// A brittle server that has rejected a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RejectionNotice {
    /// The server.
    pub server: ServerKey,
    /// Time since the rejection, in milliseconds.
    pub age_ms: u32,
}

/// A rejection that has not been reported to other routers.
#[derive(Clone, Copy, Debug)]
pub(super) struct PendingRejection {
    server: ServerKey,
    at: Instant,
}

/// Key of the bucket for risky sends to a server.
pub(super) fn risk_key(server: ServerKey) -> u64 {
    xxh3_64_with_seed(&server.0.to_le_bytes(), RISK_KEY_SEED)
}

/// Key under which a service's bound on rejections is known.
pub(super) fn service_risk_key(service: &ServiceName) -> u64 {
    xxh3_64_with_seed(service.as_str().as_bytes(), RISK_KEY_SEED)
}

impl ServerRegistry {
    /// Records the rejections a second at which the servers of a service fall over, as a response named them, or that
    /// it named none. Returns the change, if any.
    pub fn record_brittle(
        &mut self,
        ticket: &SendTicket,
        named: NamedLimit,
        now: Instant,
    ) -> Option<LimitChange> {
        let state = self.state(ticket.server)?;
        // The first response of a server that has just started may lack the bound.
        if named == NamedLimit::Absent && state.responses <= 1 {
            return None;
        }
        let service = state.entry.service.clone();
        let sent_at = ticket.left_at.unwrap_or(ticket.sent_at);
        self.limits.as_mut()?.observe(service_risk_key(&service), named, sent_at, now)
    }

    /// Rejections a second at which servers of the service fall over; `None` if they do not.
    pub fn brittle_rate(&self, service: &ServiceName) -> Option<f64> {
        self.limits.as_ref()?.named_rate(service_risk_key(service))
    }

    /// Records that a brittle server rejected a request for want of room, to be reported to the other routers.
    pub(super) fn record_brittle_rejection(&mut self, server: ServerKey, now: Instant) {
        let Some(state) = self.state(server) else { return };
        let is_brittle = self.brittle_rate(&state.entry.service).is_some();
        // The rejection of a risky send says nothing of the room.
        if !is_brittle || self.own_slots(state, now) < state.open {
            return;
        }
        self.apply_rejection(server, REJECTED_BACKOFF, now);
        if self.pending_rejections.len() < MAX_NOTICES {
            self.pending_rejections.push(PendingRejection { server, at: now });
        }
    }

    /// Rejections by brittle servers since the last call, for the next gossip message.
    pub fn take_rejections(&mut self, now: Instant) -> Vec<RejectionNotice> {
        let notice = |pending: PendingRejection| RejectionNotice {
            server: pending.server,
            age_ms: now.saturating_duration_since(pending.at).as_millis() as u32,
        };
        self.pending_rejections.drain(..).map(notice).collect()
    }

    /// Applies rejections that another router has seen.
    pub fn apply_rejections(&mut self, notices: &[RejectionNotice], now: Instant) {
        for notice in notices.iter().take(MAX_NOTICES) {
            let age = Duration::from_millis(u64::from(notice.age_ms));
            let backoff = REJECTED_BACKOFF.saturating_sub(age);
            if !backoff.is_zero() {
                self.apply_rejection(notice.server, backoff, now);
            }
        }
    }

    fn apply_rejection(&mut self, server: ServerKey, backoff: Duration, now: Instant) {
        let in_flight = self.in_flight(server, now);
        if let Some(state) = self.state_mut(server) {
            state.mark_full(backoff, now);
            state.shrink_room(in_flight, now);
        }
    }

    /// Admits a request to a server that has room for it or is not brittle. Another request needs a token.
    pub(super) fn admit_by_room(
        &mut self,
        server: ServerKey,
        now: Instant,
    ) -> Result<(), LimitWait> {
        let Some(state) = self.servers.get(&server) else { return Ok(()) };
        let service = state.entry.service.clone();
        let Some(rate) = self.brittle_rate(&service) else { return Ok(()) };
        let delay = self.current_gossip_interval(now) + GOSSIP_TRANSIT;
        let key = risk_key(server);
        let risky_rate = (rate - RESERVED_REJECTIONS).max(0.0) * RISKY_SHARE;
        let Some(limits) = &mut self.limits else { return Ok(()) };
        limits.observe(key, NamedLimit::PerSecond(risky_rate), now, now);
        if self.has_own_room(server, now) {
            return Ok(());
        }
        // A router that has slots waits for one of them.
        let has_slots =
            self.servers.get(&server).is_some_and(|state| 0 < self.own_slots(state, now));
        if has_slots {
            return Err(self.room_wait(server, now));
        }
        let Some(limits) = &mut self.limits else { return Ok(()) };
        match limits.admit(key, delay, now) {
            Ok(_) => Ok(()),
            Err(_) => Err(self.room_wait(server, now)),
        }
    }

    /// When a call with others before it may find room at a brittle server; `None` if the server is not brittle.
    pub(super) fn room_wait_for(&self, server: ServerKey, now: Instant) -> Option<LimitWait> {
        let state = self.servers.get(&server)?;
        self.brittle_rate(&state.entry.service)?;
        Some(self.room_wait(server, now))
    }

    /// Whether this router has no room for another request at a brittle server.
    pub(super) fn lacks_room(&self, state: &ServerState, now: Instant) -> bool {
        self.brittle_rate(&state.entry.service).is_some() && !self.has_own_room(state.key(), now)
    }

    /// Whether this router has a free slot among those that it may use at the server.
    fn has_own_room(&self, server: ServerKey, now: Instant) -> bool {
        let Some(state) = self.servers.get(&server) else { return false };
        state.waiting(now) == 0 && state.open < self.own_slots(state, now)
    }

    fn in_flight(&self, server: ServerKey, now: Instant) -> u32 {
        let Some(state) = self.servers.get(&server) else { return 0 };
        state.occupancy(now).max(state.open + self.peers.total(server).open)
    }

    /// When a request that found no room may find some: servers finish others meanwhile.
    fn room_wait(&self, server: ServerKey, now: Instant) -> LimitWait {
        let spacing = self.servers.get(&server).map_or(MAX_SPACING, |state| {
            let slots = f64::from(self.own_slots(state, now).max(1));
            Duration::from_secs_f64(state.latency_ms(now) / 1_000.0 / slots)
        });
        LimitWait { first: ROOM_POLL_INTERVAL, spacing: spacing.clamp(MIN_SPACING, MAX_SPACING) }
    }
}
