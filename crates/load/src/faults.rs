//! Seeded schedules of faults, and what callers see meanwhile.

mod config_watch;
mod fault_kind;
mod fault_player;
mod fault_report;
mod fault_run;
mod fault_schedule;
mod poison_caller;

pub use config_watch::ConfigCounts;
pub use config_watch::ConfigWatch;
pub use fault_kind::FaultKind;
pub use fault_player::FaultPlayer;
pub use fault_player::FaultTargets;
pub use fault_report::FaultReport;
pub use fault_report::PoisonCounts;
pub use fault_report::SlotReport;
pub use fault_run::FaultRun;
pub use fault_schedule::FaultPhase;
pub use fault_schedule::FaultSchedule;
pub use fault_schedule::FaultSlot;
pub use fault_schedule::ScheduledFault;
pub use poison_caller::PoisonCaller;
