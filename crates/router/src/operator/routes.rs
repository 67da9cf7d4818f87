//! The operators' paths.

use std::sync::Arc;

use actix_web::web;

use crate::operator::health_handler;
use crate::state::RouterState;

/// What the operators' listener has at hand.
pub(crate) struct OperatorContext {
    pub(crate) state: Arc<RouterState>,
}

/// Sets the operators' paths.
pub(crate) fn operator_routes(conf: &mut web::ServiceConfig) {
    conf.route("/health", web::get().to(health_handler::health))
        .route("/ready", web::get().to(health_handler::ready));
}
