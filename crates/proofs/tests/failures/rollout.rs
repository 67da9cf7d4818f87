//! New weights reach all engines under load, whatever becomes of who gives the orders.

use std::time::Duration;

use awc::Client;
use fulmargate_load::CallRecord;
use fulmargate_stand::FaultOrder;
use fulmargate_stand::deployment::Deployment;
use serde_json::Value;
use serde_json::json;
use tokio::time::sleep;

use crate::process_fleet::ProcessFleet;
use crate::rollout_watch::RolloutWatch;
use crate::watched_load::LoadOutcome;
use crate::watched_load::WatchedLoad;

/// Longer than a lease of 6 s.
const FROZEN: Duration = Duration::from_secs(9);

/// Callers see nothing of a rollout. An operator asks for weights 2; in each zone whoever holds the
/// lease orders the loads, two at a time, and traffic goes where nothing loads. Once each engine
/// has confirmed, no answer is of the old weights.
#[actix_rt::test]
async fn a_rollout_fails_no_request() {
    let fleet = ProcessFleet::start(Deployment::shop()).await;
    slow_loads(&fleet).await;
    let watch = RolloutWatch::start(&fleet);
    let load = WatchedLoad::new(&fleet, 40.0, 14, 0.0).weights(1, 2);
    let rollout = async {
        sleep(Duration::from_millis(1_500)).await;
        want(&fleet, 1, 2).await;
        watch.wait_until(fleet.engine_names().len(), 2).await;
    };
    let (records, ()) = tokio::join!(load.send(), rollout);
    print_first_tokens("rollout", &records);
    load.judge(&fleet, records).await.must_be_unharmed();
    must_answer_with(&fleet, 2).await;
    watch.must_be_orderly();
}

/// Engines would be loaded with weights that nobody wants any more, or too many at once. The holder
/// of a zone's lease is stopped in its tracks for longer than its lease, in the middle of a rollout
/// that it orders; meanwhile newer weights are asked for and the next holder orders them; then it
/// wakes with the old wish and a lease that it believes in.
#[actix_rt::test]
async fn a_frozen_holder_does_no_harm() {
    let fleet = ProcessFleet::start(Deployment::shop()).await;
    slow_loads(&fleet).await;
    let watch = RolloutWatch::start(&fleet);
    let zone = fleet.deployment.zones[1].to_string();
    let load = WatchedLoad::new(&fleet, 30.0, 22, 0.0).weights(1, 3);
    let routers = fleet.router_names();
    let rollout = async {
        sleep(Duration::from_millis(1_500)).await;
        want(&fleet, 1, 2).await;
        watch.wait_until(2, 2).await;
        let holder = holder(&fleet, &zone).await;
        fleet.freeze(&holder);
        let other = routers.iter().find(|name| !name.contains(&zone)).expect("another zone");
        let answer = fleet.patch(other, 2, &weights_patch(&fleet, 3)).await.expect("an answer");
        assert_eq!(answer.status.as_u16(), 200, "{}", answer.body);
        sleep(FROZEN).await;
        fleet.thaw(&holder);
        watch.wait_until(fleet.engine_names().len(), 3).await;
        let next = self::holder(&fleet, &zone).await;
        assert_ne!(next, holder, "the lease of the frozen holder went to nobody else");
    };
    let (records, ()) = tokio::join!(load.send(), rollout);
    load.judge(&fleet, records).await.must_be_sound(0.95);
    must_answer_with(&fleet, 3).await;
    watch.must_be_orderly();
}

/// A load takes a second instead of a third of one, so that the rollout lasts.
async fn slow_loads(fleet: &ProcessFleet) {
    let order = FaultOrder { slow_factor: Some(3.0), ..FaultOrder::default() };
    fleet.fault("weights", order).await;
}

fn weights_patch(fleet: &ProcessFleet, weights: u64) -> Value {
    json!({ "models": { fleet.deployment.model.as_str(): { "weights": weights } } })
}

async fn want(fleet: &ProcessFleet, base: u64, weights: u64) {
    let router = &fleet.router_names()[0];
    let answer = fleet.patch(router, base, &weights_patch(fleet, weights)).await;
    let answer = answer.expect("an answer");
    assert_eq!(answer.status.as_u16(), 200, "{}", answer.body);
}

/// No answer is of older weights from now on.
async fn must_answer_with(fleet: &ProcessFleet, weights: u64) {
    // Each router asks each engine twice a second.
    sleep(Duration::from_secs(1)).await;
    let load = WatchedLoad::new(fleet, 40.0, 3, 0.0).weights(weights, weights);
    let records = load.send().await;
    print_first_tokens("calm", &records);
    load.judge(fleet, records).await.must_be_unharmed();
}

/// A figure beside the verdict; nothing is asserted of it.
fn print_first_tokens(run: &str, records: &[CallRecord]) {
    let mut times: Vec<Duration> = records.iter().filter_map(|record| record.first_token).collect();
    times.sort_unstable();
    let part = |percent: usize| times.get(times.len() * percent / 100).copied().unwrap_or_default();
    println!("{run}: first token p50 {:?}, p95 {:?}, p99 {:?}", part(50), part(95), part(99));
}

/// Who wrote the last record of a zone's leases.
async fn holder(fleet: &ProcessFleet, zone: &str) -> String {
    let log = fleet.address("log");
    let url = format!("http://{log}/v1/streams/leases-{zone}/records?from=0&max=1000&wait_ms=0");
    let mut answer = Client::default().get(url).send().await.expect("the log answers");
    let page: Value = answer.json().await.expect("a page");
    let records = page["records"].as_array().expect("records");
    let data = records.last().expect("a lease")["data"].as_str().expect("data");
    let record: Value = serde_json::from_str(data).expect("a record");
    record["holder"]["host"].as_str().expect("a host").to_owned()
}

impl LoadOutcome {
    /// Each call was answered whole.
    fn must_be_unharmed(&self) {
        self.must_be_sound(1.0);
    }
}
