//! The operators' paths.

use std::sync::Arc;

use actix_web::HttpResponse;
use actix_web::Resource;
use actix_web::Route;
use actix_web::http::header;
use actix_web::http::header::HeaderValue;
use actix_web::web;
use fulmargate_names::ErrorKind;

use crate::operator::config_handler;
use crate::operator::health_handler;
use crate::operator::operator_answer::refuse;
use crate::operator::status_handler;
use crate::state::RouterState;

/// What the operators' listener has at hand.
pub(crate) struct OperatorContext {
    pub(crate) state: Arc<RouterState>,
}

/// Sets the operators' paths.
pub(crate) fn operator_routes(conf: &mut web::ServiceConfig) {
    let config = web::resource("/config")
        .route(web::get().to(config_handler::read))
        .route(web::patch().to(config_handler::patch));
    conf.service(shown("/health", web::get().to(health_handler::health)))
        .service(shown("/ready", web::get().to(health_handler::ready)))
        .service(shown("/metrics", web::get().to(health_handler::metrics)))
        .service(config.default_service(web::to(|| wrong_method("GET, PATCH"))))
        .service(shown("/config/history", web::get().to(config_handler::history)))
        .service(shown("/hosts", web::get().to(status_handler::hosts)))
        .service(shown("/servers", web::get().to(status_handler::servers)))
        .service(ordered("/servers/{name}/drain", web::post().to(status_handler::drain)))
        .service(ordered("/servers/{name}/undrain", web::post().to(status_handler::undrain)))
        .service(shown("/teams", web::get().to(status_handler::teams)))
        .service(shown("/status", web::get().to(status_handler::status)))
        .default_service(web::to(unknown_path));
}

fn shown(path: &str, get: Route) -> Resource {
    web::resource(path).route(get).default_service(web::to(|| wrong_method("GET")))
}

fn ordered(path: &str, post: Route) -> Resource {
    web::resource(path).route(post).default_service(web::to(|| wrong_method("POST")))
}

async fn wrong_method(allowed: &'static str) -> HttpResponse {
    let mut response = refuse(ErrorKind::WrongMethod, Some(format!("It takes {allowed}.")));
    response.headers_mut().insert(header::ALLOW, HeaderValue::from_static(allowed));
    response
}

async fn unknown_path() -> HttpResponse {
    refuse(ErrorKind::UnknownPath, None)
}
