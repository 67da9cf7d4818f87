//! Judges the end of responses.

use std::sync::Arc;

use fulmargate_dispatch::ConnectOutcome;
use fulmargate_dispatch::ContentEnd;
use fulmargate_dispatch::EndVerdict;
use fulmargate_dispatch::ResponseEnd;
use fulmargate_dispatch::SendOutcome;
use fulmargate_dispatch::ServerEntry;
use fulmargate_dispatch::ServerStage;
use fulmargate_dispatch::ServerStanding;
use fulmargate_dispatch::TransportEnd;
use http::StatusCode;
use tokio::time::Instant;

use crate::telemetry::count_response_end;
use crate::traffic::block_body::BlockBody;
use crate::traffic::buffered_body::BodyMemory;
use crate::traffic::crash_check::is_refusal_of_server;
use crate::traffic::request_handler::RequestHandler;
use crate::traffic::send_attempt::SendError;
use crate::traffic::server_connection::ServerConnection;
use crate::traffic::upstream_response::ResponseOrigin;
use crate::traffic::upstream_response::UpstreamResponse;

/// The end of a response, and what was known of its server when it was judged.
#[derive(Clone, Copy, Debug)]
pub(super) struct JudgedEnd {
    pub(super) end: ResponseEnd,
    pub(super) standing: ServerStanding,
}

impl RequestHandler {
    /// Decides whether a response whose body has ended is complete, and records the decision.
    pub(crate) async fn judge_end(
        &mut self,
        end: ResponseEnd,
        origin: &ResponseOrigin,
    ) -> EndVerdict {
        let mut verdict = end.verdict(ServerStanding::Unchecked);
        let mut standing = ServerStanding::Unchecked;
        // The host that a response came through has judged its server.
        if let (EndVerdict::Unconfirmed, Some(server)) = (verdict, origin.server()) {
            standing = self.check_server(server).await;
            verdict = end.verdict(standing);
        }
        count_response_end(end, verdict);
        self.judged_end = Some(JudgedEnd { end, standing });
        verdict
    }

    /// Records that a server has completed the request, which therefore does not crash servers. An end that only a
    /// server on its way out has confirmed does not count.
    pub(crate) fn record_completed(&mut self, origin: &ResponseOrigin, status: StatusCode) {
        let is_proof =
            self.judged_end.is_some_and(|judged| judged.standing != ServerStanding::Leaving);
        if let Some(mut run) = self.run.take() {
            // An error may be reported without a look at the prompt.
            if is_proof && status.is_success() {
                self.finish_trial(run.record_answering());
            }
            run.answered();
        }
        if is_proof {
            self.clear_suspicion(origin);
        }
    }

    /// Reads the complete body of a response that is not a stream.
    pub(super) async fn read_body(
        &mut self,
        mut response: UpstreamResponse,
    ) -> Result<BlockBody, SendError> {
        let request = self.decoded.memory.clone();
        let reading = self.state.answer_memory.holder();
        let memory = BodyMemory { request, reading };
        let result = response.read_body(memory, self.facts().deadline).await;
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
        let verdict = self.judge_end(end, &response.origin).await;
        let body = result?;
        if verdict != EndVerdict::Complete {
            return Err(SendError { outcome: SendOutcome::Broken, reason: verdict.to_string() });
        }
        if response.parts.status.is_success()
            && let Some(in_flight) = response.in_flight()
        {
            in_flight.record_success();
        }
        Ok(body)
    }

    /// Finds out whether a server that closed a connection in good order is still there. A process that is killed
    /// refuses connections from the same moment on. A server that leaves may exit right after its last response.
    async fn check_server(&self, server: &Arc<ServerEntry>) -> ServerStanding {
        let now = Instant::now();
        if self.state.servers().is_lost(server, now) {
            return ServerStanding::Gone;
        }
        let stage = self.state.servers().state(server.key()).map(|state| state.entry().stage);
        if stage != Some(ServerStage::Ready) {
            return ServerStanding::Leaving;
        }
        let connecting = ServerConnection::connect_to_server(&self.state, server).await;
        match connecting.map_err(|err| err.outcome()) {
            Err(ConnectOutcome::Refused) if is_refusal_of_server(&self.state, server).await => {
                ServerStanding::Gone
            }
            _ => ServerStanding::Running,
        }
    }
}
