//! Serves queries from peers.

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
use crate::net::frame_io::SETUP_TIMEOUT;
use crate::net::frame_io::write_all;
use crate::net::link_error::LinkError;
use crate::net::net_state::NetState;
use crate::net::peer_question::QueryFrame;

/// HTTP path of queries.
pub(crate) const QUERY_PATH: &str = "/ask";
const MAX_QUERY_BYTES: usize = 4_096;
/// Further queries are rejected as busy, and the peer asks another host. This keeps a host able to
/// route while a whole zone restarts and queries it.
const MAX_CONCURRENT_QUERIES: usize = 8;

/// Reads one query and sends the response.
pub(crate) async fn serve_query(
    state: Rc<NetState>,
    body: RecvStream,
    mut responder: SendResponse<Bytes>,
) {
    let query = timeout(SETUP_TIMEOUT, read_query(body)).await.unwrap_or(None);
    let (status, payload) = match query {
        Some(query) => build_response(&state, &query),
        None => (StatusCode::BAD_REQUEST, Bytes::new()),
    };
    state.active_queries.set(state.active_queries.get() + 1);
    state.counters.count(Direction::Sent, TrafficKind::Ask, payload.len());
    tokio::select! {
        result = send_response(&mut responder, status, payload) => {
            if let Err(error) = result {
                tracing::debug!(%error, "failed to send query response");
            }
        }
        () = state.cancellation.cancelled() => {}
    }
    state.active_queries.set(state.active_queries.get() - 1);
}

async fn read_query(mut body: RecvStream) -> Option<QueryFrame> {
    let mut bytes = BytesMut::new();
    while let Some(chunk) = body.data().await {
        let chunk = chunk.ok()?;
        body.flow_control().release_capacity(chunk.len()).ok()?;
        bytes.extend_from_slice(&chunk);
        if bytes.len() > MAX_QUERY_BYTES {
            return None;
        }
    }
    QueryFrame::from_bytes(&bytes)
}

fn build_response(state: &NetState, frame: &QueryFrame) -> (StatusCode, Bytes) {
    if frame.fleet != state.fleet || frame.host != state.core.borrow().own().host {
        return (StatusCode::MISDIRECTED_REQUEST, Bytes::new());
    }
    if state.active_queries.get() >= MAX_CONCURRENT_QUERIES {
        return (StatusCode::SERVICE_UNAVAILABLE, Bytes::new());
    }
    let query_handler = state.query_handler.borrow().clone();
    match query_handler.and_then(|handler| handler(frame.query)) {
        Some(bytes) => (StatusCode::OK, bytes),
        None => (StatusCode::NOT_FOUND, Bytes::new()),
    }
}

async fn send_response(
    responder: &mut SendResponse<Bytes>,
    status: StatusCode,
    payload: Bytes,
) -> Result<(), LinkError> {
    let response = Response::builder().status(status).body(()).expect("a valid response");
    let mut stream = responder.send_response(response, false)?;
    write_all(&mut stream, payload).await?;
    stream.send_data(Bytes::new(), true)?;
    Ok(())
}
