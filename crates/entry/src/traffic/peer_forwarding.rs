//! Requests that one entry host sends for another, which reaches no server of their service.

mod forward_body;
mod forward_service;
mod forward_wire;
mod helper_connection;
mod helper_pool;

pub(crate) use forward_body::ForwardBody;
pub(crate) use forward_service::ForwardCall;
pub(crate) use forward_service::ForwardService;
pub(crate) use forward_wire::FORWARD_PATH;
pub(crate) use forward_wire::ForwardHead;
pub(crate) use forward_wire::ForwardReply;
pub(crate) use forward_wire::INCARNATION_HEADER;
pub(crate) use forward_wire::RunCounts;
pub(crate) use forward_wire::SENDER_HEADER;
pub(crate) use forward_wire::WireError;
pub(crate) use forward_wire::kind_of_code;
pub(crate) use forward_wire::response_parts;
pub(crate) use helper_connection::ForwardError;
pub(crate) use helper_connection::HelperConnection;
pub(crate) use helper_connection::SenderIdentity;
pub(crate) use helper_connection::send_bytes;
pub(crate) use helper_pool::HelperPool;
