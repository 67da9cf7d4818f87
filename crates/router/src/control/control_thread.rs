//! Starts the control thread and, from it, the listeners.

use std::net::SocketAddr;
use std::net::TcpListener;
use std::sync::Arc;
use std::sync::mpsc as std_mpsc;
use std::thread;
use std::time::Duration;
use std::time::SystemTime;

use actix::Actor;
use actix::Addr;
use actix::Context;
use actix_web::dev::ServerHandle;
use awc::Client;
use awc::Connector;
use bytes::Bytes;
use fulmargate_config::ConfigKeeper;
use fulmargate_config::KeeperSettings;
use fulmargate_config::LogAccess;
use fulmargate_config::PublishedConfig;
use fulmargate_config::ReaderRole;
use fulmargate_ledger::ClaimCoordinator;
use fulmargate_ledger::ClaimLog;
use fulmargate_ledger::ClaimerId;
use fulmargate_ledger::CutOffRule;
use fulmargate_ledger::LedgerSettings;
use fulmargate_names::EventKind;
use fulmargate_names::Incarnation;
use fulmargate_peers::PeerConf;
use fulmargate_peers::PeerHandle;
use fulmargate_peers::PeerNet;
use fulmargate_peers::PeerNews;
use fulmargate_peers::PeerPace;
use fulmargate_peers::PeerQuestion;
use fulmargate_platform::LogClient;
use fulmargate_platform::LogTimeouts;
use fulmargate_relay::TokenSecrets;
use fulmargate_settings::RouterSettings;
use sha2::Digest;
use sha2::Sha256;
use tokio::sync::mpsc;
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;
use xxhash_rust::xxh3::xxh3_64;

use crate::control::ControlActor;
use crate::control::RouterAddresses;
use crate::control::RunningRouter;
use crate::control::StartError;
use crate::control::control_message::ConfigPublished;
use crate::control::host_watch;
use crate::control::listeners::BoundListeners;
use crate::control::listeners::caller_server;
use crate::control::listeners::operator_server;
use crate::control::peer_exchange::PeerEvent;
use crate::control::peer_exchange::SuspectsChanged;
use crate::control::stop_plan;
use crate::state::RouterState;
use crate::telemetry::install_metrics;

const PROBE_CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// Starts a router in threads of this process; cancelling the token begins a planned stop.
pub fn start(
    settings: RouterSettings,
    token: CancellationToken,
) -> Result<RunningRouter, StartError> {
    let listeners = BoundListeners::bind(&settings)?;
    let addresses = listeners.addresses()?;
    let secrets = TokenSecrets::new(&settings.stream_secrets)
        .map_err(|err| StartError::Thread { reason: err.to_string() })?;
    let (ready, wait) = std_mpsc::channel();
    let thread = thread::Builder::new()
        .name(format!("control-{}", settings.host))
        .spawn(move || {
            let system = actix_rt::System::new();
            system.block_on(run(settings, secrets, listeners, token, ready));
        })
        .map_err(|err| StartError::Thread { reason: err.to_string() })?;
    match wait.recv() {
        Ok(Ok(())) => Ok(RunningRouter { addresses, thread }),
        Ok(Err(reason)) => Err(StartError::Thread { reason }),
        Err(err) => Err(StartError::Thread { reason: err.to_string() }),
    }
}

/// What a running router is made of.
struct StartedParts {
    state: Arc<RouterState>,
    handles: Vec<ServerHandle>,
    coordinator: ClaimCoordinator,
    peers: PeerHandle,
}

async fn run(
    settings: RouterSettings,
    secrets: TokenSecrets,
    listeners: BoundListeners,
    token: CancellationToken,
    ready: std_mpsc::Sender<Result<(), String>>,
) {
    install_metrics();
    let control = CancellationToken::new();
    let started = start_all(settings, secrets, listeners, &control);
    let StartedParts { state, handles, coordinator, peers } = match started {
        Ok(started) => started,
        Err(reason) => {
            let _start_waits_no_more = ready.send(Err(reason));
            return;
        }
    };
    log_started(&state);
    let _start_waits_no_more = ready.send(Ok(()));
    token.cancelled().await;
    stop_plan::run(&state, &handles).await;
    peers.leave().await;
    control.cancel();
    coordinator.ended().await;
}

fn start_all(
    settings: RouterSettings,
    secrets: TokenSecrets,
    listeners: BoundListeners,
    control: &CancellationToken,
) -> Result<StartedParts, String> {
    let incarnation = draw_incarnation();
    let log = LogClient::new(&settings.platform.log.to_string(), LogTimeouts::default());
    let retention = Duration::from_secs(settings.platform.log_retention_s);
    let me = ClaimerId { host: settings.host.clone(), incarnation };
    let ledger_settings =
        LedgerSettings { cut_off: CutOffRule::KeyToo, ..LedgerSettings::for_retention(retention) };
    let claim_log = ClaimLog::over(&log);
    let shards = settings.platform.claim_shards;
    let (coordinator, claims) =
        ClaimCoordinator::start(claim_log, &ledger_settings, shards, &me, control)
            .map_err(|err| format!("platform.log_retention_s: {err}"))?;
    let writer = format!("{}-{incarnation}", settings.host);
    let keeper_settings = KeeperSettings { retention, ..KeeperSettings::default() };
    let role = ReaderRole::Direct { rank: 0 };
    let keeper = ConfigKeeper::new(&writer, LogAccess::of_client(&log), keeper_settings, role);
    let conf = peer_conf(&settings, incarnation);
    let (peers, peer_news) = PeerNet::start_on(listeners.peers, &conf, control.clone())
        .map_err(|err| err.to_string())?;
    let answering = keeper.clone();
    peers.set_answerer(move |question| match question {
        PeerQuestion::ConfigRecords { from_offset } => {
            Some(Bytes::from(answering.records_from(from_offset).to_bytes()))
        }
        PeerQuestion::WarmState => None,
    });
    let mut made = None;
    let addr = ControlActor::create(|ctx: &mut Context<ControlActor>| {
        let addr = actix::AsyncContext::address(ctx);
        let state =
            RouterState::new(settings, incarnation, secrets, claims, addr, peers.counters());
        made = Some(Arc::clone(&state));
        ControlActor::new(state, keeper.clone(), log, probe_client(), peers.clone())
    });
    let state = made.ok_or("the control actor was not made")?;
    actix_rt::spawn(pass_on_config(keeper.subscribe(), addr.clone(), control.clone()));
    actix_rt::spawn(pass_on_news(peer_news, addr.clone()));
    actix_rt::spawn(pass_on_suspects(state.suspects.changes(), addr, control.clone()));
    if let Some(address) = state.settings.platform.hosts {
        let watch = host_watch::run(address, Arc::clone(&state), peers.clone(), control.clone());
        actix_rt::spawn(watch);
    }
    let cancel = control.clone();
    actix_rt::spawn(async move { keeper.run(cancel).await });
    let callers = caller_server(&state, listeners.callers).map_err(|err| err.to_string())?;
    let operators = operator_server(&state, listeners.operators).map_err(|err| err.to_string())?;
    let handles = vec![callers.handle(), operators.handle()];
    actix_rt::spawn(callers);
    actix_rt::spawn(operators);
    Ok(StartedParts { state, handles, coordinator, peers })
}

fn peer_conf(settings: &RouterSettings, incarnation: Incarnation) -> PeerConf {
    PeerConf {
        fleet: fleet_name(settings),
        host: settings.host.clone(),
        incarnation,
        zone: settings.zone.clone(),
        listen: settings.peers.listen,
        advertise: None,
        seeds: settings.peers.seeds.clone(),
        random_seed: incarnation.0 ^ xxh3_64(settings.host.as_str().as_bytes()),
        pace: PeerPace::default(),
    }
}

/// Routers of other deployments are turned away: those that do not share the oldest secret. An
/// address that was given to another deployment must not join the two.
fn fleet_name(settings: &RouterSettings) -> String {
    let secret = settings.stream_secrets.last().map_or("", String::as_str);
    let digest =
        Sha256::new().chain_update(b"fulmargate fleet 1\0").chain_update(secret).finalize();
    let mut name = [0; 8];
    name.copy_from_slice(&digest[..8]);
    format!("fulmargate-{:016x}", u64::from_be_bytes(name))
}

/// Passes the news of the exchange to the control actor.
async fn pass_on_news(mut news: mpsc::UnboundedReceiver<PeerNews>, control: Addr<ControlActor>) {
    while let Some(news) = news.recv().await {
        control.do_send(PeerEvent { news });
    }
}

/// Tells the control actor when the table of suspects has changed.
async fn pass_on_suspects(
    mut changes: watch::Receiver<u64>,
    control: Addr<ControlActor>,
    cancel: CancellationToken,
) {
    loop {
        tokio::select! {
            () = cancel.cancelled() => return,
            changed = changes.changed() => if changed.is_err() { return },
        }
        control.do_send(SuspectsChanged);
    }
}

/// Passes each configuration that comes into force to the control actor.
async fn pass_on_config(
    mut published: watch::Receiver<PublishedConfig>,
    control: Addr<ControlActor>,
    cancel: CancellationToken,
) {
    loop {
        let config = published.borrow_and_update().clone();
        if config.document.is_some() {
            control.do_send(ConfigPublished { published: config });
        }
        tokio::select! {
            () = cancel.cancelled() => return,
            changed = published.changed() => if changed.is_err() { return },
        }
    }
}

fn probe_client() -> Client {
    let connector = Connector::new().timeout(PROBE_CONNECT_TIMEOUT);
    Client::builder().connector(connector).disable_timeout().disable_redirects().finish()
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

impl BoundListeners {
    fn bind(settings: &RouterSettings) -> Result<BoundListeners, StartError> {
        Ok(BoundListeners {
            callers: bind("callers.listen", settings.callers.listen)?,
            operators: bind("operators.listen", settings.operators.listen)?,
            peers: bind("peers.listen", settings.peers.listen)?,
        })
    }

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

fn bind(key: &'static str, address: SocketAddr) -> Result<TcpListener, StartError> {
    TcpListener::bind(address).map_err(|err| StartError::Listen {
        key,
        address,
        reason: err.to_string(),
    })
}
