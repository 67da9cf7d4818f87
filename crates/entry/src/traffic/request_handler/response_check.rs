//! Checks whether a server's response can be forwarded.

use std::sync::Arc;

use fulmargate_dispatch::SendOutcome;
use fulmargate_dispatch::ServerEntry;
use http::StatusCode;
use tokio::time::Instant;

use crate::traffic::request_handler::RequestHandler;
use crate::traffic::request_handler::forwarding::buffered_response;
use crate::traffic::request_handler::forwarding::clone_head;
use crate::traffic::send_attempt::SendError;
use crate::traffic::upstream_response::UpstreamResponse;

impl RequestHandler {
    /// Returns the response of a server if it can be forwarded to the caller.
    pub(super) async fn check_response(
        &mut self,
        server: &Arc<ServerEntry>,
        response: UpstreamResponse,
    ) -> Result<UpstreamResponse, SendError> {
        let reject = |outcome, reason: &str| Err(SendError { outcome, reason: reason.to_owned() });
        let status = response.parts.status;
        if is_invalid(status) {
            return reject(SendOutcome::Broken, "the status is none");
        }
        if response.head.is_misdirected {
            return Err(misdirected_error(server, &response));
        }
        if response.head.is_not_executed {
            return reject(SendOutcome::Refused, status.as_str());
        }
        if let (Some(model), Some(seen)) = (&self.facts().model, response.head.weights) {
            self.state.servers().learn_weights(server.key(), model, seen);
        }
        if status.is_success() && !response.head.is_signed {
            return reject(SendOutcome::Broken, "a success without the server's signature");
        }
        if status.is_server_error() || status == StatusCode::TOO_MANY_REQUESTS {
            return self.keep_failed_response(server, response).await;
        }
        Ok(response)
    }

    /// Keeps a server's error response, which is forwarded if no other server succeeds.
    async fn keep_failed_response(
        &mut self,
        server: &Arc<ServerEntry>,
        response: UpstreamResponse,
    ) -> Result<UpstreamResponse, SendError> {
        self.state.servers().record_failure(server.key(), Instant::now());
        let status = response.parts.status;
        let (parts, framing) = (clone_head(&response.parts), response.framing);
        let body = self.read_body(response).await?;
        if let Some(run) = self.run.take() {
            run.answered();
        }
        // These statuses tell the caller that the request was not executed, which the server has not
        // confirmed.
        let implies_not_run =
            matches!(status, StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS);
        if !implies_not_run {
            self.failed_response = Some(buffered_response(&parts, framing, body));
        }
        Err(SendError {
            outcome: SendOutcome::Broken,
            reason: format!("the server answered {status}"),
        })
    }
}

/// Whether a status code belongs to no class, or cannot end a request.
fn is_invalid(status: StatusCode) -> bool {
    status.is_informational() || 600 <= status.as_u16()
}

/// Distinguishes a misdirected request at the intended server, which has other weights, from one that reached
/// a different server.
fn misdirected_error(server: &ServerEntry, response: &UpstreamResponse) -> SendError {
    let is_expected = response.head.server.as_ref().is_none_or(|name| *name == server.name);
    let (outcome, reason) = match is_expected && response.weights.is_some() {
        true => (SendOutcome::OtherWeights, "other weights are in use"),
        false => (SendOutcome::OtherServer, "another server is at the address"),
    };
    SendError { outcome, reason: reason.to_owned() }
}
