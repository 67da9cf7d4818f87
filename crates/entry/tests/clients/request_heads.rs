//! Request heads that are large, or have no end.

use bytes::Bytes;
use fulmargate_consortium_stand::ClientCrowd;
use fulmargate_consortium_stand::send_raw;

use crate::client_deployment::ClientDeployment;
use crate::client_deployment::HEAD_BYTES;

/// Memory of the smaller sites' hosts.
const MEMORY_MB: u64 = 110;
const CONNECTIONS: usize = 3_000;

/// The beginning of a head of this size.
fn unfinished_head(bytes: usize) -> String {
    let mut head = "POST /read/x HTTP/1.1\r\nHost: shop.example\r\nX-Padding: ".to_owned();
    head.push_str(&"x".repeat(bytes - head.len()));
    head
}

/// Guards against unfinished heads that take more memory than their connections are counted with.
#[tokio::test]
async fn unfinished_heads_keep_to_the_memory() {
    let mut deployment = ClientDeployment::start_with_memory(MEMORY_MB).await;
    let head = Bytes::from(unfinished_head(HEAD_BYTES - 1_024));
    let crowd = ClientCrowd::open(deployment.callers, CONNECTIONS, &head);
    deployment.settle(&crowd).await;
    deployment.check("heads").await;
}

/// Guards against connections that stay with an unfinished head beyond the operator's time for it.
#[tokio::test]
async fn an_unfinished_head_is_refused_after_its_time() {
    let deployment = ClientDeployment::start().await;
    let answer = send_raw(&unfinished_head(500), deployment.callers).await;
    let answer = answer.expect("an answer before the connection is closed");
    assert_eq!(answer.split(' ').nth(1), Some("408"), "{answer}");
    assert!(answer.to_ascii_lowercase().contains("connection: close"), "{answer}");
}

/// Guards against heads beyond the operator's limit being read.
#[tokio::test]
async fn a_head_beyond_the_limit_is_refused() {
    let deployment = ClientDeployment::start().await;
    let answer = send_raw(&unfinished_head(HEAD_BYTES + 1_024), deployment.callers).await;
    let answer = answer.expect("an answer before the connection is closed");
    assert_eq!(answer.split(' ').nth(1), Some("431"), "{answer}");
}
