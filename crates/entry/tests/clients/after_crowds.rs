//! What crowds held, once they are gone.

use bytes::Bytes;
use fulmargate_consortium_stand::ClientCrowd;
use fulmargate_consortium_stand::RawHead;
use fulmargate_consortium_stand::ServerMode;
use tokio::time::sleep;

use crate::client_deployment::BODY_BYTES;
use crate::client_deployment::ClientDeployment;
use crate::client_deployment::unfinished_chunks;
use crate::client_deployment::unfinished_length;
use crate::support::MAX_POLLS;
use crate::support::POLL_INTERVAL;

const IDLE_CONNECTIONS: usize = 500;
const WAITING_CONNECTIONS: usize = 300;
/// Requests of each of these.
const REQUESTS: usize = 10;
const LARGE_BODIES: usize = 30;
const SMALL_CHUNK_BODIES: usize = 60;

/// Memory, connections and descriptors.
async fn usage(deployment: &ClientDeployment) -> (u64, u64, usize) {
    let held = deployment.daemon.counter("fulmargate_held_bytes").await;
    let connections = deployment.daemon.counter("fulmargate_open_connections").await;
    (held, connections, deployment.daemon.open_descriptors())
}

/// Guards against memory or descriptors that are not given back, so that a host serves less after each crowd.
#[tokio::test]
async fn crowds_leave_nothing_behind() {
    let mut deployment = ClientDeployment::start().await;
    deployment.check("before").await;
    let (_, _, descriptors) = usage(&deployment).await;
    deployment.server.set_mode(ServerMode::Wait);
    let answered = Bytes::from(RawHead::of("GET /read/x", &[]).text().repeat(REQUESTS));
    let crowds = [
        ClientCrowd::open(deployment.callers, IDLE_CONNECTIONS, &Bytes::new()),
        ClientCrowd::open(deployment.callers, WAITING_CONNECTIONS, &answered),
        ClientCrowd::open(deployment.callers, LARGE_BODIES, &unfinished_length(BODY_BYTES)),
        ClientCrowd::open(deployment.callers, SMALL_CHUNK_BODIES, &unfinished_chunks(40_000, 1)),
    ];
    for crowd in &crowds {
        deployment.settle(crowd).await;
    }
    deployment.server.set_mode(ServerMode::Answer);
    drop(crowds);
    let mut after = usage(&deployment).await;
    for _ in 0..MAX_POLLS {
        if after.0 == 0 && after.1 == 0 && after.2 <= descriptors {
            return;
        }
        sleep(POLL_INTERVAL).await;
        after = usage(&deployment).await;
    }
    panic!("held bytes, connections and descriptors are {after:?}; {descriptors} were open before");
}
