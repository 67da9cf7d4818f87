//! Requests that wait for their server's answer.

use bytes::Bytes;
use fulmargate_consortium_stand::ClientCrowd;
use fulmargate_consortium_stand::ServerMode;

use crate::client_deployment::ClientDeployment;
use crate::client_deployment::body_head;

const CONNECTIONS: usize = 3_000;
const BODY_BYTES: usize = 1_000;
/// Sent behind each request, more than the daemon takes unread.
const SENT_AHEAD_BYTES: usize = 64 << 10;

/// Guards against requests at servers that take more memory than is counted for them and their connections.
#[tokio::test]
async fn requests_that_wait_at_a_server_keep_to_the_memory() {
    let mut deployment = ClientDeployment::start().await;
    deployment.server.set_mode(ServerMode::Wait);
    let head = body_head(&format!("Content-Length: {BODY_BYTES}"));
    let request = head + &"x".repeat(BODY_BYTES + SENT_AHEAD_BYTES);
    let crowd = ClientCrowd::open(deployment.callers, CONNECTIONS, &Bytes::from(request));
    deployment.settle(&crowd).await;
    deployment.server.set_mode(ServerMode::Answer);
    deployment.check("waiting").await;
}
