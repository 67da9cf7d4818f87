//! A planned stop is a graceful shutdown: it cuts no request.

use std::time::Duration;

use fulmargate_stand::FaultOrder;
use fulmargate_stand::deployment::Deployment;
use tokio::time::sleep;

use crate::process_fleet::ProcessFleet;
use crate::watched_load::WatchedLoad;

/// No caller sees a cut. Routers are told to stop by SIGTERM one after the other, two of them at
/// the same time, under streams and keyed calls; each says that it is not ready, goes on serving,
/// finishes what is open, ends in good form and is started again. The caller's own retry of a
/// refused connection stands for the balancer.
#[actix_rt::test]
async fn a_rolling_restart_cuts_nothing() {
    let mut fleet = ProcessFleet::start(Deployment::shop()).await;
    let load = WatchedLoad::new(&fleet, 60.0, 8, 0.2).answer_tokens(60);
    let routers = fleet.router_names();
    let stops = async {
        let mut ended_well = true;
        for pair in routers.chunks(2) {
            sleep(Duration::from_millis(700)).await;
            for name in pair {
                fleet.terminate(name);
            }
            for name in pair {
                ended_well &= fleet.wait_until_ended(name).await;
                fleet.spawn(name);
            }
            for name in pair {
                fleet.wait_until_ready(name).await;
            }
        }
        ended_well
    };
    let (records, ended_well) = tokio::join!(load.send(), stops);
    assert!(ended_well, "a router ended with requests open");
    load.judge(&fleet, records).await.must_be_sound(1.0);
}

/// A server that says it leaves gets no new work after a few seconds, though the platform's list
/// goes on calling it live. What it has is finished, and callers notice nothing. The stand-in
/// counts the work that it is given later than three seconds after it began to leave.
#[actix_rt::test]
async fn leaving_servers_get_nothing_new() {
    let fleet = ProcessFleet::start(Deployment::utility()).await;
    let load = WatchedLoad::new(&fleet, 60.0, 8, 0.2);
    let leaving: Vec<String> = [
        fleet.engine_names()[1].clone(),
        fleet.engine_names()[6].clone(),
        fleet.replica_names()[0].clone(),
    ]
    .to_vec();
    let faults = async {
        sleep(Duration::from_millis(700)).await;
        for name in &leaving {
            fleet.fault(name, FaultOrder { leaving: Some(true), ..FaultOrder::default() }).await;
        }
    };
    let (records, ()) = tokio::join!(load.send(), faults);
    load.judge(&fleet, records).await.must_be_sound(0.99);
    for name in &leaving {
        let counts = fleet.control.counts(&fleet.address(name)).await.expect("counts");
        assert_eq!(counts.late_work, 0, "{name} got work while it was leaving");
    }
}
