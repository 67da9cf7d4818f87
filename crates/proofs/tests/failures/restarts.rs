//! A restarted router serves at once, and herds of them too.

use std::time::Duration;

use fulmargate_stand::FaultOrder;
use fulmargate_stand::deployment::Deployment;
use tokio::time::sleep;

use crate::process_fleet::ProcessFleet;
use crate::watched_load::WatchedLoad;

/// Callers that retry see no error beyond the moment of the restart. All six routers are killed at
/// once and started again; they take the configuration from the log and place prompts as before,
/// for placement needs no memory.
#[actix_rt::test]
async fn a_herd_restarts_and_serves() {
    let mut fleet = ProcessFleet::start(Deployment::shop()).await;
    let before = WatchedLoad::new(&fleet, 60.0, 3, 0.1);
    let records = before.send().await;
    before.judge(&fleet, records).await.must_be_sound(0.99);
    let routers = fleet.router_names();
    for name in &routers {
        fleet.kill(name);
    }
    for name in &routers {
        fleet.spawn(name);
    }
    for name in &routers {
        fleet.wait_until_ready(name).await;
    }
    let after = WatchedLoad::new(&fleet, 60.0, 3, 0.0);
    let records = after.send().await;
    after.judge(&fleet, records).await.must_be_sound(0.99);
}

/// A router that restarts while the log is out gets the configuration in force from its peers and
/// serves model requests; it never shows an older version. The configuration was changed shortly
/// before the outage, so that the log's first record alone would be outdated.
#[actix_rt::test]
async fn a_router_restarts_without_the_log() {
    let mut fleet = ProcessFleet::start(Deployment::shop()).await;
    let routers = fleet.router_names();
    let patch = serde_json::json!({ "classes": { "batch": { "queue_limit": 1_500 } } });
    let answer = fleet.patch(&routers[0], 1, &patch).await.expect("an answer");
    assert_eq!(answer.body["version"], 2, "{}", answer.body);
    for name in &routers {
        while fleet.version(name).await != Some(2) {
            sleep(Duration::from_millis(20)).await;
        }
    }
    let outage = FaultOrder { outage_ms: Some(60_000), ..FaultOrder::default() };
    fleet.fault("log", outage).await;
    fleet.kill(&routers[3]);
    fleet.spawn(&routers[3]);
    fleet.wait_until_ready(&routers[3]).await;
    assert_eq!(fleet.version(&routers[3]).await, Some(2));
    let load = WatchedLoad::new(&fleet, 60.0, 2, 0.0);
    let records = load.send().await;
    load.judge(&fleet, records).await.must_be_sound(0.99);
}

/// With the log out and no peer left, a router knows no configuration: it refuses with `not-run`
/// and when to come back, instead of serving a guess. When the log is back it serves.
#[actix_rt::test]
async fn a_router_without_log_and_peers_refuses() {
    let mut fleet = ProcessFleet::start(Deployment::utility()).await;
    let routers = fleet.router_names();
    for name in &routers {
        fleet.kill(name);
    }
    fleet.fault("log", FaultOrder { outage_ms: Some(60_000), ..FaultOrder::default() }).await;
    fleet.spawn(&routers[0]);
    let client = awc::Client::default();
    let url = format!("http://{}/v1/models", fleet.address(&routers[0]));
    let answer = loop {
        match client.get(&url).bearer_auth(&fleet.deployment.teams[0].key).send().await {
            Ok(answer) => break answer,
            Err(_) => sleep(Duration::from_millis(20)).await,
        }
    };
    assert_eq!(answer.status().as_u16(), 503);
    assert_eq!(answer.headers().get("x-fulmargate-error").expect("a code"), "not_ready");
    assert_eq!(answer.headers().get("x-fulmargate-disposition").expect("a disposition"), "not-run");
    assert!(answer.headers().contains_key("retry-after"));
    fleet.fault("log", FaultOrder { outage_ms: Some(0), ..FaultOrder::default() }).await;
    fleet.wait_until_ready(&routers[0]).await;
}
