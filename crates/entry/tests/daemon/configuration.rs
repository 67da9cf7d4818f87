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

/// Bounds the wait by a number of reads and not by time.
const MAX_METRIC_READS: usize = 150;

/// Repeats a request until it is answered with the expected status.
async fn wait_for_status(deployment: &TestDeployment, request: &CallerRequest, expected: u16) {
    for number in 0..400 {
        let mut request = request.clone();
        request.id = format!("{}-{number}", request.id);
        if deployment.send(&request).await.status == expected {
            return;
        }
        sleep(Duration::from_millis(20)).await;
    }
    panic!("timed out waiting for status {expected} for {}", request.path);
}

#[tokio::test]
async fn a_newer_configuration_replaces_the_previous_one() {
    let deployment = TestDeployment::start(ServerMode::Answer).await;
    let mut config = initial_config();
    config.version = 9;
    config.routes.remove(1);
    config.routes.push(ConfigText::route("/new/", "idempotent", "desk"));
    deployment.store.put_config(&config);
    wait_for_status(&deployment, &CallerRequest::new("/new/x", "n"), 200).await;
    let removed_route = deployment.send(&CallerRequest::new("/read/x", "g")).await;
    assert_eq!(removed_route.status, 404);
    config.version = 8;
    config.routes.clear();
    deployment.store.put_config(&config);
    sleep(Duration::from_millis(300)).await;
    let after_older_version = deployment.send(&CallerRequest::new("/new/x", "k")).await;
    assert_eq!(after_older_version.status, 200, "an older version must be ignored");
}

/// A host cut off from the store must not answer 404 for a route that was added meanwhile. Once its
/// configuration is older than the limit it answers 503.
#[tokio::test]
async fn a_stale_configuration_yields_503_instead_of_404() {
    let deployment = TestDeployment::start(ServerMode::Answer).await;
    let request = CallerRequest::new("/new/x", "u");
    assert_eq!(deployment.send(&request).await.status, 404);
    deployment.store.set_fault(StoreFault::Silent);
    wait_for_status(&deployment, &request, 503).await;
    deployment.store.set_fault(StoreFault::None);
    wait_for_status(&deployment, &request, 404).await;
}

#[tokio::test]
async fn a_revoked_key_is_rejected() {
    let deployment = TestDeployment::start(ServerMode::Answer).await;
    let request = CallerRequest::new("/read/x", "t");
    assert_eq!(deployment.send(&request).await.status, 200);
    let mut config = initial_config();
    config.version = 2;
    config.teams = vec![("blue", "k-blue")];
    deployment.store.put_config(&config);
    wait_for_status(&deployment, &request, 401).await;
}

/// A host that cannot reach the store may have missed the removal of a key. After the limit it refuses
/// requests with a key as not run and is not ready; requests without a key are still served.
#[tokio::test]
async fn keys_are_refused_while_the_configuration_is_unconfirmed() {
    for fault in [StoreFault::Silent, StoreFault::Busy] {
        let deployment = TestDeployment::start(ServerMode::Answer).await;
        deployment.store.set_fault(fault);
        let with_key = CallerRequest::new("/read/x", "p");
        wait_for_status(&deployment, &with_key, 503).await;
        deployment.wait_for_readiness(503).await;
        let mut without_key = CallerRequest::new("/anonymous/x", "o");
        without_key.key = None;
        assert_eq!(deployment.send(&without_key).await.status, 200, "{fault:?}");
        deployment.store.set_fault(StoreFault::None);
        wait_for_status(&deployment, &with_key, 200).await;
        deployment.wait_for_readiness(200).await;
    }
}

/// A configuration in an unknown format may revoke keys. Keys are refused until a readable one follows.
#[tokio::test]
async fn keys_are_refused_after_an_unreadable_configuration() {
    let deployment = TestDeployment::start(ServerMode::Answer).await;
    let request = CallerRequest::new("/read/x", "u");
    deployment.store.put_malformed_config();
    wait_for_status(&deployment, &request, 503).await;
    let mut config = initial_config();
    config.version = 3;
    deployment.store.put_config(&config);
    wait_for_status(&deployment, &request, 200).await;
}

/// The store has truncated its topics; the latest record of each key is still there.
#[tokio::test]
async fn truncated_topics_are_read_again() {
    let deployment = TestDeployment::start(ServerMode::Answer).await;
    let mut config = initial_config();
    config.version = 5;
    config.routes.push(ConfigText::route("/after/", "idempotent", "desk"));
    deployment.store.put_config(&config);
    deployment.store.delete_history();
    wait_for_status(&deployment, &CallerRequest::new("/after/x", "h"), 200).await;
}

/// An older `ready` entry that arrives later must not undo the draining state.
#[tokio::test]
async fn a_draining_server_receives_no_new_requests() {
    let deployment = TestDeployment::start(ServerMode::Answer).await;
    let draining_server = &deployment.plain_servers[0];
    deployment.store.put_server(&draining_server.name, "desk", draining_server.address, "draining");
    wait_until("the daemon knows that it is draining", || {
        !deployment.daemon.events("server_leaving").is_empty()
    })
    .await;
    deployment.store.put_server(&draining_server.name, "desk", draining_server.address, "ready");
    let count_before = draining_server.seen().len();
    for number in 0..10 {
        let answer = deployment.send(&CallerRequest::new("/read/x", &format!("d-{number}"))).await;
        assert_eq!(answer.status, 200);
        sleep(Duration::from_millis(100)).await;
    }
    assert_eq!(draining_server.seen().len(), count_before);
    deployment.store.remove_server(&draining_server.name);
    wait_until("the server is removed", || !deployment.daemon.events("server_gone").is_empty())
        .await;
}

#[tokio::test]
async fn the_status_page_reports_the_current_state() {
    let deployment = TestDeployment::start(ServerMode::Answer).await;
    deployment.store.publish_weights(2);
    wait_until("both engines have the weights", || {
        deployment.daemon.events("weights_in_place").len() == 2
    })
    .await;
    let metrics = deployment.daemon.address("metrics").await;
    let status =
        CallerRequest::new("/status", "s").send(metrics).await.expect("read the status page");
    let status: serde_json::Value =
        serde_json::from_str(&status.body).expect("parse the status page");
    assert_eq!(status["config_version"], 1);
    assert_eq!(status["admits_keys"], true);
    assert_eq!(status["weights"][0]["version"], 2);
    assert_eq!(status["servers"].as_array().map(Vec::len), Some(4));
    let page =
        CallerRequest::new("/metrics", "m").send(metrics).await.expect("read the metrics page");
    assert!(page.body.contains("fulmargate_config_version 1"), "{}", page.body);
}

/// Both snapshots of cache contents and new events count towards the load of the host's link.
#[tokio::test]
async fn cache_event_bytes_are_counted() {
    let deployment = TestDeployment::start(ServerMode::Answer).await;
    for kind in ["kept", "new"] {
        let counter = format!("fulmargate_cache_read_bytes_total{{kind=\"{kind}\"}}");
        let mut count = 0;
        for _ in 0..MAX_METRIC_READS {
            count = deployment.daemon.counter(&counter).await;
            if 0 < count {
                break;
            }
            sleep(Duration::from_millis(100)).await;
        }
        assert!(0 < count, "{counter}");
    }
}

/// Reads of records from other routers.
async fn router_read_count(daemon: &DaemonProcess) -> u64 {
    daemon.counter("fulmargate_log_reads_total{source=\"router\"}").await
}

/// Waits until `expected` daemons read records through other routers, and returns which ones do. Only
/// reads of the last second count: during discovery a daemon may briefly read from the wrong router.
pub(crate) async fn wait_for_indirect_readers(
    daemons: &[DaemonProcess],
    expected: usize,
) -> Vec<bool> {
    let mut reads_indirectly = Vec::new();
    let mut previous = vec![0; daemons.len()];
    for _ in 0..20 {
        sleep(Duration::from_secs(1)).await;
        let mut counts = Vec::new();
        for daemon in daemons {
            counts.push(router_read_count(daemon).await);
        }
        reads_indirectly =
            counts.iter().zip(&previous).map(|(count, previous)| previous < count).collect();
        previous = counts;
        if reads_indirectly.iter().filter(|reads_indirectly| **reads_indirectly).count() == expected
        {
            return reads_indirectly;
        }
    }
    panic!("{expected} daemons should read through other routers: {reads_indirectly:?}");
}

/// In a zone with more than `few_hosts` hosts only two read the store. The others receive and confirm
/// configurations through them, and take over when the readers are killed.
#[tokio::test]
async fn most_hosts_read_records_from_other_routers() {
    let deployment = TestDeployment::start(ServerMode::Answer).await;
    // The deployment's own daemon is in another zone and cannot become a reader here.
    let start = |_| DaemonProcess::start_in_zone(deployment.store.address, "south", 2);
    let mut daemons: Vec<DaemonProcess> = (0..5).map(start).collect();
    let reads_indirectly = wait_for_indirect_readers(&daemons, 3).await;
    let mut config = initial_config();
    config.version = 4;
    deployment.store.put_config(&config);
    let has_accepted = |daemon: &DaemonProcess, version: &str| {
        daemon.events("config_accepted").iter().any(|line| line["version"] == version)
    };
    wait_until("all daemons have version 4", || {
        daemons.iter().all(|daemon| has_accepted(daemon, "4"))
    })
    .await;
    let mut retained = reads_indirectly.into_iter();
    daemons.retain(|_| retained.next().unwrap_or(true));
    config.version = 5;
    deployment.store.put_config(&config);
    wait_until("the remaining daemons have version 5", || {
        daemons.iter().all(|daemon| has_accepted(daemon, "5"))
    })
    .await;
    assert!(daemons.iter().all(|daemon| daemon.events("config_unproven").is_empty()));
}
