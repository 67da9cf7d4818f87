//! Callers that do not read what they are sent.

use bytes::Bytes;
use fulmargate_consortium_stand::ClientCrowd;
use fulmargate_consortium_stand::RawHead;
use fulmargate_consortium_stand::ServerMode;

use crate::client_deployment::ClientDeployment;

const CONNECTIONS: usize = 250;
/// Requests of each connection, whose answers are more than the system's send buffers take.
const REQUESTS: usize = 12;
const ANSWER_BYTES: usize = 400_000;

/// Guards against answers that wait for callers who do not read, beyond the memory for them.
#[tokio::test]
async fn unread_answers_keep_to_the_memory() {
    let mut deployment = ClientDeployment::start().await;
    deployment.server.set_mode(ServerMode::AnswerBytes(ANSWER_BYTES));
    let request = Bytes::from(RawHead::of("GET /read/x", &[]).text().repeat(REQUESTS));
    let crowd = ClientCrowd::open(deployment.callers, CONNECTIONS, &request);
    deployment.settle(&crowd).await;
    deployment.server.set_mode(ServerMode::Answer);
    deployment.check("unread answers").await;
}
