//! Why a command could not be carried out.

use derive_more::Display;
use derive_more::Error;

/// Why a command could not be carried out; found faults are no error but a result.
#[derive(Debug, Display, Error)]
pub enum LoadError {
    /// No such deployment.
    #[display("no deployment `{name}`; there are `shop` and `utility`")]
    UnknownDeployment {
        /// The name as given.
        name: String,
    },
    /// An option's value cannot be used.
    #[display("--{option} {value}: {reason}")]
    BadOption {
        /// The option.
        option: &'static str,
        /// Its value as given.
        value: String,
        /// What is allowed.
        reason: &'static str,
    },
    /// A process did not answer, or not as it must.
    #[display("{address}: {reason}")]
    Unanswered {
        /// Where the request went.
        address: String,
        /// What happened.
        reason: String,
    },
    /// Something could not be started or read.
    #[display("{what}: {reason}")]
    Failed {
        /// What was tried.
        what: &'static str,
        /// What the system said.
        reason: String,
    },
}
