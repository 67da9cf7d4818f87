//! Connections on which nothing is sent.

use bytes::Bytes;
use fulmargate_consortium_stand::ClientCrowd;
use serde_json::json;

use crate::client_deployment::ClientDeployment;
use crate::support::DaemonProcess;

/// Descriptors that the process may open.
const MAX_DESCRIPTORS: usize = 256;
/// An eighth of them stays free for servers, the store and other routers.
const FREE_DESCRIPTORS: usize = MAX_DESCRIPTORS / 8;
/// Memory that would bear more connections than there are descriptors.
const AMPLE_MEMORY_MB: u64 = 256;

/// Guards against callers' connections that take the descriptors of connections to servers and to the store.
#[tokio::test]
async fn idle_connections_leave_descriptors_free() {
    let settings = json!({"memory_mb": AMPLE_MEMORY_MB});
    let mut deployment = ClientDeployment::start_with(AMPLE_MEMORY_MB, |store| {
        DaemonProcess::start_with_descriptors(store, &settings, MAX_DESCRIPTORS)
    })
    .await;
    let crowd = ClientCrowd::open(deployment.callers, 2 * MAX_DESCRIPTORS, &Bytes::new());
    deployment.settle(&crowd).await;
    let open = deployment.daemon.open_descriptors();
    assert!(open <= MAX_DESCRIPTORS - FREE_DESCRIPTORS, "{open} descriptors are open");
    assert!(deployment.serves_ordinary_caller().await, "no ordinary caller is served");
    assert!(deployment.daemon.is_running(), "the process has ended");
}

/// Guards against idle connections that keep the memory for connections from callers who come later.
#[tokio::test]
async fn idle_connections_lock_nobody_out() {
    const CONNECTIONS: usize = 2_500;
    let mut deployment = ClientDeployment::start().await;
    let crowd = ClientCrowd::open(deployment.callers, CONNECTIONS, &Bytes::new());
    deployment.settle(&crowd).await;
    deployment.check("idle").await;
}
