//! Sends queries to peers.
//!
//! Each query uses its own connection. A response of several megabytes on a link would delay the
//! probes behind it, and a healthy host would be suspected.

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
use crate::net::counting_stream::CountingStream;
use crate::net::net_state::NetState;
use crate::net::peer_question::QueryError;
use crate::net::peer_question::QueryFrame;
use crate::net::query_server::QUERY_PATH;

/// Timeout of a whole query, from connecting to the last byte of the response.
const QUERY_TIMEOUT: Duration = Duration::from_secs(5);
const MAX_RESPONSE_BYTES: usize = 32 * 1024 * 1024;
/// HTTP/2 flow-control window, large enough that round trips do not limit the throughput.
const RESPONSE_WINDOW_BYTES: u32 = 1024 * 1024;

/// Sends a query and reads the response.
pub(crate) async fn send_query(
    state: Rc<NetState>,
    address: SocketAddr,
    query: QueryFrame,
) -> Result<Bytes, QueryError> {
    let response = async {
        let stream = TcpStream::connect(address).await.map_err(connection_error)?;
        stream.set_nodelay(true).map_err(connection_error)?;
        let stream = CountingStream::new(stream, state.counters.clone());
        let mut builder = h2::client::Builder::new();
        builder
            .enable_push(false)
            .initial_window_size(RESPONSE_WINDOW_BYTES)
            .initial_connection_window_size(RESPONSE_WINDOW_BYTES);
        let (client, connection) = builder.handshake(stream).await.map_err(connection_error)?;
        tokio::select! {
            result = connection => Err(result.err().map_or(QueryError::NoAnswer, connection_error)),
            response = post_query(&state, client, &query) => response,
        }
    };
    tokio::select! {
        response = timeout(QUERY_TIMEOUT, response) => response.unwrap_or(Err(QueryError::Timeout)),
        () = state.cancellation.cancelled() => Err(QueryError::Timeout),
    }
}

async fn post_query(
    state: &NetState,
    client: h2::client::SendRequest<Bytes>,
    query: &QueryFrame,
) -> Result<Bytes, QueryError> {
    let request =
        Request::builder().method(Method::POST).uri(QUERY_PATH).body(()).expect("a valid request");
    let (response, mut stream) = client
        .ready()
        .await
        .map_err(connection_error)?
        .send_request(request, false)
        .map_err(connection_error)?;
    let bytes = query.to_bytes();
    state.counters.count(Direction::Sent, TrafficKind::Ask, bytes.len());
    stream.send_data(bytes, true).map_err(connection_error)?;
    let response = response.await.map_err(connection_error)?;
    match response.status() {
        StatusCode::OK => read_response(state, response.into_body()).await,
        StatusCode::MISDIRECTED_REQUEST => Err(QueryError::WrongHost),
        StatusCode::SERVICE_UNAVAILABLE => Err(QueryError::Busy),
        _ => Err(QueryError::NoAnswer),
    }
}

async fn read_response(state: &NetState, mut body: RecvStream) -> Result<Bytes, QueryError> {
    let mut bytes = BytesMut::new();
    while let Some(chunk) = body.data().await {
        let chunk = chunk.map_err(connection_error)?;
        body.flow_control().release_capacity(chunk.len()).map_err(connection_error)?;
        bytes.extend_from_slice(&chunk);
        if bytes.len() > MAX_RESPONSE_BYTES {
            return Err(QueryError::TooLong);
        }
    }
    state.counters.count(Direction::Received, TrafficKind::Ask, bytes.len());
    Ok(bytes.freeze())
}

fn connection_error<E: std::fmt::Display>(error: E) -> QueryError {
    QueryError::Connection { reason: error.to_string() }
}
