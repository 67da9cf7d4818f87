//! Streams: complete and in order, or visibly broken.

use fulmargate_consortium_stand::CallerRequest;
use fulmargate_consortium_stand::ServerMode;
use fulmargate_consortium_stand::ServerStand;

use crate::support::TestDeployment;
use crate::support::until;

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
    deployment.earn_budget().await;
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
    let answer = deployment.send(&CallerRequest::prompt("/once-streamed/x", "s-2")).await;
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
        let mut request = CallerRequest::prompt("/once-streamed/x", "slow");
        request.patience_ms = 2_900;
        request.send(callers).await
    });
    until("an engine runs it", || {
        deployment.engines.iter().any(|engine| !engine.seen().is_empty())
    })
    .await;
    deployment.engines.iter().for_each(ServerStand::stop_accepting);
    let answer = running.await.expect("the task ends").expect("an answer");
    assert_eq!((answer.body, answer.is_whole), (whole(2), true));
}
