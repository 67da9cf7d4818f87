//! The operators' paths.

use std::sync::Arc;

use actix_web::web;

use crate::operator::config_handler;
use crate::operator::health_handler;
use crate::operator::status_handler;
use crate::state::RouterState;

/// What the operators' listener has at hand.
pub(crate) struct OperatorContext {
    pub(crate) state: Arc<RouterState>,
}

/// Sets the operators' paths.
pub(crate) fn operator_routes(conf: &mut web::ServiceConfig) {
    conf.route("/health", web::get().to(health_handler::health))
        .route("/ready", web::get().to(health_handler::ready))
        .route("/metrics", web::get().to(health_handler::metrics))
        .route("/config", web::get().to(config_handler::read))
        .route("/config", web::patch().to(config_handler::patch))
        .route("/config/history", web::get().to(config_handler::history))
        .route("/hosts", web::get().to(status_handler::hosts))
        .route("/servers", web::get().to(status_handler::servers))
        .route("/servers/{name}/drain", web::post().to(status_handler::drain))
        .route("/servers/{name}/undrain", web::post().to(status_handler::undrain))
        .route("/teams", web::get().to(status_handler::teams))
        .route("/status", web::get().to(status_handler::status));
}
