//! Clients of the platform's log and host list.
//!
//! The wire formats of `docs/PROTOCOLS.md`, sections 3 and 4, live in this crate only. The clients are `!Send`: they run on the
//! control thread.

mod append_fate;
mod health_cell;
mod host_list;
mod http_call;
mod log_client;
mod log_error;
mod log_page;
mod log_tail;
mod pause_plan;

pub use append_fate::AppendFate;
pub use health_cell::LogState;
pub use host_list::HostEntry;
pub use host_list::HostKind;
pub use host_list::HostList;
pub use host_list::HostPage;
pub use host_list::HostState;
pub use log_client::LogClient;
pub use log_client::LogTimeouts;
pub use log_error::Landing;
pub use log_error::LogError;
pub use log_page::LogPage;
pub use log_page::LogRecord;
pub use log_tail::LogTail;
pub use log_tail::TailNews;
pub use pause_plan::PausePlan;
