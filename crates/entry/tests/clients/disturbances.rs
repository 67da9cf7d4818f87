//! Two crowds at once, and crowds beside other disturbances.

use bytes::Bytes;
use fulmargate_consortium_stand::ClientCrowd;
use fulmargate_consortium_stand::FakeServer;
use fulmargate_consortium_stand::ServerMode;
use fulmargate_consortium_stand::StoreFault;

use crate::client_deployment::BODY_BYTES;
use crate::client_deployment::ClientDeployment;
use crate::client_deployment::put_config;
use crate::client_deployment::unfinished_chunks;
use crate::client_deployment::unfinished_length;
use crate::support::wait_until;

const IDLE_CONNECTIONS: usize = 1_500;
const LARGE_BODIES: usize = 30;
const SMALL_CHUNK_BODIES: usize = 30;

fn open_crowds(deployment: &ClientDeployment) -> [ClientCrowd; 3] {
    let large = unfinished_length(BODY_BYTES);
    let chunks = unfinished_chunks(40_000, 1);
    [
        ClientCrowd::open(deployment.callers, IDLE_CONNECTIONS, &Bytes::new()),
        ClientCrowd::open(deployment.callers, LARGE_BODIES, &large),
        ClientCrowd::open(deployment.callers, SMALL_CHUNK_BODIES, &chunks),
    ]
}

/// Guards against crowds of several kinds that are bounded each, and together are not.
#[tokio::test]
async fn several_crowds_at_once_keep_to_the_memory() {
    let mut deployment = ClientDeployment::start().await;
    for crowd in open_crowds(&deployment) {
        deployment.settle(&crowd).await;
    }
    deployment.check("dropped").await;
    let crowds = open_crowds(&deployment);
    for crowd in &crowds {
        deployment.settle(crowd).await;
    }
    deployment.check("held").await;
}

/// Guards against a crowd that keeps the daemon from a new configuration, a new server, or the store.
#[tokio::test]
async fn a_crowd_beside_changes_locks_nobody_out() {
    let mut deployment = ClientDeployment::start().await;
    let _crowds = open_crowds(&deployment);
    deployment.store.set_fault(StoreFault::Busy);
    deployment.check("store away").await;
    deployment.store.set_fault(StoreFault::None);
    put_config(&deployment.store, 2);
    wait_until("the new configuration is in force", || {
        deployment.daemon.events("config_accepted").len() == 2
    })
    .await;
    let next = FakeServer::start("desk-2", ServerMode::Answer).await.expect("start a server");
    deployment.store.put_server(&next.name, "desk", next.address, "ready");
    wait_until("the new server is listed", || deployment.daemon.events("server_listed").len() == 2)
        .await;
    deployment.server.kill().await;
    deployment.check("server killed").await;
}

/// Guards against a crowd that keeps a planned stop from ending.
#[tokio::test]
async fn a_planned_stop_ends_beside_a_crowd() {
    let mut deployment = ClientDeployment::start().await;
    let _crowds = open_crowds(&deployment);
    deployment.check("before the stop").await;
    deployment.daemon.signal("TERM");
    assert_eq!(deployment.daemon.exit_code().await, Some(0));
}
