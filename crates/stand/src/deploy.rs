//! A deployment's addresses and settings files, for those who start its processes.

mod address_plan;
mod deployment_settings;
mod process_plan;

pub use address_plan::AddressPlan;
pub use address_plan::RouterPorts;
pub use deployment_settings::DeploymentSettings;
pub use deployment_settings::OPERATOR_KEY;
pub use process_plan::ProcessPlan;
pub use process_plan::write_settings;
