//! Leases, fencing numbers and orders to model engines.

mod server_report;

pub use server_report::ServerReport;
