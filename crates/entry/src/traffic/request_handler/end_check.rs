//! Judges the end of responses.

use bytes::Bytes;
use fulmargate_dispatch::ContentEnd;
use fulmargate_dispatch::EndVerdict;
use fulmargate_dispatch::ResponseEnd;
use fulmargate_dispatch::SendOutcome;
use fulmargate_dispatch::TransportEnd;

use crate::telemetry::count_response_end;
use crate::traffic::request_handler::RequestHandler;
use crate::traffic::send_attempt::SendError;
use crate::traffic::send_attempt::ServerResponse;

impl RequestHandler {
    /// Decides whether a response whose body has ended is complete, and records the decision.
    pub(crate) fn judge_end(&mut self, end: ResponseEnd) -> EndVerdict {
        let verdict = end.verdict();
        count_response_end(end, verdict);
        self.judged_end = Some(end);
        verdict
    }

    /// Records that a server has completed the request, which therefore does not crash servers.
    pub(crate) fn record_completed(&self) {
        self.state.crashes().clear(self.facts().fingerprint);
    }

    /// Reads the complete body of a response that is not a stream.
    pub(super) async fn read_body(
        &mut self,
        mut response: ServerResponse,
    ) -> Result<Bytes, SendError> {
        let result = response.read_body(self.facts().deadline).await;
        let transport = match &result {
            Ok(_) => TransportEnd::Finished,
            Err(_) => TransportEnd::Failed,
        };
        let end = ResponseEnd {
            framing: response.framing,
            transport,
            content: ContentEnd::Plain,
            events: 0,
            partial_bytes: 0,
        };
        let verdict = self.judge_end(end);
        let body = result?;
        if verdict != EndVerdict::Complete {
            return Err(SendError { outcome: SendOutcome::Broken, reason: verdict.to_string() });
        }
        if response.parts.status.is_success() {
            response.in_flight.record_success();
        }
        Ok(body)
    }
}
