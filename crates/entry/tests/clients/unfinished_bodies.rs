//! Large bodies that stop before their end.

use bytes::Bytes;
use fulmargate_consortium_stand::ClientCrowd;

use crate::client_deployment::BODY_BYTES;
use crate::client_deployment::ClientDeployment;
use crate::client_deployment::unfinished_chunks;
use crate::client_deployment::unfinished_length;

const CONNECTIONS: usize = 30;
const CHUNK_BYTES: usize = 64 * 1024;

struct BodyCase {
    name: &'static str,
    bytes: fn() -> Bytes,
}

const CASES: &[BodyCase] = &[
    BodyCase {
        name: "chunked",
        bytes: || unfinished_chunks(BODY_BYTES - CHUNK_BYTES, CHUNK_BYTES),
    },
    BodyCase { name: "with a length", bytes: || unfinished_length(BODY_BYTES - CHUNK_BYTES) },
];

/// Guards against large bodies that hold all memory for callers until their deadline while nobody else is served.
#[tokio::test]
async fn unfinished_bodies_lock_nobody_out() {
    for case in CASES {
        let mut deployment = ClientDeployment::start().await;
        let crowd = ClientCrowd::open(deployment.callers, CONNECTIONS, &(case.bytes)());
        deployment.settle(&crowd).await;
        deployment.check(case.name).await;
    }
}
