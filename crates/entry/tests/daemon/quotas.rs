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

/// Long enough for routers to exchange several usage reports.
const REPORT_PROPAGATION_TIME: Duration = Duration::from_millis(300);
/// Requests without stated tokens that the quota admits at once; hardly any quota is regained during a test.
const BURST_REQUESTS: usize = 16;

/// Only a quarter of a burst may be used at once; the rest is granted evenly over the quota window.
fn quota(requests: usize) -> Value {
    let burst = 4 * 200 * requests;
    json!({"unit": "token_stream", "plainTokens": 200, "ratePerS": 1, "burst": burst})
}

fn config(version: u64, quota: Value) -> ConfigText {
    ConfigText { version, quotas: vec![("red", quota)], ..initial_config() }
}

fn idempotent_request(id: usize) -> CallerRequest {
    CallerRequest::new("/read/x", &format!("read-{id}"))
}

/// Adds a quota to the configuration of running routers.
async fn apply_quota(deployment: &TestDeployment, daemons: &[&DaemonProcess], quota: Value) {
    deployment.store.put_config(&config(2, quota));
    for daemon in daemons {
        wait_until("the quota is in force", || daemon.events("config_accepted").len() == 2).await;
    }
}

#[tokio::test]
async fn requests_over_quota_are_rejected_immediately() {
    let deployment = TestDeployment::start(ServerMode::Answer).await;
    apply_quota(&deployment, &[&deployment.daemon], quota(1)).await;
    assert_eq!(deployment.send(&idempotent_request(1)).await.status, 200);
    let refused = deployment.send(&idempotent_request(2)).await;
    assert_eq!((refused.status, refused.says_when()), (429, true), "{}", refused.body);
    assert!(refused.body.contains("team red"), "{}", refused.body);
    assert_eq!(deployment.plain_request_count(), 1);
    let mut other = idempotent_request(3);
    other.key = Some("k-blue");
    assert_eq!(deployment.send(&other).await.status, 200, "the other team has no quota");
}

/// Guards against each router granting the whole quota.
#[tokio::test]
async fn routers_share_a_quota() {
    let deployment = TestDeployment::start(ServerMode::Answer).await;
    let second_daemon = DaemonProcess::start(deployment.store.address);
    let second_address = second_daemon.address("callers").await;
    wait_until("the second router has confirmed its configuration", || {
        second_daemon.events("config_proven").len() == 1
    })
    .await;
    apply_quota(&deployment, &[&deployment.daemon, &second_daemon], quota(BURST_REQUESTS)).await;
    sleep(REPORT_PROPAGATION_TIME).await;
    for id in 0..BURST_REQUESTS - 2 {
        assert_eq!(deployment.send(&idempotent_request(id)).await.status, 200, "request {id}");
    }
    let mut admitted = 0;
    for id in 0..BURST_REQUESTS {
        sleep(REPORT_PROPAGATION_TIME).await;
        let answer = idempotent_request(100 + id)
            .send(second_address)
            .await
            .expect("a response from the second router");
        match answer.status {
            200 => admitted += 1,
            status => assert_eq!(status, 429, "{}", answer.body),
        }
    }
    assert!(admitted <= 4, "{admitted} requests admitted beyond the remaining quota");
}

/// A request that every server refused without running it must not count towards the quota.
#[tokio::test]
async fn quota_is_refunded_for_requests_not_run() {
    let deployment = TestDeployment::start(ServerMode::Answer).await;
    deployment.earn_retry_budget().await;
    apply_quota(&deployment, &[&deployment.daemon], quota(1)).await;
    deployment.set_plain_mode(ServerMode::Refuse);
    assert_eq!(deployment.send(&idempotent_request(1)).await.status, 503);
    deployment.set_plain_mode(ServerMode::Answer);
    assert_eq!(deployment.send(&idempotent_request(2)).await.status, 200);
    assert_eq!(deployment.send(&idempotent_request(3)).await.status, 429);
}

struct InvalidQuotaCase {
    field: &'static str,
    value: Value,
}

/// An invalid quota must neither lift the limit nor block the rest of the configuration.
#[tokio::test]
async fn an_invalid_quota_keeps_the_previous_one() {
    let deployment = TestDeployment::start(ServerMode::Answer).await;
    apply_quota(&deployment, &[&deployment.daemon], quota(1)).await;
    assert_eq!(deployment.send(&idempotent_request(1)).await.status, 200);
    let cases = [
        InvalidQuotaCase { field: "ratePerS", value: json!(-1) },
        InvalidQuotaCase { field: "burst", value: json!("many") },
        InvalidQuotaCase { field: "plainTokens", value: json!(1e17) },
        InvalidQuotaCase { field: "unit", value: json!("bytes") },
    ];
    for (number, case) in cases.iter().enumerate() {
        let mut quota = quota(1_000);
        quota[case.field] = case.value.clone();
        let mut config = config(3 + number as u64, quota);
        config.routes.push(ConfigText::route(&format!("/new-{number}/"), "idempotent", "desk"));
        deployment.store.put_config(&config);
        let rejections = || deployment.daemon.events("config_unreadable");
        wait_until("the invalid quota is logged", || rejections().len() == number + 1).await;
        let rejection = rejections()[number].clone();
        assert_eq!(rejection["team"], "red", "{rejection}");
        assert!(rejection["reason"].as_str().is_some_and(|text| text.starts_with(case.field)));
        let accepted = || deployment.daemon.events("config_accepted").len();
        wait_until("the rest of the configuration is in force", || accepted() == 3 + number).await;
        assert_eq!(
            deployment.send(&idempotent_request(10 + number)).await.status,
            429,
            "{}",
            case.field
        );
        let mut other = CallerRequest::new(&format!("/new-{number}/x"), &format!("new-{number}"));
        other.key = Some("k-blue");
        assert_eq!(deployment.send(&other).await.status, 200, "{}", case.field);
    }
}
