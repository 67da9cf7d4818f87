//! The callers' paths.

use std::sync::Arc;

use actix_web::HttpRequest;
use actix_web::HttpResponse;
use actix_web::web;
use awc::Client;
use fulmargate_names::ErrorKind;

use crate::caller::RequestError;
use crate::caller::caller_identity::request_id;
use crate::caller::engine_handler;
use crate::caller::model_handler;
use crate::caller::service_handler;
use crate::state::RouterState;

/// What a traffic thread has at hand for each request.
pub(crate) struct CallerContext {
    pub(crate) state: Arc<RouterState>,
    /// Keeps connections open, for engines.
    pub(crate) client: Client,
}

/// Sets the callers' paths.
pub(crate) fn caller_routes(conf: &mut web::ServiceConfig) {
    conf.route("/v1/chat/completions", web::post().to(engine_handler::handle))
        .route("/v1/completions", web::post().to(engine_handler::handle))
        .route("/v1/models", web::get().to(model_handler::handle))
        .route("/services/{name}", web::to(service_handler::handle))
        .route("/services/{name}/{path:.*}", web::to(service_handler::handle))
        .default_service(web::to(unknown_path));
}

async fn unknown_path(request: HttpRequest) -> HttpResponse {
    RequestError::new(ErrorKind::UnknownPath).respond(&request_id(&request))
}
