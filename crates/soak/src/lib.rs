//! A randomized soak: entry daemons as processes of their own, faults from outside them, and checks of
//! what callers and backend servers see.
//!
//! A seed draws everything that goes wrong: what proxies on loopback do to connections, which processes
//! get which signals, what the store and the servers do, and what operators write meanwhile. What is
//! promised is judged from the callers' records and from what the servers saw, not from the daemons'
//! own words.

mod answer_loss;
mod calm_times;
mod crashing_caller;
mod crashing_part_caller;
mod fault_log;
mod fault_plan;
mod fault_player;
mod fault_source;
mod foreign_plan;
mod judge;
mod judged_count;
mod promise;
mod request_record;
mod rough_clients;
mod router_process;
mod served_count;
mod shape_draw;
mod soak_caller;
mod soak_fault;
mod soak_run;
mod soak_world;
mod version_caller;
mod version_plan;
mod weights_count;
mod weights_plan;

pub use fault_plan::FaultPlan;
pub use fault_plan::FaultStep;
pub use foreign_plan::ForeignShape;
pub use judge::BrokenPromise;
pub use judged_count::JudgedCount;
pub use promise::Promise;
pub use served_count::ServedCount;
pub use soak_fault::LinkPlace;
pub use soak_fault::RouterSignal;
pub use soak_fault::SoakFault;
pub use soak_run::PlanKind;
pub use soak_run::SoakConf;
pub use soak_run::SoakReport;
pub use soak_run::run_seed;
pub use weights_count::WeightsCount;
