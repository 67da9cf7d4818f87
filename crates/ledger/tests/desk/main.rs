//! The claim desk on a log in memory: whole runs under faults, and single failures.

mod at_most_once;
mod desk_bench;
mod fake_log;
mod history;
mod retention;
mod router_box;
mod single_faults;
