//! Calls that may not be repeated run at most once, and what is said of them is true.

use std::time::Duration;

use fulmargate_stand::FaultOrder;
use fulmargate_stand::deployment::Deployment;
use tokio::time::sleep;

use crate::process_fleet::ProcessFleet;
use crate::watched_load::WatchedLoad;

const RATE: f64 = 120.0;

/// No key has two effects and no `not-run` is false. Callers send keys again through other routers
/// while replicas lose answers after the effect and crash, and the log loses the answers to appends
/// that have landed. The claim in the log decides who may send; a lost answer stays `unknown`.
#[actix_rt::test]
async fn lost_answers_double_nothing() {
    let fleet = ProcessFleet::start(Deployment::shop()).await;
    let load = WatchedLoad::new(&fleet, RATE, 6, 1.0);
    let replicas = fleet.replica_names();
    let faults = async {
        let lossy = FaultOrder { lose_answers: Some(0.2), ..FaultOrder::default() };
        fleet.fault("log", lossy.clone()).await;
        for name in &replicas {
            fleet.fault(name, lossy.clone()).await;
        }
        for name in &replicas {
            sleep(Duration::from_millis(1_500)).await;
            let crash = FaultOrder { crash_ms: Some(400), ..FaultOrder::default() };
            fleet.fault(name, crash).await;
        }
    };
    let (records, ()) = tokio::join!(load.send(), faults);
    load.judge(&fleet, records).await.must_be_sound(0.5);
}

/// No key has two effects and no `not-run` is false. Routers are killed with claimed calls under
/// way, and one is frozen for longer than its claims may be sent, then goes on; callers send the
/// same keys through the other routers meanwhile.
#[actix_rt::test]
async fn killed_and_frozen_routers_double_nothing() {
    let mut fleet = ProcessFleet::start(Deployment::utility()).await;
    let load = WatchedLoad::new(&fleet, RATE, 8, 1.0);
    let routers = fleet.router_names();
    let faults = async {
        sleep(Duration::from_millis(800)).await;
        fleet.freeze(&routers[5]);
        for name in &routers[..3] {
            sleep(Duration::from_millis(800)).await;
            fleet.kill(name);
            fleet.spawn(name);
        }
        sleep(Duration::from_millis(2_500)).await;
        fleet.thaw(&routers[5]);
    };
    let (records, ()) = tokio::join!(load.send(), faults);
    load.judge(&fleet, records).await.must_be_sound(0.6);
}

/// While the log is out, keyed calls get an error that says what is known, none runs unclaimed, and
/// model requests go on. When the log is back, calls run again, each key at most once.
#[actix_rt::test]
async fn an_outage_of_the_log_doubles_nothing() {
    let fleet = ProcessFleet::start(Deployment::shop()).await;
    let load = WatchedLoad::new(&fleet, RATE, 7, 0.5);
    let faults = async {
        sleep(Duration::from_millis(1_500)).await;
        let outage = FaultOrder { outage_ms: Some(2_500), ..FaultOrder::default() };
        fleet.fault("log", outage).await;
    };
    let (records, ()) = tokio::join!(load.send(), faults);
    load.judge(&fleet, records).await.must_be_sound(0.6);
}
