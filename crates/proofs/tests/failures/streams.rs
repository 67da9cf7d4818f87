//! Each stream is complete and in order, and each caller gets the whole answer to its own request.

use std::time::Duration;

use fulmargate_stand::FaultOrder;
use fulmargate_stand::deployment::Deployment;
use tokio::time::sleep;

use crate::process_fleet::ProcessFleet;
use crate::watched_load::WatchedLoad;

const RATE: f64 = 60.0;
const TOKENS: usize = 60;

/// Callers see whole answers, or a typed error, and never a silent cut. Engines are killed by
/// SIGKILL one after the other in the middle of their streams and come back empty under a new
/// incarnation. The router resumes each stream on another engine with equal weights.
#[actix_rt::test]
async fn streams_survive_killed_engines() {
    let mut fleet = ProcessFleet::start(Deployment::shop()).await;
    let load = WatchedLoad::new(&fleet, RATE, 6, 0.0).answer_tokens(TOKENS);
    let engines = fleet.engine_names();
    let faults = async {
        for name in engines.iter().step_by(3) {
            sleep(Duration::from_millis(900)).await;
            fleet.kill(name);
            sleep(Duration::from_millis(300)).await;
            fleet.spawn(name);
        }
    };
    let (records, ()) = tokio::join!(load.send(), faults);
    load.judge(&fleet, records).await.must_be_sound(0.97);
}

/// Callers see whole answers to their own requests. Engines answer in other requests' names, cut
/// streams without an end, and stand still with their connections open, two of these at a time.
/// The router drops what is crossed with its connection and takes a cut or still stream elsewhere.
#[actix_rt::test]
async fn streams_survive_crossed_cut_and_frozen_answers() {
    let fleet = ProcessFleet::start(Deployment::utility()).await;
    let load = WatchedLoad::new(&fleet, RATE, 6, 0.0).answer_tokens(TOKENS);
    let engines = fleet.engine_names();
    let faults = async {
        for (index, name) in engines.iter().enumerate() {
            sleep(Duration::from_millis(350)).await;
            let order = match index % 3 {
                0 => FaultOrder { cross_answers: Some(3), ..FaultOrder::default() },
                1 => FaultOrder {
                    truncate_streams: Some(3),
                    truncate_after: Some(7),
                    ..FaultOrder::default()
                },
                _ => FaultOrder { freeze_ms: Some(4_000), ..FaultOrder::default() },
            };
            fleet.fault(name, order).await;
        }
    };
    let (records, ()) = tokio::join!(load.send(), faults);
    load.judge(&fleet, records).await.must_be_sound(0.95);
}

/// A caller whose router is killed goes on at another router with the id of the last event that it
/// has, and ends with each token once. Two of the six routers are killed by SIGKILL in the middle
/// of streams and restarted; the token is all that the other router needs.
#[actix_rt::test]
async fn callers_resume_at_another_router() {
    let mut fleet = ProcessFleet::start(Deployment::shop()).await;
    let load = WatchedLoad::new(&fleet, RATE, 5, 0.0).answer_tokens(TOKENS);
    let routers = fleet.router_names();
    let faults = async {
        for name in &routers[..2] {
            sleep(Duration::from_millis(1_200)).await;
            fleet.kill(name);
            fleet.spawn(name);
        }
    };
    let (records, ()) = tokio::join!(load.send(), faults);
    load.judge(&fleet, records).await.must_be_sound(0.97);
}
