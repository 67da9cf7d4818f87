//! A router with one engine, one replica of a plain service and the log, in threads of the test.

use std::net::SocketAddr;
use std::time::Duration;

use fulmargate_names::HostName;
use fulmargate_router::RunningRouter;
use fulmargate_router::StartError;
use fulmargate_stand::FaultOrder;
use fulmargate_stand::StandServer;
use fulmargate_stand::deploy::AddressPlan;
use fulmargate_stand::deploy::DeploymentSettings;
use fulmargate_stand::deploy::OPERATOR_KEY;
use fulmargate_stand::deployment::Deployment;
use fulmargate_stand::deployment::key_sha256;
use serde_json::Value;
use serde_json::json;
use tokio::time::sleep;
use tokio_util::sync::CancellationToken;
use uuid::Uuid;

const POLL: Duration = Duration::from_millis(20);
/// Polls before a wait fails the test: a bound on it, not a measure of it.
const MOST_POLLS: usize = 1_500;

/// The key of a team that may use everything.
pub(crate) const KEY: &str = "fk-shop-storefront";
/// The key of another such team.
pub(crate) const OTHER_KEY: &str = "fk-shop-brera-assistant";
/// The key of a team that may use nothing.
pub(crate) const OUTSIDER_KEY: &str = "fk-shop-outsider";
pub(crate) const MODEL: &str = "shop-model";
pub(crate) const BODY_LIMIT: usize = 64 * 1024;
const REQUEST_TIMEOUT_MS: u64 = 500;

/// What runs; dropping it stops it.
pub(crate) struct RouterBench {
    pub(crate) settings: DeploymentSettings,
    client: awc::Client,
    stop: CancellationToken,
    _router: RunningRouter,
    _addresses: AddressPlan,
}

impl RouterBench {
    /// Starts everything and waits until the router takes traffic.
    pub(crate) async fn start() -> RouterBench {
        RouterBench::start_with(|_| {}).await
    }

    /// The same with other settings.
    pub(crate) async fn start_with(change: fn(&mut DeploymentSettings)) -> RouterBench {
        let deployment = small_deployment();
        let addresses = AddressPlan::reserve(&deployment).expect("ports");
        let mut settings = DeploymentSettings::new(&deployment, &addresses).expect("settings");
        settings.routers[0].callers.body_limit_bytes = BODY_LIMIT;
        settings.routers[0].callers.request_timeout_ms = REQUEST_TIMEOUT_MS;
        settings.document["models"]["unserved-model"] = json!({ "weights": 1, "adapters": [] });
        settings.document["teams"]["outsider"] = json!({
            "key_sha256": [key_sha256(OUTSIDER_KEY)], "requests_per_s": 100,
            "prompt_tokens_per_s": 100_000, "models": [], "services": [], "class": "urgent",
        });
        // Benches share a process; what is counted by host must not be shared.
        settings.routers[0].host = HostName::new(&format!("entry-{}", Uuid::now_v7()));
        change(&mut settings);
        let stop = CancellationToken::new();
        for server in stand_servers(&settings) {
            actix_rt::spawn(server.serve(stop.clone()));
        }
        let client = awc::Client::default();
        publish_first_version(&client, &settings).await;
        let router = fulmargate_router::start(settings.routers[0].clone(), stop.clone());
        let router = router.expect("the router starts");
        let bench = RouterBench { settings, client, stop, _router: router, _addresses: addresses };
        let operators = bench.operators();
        bench
            .until("the router is ready", async || {
                get(&bench.client, operators, "/ready").await.is_some()
            })
            .await;
        bench
    }

    /// Where callers call.
    pub(crate) fn callers(&self) -> SocketAddr {
        self.settings.routers[0].callers.listen
    }

    /// Where operators call.
    pub(crate) fn operators(&self) -> SocketAddr {
        self.settings.routers[0].operators.listen
    }

    /// Tries to start another router that shares one address with this one.
    pub(crate) fn start_second(&self, shared: &str) -> Option<StartError> {
        let mut settings = self.settings.routers[0].clone();
        let free = SocketAddr::new(settings.callers.listen.ip(), 0);
        let unless = |key: &str, taken| if key == shared { taken } else { free };
        settings.callers.listen = unless("callers.listen", settings.callers.listen);
        settings.operators.listen = unless("operators.listen", settings.operators.listen);
        settings.peers.listen = unless("peers.listen", settings.peers.listen);
        fulmargate_router::start(settings, self.stop.clone()).err()
    }

    /// Brings a fault about at the replica.
    pub(crate) async fn replica_fault(&self, order: &FaultOrder) {
        let url = format!("http://{}/faults", self.settings.replicas[0].listen);
        let answer = self.client.post(url).send_json(order).await.expect("the replica answers");
        assert!(answer.status().is_success());
    }

    /// Calls that the router has sent to the replica.
    pub(crate) async fn under_way_at_replica(&self) -> u64 {
        let servers = self.operator_json("/servers").await;
        let rows = servers["servers"].as_array().cloned().unwrap_or_default();
        let name = self.settings.replicas[0].name.as_str();
        let row = rows.into_iter().find(|row| row["server"] == name).expect("the replica's row");
        row["open_requests"].as_u64().expect("a count")
    }

    /// What the operators' listener shows.
    pub(crate) async fn operator_json(&self, path: &str) -> Value {
        let url = format!("http://{}{path}", self.operators());
        let answer = self.client.get(url).bearer_auth(OPERATOR_KEY).send().await;
        answer.expect("the router answers").json().await.expect("JSON")
    }

    /// The version in force.
    pub(crate) async fn version(&self) -> u64 {
        self.operator_json("/config").await["version"].as_u64().expect("a version")
    }

    /// Waits until the router has this many open requests.
    pub(crate) async fn until_open(&self, wanted: u64) {
        for _ in 0..MOST_POLLS {
            if self.operator_json("/status").await["open_requests"] == wanted {
                return;
            }
            sleep(POLL).await;
        }
        let status = self.operator_json("/status").await;
        panic!("waited in vain for {wanted} open requests: {status}");
    }

    /// Requests that the engine has and has not ended.
    pub(crate) async fn engine_running(&self) -> u64 {
        let state = get(&self.client, self.settings.engines[0].listen, "/control/state").await;
        state.and_then(|state| state["running"].as_u64()).expect("the engine's report")
    }

    /// Effects that the replica has had, over all keys.
    pub(crate) async fn effects(&self) -> u64 {
        let effects = get(&self.client, self.settings.replicas[0].listen, "/effects").await;
        let effects = effects.expect("the replica's effects");
        effects.as_object().into_iter().flatten().filter_map(|(_, count)| count.as_u64()).sum()
    }

    /// Waits until the engine has this many requests.
    pub(crate) async fn until_running(&self, wanted: u64) {
        let what = format!("the engine has {wanted} requests");
        self.until(&what, async || self.engine_running().await == wanted).await;
    }

    /// Waits until something is so; a bound on the polls ends a test in which it never is.
    pub(crate) async fn until(&self, what: &str, is_so: impl AsyncFn() -> bool) {
        for _ in 0..MOST_POLLS {
            if is_so().await {
                return;
            }
            sleep(POLL).await;
        }
        panic!("waited in vain: {what}");
    }
}

impl Drop for RouterBench {
    fn drop(&mut self) {
        self.stop.cancel();
    }
}

fn small_deployment() -> Deployment {
    let mut deployment = Deployment::shop();
    deployment.zones.truncate(1);
    deployment.hosts.truncate(1);
    deployment.engines.truncate(1);
    deployment.replicas.truncate(1);
    deployment
}

fn stand_servers(settings: &DeploymentSettings) -> Vec<StandServer> {
    let servers = [
        fulmargate_stand::log_server(settings.log.clone()),
        fulmargate_stand::weight_server(settings.weights),
        fulmargate_stand::host_list_server(settings.hosts.clone()),
        fulmargate_stand::kv_server(settings.kv),
        fulmargate_stand::engine_server(settings.engines[0].clone()),
        fulmargate_stand::service_server(settings.replicas[0].clone()),
    ];
    servers.into_iter().map(|server| server.expect("a stand-in has its port")).collect()
}

async fn publish_first_version(client: &awc::Client, settings: &DeploymentSettings) {
    let (stream, id, data) = settings.first_record();
    let url = format!("http://{}/v1/streams/{stream}/records", settings.log.listen);
    let answer = client.post(url).send_json(&json!({ "id": id, "data": data })).await;
    assert!(answer.expect("the log answers").status().is_success());
}

async fn get(client: &awc::Client, address: SocketAddr, path: &str) -> Option<Value> {
    let mut answer = client.get(format!("http://{address}{path}")).send().await.ok()?;
    if !answer.status().is_success() {
        return None;
    }
    answer.json().await.ok()
}
