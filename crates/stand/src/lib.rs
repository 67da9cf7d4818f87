//! Stand-ins for the platform and the backend servers.
//!
//! `token` and `deployment` are pure: load tools and test rigs use them to know what a
//! stand-in must have answered and what a deployment consists of.

pub mod deploy;
pub mod deployment;
pub mod token;

mod block_cache;
mod clock;
mod completion_body;
mod engine;
mod fault_desk;
mod fault_order;
mod host_list;
mod kv_run;
mod kv_store;
mod plain_service;
mod platform_log;
mod port_holder;
mod running_deployment;
mod samples;
mod server_answer;
mod stand_server;
mod weight_store;

pub use completion_body::CompletionBody;
pub use engine::EngineSettings;
pub use engine::engine_server;
pub use fault_desk::FaultDesk;
pub use fault_desk::FaultState;
pub use fault_order::FaultOrder;
pub use host_list::HostListSettings;
pub use host_list::ListedHost;
pub use host_list::ListedKind;
pub use host_list::ListedState;
pub use host_list::host_list_server;
pub use kv_store::KvSettings;
pub use kv_store::kv_server;
pub use plain_service::ServiceSettings;
pub use plain_service::service_server;
pub use platform_log::LogSettings;
pub use platform_log::log_server;
pub use running_deployment::DeploymentError;
pub use running_deployment::RunningDeployment;
pub use samples::SampleRow;
pub use samples::run_samples;
pub use samples::sample_table;
pub use stand_server::StandServer;
pub use weight_store::WeightSettings;
pub use weight_store::weight_server;
