//! A quota that cannot be read.

use derive_more::Display;

/// Which field of a team's quota cannot be read, and what stands there.
#[derive(Clone, Debug, PartialEq, Eq, Display)]
#[display("{field} is {value}, where {allowed} is due")]
pub struct QuotaFault {
    /// The field, as operators write it.
    pub field: &'static str,
    /// What stands there.
    pub value: String,
    /// What may stand there.
    pub allowed: &'static str,
}
