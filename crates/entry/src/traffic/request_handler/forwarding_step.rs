//! Requests that another host has to send, since this one reaches no server of their service.

use std::time::Duration;

use derive_more::Display;
use fulmargate_consortium::ResponseHead;
use fulmargate_dispatch::BodyFraming;
use fulmargate_dispatch::NextStep;
use fulmargate_dispatch::SendOutcome;
use fulmargate_dispatch::StreamOrigin;
use fulmargate_names::ErrorKind;
use fulmargate_names::EventKind;
use fulmargate_names::HostName;
use fulmargate_names::ServiceName;
use http::Method;
use http::response::Parts;
use tokio::time::Instant;
use tokio::time::timeout_at;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::telemetry::count_forward;
use crate::traffic::peer_forwarding::ForwardBody;
use crate::traffic::peer_forwarding::ForwardError;
use crate::traffic::peer_forwarding::ForwardHead;
use crate::traffic::peer_forwarding::ForwardReply;
use crate::traffic::peer_forwarding::HelperConnection;
use crate::traffic::peer_forwarding::RunCounts;
use crate::traffic::peer_forwarding::SenderIdentity;
use crate::traffic::peer_forwarding::kind_of_code;
use crate::traffic::peer_forwarding::response_parts;
use crate::traffic::reach_prober::PROBE_INTERVAL;
use crate::traffic::request_failure::RequestFailure;
use crate::traffic::request_handler::RequestHandler;
use crate::traffic::request_handler::RequestSource;
use crate::traffic::request_handler::ResumePoint;
use crate::traffic::send_attempt::SendError;
use crate::traffic::upstream_response::ResponseOrigin;
use crate::traffic::upstream_response::UpstreamBody;
use crate::traffic::upstream_response::UpstreamResponse;

/// Servers without a connection after which a request is forwarded, if no other request has reached one meanwhile.
const MIN_FAILED_CONNECTIONS: usize = 2;
/// Hosts that one request is forwarded to in turn.
const MAX_HELPERS: usize = 3;
/// Time reserved before the deadline for the reply's transfer.
const REPLY_TIME: Duration = Duration::from_millis(20);

/// A sound server may be silent for about a second. Requests are not rejected for servers that have been out of reach for
/// a shorter time than this.
const MAX_SILENCE: Duration = Duration::from_secs(2);

/// Why a request is forwarded.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub(crate) enum ForwardReason {
    /// This host reaches no server of the service.
    #[display("unreached")]
    Unreached,
    /// This host reaches too few servers for all its requests.
    #[display("partly_reached")]
    PartlyReached,
    /// The request found no connection, and no other one has since.
    #[display("not_connected")]
    NotConnected,
}

/// An open connection to a host that reaches the service.
pub(crate) struct PreparedForward {
    connection: HelperConnection,
    reason: ForwardReason,
    /// Age of the report by which the helper reaches the service.
    report_age: Duration,
}

/// Result of forwarding a request.
pub(crate) enum ForwardStep {
    /// A response whose head can be passed on.
    Response(Box<UpstreamResponse>),
    /// The request may be sent again.
    Again,
    /// No host can help.
    NoHelper,
}

impl RequestHandler {
    /// Why the next send should be another host's; `None` if it should be this one's.
    pub(super) fn forward_reason(&self) -> Option<ForwardReason> {
        if self.source == RequestSource::Peer {
            return None;
        }
        let service = self.service()?;
        let now = Instant::now();
        let servers = self.state.servers();
        if servers.is_unreached(&service) {
            return Some(ForwardReason::Unreached);
        }
        if let Some(since) = self.unconnected_since
            && MIN_FAILED_CONNECTIONS <= self.excluded_servers.len()
            && !servers.was_reached_since(&service, since)
        {
            return Some(ForwardReason::NotConnected);
        }
        let share = servers.local_share(&service, now);
        (share <= self.draw(0)).then_some(ForwardReason::PartlyReached)
    }

    /// Waits until the service goes out of reach while others reach it.
    pub(super) async fn wait_for_forward_reason(&self) {
        let mut changes = self.state.reach_changes.subscribe();
        // Unreachable error: the state owns the sender.
        while changes.changed().await.is_ok() {
            if self.forward_reason().is_some() {
                return;
            }
        }
    }

    /// A number from 0 up to 1 that is fixed for the request and the seed.
    fn draw(&self, seed: u64) -> f64 {
        (self.draw_bits(seed) >> 11) as f64 / (1_u64 << 53) as f64
    }

    fn draw_bits(&self, seed: u64) -> u64 {
        xxh3_64_with_seed(self.facts().id.as_str().as_bytes(), seed)
    }

    /// Forwards the request to one host after the other, until one has taken it.
    pub(super) async fn forward(
        &mut self,
        point: &ResumePoint,
        reason: ForwardReason,
    ) -> Result<ForwardStep, RequestFailure> {
        while let Some(prepared) = self.prepare_forward(reason).await {
            if let Some(step) = self.send_forward(prepared, point).await? {
                return Ok(step);
            }
        }
        count_forward("no_helper");
        Ok(ForwardStep::NoHelper)
    }

    /// Connects to a host that reaches the service. Hosts that can't be connected to are left out.
    pub(super) async fn prepare_forward(
        &mut self,
        reason: ForwardReason,
    ) -> Option<PreparedForward> {
        let service = self.service()?;
        while self.excluded_helpers.len() < MAX_HELPERS {
            let (host, report_age) = self.choose_helper(&service)?;
            let address = self.state.fleet.load().addresses.get(&host).copied();
            let Some(address) = address else {
                self.excluded_helpers.push(host);
                continue;
            };
            match self.state.helpers.connection(&host, address).await {
                Ok(connection) => {
                    return Some(PreparedForward { connection, reason, report_age });
                }
                Err(err) => self.exclude_helper(&host, &err.to_string()),
            }
        }
        None
    }

    fn choose_helper(&self, service: &ServiceName) -> Option<(HostName, Duration)> {
        let tried = &self.excluded_helpers;
        let mut tried = tried.clone();
        if self.origin.is_some() {
            tried.extend(self.hosts_that_bind_nothing());
        }
        let tried = &tried;
        let mut excluded = self.state.helpers.failed_hosts();
        excluded.extend(tried.iter().cloned());
        let draw = self.draw_bits(1 + tried.len() as u64);
        let zone = &self.state.settings.zone;
        let now = Instant::now();
        let servers = self.state.servers();
        // Hosts that failed other requests a moment ago are the last resort.
        let chosen = servers
            .choose_helper(service, zone, &excluded, draw, now)
            .or_else(|| servers.choose_helper(service, zone, tried, draw, now))?;
        Some((chosen.host, chosen.age))
    }

    fn exclude_helper(&mut self, host: &HostName, reason: &str) {
        self.state.helpers.record_failure(host);
        self.excluded_helpers.push(host.clone());
        self.log_helper_failed(host, reason);
    }

    /// Forwards the request on an open connection. Returns none if the helper has not run it and another one may be
    /// asked.
    pub(super) async fn send_forward(
        &mut self,
        prepared: PreparedForward,
        point: &ResumePoint,
    ) -> Result<Option<ForwardStep>, RequestFailure> {
        let host = prepared.connection.host.clone();
        self.judged_end = None;
        self.log_forwarded(&prepared);
        count_forward("sent");
        let head = self.forward_head(point);
        let sender = SenderIdentity {
            host: self.state.settings.host.clone(),
            incarnation: self.state.incarnation,
        };
        if let Some(charge) = &mut self.decoded.charge {
            charge.record_send();
        }
        let deadline = self.facts().deadline;
        let sending = prepared.connection.send(&sender, &head, &self.decoded.body);
        let error = match timeout_at(deadline, sending).await {
            Ok(Ok((reply, body))) => return self.handle_reply(&host, reply, body),
            Ok(Err(error)) => error,
            Err(_) => ForwardError::Broken { reason: "no reply in time".to_owned() },
        };
        match error {
            ForwardError::NotSent { .. } => {
                self.exclude_helper(&host, &error.to_string());
                self.charge_runs(RunCounts::default());
                Ok(None)
            }
            ForwardError::Broken { reason } => {
                self.excluded_helpers.push(host.clone());
                self.log_helper_failed(&host, &reason);
                let route = self.decoded.facts.route.clone();
                match self.progress.after(SendOutcome::Broken, &route) {
                    NextStep::SendAgain => Ok(Some(ForwardStep::Again)),
                    NextStep::GiveUp(kind) => Err(self.failure(kind).with_detail(reason)),
                }
            }
        }
    }

    /// Records that a response through another host broke off. Fails if no further attempt is allowed.
    pub(super) fn handle_lost_helper(
        &mut self,
        error: &SendError,
        host: &HostName,
    ) -> Result<(), RequestFailure> {
        // The helper may be well, and a server have failed it: other requests still go there.
        self.log_helper_failed(host, &error.reason);
        let route = self.decoded.facts.route.clone();
        match self.progress.after(error.outcome, &route) {
            NextStep::SendAgain => Ok(()),
            NextStep::GiveUp(kind) => Err(self.failure(kind).with_detail(error.reason.clone())),
        }
    }

    /// When a stream that has begun is cut. At a helper later than the reply would be due: the host that has the request
    /// from its caller cuts the stream itself.
    pub(crate) fn stream_deadline(&self) -> Instant {
        match self.source {
            RequestSource::Caller => self.facts().deadline,
            RequestSource::Peer => self.facts().deadline + REPLY_TIME,
        }
    }

    fn forward_head(&self, point: &ResumePoint) -> ForwardHead {
        let facts = self.facts();
        let now = Instant::now();
        let time_left = facts.deadline.saturating_duration_since(now).saturating_sub(REPLY_TIME);
        let mut head = ForwardHead::new(&self.decoded.parts, self.decoded.table.version());
        head.time_left_ms = time_left.as_millis() as u64;
        head.waited_ms = now.saturating_duration_since(facts.arrived).as_millis() as u64;
        head.runs = RunCounts {
            arrivals: self.progress.arrivals(),
            possible_runs: self.progress.possible_runs(),
        };
        head.is_counted = 0 < self.progress.sends();
        head.last_event.clone_from(&point.last_event);
        head.weights = point.weights;
        head.origin = self.origin;
        head
    }

    fn handle_reply(
        &mut self,
        host: &HostName,
        reply: ForwardReply,
        body: ForwardBody,
    ) -> Result<Option<ForwardStep>, RequestFailure> {
        match reply {
            ForwardReply::Response { status, headers, weights, runs, origin, .. } => {
                let origin = origin.unwrap_or(StreamOrigin::NOWHERE);
                // The run that has produced the response is not among those that have ended.
                self.charge_runs(RunCounts { possible_runs: runs.possible_runs + 1, ..runs });
                self.progress.adopt(runs.arrivals, runs.possible_runs);
                let parts = response_parts(status, &headers).map_err(|err| {
                    self.failure(ErrorKind::OutcomeUnknown).with_detail(err.to_string())
                })?;
                let response = helper_response(&self.decoded.parts.method, parts, host, body);
                let response = UpstreamResponse { weights, stream_origin: origin, ..response };
                Ok(Some(ForwardStep::Response(Box::new(response))))
            }
            ForwardReply::Failure { code, detail, retry_delay_ms, closes_connection, runs } => {
                self.charge_runs(runs);
                self.progress.adopt(runs.arrivals, runs.possible_runs);
                let kind = kind_of_code(&code);
                if runs.possible_runs == 0 && is_of_helper(kind) {
                    self.exclude_helper(host, &detail);
                    return Ok(None);
                }
                let mut failure = self.failure(kind).with_detail(detail);
                failure.retry_delay = Duration::from_millis(retry_delay_ms);
                failure.closes_connection = closes_connection;
                Err(failure)
            }
        }
    }

    /// Corrects the charge for a forwarded send, which counts as one run until its reply says otherwise.
    fn charge_runs(&mut self, runs: RunCounts) {
        let before = self.progress.possible_runs();
        let Some(charge) = &mut self.decoded.charge else { return };
        match runs.possible_runs.saturating_sub(before) {
            0 => charge.record_not_run(),
            made => (1..made).for_each(|_| charge.record_send()),
        }
    }

    /// Rejects the request if neither this host nor another one has reached a server for a while.
    pub(super) fn reject_unreached(&self) -> Result<(), RequestFailure> {
        let Some(service) = self.service() else { return Ok(()) };
        let unreached_for = self.state.servers().unreached_for(&service, Instant::now());
        if unreached_for.is_none_or(|time| time < MAX_SILENCE) {
            return Ok(());
        }
        let failure = self.failure(self.progress.failure());
        Err(failure
            .with_detail("no server of the service is in reach of any host".to_owned())
            .with_retry_delay(PROBE_INTERVAL))
    }

    fn log_forwarded(&self, prepared: &PreparedForward) {
        let kind = EventKind::RequestForwarded;
        if !self.state.log_limiter.allows(kind, Instant::now()) {
            return;
        }
        let now = Instant::now();
        let service = self.service();
        let evidence = service.and_then(|service| self.state.servers().reach_age(&service, now));
        tracing::info!(
            event = kind.number(),
            name = kind.name(),
            id = %self.facts().id,
            helper = %prepared.connection.host,
            reason = %prepared.reason,
            evidence_ms = evidence.map(|age| age.as_millis() as u64),
            report_ms = prepared.report_age.as_millis() as u64,
            sends = self.progress.sends(),
            possible_runs = self.progress.possible_runs(),
            waited_ms = self.facts().arrived.elapsed().as_millis() as u64,
            config_version = self.decoded.table.version().0,
        );
    }

    fn log_helper_failed(&self, host: &HostName, reason: &str) {
        let kind = EventKind::AttemptRetried;
        if !self.state.log_limiter.allows(kind, Instant::now()) {
            return;
        }
        tracing::info!(
            event = kind.number(),
            name = kind.name(),
            id = %self.facts().id,
            helper = %host,
            reason,
            took_ms = self.facts().arrived.elapsed().as_millis() as u64,
        );
    }
}

/// Whether an error concerns the helper itself, so that another one may do better.
fn is_of_helper(kind: ErrorKind) -> bool {
    matches!(
        kind,
        ErrorKind::NoServer | ErrorKind::NotReady | ErrorKind::Stopping | ErrorKind::QueueFull
    )
}

fn helper_response(
    method: &Method,
    parts: Parts,
    host: &HostName,
    body: ForwardBody,
) -> UpstreamResponse {
    // The stream between hosts frames the body, whatever its server has stated.
    let framing = match BodyFraming::of_response(method, parts.status, &parts.headers) {
        BodyFraming::NoBody => BodyFraming::NoBody,
        _ => BodyFraming::Chunked,
    };
    UpstreamResponse {
        head: ResponseHead::decode(&parts),
        parts,
        framing,
        body: UpstreamBody::Helper(Box::new(body)),
        origin: ResponseOrigin::Helper(host.clone()),
        weights: None,
        stream_origin: StreamOrigin::NOWHERE,
    }
}
