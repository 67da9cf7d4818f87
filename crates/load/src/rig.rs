//! A whole deployment in threads of this process, on loopback, for comparisons on equal ground.

mod running_stands;

use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::time::Duration;

use awc::Client;
use fulmargate_router::RunningRouter;
use fulmargate_settings::CallerSettings;
use fulmargate_settings::LogFormat;
use fulmargate_settings::OperatorSettings;
use fulmargate_settings::PeerSettings;
use fulmargate_settings::PlatformSettings;
use fulmargate_settings::RouterSettings;
use fulmargate_stand::deployment::Deployment;
use fulmargate_stand::deployment::HostPlan;
use fulmargate_stand::deployment::key_sha256;
use serde_json::Value;
use serde_json::json;
use tokio::time::Instant;
use tokio::time::sleep;
use tokio_util::sync::CancellationToken;

use crate::load_error::LoadError;
use running_stands::RunningStands;

/// The operators' key of every rig.
pub const OPERATOR_KEY: &str = "operator-key-of-the-rig";
const STREAM_SECRET: &str = "stream-secret-of-the-rig";
const READY_WITHIN: Duration = Duration::from_secs(20);
const POLL_EVERY: Duration = Duration::from_millis(20);
const CLAIM_SHARDS: u32 = 1;
const LOG_RETENTION_S: u64 = 3_600;

/// One router of a rig.
pub struct RigRouter {
    /// Its zone.
    pub zone: String,
    /// Address for callers.
    pub callers: String,
    /// Address for operators.
    pub operators: String,
    running: RunningRouter,
    stop: CancellationToken,
}

/// A deployment that runs.
pub struct Rig {
    /// What runs.
    pub deployment: Deployment,
    /// The routers, in the order of the deployment's entry hosts.
    pub routers: Vec<RigRouter>,
    stands: RunningStands,
}

/// An address of loopback whose port the system chooses.
fn any_port() -> SocketAddr {
    SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 0)
}

impl Rig {
    /// Starts all stand-ins with empty caches, then all routers, and waits until they are ready.
    pub async fn start(deployment: &Deployment, policy: &str) -> Result<Rig, LoadError> {
        let stands = RunningStands::start(deployment)?;
        let mut document = deployment.config_document(&stands.servers);
        document["policy"] = json!(policy);
        publish_first_version(&stands.log, &document).await?;
        let mut rig = Rig { deployment: deployment.clone(), routers: Vec::new(), stands };
        for host in &deployment.hosts {
            let router = rig.start_router(host)?;
            rig.routers.push(router);
        }
        rig.wait_until_ready().await?;
        Ok(rig)
    }

    /// Addresses of all routers for callers.
    pub fn caller_addresses(&self) -> Vec<String> {
        self.routers.iter().map(|router| router.callers.clone()).collect()
    }

    /// Address of a backend server.
    pub fn server_address(&self, name: &str) -> Option<&str> {
        self.stands.servers.get(name).map(String::as_str)
    }

    /// Address of the platform's log.
    pub fn log_address(&self) -> &str {
        &self.stands.log
    }

    /// Stops the routers, then the stand-ins.
    pub fn stop(self) {
        for router in &self.routers {
            router.stop.cancel();
        }
        for router in self.routers {
            router.running.join();
        }
        self.stands.stop();
    }

    fn start_router(&self, host: &HostPlan) -> Result<RigRouter, LoadError> {
        let settings = self.router_settings(host)?;
        let stop = CancellationToken::new();
        let running = fulmargate_router::start(settings, stop.clone()).map_err(|error| failed_router(&error))?;
        let addresses = running.addresses();
        Ok(RigRouter {
            zone: host.zone.to_string(),
            callers: addresses.callers.to_string(),
            operators: addresses.operators.to_string(),
            running,
            stop,
        })
    }

    fn router_settings(&self, host: &HostPlan) -> Result<RouterSettings, LoadError> {
        let address = |text: &str| {
            text.parse::<SocketAddr>()
                .map_err(|error| LoadError::Failed { what: "address", reason: error.to_string() })
        };
        Ok(RouterSettings {
            host: host.name.clone(),
            zone: host.zone.clone(),
            callers: CallerSettings {
                listen: any_port(),
                workers: 1,
                body_limit_bytes: 4 << 20,
                request_timeout_ms: 10_000,
            },
            operators: OperatorSettings {
                listen: any_port(),
                key_sha256: key_sha256(OPERATOR_KEY),
            },
            peers: PeerSettings {
                listen: any_port(),
                seeds: self.routers.iter().map(|router| router.running.addresses().peers).collect(),
            },
            platform: PlatformSettings {
                log: address(&self.stands.log)?,
                hosts: None,
                claim_shards: CLAIM_SHARDS,
                log_retention_s: LOG_RETENTION_S,
            },
            stream_secrets: vec![STREAM_SECRET.to_owned()],
            log_format: LogFormat::default(),
            stop_lead_ms: 0,
            stop_grace_ms: 2_000,
        })
    }

    async fn wait_until_ready(&self) -> Result<(), LoadError> {
        let client = Client::default();
        let deadline = Instant::now() + READY_WITHIN;
        for router in &self.routers {
            let url = format!("http://{}/ready", router.operators);
            while !client.get(&url).send().await.is_ok_and(|answer| answer.status().is_success()) {
                if deadline < Instant::now() {
                    let reason = "the router did not become ready".to_owned();
                    return Err(LoadError::Unanswered { address: url, reason });
                }
                sleep(POLL_EVERY).await;
            }
        }
        Ok(())
    }
}

fn failed_router(error: &fulmargate_router::StartError) -> LoadError {
    LoadError::Failed { what: "router", reason: error.to_string() }
}

/// Puts the document into the log as version 1, before any router reads it.
async fn publish_first_version(log: &str, document: &Value) -> Result<(), LoadError> {
    let snapshot =
        json!({ "snapshot": { "covers_offset": 0, "version": 1, "document": document } });
    let record = json!({ "id": "first-version", "data": snapshot.to_string() });
    let url = format!("http://{log}/v1/streams/config/records");
    let unanswered = |reason: String| LoadError::Unanswered { address: log.to_owned(), reason };
    let answer = Client::default()
        .post(&url)
        .send_json(&record)
        .await
        .map_err(|error| unanswered(error.to_string()))?;
    match answer.status().is_success() {
        true => Ok(()),
        false => Err(unanswered(answer.status().to_string())),
    }
}
