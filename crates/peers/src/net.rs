//! Links to other routers over HTTP/2, run on the control thread.

mod counting_stream;
mod frame_io;
mod link_error;
mod link_table;
mod link_task;
mod listener_task;
mod net_loop;
mod net_state;
mod peer_handle;
mod peer_question;
mod query_client;
mod query_server;

pub use peer_handle::PeerHandle;
pub use peer_handle::PeerNet;
pub use peer_question::PeerQuestion;
pub use peer_question::QueryError;
