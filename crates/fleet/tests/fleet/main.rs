//! Leases and orders without I/O.

mod lease_candidates;
mod lease_verdicts;
mod order_plans;
