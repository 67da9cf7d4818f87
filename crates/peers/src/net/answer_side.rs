//! Answering questions of peers.

use std::rc::Rc;

use bytes::Bytes;
use bytes::BytesMut;
use h2::RecvStream;
use h2::server::SendResponse;
use http::Response;
use http::StatusCode;
use tokio::time::timeout;

use crate::Direction;
use crate::TrafficKind;
use crate::net::frame_pump::SETUP_TIMEOUT;
use crate::net::frame_pump::write_bytes;
use crate::net::link_error::LinkError;
use crate::net::net_state::NetState;
use crate::net::peer_question::QuestionFrame;

/// Path of questions.
pub(crate) const ASK_PATH: &str = "/ask";
/// A longer question is not read.
const QUESTION_LIMIT: usize = 4_096;
/// Answers given at once. When a whole zone starts anew, its hosts ask the few that are up: these
/// must go on routing, and whoever is turned away asks another.
const ANSWER_LIMIT: usize = 8;

/// Reads one question and answers it.
pub(crate) async fn answer(
    state: Rc<NetState>,
    body: RecvStream,
    mut respond: SendResponse<Bytes>,
) {
    let question = timeout(SETUP_TIMEOUT, read_question(body)).await.unwrap_or(None);
    let (status, answer) = match question {
        Some(question) => decide(&state, &question),
        None => (StatusCode::BAD_REQUEST, Bytes::new()),
    };
    state.answers_open.set(state.answers_open.get() + 1);
    state.counters.count(Direction::Sent, TrafficKind::Ask, answer.len());
    tokio::select! {
        sent = send_answer(&mut respond, status, answer) => {
            if let Err(error) = sent {
                tracing::debug!(%error, "an answer was not taken");
            }
        }
        () = state.cancellation.cancelled() => {}
    }
    state.answers_open.set(state.answers_open.get() - 1);
}

async fn read_question(mut body: RecvStream) -> Option<QuestionFrame> {
    let mut bytes = BytesMut::new();
    while let Some(chunk) = body.data().await {
        let chunk = chunk.ok()?;
        body.flow_control().release_capacity(chunk.len()).ok()?;
        bytes.extend_from_slice(&chunk);
        if bytes.len() > QUESTION_LIMIT {
            return None;
        }
    }
    QuestionFrame::from_bytes(&bytes)
}

fn decide(state: &NetState, frame: &QuestionFrame) -> (StatusCode, Bytes) {
    if frame.fleet != state.fleet || frame.host != state.core.borrow().own().host {
        return (StatusCode::MISDIRECTED_REQUEST, Bytes::new());
    }
    if state.answers_open.get() >= ANSWER_LIMIT {
        return (StatusCode::SERVICE_UNAVAILABLE, Bytes::new());
    }
    let answerer = state.answerer.borrow().clone();
    match answerer.and_then(|answerer| answerer(frame.question)) {
        Some(bytes) => (StatusCode::OK, bytes),
        None => (StatusCode::NOT_FOUND, Bytes::new()),
    }
}

async fn send_answer(
    respond: &mut SendResponse<Bytes>,
    status: StatusCode,
    answer: Bytes,
) -> Result<(), LinkError> {
    let head = Response::builder().status(status).body(()).expect("a fixed answer");
    let mut stream = respond.send_response(head, false)?;
    write_bytes(&mut stream, answer).await?;
    stream.send_data(Bytes::new(), true)?;
    Ok(())
}
