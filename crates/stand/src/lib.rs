//! Stand-ins for the platform and the backend servers.
//!
//! `token` and `deployment` are pure: load tools and test rigs use them to know what a
//! stand-in must have answered and what a deployment consists of.

pub mod deployment;
pub mod token;

mod completion_body;

pub use completion_body::CompletionBody;
