//! The operators' side.

mod config_handler;
mod health_handler;
mod operator_answer;
mod routes;
mod status_handler;

pub(crate) use routes::OperatorContext;
pub(crate) use routes::operator_routes;
