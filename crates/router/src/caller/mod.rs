//! The callers' side.

mod answer;
mod caller_identity;
mod engine_handler;
mod model_handler;
mod prompt_body;
mod routes;

pub(crate) use answer::RequestError;
pub(crate) use prompt_body::PromptBody;
pub(crate) use routes::CallerContext;
pub(crate) use routes::caller_routes;
