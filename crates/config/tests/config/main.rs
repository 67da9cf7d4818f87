//! Tests of the configuration: documents, the fold and the keeper.

mod cluster;
mod common;
mod document;
mod fake_log;
mod fold;
mod histories;
mod keeper;
mod part_checks;
mod restarts;
mod snapshots;
