//! New weights of engines.

use fulmargate_consortium_stand::CallerRequest;
use fulmargate_consortium_stand::ServerMode;
use fulmargate_consortium_stand::ServerStand;
use fulmargate_consortium_stand::StoreFault;

use crate::support::DaemonProcess;
use crate::support::TestDeployment;
use crate::support::wait_until;

/// New weights are named: each engine gets one order, with a number that never falls and the count
/// of the orders before, so that a late one is not carried out after a newer one.
#[tokio::test]
async fn engines_are_brought_to_the_weights_named() {
    let deployment = TestDeployment::start(ServerMode::Stream(2)).await;
    deployment.store.name_weights(2);
    wait_until("all engines have them", || {
        deployment.engines.iter().all(|engine| engine.orders().len() == 1)
    })
    .await;
    deployment.store.name_weights(5);
    wait_until("all engines have the next", || {
        deployment.engines.iter().all(|engine| engine.orders().len() == 2)
    })
    .await;
    for engine in &deployment.engines {
        let orders = engine.orders();
        assert!(orders[0].fence <= orders[1].fence, "{orders:?}");
        assert_eq!((orders[0].version, orders[1].version), (2, 5));
    }
    wait_until("the router knows", || {
        let lines = deployment.daemon.events("weights_in_place");
        lines.iter().filter(|line| line["end"] == "InPlace(WeightsVersion(5))").count() == 2
    })
    .await;
    deployment.send(&CallerRequest::prompt("/chat/x", "w")).await;
    let seen: Vec<_> = deployment.engines.iter().flat_map(ServerStand::seen).collect();
    assert!(seen[0].salt().starts_with("m/5/"), "{}", seen[0].salt());
}

/// Two routers want to give orders. The store lets one of their records in; only its writer orders.
/// When that one is killed, the other waits for the end of the lease and takes over.
#[tokio::test]
async fn one_router_orders_and_another_takes_over() {
    let mut deployment = TestDeployment::start(ServerMode::Stream(1)).await;
    let second = DaemonProcess::start(deployment.store.address);
    wait_until("the second serves", || second.events("server_listed").len() == 4).await;
    deployment.store.name_weights(2);
    wait_until("all engines have them", || {
        deployment.engines.iter().all(|engine| engine.orders().len() == 1)
    })
    .await;
    let holders = |version: u64| {
        let orders = deployment.engines.iter().flat_map(ServerStand::orders);
        let of_version = orders.filter(|order| order.version == version);
        let mut holders: Vec<String> = of_version.map(|order| order.holder).collect();
        holders.dedup();
        holders
    };
    assert_eq!(holders(2).len(), 1, "one holder");
    let first_orders = !deployment.daemon.events("order_given").is_empty();
    let (stopped, left) = match first_orders {
        true => (&mut deployment.daemon, &second),
        false => (&mut *Box::leak(Box::new(second)), &deployment.daemon),
    };
    stopped.signal("KILL");
    stopped.exit_code().await;
    deployment.store.name_weights(3);
    wait_until("the other has taken over", || !left.events("weights_in_place").is_empty()).await;
    assert_eq!(holders(3).len(), 1);
    assert_ne!(holders(3), holders(2));
}

/// The answer to the lease's append is lost though the record is written. The router reads it back
/// and goes on with a number that it knows.
#[tokio::test]
async fn a_lost_answer_does_not_stop_orders() {
    let deployment = TestDeployment::start(ServerMode::Stream(1)).await;
    deployment.store.set_fault(StoreFault::LosesAnswers);
    deployment.store.name_weights(2);
    wait_until("the append was tried", || !deployment.daemon.events("lease_lost").is_empty()).await;
    deployment.store.set_fault(StoreFault::None);
    wait_until("all engines have them", || {
        deployment.engines.iter().all(|engine| engine.orders().len() == 1)
    })
    .await;
}
