use http_body_util::BodyExt;
use tokio::sync::mpsc::channel;
use tokio::task::LocalSet;
use tokio::task::spawn_local;

use super::*;

struct RelayCase {
    parts: usize,
    is_completed: bool,
}

const CASES: &[RelayCase] = &[
    RelayCase { parts: 0, is_completed: false },
    RelayCase { parts: 1, is_completed: false },
    RelayCase { parts: 0, is_completed: true },
    RelayCase { parts: 1, is_completed: true },
];

/// Guards against the end of a relay, such as by a panic, that is taken for the end of its stream.
#[tokio::test]
async fn a_relay_that_just_ends_aborts_its_response() {
    for case in CASES {
        let tasks = LocalSet::new();
        let body = tasks.run_until(async {
            let (sender, pieces) = channel(2);
            let part = StreamPiece::Bytes(Bytes::from_static(b"data: a"));
            let sent = (0..case.parts).map(|_| part.clone());
            let end = case.is_completed.then_some(StreamPiece::Complete);
            for piece in sent.chain(end) {
                sender.try_send(piece).expect("room for all pieces");
            }
            let _task = AbortOnDropHandle::new(spawn_local(async move { drop(sender) }));
            ResponseBody::Streamed { pieces, _task, reset: None }.collect().await
        });
        assert_eq!(body.await.is_ok(), case.is_completed, "{} parts", case.parts);
    }
}
