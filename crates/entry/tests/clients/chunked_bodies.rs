//! Bodies in very small chunks.

use fulmargate_consortium_stand::ClientCrowd;

use crate::client_deployment::ClientDeployment;
use crate::client_deployment::unfinished_chunks;

struct ChunkCase {
    name: &'static str,
    connections: usize,
    body_bytes: usize,
    chunk_bytes: usize,
}

const CASES: &[ChunkCase] = &[
    ChunkCase { name: "many", connections: 60, body_bytes: 40_000, chunk_bytes: 1 },
    ChunkCase { name: "large", connections: 8, body_bytes: 400_000, chunk_bytes: 1 },
    ChunkCase { name: "seven", connections: 40, body_bytes: 400_000, chunk_bytes: 7 },
];

/// Guards against bodies that take more memory than is counted, since each chunk keeps a whole read buffer.
#[tokio::test]
async fn small_chunks_take_the_memory_of_their_bytes() {
    for case in CASES {
        let mut deployment = ClientDeployment::start().await;
        let bytes = unfinished_chunks(case.body_bytes, case.chunk_bytes);
        let crowd = ClientCrowd::open(deployment.callers, case.connections, &bytes);
        deployment.settle(&crowd).await;
        deployment.check(case.name).await;
    }
}
