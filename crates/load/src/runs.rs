//! Runs of a plan against a deployment.

mod load_run;

pub use load_run::LoadRun;
pub use load_run::RunLimits;
