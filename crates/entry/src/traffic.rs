//! The traffic thread: callers' requests and the backend servers' answers.

mod answer;
mod call_decoder;
mod call_run;
mod caller_body;
mod caller_edge;
mod channel;
mod crash_check;
mod open_send;
mod quota_charge;
mod send_attempt;
mod stream_relay;
mod traffic_thread;
mod wait_room;

pub(crate) use channel::CONNECT_TIMEOUT;
pub(crate) use traffic_thread::TrafficThread;
pub(crate) use wait_room::WaitRoom;
