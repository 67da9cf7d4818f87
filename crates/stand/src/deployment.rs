//! The users' two deployments: zones, hosts, servers, teams, as data.

mod document;
mod plan;
mod shop;
mod utility;

pub use document::key_sha256;
pub use plan::Deployment;
pub use plan::EnginePlan;
pub use plan::EngineRates;
pub use plan::HostPlan;
pub use plan::ServiceCall;
pub use plan::ServicePlan;
pub use plan::TeamClass;
pub use plan::TeamPlan;
pub use plan::TeamSize;
