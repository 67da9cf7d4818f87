//! Runs the daemon's binary against clients that do not keep to the protocol, one test at a time.

mod after_crowds;
mod calm;
mod chunked_bodies;
mod client_deployment;
mod disturbances;
mod framing;
mod idle_connections;
mod process_usage;
mod refusals;
mod request_heads;
mod unfinished_bodies;
mod unread_answers;
mod unread_requests;
mod unread_streams;
mod waiting_requests;

#[path = "../daemon/support.rs"]
#[allow(dead_code, reason = "shared with the daemon tests")]
mod support;
