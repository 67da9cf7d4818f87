//! Graceful stops, reloads and restarts.

use std::time::Duration;

use fulmargate_consortium_stand::CallerRequest;
use fulmargate_consortium_stand::ServerMode;
use tokio::time::sleep;

use crate::support::DaemonProcess;
use crate::support::TestDeployment;
use crate::support::wait_until;

/// After SIGTERM the host is not ready but still accepts requests. Running requests complete before the
/// process exits with code 0.
#[tokio::test]
async fn a_graceful_stop_completes_running_requests() {
    let mut deployment = TestDeployment::start(ServerMode::Hang).await;
    let callers = deployment.callers;
    let request_task = tokio::spawn(async move {
        let mut request = CallerRequest::new("/charge/x", "slow");
        request.patience_ms = 1_500;
        request.send(callers).await
    });
    wait_until("a server runs the request", || {
        deployment.plain_servers.iter().any(|server| !server.seen().is_empty())
    })
    .await;
    deployment.daemon.signal("TERM");
    deployment.wait_for_readiness(503).await;
    deployment.set_plain_mode(ServerMode::Answer);
    let late = deployment.send(&CallerRequest::new("/read/x", "late")).await;
    assert_eq!(late.status, 200, "requests are still accepted while stopping");
    let answer = request_task
        .await
        .expect("the request task completes")
        .expect("a response from the daemon");
    assert_eq!(answer.status, 504, "ended by its own timeout and not by the stop");
    assert_eq!(deployment.daemon.exit_code().await, Some(0));
    let ended = deployment.daemon.events("stop_ended");
    assert_eq!(ended[0]["all_ended"], true);
}

/// Guards against the default action of SIGHUP, which ends the process.
#[tokio::test]
async fn sighup_rereads_settings_without_stopping() {
    let mut deployment = TestDeployment::start(ServerMode::Answer).await;
    deployment.daemon.signal("HUP");
    wait_until("the settings are read again", || {
        !deployment.daemon.events("settings_reread").is_empty()
    })
    .await;
    let answer = deployment.send(&CallerRequest::new("/read/x", "hup")).await;
    assert_eq!(answer.status, 200);
    assert!(deployment.daemon.is_running());
}

#[tokio::test]
async fn a_restarted_process_recovers_from_the_store() {
    let mut deployment = TestDeployment::start(ServerMode::Answer).await;
    deployment.daemon.signal("KILL");
    deployment.daemon.exit_code().await;
    deployment.daemon = DaemonProcess::start(deployment.store.address);
    wait_until("the new process has confirmed its configuration", || {
        !deployment.daemon.events("config_proven").is_empty()
    })
    .await;
    wait_until("the new process lists all servers", || {
        deployment.daemon.events("server_listed").len() == 4
    })
    .await;
}

/// Without a configuration neither 401 nor 404 is known to be right.
#[tokio::test]
async fn requests_before_the_first_configuration_get_503() {
    let store = fulmargate_consortium_stand::FakeStore::start().await.expect("start the store");
    let daemon = DaemonProcess::start(store.address);
    wait_until("the daemon listens", || !daemon.events("process_started").is_empty()).await;
    let started = daemon.events("process_started").remove(0);
    let callers = started["callers"].as_str().and_then(|text| text.parse().ok());
    let answer = CallerRequest::new("/read/x", "early")
        .send(callers.expect("parse the listener address"))
        .await;
    assert_eq!(answer.expect("a response from the daemon").status, 503);
    sleep(Duration::from_millis(1)).await;
}
