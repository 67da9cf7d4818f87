//! Leases of hosts that stop.

use std::time::Duration;

use fulmargate_consortium_stand::OrderRejection;
use fulmargate_consortium_stand::ServerMode;

use crate::support::DaemonProcess;
use crate::support::TestDeployment;
use crate::support::wait_until;
use crate::weights_ages::settings;

/// Far beyond the end of a test.
const LEASE: Duration = Duration::from_secs(600);

async fn start_host(deployment: &TestDeployment) -> DaemonProcess {
    let host = DaemonProcess::start_with_settings(deployment.store.address, &settings(LEASE));
    wait_until("the host lists all servers", || host.events("server_listed").len() == 4).await;
    host
}

/// New weights are named while the only host stops. Guards against a lease that is taken by a host that is about to
/// end, for which the others would have to wait.
#[tokio::test]
async fn a_stopping_host_takes_no_lease() {
    let mut deployment = TestDeployment::start(ServerMode::Stream(1)).await;
    deployment.daemon.signal("TERM");
    wait_until("the stop has begun", || !deployment.daemon.events("stop_begun").is_empty()).await;
    deployment.store.publish_weights(2);
    wait_until("the weights are read", || !deployment.daemon.events("weights_named").is_empty())
        .await;
    deployment.daemon.exit_code().await;
    assert_eq!(deployment.daemon.events("lease_taken").len(), 0);
    assert!(deployment.engines.iter().all(|engine| engine.orders().is_empty()));
}

/// The holder stops before another host starts, whose listing has the newest record of the lease only. Guards against a
/// release that is missed there.
#[tokio::test]
async fn a_host_that_starts_after_the_release_takes_the_lease() {
    let mut deployment = TestDeployment::start(ServerMode::Stream(1)).await;
    deployment.daemon.signal("TERM");
    deployment.daemon.exit_code().await;
    let mut holder = start_host(&deployment).await;
    let rejecting = &deployment.engines[0];
    rejecting.set_rejects_orders(OrderRejection::All);
    deployment.store.publish_weights(2);
    wait_until("the holder gives orders", || !holder.events("order_given").is_empty()).await;
    holder.signal("TERM");
    holder.exit_code().await;
    let taken = holder.events("lease_taken");
    let released = holder.events("lease_released");
    assert_eq!(released.len(), 1, "the lease is released once");
    assert_eq!(released[0]["fence"], taken[taken.len() - 1]["fence"]);
    rejecting.set_rejects_orders(OrderRejection::Invalid);
    let next = start_host(&deployment).await;
    wait_until("the next host completes the rollout", || {
        deployment.engines.iter().all(|engine| engine.weights() == 2)
    })
    .await;
    let taken = next.events("lease_taken");
    assert!(fence(&released[0]) < fence(&taken[0]), "fencing numbers rise");
}

fn fence(event: &serde_json::Value) -> u64 {
    let text = event["fence"].as_str().expect("a fencing number");
    text.parse().expect("a number")
}
