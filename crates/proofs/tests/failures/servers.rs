//! Servers that are gone, cut off or full of another life's cache.

use std::time::Duration;

use fulmargate_stand::FaultOrder;
use fulmargate_stand::deployment::Deployment;
use tokio::time::sleep;

use crate::process_fleet::ProcessFleet;
use crate::watched_load::WatchedLoad;

/// Callers see few late answers and no wrong one. All processes of one zone, routers and servers,
/// stand still as if the zone were cut off, and come back; the callers of the other zones are
/// served by what is left. Answers of the zone that come late are dropped.
#[actix_rt::test]
async fn a_zone_is_cut_off_and_comes_back() {
    let fleet = ProcessFleet::start(Deployment::shop()).await;
    let zone = fleet.deployment.zones[2].to_string();
    let inside: Vec<String> = fleet
        .engine_names()
        .into_iter()
        .chain(fleet.replica_names())
        .chain(fleet.router_names())
        .filter(|name| name.contains(&zone))
        .collect();
    let load = WatchedLoad::new(&fleet, 50.0, 9, 0.2);
    let faults = async {
        sleep(Duration::from_millis(1_500)).await;
        for name in &inside {
            fleet.freeze(name);
        }
        sleep(Duration::from_millis(4_000)).await;
        for name in &inside {
            fleet.thaw(name);
        }
    };
    let (records, ()) = tokio::join!(load.send(), faults);
    // A third of the callers are at routers of the zone and wait until it is back.
    load.judge(&fleet, records).await.must_be_sound(0.5);
}

/// No answer rests on cached blocks that its team has not sent or that an earlier life had. A third
/// of the engines crash and come back empty while their cache events are lost; the engines' own
/// report of cached tokens is checked against what each team has sent.
#[actix_rt::test]
async fn no_answer_rests_on_a_dead_cache() {
    let fleet = ProcessFleet::start(Deployment::shop()).await;
    let load = WatchedLoad::new(&fleet, 60.0, 6, 0.0);
    let engines = fleet.engine_names();
    let faults = async {
        for name in engines.iter().step_by(3) {
            sleep(Duration::from_millis(600)).await;
            let order =
                FaultOrder { crash_ms: Some(500), drop_events: Some(200), ..FaultOrder::default() };
            fleet.fault(name, order).await;
        }
    };
    let (records, ()) = tokio::join!(load.send(), faults);
    load.judge(&fleet, records).await.must_be_sound(0.97);
}
