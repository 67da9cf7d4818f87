//! Where requests of one path go, and under which terms.

use std::time::Duration;

use fulmargate_names::ServiceName;

/// A route of the operators' configuration.
#[derive(Clone, Debug, PartialEq)]
pub struct RouteRule {
    /// The route's name.
    pub name: String,
    /// The `Host` header it serves.
    pub host: String,
    /// Beginning of the paths it serves; starts and ends with a slash.
    pub path_prefix: String,
    /// What may be repeated.
    pub kind: RouteKind,
    /// Longest time that a caller is kept waiting.
    pub timeout: Duration,
    /// Time to the answer, or to a stream's first event, that callers are content with.
    pub target_latency: Duration,
    /// Rank among routes, 0 first.
    pub priority: u8,
    /// Services that the requests are shared among.
    pub services: Vec<ServiceShare>,
    /// Most servers that may run one attempt of a caller.
    pub max_attempts: u32,
    /// No key is asked for.
    pub is_anonymous: bool,
    /// Requests carry a prompt whose parts engines cache.
    pub is_sticky: bool,
}

/// A service and its share of a route's requests.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceShare {
    /// The service.
    pub service: ServiceName,
    /// Its weight against the others'.
    pub weight: f64,
}

/// What may be repeated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RouteKind {
    /// May run more than once.
    Idempotent,
    /// May run once at most.
    NonIdempotent,
    /// A stream of events.
    Stream(StreamRule),
}

/// Terms of a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StreamRule {
    /// Another server may go on after the last whole event.
    pub is_resumable: bool,
    /// Longest pause between events that callers are content with.
    pub longest_gap: Duration,
}

impl RouteRule {
    /// Whether a request that may have run can be sent once more from its beginning or from its
    /// last event.
    pub fn may_repeat(&self) -> bool {
        match self.kind {
            RouteKind::Idempotent => true,
            RouteKind::NonIdempotent => false,
            RouteKind::Stream(rule) => rule.is_resumable,
        }
    }

    /// The service for a request, drawn by its hash so that retries of other routers agree.
    pub fn service_for(&self, draw: u64) -> Option<&ServiceName> {
        let total: f64 = self.services.iter().map(|share| share.weight).sum();
        let mut left = (draw >> 11) as f64 / (1_u64 << 53) as f64 * total;
        for share in &self.services {
            if left < share.weight {
                return Some(&share.service);
            }
            left -= share.weight;
        }
        self.services.last().map(|share| &share.service)
    }
}
