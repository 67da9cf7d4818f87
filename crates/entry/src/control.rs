//! The control thread: what is agreed and known.

mod cache_calls;
mod cache_reader;
mod cache_readers;
mod cache_watch;
mod control_thread;
mod epoch_watch;
mod fleet_codec;
mod fleet_desk;
mod link_table;
mod log_shelf;
mod log_source;
mod operator_watch;
mod order_desk;
mod order_run;
mod own_records;
mod pages;
mod peer_links;
mod peer_listener;
mod relay_board;
mod relay_desk;
mod server_watch;
mod store_contact;

pub(crate) use control_thread::ControlListeners;
pub(crate) use control_thread::ControlThread;
