//! The store is briefly unavailable and then restored from a copy that is some seconds old.

use std::time::Duration;

use fulmargate_consortium_stand::CallerRequest;
use fulmargate_consortium_stand::ConfigText;
use fulmargate_consortium_stand::FakeServer;
use fulmargate_consortium_stand::ServerMode;
use fulmargate_consortium_stand::StoreSnapshot;
use serde_json::Value;
use tokio::time::sleep;

use crate::support::DaemonProcess;
use crate::support::MAX_POLLS;
use crate::support::POLL_INTERVAL;
use crate::support::TestDeployment;
use crate::support::initial_config;
use crate::support::wait_until;

/// How long the store is silent; open connections of readers outlive it.
const OUTAGE: Duration = Duration::from_millis(300);
/// Number of polls during which a state must not change.
const STABLE_POLLS: usize = 40;
/// Longer than a lease lasts.
const LEASE_EXPIRY_WAIT: Duration = Duration::from_millis(3_100);
/// Longer than the timeout of a read that is not answered.
const OBSERVATION_TIME: Duration = Duration::from_secs(6);
/// Store calls allowed to one host in that time: listing three topics, writing missing records and about
/// six reads a second.
const MAX_STORE_CALLS: usize = 120;

/// Version 2 of the configuration, which revokes the key of team `red`.
fn config_without_red() -> ConfigText {
    ConfigText { version: 2, teams: vec![("blue", "k-blue")], ..initial_config() }
}

fn request_with_key(id: &str, key: &'static str) -> CallerRequest {
    let mut request = CallerRequest::new("/read/x", id);
    request.key = Some(key);
    request
}

/// Restores the store from a copy, and writes records before it answers again.
async fn restore(
    deployment: &TestDeployment,
    copy: &StoreSnapshot,
    write_before_return: impl FnOnce(),
) {
    deployment.store.go_back_to(copy);
    sleep(OUTAGE).await;
    write_before_return();
    deployment.store.come_back();
}

async fn wait_for_configs(daemon: &DaemonProcess, count: usize) {
    wait_until("the configuration is accepted", || daemon.events("config_accepted").len() == count)
        .await;
}

async fn wait_for_orders(engines: &[FakeServer], count: usize) {
    let all = || engines.iter().all(|engine| engine.orders().len() == count);
    wait_until("all engines have received their orders", all).await;
}

/// The daemon's status page.
pub(crate) async fn status(daemon: &DaemonProcess) -> Value {
    let metrics = daemon.address("metrics").await;
    let page =
        CallerRequest::new("/status", "s").send(metrics).await.expect("read the status page");
    serde_json::from_str(&page.body).expect("parse the status page")
}

/// The host has read records that the store lost in a restore, and others are then written at the same
/// offsets. Guards against reading on from the old offset and skipping these.
#[tokio::test]
async fn a_record_at_a_reused_offset_is_read() {
    let deployment = TestDeployment::start(ServerMode::Answer).await;
    let copy = deployment.store.copy();
    deployment.store.put_config(&config_without_red());
    deployment.store.publish_weights(2);
    wait_for_configs(&deployment.daemon, 2).await;
    wait_until("the daemon has read the weights request", || {
        !deployment.daemon.events("weights_named").is_empty()
    })
    .await;
    let mut third_config = config_without_red();
    third_config.version = 3;
    third_config.routes.push(ConfigText::route("/new/", "idempotent", "desk"));
    restore(&deployment, &copy, || {
        deployment.store.put_config(&third_config);
        deployment.store.publish_weights(2);
    })
    .await;
    wait_for_configs(&deployment.daemon, 3).await;
    let mut request = request_with_key("n", "k-blue");
    request.path = "/new/x".to_owned();
    assert_eq!(deployment.send(&request).await.status, 200);
}

/// The store has lost the configuration that revoked a key. A host that starts now must accept no keys until a
/// running host or an operator confirms which version is the newest.
#[tokio::test]
async fn a_revoked_key_stays_revoked_after_a_restore() {
    let deployment = TestDeployment::start(ServerMode::Answer).await;
    let copy = deployment.store.copy();
    deployment.store.put_config(&config_without_red());
    wait_for_configs(&deployment.daemon, 2).await;
    restore(&deployment, &copy, || ()).await;
    let new_daemon = DaemonProcess::start(deployment.store.address);
    let callers = new_daemon.address("callers").await;
    for number in 0..STABLE_POLLS * 2 {
        let answer = request_with_key(&format!("r-{number}"), "k-red").send(callers).await;
        assert_ne!(answer.expect("a response from the new daemon").status, 200, "poll {number}");
        sleep(POLL_INTERVAL).await;
    }
    let from_running_host = deployment.send(&request_with_key("known", "k-red")).await;
    assert_ne!(from_running_host.status, 200, "the running host still has version 2");
    deployment.store.put_config(&config_without_red());
    let mut number = 0;
    while request_with_key(&format!("b-{number}"), "k-blue")
        .send(callers)
        .await
        .expect("a response from the new daemon")
        .status
        != 200
    {
        assert!(number < MAX_POLLS, "timed out waiting until version 2 is in force again");
        number += 1;
        sleep(POLL_INTERVAL).await;
    }
    assert_eq!(
        request_with_key("gone", "k-red")
            .send(callers)
            .await
            .expect("a response from the new daemon")
            .status,
        401
    );
}

struct RestoreCase {
    name: &'static str,
    restores: usize,
}

const RESTORES: &[RestoreCase] =
    &[RestoreCase { name: "once", restores: 1 }, RestoreCase { name: "twice", restores: 2 }];

/// Offsets are reused after a restore. Fencing tokens must increase all the same, or engines would refuse new
/// holders of the lease or accept orders of two.
#[tokio::test]
async fn fencing_tokens_increase_across_restores() {
    for case in RESTORES {
        let deployment = TestDeployment::start(ServerMode::Stream(1)).await;
        let copy = deployment.store.copy();
        deployment.store.publish_weights(2);
        wait_for_orders(&deployment.engines, 1).await;
        for _ in 0..case.restores {
            restore(&deployment, &copy, || deployment.store.publish_weights(2)).await;
        }
        sleep(LEASE_EXPIRY_WAIT).await;
        deployment.store.publish_weights(3);
        wait_for_orders(&deployment.engines, 2).await;
        for engine in &deployment.engines {
            let orders = engine.orders();
            assert!(orders[0].fence < orders[1].fence, "{}: {orders:?}", case.name);
        }
    }
}

/// A read from an offset that the store has lost must not be repeated without a delay.
#[tokio::test]
async fn store_reads_back_off_after_a_restore() {
    let deployment = TestDeployment::start(ServerMode::Stream(1)).await;
    let copy = deployment.store.copy();
    deployment.store.publish_weights(2);
    wait_for_orders(&deployment.engines, 1).await;
    restore(&deployment, &copy, || deployment.store.publish_weights(2)).await;
    let before = deployment.store.calls();
    sleep(OBSERVATION_TIME).await;
    let calls = deployment.store.calls() - before;
    assert!(calls <= MAX_STORE_CALLS, "{calls} store calls, {MAX_STORE_CALLS} allowed");
}

/// New hosts discover a host by its record, so it must write the record again if a restore has lost it.
#[tokio::test]
async fn hosts_rewrite_lost_records_after_a_restore() {
    let deployment = TestDeployment::start(ServerMode::Answer).await;
    let copy = deployment.store.copy();
    let second_daemon = DaemonProcess::start(deployment.store.address);
    wait_until("the second daemon lists all servers", || {
        second_daemon.events("server_listed").len() == 4
    })
    .await;
    restore(&deployment, &copy, || ()).await;
    let third_daemon = DaemonProcess::start(deployment.store.address);
    for _ in 0..MAX_POLLS {
        let members = status(&third_daemon).await["members"].as_array().map_or(0, Vec::len);
        if members == 3 {
            return;
        }
        sleep(POLL_INTERVAL).await;
    }
    panic!("timed out waiting until the third host has discovered the others");
}

/// A restore brings back the entry of a server that was removed after the copy. It must not receive
/// requests until it registers again.
#[tokio::test]
async fn a_removed_server_stays_removed_after_a_restore() {
    let deployment = TestDeployment::start(ServerMode::Answer).await;
    let copy = deployment.store.copy();
    let removed = &deployment.plain_servers[1];
    deployment.store.remove_server(&removed.name);
    wait_until("the server is removed", || !deployment.daemon.events("server_gone").is_empty())
        .await;
    restore(&deployment, &copy, || ()).await;
    let listing_count = || {
        let listings = deployment.daemon.events("server_listed");
        listings.iter().filter(|line| line["server"] == removed.name.as_str()).count()
    };
    for _ in 0..STABLE_POLLS * 2 {
        assert_eq!(listing_count(), 1, "the removed server is listed again");
        sleep(POLL_INTERVAL).await;
    }
    deployment.store.put_server(&removed.name, "desk", removed.address, "ready");
    wait_until("the server is listed again", || listing_count() == 2).await;
}

/// The entry of a server that registered after the copy is missing after a restore. The server must be kept
/// until it has had time to register again.
#[tokio::test]
async fn a_server_registered_after_the_copy_is_kept() {
    let deployment = TestDeployment::start(ServerMode::Answer).await;
    let copy = deployment.store.copy();
    let new_server = FakeServer::start("desk-3", ServerMode::Answer).await.expect("start a server");
    deployment.store.put_server("desk-3", "desk", new_server.address, "ready");
    wait_until("the new server is listed", || deployment.daemon.events("server_listed").len() == 5)
        .await;
    restore(&deployment, &copy, || ()).await;
    for _ in 0..STABLE_POLLS {
        let removals = deployment.daemon.events("server_gone");
        assert!(removals.is_empty(), "removed after the restore: {removals:?}");
        sleep(POLL_INTERVAL).await;
    }
}
