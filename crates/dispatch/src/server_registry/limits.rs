//! Rate limits that servers name in their responses.

use std::time::Duration;

use fulmargate_admission::LearnedLimit;
use fulmargate_admission::LimitChange;
use fulmargate_admission::LimitGrant;
use fulmargate_admission::LimitReport;
use fulmargate_admission::LimitWait;
use fulmargate_admission::NamedLimit;
use fulmargate_admission::ServerLimits;
use fulmargate_admission::StoredLimitSlot;
use fulmargate_names::HostName;
use fulmargate_names::ServiceName;
use fulmargate_names::ZoneName;
use tokio::time::Instant;

use crate::CallFacts;
use crate::PlainTicket;
use crate::SendTicket;
use crate::ServerKey;
use crate::ServerRegistry;
use crate::ServerState;
use crate::server_registry::brittle::GOSSIP_TRANSIT;
use crate::server_state::LimitHeadroom;

/// Minimum time between two updates of the headroom of all limited servers, which may be many.
const HEADROOM_REFRESH_INTERVAL: Duration = Duration::from_millis(5);

/// Time after which a call that waits for a server's first response is placed anew.
const FIRST_RESPONSE_POLL_INTERVAL: Duration = Duration::from_millis(5);

impl ServerRegistry {
    /// Creates a registry without servers that enforces the limits they name.
    pub fn with_limits(limits: ServerLimits) -> ServerRegistry {
        ServerRegistry { limits: Some(limits), ..ServerRegistry::default() }
    }

    /// Sets the routers that share the limits.
    pub fn set_limit_routers(
        &mut self,
        routers: impl Iterator<Item = (HostName, ZoneName)>,
        now: Instant,
    ) {
        if let Some(limits) = &mut self.limits {
            limits.set_routers(routers, now);
        }
    }

    /// Records the limit that a response named, or that it named none. Returns the change, if any.
    pub fn record_limit(
        &mut self,
        ticket: &SendTicket,
        named: NamedLimit,
        now: Instant,
    ) -> Option<LimitChange> {
        self.state(ticket.server)?;
        let sent_at = ticket.left_at.unwrap_or(ticket.sent_at);
        self.limits.as_mut()?.observe(ticket.server.0, named, sent_at, now)
    }

    /// Records that the request of this ticket goes out on an open connection.
    pub fn record_sent(&self, ticket: &mut SendTicket, now: Instant) {
        ticket.left_at = Some(now);
    }

    /// Limits and their use since the last call, for the next gossip message.
    pub fn take_limit_report(&mut self, now: Instant) -> Option<LimitReport> {
        // Routers without requests report their demand as well.
        self.refresh_slot_shares(now);
        Some(self.limits.as_mut()?.take_report(now))
    }

    /// Applies another router's report. Returns the limits that were learned from it.
    pub fn apply_limit_report(
        &mut self,
        host: &HostName,
        report: &LimitReport,
        now: Instant,
    ) -> Vec<LearnedLimit> {
        let keys = &self.limit_keys;
        let is_listed = |key| keys.contains(&key);
        let Some(limits) = &mut self.limits else { return Vec::new() };
        limits.receive(host, report, is_listed, now)
    }

    /// Reads a record of limits from the store.
    pub fn read_stored_limits(&mut self, record: &StoredLimitSlot, now: Instant) {
        if let Some(limits) = &mut self.limits {
            limits.read_stored(record, now);
        }
    }

    /// Forgets the stored limits under the keys that a full list of the store's records lacks.
    pub fn retain_stored_limits(&mut self, is_stored: impl Fn(u8) -> bool) {
        if let Some(limits) = &mut self.limits {
            limits.retain_stored(is_stored);
        }
    }

    /// Applies the stored limits of listed servers of which nothing is known. Returns these limits.
    pub fn apply_stored_limits(&mut self, now: Instant) -> Vec<LearnedLimit> {
        let keys = &self.limit_keys;
        let Some(limits) = &mut self.limits else { return Vec::new() };
        limits.apply_stored(|key| keys.contains(&key), now)
    }

    /// Records of limits to be written to the store now.
    pub fn take_limit_writes(&mut self, now: Instant) -> Vec<StoredLimitSlot> {
        self.limits.as_mut().map(|limits| limits.take_due_writes(now)).unwrap_or_default()
    }

    /// Writes these records again later.
    pub fn limit_write_failed(&mut self, records: &[StoredLimitSlot]) {
        if let Some(limits) = &mut self.limits {
            limits.write_failed(records);
        }
    }

    /// Number of servers that name a limit.
    pub fn limited_count(&self) -> usize {
        let Some(limits) = &self.limits else { return 0 };
        self.servers.keys().filter(|server| limits.named_rate(server.0).is_some()).count()
    }

    /// Adds a plain call to those that wait for a limited server of the service.
    pub fn enqueue_plain(&mut self, service: &ServiceName, call: &CallFacts) -> PlainTicket {
        self.plain_queue.push(service, call.priority)
    }

    /// Removes a waiting plain call.
    pub fn dequeue_plain(&mut self, ticket: &PlainTicket) {
        self.plain_queue.remove(ticket);
    }

    /// Number of plain calls that go to a server of the service before this one; without a ticket, before a new
    /// call of this priority.
    pub(super) fn plain_calls_ahead(
        &self,
        service: &ServiceName,
        priority: u8,
        ticket: Option<&PlainTicket>,
    ) -> usize {
        self.plain_queue.ahead(service, priority, ticket)
    }

    /// Updates which limited servers can take a request.
    pub(super) fn refresh_headroom(&mut self, now: Instant) {
        let is_recent = |at: Instant| now.saturating_duration_since(at) < HEADROOM_REFRESH_INTERVAL;
        if self.headroom_refreshed.is_some_and(is_recent) && !self.lacks_routers(now) {
            return;
        }
        self.headroom_refreshed = Some(now);
        self.refresh_slot_shares(now);
        let Some(limits) = &mut self.limits else { return };
        for server in limits.servers() {
            let Some(state) = self.servers.get_mut(&ServerKey(server)) else { continue };
            state.headroom = match (limits.is_limited(server, now), limits.has_tokens(server, now))
            {
                (false, _) => LimitHeadroom::Unlimited,
                (true, true) => LimitHeadroom::Spare,
                (true, false) => LimitHeadroom::Exhausted,
            };
        }
    }

    pub(super) fn admit_by_limit(
        &mut self,
        server: ServerKey,
        now: Instant,
    ) -> Result<Option<LimitGrant>, LimitWait> {
        self.admit_by_room(server, now)?;
        let report_delay = self.current_gossip_interval(now) + GOSSIP_TRANSIT;
        match &mut self.limits {
            Some(limits) => limits.admit(server.0, report_delay, now),
            None => Ok(None),
        }
    }

    /// The wait of a call for a server whose first response is about to show whether it is limited.
    pub(super) fn first_response_wait(&self, server: ServerKey, now: Instant) -> Option<LimitWait> {
        let is_imminent = self.state(server)?.is_response_imminent(now);
        is_imminent
            .then_some(LimitWait { first: FIRST_RESPONSE_POLL_INTERVAL, spacing: Duration::ZERO })
    }

    /// Admission of a call that has others before it: only a server that has no limit and is not brittle takes it now.
    pub(super) fn wait_behind(
        &mut self,
        server: ServerKey,
        now: Instant,
    ) -> Result<Option<LimitGrant>, LimitWait> {
        if let Some(wait) = self.room_wait_for(server, now) {
            return Err(wait);
        }
        match &mut self.limits {
            Some(limits) => limits.wait_for(server.0, now).map_or(Ok(None), Err),
            None => Ok(None),
        }
    }

    /// Servers for which `is_candidate` holds and whose limit admits nothing, or that are brittle and lack room.
    pub(super) fn exhausted_servers(
        &self,
        is_candidate: impl Fn(&ServerState) -> bool,
        now: Instant,
    ) -> Vec<ServerKey> {
        let is_exhausted = |state: &&ServerState| {
            state.headroom == LimitHeadroom::Exhausted || self.lacks_room(state, now)
        };
        let candidates = self.servers.values().filter(|state| is_candidate(state));
        candidates.filter(is_exhausted).map(ServerState::key).collect()
    }

    /// Gives back what the limit admitted for a request that was not sent.
    pub(super) fn refund_unsent(&mut self, ticket: &SendTicket) {
        if ticket.left_at.is_some() || ticket.grant.is_none() {
            return;
        }
        if let Some(limits) = &mut self.limits {
            limits.refund(ticket.server.0);
        }
    }
}
