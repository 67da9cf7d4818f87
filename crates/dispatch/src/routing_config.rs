//! The operators' configuration as a whole.

use std::time::Duration;

use fulmargate_names::ConfigVersion;

use crate::RouteRule;
use crate::ServiceRule;
use crate::TeamRule;

/// One version of the configuration.
#[derive(Clone, Debug, PartialEq)]
pub struct RoutingConfig {
    /// Versions rise, with gaps.
    pub version: ConfigVersion,
    /// All routes.
    pub routes: Vec<RouteRule>,
    /// All services.
    pub services: Vec<ServiceRule>,
    /// All teams; without any, no key is asked for.
    pub teams: Vec<TeamRule>,
    /// What a caller may send.
    pub limits: CallerLimits,
}

/// What a caller may send and how long it may take.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerLimits {
    /// Largest head of a request in bytes.
    pub header_bytes: usize,
    /// Largest body in bytes.
    pub body_bytes: usize,
    /// Longest time for the head of a request.
    pub header_timeout: Duration,
    /// Longest time that a connection may be without a request.
    pub idle_timeout: Duration,
}
