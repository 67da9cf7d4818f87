//! HTTP pages: readiness for the load balancer, metrics, and status for operators.

use std::io;
use std::net::TcpListener;
use std::sync::Arc;

use actix_web::App;
use actix_web::HttpResponse;
use actix_web::HttpServer;
use actix_web::dev::Server;
use actix_web::web;

use crate::daemon::ShutdownTokens;
use crate::state::SharedState;
use crate::state::entry_status;
use crate::telemetry::render_metrics;

/// Backlog of connections to accept: the load balancer and the metrics scraper have one each.
const MAX_PENDING_CONNECTIONS: u32 = 16;

struct PageState {
    state: Arc<SharedState>,
    stop: ShutdownTokens,
}

pub(crate) fn serve_http_pages(
    state: Arc<SharedState>,
    stop: ShutdownTokens,
    readiness: TcpListener,
    metrics: TcpListener,
) -> io::Result<Server> {
    let page = web::Data::new(PageState { state, stop });
    let server = HttpServer::new(move || {
        App::new()
            .app_data(page.clone())
            .route("/ready", web::get().to(ready))
            .route("/metrics", web::get().to(metrics_page))
            .route("/status", web::get().to(status_page))
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
