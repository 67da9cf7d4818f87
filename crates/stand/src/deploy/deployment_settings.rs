//! Settings of all processes of a deployment.

use std::net::SocketAddr;

use fulmargate_config::CONFIG_STREAM;
use fulmargate_config::ConfigRecord;
use fulmargate_config::PatchRecord;
use fulmargate_names::ConfigVersion;
use fulmargate_settings::RouterSettings;
use fulmargate_settings::SettingsError;
use indexmap::IndexMap;
use serde_json::Value;
use serde_json::json;

use super::AddressPlan;
use crate::EngineSettings;
use crate::HostListSettings;
use crate::KvSettings;
use crate::ListedHost;
use crate::ListedKind;
use crate::ListedState;
use crate::LogSettings;
use crate::ServiceSettings;
use crate::WeightSettings;
use crate::deployment::Deployment;
use crate::deployment::EnginePlan;
use crate::deployment::HostPlan;
use crate::deployment::ServicePlan;
use crate::deployment::key_sha256;

/// The operators' key of every deployment.
pub const OPERATOR_KEY: &str = "fk-operators";
const STREAM_SECRET: &str = "a secret for stand-ins only";
const FIRST_PATCH: &str = "first-version";
const LOG_RETENTION_S: u64 = 3_600;
const LOG_APPENDS_PER_S: f64 = 400.0;
const LOG_APPEND_MS: f64 = 2.0;
const HOST_LIST_LAG_MS: u64 = 2_000;
const EVENT_DELAY_MS: f64 = 50.0;
const REPORT_MS: u64 = 100;
const SERVICE_WORK_MS: f64 = 4.0;
const KV_BLOCKS: usize = 200_000;
const ROUTER_WORKERS: usize = 1;
const STOP_LEAD_MS: u64 = 200;
const STOP_GRACE_MS: u64 = 10_000;

/// Settings of all processes of a deployment, and its first configuration.
#[derive(Debug, Clone)]
pub struct DeploymentSettings {
    /// The platform's log.
    pub log: LogSettings,
    /// The weight store.
    pub weights: WeightSettings,
    /// The host list.
    pub hosts: HostListSettings,
    /// The KV store.
    pub kv: KvSettings,
    /// The engines.
    pub engines: Vec<EngineSettings>,
    /// The replicas of the plain service.
    pub replicas: Vec<ServiceSettings>,
    /// The routers.
    pub routers: Vec<RouterSettings>,
    /// The operators' document.
    pub document: Value,
}

impl DeploymentSettings {
    /// Settings of the deployment at these addresses.
    pub fn new(
        deployment: &Deployment,
        addresses: &AddressPlan,
    ) -> Result<DeploymentSettings, SettingsError> {
        let engines = deployment.engines.iter();
        let replicas = deployment.replicas.iter();
        let routers = deployment.hosts.iter();
        Ok(DeploymentSettings {
            log: LogSettings {
                listen: addresses.log,
                retention_ms: LOG_RETENTION_S * 1_000,
                appends_per_s: LOG_APPENDS_PER_S,
                append_ms: LOG_APPEND_MS,
            },
            weights: WeightSettings {
                listen: addresses.weights,
                load_ms: deployment.rates.load_ms as f64,
            },
            hosts: HostListSettings {
                listen: addresses.hosts,
                lag_ms: HOST_LIST_LAG_MS,
                hosts: listed_hosts(deployment, addresses),
            },
            kv: KvSettings { listen: addresses.kv, blocks: KV_BLOCKS },
            engines: engines.map(|plan| engine(deployment, addresses, plan)).collect(),
            replicas: replicas.map(|plan| replica(deployment, addresses, plan)).collect(),
            routers: routers.map(|plan| router(addresses, plan)).collect::<Result<_, _>>()?,
            document: deployment.config_document(&addresses.server_texts()),
        })
    }

    /// Stream, id and data of the log record that puts the document into force; appended twice it
    /// is accepted once.
    pub fn first_record(&self) -> (&'static str, String, String) {
        let patch = PatchRecord {
            id: FIRST_PATCH.to_owned(),
            base: ConfigVersion(0),
            author: "stand".to_owned(),
            patch: self.document.clone(),
        };
        (CONFIG_STREAM, FIRST_PATCH.to_owned(), ConfigRecord::Patch(patch).to_data())
    }
}

fn engine(deployment: &Deployment, addresses: &AddressPlan, plan: &EnginePlan) -> EngineSettings {
    let others = deployment.engines.iter().filter(|other| other.name != plan.name);
    let neighbours: IndexMap<_, _> =
        others.map(|other| (other.name.clone(), addresses.servers[other.name.as_str()])).collect();
    EngineSettings {
        name: plan.name.clone(),
        zone: plan.zone.clone(),
        listen: addresses.servers[plan.name.as_str()],
        models: IndexMap::from([(deployment.model.clone(), 1)]),
        fenced: plan.fenced,
        rates: deployment.rates,
        event_delay_ms: EVENT_DELAY_MS,
        report_ms: REPORT_MS,
        weight_store: Some(addresses.weights),
        kv_store: Some(addresses.kv),
        neighbours,
    }
}

fn replica(
    deployment: &Deployment,
    addresses: &AddressPlan,
    plan: &ServicePlan,
) -> ServiceSettings {
    ServiceSettings {
        name: plan.name.clone(),
        zone: plan.zone.clone(),
        listen: addresses.servers[plan.name.as_str()],
        service: deployment.service.clone(),
        work_ms: SERVICE_WORK_MS,
    }
}

/// Built as a file would be, so that it is checked as one and takes the router's defaults.
fn router(addresses: &AddressPlan, plan: &HostPlan) -> Result<RouterSettings, SettingsError> {
    let ports = addresses.routers[&plan.name];
    let others = addresses.routers.iter().filter(|(name, _)| **name != plan.name);
    let seeds: Vec<SocketAddr> = others.map(|(_, other)| other.peers).collect();
    let file = json!({
        "host": plan.name,
        "zone": plan.zone,
        "callers": { "listen": ports.callers, "workers": ROUTER_WORKERS },
        "operators": { "listen": ports.operators, "key_sha256": key_sha256(OPERATOR_KEY) },
        "peers": { "listen": ports.peers, "seeds": seeds },
        "platform": {
            "log": addresses.log, "hosts": addresses.hosts, "log_retention_s": LOG_RETENTION_S,
        },
        "stream_secrets": [STREAM_SECRET],
        "stop_lead_ms": STOP_LEAD_MS,
        "stop_grace_ms": STOP_GRACE_MS,
    });
    RouterSettings::parse(plan.name.as_str(), &file.to_string())
}

fn listed_hosts(deployment: &Deployment, addresses: &AddressPlan) -> Vec<ListedHost> {
    let routers = deployment.hosts.iter().map(|host| ListedHost {
        name: host.name.to_string(),
        zone: host.zone.clone(),
        kind: ListedKind::Entry,
        address: addresses.routers[&host.name].peers.to_string(),
        state: ListedState::Live,
        incarnation: 0,
    });
    let engines = deployment.engines.iter().map(|engine| (&engine.name, &engine.zone));
    let replicas = deployment.replicas.iter().map(|replica| (&replica.name, &replica.zone));
    let servers = engines.chain(replicas).map(|(name, zone)| ListedHost {
        name: name.to_string(),
        zone: zone.clone(),
        kind: ListedKind::Server,
        address: addresses.servers[name.as_str()].to_string(),
        state: ListedState::Live,
        incarnation: 0,
    });
    routers.chain(servers).collect()
}
