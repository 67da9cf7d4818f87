//! Runs of a plan against a deployment.

mod comparison;
mod disturbance;
mod load_run;
mod overhead_run;

pub use comparison::BoundReport;
pub use comparison::Comparison;
pub use comparison::ComparisonCell;
pub use comparison::ComparisonReport;
pub use comparison::POLICIES;
pub use disturbance::Disturbance;
pub use load_run::LoadRun;
pub use load_run::RunLimits;
pub use overhead_run::OverheadFigures;
pub use overhead_run::OverheadRun;
pub use overhead_run::PathTimes;
