//! Streams that are not read, and streams beside crowds.

use bytes::Bytes;
use fulmargate_consortium_stand::CallerRequest;
use fulmargate_consortium_stand::ClientCrowd;
use fulmargate_consortium_stand::FakeServer;
use fulmargate_consortium_stand::RawHead;
use fulmargate_consortium_stand::ServerMode;
use fulmargate_consortium_stand::open_stream;

use crate::client_deployment::BODY_BYTES;
use crate::client_deployment::ClientDeployment;
use crate::client_deployment::unfinished_length;
use crate::support::REQUEST_TIMEOUT_MS;
use crate::support::wait_until;

const CONNECTIONS: usize = 600;
/// A stream's bytes, more than the system's buffers take.
const STREAM_BYTES: usize = 4 << 20;
const SLOW_EVENTS: u32 = 4;
/// Body of a stream's request, more than a small holder has.
const LARGE_BODY_BYTES: usize = 1 << 20;
/// Unfinished bodies that need more than there is for large ones.
const LARGE_BODIES: usize = 30;

struct StreamCase {
    name: &'static str,
    event_bytes: usize,
}

const CASES: &[StreamCase] = &[
    StreamCase { name: "small events", event_bytes: 2 << 10 },
    StreamCase { name: "large events", event_bytes: 16 << 10 },
];

/// Starts an engine and waits until the daemon lists it.
async fn start_engine(deployment: &ClientDeployment, mode: ServerMode) -> FakeServer {
    let engine = FakeServer::start("engine-1", mode).await.expect("start an engine");
    deployment.store.put_server(&engine.name, "engines", engine.address, "ready");
    let listed = || deployment.daemon.events("server_listed").len();
    wait_until("the engine is listed", || listed() == 2).await;
    engine
}

/// Guards against streams whose events wait for callers who do not read, beyond the memory for them.
#[tokio::test]
async fn unread_streams_keep_to_the_memory() {
    for case in CASES {
        let mut deployment = ClientDeployment::start().await;
        let events = (STREAM_BYTES / case.event_bytes) as u32;
        let mode = ServerMode::StreamBytes(events, case.event_bytes);
        let engine = start_engine(&deployment, mode).await;
        let request = Bytes::from(RawHead::of_prompt("POST /chat/x").text());
        let crowd = ClientCrowd::open(deployment.callers, CONNECTIONS, &request);
        deployment.settle(&crowd).await;
        deployment.check(case.name).await;
        assert_ne!(engine.seen().len(), 0, "{}: no stream has begun", case.name);
    }
}

/// Guards against a stream that is closed for memory because its request was large and its events are few.
#[tokio::test]
async fn a_stream_of_a_large_request_is_not_closed_for_memory() {
    let deployment = ClientDeployment::start().await;
    let engine = start_engine(&deployment, ServerMode::SlowStream(SLOW_EVENTS)).await;
    let mut request = CallerRequest::prompt("/chat/x", "large");
    request.patience_ms = REQUEST_TIMEOUT_MS;
    request.body = "x".repeat(LARGE_BODY_BYTES).leak();
    let mut stream = open_stream(&request, deployment.callers).await.expect("the stream begins");
    assert!(stream.read_events(1).await, "no event");
    let bodies = unfinished_length(BODY_BYTES);
    let _crowd = ClientCrowd::open(deployment.callers, LARGE_BODIES, &bodies);
    let answer = stream.read_rest().await.expect("the stream");
    assert!(answer.is_whole, "broken after {:?}", answer.body);
    assert_eq!(engine.seen().len(), 1, "requests at the engine");
}
