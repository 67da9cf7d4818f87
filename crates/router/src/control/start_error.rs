//! Why a router could not start.

use std::net::SocketAddr;

use derive_more::Display;
use derive_more::Error;

/// Why a router could not start.
#[derive(Debug, Display, Error)]
pub enum StartError {
    /// A listener's address could not be taken.
    #[display("key `{key}`: cannot listen on {address}: {reason}")]
    Listen {
        /// The settings' key.
        key: &'static str,
        /// The address.
        address: SocketAddr,
        /// What the system said.
        reason: String,
    },
    /// A thread could not be started or ended before it was ready.
    #[display("the control thread could not start: {reason}")]
    Thread {
        /// What went wrong.
        reason: String,
    },
}
