//! The control thread: what is agreed and what is known of others.

mod control_actor;
mod control_message;
mod control_thread;
mod host_watch;
mod listeners;
mod operator_call;
mod orders;
mod payload_codec;
mod peer_exchange;
mod route_keeper;
mod running_router;
mod server_probe;
mod start_error;
mod stop_plan;
mod weights_floor;

pub(crate) use control_actor::ControlActor;
pub(crate) use control_message::HealthTold;
pub(crate) use control_message::ServerLife;
pub(crate) use control_message::ServerTrouble;
pub(crate) use operator_call::PatchConfig;
pub(crate) use operator_call::ReadConfig;
pub(crate) use operator_call::ReadHistory;
pub(crate) use operator_call::ReadHosts;
pub(crate) use operator_call::ReadServers;
pub(crate) use operator_call::ReadStatus;
pub(crate) use operator_call::SetServerState;

pub use control_thread::start;
pub use running_router::RouterAddresses;
pub use running_router::RunningRouter;
pub use start_error::StartError;
