//! Quotas of teams.

use std::time::Duration;

use fulmargate_consortium_stand::CallerRequest;
use fulmargate_consortium_stand::ConfigText;
use fulmargate_consortium_stand::ServerMode;
use serde_json::Value;
use serde_json::json;
use tokio::time::sleep;

use crate::support::DaemonProcess;
use crate::support::TestDeployment;
use crate::support::initial_config;
use crate::support::wait_until;

/// Reports go from one router to another some ten times between two looks.
const REPORT_PAUSE: Duration = Duration::from_millis(300);
/// Requests without stated tokens that a quota carries at once; next to nothing comes back in a test.
const BURST_REQUESTS: usize = 16;

/// A quarter of a burst may be used at once; the rest is granted evenly over the window, an hour.
fn quota(requests: usize) -> Value {
    let burst = 4 * 200 * requests;
    json!({"unit": "token_stream", "plainTokens": 200, "ratePerS": 1, "burst": burst})
}

fn config(version: u64, quota: Value) -> ConfigText {
    ConfigText { version, quotas: vec![("red", quota)], ..initial_config() }
}

fn look(id: usize) -> CallerRequest {
    CallerRequest::new("/read/x", &format!("look-{id}"))
}

/// Puts a quota in force at routers that have run without one.
async fn put_quota(deployment: &TestDeployment, daemons: &[&DaemonProcess], quota: Value) {
    deployment.store.put_config(&config(2, quota));
    for daemon in daemons {
        wait_until("the quota is in force", || daemon.events("config_accepted").len() == 2).await;
    }
}

#[tokio::test]
async fn a_request_over_the_quota_is_refused_at_once() {
    let deployment = TestDeployment::start(ServerMode::Answer).await;
    put_quota(&deployment, &[&deployment.daemon], quota(1)).await;
    assert_eq!(deployment.send(&look(1)).await.status, 200);
    let refused = deployment.send(&look(2)).await;
    assert_eq!((refused.status, refused.says_when()), (429, true), "{}", refused.body);
    assert!(refused.body.contains("team red"), "{}", refused.body);
    assert_eq!(deployment.plain_request_count(), 1);
    let mut other = look(3);
    other.key = Some("k-blue");
    assert_eq!(deployment.send(&other).await.status, 200, "the other team has no quota");
}

/// Routers that each grant the whole quota exceed it by their number.
#[tokio::test]
async fn routers_share_a_quota() {
    let deployment = TestDeployment::start(ServerMode::Answer).await;
    let second = DaemonProcess::start(deployment.store.address);
    let address = second.address("callers").await;
    wait_until("the second router serves", || second.events("config_proven").len() == 1).await;
    put_quota(&deployment, &[&deployment.daemon, &second], quota(BURST_REQUESTS)).await;
    sleep(REPORT_PAUSE).await;
    for id in 0..BURST_REQUESTS - 2 {
        assert_eq!(deployment.send(&look(id)).await.status, 200, "request {id}");
    }
    let mut admitted = 0;
    for id in 0..BURST_REQUESTS {
        sleep(REPORT_PAUSE).await;
        let answer = look(100 + id).send(address).await.expect("an answer");
        match answer.status {
            200 => admitted += 1,
            status => assert_eq!(status, 429, "{}", answer.body),
        }
    }
    assert!(admitted <= 4, "{admitted} admitted beyond what was left");
}

/// A request that servers turned away unrun costs its team nothing.
#[tokio::test]
async fn what_did_not_run_is_given_back() {
    let deployment = TestDeployment::start(ServerMode::Answer).await;
    deployment.earn_retry_budget().await;
    put_quota(&deployment, &[&deployment.daemon], quota(1)).await;
    deployment.set_plain_mode(ServerMode::Refuse);
    assert_eq!(deployment.send(&look(1)).await.status, 503);
    deployment.set_plain_mode(ServerMode::Answer);
    assert_eq!(deployment.send(&look(2)).await.status, 200);
    assert_eq!(deployment.send(&look(3)).await.status, 429);
}

struct FaultCase {
    field: &'static str,
    value: Value,
}

/// A quota that cannot be read must not lift the limit, nor hold up the rest of the configuration.
#[tokio::test]
async fn an_unreadable_quota_leaves_the_one_before() {
    let deployment = TestDeployment::start(ServerMode::Answer).await;
    put_quota(&deployment, &[&deployment.daemon], quota(1)).await;
    assert_eq!(deployment.send(&look(1)).await.status, 200);
    let cases = [
        FaultCase { field: "ratePerS", value: json!(-1) },
        FaultCase { field: "burst", value: json!("many") },
        FaultCase { field: "plainTokens", value: json!(1e17) },
        FaultCase { field: "unit", value: json!("bytes") },
    ];
    for (number, case) in cases.iter().enumerate() {
        let mut quota = quota(1_000);
        quota[case.field] = case.value.clone();
        let mut config = config(3 + number as u64, quota);
        config.routes.push(ConfigText::route(&format!("/new-{number}/"), "idempotent", "desk"));
        deployment.store.put_config(&config);
        let faults = || deployment.daemon.events("config_unreadable");
        wait_until("the fault is told", || faults().len() == number + 1).await;
        let fault = faults()[number].clone();
        assert_eq!(fault["team"], "red", "{fault}");
        assert!(fault["reason"].as_str().is_some_and(|text| text.starts_with(case.field)));
        let accepted = || deployment.daemon.events("config_accepted").len();
        wait_until("the rest is in force", || accepted() == 3 + number).await;
        assert_eq!(deployment.send(&look(10 + number)).await.status, 429, "{}", case.field);
        let mut other = CallerRequest::new(&format!("/new-{number}/x"), &format!("new-{number}"));
        other.key = Some("k-blue");
        assert_eq!(deployment.send(&other).await.status, 200, "{}", case.field);
    }
}
