//! A whole deployment in threads of this process.

mod directions;

use std::io;
use std::time::Duration;

use actix_rt::task::JoinHandle;
use derive_more::Display;
use derive_more::Error;
use derive_more::From;
use fulmargate_router::RunningRouter;
use fulmargate_router::StartError;
use fulmargate_settings::SettingsError;
use serde_json::json;
use tokio::time::Instant;
use tokio::time::sleep;
use tokio_util::sync::CancellationToken;

use crate::StandServer;
use crate::deploy::AddressPlan;
use crate::deploy::DeploymentSettings;
use crate::deployment::Deployment;
use crate::engine_server;
use crate::host_list_server;
use crate::kv_server;
use crate::log_server;
use crate::service_server;
use crate::weight_server;

const READY_WITHIN: Duration = Duration::from_secs(20);
const ASK_AGAIN: Duration = Duration::from_millis(20);

/// Why a deployment did not start.
#[derive(Debug, Display, Error, From)]
pub enum DeploymentError {
    /// Settings were refused.
    #[display("{_0}")]
    Settings(SettingsError),
    /// A stand-in could not listen.
    #[display("a stand-in cannot listen: {_0}")]
    Stand(io::Error),
    /// A router could not start.
    #[display("a router cannot start: {_0}")]
    Router(StartError),
    /// A part did not get ready in time.
    #[display("{what} did not get ready")]
    #[from(ignore)]
    NotReady {
        /// The part.
        what: String,
    },
}

/// All stand-ins and routers of a deployment, on loopback, until they are stopped.
pub struct RunningDeployment {
    /// What runs.
    pub deployment: Deployment,
    /// Where it runs.
    pub addresses: AddressPlan,
    stands: Vec<JoinHandle<io::Result<()>>>,
    routers: Vec<RunningRouter>,
    stop: CancellationToken,
}

impl RunningDeployment {
    /// Starts the stand-ins, puts the document into the log, starts the routers and waits until
    /// they are ready. Runs within an actix system.
    pub async fn start(deployment: Deployment) -> Result<RunningDeployment, DeploymentError> {
        let addresses = AddressPlan::reserve(&deployment)?;
        let settings = DeploymentSettings::new(&deployment, &addresses)?;
        let stop = CancellationToken::new();
        let serve = |server: StandServer| actix_rt::spawn(server.serve(stop.clone()));
        let stands = stand_servers(&settings)?.into_iter().map(serve).collect();
        let mut running =
            RunningDeployment { deployment, addresses, stands, routers: Vec::new(), stop };
        running.publish_document(&settings).await?;
        for router in settings.routers {
            running.routers.push(fulmargate_router::start(router, running.stop.clone())?);
        }
        running.wait_until_ready().await?;
        Ok(running)
    }

    /// Addresses, a key and command lines for a newcomer.
    pub fn directions(&self) -> String {
        directions::directions(&self.deployment, &self.addresses)
    }

    /// Stops the routers as planned, then the stand-ins.
    pub async fn stop(self) {
        self.stop.cancel();
        for router in self.routers {
            router.join();
        }
        for stand in self.stands {
            if let Err(error) = stand.await {
                tracing::error!(%error, "a stand-in ended badly");
            }
        }
    }

    async fn publish_document(&self, settings: &DeploymentSettings) -> Result<(), DeploymentError> {
        let (stream, id, data) = settings.first_record();
        let url = format!("http://{}/v1/streams/{stream}/records", self.addresses.log);
        let append = awc::Client::default().post(url).send_json(&json!({ "id": id, "data": data }));
        match append.await {
            Ok(answer) if answer.status().is_success() => Ok(()),
            _ => Err(DeploymentError::NotReady { what: "the log".to_owned() }),
        }
    }

    async fn wait_until_ready(&self) -> Result<(), DeploymentError> {
        let client = awc::Client::default();
        let deadline = Instant::now() + READY_WITHIN;
        for (host, ports) in &self.addresses.routers {
            let url = format!("http://{}/ready", ports.operators);
            while !client.get(&url).send().await.is_ok_and(|answer| answer.status().is_success()) {
                if deadline < Instant::now() {
                    return Err(DeploymentError::NotReady {
                        what: format!("the router on {host}"),
                    });
                }
                sleep(ASK_AGAIN).await;
            }
        }
        Ok(())
    }
}

fn stand_servers(settings: &DeploymentSettings) -> io::Result<Vec<StandServer>> {
    let mut servers = vec![
        log_server(settings.log.clone())?,
        weight_server(settings.weights)?,
        host_list_server(settings.hosts.clone())?,
        kv_server(settings.kv)?,
    ];
    for engine in &settings.engines {
        servers.push(engine_server(engine.clone())?);
    }
    for replica in &settings.replicas {
        servers.push(service_server(replica.clone())?);
    }
    Ok(servers)
}
