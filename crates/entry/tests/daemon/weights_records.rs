//! Hosts that start when no other one is there learn from the store how old versions of weights are.

use std::time::Duration;

use fulmargate_consortium_stand::CallerRequest;
use fulmargate_consortium_stand::ConfigText;
use fulmargate_consortium_stand::FakeServer;
use fulmargate_consortium_stand::FakeStore;
use fulmargate_consortium_stand::OrderRejection;
use fulmargate_consortium_stand::ServerMode;
use serde_json::Value;
use serde_json::json;
use tokio::task::JoinSet;
use tokio::time::Instant;
use tokio::time::interval;
use tokio::time::sleep;
use tokio::time::sleep_until;

use crate::support::DaemonProcess;
use crate::support::MAX_POLLS;
use crate::support::POLL_INTERVAL;
use crate::support::TestDeployment;
use crate::support::initial_config;
use crate::support::wait_until;

/// Time after a version was named from which no prompt may begin on older weights.
const WEIGHTS_BOUND: Duration = Duration::from_secs(12);
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);
/// Time between two versions.
const VERSION_GAP: Duration = Duration::from_secs(3);
/// Time for which all hosts are gone.
const DOWN_TIME: Duration = Duration::from_secs(2);
/// Time for which prompts are sent that must not be served.
const REFUSAL_TIME: Duration = Duration::from_secs(2);
/// How long the store is silent before it comes back as a copy.
const OUTAGE: Duration = Duration::from_millis(300);

fn settings() -> Value {
    json!({
        "bounds": {
            "key_revoke_ms": 3_000, "stop_grace_s": 8.0, "lease_ms": 1_500,
            "weights_ms": WEIGHTS_BOUND.as_millis() as u64,
            "heartbeat_ms": HEARTBEAT_INTERVAL.as_millis() as u64, "repeat_ratio": 1.0,
            "repeat_slack": 50.0, "repeat_window_s": 10.0, "quota_window_s": 3_600.0,
        },
    })
}

/// Hosts before servers that write heartbeats, and engines that keep version 1.
struct RecordFleet {
    deployment: TestDeployment,
    hosts: Vec<DaemonProcess>,
    _heartbeats: JoinSet<()>,
}

impl RecordFleet {
    async fn start() -> RecordFleet {
        let mut deployment = TestDeployment::start(ServerMode::Stream(1)).await;
        let orders = OrderRejection::All;
        deployment.engines.iter().for_each(|engine| engine.set_rejects_orders(orders));
        deployment.daemon.signal("KILL");
        deployment.daemon.exit_code().await;
        let mut heartbeats = JoinSet::new();
        heartbeats.spawn(write_heartbeats(deployment.store.clone()));
        let mut fleet = RecordFleet { deployment, hosts: Vec::new(), _heartbeats: heartbeats };
        for _ in 0..2 {
            let host = fleet.start_host().await;
            fleet.hosts.push(host);
        }
        fleet
    }

    async fn start_host(&self) -> DaemonProcess {
        let store = self.deployment.store.address;
        let host = DaemonProcess::start_with_settings(store, &settings());
        wait_until("the host lists all servers", || host.events("server_listed").len() == 4).await;
        host
    }

    /// Names a version and waits until a host has written its age. Returns a time before it was named.
    async fn name_version(&self, version: u64) -> Instant {
        let before = Instant::now();
        self.deployment.store.publish_weights(version);
        self.wait_for_record(version).await;
        before
    }

    async fn wait_for_record(&self, version: u64) {
        let target = version.to_string();
        let count = || {
            let records = self.hosts.iter().flat_map(|host| host.events("weights_recorded"));
            records.filter(|line| line["target"] == target.as_str()).count()
        };
        wait_until("the age is written", || 0 < count()).await;
    }

    async fn kill_all(&mut self) {
        for host in &mut self.hosts {
            host.signal("KILL");
            host.exit_code().await;
        }
        self.hosts.clear();
    }

    fn prompts_seen(&self) -> usize {
        self.deployment.engines.iter().map(|engine| FakeServer::seen(engine).len()).sum()
    }

    /// Sends prompts to a host for a while and checks that none reaches an engine.
    async fn check_refused(&self, host: &DaemonProcess) {
        let callers = host.address("callers").await;
        let before = self.prompts_seen();
        let end = Instant::now() + REFUSAL_TIME;
        while Instant::now() < end {
            // Any response will do: the engines count what reaches them.
            let _ = CallerRequest::prompt("/chat/x", "late").send(callers).await;
            sleep(POLL_INTERVAL).await;
        }
        assert_eq!(self.prompts_seen() - before, 0, "prompts that began on version 1");
    }
}

async fn write_heartbeats(store: FakeStore) {
    // Heartbeats that are late on a busy machine are made up for.
    let mut ticks = interval(HEARTBEAT_INTERVAL);
    loop {
        ticks.tick().await;
        store.write_heartbeats();
    }
}

/// Sends a request to a host until it is served.
async fn wait_until_served(host: &DaemonProcess, request: &CallerRequest) {
    let callers = host.address("callers").await;
    for _ in 0..MAX_POLLS {
        if request.send(callers).await.is_ok_and(|response| response.status == 200) {
            return;
        }
        sleep(POLL_INTERVAL).await;
    }
    panic!("timed out waiting until {} is served", request.path);
}

/// All hosts are killed after a version was named. Guards against refusing all prompts until the engines have loaded
/// it, and against serving them beyond its bound.
#[tokio::test]
async fn hosts_that_start_alone_serve_until_the_bound() {
    let mut fleet = RecordFleet::start().await;
    let named = fleet.name_version(2).await;
    fleet.kill_all().await;
    sleep(DOWN_TIME).await;
    let host = fleet.start_host().await;
    wait_until_served(&host, &CallerRequest::prompt("/chat/x", "early")).await;
    sleep_until(named + WEIGHTS_BOUND).await;
    fleet.check_refused(&host).await;
}

/// All hosts are killed after two versions were named. Guards against counting from the newest, and against forgetting
/// the first with the record of the second.
#[tokio::test]
async fn hosts_that_start_alone_keep_to_the_bound_of_the_first_of_two_versions() {
    let mut fleet = RecordFleet::start().await;
    let named = fleet.name_version(2).await;
    sleep(VERSION_GAP).await;
    fleet.name_version(3).await;
    fleet.kill_all().await;
    let host = fleet.start_host().await;
    wait_until_served(&host, &CallerRequest::prompt("/chat/x", "early")).await;
    sleep_until(named + WEIGHTS_BOUND).await;
    fleet.check_refused(&host).await;
}

/// All hosts are killed twice, after a version each. Guards against a host that writes only what it has seen itself
/// over what it has read.
#[tokio::test]
async fn what_a_host_learned_from_the_store_outlives_it() {
    let mut fleet = RecordFleet::start().await;
    let named = fleet.name_version(2).await;
    fleet.kill_all().await;
    let host = fleet.start_host().await;
    fleet.hosts.push(host);
    fleet.name_version(3).await;
    fleet.kill_all().await;
    let host = fleet.start_host().await;
    wait_until_served(&host, &CallerRequest::prompt("/chat/x", "early")).await;
    sleep_until(named + WEIGHTS_BOUND).await;
    fleet.check_refused(&host).await;
}

/// The store has dropped its history when the hosts start. Guards against a record that is found only by reading on.
#[tokio::test]
async fn hosts_that_start_alone_serve_without_the_history_of_the_store() {
    let mut fleet = RecordFleet::start().await;
    fleet.name_version(2).await;
    fleet.kill_all().await;
    fleet.deployment.store.delete_history();
    let host = fleet.start_host().await;
    wait_until_served(&host, &CallerRequest::prompt("/chat/x", "early")).await;
}

/// The store is restored from a copy while all hosts are gone. Guards against counting heartbeats from one epoch in
/// another, where offsets are assigned again.
#[tokio::test]
async fn a_record_of_another_epoch_tells_no_age() {
    let mut fleet = RecordFleet::start().await;
    fleet.name_version(2).await;
    let copy = fleet.deployment.store.copy();
    fleet.kill_all().await;
    fleet.deployment.store.go_back_to(&copy);
    sleep(OUTAGE).await;
    fleet.deployment.store.come_back();
    let host = fleet.start_host().await;
    fleet.deployment.store.put_config(&ConfigText { version: 2, ..initial_config() });
    wait_until_served(&host, &CallerRequest::new("/read/x", "plain")).await;
    fleet.check_refused(&host).await;
}

/// Guards against calls to the store at each look: a version costs one record, or two if the lease changes hands.
#[tokio::test]
async fn a_version_is_recorded_once() {
    let fleet = RecordFleet::start().await;
    let records = |fleet: &RecordFleet| -> usize {
        fleet.hosts.iter().map(|host| host.events("weights_recorded").len()).sum()
    };
    sleep(OUTAGE).await;
    assert_eq!(records(&fleet), 0, "records without a new version");
    fleet.name_version(2).await;
    sleep(VERSION_GAP).await;
    assert_eq!(records(&fleet), 1);
    fleet.name_version(3).await;
    sleep(VERSION_GAP).await;
    assert_eq!(records(&fleet), 2);
}
