//! Readiness for the balancer, metrics, and status for operators.

use std::io;
use std::net::TcpListener;
use std::sync::Arc;

use actix_web::App;
use actix_web::HttpResponse;
use actix_web::HttpServer;
use actix_web::dev::Server;
use actix_web::web;

use crate::daemon::StopTokens;
use crate::state::SharedState;
use crate::state::entry_status;
use crate::telemetry::render_metrics;

/// Connections that wait to be accepted: the balancer has one, a reader of metrics another.
const MOST_PENDING: u32 = 16;

struct PageState {
    state: Arc<SharedState>,
    stop: StopTokens,
}

/// Serves both listeners on one worker.
pub(crate) fn serve_pages(
    state: Arc<SharedState>,
    stop: StopTokens,
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
    let server = server.workers(1).backlog(MOST_PENDING).disable_signals();
    Ok(server.listen(readiness)?.listen(metrics)?.run())
}

/// A host that cannot serve most requests sends callers elsewhere: while it stops, before it knows
/// configuration and servers, and when the configuration may have been replaced.
async fn ready(page: web::Data<PageState>) -> HttpResponse {
    let is_stopping = page.stop.begun.is_cancelled();
    let is_known = page.state.table.load().is_some() && page.state.admits_keys();
    let has_servers = page.state.book().states().next().is_some();
    if is_known && has_servers && !is_stopping {
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
