//! Configuration, keys and the list of servers.

use std::time::Duration;

use fulmargate_consortium_stand::CallerRequest;
use fulmargate_consortium_stand::ConfigText;
use fulmargate_consortium_stand::ServerMode;
use fulmargate_consortium_stand::StoreFault;
use tokio::time::sleep;

use crate::support::DaemonProcess;
use crate::support::TestDeployment;
use crate::support::initial_config;
use crate::support::wait_until;

/// Metrics are looked at so often; how long that takes is of no matter.
const MOST_READS: usize = 150;

/// Looks at one request again and again until its status is the wanted one.
async fn until_status(deployment: &TestDeployment, request: &CallerRequest, wanted: u16) {
    for turn in 0..400 {
        let mut request = request.clone();
        request.id = format!("{}-{turn}", request.id);
        if deployment.send(&request).await.status == wanted {
            return;
        }
        sleep(Duration::from_millis(20)).await;
    }
    panic!("in vain: {wanted} for {}", request.path);
}

#[tokio::test]
async fn a_new_configuration_replaces_the_old_whole() {
    let deployment = TestDeployment::start(ServerMode::Answer).await;
    let mut config = initial_config();
    config.version = 9;
    config.routes.remove(1);
    config.routes.push(ConfigText::route("/new/", "idempotent", "desk"));
    deployment.store.put_config(&config);
    until_status(&deployment, &CallerRequest::new("/new/x", "n"), 200).await;
    let gone = deployment.send(&CallerRequest::new("/read/x", "g")).await;
    assert_eq!(gone.status, 404);
    config.version = 8;
    config.routes.clear();
    deployment.store.put_config(&config);
    sleep(Duration::from_millis(300)).await;
    let kept = deployment.send(&CallerRequest::new("/new/x", "k")).await;
    assert_eq!(kept.status, 200, "an older version never comes back");
}

/// A caller is refused for good though its route is there.
/// The host's reads of the store fall silent, a route is added meanwhile, and the host goes on to answer 404
/// by the configuration that it has. From the bound on new configurations on it says that it cannot tell.
#[tokio::test]
async fn a_host_that_may_have_missed_a_route_does_not_refuse() {
    let deployment = TestDeployment::start(ServerMode::Answer).await;
    let request = CallerRequest::new("/new/x", "u");
    assert_eq!(deployment.send(&request).await.status, 404);
    deployment.store.set_fault(StoreFault::Silent);
    until_status(&deployment, &request, 503).await;
    deployment.store.set_fault(StoreFault::None);
    until_status(&deployment, &request, 404).await;
}

/// A key is taken away, and its holder goes on to be served by a host that missed it.
#[tokio::test]
async fn a_taken_key_stops() {
    let deployment = TestDeployment::start(ServerMode::Answer).await;
    let request = CallerRequest::new("/read/x", "t");
    assert_eq!(deployment.send(&request).await.status, 200);
    let mut config = initial_config();
    config.version = 2;
    config.teams = vec![("blue", "k-blue")];
    deployment.store.put_config(&config);
    until_status(&deployment, &request, 401).await;
}

/// The store turns this host away, and a key may have been taken without its knowing.
/// Once its newest proof is too old it refuses requests with a key, truly as not run, and says that
/// it is not ready; requests without a key go on. When the store is back, so is the host.
#[tokio::test]
async fn without_proof_keys_are_refused() {
    for fault in [StoreFault::Silent, StoreFault::Busy] {
        let deployment = TestDeployment::start(ServerMode::Answer).await;
        deployment.store.set_fault(fault);
        let keyed = CallerRequest::new("/read/x", "p");
        until_status(&deployment, &keyed, 503).await;
        deployment.wait_for_readiness(503).await;
        let mut open = CallerRequest::new("/anonymous/x", "o");
        open.key = None;
        assert_eq!(deployment.send(&open).await.status, 200, "{fault:?}");
        deployment.store.set_fault(StoreFault::None);
        until_status(&deployment, &keyed, 200).await;
        deployment.wait_for_readiness(200).await;
    }
}

/// A configuration comes in a form that this router cannot read; it may take keys away.
/// The store answers, but what is in force is not proved to be the newest: keys are refused until a
/// configuration comes that can be read.
#[tokio::test]
async fn an_unreadable_configuration_proves_nothing() {
    let deployment = TestDeployment::start(ServerMode::Answer).await;
    let request = CallerRequest::new("/read/x", "u");
    deployment.store.put_strange_config();
    until_status(&deployment, &request, 503).await;
    let mut config = initial_config();
    config.version = 3;
    deployment.store.put_config(&config);
    until_status(&deployment, &request, 200).await;
}

/// The store forgets its history. The newest of each key is still there and is read.
#[tokio::test]
async fn a_lost_history_is_read_anew() {
    let deployment = TestDeployment::start(ServerMode::Answer).await;
    let mut config = initial_config();
    config.version = 5;
    config.routes.push(ConfigText::route("/after/", "idempotent", "desk"));
    deployment.store.put_config(&config);
    deployment.store.forget_history();
    until_status(&deployment, &CallerRequest::new("/after/x", "h"), 200).await;
}

/// A server drains. It gets nothing new, also if an older entry turns up later.
#[tokio::test]
async fn a_draining_server_gets_nothing_new() {
    let deployment = TestDeployment::start(ServerMode::Answer).await;
    let leaving = &deployment.plain_servers[0];
    deployment.store.put_server(&leaving.name, "desk", leaving.address, "draining");
    wait_until("it is known", || !deployment.daemon.events("server_leaving").is_empty()).await;
    deployment.store.put_server(&leaving.name, "desk", leaving.address, "ready");
    let before = leaving.seen().len();
    for turn in 0..10 {
        let answer = deployment.send(&CallerRequest::new("/read/x", &format!("d-{turn}"))).await;
        assert_eq!(answer.status, 200);
        sleep(Duration::from_millis(100)).await;
    }
    assert_eq!(leaving.seen().len(), before);
    deployment.store.remove_server(&leaving.name);
    wait_until("it is gone", || !deployment.daemon.events("server_gone").is_empty()).await;
}

/// An operator asks a daemon what it believes.
#[tokio::test]
async fn status_tells_what_is_believed() {
    let deployment = TestDeployment::start(ServerMode::Answer).await;
    deployment.store.name_weights(2);
    wait_until("weights are in place", || deployment.daemon.events("weights_in_place").len() == 2)
        .await;
    let metrics = deployment.daemon.address("metrics").await;
    let status = CallerRequest::new("/status", "s").send(metrics).await.expect("status");
    let status: serde_json::Value = serde_json::from_str(&status.body).expect("JSON");
    assert_eq!(status["config_version"], 1);
    assert_eq!(status["admits_keys"], true);
    assert_eq!(status["weights"][0]["version"], 2);
    assert_eq!(status["servers"].as_array().map(Vec::len), Some(4));
    let page = CallerRequest::new("/metrics", "m").send(metrics).await.expect("metrics");
    assert!(page.body.contains("fulmargate_config_version 1"), "{}", page.body);
}

/// A host's link is full and nothing says of what.
/// What it reads of cache events is counted: pages of what sources have kept, and what is new.
#[tokio::test]
async fn bytes_of_cache_events_are_counted() {
    let deployment = TestDeployment::start(ServerMode::Answer).await;
    for kind in ["kept", "new"] {
        let counter = format!("fulmargate_cache_read_bytes_total{{kind=\"{kind}\"}}");
        let mut count = 0;
        for _ in 0..MOST_READS {
            count = deployment.daemon.counter(&counter).await;
            if 0 < count {
                break;
            }
            sleep(Duration::from_millis(100)).await;
        }
        assert!(0 < count, "{counter}");
    }
}

/// How often a daemon has asked other routers for records.
async fn asked(daemon: &DaemonProcess) -> u64 {
    daemon.counter("fulmargate_log_reads_total{source=\"router\"}").await
}

/// Which daemons go on asking others, once so many do. While they meet, one that has not heard of all
/// asks the wrong ones for a moment, so that only those count that asked in the last second.
pub(crate) async fn settled_askers(daemons: &[DaemonProcess], expected: usize) -> Vec<bool> {
    let mut asks = Vec::new();
    let mut before = vec![0; daemons.len()];
    for _ in 0..20 {
        sleep(Duration::from_secs(1)).await;
        let mut counts = Vec::new();
        for daemon in daemons {
            counts.push(asked(daemon).await);
        }
        asks = counts.iter().zip(&before).map(|(count, before)| before < count).collect();
        before = counts;
        if asks.iter().filter(|asks| **asks).count() == expected {
            return asks;
        }
    }
    panic!("{expected} of the daemons should ask others: {asks:?}");
}

/// In a large fleet most hosts do not read the store. Two of five do; the others ask them, learn of a
/// new configuration as fast, and hold proofs that are as good. When the readers are killed, the
/// others go on.
#[tokio::test]
async fn few_hosts_read_the_store_for_many() {
    let deployment = TestDeployment::start(ServerMode::Answer).await;
    // In a zone without the deployment's own daemon, which could be drawn as a reader.
    let start = |_| DaemonProcess::start_in_zone(deployment.store.address, "south", 2);
    let mut daemons: Vec<DaemonProcess> = (0..5).map(start).collect();
    let asks = settled_askers(&daemons, 3).await;
    let mut config = initial_config();
    config.version = 4;
    deployment.store.put_config(&config);
    let knows = |daemon: &DaemonProcess, version: &str| {
        daemon.events("config_accepted").iter().any(|line| line["version"] == version)
    };
    wait_until("all know the next configuration", || {
        daemons.iter().all(|daemon| knows(daemon, "4"))
    })
    .await;
    let mut asking = asks.into_iter();
    daemons.retain(|_| asking.next().unwrap_or(true));
    config.version = 5;
    deployment.store.put_config(&config);
    wait_until("the others know the one after", || daemons.iter().all(|daemon| knows(daemon, "5")))
        .await;
    assert!(daemons.iter().all(|daemon| daemon.events("config_unproven").is_empty()));
}
