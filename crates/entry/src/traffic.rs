//! The traffic thread, which proxies callers' requests to backend servers.

mod buffered_body;
mod caller_io;
mod crash_check;
mod in_flight_request;
mod peer_forwarding;
mod prompt_queue;
mod queued_call;
mod quota_charge;
mod reach_prober;
mod request_decoder;
mod request_failure;
mod request_handler;
mod request_service;
mod response_body;
mod send_attempt;
mod server_connection;
mod server_io;
mod stream_binding;
mod stream_relay;
mod suspect_run;
mod traffic_thread;
mod upstream_response;

pub(crate) use peer_forwarding::FORWARD_PATH;
pub(crate) use peer_forwarding::ForwardCall;
pub(crate) use peer_forwarding::HelperPool;
pub(crate) use peer_forwarding::INCARNATION_HEADER;
pub(crate) use peer_forwarding::SENDER_HEADER;
pub(crate) use prompt_queue::PromptQueue;
pub(crate) use server_connection::CONNECT_TIMEOUT;
pub(crate) use stream_binding::BINDING_PATH;
pub(crate) use stream_binding::BindingMessage;
pub(crate) use stream_binding::BindingReply;
pub(crate) use stream_binding::MAX_BINDING_BYTES;
pub(crate) use stream_binding::decode_binding;
pub(crate) use stream_binding::encode_binding;
pub(crate) use traffic_thread::TrafficThread;
