//! Streams arrive complete and in order, or are visibly incomplete.

use fulmargate_consortium_stand::CallerRequest;
use fulmargate_consortium_stand::CallerResponse;
use fulmargate_consortium_stand::FakeServer;
use fulmargate_consortium_stand::ServerMode;
use tokio::task::JoinHandle;
use tokio::time::sleep;

use crate::support::POLL_INTERVAL;
use crate::support::REQUEST_TIMEOUT_MS;
use crate::support::TestDeployment;
use crate::support::wait_until;

/// Reads sent to other servers while an engine is silent; they take several target latencies of 400 ms.
const READ_COUNT: usize = 80;

fn event_stream(events: u32) -> String {
    (1..=events).map(|id| format!("id: {id}\ndata: token-{id}\n\n")).collect()
}

#[tokio::test]
async fn a_stream_is_forwarded_completely() {
    let deployment = TestDeployment::start(ServerMode::Stream(7)).await;
    let answer = deployment.send(&CallerRequest::prompt("/chat/x", "s-1")).await;
    assert_eq!((answer.body, answer.is_whole), (event_stream(7), true));
}

/// An engine breaks off within the fourth event. The caller must receive one complete stream in order, without
/// the partial event.
#[tokio::test]
async fn a_broken_stream_resumes_on_another_engine() {
    let deployment = TestDeployment::start(ServerMode::Stream(7)).await;
    deployment.earn_retry_budget().await;
    for number in 0..4 {
        let cut_engine = &deployment.engines[number % 2];
        cut_engine.set_mode(ServerMode::CutStream(3));
        let request = CallerRequest::prompt("/chat/x", &format!("s-{number}"));
        let answer = deployment.send(&request).await;
        assert_eq!((answer.body, answer.is_whole), (event_stream(7), true));
        cut_engine.set_mode(ServerMode::Stream(7));
    }
    let resumed: Vec<String> = deployment
        .engines
        .iter()
        .flat_map(FakeServer::seen)
        .map(|seen| seen.last_event().to_owned())
        .filter(|event| !event.is_empty())
        .collect();
    assert!(resumed.iter().all(|event| event == "3"), "{resumed:?}");
    assert!(!resumed.is_empty(), "no stream was sent to the engine that broke off");
}

/// A truncated stream must not look complete: the connection closes without the end of the body. The prompt
/// is not run again.
#[tokio::test]
async fn a_non_resumable_stream_ends_visibly_incomplete() {
    let deployment = TestDeployment::start(ServerMode::CutStream(3)).await;
    let answer = deployment.send(&CallerRequest::prompt("/non-resumable/x", "s-2")).await;
    assert_eq!((answer.body, answer.is_whole), (event_stream(3), false));
    let run_count: usize = deployment.engines.iter().map(|engine| engine.seen().len()).sum();
    assert_eq!(run_count, 1);
}

/// Cache salts contain the version of the weights, and prompts name the weights that they expect.
#[tokio::test]
async fn prompts_carry_salt_and_weights() {
    let deployment = TestDeployment::start(ServerMode::Stream(1)).await;
    deployment.send(&CallerRequest::prompt("/chat/x", "s-3")).await;
    let seen: Vec<_> = deployment.engines.iter().flat_map(FakeServer::seen).collect();
    assert!(seen[0].salt().starts_with("m/1/"), "{}", seen[0].salt());
    assert_eq!(seen[0].expected_weights(), "1");
}

/// A stream that no other engine may resume must not be cut because its engine pauses and accepts no new
/// connection.
#[tokio::test]
async fn a_non_resumable_stream_waits_for_a_silent_engine() {
    let deployment = TestDeployment::start(ServerMode::SlowStream(2)).await;
    let callers = deployment.callers;
    let request_task = tokio::spawn(async move {
        let mut request = CallerRequest::prompt("/non-resumable/x", "slow");
        request.patience_ms = 2_900;
        request.send(callers).await
    });
    wait_until("an engine runs the request", || {
        deployment.engines.iter().any(|engine| !engine.seen().is_empty())
    })
    .await;
    deployment.engines.iter().for_each(FakeServer::stop_accepting);
    let answer = request_task
        .await
        .expect("the request task completes")
        .expect("a response from the daemon");
    assert_eq!((answer.body, answer.is_whole), (event_stream(2), true));
}

/// On a saturated host link no engine is reachable. A resumable stream must then wait for its own engine and
/// not be abandoned.
#[tokio::test]
async fn a_stream_stays_while_no_other_engine_is_reachable() {
    let deployment = TestDeployment::start_with_long_timeout(ServerMode::Stream(1)).await;
    deployment.earn_retry_budget().await;
    deployment.engines.iter().for_each(|engine| engine.set_mode(ServerMode::SlowStream(2)));
    let request_task = begin_chat(&deployment, "kept-1").await;
    deployment.engines.iter().for_each(FakeServer::stop_accepting);
    let answer = request_task.await.expect("the request task completes");
    let failed = deployment.daemon.events("request_failed");
    assert_eq!((answer.body, answer.is_whole), (event_stream(2), true), "{failed:?}");
}

/// A stream may resume only on the weights that it began with. If no other engine has them, it must wait
/// for its own engine, also when others are reachable.
#[tokio::test]
async fn a_stream_stays_while_no_other_engine_has_its_weights() {
    let deployment = TestDeployment::start_with_long_timeout(ServerMode::Stream(1)).await;
    deployment.earn_retry_budget().await;
    deployment.engines.iter().for_each(|engine| engine.set_mode(ServerMode::SlowStream(2)));
    let request_task = begin_chat(&deployment, "kept-2").await;
    let runs_request =
        |engine: &&FakeServer| engine.seen().iter().any(|seen| seen.id() == "kept-2");
    let current_engine =
        deployment.engines.iter().find(runs_request).expect("an engine runs the request");
    deployment.store.publish_weights(2);
    wait_until("the other engine has the new weights", || {
        let mut others =
            deployment.engines.iter().filter(|engine| engine.name != current_engine.name);
        others.all(|engine| engine.orders().len() == 1)
    })
    .await;
    current_engine.stop_accepting();
    let answer = request_task.await.expect("the request task completes");
    assert_eq!((answer.body, answer.is_whole), (event_stream(2), true));
}

/// A stream must not stall on an engine that is silent and unreachable while another one can resume it.
#[tokio::test]
async fn a_stream_moves_from_a_silent_engine_to_a_reachable_one() {
    let deployment = TestDeployment::start_with_long_timeout(ServerMode::Stream(1)).await;
    deployment.earn_retry_budget().await;
    deployment.engines.iter().for_each(|engine| engine.set_mode(ServerMode::SlowStream(7)));
    let request_task = begin_chat(&deployment, "left").await;
    let runs_request = |engine: &&FakeServer| engine.seen().iter().any(|seen| seen.id() == "left");
    let silent_engine =
        deployment.engines.iter().find(runs_request).expect("an engine runs the request");
    silent_engine.stop_accepting();
    let mut others = deployment.engines.iter().filter(|engine| engine.name != silent_engine.name);
    let next = others.next().expect("another engine");
    next.set_mode(ServerMode::Stream(7));
    let answer = request_task.await.expect("the request task completes");
    assert_eq!((answer.body, answer.is_whole), (event_stream(7), true));
    let resumed = next.seen().into_iter().find(|seen| seen.id() == "left");
    assert!(!resumed.expect("the stream resumes on the next engine").last_event().is_empty());
    assert_eq!(deployment.daemon.events("stream_kept").len(), 0);
}

/// After an engine breaks off, failed connections must not count as attempts at the stream: it resumes as
/// soon as an engine is reachable.
#[tokio::test]
async fn failed_connections_do_not_end_a_stream() {
    let deployment = TestDeployment::start_with_long_timeout(ServerMode::Stream(1)).await;
    deployment.earn_retry_budget().await;
    deployment.engines.iter().for_each(|engine| engine.set_mode(ServerMode::Wait));
    let request_task = begin_chat(&deployment, "lost").await;
    deployment.engines.iter().for_each(FakeServer::stop_accepting);
    deployment.engines.iter().for_each(|engine| engine.set_mode(ServerMode::CutStream(3)));
    wait_until("five connections have failed", || {
        let retried = deployment.daemon.events("attempt_retried");
        4 < retried.iter().filter(|line| line["end"] == "NotSent").count()
    })
    .await;
    let reachable_engine = FakeServer::start("engine-3", ServerMode::Stream(7)).await;
    let reachable_engine = reachable_engine.expect("start an engine");
    deployment.store.put_server(
        &reachable_engine.name,
        "engines",
        reachable_engine.address,
        "ready",
    );
    let answer = request_task.await.expect("the request task completes");
    assert_eq!((answer.body, answer.is_whole), (event_stream(7), true));
}

/// After an engine breaks off, refusals by busy engines must not end the stream while its retry budget and
/// time allow another attempt.
#[tokio::test]
async fn refused_resumptions_do_not_end_a_stream() {
    let deployment = TestDeployment::start_with_long_timeout(ServerMode::Stream(1)).await;
    deployment.earn_retry_budget().await;
    deployment.engines.iter().for_each(|engine| engine.set_mode(ServerMode::Wait));
    let request_task = begin_chat(&deployment, "turned").await;
    let runs_request =
        |engine: &&FakeServer| engine.seen().iter().any(|seen| seen.id() == "turned");
    let cut_engine =
        deployment.engines.iter().find(runs_request).expect("an engine runs the request");
    let mut others = deployment.engines.iter().filter(|engine| engine.name != cut_engine.name);
    let refusing_engine = others.next().expect("another engine");
    refusing_engine.set_mode(ServerMode::Refuse);
    cut_engine.stop_accepting();
    cut_engine.set_mode(ServerMode::CutStream(3));
    wait_until("five resumptions were refused", || {
        let retried = deployment.daemon.events("attempt_retried");
        4 < retried.iter().filter(|line| line["end"] == "Refused").count()
    })
    .await;
    refusing_engine.set_mode(ServerMode::Stream(7));
    let answer = request_task.await.expect("the request task completes");
    assert_eq!((answer.body, answer.is_whole), (event_stream(7), true));
}

/// No other engine may resume the stream after its last attempt. It must then wait for an engine that is
/// silent for longer than the target latency.
#[tokio::test]
async fn a_stream_on_its_last_attempt_waits_for_its_engine() {
    let deployment = TestDeployment::start_with_long_timeout(ServerMode::Stream(1)).await;
    deployment.earn_retry_budget().await;
    deployment.engines.iter().for_each(|engine| engine.set_mode(ServerMode::SlowStream(7)));
    let request_task = begin_chat(&deployment, "last").await;
    let runs_request = |engine: &&FakeServer| engine.seen().iter().any(|seen| seen.id() == "last");
    let silent_engine =
        deployment.engines.iter().find(runs_request).expect("an engine runs the request");
    let mut others = deployment.engines.iter().filter(|engine| engine.name != silent_engine.name);
    let next = others.next().expect("another engine");
    next.set_mode(ServerMode::Wait);
    silent_engine.stop_accepting();
    wait_until("the other engine runs the request", || runs_request(&next)).await;
    next.block_connections().await.expect("block new connections");
    for number in 0..READ_COUNT {
        deployment.send(&CallerRequest::new("/read/x", &format!("read-{number}"))).await;
        sleep(POLL_INTERVAL).await;
    }
    next.set_mode(ServerMode::Stream(7));
    let answer = request_task.await.expect("the request task completes");
    assert_eq!((answer.body, answer.is_whole), (event_stream(7), true));
}

/// Sends a prompt and returns once an engine has begun to run it.
async fn begin_chat(deployment: &TestDeployment, id: &str) -> JoinHandle<CallerResponse> {
    let callers = deployment.callers;
    let mut request = CallerRequest::prompt("/chat/x", id);
    request.patience_ms = REQUEST_TIMEOUT_MS;
    let request_task =
        tokio::spawn(
            async move { request.send(callers).await.expect("a response from the daemon") },
        );
    wait_until("an engine runs the request", || {
        let seen: Vec<_> = deployment.engines.iter().flat_map(FakeServer::seen).collect();
        seen.iter().any(|seen| seen.id() == id)
    })
    .await;
    request_task
}
