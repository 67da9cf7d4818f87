//! Sends one attempt to a replica of a plain service.
//!
//! On `hyper`, not on `awc`: `awc` takes a chunked body that is cut between two chunks for a whole
//! one, and names a connection that ended before the answer among those that were never made. Of a
//! call that may not run twice both must be known for certain.

#[cfg(test)]
mod tests;

use std::io::ErrorKind;
use std::time::Duration;

use actix_web::http::StatusCode;
use actix_web::http::header;
use actix_web::http::header::HeaderMap;
use actix_web::http::header::HeaderName;
use actix_web::http::header::HeaderValue;
use bytes::Bytes;
use fulmargate_dispatch::BodyFraming;
use fulmargate_dispatch::ContentEnd;
use fulmargate_dispatch::EndVerdict;
use fulmargate_dispatch::ResponseEnd;
use fulmargate_dispatch::ServerStanding;
use fulmargate_dispatch::TransportEnd;
use fulmargate_names::NOT_RUN;
use fulmargate_names::REQUEST_ID;
use fulmargate_names::ServerName;
use fulmargate_relay::ExpectedReply;
use fulmargate_relay::ExpectedWeights;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::Limited;
use hyper::Request;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::time::timeout;

use crate::attempt::AttemptFailure;
use crate::attempt::ServiceCall;
use crate::attempt::engine_attempt::reply_identity;
use crate::state::ServerRoute;

const ANSWER_LIMIT: usize = 16 * 1024 * 1024;
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Headers that concern one connection, or the router alone.
const DROPPED: [HeaderName; 9] = [
    header::CONNECTION,
    header::HOST,
    header::CONTENT_LENGTH,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
    header::TE,
    header::TRAILER,
    header::AUTHORIZATION,
    header::EXPECT,
];

/// A whole answer of a replica.
pub(crate) struct ServiceAnswer {
    pub(crate) server: ServerName,
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
}

impl ServiceAnswer {
    /// The answer's content type, if it has one.
    pub(crate) fn content_type(&self) -> &str {
        let value = self.headers.get(header::CONTENT_TYPE);
        value.and_then(|value| value.to_str().ok()).unwrap_or("application/octet-stream")
    }
}

/// Sends the call to one replica, on a connection of its own, and reads the whole answer.
pub(crate) async fn send_call(
    call: &ServiceCall,
    server: &ServerRoute,
    attempt_id: &str,
) -> Result<ServiceAnswer, AttemptFailure> {
    let stream = match timeout(CONNECT_TIMEOUT, TcpStream::connect(server.address)).await {
        Ok(Ok(stream)) => stream,
        Ok(Err(_)) => return Err(AttemptFailure::NotSent),
        Err(_) => return Err(AttemptFailure::NotReached),
    };
    let request = request(call, server, attempt_id)?;
    let exchange = exchange(stream, request, server, attempt_id);
    timeout(call.timeout, exchange).await.unwrap_or(Err(AttemptFailure::Late))
}

async fn exchange(
    stream: TcpStream,
    request: Request<Full<Bytes>>,
    server: &ServerRoute,
    attempt_id: &str,
) -> Result<ServiceAnswer, AttemptFailure> {
    let _small_requests_do_not_wait = stream.set_nodelay(true);
    let (mut sender, connection) =
        http1::handshake(TokioIo::new(stream)).await.map_err(|_| AttemptFailure::NotSent)?;
    // Dropped with this future: the connection never carries another call.
    let driver = actix_rt::spawn(connection);
    let _closes_the_connection = AbortOnDrop(driver);
    let method = request.method().clone();
    let response = sender.send_request(request).await.map_err(|err| failure_of(&err))?;
    let framing = BodyFraming::of_response(&method, response.status(), response.headers());
    let status =
        StatusCode::from_u16(response.status().as_u16()).map_err(|_| AttemptFailure::Broken)?;
    let headers = answer_headers(response.headers());
    let expected = ExpectedReply {
        attempt_id,
        server: server.name.as_str(),
        incarnation: server.incarnation(),
        weights: ExpectedWeights::Absent,
    };
    expected.check(&reply_identity(&headers)).map_err(AttemptFailure::Foreign)?;
    let body = Limited::new(response.into_body(), ANSWER_LIMIT);
    let body = body.collect().await.map_err(|_| AttemptFailure::Broken)?.to_bytes();
    if !is_complete(framing, server).await {
        return Err(AttemptFailure::Broken);
    }
    let not_run = headers.get(NOT_RUN).is_some_and(|value| value == "true");
    if not_run && status == StatusCode::SERVICE_UNAVAILABLE {
        return Err(AttemptFailure::Refused { code: "refused".to_owned() });
    }
    Ok(ServiceAnswer { server: server.name.clone(), status, headers, body })
}

/// Whether a body that has ended on its connection is complete. Without framing, that of a killed server looks the
/// same, but the server refuses connections then.
async fn is_complete(framing: BodyFraming, server: &ServerRoute) -> bool {
    let end = ResponseEnd {
        framing,
        transport: TransportEnd::Finished,
        content: ContentEnd::Plain,
        events: 0,
        partial_bytes: 0,
    };
    let mut verdict = end.verdict(ServerStanding::Unchecked);
    if verdict == EndVerdict::Unconfirmed {
        verdict = end.verdict(check_server(server).await);
    }
    verdict == EndVerdict::Complete
}

async fn check_server(server: &ServerRoute) -> ServerStanding {
    if server.is_leaving() {
        return ServerStanding::Leaving;
    }
    match timeout(CONNECT_TIMEOUT, TcpStream::connect(server.address)).await {
        Ok(Err(err)) if err.kind() == ErrorKind::ConnectionRefused => ServerStanding::Gone,
        _ => ServerStanding::Running,
    }
}

struct AbortOnDrop<T>(actix_rt::task::JoinHandle<T>);

impl<T> Drop for AbortOnDrop<T> {
    fn drop(&mut self) {
        self.0.abort();
    }
}

fn request(
    call: &ServiceCall,
    server: &ServerRoute,
    attempt_id: &str,
) -> Result<Request<Full<Bytes>>, AttemptFailure> {
    let mut request = Request::builder()
        .method(call.method.as_str())
        .uri(call.path.as_str())
        .header("host", server.address.to_string());
    for (name, value) in &call.headers {
        if !DROPPED.contains(name) && name.as_str() != REQUEST_ID {
            request = request.header(name.as_str(), value.as_bytes());
        }
    }
    let request = request.header(REQUEST_ID, attempt_id);
    // A path or header that cannot be written is never sent.
    request.body(Full::new(call.body.clone())).map_err(|_| AttemptFailure::NotSent)
}

/// A canceled request was not written; all else may have reached the server.
fn failure_of(err: &hyper::Error) -> AttemptFailure {
    if err.is_canceled() { AttemptFailure::NotSent } else { AttemptFailure::Broken }
}

/// The answer's headers in actix's type, which is of an earlier version of the `http` crate.
fn answer_headers(headers: &hyper::HeaderMap) -> HeaderMap {
    let mut answer = HeaderMap::new();
    for (name, value) in headers {
        let name = HeaderName::from_bytes(name.as_str().as_bytes());
        let value = HeaderValue::from_bytes(value.as_bytes());
        if let (Ok(name), Ok(value)) = (name, value) {
            answer.append(name, value);
        }
    }
    answer
}

/// Whether a header of an answer is passed on to the caller.
pub(crate) fn is_passed_on(name: &HeaderName) -> bool {
    !DROPPED.contains(name) && name.as_str() != REQUEST_ID
}
