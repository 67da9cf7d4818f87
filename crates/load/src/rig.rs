//! A whole deployment in threads of this process, on loopback, for comparisons on equal ground.

mod running_stands;
mod stand_control;

use std::collections::HashMap;
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

use crate::calls::CallRecord;
use crate::figures::CacheJudge;
use crate::figures::PromptTouch;
use crate::figures::judge_effects;
use crate::load_error::LoadError;
use running_stands::RunningStands;
pub use stand_control::StandControl;
pub use stand_control::StandCounts;

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
    /// Control of the stand-ins.
    pub control: StandControl,
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
        // The document's check takes `fenced` for engines only.
        for replica in &deployment.replicas {
            if let Some(entry) = document["servers"][replica.name.as_str()].as_object_mut() {
                entry.remove("fenced");
            }
        }
        publish_first_version(&stands.log, &document).await?;
        let mut rig = Rig {
            deployment: deployment.clone(),
            routers: Vec::new(),
            control: StandControl::default(),
            stands,
        };
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

    /// Judges the records of a run by what the stand-ins know: effects, and work that was given to
    /// leaving servers. The caches must have been empty at its start.
    pub async fn judge(
        &self,
        touches: &HashMap<u32, PromptTouch>,
        records: &mut [CallRecord],
    ) -> Result<(), LoadError> {
        CacheJudge::new(touches).mark_foreign(records);
        let mut effects = HashMap::new();
        for replica in &self.deployment.replicas {
            let Some(address) = self.server_address(replica.name.as_str()) else { continue };
            for (key, count) in self.control.effects(address).await? {
                *effects.entry(key).or_insert(0) += count;
            }
        }
        judge_effects(records, &effects);
        Ok(())
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
        let running = fulmargate_router::start(settings, stop.clone())
            .map_err(|error| failed_router(&error))?;
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

/// Puts the document into the log as a patch of nothing, before any router reads it.
async fn publish_first_version(log: &str, document: &Value) -> Result<(), LoadError> {
    let id = "first-version";
    let patch = json!({ "patch": { "id": id, "base": 0, "author": "rig", "patch": document } });
    let record = json!({ "id": id, "data": patch.to_string() });
    let url = format!("http://{log}/v1/streams/config/records");
    let client = Client::default();
    let deadline = Instant::now() + READY_WITHIN;
    loop {
        // The stand-in's thread may not listen yet; a second copy is refused as stale.
        let answer = client.post(&url).send_json(&record).await;
        let reason = match answer {
            Ok(answer) if answer.status().is_success() => return Ok(()),
            Ok(answer) => answer.status().to_string(),
            Err(error) => error.to_string(),
        };
        if deadline < Instant::now() {
            return Err(LoadError::Unanswered { address: log.to_owned(), reason });
        }
        sleep(POLL_EVERY).await;
    }
}
