//! Binds streams to the software version that began them, over all tries of their callers.

mod binding_client;
mod binding_publisher;
mod binding_wire;
mod taken_up;

pub(crate) use binding_client::ask_owners;
pub(crate) use binding_publisher::run_binding_publisher;
pub(crate) use binding_wire::BINDING_PATH;
pub(crate) use binding_wire::BindingMessage;
pub(crate) use binding_wire::BindingReply;
pub(crate) use binding_wire::MAX_BINDING_BYTES;
pub(crate) use binding_wire::decode_binding;
pub(crate) use binding_wire::encode_binding;
pub(crate) use taken_up::BoundStream;
pub(crate) use taken_up::resolve_origin;
