//! The operators' command-line client: each command is one or a few calls on a router.

mod answer_table;
mod check_command;
mod command_end;
mod config_command;
mod ctl_args;
mod ctl_error;
mod entry_command;
mod explain_command;
mod fleet_command;
mod patch_command;
mod router_client;

pub use command_end::CommandEnd;
pub use command_end::ExitKind;
pub use ctl_args::CtlArgs;
pub use ctl_error::CtlError;
