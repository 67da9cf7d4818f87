//! Where a call is sent next, and under which terms.

use std::time::Duration;

use fulmargate_consortium::SendHead;
use fulmargate_dispatch::ChoiceReason;
use fulmargate_dispatch::PlacementRequest;
use fulmargate_dispatch::Placing;
use fulmargate_dispatch::RouteKind;
use fulmargate_dispatch::ServerEntry;
use fulmargate_dispatch::TakenEngine;
use fulmargate_dispatch::WaitEnd;
use fulmargate_names::ModelName;
use fulmargate_names::ServiceName;
use fulmargate_names::WeightsVersion;
use tokio::time::Instant;
use tokio::time::timeout_at;

use crate::state::boot_now;
use crate::telemetry::count_send;
use crate::telemetry::record_engine_wait;
use crate::traffic::answer::CallFailure;
use crate::traffic::call_run::CallRun;
use crate::traffic::call_run::ResumePoint;
use crate::traffic::open_send::OpenSend;
use crate::traffic::send_attempt::SendPlan;
use crate::traffic::wait_room::enter_line;
use crate::traffic::wait_room::place_first;

/// An idempotent call that has not been answered in this share of its target latency is sent to
/// another server: nearly all answers of a sound server have come by then.
const HEDGE_SHARE: f64 = 0.6;
/// A silent server is asked whether it is still there each time so many target latencies have
/// passed.
const PROBE_SHARE: f64 = 1.0;

impl CallRun {
    /// Chooses a server; those already tried only if there is no other. A prompt may wait for one.
    pub(super) async fn plan(
        &mut self,
        point: &ResumePoint,
    ) -> Result<Option<SendPlan>, CallFailure> {
        let Some(service) = self.service() else { return Ok(None) };
        let is_engine = self.call.table.service(&service).is_some_and(|rule| rule.engine.is_some());
        let model = self.facts().model.clone().filter(|_| is_engine);
        if let Some(model) = model {
            return self.plan_prompt(service, model, point).await;
        }
        let plan = self.plan_plain(&service);
        if plan.is_some() || self.excluded.is_empty() {
            return Ok(plan);
        }
        self.excluded.clear();
        Ok(self.plan_plain(&service))
    }

    fn plan_plain(&self, service: &ServiceName) -> Option<SendPlan> {
        let now = Instant::now();
        let mut book = self.state.book();
        let zone = &self.state.settings.zone;
        let server = book.choose_plain(service, zone, &self.excluded, now)?;
        let ticket = book.begin(self.facts(), server.key(), now);
        drop(book);
        let head = self.send_head(&server);
        let open = OpenSend::new(self.state.clone(), ticket);
        let until = self.attempt_deadline();
        count_send("plain");
        self.tell_sent(&server, "plain");
        let probe_pace = self.probe_pace();
        Some(SendPlan { server, head, weights: None, until, probe_pace, open })
    }

    async fn plan_prompt(
        &mut self,
        service: ServiceName,
        model: ModelName,
        point: &ResumePoint,
    ) -> Result<Option<SendPlan>, CallFailure> {
        let team = self.facts().team.clone();
        let wish = PlacementRequest {
            call: self.facts().clone(),
            service: service.clone(),
            model: model.clone(),
            only_weights: point.weights,
            excluded: self.excluded.clone(),
        };
        let Some(taken) = self.take_engine(wish).await? else { return Ok(None) };
        let TakenEngine { choice, ticket } = taken;
        // Dropped with the count of the request there, whatever follows.
        let open = OpenSend::new(self.state.clone(), ticket);
        // The configuration may have changed, and the key may have been taken, while the prompt waited.
        self.readmit()?;
        if self.facts().team != team || self.service() != Some(service) {
            // The key has passed to another team, or the route to another service. The engine was chosen
            // under the old team's salt: it would share the prompt's parts with the wrong team.
            drop(open);
            return Box::pin(self.plan(point)).await;
        }
        let reason = reason_name(choice.reason);
        count_send(reason);
        self.tell_prompt(&choice, reason);
        let begin_by = self.begin_by(&model, choice.weights);
        let mut head = self.send_head(&choice.server);
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
            until: self.attempt_deadline().min(begin_by),
            probe_pace: self.probe_pace(),
            open,
        }))
    }

    /// An engine for the prompt, after waiting for it if need be.
    async fn take_engine(
        &self,
        wish: PlacementRequest,
    ) -> Result<Option<TakenEngine>, CallFailure> {
        match place_first(&self.state, &wish) {
            Placing::Taken(taken) => return Ok(Some(*taken)),
            Placing::Nowhere => return Ok(None),
            Placing::Wait(_) => {}
        }
        let deadline = wish.call.deadline;
        let began = Instant::now();
        let place = enter_line(&self.state, wish);
        self.tell_waits();
        let end = timeout_at(deadline, place.wait()).await;
        record_engine_wait(outcome_name(end.as_ref().ok()), began.elapsed());
        match end {
            Ok(WaitEnd::Taken(taken)) => Ok(Some(*taken)),
            Ok(WaitEnd::Nowhere) => Ok(None),
            Ok(WaitEnd::Refused(wait)) => {
                Err(self.failure(self.progress.timeout()).coming_back(wait))
            }
            Err(_) => Err(self.failure(self.progress.timeout())),
        }
    }

    fn send_head(&self, server: &ServerEntry) -> SendHead {
        let facts = self.facts();
        SendHead {
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

    /// When an attempt is given up though its server is there. Only a call that costs little may run
    /// at two servers; prompts that were sent again while engines were busy made them busier.
    fn attempt_deadline(&self) -> Instant {
        let facts = self.facts();
        let route = &facts.route;
        let is_last = route.max_attempts <= self.progress.possible_runs() + 1;
        if is_last || route.kind != RouteKind::Idempotent {
            return facts.deadline;
        }
        facts.deadline.min(Instant::now() + route.target_latency.mul_f64(HEDGE_SHARE))
    }

    /// When a request on these weights must have begun.
    fn begin_by(&self, model: &ModelName, weights: WeightsVersion) -> Instant {
        let bound = self.state.settings.bounds.weights();
        let named = self.state.weights.load();
        match named.time_to_begin(model, weights, bound, boot_now()) {
            Some(time) => Instant::now() + time,
            None => self.facts().deadline,
        }
    }

    /// How often a silent server is asked. A call that cannot go elsewhere is waited for to the end.
    pub(crate) fn probe_pace(&self) -> Duration {
        let route = &self.facts().route;
        match self.progress.may_go_elsewhere(route) {
            true => route.target_latency.mul_f64(PROBE_SHARE),
            false => route.timeout,
        }
    }
}

fn outcome_name(end: Option<&WaitEnd>) -> &'static str {
    match end {
        Some(WaitEnd::Taken(_)) => "taken",
        Some(WaitEnd::Refused(_)) => "refused",
        Some(WaitEnd::Nowhere) | None => "none",
    }
}

fn reason_name(reason: ChoiceReason) -> &'static str {
    match reason {
        ChoiceReason::Home => "home",
        ChoiceReason::Cheaper => "cheaper",
        ChoiceReason::LastResort => "last_resort",
    }
}
