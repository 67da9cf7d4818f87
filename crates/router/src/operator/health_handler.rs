//! Health and readiness, for the balancer.

use actix_web::HttpResponse;
use actix_web::web;
use serde_json::json;

use crate::operator::OperatorContext;
use crate::state::RouterPhase;
use crate::telemetry::render_metrics;

/// `GET /health`: the process is alive.
pub(crate) async fn health() -> HttpResponse {
    HttpResponse::Ok().json(json!({"alive": true}))
}

/// `GET /ready`: 200 while it takes traffic. A router that leaves says so before it closes.
pub(crate) async fn ready(context: web::Data<OperatorContext>) -> HttpResponse {
    let (is_ready, phase) = match context.state.phase.get() {
        RouterPhase::Starting => (false, "starting"),
        RouterPhase::Serving => (true, "serving"),
        RouterPhase::Leaving => (false, "leaving"),
        RouterPhase::Closing => (false, "closing"),
    };
    let body = json!({"ready": is_ready, "phase": phase, "open": context.state.open.open()});
    if is_ready {
        HttpResponse::Ok().json(body)
    } else {
        HttpResponse::ServiceUnavailable().json(body)
    }
}

/// `GET /metrics`: Prometheus text.
pub(crate) async fn metrics(context: web::Data<OperatorContext>) -> HttpResponse {
    HttpResponse::Ok()
        .content_type("text/plain; version=0.0.4")
        .body(render_metrics(&context.state))
}
