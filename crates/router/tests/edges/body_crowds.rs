//! Crowds of large bodies.

use fulmargate_names::ErrorKind;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

use crate::raw_call::RawCall;
use crate::raw_call::read_answer;
use crate::router_bench::RouterBench;

const BODY_LIMIT: usize = 512 * 1024;
const BODY_MEMORY: usize = 1024 * 1024;
/// More than fit into the memory for bodies.
const CROWD: usize = 6;
/// Longer than the test takes.
const REQUEST_TIMEOUT_MS: u64 = 20_000;

/// Guards against bodies that are bounded each and together take all memory, and against small requests that are
/// refused for them.
#[actix_rt::test]
async fn bodies_are_bounded_together() {
    let bench = RouterBench::start_with(|settings| {
        let callers = &mut settings.routers[0].callers;
        callers.body_limit_bytes = BODY_LIMIT;
        callers.body_memory_bytes = BODY_MEMORY;
        callers.request_timeout_ms = REQUEST_TIMEOUT_MS;
    })
    .await;
    let mut crowd = Vec::new();
    for _ in 0..CROWD {
        let mut connection = TcpStream::connect(bench.callers()).await.expect("connect");
        let head = RawCall::good().head(BODY_LIMIT);
        connection.write_all(head.as_bytes()).await.expect("send the head");
        let body = vec![b' '; BODY_LIMIT - 1];
        connection.write_all(&body).await.expect("send all but the last byte");
        crowd.push(connection);
    }
    let good = RawCall::good().send(bench.callers()).await;
    assert_eq!(good.status, 200, "a small request beside large ones: {good:?}");
    let mut refused = 0;
    for mut connection in crowd {
        connection.write_all(b" ").await.expect("send the last byte");
        let answer = read_answer(connection).await;
        if answer.status == ErrorKind::QueueFull.row().status {
            assert_eq!(answer.header("x-fulmargate-disposition"), Some("not-run"), "{answer:?}");
            refused += 1;
        }
    }
    let fitting = BODY_MEMORY / (BODY_LIMIT - 64 * 1024);
    assert!(CROWD - fitting <= refused, "{refused} of {CROWD} are refused");
}
