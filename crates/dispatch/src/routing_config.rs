//! The operators' routing configuration.

use std::time::Duration;

use fulmargate_names::ConfigVersion;
use fulmargate_names::TeamName;

use crate::QuotaFault;
use crate::RouteRule;
use crate::RouteTable;
use crate::ServiceRule;
use crate::TeamRule;

/// One version of the configuration.
#[derive(Clone, Debug, PartialEq)]
pub struct RoutingConfig {
    /// Version number; increases with each change, possibly with gaps.
    pub version: ConfigVersion,
    /// All routes.
    pub routes: Vec<RouteRule>,
    /// All services.
    pub services: Vec<ServiceRule>,
    /// All teams. If there are none, requests need no key.
    pub teams: Vec<TeamRule>,
    /// Limits on requests and connections of callers.
    pub limits: CallerLimits,
}

impl RoutingConfig {
    /// Replaces invalid quotas by those of the previous table. Returns the affected teams and the errors.
    pub fn keep_quotas(&mut self, previous: Option<&RouteTable>) -> Vec<(TeamName, QuotaFault)> {
        let mut faults = Vec::new();
        for team in &mut self.teams {
            let Some(fault) = team.quota_fault.take() else { continue };
            let previous_team =
                previous.and_then(|table| table.teams().find(|it| it.name == team.name));
            team.quota = previous_team.and_then(|team| team.quota);
            faults.push((team.name.clone(), fault));
        }
        faults
    }
}

/// Limits on requests and connections of callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerLimits {
    /// Maximum size of a request head in bytes.
    pub header_bytes: usize,
    /// Maximum size of a request body in bytes.
    pub body_bytes: usize,
    /// Timeout for receiving a request head.
    pub header_timeout: Duration,
    /// Timeout of a connection without a request.
    pub idle_timeout: Duration,
}
