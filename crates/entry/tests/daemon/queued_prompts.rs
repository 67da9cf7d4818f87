//! Prompts that wait at the daemon for an engine.

use fulmargate_consortium_stand::CallerRequest;
use fulmargate_consortium_stand::ServerMode;
use fulmargate_consortium_stand::ServerStand;
use serde_json::json;
use tokio::spawn;
use tokio::task::JoinHandle;

use crate::support::TestDeployment;
use crate::support::initial_config;
use crate::support::wait_until;

/// A prompt that takes an engine 300 ms to read, with parts of its own.
fn long_prompt(id: &str, part: &str) -> CallerRequest {
    let mut request = CallerRequest::prompt("/chat/x", id);
    request.patience_ms = 8_000;
    let parts = format!("{part}1:6000,{part}2:6000");
    request.headers.retain(|(name, _)| *name != "fulmargate-prompt-prefix");
    request.headers.push(("fulmargate-prompt-prefix", parts));
    request
}

fn send(deployment: &TestDeployment, request: CallerRequest) -> JoinHandle<u16> {
    let callers = deployment.callers;
    spawn(async move { request.send(callers).await.expect("an answer").status })
}

/// Parts of prompts are shared with the wrong team.
/// A prompt waits for an engine; its key passes to an isolated team meanwhile, and the engine that is
/// chosen then caches it under the salt of the team that had the key. What has waited is judged by the
/// newest configuration: an engine is chosen anew, under the new team's salt.
#[tokio::test]
async fn what_waits_is_judged_by_the_newest_configuration() {
    let deployment = TestDeployment::start(ServerMode::Hang).await;
    let mut config = initial_config();
    config.version = 2;
    for route in &mut config.routes {
        route["targetLatencyMs"] = json!(5_000);
        route["timeoutMs"] = json!(8_000);
    }
    deployment.store.put_config(&config);
    wait_until("the targets are known", || deployment.daemon.events("config_accepted").len() == 2)
        .await;
    let sends = || deployment.engines.iter().map(|engine| engine.seen().len()).sum::<usize>();
    let first = send(&deployment, long_prompt("f-1", "a"));
    wait_until("one engine is busy", || sends() == 1).await;
    let second = send(&deployment, long_prompt("f-2", "b"));
    wait_until("both engines are busy", || sends() == 2).await;
    let waiting = send(&deployment, long_prompt("w-1", "c"));
    wait_until("it waits", || !deployment.daemon.events("request_waits").is_empty()).await;
    config.version = 3;
    config.teams = vec![("green", "k-red"), ("blue", "k-blue")];
    config.isolated = vec!["green"];
    deployment.store.put_config(&config);
    wait_until("the key has passed on", || deployment.daemon.events("config_accepted").len() == 3)
        .await;
    deployment.engines.iter().for_each(|engine| engine.set_mode(ServerMode::Stream(1)));
    first.abort();
    assert_eq!(waiting.await.expect("a status"), 200);
    second.abort();
    let seen = deployment.engines.iter().flat_map(ServerStand::seen);
    let sent: Vec<_> = seen.filter(|request| request.id() == "w-1").collect();
    assert_eq!(sent.len(), 1, "it ran once");
    assert!(sent[0].salt().contains("green"), "{}", sent[0].salt());
}
