//! Starts the control thread and, from it, the listeners.

use std::net::SocketAddr;
use std::net::TcpListener;
use std::sync::Arc;
use std::sync::mpsc;
use std::thread;
use std::time::Duration;
use std::time::SystemTime;

use actix_web::App;
use actix_web::HttpServer;
use actix_web::dev::Server;
use actix_web::web;
use awc::Client;
use awc::Connector;
use fulmargate_names::EventKind;
use fulmargate_names::Incarnation;
use fulmargate_relay::TokenSecrets;
use fulmargate_settings::RouterSettings;
use tokio_util::sync::CancellationToken;

use crate::caller::CallerContext;
use crate::caller::caller_routes;
use crate::control::RouterAddresses;
use crate::control::RunningRouter;
use crate::control::StartError;
use crate::control::config_task;
use crate::control::stop_plan;
use crate::operator::OperatorContext;
use crate::operator::operator_routes;
use crate::state::RouterState;

const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
const KEEP_ALIVE: Duration = Duration::from_secs(30);
const CONNECTIONS_PER_WORKER: usize = 1024;
/// Left to actix once no request is open.
const SHUTDOWN_TIMEOUT_S: u64 = 1;

/// Listeners taken before any thread starts, so that a port in use is told at once.
struct BoundListeners {
    callers: TcpListener,
    operators: TcpListener,
    peers: TcpListener,
}

/// Starts a router in threads of this process; cancelling the token begins a planned stop.
pub fn start(
    settings: RouterSettings,
    token: CancellationToken,
) -> Result<RunningRouter, StartError> {
    let listeners = bind_all(&settings)?;
    let addresses = listeners.addresses()?;
    let secrets = TokenSecrets::new(&settings.stream_secrets)
        .map_err(|err| StartError::Thread { reason: err.to_string() })?;
    let state = RouterState::new(settings, draw_incarnation(), secrets);
    let (ready, wait) = mpsc::channel();
    let thread = thread::Builder::new()
        .name(format!("control-{}", state.host))
        .spawn(move || actix_rt::System::new().block_on(run(state, listeners, token, ready)))
        .map_err(|err| StartError::Thread { reason: err.to_string() })?;
    wait.recv().map_err(|err| StartError::Thread { reason: err.to_string() })?;
    Ok(RunningRouter { addresses, thread })
}

async fn run(
    state: Arc<RouterState>,
    listeners: BoundListeners,
    token: CancellationToken,
    ready: mpsc::Sender<()>,
) {
    let callers = caller_server(&state, listeners.callers);
    let operators = operator_server(&state, listeners.operators);
    let (callers, operators) = match (callers, operators) {
        (Ok(callers), Ok(operators)) => (callers, operators),
        (Err(err), _) | (_, Err(err)) => {
            tracing::error!("{err}");
            return;
        }
    };
    let handles = [callers.handle(), operators.handle()];
    actix_rt::spawn(callers);
    actix_rt::spawn(operators);
    let control = CancellationToken::new();
    actix_rt::spawn(config_task::run(Arc::clone(&state), control.child_token()));
    log_started(&state);
    let _start_waits_no_more = ready.send(());
    token.cancelled().await;
    stop_plan::run(&state, &handles).await;
    control.cancel();
}

fn caller_server(state: &Arc<RouterState>, listener: TcpListener) -> std::io::Result<Server> {
    let state = Arc::clone(state);
    let callers = state.settings.callers.clone();
    let server = HttpServer::new(move || {
        let context = CallerContext { state: Arc::clone(&state), client: engine_client() };
        App::new()
            .app_data(web::Data::new(context))
            .app_data(web::PayloadConfig::new(state.settings.callers.body_limit_bytes))
            .configure(caller_routes)
    });
    let timeout = Duration::from_millis(callers.request_timeout_ms);
    Ok(server
        .workers(callers.workers)
        .client_request_timeout(timeout)
        .keep_alive(KEEP_ALIVE)
        .shutdown_timeout(SHUTDOWN_TIMEOUT_S)
        .disable_signals()
        .listen(listener)?
        .run())
}

fn operator_server(state: &Arc<RouterState>, listener: TcpListener) -> std::io::Result<Server> {
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

fn engine_client() -> Client {
    let connector = Connector::new()
        .timeout(CONNECT_TIMEOUT)
        .conn_keep_alive(KEEP_ALIVE)
        .limit(CONNECTIONS_PER_WORKER);
    Client::builder().connector(connector).disable_timeout().disable_redirects().finish()
}

fn bind_all(settings: &RouterSettings) -> Result<BoundListeners, StartError> {
    Ok(BoundListeners {
        callers: bind("callers.listen", settings.callers.listen)?,
        operators: bind("operators.listen", settings.operators.listen)?,
        peers: bind("peers.listen", settings.peers.listen)?,
    })
}

fn bind(key: &'static str, address: SocketAddr) -> Result<TcpListener, StartError> {
    TcpListener::bind(address).map_err(|err| StartError::Listen {
        key,
        address,
        reason: err.to_string(),
    })
}

impl BoundListeners {
    fn addresses(&self) -> Result<RouterAddresses, StartError> {
        let address = |listener: &TcpListener| {
            listener.local_addr().map_err(|err| StartError::Thread { reason: err.to_string() })
        };
        Ok(RouterAddresses {
            callers: address(&self.callers)?,
            operators: address(&self.operators)?,
            peers: address(&self.peers)?,
        })
    }
}

/// Milliseconds since 1970: a later start has a higher one as long as the host's clock does not go
/// back by more than the time between two starts.
fn draw_incarnation() -> Incarnation {
    let since = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default();
    Incarnation(since.as_millis() as u64)
}

fn log_started(state: &RouterState) {
    let kind = EventKind::ProcessStarted;
    tracing::info!(
        event = kind.number(),
        name = kind.name(),
        host = %state.host,
        zone = %state.zone,
        incarnation = %state.incarnation,
        "router started"
    );
}
