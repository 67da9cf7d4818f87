//! Failover of a stream whose server has become unresponsive.

use std::sync::Arc;

use derive_more::Display;
use fulmargate_dispatch::ServerEntry;
use fulmargate_names::EventKind;
use tokio::time::Instant;

use crate::traffic::request_failure::RequestFailure;
use crate::traffic::request_handler::RequestHandler;
use crate::traffic::request_handler::ResumePoint;
use crate::traffic::request_handler::forwarding_step::PreparedForward;
use crate::traffic::send_attempt::ConnectedSend;
use crate::traffic::server_connection::ServerConnection;

/// A send to another server that resumes the stream, and why the current server is abandoned.
pub(crate) struct Failover {
    pub(crate) prepared: PreparedSend,
    pub(crate) reason: String,
}

/// A send whose connection is open.
pub(crate) enum PreparedSend {
    /// To a server.
    Server(Box<ConnectedSend>),
    /// To a host that reaches the service.
    Helper(PreparedForward),
}

/// Why a stream stays at its unresponsive server.
#[derive(Debug, Display)]
enum KeepReason {
    #[display("it takes connections")]
    Reachable,
    #[display("no further attempt, or the budget of repeats is spent")]
    NoRetry,
    #[display("it is suspected of crashing servers")]
    Suspected,
    #[display("no other server may go on with it: {_0}")]
    NoServer(String),
    #[display("no connection to another server: {_0}")]
    ConnectFailed(String),
}

impl RequestHandler {
    /// Prepares the failover of a stream; none if it should stay at its server.
    ///
    /// The stream's server is abandoned only once the failover is certain: an engine is reserved, the
    /// connection is open and the retry is deducted from the budget. Otherwise a saturated link or a lack of
    /// engines with the stream's weights would abort streams whose server is still working.
    pub(crate) async fn prepare_failover(
        &mut self,
        unresponsive: &Arc<ServerEntry>,
        point: &ResumePoint,
    ) -> Option<Box<Failover>> {
        match self.try_failover(unresponsive, point).await {
            Ok(failover) => Some(Box::new(failover)),
            Err(KeepReason::Reachable | KeepReason::NoRetry) => None,
            Err(reason) => {
                self.log_kept(unresponsive, &reason);
                None
            }
        }
    }

    async fn try_failover(
        &mut self,
        unresponsive: &Arc<ServerEntry>,
        point: &ResumePoint,
    ) -> Result<Failover, KeepReason> {
        if !self.may_fail_over() {
            return Err(KeepReason::NoRetry);
        }
        // A second run would put another server at risk; the connection breaks if the server has ended.
        if self.is_suspected() {
            return Err(KeepReason::Suspected);
        }
        let Err(err) = ServerConnection::connect_to_server(&self.state, unresponsive).await else {
            return Err(KeepReason::Reachable);
        };
        let reason = format!("silent, and {err}");
        self.exclude(unresponsive);
        let no_server = |failure: RequestFailure| KeepReason::NoServer(failure.detail);
        self.reject_crashing_request().map_err(no_server)?;
        self.readmit().map_err(no_server)?;
        if let Some(forward_reason) = self.forward_reason()
            && let Some(forward) = self.prepare_forward(forward_reason).await
            && self.may_fail_over()
        {
            return Ok(Failover { prepared: PreparedSend::Helper(forward), reason });
        }
        let plan = self.plan(point).await.map_err(no_server)?;
        let plan = plan.filter(|plan| plan.server.key() != unresponsive.key());
        let Some(plan) = plan else { return Err(KeepReason::NoServer("none is left".to_owned())) };
        let (server, weights) = (plan.server.clone(), plan.weights);
        let connected = ConnectedSend::connect(plan).await.map_err(|err| {
            self.record_error(&err, &server, weights);
            KeepReason::ConnectFailed(err.reason)
        })?;
        // Check again: the route or the retry budget may have changed in the meantime.
        if !self.may_fail_over() || !self.try_consume_retry() {
            return Err(KeepReason::NoRetry);
        }
        Ok(Failover { prepared: PreparedSend::Server(Box::new(connected)), reason })
    }

    fn log_kept(&self, server: &ServerEntry, reason: &KeepReason) {
        let kind = EventKind::StreamKept;
        if !self.state.log_limiter.allows(kind, Instant::now()) {
            return;
        }
        tracing::info!(
            event = kind.number(),
            name = kind.name(),
            id = %self.facts().id,
            server = %server.name,
            %reason,
            silent_ms = self.timing.last_event.map(|at| at.elapsed().as_millis() as u64),
        );
    }
}
