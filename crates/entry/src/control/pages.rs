//! HTTP pages: readiness for the load balancer, metrics, and status for operators.

use std::io;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::sync::Arc;

use actix_web::App;
use actix_web::HttpRequest;
use actix_web::HttpResponse;
use actix_web::HttpServer;
use actix_web::dev::Server;
use actix_web::web;
use fulmargate_names::EventKind;
use tokio::time::Instant;

use crate::daemon::ShutdownTokens;
use crate::state::SharedState;
use crate::state::entry_status;
use crate::telemetry::render_metrics;

/// Backlog of connections to accept: the load balancer and the metrics scraper have one each.
const MAX_PENDING_CONNECTIONS: u32 = 16;

struct PageState {
    state: Arc<SharedState>,
    stop: ShutdownTokens,
    /// Address of the metrics listener, the only one that takes changes.
    operators: SocketAddr,
}

pub(crate) fn serve_http_pages(
    state: Arc<SharedState>,
    stop: ShutdownTokens,
    readiness: TcpListener,
    metrics: TcpListener,
) -> io::Result<Server> {
    let operators = metrics.local_addr()?;
    let page = web::Data::new(PageState { state, stop, operators });
    let server = HttpServer::new(move || {
        App::new()
            .app_data(page.clone())
            .route("/ready", web::get().to(ready))
            .route("/metrics", web::get().to(metrics_page))
            .route("/status", web::get().to(status_page))
            .route("/suspects/{key}", web::delete().to(lift_suspicion))
    });
    let server = server.workers(1).backlog(MAX_PENDING_CONNECTIONS).disable_signals();
    Ok(server.listen(readiness)?.listen(metrics)?.run())
}

/// Fails while the host is stopping, before it has a configuration and servers, and when its
/// configuration may be outdated.
async fn ready(page: web::Data<PageState>) -> HttpResponse {
    let is_stopping = page.stop.requested.is_cancelled();
    let has_current_config = page.state.table.load().is_some() && page.state.admits_keys();
    let has_servers = page.state.servers().states().next().is_some();
    if has_current_config && has_servers && !is_stopping {
        return HttpResponse::Ok().finish();
    }
    HttpResponse::ServiceUnavailable().finish()
}

async fn metrics_page(page: web::Data<PageState>) -> HttpResponse {
    HttpResponse::Ok().content_type("text/plain").body(render_metrics(&page.state))
}

async fn status_page(page: web::Data<PageState>) -> HttpResponse {
    HttpResponse::Ok().json(entry_status(&page.state))
}

/// Clears a request or a part of prompts of the crashes that count against it.
async fn lift_suspicion(
    page: web::Data<PageState>,
    request: HttpRequest,
    key: web::Path<String>,
) -> HttpResponse {
    let Ok(number) = u128::from_str_radix(&key, 16) else {
        return HttpResponse::BadRequest().finish();
    };
    if request.app_config().local_addr() != page.operators {
        return HttpResponse::NotFound().finish();
    }
    let lifted = page.state.suspects().lift(number, Instant::now());
    let Some(crashes) = lifted else { return HttpResponse::NotFound().finish() };
    page.state.fleet_record_change.notify_one();
    page.state.crash_evidence_change.notify_one();
    let kind = EventKind::SuspicionLifted;
    tracing::info!(event = kind.number(), name = kind.name(), key = %key, crashes);
    HttpResponse::NoContent().finish()
}
