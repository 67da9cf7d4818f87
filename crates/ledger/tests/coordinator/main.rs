//! The claim coordinator on a log in memory: whole runs under faults, and single failures.

mod at_most_once;
mod fake_log;
mod history;
mod ledger_bench;
mod retention;
mod router_box;
mod single_faults;
