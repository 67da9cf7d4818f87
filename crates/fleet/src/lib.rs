//! Leases, fencing numbers and orders to model engines.
