//! Asking a peer.
//!
//! Each question has a connection of its own: an answer of megabytes on a link would hold up the
//! probes on it, and a healthy host would be suspected.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use bytes::BytesMut;
use h2::RecvStream;
use http::Method;
use http::Request;
use http::StatusCode;
use tokio::net::TcpStream;
use tokio::time::timeout;

use crate::Direction;
use crate::TrafficKind;
use crate::net::answer_side::ASK_PATH;
use crate::net::counted_stream::CountedStream;
use crate::net::net_state::NetState;
use crate::net::peer_question::AskError;
use crate::net::peer_question::QuestionFrame;

/// Time for a whole answer.
const ASK_TIMEOUT: Duration = Duration::from_secs(5);
/// A longer answer is not read.
const ANSWER_BYTES: usize = 32 * 1024 * 1024;
/// Window of an answer, so that it is not held up by round trips.
const WINDOW_BYTES: u32 = 1024 * 1024;

/// Sends a question and reads the answer.
pub(crate) async fn ask(
    state: Rc<NetState>,
    address: SocketAddr,
    question: QuestionFrame,
) -> Result<Bytes, AskError> {
    let answer = async {
        let stream = TcpStream::connect(address).await.map_err(failed)?;
        stream.set_nodelay(true).map_err(failed)?;
        let stream = CountedStream::new(stream, state.counters.clone());
        let mut builder = h2::client::Builder::new();
        builder
            .enable_push(false)
            .initial_window_size(WINDOW_BYTES)
            .initial_connection_window_size(WINDOW_BYTES);
        let (client, connection) = builder.handshake(stream).await.map_err(failed)?;
        tokio::select! {
            ended = connection => Err(ended.err().map_or(AskError::NoAnswer, failed)),
            answer = put_question(&state, client, &question) => answer,
        }
    };
    tokio::select! {
        answer = timeout(ASK_TIMEOUT, answer) => answer.unwrap_or(Err(AskError::Timeout)),
        () = state.cancellation.cancelled() => Err(AskError::Timeout),
    }
}

async fn put_question(
    state: &NetState,
    client: h2::client::SendRequest<Bytes>,
    question: &QuestionFrame,
) -> Result<Bytes, AskError> {
    let request =
        Request::builder().method(Method::POST).uri(ASK_PATH).body(()).expect("a fixed request");
    let (answer, mut stream) =
        client.ready().await.map_err(failed)?.send_request(request, false).map_err(failed)?;
    let bytes = question.to_bytes();
    state.counters.count(Direction::Sent, TrafficKind::Ask, bytes.len());
    stream.send_data(bytes, true).map_err(failed)?;
    let answer = answer.await.map_err(failed)?;
    match answer.status() {
        StatusCode::OK => read_answer(state, answer.into_body()).await,
        StatusCode::MISDIRECTED_REQUEST => Err(AskError::WrongHost),
        StatusCode::SERVICE_UNAVAILABLE => Err(AskError::Busy),
        _ => Err(AskError::NoAnswer),
    }
}

async fn read_answer(state: &NetState, mut body: RecvStream) -> Result<Bytes, AskError> {
    let mut bytes = BytesMut::new();
    while let Some(chunk) = body.data().await {
        let chunk = chunk.map_err(failed)?;
        body.flow_control().release_capacity(chunk.len()).map_err(failed)?;
        bytes.extend_from_slice(&chunk);
        if bytes.len() > ANSWER_BYTES {
            return Err(AskError::TooLong);
        }
    }
    state.counters.count(Direction::Received, TrafficKind::Ask, bytes.len());
    Ok(bytes.freeze())
}

fn failed<E: std::fmt::Display>(error: E) -> AskError {
    AskError::Connection { reason: error.to_string() }
}
