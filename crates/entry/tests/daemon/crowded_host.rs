//! A host that takes nearly all new connections.

use std::time::Duration;

use fulmargate_consortium_stand::CallerRequest;
use fulmargate_consortium_stand::FakeServer;
use fulmargate_consortium_stand::FakeStore;
use fulmargate_consortium_stand::ServerMode;
use fulmargate_consortium_stand::open_stream;
use serde_json::json;
use tokio::time::sleep;

use crate::cut_fleet::patient_config;
use crate::support::DaemonProcess;
use crate::support::REQUEST_TIMEOUT_MS;
use crate::support::wait_until;

/// Memory that the host may use.
const MEMORY_MB: u64 = 64;
/// Callers that come at once, each with a connection of its own.
const CALLERS: usize = 3_000;
const BODY_BYTES: usize = 18_000;
const SETTLE_TIME: Duration = Duration::from_secs(3);

fn prompt(id: &str, body: &'static str) -> CallerRequest {
    let mut request = CallerRequest::prompt("/chat/x", id);
    request.patience_ms = REQUEST_TIMEOUT_MS;
    request.body = body;
    request
}

/// Guards against a host that ends for memory because it reads more requests than it can hold.
#[tokio::test]
async fn a_crowded_host_keeps_to_its_memory() {
    let store = FakeStore::start().await.expect("start the store");
    store.put_config(&patient_config(REQUEST_TIMEOUT_MS));
    let engine = FakeServer::start("engine-1", ServerMode::Wait).await.expect("start an engine");
    store.put_server(&engine.name, "engines", engine.address, "ready");
    let settings = json!({"memory_mb": MEMORY_MB});
    let daemon = DaemonProcess::start_with_settings(store.address, &settings);
    let callers = daemon.address("callers").await;
    wait_until("the engine is listed", || !daemon.events("server_listed").is_empty()).await;
    let body: &'static str = "x".repeat(BODY_BYTES).leak();
    let mut tasks = Vec::new();
    for number in 0..CALLERS {
        let request = prompt(&format!("crowd-{number}"), body);
        tasks.push(tokio::spawn(async move {
            let mut response = open_stream(&request, callers).await.ok()?;
            response.read_events(1).await.then_some(())
        }));
    }
    sleep(SETTLE_TIME).await;
    let used_mb = daemon.resident_kb() / 1_024;
    assert!(used_mb < MEMORY_MB, "{used_mb} MB in use");
    engine.set_mode(ServerMode::Echo);
    let mut served = 0;
    for task in tasks {
        served += usize::from(task.await.expect("a finished task").is_some());
    }
    assert!(0 < served, "none of the requests that were read is served");
    let answer = prompt("after", body).send(callers).await.expect("a response");
    assert_eq!(answer.status, 200, "after the crowd");
}
