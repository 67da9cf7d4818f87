//! Limits of servers and their use, exchanged between routers.

use serde::Deserialize;
use serde::Serialize;

use crate::HostKey;
use crate::QuotaReport;

/// What one router knows of limited servers, and what it sent to them since its last report.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct LimitReport {
    /// Limits that the sender knows; some of them if there are many.
    pub notices: Vec<LimitNotice>,
    /// Requests sent to limited servers, by server.
    pub usage: QuotaReport,
    /// Tokens that the sender grants to others. Encoded in an extension of its own, as earlier versions do not know it.
    #[serde(skip)]
    pub grants: Vec<GrantNotice>,
}

/// Tokens of one server granted to one router.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct GrantNotice {
    /// Key of the server incarnation.
    pub server: u64,
    /// The router.
    pub host: HostKey,
    /// Tokens granted since the process starts of both. Totals never decrease, so duplicate and late reports have no
    /// effect.
    pub total: u32,
}

/// Limit of one server incarnation.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct LimitNotice {
    /// Key of the server incarnation.
    pub server: u64,
    /// Requests per second that it accepts from all routers together; `None` if the limit was lifted.
    pub rate_per_s: Option<f64>,
    /// Milliseconds since a response confirmed this.
    pub age_ms: u32,
    /// Requests per second for which the sender would choose the server, admitted or not; for a service, those that
    /// arrive for it at the sender.
    pub attempts_per_s: f32,
    /// Requests that wait at the sender for a token of the server. Encoded in the same extension.
    #[serde(skip)]
    pub wanted: u32,
    /// Granted tokens that have lapsed at the sender since its process start. Encoded in the same extension.
    #[serde(skip)]
    pub lapsed: u32,
}

impl LimitNotice {
    /// Whether the figures are in range. Others come from a faulty router.
    pub(crate) fn is_valid(&self) -> bool {
        let is_valid_rate = |rate: f64| rate.is_finite() && 0.0 <= rate;
        self.rate_per_s.is_none_or(is_valid_rate) && is_valid_rate(f64::from(self.attempts_per_s))
    }
}
