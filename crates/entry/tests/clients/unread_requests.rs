//! Requests that are sent before earlier ones on their connection are answered.

use bytes::Bytes;
use fulmargate_consortium_stand::ClientCrowd;
use fulmargate_consortium_stand::RawHead;
use fulmargate_consortium_stand::ServerMode;

use crate::client_deployment::ClientDeployment;

const CONNECTIONS: usize = 700;
const REQUESTS: usize = 1_500;

/// Guards against bytes that wait unread in the kernel, and in read buffers, without being counted.
#[tokio::test]
async fn pipelined_requests_keep_to_the_memory() {
    let mut deployment = ClientDeployment::start().await;
    deployment.server.set_mode(ServerMode::Wait);
    let requests = RawHead::of("GET /read/x", &[]).text().repeat(REQUESTS);
    let crowd = ClientCrowd::open(deployment.callers, CONNECTIONS, &Bytes::from(requests));
    deployment.settle(&crowd).await;
    deployment.server.set_mode(ServerMode::Answer);
    deployment.check("pipelined").await;
}
