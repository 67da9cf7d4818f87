//! Binds a stream to the software version of its first event.

use std::time::Duration;

use fulmargate_dispatch::StreamKey;
use fulmargate_dispatch::StreamOrigin;
use fulmargate_names::ErrorKind;
use fulmargate_names::HostName;
use fulmargate_names::ServiceName;
use tokio::time::Instant;

use crate::state::boot_now;
use crate::traffic::request_failure::RequestFailure;
use crate::traffic::request_handler::RequestHandler;
use crate::traffic::request_handler::RequestSource;
use crate::traffic::stream_binding::BoundStream;

/// How long a record outlives the deadline of its attempt: a caller that takes the stream up has a deadline of its own.
const RECORD_SLACK: Duration = Duration::from_secs(10);

impl RequestHandler {
    /// Goes on with a stream that an earlier attempt has begun.
    pub(crate) fn taking_up(mut self, stream: Option<BoundStream>) -> RequestHandler {
        if let Some(stream) = stream {
            self.origin = Some(stream.origin);
            self.first_attempt = stream.first_attempt;
        }
        self
    }

    /// Goes on with a stream that another host has bound.
    pub(crate) fn bound_to(mut self, origin: Option<StreamOrigin>) -> RequestHandler {
        self.origin = origin;
        self
    }

    /// The service for the next send: that of the stream if it has begun.
    pub(super) fn service(&self) -> Option<ServiceName> {
        let Some(origin) = self.origin else { return self.facts().service() };
        let services = self.facts().route.services.iter().map(|share| &share.service);
        services.into_iter().find(|service| origin.is_of(service)).cloned()
    }

    /// Binds the stream to the origin of its first event, before that leaves for the caller.
    pub(crate) fn bind(&mut self, origin: StreamOrigin) {
        let origin = *self.origin.get_or_insert(origin);
        let facts = &self.decoded.facts;
        if self.source == RequestSource::Peer || !facts.route.is_resumable() {
            return;
        }
        let now = Instant::now();
        let publishes = self.must_publish(origin);
        let expires = facts.deadline + RECORD_SLACK;
        let key = StreamKey::of(facts.team.as_ref(), &facts.route, &facts.id);
        let mut bindings = self.state.bindings();
        for key in [Some(key), self.first_attempt].into_iter().flatten() {
            bindings.record(key, origin, expires, publishes, now);
        }
        drop(bindings);
        if publishes {
            self.state.binding_change.notify_one();
        }
    }

    /// Whether other hosts could not tell the origin by themselves.
    fn must_publish(&self, origin: StreamOrigin) -> bool {
        let now = boot_now();
        self.state.versions().is_mixed(origin.service, now)
            || self.state.route_history().is_ambiguous(&self.decoded.facts.route, now)
    }

    /// Error for a request that no listed server may run.
    pub(super) fn no_server_failure(&self) -> RequestFailure {
        let kind = self.progress.failure();
        let is_gone = self.origin.is_some_and(|origin| !self.state.servers().has_origin(origin));
        match kind {
            ErrorKind::NoServer if is_gone => self.failure(ErrorKind::VersionGone),
            kind => self.failure(kind),
        }
    }

    /// Hosts of an earlier version, which would go on with a stream at any software version.
    pub(super) fn hosts_that_bind_nothing(&self) -> Vec<HostName> {
        let now = Instant::now();
        let servers = self.state.servers();
        let mut hosts = servers.live_peers(now);
        hosts.retain(|host| !servers.binds_streams(host, now));
        hosts
    }
}
