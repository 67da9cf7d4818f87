//! From a request's arrival to its answer's head.

use std::convert::Infallible;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use fulmargate_names::ErrorKind;
use fulmargate_names::EventKind;
use http::Request;
use http::Response;
use http::header::CONNECTION;
use http::header::HeaderValue;
use hyper::body::Incoming;
use tokio::time::Instant;

use crate::daemon::StopTokens;
use crate::state::SharedState;
use crate::traffic::answer::CallFailure;
use crate::traffic::call_decoder::decode_call;
use crate::traffic::call_run::CallRun;
use crate::traffic::caller_body::CallerBody;

/// Time that callers of a stopping host are taken to have: their heads are not read any more.
const STOPPING_PATIENCE: Duration = Duration::from_millis(300);

/// Counts a request while its caller waits for the answer's head.
struct OpenRequest(Arc<SharedState>);

impl OpenRequest {
    fn new(state: Arc<SharedState>) -> OpenRequest {
        state.open_requests.fetch_add(1, Ordering::Relaxed);
        OpenRequest(state)
    }
}

impl Drop for OpenRequest {
    fn drop(&mut self) {
        self.0.open_requests.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Serves one request. The future is dropped when the caller leaves, and with it the connection to
/// the server.
pub(crate) async fn serve_request(
    state: Arc<SharedState>,
    stop: StopTokens,
    request: Request<Incoming>,
) -> Result<Response<CallerBody>, Infallible> {
    let _open = OpenRequest::new(state.clone());
    // A request that is taken now may outlast the time for the stop and would then be cut off. Its
    // caller is told at once to come back, on a connection that leads elsewhere.
    if stop.closing.is_cancelled() {
        return Ok(CallFailure::new(ErrorKind::Stopping, STOPPING_PATIENCE).closing().answer());
    }
    let mut answer = match run_request(&state, request).await {
        Ok(answer) => answer,
        Err(failure) => failure.answer(),
    };
    // While the process stops, each answer announces the close of its connection, so that callers
    // do not send on one that is about to be closed.
    if stop.begun.is_cancelled() {
        answer.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    }
    Ok(answer)
}

async fn run_request(
    state: &Arc<SharedState>,
    request: Request<Incoming>,
) -> Result<Response<CallerBody>, CallFailure> {
    let arrived = Instant::now();
    let (parts, body) = request.into_parts();
    let id = fulmargate_consortium::request_id(&parts);
    let call = match decode_call(state, parts, body, arrived).await {
        Ok(call) => call,
        Err(failure) => {
            tell_refused(state, &id, &failure);
            return Err(failure);
        }
    };
    CallRun::new(state.clone(), call).answer().await
}

fn tell_refused(state: &SharedState, id: &str, failure: &CallFailure) {
    let kind = EventKind::RequestRefused;
    if !state.lines.allows(kind, Instant::now()) {
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
