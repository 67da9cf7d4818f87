//! Processes a request from its first send to its final response.

mod end_check;
mod failover;
mod forwarding;
mod forwarding_step;
mod handled_request;
mod log;
mod part_suspicion;
mod plan;
mod response_check;
mod send_checks;
mod send_outcome;
mod stream_origin;
mod stream_timing;
mod suspicion;
mod weights_refusal;

use std::cell::Cell;
use std::sync::Arc;
use std::time::Duration;

use fulmargate_dispatch::CallFacts;
use fulmargate_dispatch::CallProgress;
use fulmargate_dispatch::NextStep;
use fulmargate_dispatch::RouteKind;
use fulmargate_dispatch::RunSubject;
use fulmargate_dispatch::SendOutcome;
use fulmargate_dispatch::ServerEntry;
use fulmargate_dispatch::ServerKey;
use fulmargate_dispatch::StreamKey;
use fulmargate_dispatch::StreamOrigin;
use fulmargate_names::ErrorKind;
use fulmargate_names::EventKind;
use fulmargate_names::HostName;
use fulmargate_names::WeightsVersion;
use http::Response;
use tokio::time::Instant;
use tokio::time::sleep;

pub(crate) use self::failover::Failover;
pub(crate) use self::failover::PreparedSend;
use self::forwarding_step::ForwardStep;
pub(crate) use self::handled_request::HandledRequest;

use crate::state::SharedState;
use crate::traffic::request_decoder::DecodedRequest;
use crate::traffic::request_failure::RequestFailure;
use crate::traffic::request_handler::end_check::JudgedEnd;
use crate::traffic::request_handler::forwarding::buffered_response;
use crate::traffic::request_handler::forwarding::clone_head;
use crate::traffic::request_handler::stream_timing::StreamTiming;
use crate::traffic::response_body::ResponseBody;
use crate::traffic::send_attempt::ConnectedSend;
use crate::traffic::send_attempt::SendError;
use crate::traffic::stream_relay::relay_stream;
use crate::traffic::suspect_run::SuspectRun;
use crate::traffic::suspect_run::SuspectTurn;
use crate::traffic::upstream_response::ResponseOrigin;
use crate::traffic::upstream_response::UpstreamResponse;

/// Delay before a request that a server rejected is sent again, multiplied by the number of sends.
const REJECTED_RETRY_DELAY: Duration = Duration::from_millis(15);

/// Delay before a stream that has begun is sent to another server after one that did not execute it.
const STREAM_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Sends one request to backend servers until there is a final response.
pub(crate) struct RequestHandler {
    pub(crate) state: Arc<SharedState>,
    pub(crate) decoded: DecodedRequest,
    progress: CallProgress,
    excluded_servers: Vec<ServerKey>,
    /// An error response of a server, returned to the caller if no other server succeeds.
    failed_response: Option<Response<ResponseBody>>,
    pub(crate) timing: StreamTiming,
    /// How the last response body that was read ended.
    judged_end: Option<JudgedEnd>,
    source: RequestSource,
    /// Whether the retry budget of another host counts the first send.
    is_counted: bool,
    /// Time of the first connection that failed.
    unconnected_since: Option<Instant>,
    /// Hosts that could not send the request.
    excluded_helpers: Vec<HostName>,
    /// The run at a server that has not ended.
    run: Option<SuspectRun>,
    /// Held while the request is sent, as it may be suspected of crashing servers.
    turn: Option<SuspectTurn>,
    /// The only server that the request may be sent to in this turn.
    turn_server: Option<ServerKey>,
    /// Where the stream has begun, once an event of it was on its way to the caller.
    pub(super) origin: Option<StreamOrigin>,
    /// The earlier attempt that began the stream.
    first_attempt: Option<StreamKey>,
    /// Whether the end of the request was logged. If it was not when this is dropped, the caller has
    /// disconnected.
    end_is_logged: Cell<bool>,
}

/// Where a request comes from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum RequestSource {
    Caller,
    /// Another host, which has it from its caller. It is not forwarded again.
    Peer,
}

impl Drop for RequestHandler {
    fn drop(&mut self) {
        if !self.end_is_logged.get() {
            self.log_caller_gone();
        }
    }
}

/// The position at which another server resumes a stream.
#[derive(Clone, Debug, Default)]
pub(crate) struct ResumePoint {
    /// The id of the last event that was sent to the caller.
    pub(crate) last_event: Option<String>,
    /// The weights version that produced the stream so far.
    pub(crate) weights: Option<WeightsVersion>,
}

impl RequestHandler {
    pub(crate) fn new(state: Arc<SharedState>, decoded: DecodedRequest) -> RequestHandler {
        let progress = CallProgress::default();
        RequestHandler {
            state,
            decoded,
            progress,
            excluded_servers: Vec::new(),
            failed_response: None,
            timing: StreamTiming::default(),
            judged_end: None,
            source: RequestSource::Caller,
            is_counted: false,
            unconnected_since: None,
            excluded_helpers: Vec::new(),
            run: None,
            turn: None,
            turn_server: None,
            origin: None,
            first_attempt: None,
            end_is_logged: Cell::new(false),
        }
    }

    /// Handles a request of another host, which has sent it before as recorded in `progress`.
    pub(crate) fn forwarded(
        state: Arc<SharedState>,
        decoded: DecodedRequest,
        progress: CallProgress,
    ) -> RequestHandler {
        let mut handler = RequestHandler::new(state, decoded);
        handler.progress = progress;
        handler.source = RequestSource::Peer;
        handler
    }

    /// Leaves the first send to the retry budget of the host that has forwarded the request.
    pub(crate) fn with_counted_send(mut self) -> RequestHandler {
        self.is_counted = true;
        self
    }

    pub(crate) fn facts(&self) -> &CallFacts {
        &self.decoded.facts
    }

    /// Sends the request until a server responds or no further attempt is allowed. A stream goes on at `point`.
    pub(crate) async fn run(mut self, point: ResumePoint) -> HandledRequest {
        match self.next_response(&point).await {
            Ok(response) if is_streamed(&response, self.facts()) => {
                let progress = self.progress;
                let server = response.origin.server().map(|server| server.name.clone());
                let weights = response.weights;
                if self.source == RequestSource::Peer {
                    // The host of the caller is told the origin with the head.
                    self.origin.get_or_insert(response.stream_origin);
                }
                let origin = self.origin;
                let result = Ok(relay_stream(self, response, point));
                HandledRequest { result, progress, server, weights, origin }
            }
            Ok(response) => self.forward_buffered(response).await,
            Err(failure) => {
                let progress = self.progress;
                let result = self.finish_failed(failure);
                HandledRequest { result, progress, server: None, weights: None, origin: None }
            }
        }
    }

    /// Sends the request until a server returns a response whose head can be forwarded to the caller.
    pub(crate) async fn next_response(
        &mut self,
        point: &ResumePoint,
    ) -> Result<UpstreamResponse, RequestFailure> {
        loop {
            if self.facts().deadline <= Instant::now() {
                return Err(self.failure(self.progress.timeout()));
            }
            self.reject_crashing_request()?;
            self.readmit()?;
            let reason = self.forward_reason();
            if let Some(reason) = reason {
                // The helper takes a turn of its own.
                self.turn = None;
                self.turn_server = None;
                match self.forward(point, reason).await? {
                    ForwardStep::Response(response) => return Ok(*response),
                    ForwardStep::Again => continue,
                    ForwardStep::NoHelper => self.reject_unreached()?,
                }
            }
            self.wait_for_turn().await?;
            self.check_retry_budget()?;
            let Some(plan) = self.plan(point).await? else {
                if let Some(server) = self.turn_server {
                    self.give_up_turn(server).await?;
                    continue;
                }
                // The service may have gone out of reach while the request was queued.
                if reason.is_none() && self.forward_reason().is_some() {
                    continue;
                }
                self.log_weights_refused(point);
                return Err(self.no_server_failure());
            };
            let (server, weights) = (plan.server.clone(), plan.weights);
            let connected = match ConnectedSend::connect(plan).await {
                Ok(connected) => connected,
                Err(error) => {
                    self.unconnected_since.get_or_insert_with(Instant::now);
                    self.handle_error(&error, &server, weights).await?;
                    continue;
                }
            };
            if !self.may_send_now(&server)? {
                continue;
            }
            if !self.consume_retry() {
                return Err(self.retry_budget_exhausted());
            }
            if let Some(response) = self.send(connected).await? {
                return Ok(response);
            }
        }
    }

    /// Sends the request on an open connection. Returns none if the attempt failed and another one is
    /// allowed.
    pub(crate) async fn send(
        &mut self,
        connected: ConnectedSend,
    ) -> Result<Option<UpstreamResponse>, RequestFailure> {
        let (server, weights) = (connected.server().clone(), connected.weights());
        self.judged_end = None;
        if let Some(charge) = &mut self.decoded.charge {
            charge.record_send();
        }
        self.log_suspect_sent(&server);
        let fingerprint = self.facts().fingerprint;
        let subject = RunSubject { fingerprint, parts: self.facts().part_keys(), weights };
        self.run = Some(SuspectRun::begin(self.state.clone(), subject, server.key()));
        let error = match connected.send(&self.decoded).await {
            Ok(response) => match self.check_response(&server, response).await {
                Ok(response) => return Ok(Some(response)),
                Err(error) => error,
            },
            Err(error) => error,
        };
        if let Some(charge) = self.decoded.charge.as_mut().filter(|_| !error.outcome.may_have_run())
        {
            charge.record_not_run();
        }
        self.handle_error(&error, &server, weights).await?;
        Ok(None)
    }

    /// Sends the request on a connection that was opened before. Returns none if the attempt failed and another one is
    /// allowed.
    pub(crate) async fn send_prepared(
        &mut self,
        prepared: PreparedSend,
        point: &ResumePoint,
    ) -> Result<Option<UpstreamResponse>, RequestFailure> {
        match prepared {
            PreparedSend::Server(connected) => {
                if !self.may_send_now(&connected.server().clone())? {
                    return Ok(None);
                }
                // The send was planned before the previous attempt was counted. If no further attempt is allowed
                // now, this server must not be abandoned for being unresponsive.
                let connected = connected.with_probe_interval(self.probe_interval());
                self.send(connected).await
            }
            PreparedSend::Helper(forward) => match self.send_forward(forward, point).await? {
                Some(ForwardStep::Response(response)) => Ok(Some(*response)),
                _ => Ok(None),
            },
        }
    }

    /// Records a failed send, and waits before the next one if a delay applies. Fails if no further send is
    /// allowed.
    async fn handle_error(
        &mut self,
        error: &SendError,
        server: &Arc<ServerEntry>,
        weights: Option<WeightsVersion>,
    ) -> Result<(), RequestFailure> {
        self.record_error(error, server, weights);
        self.log_retry(error, server);
        self.end_failed_run(error.outcome, server).await;
        self.exclude(server);
        if self.timing.first_event.is_some() && !error.outcome.may_have_run() {
            // A stream that has begun can only continue or be aborted, so sends that were not executed do not
            // count towards the attempt limit. The request's deadline bounds them, and the retry budget
            // bounds those that reach a server.
            sleep(STREAM_RETRY_DELAY).await;
            return Ok(());
        }
        let route = self.decoded.facts.route.clone();
        let step = self.progress.after(error.outcome, &route);
        match step {
            NextStep::GiveUp(kind) => Err(self.failure(kind).with_detail(error.reason.clone())),
            NextStep::SendAgain => {
                if error.outcome == SendOutcome::Refused {
                    sleep(REJECTED_RETRY_DELAY * self.progress.sends()).await;
                }
                Ok(())
            }
        }
    }

    async fn forward_buffered(self, response: UpstreamResponse) -> HandledRequest {
        let (parts, framing) = (clone_head(&response.parts), response.framing);
        let (origin, weights) = (response.origin.clone(), response.weights);
        let mut handler = self;
        let progress = handler.progress;
        let result = match handler.read_body(response).await {
            Ok(body) => {
                handler.record_completed(&origin, parts.status);
                handler.log_ended(EventKind::RequestEnded, parts.status, None);
                Ok(buffered_response(&parts, framing, body))
            }
            Err(error) => match handler.handle_lost_response(&error, &origin).await {
                Ok(()) => return Box::pin(handler.run(ResumePoint::default())).await,
                Err(failure) => handler.finish_failed(failure),
            },
        };
        let progress = if result.is_ok() { progress } else { handler.progress };
        let server = origin.server().map(|server| server.name.clone());
        HandledRequest { result, progress, server, weights, origin: None }
    }

    /// Returns a server's error response if there is one, otherwise the router's own.
    fn finish_failed(
        &mut self,
        failure: RequestFailure,
    ) -> Result<Response<ResponseBody>, RequestFailure> {
        if let Some(response) = self.failed_response.take() {
            self.log_ended(EventKind::RequestEnded, response.status(), None);
            return Ok(response);
        }
        self.log_ended(EventKind::RequestFailed, failure.status(), Some(&failure));
        Err(failure)
    }

    pub(crate) fn failure(&self, kind: ErrorKind) -> RequestFailure {
        let deadline = self.facts().deadline;
        RequestFailure::new(kind, deadline.saturating_duration_since(Instant::now()))
    }

    /// Records that a response broke off. Fails if no further attempt is allowed.
    pub(crate) async fn handle_lost_response(
        &mut self,
        error: &SendError,
        origin: &ResponseOrigin,
    ) -> Result<(), RequestFailure> {
        match origin {
            ResponseOrigin::Server(server) => self.handle_error(error, server, None).await,
            ResponseOrigin::Helper(host) => self.handle_lost_helper(error, host),
        }
    }

    /// Records that a stream broke off. Fails if no further attempt is allowed.
    pub(crate) async fn handle_broken_stream(
        &mut self,
        reason: &str,
        origin: &ResponseOrigin,
    ) -> Result<(), RequestFailure> {
        let error = SendError { outcome: SendOutcome::Broken, reason: reason.to_owned() };
        self.handle_lost_response(&error, origin).await
    }
}

fn is_streamed(response: &UpstreamResponse, facts: &CallFacts) -> bool {
    response.parts.status.is_success() && matches!(facts.route.kind, RouteKind::Stream(_))
}
