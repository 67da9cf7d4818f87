//! The operators' side.

mod health_handler;
mod routes;

pub(crate) use routes::OperatorContext;
pub(crate) use routes::operator_routes;
