//! Streams: complete and in order, or visibly broken.

use fulmargate_consortium_stand::CallerAnswer;
use fulmargate_consortium_stand::CallerRequest;
use fulmargate_consortium_stand::ServerMode;
use fulmargate_consortium_stand::ServerStand;
use tokio::task::JoinHandle;
use tokio::time::sleep;

use crate::support::POLL_INTERVAL;
use crate::support::REQUEST_TIMEOUT_MS;
use crate::support::TestDeployment;
use crate::support::wait_until;

/// Requests to other servers while one is silent: several of the route's targets, 400 ms, go by.
const LOOKS: usize = 80;

fn whole(events: u32) -> String {
    (1..=events).map(|id| format!("id: {id}\ndata: token-{id}\n\n")).collect()
}

#[tokio::test]
async fn a_stream_passes_whole() {
    let deployment = TestDeployment::start(ServerMode::Stream(7)).await;
    let answer = deployment.send(&CallerRequest::prompt("/chat/x", "s-1")).await;
    assert_eq!((answer.body, answer.is_whole), (whole(7), true));
}

/// A visitor's answer stops in the middle of a word.
/// The engine breaks off within the fourth event; the other goes on after the third.
/// The caller sees one stream, complete and in order, with nothing of the half event.
#[tokio::test]
async fn a_broken_stream_goes_on_elsewhere() {
    let deployment = TestDeployment::start(ServerMode::Stream(7)).await;
    deployment.earn_retry_budget().await;
    for turn in 0..4 {
        let breaking = &deployment.engines[turn % 2];
        breaking.set_mode(ServerMode::CutStream(3));
        let request = CallerRequest::prompt("/chat/x", &format!("s-{turn}"));
        let answer = deployment.send(&request).await;
        assert_eq!((answer.body, answer.is_whole), (whole(7), true));
        breaking.set_mode(ServerMode::Stream(7));
    }
    let resumed: Vec<String> = deployment
        .engines
        .iter()
        .flat_map(ServerStand::seen)
        .map(|seen| seen.last_event().to_owned())
        .filter(|event| !event.is_empty())
        .collect();
    assert!(resumed.iter().all(|event| event == "3"), "{resumed:?}");
    assert!(!resumed.is_empty(), "one of the engines that broke was chosen");
}

/// A stream that may not be resumed breaks. What the caller has must not look complete: the
/// connection is closed without the end of the body, and nothing runs a second time.
#[tokio::test]
async fn a_stream_that_may_not_go_on_is_visibly_broken() {
    let deployment = TestDeployment::start(ServerMode::CutStream(3)).await;
    let answer = deployment.send(&CallerRequest::prompt("/non-resumable/x", "s-2")).await;
    assert_eq!((answer.body, answer.is_whole), (whole(3), false));
    let runs: usize = deployment.engines.iter().map(|engine| engine.seen().len()).sum();
    assert_eq!(runs, 1);
}

/// Two prompts of one team share a salt, another version of the weights or team would not.
#[tokio::test]
async fn prompts_carry_salt_and_weights() {
    let deployment = TestDeployment::start(ServerMode::Stream(1)).await;
    deployment.send(&CallerRequest::prompt("/chat/x", "s-3")).await;
    let seen: Vec<_> = deployment.engines.iter().flat_map(ServerStand::seen).collect();
    assert!(seen[0].salt().starts_with("m/1/"), "{}", seen[0].salt());
    assert_eq!(seen[0].expected_weights(), "1");
}

/// A curator's batch is cut off in the middle although its engine was about to go on.
/// The engine is busy: it is silent for longer than callers like, and takes no new connection.
/// The stream cannot be had elsewhere, so it is waited for, and comes whole.
#[tokio::test]
async fn a_silent_engine_is_no_reason_to_break_off() {
    let deployment = TestDeployment::start(ServerMode::SlowStream(2)).await;
    let callers = deployment.callers;
    let running = tokio::spawn(async move {
        let mut request = CallerRequest::prompt("/non-resumable/x", "slow");
        request.patience_ms = 2_900;
        request.send(callers).await
    });
    wait_until("an engine runs it", || {
        deployment.engines.iter().any(|engine| !engine.seen().is_empty())
    })
    .await;
    deployment.engines.iter().for_each(ServerStand::stop_accepting);
    let answer = running.await.expect("the task ends").expect("an answer");
    assert_eq!((answer.body, answer.is_whole), (whole(2), true));
}

/// A visitor's answer stops in the middle although its engine is well and sends on.
/// The entry host's own link is full for a second: no event comes, and no connection is to be had, neither
/// to the engine (`Broken`, "silent, and no connection in time") nor to any other server 0.15 s later.
/// The stream may be had elsewhere by its rule, but is not: it is waited for, and comes whole.
#[tokio::test]
async fn a_silent_engine_is_kept_while_no_other_can_be_reached() {
    let deployment = TestDeployment::start_with_long_timeout(ServerMode::Stream(1)).await;
    deployment.earn_retry_budget().await;
    deployment.engines.iter().for_each(|engine| engine.set_mode(ServerMode::SlowStream(2)));
    let running = begin_slow_chat(&deployment, "kept-1").await;
    deployment.engines.iter().for_each(ServerStand::stop_accepting);
    let answer = running.await.expect("the task ends");
    let failed = deployment.daemon.events("request_failed");
    assert_eq!((answer.body, answer.is_whole), (whole(2), true), "{failed:?}");
}

/// A visitor's answer stops in the middle, a millisecond after its engine was given up.
/// New weights are in place everywhere, and the stream may go on only on those that it began on.
/// Its engine is silent for a second and takes no connection; another one could be reached, but
/// none may go on with the stream. It is waited for, and comes whole.
#[tokio::test]
async fn a_silent_engine_is_kept_while_no_other_has_its_weights() {
    let deployment = TestDeployment::start_with_long_timeout(ServerMode::Stream(1)).await;
    deployment.earn_retry_budget().await;
    deployment.engines.iter().for_each(|engine| engine.set_mode(ServerMode::SlowStream(2)));
    let running = begin_slow_chat(&deployment, "kept-2").await;
    let is_busy = |engine: &&ServerStand| engine.seen().iter().any(|seen| seen.id() == "kept-2");
    let busy = deployment.engines.iter().find(is_busy).expect("an engine runs it");
    deployment.store.name_weights(2);
    wait_until("the others have the new weights", || {
        let mut others = deployment.engines.iter().filter(|engine| engine.name != busy.name);
        others.all(|engine| engine.orders().len() == 1)
    })
    .await;
    busy.stop_accepting();
    let answer = running.await.expect("the task ends");
    assert_eq!((answer.body, answer.is_whole), (whole(2), true));
}

/// A visitor's answer stands still: its engine is gone without a word.
/// After a second without an event no connection to it is to be had; another engine takes one, has
/// the same weights, and the budget allows a repeat. The stream goes on there, complete and in order.
#[tokio::test]
async fn a_silent_engine_is_left_for_one_that_can_be_reached() {
    let deployment = TestDeployment::start_with_long_timeout(ServerMode::Stream(1)).await;
    deployment.earn_retry_budget().await;
    deployment.engines.iter().for_each(|engine| engine.set_mode(ServerMode::SlowStream(7)));
    let running = begin_slow_chat(&deployment, "left").await;
    let runs_it = |engine: &&ServerStand| engine.seen().iter().any(|seen| seen.id() == "left");
    let gone = deployment.engines.iter().find(runs_it).expect("an engine runs it");
    gone.stop_accepting();
    let mut others = deployment.engines.iter().filter(|engine| engine.name != gone.name);
    let next = others.next().expect("another engine");
    next.set_mode(ServerMode::Stream(7));
    let answer = running.await.expect("the task ends");
    assert_eq!((answer.body, answer.is_whole), (whole(7), true));
    let resumed = next.seen().into_iter().find(|seen| seen.id() == "left");
    assert!(!resumed.expect("it goes on there").last_event().is_empty());
    assert_eq!(deployment.daemon.events("stream_kept").len(), 0);
}

/// A visitor's answer stops in the middle although an engine is free to go on with it.
/// Its engine breaks off, and no engine takes a connection for a while, five times in a row, as on a host
/// whose link is full. Nothing was sent to any, so that this is no reason to end the answer: it goes on at
/// the engine that can be reached, and is whole.
#[tokio::test]
async fn engines_without_a_connection_do_not_end_a_stream() {
    let deployment = TestDeployment::start_with_long_timeout(ServerMode::Stream(1)).await;
    deployment.earn_retry_budget().await;
    deployment.engines.iter().for_each(|engine| engine.set_mode(ServerMode::Wait));
    let running = begin_slow_chat(&deployment, "lost").await;
    deployment.engines.iter().for_each(ServerStand::stop_accepting);
    deployment.engines.iter().for_each(|engine| engine.set_mode(ServerMode::CutStream(3)));
    wait_until("five connections did not come about", || {
        let retried = deployment.daemon.events("attempt_retried");
        4 < retried.iter().filter(|line| line["end"] == "NotSent").count()
    })
    .await;
    let reached = ServerStand::start("engine-3", ServerMode::Stream(7)).await;
    let reached = reached.expect("an engine starts");
    deployment.store.put_server(&reached.name, "engines", reached.address, "ready");
    let answer = running.await.expect("the task ends");
    assert_eq!((answer.body, answer.is_whole), (whole(7), true));
}

/// A visitor's answer stops in the middle while engines are busy for a moment.
/// Its engine breaks off, and those asked to go on turn it away: they say that they did not run it, five
/// times in a row. Nothing ran, the budget allows another try, and the caller still waits: the stream
/// goes on as soon as an engine takes it, and is whole.
#[tokio::test]
async fn engines_that_turn_a_stream_away_do_not_end_it() {
    let deployment = TestDeployment::start_with_long_timeout(ServerMode::Stream(1)).await;
    deployment.earn_retry_budget().await;
    deployment.engines.iter().for_each(|engine| engine.set_mode(ServerMode::Wait));
    let running = begin_slow_chat(&deployment, "turned").await;
    let runs_it = |engine: &&ServerStand| engine.seen().iter().any(|seen| seen.id() == "turned");
    let broken = deployment.engines.iter().find(runs_it).expect("an engine runs it");
    let mut others = deployment.engines.iter().filter(|engine| engine.name != broken.name);
    let busy = others.next().expect("another engine");
    busy.set_mode(ServerMode::Refuse);
    broken.stop_accepting();
    broken.set_mode(ServerMode::CutStream(3));
    wait_until("it was turned away five times", || {
        let retried = deployment.daemon.events("attempt_retried");
        4 < retried.iter().filter(|line| line["end"] == "Refused").count()
    })
    .await;
    busy.set_mode(ServerMode::Stream(7));
    let answer = running.await.expect("the task ends");
    assert_eq!((answer.body, answer.is_whole), (whole(7), true));
}

/// A visitor's answer stops in the middle although its engine is about to go on.
/// The first engine is gone, and the stream goes on at another, which is the last that may run it. That one
/// is silent for longer than the route's target and takes no connection, while other servers do.
/// Nobody else may have the stream, so that it is waited for, and comes whole.
#[tokio::test]
async fn the_last_attempt_of_a_stream_is_waited_for() {
    let deployment = TestDeployment::start_with_long_timeout(ServerMode::Stream(1)).await;
    deployment.earn_retry_budget().await;
    deployment.engines.iter().for_each(|engine| engine.set_mode(ServerMode::SlowStream(7)));
    let running = begin_slow_chat(&deployment, "last").await;
    let runs_it = |engine: &&ServerStand| engine.seen().iter().any(|seen| seen.id() == "last");
    let gone = deployment.engines.iter().find(runs_it).expect("an engine runs it");
    let mut others = deployment.engines.iter().filter(|engine| engine.name != gone.name);
    let next = others.next().expect("another engine");
    next.set_mode(ServerMode::Wait);
    gone.stop_accepting();
    wait_until("the other runs it", || runs_it(&next)).await;
    next.hold_connections().await.expect("connections hang");
    for turn in 0..LOOKS {
        deployment.send(&CallerRequest::new("/read/x", &format!("look-{turn}"))).await;
        sleep(POLL_INTERVAL).await;
    }
    next.set_mode(ServerMode::Stream(7));
    let answer = running.await.expect("the task ends");
    assert_eq!((answer.body, answer.is_whole), (whole(7), true));
}

/// A visitor's question that an engine answers with long pauses, once the engine runs it.
async fn begin_slow_chat(deployment: &TestDeployment, id: &str) -> JoinHandle<CallerAnswer> {
    let callers = deployment.callers;
    let mut request = CallerRequest::prompt("/chat/x", id);
    request.patience_ms = REQUEST_TIMEOUT_MS;
    let running = tokio::spawn(async move { request.send(callers).await.expect("an answer") });
    wait_until("an engine runs it", || {
        let seen: Vec<_> = deployment.engines.iter().flat_map(ServerStand::seen).collect();
        seen.iter().any(|seen| seen.id() == id)
    })
    .await;
    running
}
