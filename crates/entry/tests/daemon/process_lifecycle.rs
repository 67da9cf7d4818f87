//! Planned stops, reloads and restarts.

use std::time::Duration;

use fulmargate_consortium_stand::CallerRequest;
use fulmargate_consortium_stand::ServerMode;
use tokio::time::sleep;

use crate::support::DaemonProcess;
use crate::support::TestDeployment;
use crate::support::wait_until;

/// A visitor's request is cut off by a planned stop.
/// SIGTERM comes while it runs; the host is not ready any more, but still takes what arrives.
/// The request is answered, and the process ends by itself with code 0.
#[tokio::test]
async fn a_planned_stop_cuts_nothing() {
    let mut deployment = TestDeployment::start(ServerMode::Hang).await;
    let callers = deployment.callers;
    let running = tokio::spawn(async move {
        let mut request = CallerRequest::new("/charge/x", "slow");
        request.patience_ms = 1_500;
        request.send(callers).await
    });
    wait_until("it runs", || deployment.plain_servers.iter().any(|desk| !desk.seen().is_empty()))
        .await;
    deployment.daemon.signal("TERM");
    deployment.wait_for_readiness(503).await;
    deployment.set_plain_mode(ServerMode::Answer);
    let late = deployment.send(&CallerRequest::new("/read/x", "late")).await;
    assert_eq!(late.status, 200, "the balancer still sends");
    let answer = running.await.expect("the task ends").expect("an answer");
    assert_eq!(answer.status, 504, "its own timeout, not the stop");
    assert_eq!(deployment.daemon.exit_code().await, Some(0));
    let ended = deployment.daemon.events("stop_ended");
    assert_eq!(ended[0]["all_ended"], true);
}

/// SIGHUP ends a process that does not handle it, and with it all its requests.
#[tokio::test]
async fn a_hangup_ends_nothing() {
    let mut deployment = TestDeployment::start(ServerMode::Answer).await;
    deployment.daemon.signal("HUP");
    wait_until("settings are read again", || {
        !deployment.daemon.events("settings_reread").is_empty()
    })
    .await;
    let answer = deployment.send(&CallerRequest::new("/read/x", "hup")).await;
    assert_eq!(answer.status, 200);
    assert!(deployment.daemon.is_running());
}

/// All processes are killed. A new one has nothing but the store, and serves.
#[tokio::test]
async fn a_new_process_serves_from_the_store_alone() {
    let mut deployment = TestDeployment::start(ServerMode::Answer).await;
    deployment.daemon.signal("KILL");
    deployment.daemon.exit_code().await;
    deployment.daemon = DaemonProcess::start(deployment.store.address);
    wait_until("it serves", || !deployment.daemon.events("config_proven").is_empty()).await;
    wait_until("it knows the servers", || deployment.daemon.events("server_listed").len() == 4)
        .await;
}

/// A process without a configuration refuses, and says neither that a key nor a path is unknown.
#[tokio::test]
async fn without_a_configuration_nothing_is_said_of_keys() {
    let store = fulmargate_consortium_stand::StoreStand::start().await.expect("a store");
    let daemon = DaemonProcess::start(store.address);
    wait_until("it listens", || !daemon.events("process_started").is_empty()).await;
    let started = daemon.events("process_started").remove(0);
    let callers = started["callers"].as_str().and_then(|text| text.parse().ok());
    let answer = CallerRequest::new("/read/x", "early").send(callers.expect("an address")).await;
    assert_eq!(answer.expect("an answer").status, 503);
    sleep(Duration::from_millis(1)).await;
}
