//! The listeners for callers and operators.

use std::io;
use std::net::TcpListener;
use std::sync::Arc;
use std::time::Duration;

use actix_web::App;
use actix_web::HttpServer;
use actix_web::dev::Server;
use actix_web::web;
use awc::Client;
use awc::Connector;

use crate::caller::CallerContext;
use crate::caller::caller_routes;
use crate::operator::OperatorContext;
use crate::operator::operator_routes;
use crate::state::RouterState;

const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
const KEEP_ALIVE: Duration = Duration::from_secs(30);
const CONNECTIONS_PER_WORKER: usize = 4_096;
/// Left to actix once no request is open.
const SHUTDOWN_TIMEOUT_S: u64 = 1;

/// Listeners taken before any thread starts, so that a port in use is reported at once.
pub(crate) struct BoundListeners {
    pub(crate) callers: TcpListener,
    pub(crate) operators: TcpListener,
    pub(crate) peers: TcpListener,
}

/// The server for callers, on the traffic threads.
pub(crate) fn caller_server(state: &Arc<RouterState>, listener: TcpListener) -> io::Result<Server> {
    let callers = state.settings.callers.clone();
    let state = Arc::clone(state);
    let server = HttpServer::new(move || {
        let context = CallerContext { state: Arc::clone(&state), client: engine_client() };
        App::new()
            .app_data(web::Data::new(context))
            .app_data(web::PayloadConfig::new(state.settings.callers.body_limit_bytes))
            .configure(caller_routes)
    });
    Ok(server
        .workers(callers.workers)
        .client_request_timeout(Duration::from_millis(callers.request_timeout_ms))
        .keep_alive(KEEP_ALIVE)
        // A token is a small write: held back until the one before it is acknowledged, it would come
        // some 40 ms late to a caller that acknowledges late.
        .tcp_nodelay(true)
        // A caller that has gone while its request waits shows by its half-closed connection only.
        .h1_allow_half_closed(false)
        .shutdown_timeout(SHUTDOWN_TIMEOUT_S)
        .disable_signals()
        .listen(listener)?
        .run())
}

/// The server for operators.
pub(crate) fn operator_server(
    state: &Arc<RouterState>,
    listener: TcpListener,
) -> io::Result<Server> {
    let state = Arc::clone(state);
    let server = HttpServer::new(move || {
        let context = OperatorContext { state: Arc::clone(&state) };
        App::new().app_data(web::Data::new(context)).configure(operator_routes)
    });
    Ok(server
        .workers(1)
        .shutdown_timeout(SHUTDOWN_TIMEOUT_S)
        .disable_signals()
        .listen(listener)?
        .run())
}

/// Keeps connections to engines open between requests.
fn engine_client() -> Client {
    let connector = Connector::new()
        .timeout(CONNECT_TIMEOUT)
        .conn_keep_alive(KEEP_ALIVE)
        .limit(CONNECTIONS_PER_WORKER);
    Client::builder().connector(connector).disable_timeout().disable_redirects().finish()
}
