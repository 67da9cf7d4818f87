//! Chooses the server and the parameters of the next send.

use std::time::Duration;

use fulmargate_consortium::ServerRequestHead;
use fulmargate_dispatch::AssignedEngine;
use fulmargate_dispatch::AssignedServer;
use fulmargate_dispatch::ChoiceReason;
use fulmargate_dispatch::Placement;
use fulmargate_dispatch::PlacementRequest;
use fulmargate_dispatch::PlainPlacement;
use fulmargate_dispatch::QueueOutcome;
use fulmargate_dispatch::RouteKind;
use fulmargate_dispatch::ServerEntry;
use fulmargate_names::ModelName;
use fulmargate_names::ServiceName;
use fulmargate_names::WeightsVersion;
use tokio::time::Instant;
use tokio::time::sleep;
use tokio::time::timeout_at;

use crate::state::boot_now;
use crate::telemetry::count_limit_decision;
use crate::telemetry::count_send;
use crate::telemetry::record_engine_wait;
use crate::traffic::in_flight_request::InFlightRequest;
use crate::traffic::prompt_queue::enqueue;
use crate::traffic::prompt_queue::try_place;
use crate::traffic::queued_call::QueuedCall;
use crate::traffic::request_failure::RequestFailure;
use crate::traffic::request_handler::RequestHandler;
use crate::traffic::request_handler::ResumePoint;
use crate::traffic::send_attempt::SendPlan;

/// An attempt of an idempotent request without a response after this share of its target latency is
/// abandoned, and the request is sent to another server. Nearly all responses of a sound server have come by
/// then.
const ATTEMPT_TIMEOUT_SHARE: f64 = 0.6;
/// Interval at which an unresponsive server is probed, as a share of the target latency.
const PROBE_INTERVAL_SHARE: f64 = 1.0;

/// Interval at which a plain call that waits for a limited server tries again. Other routers may give back what
/// they did not send.
const MAX_LIMIT_POLL_INTERVAL: Duration = Duration::from_millis(20);

impl RequestHandler {
    /// Plans the next send, which for a prompt may wait in the queue for an engine. Servers of a plain service
    /// that were already tried are used again only if there is no other.
    pub(super) async fn plan(
        &mut self,
        point: &ResumePoint,
    ) -> Result<Option<SendPlan>, RequestFailure> {
        let Some(service) = self.service() else { return Ok(None) };
        if self.progress.sends() == 0 {
            self.state.servers().record_demand(&service, Instant::now());
        }
        let is_engine =
            self.decoded.table.service(&service).is_some_and(|rule| rule.engine.is_some());
        let model = self.facts().model.clone().filter(|_| is_engine);
        if let Some(model) = model {
            return self.plan_prompt(service, model, point).await;
        }
        let assigned = self.reserve_plain(&service).await?;
        if assigned.is_some() || self.excluded_servers.is_empty() || self.turn_server.is_some() {
            return Ok(assigned.map(|assigned| self.plain_plan(assigned)));
        }
        self.excluded_servers.clear();
        let assigned = self.reserve_plain(&service).await?;
        Ok(assigned.map(|assigned| self.plain_plan(assigned)))
    }

    /// Reserves a server of a plain service. Waits while all are at their rate limits, and rejects the request at
    /// once if its response could not come before its deadline.
    async fn reserve_plain(
        &mut self,
        service: &ServiceName,
    ) -> Result<Option<AssignedServer>, RequestFailure> {
        let mut queued: Option<QueuedCall> = None;
        loop {
            let wait = match self.place_plain(service, queued.as_ref()) {
                PlainPlacement::Assigned(assigned) => return Ok(Some(*assigned)),
                PlainPlacement::NoServer => return Ok(None),
                PlainPlacement::Limited(wait) => wait,
            };
            let service_time = self.state.servers().min_latency(service, Instant::now());
            if self.facts().deadline <= Instant::now() + wait + service_time {
                count_limit_decision("rejected");
                return Err(self.limit_failure(wait));
            }
            if queued.is_none() {
                count_limit_decision("queued");
                self.log_queued();
                queued = Some(QueuedCall::new(self.state.clone(), service, self.facts()));
            }
            sleep(wait.min(MAX_LIMIT_POLL_INTERVAL)).await;
            self.reject_crashing_request()?;
            self.readmit()?;
            if self.service().as_ref() != Some(service) {
                return Ok(None);
            }
        }
    }

    fn place_plain(&self, service: &ServiceName, queued: Option<&QueuedCall>) -> PlainPlacement {
        let mut servers = self.state.servers();
        let excluded = match self.turn_server {
            Some(server) => servers.others_of_service(service, server),
            None => self.excluded_servers.clone(),
        };
        let of_other_versions =
            servers.excluded_by_version(service, self.facts(), self.origin, boot_now());
        let excluded = [excluded, of_other_versions].concat();
        servers.place_plain(
            self.facts(),
            service,
            &self.state.settings.zone,
            &excluded,
            queued.map(QueuedCall::ticket),
            Instant::now(),
        )
    }

    fn plain_plan(&self, assigned: AssignedServer) -> SendPlan {
        let AssignedServer { server, ticket } = assigned;
        let head = self.server_request_head(&server);
        let head_deadline = self.attempt_deadline();
        count_send("plain");
        self.log_sent(&server, "plain", ticket.grant());
        let in_flight = InFlightRequest::new(self.state.clone(), ticket);
        let probe_interval = self.probe_interval();
        SendPlan { server, head, weights: None, head_deadline, probe_interval, in_flight }
    }

    /// Rejection of a request that no server can take in time because of their rate limits.
    fn limit_failure(&self, wait: Duration) -> RequestFailure {
        let detail = format!("all servers are at their rate limits for {} ms", wait.as_millis());
        self.failure(self.progress.timeout()).with_detail(detail).with_retry_delay(wait)
    }

    async fn plan_prompt(
        &mut self,
        service: ServiceName,
        model: ModelName,
        point: &ResumePoint,
    ) -> Result<Option<SendPlan>, RequestFailure> {
        let team = self.facts().team.clone();
        let placement = PlacementRequest {
            call: self.facts().clone(),
            service: service.clone(),
            model: model.clone(),
            only_weights: point.weights,
            only_origin: self.origin,
            excluded: self.excluded_engines(),
            only_server: self.turn_server,
        };
        let Some(assigned) = self.reserve_engine(placement).await? else { return Ok(None) };
        let AssignedEngine { choice, ticket } = assigned;
        let grant = ticket.grant();
        // Releases the ticket on every early return below.
        let in_flight = InFlightRequest::new(self.state.clone(), ticket);
        // The configuration may have changed, and the key may have been revoked, while the prompt was queued.
        self.readmit()?;
        if self.facts().team != team || self.service() != Some(service) {
            // The key now belongs to another team, or the route to another service. The engine was chosen with
            // the previous team's cache salt, which would share cached prompt parts with the wrong team.
            drop(in_flight);
            return Box::pin(self.plan(point)).await;
        }
        let reason = reason_label(choice.reason);
        count_send(reason);
        self.log_prompt_sent(&choice, reason, grant);
        let start_deadline = self.start_deadline(&model, choice.weights);
        let mut head = self.server_request_head(&choice.server);
        head.weights = Some(choice.weights);
        head.salt = Some(choice.salt);
        head.fetch_from = choice.fetch.map(|fetch| fetch.from);
        head.save_to = choice.save_to;
        head.priority = Some(choice.urgency.level());
        head.last_event.clone_from(&point.last_event);
        Ok(Some(SendPlan {
            server: choice.server,
            head,
            weights: Some(choice.weights),
            head_deadline: self.attempt_deadline().min(start_deadline),
            probe_interval: self.probe_interval(),
            in_flight,
        }))
    }

    /// Reserves an engine for the prompt, waiting in the queue if necessary.
    async fn reserve_engine(
        &self,
        placement: PlacementRequest,
    ) -> Result<Option<AssignedEngine>, RequestFailure> {
        match try_place(&self.state, &placement) {
            Placement::Assigned(assigned) => return Ok(Some(*assigned)),
            Placement::NoEngine => return Ok(None),
            Placement::Queued(_) => {}
            Placement::Limited(_) => count_limit_decision("queued"),
        }
        let deadline = placement.call.deadline;
        let started_at = Instant::now();
        let queued = enqueue(&self.state, placement);
        self.log_queued();
        let outcome = tokio::select! {
            biased;
            outcome = timeout_at(deadline, queued.wait()) => outcome,
            () = self.wait_for_forward_reason() => return Ok(None),
        };
        record_engine_wait(wait_outcome_label(outcome.as_ref().ok()), started_at.elapsed());
        match outcome {
            Ok(QueueOutcome::Assigned(assigned)) => Ok(Some(*assigned)),
            Ok(QueueOutcome::NoEngine) => Ok(None),
            Ok(QueueOutcome::Refused(delay)) => {
                Err(self.failure(self.progress.timeout()).with_retry_delay(delay))
            }
            Err(_) => Err(self.failure(self.progress.timeout())),
        }
    }

    fn server_request_head(&self, server: &ServerEntry) -> ServerRequestHead {
        let facts = self.facts();
        ServerRequestHead {
            server: server.name.clone(),
            time_left: facts.deadline.saturating_duration_since(Instant::now()),
            team: facts.team.clone(),
            weights: None,
            salt: None,
            fetch_from: None,
            save_to: None,
            priority: None,
            last_event: None,
        }
    }

    /// The time at which an attempt is abandoned although its server is reachable: before the request's deadline only
    /// if the request is idempotent and may be sent again. Sending prompts a second time would overload busy
    /// engines further.
    fn attempt_deadline(&self) -> Instant {
        let facts = self.facts();
        let route = &facts.route;
        let is_last = route.max_attempts <= self.progress.possible_runs() + 1;
        if is_last || route.kind != RouteKind::Idempotent {
            return facts.deadline;
        }
        facts.deadline.min(Instant::now() + route.target_latency.mul_f64(ATTEMPT_TIMEOUT_SHARE))
    }

    /// The latest time at which a request may start on this weights version.
    fn start_deadline(&self, model: &ModelName, weights: WeightsVersion) -> Instant {
        let max_age = self.state.settings.bounds.weights();
        let targets = self.state.weights.load();
        match targets.max_start_delay(model, weights, max_age, boot_now()) {
            Some(time) => Instant::now() + time,
            None => self.facts().deadline,
        }
    }

    /// How often an unresponsive server is probed. If no other server may take over the request, this is the
    /// route's timeout, so that the server is not abandoned before the deadline.
    pub(crate) fn probe_interval(&self) -> Duration {
        let route = &self.facts().route;
        match self.progress.may_fail_over(route) {
            true => route.target_latency.mul_f64(PROBE_INTERVAL_SHARE),
            false => route.timeout,
        }
    }
}

fn wait_outcome_label(outcome: Option<&QueueOutcome>) -> &'static str {
    match outcome {
        Some(QueueOutcome::Assigned(_)) => "taken",
        Some(QueueOutcome::Refused(_)) => "refused",
        Some(QueueOutcome::NoEngine) | None => "none",
    }
}

fn reason_label(reason: ChoiceReason) -> &'static str {
    match reason {
        ChoiceReason::Owner => "home",
        ChoiceReason::Cheaper => "cheaper",
        ChoiceReason::LastResort => "last_resort",
    }
}
