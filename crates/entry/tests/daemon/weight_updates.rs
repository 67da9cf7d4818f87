//! Orders that bring engines to new weights.

use std::time::Duration;

use fulmargate_consortium_stand::CallerRequest;
use fulmargate_consortium_stand::FakeServer;
use fulmargate_consortium_stand::ServerMode;
use fulmargate_consortium_stand::StoreFault;
use tokio::time::Instant;
use tokio::time::sleep;

use crate::store_restore::status;
use crate::support::DaemonProcess;
use crate::support::TestDeployment;
use crate::support::initial_config;
use crate::support::wait_until;

/// Longer than a poll waits, and shorter than its timeout, so that the response is read after the freeze.
const FREEZE: Duration = Duration::from_millis(1_300);
/// Twice this is shorter than the timeout of a poll.
const UNREAD_TIME: Duration = Duration::from_millis(650);
/// By how much weights may seem younger than they are; the time left before the bound covers it.
const MAX_AGE_ERROR: Duration = Duration::from_millis(600);

/// Each engine receives one order for a version, and fencing tokens never decrease.
#[tokio::test]
async fn engines_receive_one_order_for_each_weights_version() {
    let deployment = TestDeployment::start(ServerMode::Stream(2)).await;
    deployment.store.publish_weights(2);
    wait_until("all engines have their first order", || {
        deployment.engines.iter().all(|engine| engine.orders().len() == 1)
    })
    .await;
    deployment.store.publish_weights(5);
    wait_until("all engines have their second order", || {
        deployment.engines.iter().all(|engine| engine.orders().len() == 2)
    })
    .await;
    for engine in &deployment.engines {
        let orders = engine.orders();
        assert!(orders[0].fence <= orders[1].fence, "{orders:?}");
        assert_eq!((orders[0].version, orders[1].version), (2, 5));
    }
    wait_until("the daemon reports version 5 on both engines", || {
        let records = deployment.daemon.events("weights_in_place");
        records.iter().filter(|line| line["end"] == "InPlace(WeightsVersion(5))").count() == 2
    })
    .await;
    deployment.send(&CallerRequest::prompt("/chat/x", "w")).await;
    let seen: Vec<_> = deployment.engines.iter().flat_map(FakeServer::seen).collect();
    assert!(seen[0].salt().starts_with("m/5/"), "{}", seen[0].salt());
}

/// Only the router that holds the lease sends orders. After it is killed the other one takes over when the
/// lease expires.
#[tokio::test]
async fn another_router_takes_over_the_lease() {
    let mut deployment = TestDeployment::start(ServerMode::Stream(1)).await;
    let second_daemon = DaemonProcess::start(deployment.store.address);
    wait_until("the second daemon lists all servers", || {
        second_daemon.events("server_listed").len() == 4
    })
    .await;
    deployment.store.publish_weights(2);
    wait_until("all engines have their first order", || {
        deployment.engines.iter().all(|engine| engine.orders().len() == 1)
    })
    .await;
    let holders = |version: u64| {
        let orders = deployment.engines.iter().flat_map(FakeServer::orders);
        let of_version = orders.filter(|order| order.version == version);
        let mut holders: Vec<String> = of_version.map(|order| order.holder).collect();
        holders.dedup();
        holders
    };
    assert_eq!(holders(2).len(), 1, "one lease holder");
    let first_is_holder = !deployment.daemon.events("order_given").is_empty();
    let (stopped, remaining) = match first_is_holder {
        true => (&mut deployment.daemon, &second_daemon),
        false => (&mut *Box::leak(Box::new(second_daemon)), &deployment.daemon),
    };
    stopped.signal("KILL");
    stopped.exit_code().await;
    deployment.store.publish_weights(3);
    wait_until("the remaining daemon has taken over", || {
        !remaining.events("weights_in_place").is_empty()
    })
    .await;
    assert_eq!(holders(3).len(), 1);
    assert_ne!(holders(3), holders(2));
}

/// The response to the append of a lease is lost although the record is written. The router must recover by
/// reading the record back.
#[tokio::test]
async fn a_lost_append_response_does_not_stop_orders() {
    let deployment = TestDeployment::start(ServerMode::Stream(1)).await;
    deployment.store.set_fault(StoreFault::LosesAnswers);
    deployment.store.publish_weights(2);
    wait_until("an append has failed", || !deployment.daemon.events("lease_lost").is_empty()).await;
    deployment.store.set_fault(StoreFault::None);
    wait_until("all engines have their first order", || {
        deployment.engines.iter().all(|engine| engine.orders().len() == 1)
    })
    .await;
}

/// A configuration and weights are published while a host is frozen: the configuration is the answer to its pending
/// read. Guards against weights of the next read that count from the end of the freeze.
#[tokio::test]
async fn weights_published_after_an_unread_answer_have_their_full_age() {
    let deployment = TestDeployment::start(ServerMode::Stream(1)).await;
    deployment.daemon.signal("STOP");
    let mut config = initial_config();
    config.version = 2;
    deployment.store.put_config(&config);
    sleep(UNREAD_TIME).await;
    deployment.store.publish_weights(2);
    let published = Instant::now();
    sleep(UNREAD_TIME).await;
    let min_age = published.elapsed().saturating_sub(MAX_AGE_ERROR);
    deployment.daemon.signal("CONT");
    wait_until("the daemon has read the weights", || {
        !deployment.daemon.events("weights_named").is_empty()
    })
    .await;
    let status = status(&deployment.daemon).await;
    let age_ms = status["weights"][0]["age_ms"].as_u64().expect("the age of the weights");
    assert!(min_age.as_millis() <= u128::from(age_ms), "age {age_ms} ms after {min_age:?}");
}

/// Weights are published while a host is frozen. Guards against counting their age from the host's return, which
/// would let prompts start on the previous weights after the bound.
#[tokio::test]
async fn weights_published_during_a_freeze_have_their_full_age() {
    let deployment = TestDeployment::start(ServerMode::Stream(1)).await;
    deployment.daemon.signal("STOP");
    deployment.store.publish_weights(2);
    let published = Instant::now();
    sleep(FREEZE).await;
    let min_age = published.elapsed();
    deployment.daemon.signal("CONT");
    wait_until("the daemon has read the weights", || {
        !deployment.daemon.events("weights_named").is_empty()
    })
    .await;
    let status = status(&deployment.daemon).await;
    let age_ms = status["weights"][0]["age_ms"].as_u64().expect("the age of the weights");
    assert!(min_age.as_millis() <= u128::from(age_ms), "age {age_ms} ms after {min_age:?}");
}
