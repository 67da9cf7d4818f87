//! Links to other routers over HTTP/2, run on the control thread.

mod answer_side;
mod ask_side;
mod counted_stream;
mod frame_pump;
mod link_error;
mod link_table;
mod link_task;
mod listener_task;
mod net_loop;
mod net_state;
mod peer_handle;
mod peer_question;

pub use peer_handle::PeerHandle;
pub use peer_handle::PeerNet;
pub use peer_question::AskError;
pub use peer_question::PeerQuestion;
