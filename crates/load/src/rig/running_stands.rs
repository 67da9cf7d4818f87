//! The stand-ins of a rig, in one thread of their own.

use std::io;
use std::thread;
use std::thread::JoinHandle;

use fulmargate_stand::EngineSettings;
use fulmargate_stand::LogSettings;
use fulmargate_stand::ServiceSettings;
use fulmargate_stand::StandServer;
use fulmargate_stand::deployment::Deployment;
use fulmargate_stand::deployment::EnginePlan;
use fulmargate_stand::deployment::ServicePlan;
use indexmap::IndexMap;
use serde::de::DeserializeOwned;
use serde_json::Value;
use serde_json::json;
use tokio_util::sync::CancellationToken;

use super::any_port;
use crate::load_error::LoadError;

/// Stand-ins that serve until they are stopped.
pub(super) struct RunningStands {
    /// Addresses of backend servers by name.
    pub(super) servers: IndexMap<String, String>,
    /// Address of the log.
    pub(super) log: String,
    stop: CancellationToken,
    thread: JoinHandle<()>,
}

impl RunningStands {
    pub(super) fn start(deployment: &Deployment) -> Result<RunningStands, LoadError> {
        let mut stands = Vec::new();
        let log_settings: LogSettings = settings(json!({ "listen": any_port() }))?;
        let log = started(&mut stands, fulmargate_stand::log_server(log_settings))?;
        let mut servers = IndexMap::new();
        for engine in &deployment.engines {
            let server = fulmargate_stand::engine_server(engine_settings(deployment, engine)?);
            servers.insert(engine.name.to_string(), started(&mut stands, server)?);
        }
        for replica in &deployment.replicas {
            let server = fulmargate_stand::service_server(service_settings(deployment, replica)?);
            servers.insert(replica.name.to_string(), started(&mut stands, server)?);
        }
        let stop = CancellationToken::new();
        let token = stop.clone();
        let thread = thread::Builder::new()
            .name("stands".to_owned())
            .spawn(move || actix_rt::System::new().block_on(serve_all(stands, token)))
            .map_err(|error| failed(&error))?;
        Ok(RunningStands { servers, log, stop, thread })
    }

    pub(super) fn stop(self) {
        self.stop.cancel();
        let _nothing_left_to_stop = self.thread.join();
    }
}

async fn serve_all(stands: Vec<StandServer>, token: CancellationToken) {
    let serve = |stand: StandServer| actix_rt::spawn(stand.serve(token.clone()));
    let serving: Vec<_> = stands.into_iter().map(serve).collect();
    futures_util::future::join_all(serving).await;
}

fn started(
    stands: &mut Vec<StandServer>,
    server: io::Result<StandServer>,
) -> Result<String, LoadError> {
    let server = server.map_err(|error| failed(&error))?;
    let address = server.address().map_err(|error| failed(&error))?;
    stands.push(server);
    Ok(address.to_string())
}

fn engine_settings(
    deployment: &Deployment,
    engine: &EnginePlan,
) -> Result<EngineSettings, LoadError> {
    settings(json!({
        "name": engine.name,
        "zone": engine.zone,
        "listen": any_port(),
        "models": { deployment.model.as_str(): 1 },
        "fenced": engine.fenced,
        "rates": deployment.rates,
    }))
}

fn service_settings(
    deployment: &Deployment,
    replica: &ServicePlan,
) -> Result<ServiceSettings, LoadError> {
    settings(json!({
        "name": replica.name,
        "zone": replica.zone,
        "listen": any_port(),
        "service": deployment.service,
    }))
}

/// Settings from JSON, so that a key with a default need not be named here.
fn settings<T: DeserializeOwned>(value: Value) -> Result<T, LoadError> {
    serde_json::from_value(value).map_err(|error| LoadError::Failed {
        what: "stand-in's settings",
        reason: error.to_string(),
    })
}

fn failed(error: &io::Error) -> LoadError {
    LoadError::Failed { what: "stand-in", reason: error.to_string() }
}
