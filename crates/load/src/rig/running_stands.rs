//! The stand-ins of a rig, in one thread of their own.

use std::io;
use std::thread;
use std::thread::JoinHandle;

use fulmargate_stand::StandServer;
use fulmargate_stand::deploy::DeploymentSettings;
use tokio_util::sync::CancellationToken;

use super::failed;
use crate::load_error::LoadError;

/// Stand-ins that serve until they are stopped.
pub(super) struct RunningStands {
    stop: CancellationToken,
    thread: JoinHandle<()>,
}

impl RunningStands {
    pub(super) fn start(settings: &DeploymentSettings) -> Result<RunningStands, LoadError> {
        let stands = bound_stands(settings).map_err(|error| failed("stand-in", &error))?;
        let stop = CancellationToken::new();
        let token = stop.clone();
        let thread = thread::Builder::new()
            .name("stands".to_owned())
            .spawn(move || actix_rt::System::new().block_on(serve_all(stands, token)))
            .map_err(|error| failed("stand-in", &error))?;
        Ok(RunningStands { stop, thread })
    }

    pub(super) fn stop(self) {
        self.stop.cancel();
        let _nothing_left_to_stop = self.thread.join();
    }
}

fn bound_stands(settings: &DeploymentSettings) -> io::Result<Vec<StandServer>> {
    let platform = [
        fulmargate_stand::log_server(settings.log.clone()),
        fulmargate_stand::weight_server(settings.weights),
        fulmargate_stand::host_list_server(settings.hosts.clone()),
        fulmargate_stand::kv_server(settings.kv),
    ];
    let engines = settings.engines.iter().cloned().map(fulmargate_stand::engine_server);
    let replicas = settings.replicas.iter().cloned().map(fulmargate_stand::service_server);
    platform.into_iter().chain(engines).chain(replicas).collect()
}

async fn serve_all(stands: Vec<StandServer>, token: CancellationToken) {
    let serve = |stand: StandServer| actix_rt::spawn(stand.serve(token.clone()));
    let serving: Vec<_> = stands.into_iter().map(serve).collect();
    futures_util::future::join_all(serving).await;
}
