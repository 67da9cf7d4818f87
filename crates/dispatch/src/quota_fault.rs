//! Error for an invalid team quota.

use derive_more::Display;

/// An invalid field of a team's quota.
#[derive(Clone, Debug, PartialEq, Eq, Display)]
#[display("{field} is {value}, expected {allowed}")]
pub struct QuotaFault {
    /// Name of the field in the configuration.
    pub field: &'static str,
    /// The configured value.
    pub value: String,
    /// Description of valid values.
    pub allowed: &'static str,
}
