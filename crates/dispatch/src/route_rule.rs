//! Routes: which services handle requests of a host and path, and with which limits.

use std::time::Duration;

use fulmargate_names::ServiceName;

/// A route from the configuration.
#[derive(Clone, Debug, PartialEq)]
pub struct RouteRule {
    /// The route's name.
    pub name: String,
    /// The `Host` header it serves.
    pub host: String,
    /// Prefix of the paths it serves; starts and ends with a slash.
    pub path_prefix: String,
    /// Whether and how requests may be retried.
    pub kind: RouteKind,
    /// Timeout of a request.
    pub timeout: Duration,
    /// Target time to the response, or to the first event of a stream.
    pub target_latency: Duration,
    /// Priority among routes; 0 is the highest.
    pub priority: u8,
    /// Services that share the requests.
    pub services: Vec<ServiceShare>,
    /// Upper bound on servers that one request from a caller is sent to.
    pub max_attempts: u32,
    /// Whether requests need no key.
    pub is_anonymous: bool,
    /// Whether requests carry a prompt whose parts engines cache.
    pub is_sticky: bool,
}

/// A service with its share of a route's requests.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceShare {
    /// The service.
    pub service: ServiceName,
    /// Weight relative to the route's other services.
    pub weight: f64,
}

/// Whether and how requests may be retried.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RouteKind {
    /// A request may run more than once.
    Idempotent,
    /// A request may run at most once.
    NonIdempotent,
    /// A stream of events.
    Stream(StreamRule),
}

/// Rules for a stream of events.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StreamRule {
    /// Whether another server may resume the stream after its last complete event.
    pub is_resumable: bool,
    /// Target upper bound of the gap between two events.
    pub max_gap: Duration,
}

impl RouteRule {
    /// Whether a request that may have run can be sent again, from its start or from its last event.
    pub fn may_retry(&self) -> bool {
        match self.kind {
            RouteKind::Idempotent => true,
            RouteKind::NonIdempotent => false,
            RouteKind::Stream(rule) => rule.is_resumable,
        }
    }

    /// Whether a caller, or another server, may go on with a stream of this route.
    pub fn is_resumable(&self) -> bool {
        matches!(self.kind, RouteKind::Stream(rule) if rule.is_resumable)
    }

    /// Selects a service by weight. `hash` is a hash of the request, so that all routers select the same
    /// service when they retry it.
    pub fn service_for(&self, hash: u64) -> Option<&ServiceName> {
        let total: f64 = self.services.iter().map(|share| share.weight).sum();
        let mut remaining = (hash >> 11) as f64 / (1_u64 << 53) as f64 * total;
        for share in &self.services {
            if remaining < share.weight {
                return Some(&share.service);
            }
            remaining -= share.weight;
        }
        self.services.last().map(|share| &share.service)
    }
}
