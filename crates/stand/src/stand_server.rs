//! One listening stand-in with its lives and crashes.

use std::io;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::sync::Arc;
use std::time::Duration;

use actix_web::App;
use actix_web::Error;
use actix_web::HttpResponse;
use actix_web::HttpServer;
use actix_web::body::MessageBody;
use actix_web::dev::Server;
use actix_web::dev::ServiceRequest;
use actix_web::dev::ServiceResponse;
use actix_web::middleware::Next;
use actix_web::middleware::from_fn;
use actix_web::web;
use actix_web::web::Data;
use actix_web::web::ServiceConfig;
use tokio_util::sync::CancellationToken;

use crate::FaultDesk;
use crate::FaultOrder;
use crate::port_holder::PortHolder;

/// Longer than clients keep an idle connection, so that it is the client who closes it.
const KEEP_ALIVE: Duration = Duration::from_secs(75);
const FAULTS_PATH: &str = "/faults";
const BODY_LIMIT: usize = 16 << 20;

/// Registers a stand-in's paths; called at the start of each life, in the thread that serves it.
pub(crate) type AppSetup = Arc<dyn Fn(&mut ServiceConfig) + Send + Sync>;

/// A stand-in that listens and is ready to serve.
pub struct StandServer {
    holder: PortHolder,
    listener: TcpListener,
    desk: FaultDesk,
    setup: AppSetup,
}

impl StandServer {
    pub(crate) fn bind(
        address: SocketAddr,
        desk: FaultDesk,
        setup: AppSetup,
    ) -> io::Result<StandServer> {
        let holder = PortHolder::bind(address)?;
        let listener = holder.listen()?;
        Ok(StandServer { holder, listener, desk, setup })
    }

    /// Where it listens.
    pub fn address(&self) -> io::Result<SocketAddr> {
        self.holder.address()
    }

    /// Its faults.
    pub fn desk(&self) -> FaultDesk {
        self.desk.clone()
    }

    /// Serves life after life until cancelled. A crash ends the thread that holds all connections
    /// and all memory of the life, as the death of a process would.
    pub async fn serve(self, cancellation: CancellationToken) -> io::Result<()> {
        let StandServer { holder, mut listener, desk, setup } = self;
        loop {
            desk.begin_life();
            let server = start_life(listener, &desk, &setup)?;
            let handle = server.handle();
            let life = actix_rt::spawn(server);
            let down = tokio::select! {
                () = cancellation.cancelled() => None,
                down = desk.crashed() => Some(down),
            };
            handle.stop(false).await;
            life.await.map_err(io::Error::other)??;
            let Some(down) = down else {
                return Ok(());
            };
            if cancellation.run_until_cancelled(tokio::time::sleep(down)).await.is_none() {
                return Ok(());
            }
            listener = holder.listen()?;
        }
    }
}

fn start_life(listener: TcpListener, desk: &FaultDesk, setup: &AppSetup) -> io::Result<Server> {
    let desk = desk.clone();
    let setup = Arc::clone(setup);
    let app = move || {
        let setup = Arc::clone(&setup);
        App::new()
            .app_data(Data::new(desk.clone()))
            .app_data(web::PayloadConfig::new(BODY_LIMIT))
            .app_data(web::JsonConfig::default().limit(BODY_LIMIT))
            .configure(move |config| setup(config))
            .route(FAULTS_PATH, web::get().to(show_faults))
            .route(FAULTS_PATH, web::post().to(order_faults))
            .wrap(from_fn(gate))
    };
    let server = HttpServer::new(app)
        .workers(1)
        .disable_signals()
        .keep_alive(KEEP_ALIVE)
        .h1_allow_half_closed(false)
        .listen(listener)?
        .run();
    Ok(server)
}

/// Nothing but the faults can be reached while the stand-in is frozen or out.
async fn gate(
    desk: Data<FaultDesk>,
    request: ServiceRequest,
    next: Next<impl MessageBody + 'static>,
) -> Result<ServiceResponse<impl MessageBody>, Error> {
    if request.path() != FAULTS_PATH {
        desk.thawed().await;
        if desk.is_out() {
            let answer = HttpResponse::ServiceUnavailable().body("out");
            return Ok(request.into_response(answer).map_into_right_body());
        }
    }
    Ok(next.call(request).await?.map_into_left_body())
}

async fn show_faults(desk: Data<FaultDesk>) -> HttpResponse {
    HttpResponse::Ok().json(desk.state())
}

async fn order_faults(desk: Data<FaultDesk>, order: web::Json<FaultOrder>) -> HttpResponse {
    desk.apply(&order);
    HttpResponse::Ok().json(desk.state())
}
