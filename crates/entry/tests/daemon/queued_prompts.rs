//! Prompts queued at the daemon until an engine is free.

use fulmargate_consortium_stand::CallerRequest;
use fulmargate_consortium_stand::FakeServer;
use fulmargate_consortium_stand::ServerMode;
use serde_json::json;
use tokio::spawn;
use tokio::task::JoinHandle;

use crate::support::TestDeployment;
use crate::support::initial_config;
use crate::support::wait_until;

/// A prompt that takes an engine 300 ms to process and shares no prefix with prompts of another `prefix`.
fn long_prompt(id: &str, prefix: &str) -> CallerRequest {
    let mut request = CallerRequest::prompt("/chat/x", id);
    request.patience_ms = 8_000;
    let prefixes = format!("{prefix}1:6000,{prefix}2:6000");
    request.headers.retain(|(name, _)| *name != "fulmargate-prompt-prefix");
    request.headers.push(("fulmargate-prompt-prefix", prefixes));
    request
}

fn send(deployment: &TestDeployment, request: CallerRequest) -> JoinHandle<u16> {
    let callers = deployment.callers;
    spawn(async move { request.send(callers).await.expect("a response from the daemon").status })
}

/// The key of a queued prompt is reassigned to an isolated team. The prompt must not be cached under the salt
/// of the former team.
#[tokio::test]
async fn queued_prompts_use_the_newest_configuration() {
    let deployment = TestDeployment::start(ServerMode::Hang).await;
    let mut config = initial_config();
    config.version = 2;
    for route in &mut config.routes {
        route["targetLatencyMs"] = json!(5_000);
        route["timeoutMs"] = json!(8_000);
    }
    deployment.store.put_config(&config);
    wait_until("the target latencies are in force", || {
        deployment.daemon.events("config_accepted").len() == 2
    })
    .await;
    let sent_count = || deployment.engines.iter().map(|engine| engine.seen().len()).sum::<usize>();
    let first = send(&deployment, long_prompt("f-1", "a"));
    wait_until("one engine is busy", || sent_count() == 1).await;
    let second = send(&deployment, long_prompt("f-2", "b"));
    wait_until("both engines are busy", || sent_count() == 2).await;
    let queued = send(&deployment, long_prompt("w-1", "c"));
    wait_until("the third prompt is queued", || {
        !deployment.daemon.events("request_waits").is_empty()
    })
    .await;
    config.version = 3;
    config.teams = vec![("green", "k-red"), ("blue", "k-blue")];
    config.isolated = vec!["green"];
    deployment.store.put_config(&config);
    wait_until("the key is reassigned", || deployment.daemon.events("config_accepted").len() == 3)
        .await;
    deployment.engines.iter().for_each(|engine| engine.set_mode(ServerMode::Stream(1)));
    first.abort();
    assert_eq!(queued.await.expect("the request task completes"), 200);
    second.abort();
    let seen = deployment.engines.iter().flat_map(FakeServer::seen);
    let sent: Vec<_> = seen.filter(|request| request.id() == "w-1").collect();
    assert_eq!(sent.len(), 1, "the queued prompt runs once");
    assert!(sent[0].salt().contains("green"), "{}", sent[0].salt());
}
