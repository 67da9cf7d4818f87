//! Graceful stops, reloads and restarts.

use std::time::Duration;

use fulmargate_consortium_stand::CallerRequest;
use fulmargate_consortium_stand::FakeServer;
use fulmargate_consortium_stand::ServerMode;
use serde_json::Value;
use serde_json::json;
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

/// Time between two calls of a caller.
const CALL_INTERVAL: Duration = Duration::from_millis(50);

fn short_grace(stop_grace_s: f64) -> Value {
    json!({"bounds": {
        "key_revoke_ms": 3_000, "stop_grace_s": stop_grace_s, "lease_ms": 3_000,
        "weights_ms": 6_000, "repeat_ratio": 1.0, "repeat_slack": 50.0, "repeat_window_s": 10.0,
    }})
}

async fn start_with_grace(mode: ServerMode, stop_grace_s: f64) -> TestDeployment {
    let mut deployment = TestDeployment::start(ServerMode::Answer).await;
    deployment.daemon =
        DaemonProcess::start_with_settings(deployment.store.address, &short_grace(stop_grace_s));
    deployment.callers = deployment.daemon.address("callers").await;
    deployment.readiness = deployment.daemon.address("readiness").await;
    deployment.wait_for_readiness(200).await;
    let listed = || deployment.daemon.events("server_listed").len();
    wait_until("all servers are listed", || listed() == 4).await;
    deployment.set_plain_mode(mode);
    deployment
}

/// Guards against a request that is taken late in a planned stop, passed on, and cut at its end without an answer.
#[tokio::test]
async fn a_planned_stop_cuts_no_call_that_it_took() {
    let mut deployment = start_with_grace(ServerMode::PausedEcho, 4.0).await;
    for number in 0..3 {
        let call = CallerRequest::new("/charge/x", &format!("calm-{number}"));
        assert_eq!(deployment.send(&call).await.status, 200);
    }
    deployment.daemon.signal("TERM");
    let mut calls = Vec::new();
    for number in 0.. {
        let id = format!("late-{number}");
        let (call, callers) = (CallerRequest::new("/charge/x", &id), deployment.callers);
        calls.push((id, tokio::spawn(async move { call.send(callers).await })));
        sleep(CALL_INTERVAL).await;
        if !deployment.daemon.is_running() {
            break;
        }
    }
    let seen: Vec<String> = deployment
        .plain_servers
        .iter()
        .flat_map(FakeServer::seen)
        .map(|seen| seen.id().to_owned())
        .collect();
    let mut served = 0;
    for (id, call) in calls {
        let answer = call.await.expect("the call ends");
        let status = answer.as_ref().map(|answer| answer.status).ok();
        let is_whole = answer.is_ok_and(|answer| answer.is_whole);
        match seen.contains(&id) {
            true => assert_eq!((status, is_whole), (Some(200), true), "{id} was run"),
            false => assert_ne!(status, Some(200), "{id} was not run"),
        }
        served += usize::from(status == Some(200));
    }
    assert!(10 < served, "{served} calls were served while the daemon stopped");
    assert_eq!(deployment.daemon.exit_code().await, Some(0));
}

/// Guards against a request that runs for longer than a planned stop may take and ends without any answer.
#[tokio::test]
async fn a_call_that_outlasts_a_planned_stop_gets_an_answer() {
    let mut deployment = start_with_grace(ServerMode::Hang, 3.0).await;
    let (mut call, callers) = (CallerRequest::new("/charge/x", "long"), deployment.callers);
    call.patience_ms = 20_000;
    let mut config = crate::support::initial_config();
    config.version = 2;
    config.routes.iter_mut().for_each(|route| route["timeoutMs"] = json!(20_000));
    deployment.store.put_config(&config);
    let accepted = || deployment.daemon.events("config_accepted").len();
    wait_until("the longer timeout is in force", || accepted() == 2).await;
    let task = tokio::spawn(async move { call.send(callers).await });
    wait_until("a server runs the call", || 0 < deployment.plain_request_count()).await;
    deployment.daemon.signal("TERM");
    let answer = task.await.expect("the call ends").expect("an answer");
    assert_eq!((answer.status, answer.is_whole), (504, true));
    assert_eq!(deployment.daemon.exit_code().await, Some(0));
}
