//! An accepted configuration is in force everywhere within seconds and never reverts.

use std::time::Duration;

use fulmargate_stand::FaultOrder;
use fulmargate_stand::deployment::Deployment;
use serde_json::json;
use tokio::time::sleep;

use crate::process_fleet::ProcessFleet;

const ROUNDS: u64 = 12;
const POLLS: usize = 500;

/// Of operators that race with patches against one version exactly one wins, through whatever
/// router each speaks. The rounds go on while the log loses answers and routers are killed and
/// restarted; a refused operator is told so, and each accepted version comes into force everywhere.
#[actix_rt::test]
async fn one_operator_wins_each_race() {
    let mut fleet = ProcessFleet::start(Deployment::shop()).await;
    let routers = fleet.router_names();
    fleet.fault("log", FaultOrder { lose_answers: Some(0.3), ..FaultOrder::default() }).await;
    for round in 1..=ROUNDS {
        let limits = [100, 200, 300, 400].map(|limit| limit + round);
        let patches =
            limits.map(|limit| json!({ "classes": { "batch": { "queue_limit": limit } } }));
        let (one, two, three, four) = tokio::join!(
            fleet.patch(&routers[0], round, &patches[0]),
            fleet.patch(&routers[1], round, &patches[1]),
            fleet.patch(&routers[2], round, &patches[2]),
            fleet.patch(&routers[4], round, &patches[3]),
        );
        let answers = [one, two, three, four].map(|answer| answer.expect("an answer"));
        let won = answers.iter().filter(|answer| answer.status.as_u16() == 200).count();
        let stale = answers.iter().filter(|answer| answer.status.as_u16() == 412).count();
        let told: Vec<String> =
            answers.iter().map(|answer| format!("{} {}", answer.status, answer.body)).collect();
        assert_eq!((won, stale), (1, 3), "round {round}: {told:#?}");
        for name in &routers {
            must_reach(&fleet, name, round + 1).await;
        }
        if round % 4 == 0 {
            let name = &routers[(round as usize / 4) % routers.len()];
            fleet.kill(name);
            fleet.spawn(name);
            fleet.wait_until_ready(name).await;
        }
    }
}

/// The version shown by each router only rises, while routers restart, the log goes out for a while
/// and a frozen router wakes with an old version.
#[actix_rt::test]
async fn no_router_goes_back() {
    let mut fleet = ProcessFleet::start(Deployment::utility()).await;
    let routers = fleet.router_names();
    fleet.freeze(&routers[5]);
    for base in 1..=3 {
        let patch = json!({ "classes": { "urgent": { "queue_limit": 300 + base } } });
        let answer = fleet.patch(&routers[0], base, &patch).await.expect("an answer");
        assert_eq!(answer.body["version"], base + 1, "{}", answer.body);
    }
    for name in &routers[..5] {
        must_reach(&fleet, name, 4).await;
    }
    fleet.fault("log", FaultOrder { outage_ms: Some(4_000), ..FaultOrder::default() }).await;
    fleet.kill(&routers[1]);
    fleet.spawn(&routers[1]);
    fleet.thaw(&routers[5]);
    fleet.wait_until_ready(&routers[1]).await;
    assert_eq!(fleet.version(&routers[1]).await, Some(4), "restarted without the log");
    must_reach(&fleet, &routers[5], 4).await;
    let patch = json!({ "policy": "least_load" });
    let stale = fleet.patch(&routers[5], 2, &patch).await.expect("an answer");
    assert_eq!(stale.status.as_u16(), 412, "{}", stale.body);
    assert_eq!(stale.body["current"], 4);
    for name in &routers {
        assert_eq!(fleet.version(name).await, Some(4), "{name}");
    }
}

/// Waits until a router has the version; one that went beyond it or back fails.
async fn must_reach(fleet: &ProcessFleet, router: &str, wanted: u64) {
    let mut last = 0;
    for _ in 0..POLLS {
        if let Some(version) = fleet.version(router).await {
            assert!(last <= version, "{router} went back from {last} to {version}");
            last = version;
            if version == wanted {
                return;
            }
        }
        sleep(Duration::from_millis(20)).await;
    }
    panic!("{router} stays at {last} instead of {wanted}: {}", fleet.log_tail(router));
}
