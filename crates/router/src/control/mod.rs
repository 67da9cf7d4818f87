//! The control thread: what is agreed and what is known of others.

mod config_task;
mod control_thread;
mod running_router;
mod start_error;
mod stop_plan;

pub use control_thread::start;
pub use running_router::RouterAddresses;
pub use running_router::RunningRouter;
pub use start_error::StartError;
