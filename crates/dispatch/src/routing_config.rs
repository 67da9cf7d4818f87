//! The operators' configuration as a whole.

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

impl RoutingConfig {
    /// Gives teams whose quotas cannot be read those of the table before. Returns the teams and what is wrong.
    pub fn keep_quotas(&mut self, before: Option<&RouteTable>) -> Vec<(TeamName, QuotaFault)> {
        let mut faults = Vec::new();
        for team in &mut self.teams {
            let Some(fault) = team.quota_fault.take() else { continue };
            let earlier = before.and_then(|table| table.teams().find(|it| it.name == team.name));
            team.quota = earlier.and_then(|team| team.quota);
            faults.push((team.name.clone(), fault));
        }
        faults
    }
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
