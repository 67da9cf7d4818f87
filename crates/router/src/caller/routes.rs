//! The callers' paths.

use std::sync::Arc;
use std::time::Duration;

use actix_web::HttpRequest;
use actix_web::HttpResponse;
use actix_web::http::header;
use actix_web::http::header::HeaderValue;
use actix_web::web;
use awc::Client;
use fulmargate_names::ErrorKind;

use crate::caller::BodyBounds;
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

impl CallerContext {
    /// What the settings allow a body.
    pub(crate) fn body_bounds(&self) -> BodyBounds {
        let callers = &self.state.settings.callers;
        BodyBounds {
            most_bytes: callers.body_limit_bytes,
            patience: Duration::from_millis(callers.request_timeout_ms),
        }
    }
}

/// Sets the callers' paths.
pub(crate) fn caller_routes(conf: &mut web::ServiceConfig) {
    let posted = |path| {
        let resource = web::resource(path).route(web::post().to(engine_handler::handle));
        resource.default_service(web::to(|request| wrong_method(request, "POST")))
    };
    let models = web::resource("/v1/models").route(web::get().to(model_handler::handle));
    conf.service(posted("/v1/chat/completions"))
        .service(posted("/v1/completions"))
        .service(models.default_service(web::to(|request| wrong_method(request, "GET"))))
        .route("/services/{name}", web::to(service_handler::handle))
        .route("/services/{name}/{path:.*}", web::to(service_handler::handle))
        .default_service(web::to(unknown_path));
}

async fn wrong_method(request: HttpRequest, allowed: &'static str) -> HttpResponse {
    let err = RequestError::new(ErrorKind::WrongMethod).detail(format!("It takes {allowed}."));
    let mut response = err.respond(&request_id(&request));
    response.headers_mut().insert(header::ALLOW, HeaderValue::from_static(allowed));
    response
}

async fn unknown_path(request: HttpRequest) -> HttpResponse {
    RequestError::new(ErrorKind::UnknownPath).respond(&request_id(&request))
}
