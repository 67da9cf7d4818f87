//! The callers' side.

mod answer;
mod body_reader;
mod caller_identity;
mod claim_replay;
mod engine_handler;
mod model_handler;
mod prompt_body;
mod routes;
mod service_handler;
mod team_gate;

pub(crate) use answer::RequestError;
pub(crate) use body_reader::BodyBounds;
pub(crate) use body_reader::read_body;
pub(crate) use prompt_body::PromptBody;
pub(crate) use routes::CallerContext;
pub(crate) use routes::caller_routes;
