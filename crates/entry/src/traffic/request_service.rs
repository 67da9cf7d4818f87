//! Entry point for callers' HTTP requests.

use std::convert::Infallible;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use fulmargate_names::ErrorKind;
use fulmargate_names::EventKind;
use http::Request;
use http::Response;
use http::Version;
use http::header::CONNECTION;
use http::header::HeaderValue;
use hyper::body::Incoming;
use tokio::time::Instant;

use crate::daemon::ShutdownTokens;
use crate::state::SharedState;
use crate::traffic::caller_io::ResetSwitch;
use crate::traffic::caller_response::CallerResponse;
use crate::traffic::client_connection::ClientConnection;
use crate::traffic::client_connection::ClientPhase;
use crate::traffic::request_decoder::decode_request;
use crate::traffic::request_failure::RequestFailure;
use crate::traffic::request_handler::RequestHandler;
use crate::traffic::request_handler::ResumePoint;
use crate::traffic::response_body::ResponseBody;
use crate::traffic::stream_binding::resolve_origin;

/// Stands for the caller's remaining time during shutdown, when request heads are no longer decoded. It only
/// bounds `retry-after`.
const SHUTDOWN_TIME_LEFT: Duration = Duration::from_millis(300);

/// Counts a request as open until its response starts.
struct OpenRequestGuard(Arc<SharedState>);

impl OpenRequestGuard {
    fn new(state: Arc<SharedState>) -> OpenRequestGuard {
        state.open_requests.fetch_add(1, Ordering::Relaxed);
        OpenRequestGuard(state)
    }
}

impl Drop for OpenRequestGuard {
    fn drop(&mut self) {
        self.0.open_requests.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Serves one request. When the caller disconnects, hyper drops the future, which closes the connection to
/// the backend server.
pub(crate) async fn serve_request(
    state: Arc<SharedState>,
    stop: ShutdownTokens,
    client: Rc<ClientConnection>,
    request: Request<Incoming>,
    switch: ResetSwitch,
) -> Result<Response<CallerResponse>, Infallible> {
    client.enter(ClientPhase::Handled);
    let response = respond(&state, &stop, &client, request, switch).await;
    Ok(response.map(|body| CallerResponse::new(body, client)))
}

async fn respond(
    state: &Arc<SharedState>,
    stop: &ShutdownTokens,
    client: &Rc<ClientConnection>,
    request: Request<Incoming>,
    switch: ResetSwitch,
) -> Response<ResponseBody> {
    let version = request.version();
    let _open = OpenRequestGuard::new(state.clone());
    // A request accepted now might be cut off by the shutdown timeout. Reject it, so that the caller retries
    // on a connection to another host.
    if stop.draining.is_cancelled() {
        return RequestFailure::new(ErrorKind::Stopping, SHUTDOWN_TIME_LEFT)
            .with_connection_close()
            .to_response();
    }
    // Boxed, so that an idle connection does not take the memory of a request in progress.
    let handling = Box::pin(handle_request(state, client, request));
    let result = tokio::select! {
        biased;
        result = handling => result,
        // A server may have run the request.
        () = stop.ending.cancelled() => Err(RequestFailure::new(ErrorKind::ServerTimeout, SHUTDOWN_TIME_LEFT)
            .with_detail("this host stops".to_owned())
            .with_connection_close()),
    };
    let mut response = match result {
        Ok(response) => response,
        // The rest of the body is not read, so that nothing can follow it.
        Err(failure) if client.has_unread_body() => failure.with_connection_close().to_response(),
        Err(failure) => failure.to_response(),
    };
    // Without chunks, only a reset tells an aborted stream from a complete one.
    if version < Version::HTTP_11 {
        response = response.map(|body| body.resetting(switch));
    }
    // What was sent ahead on the connection is left to other callers' requests while memory is scarce.
    let is_scarce = state.held_memory.is_scarce();
    if is_scarce {
        client.set_unread_body(true);
    }
    // During shutdown, callers must not reuse connections that are about to be closed.
    if is_scarce || stop.requested.is_cancelled() {
        response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    }
    response
}

async fn handle_request(
    state: &Arc<SharedState>,
    client: &Rc<ClientConnection>,
    request: Request<Incoming>,
) -> Result<Response<ResponseBody>, RequestFailure> {
    let arrived = Instant::now();
    let (parts, body) = request.into_parts();
    let id = fulmargate_consortium::request_id(&parts);
    let decoded = match decode_request(state, client, parts, body, arrived).await {
        Ok(decoded) => {
            client.enter(ClientPhase::Handled);
            decoded
        }
        Err(failure) => {
            log_rejected(state, &id, &failure);
            return Err(failure);
        }
    };
    if !state.can_complete(&decoded.facts.route.name, decoded.facts.deadline) {
        let time_left = decoded.facts.deadline.saturating_duration_since(Instant::now());
        let failure = RequestFailure::new(ErrorKind::Stopping, time_left).with_connection_close();
        log_rejected(state, &id, &failure);
        return Err(failure);
    }
    let stream = match resolve_origin(state, &decoded).await {
        Ok(stream) => stream,
        Err(failure) => {
            log_rejected(state, &id, &failure);
            return Err(failure);
        }
    };
    let handler = RequestHandler::new(state.clone(), decoded).taking_up(stream);
    handler.run(ResumePoint::default()).await.result
}

fn log_rejected(state: &SharedState, id: &str, failure: &RequestFailure) {
    let kind = EventKind::RequestRefused;
    if !state.log_limiter.allows(kind, Instant::now()) {
        return;
    }
    let proof_ms = state.proof().age(crate::state::boot_now()).map(|age| age.as_millis() as u64);
    let version = state.table.load().as_ref().map(|table| table.version().0);
    tracing::info!(
        event = kind.number(),
        name = kind.name(),
        id,
        error = failure.kind.row().code,
        detail = failure.detail,
        status = failure.status().as_u16(),
        config_version = version,
        config_proof_ms = proof_ms,
    );
}
