//! Where a call is sent next, and under which terms.

use std::time::Duration;

use fulmargate_consortium::SendHead;
use fulmargate_dispatch::ChoiceReason;
use fulmargate_dispatch::EngineRequest;
use fulmargate_dispatch::RouteKind;
use fulmargate_dispatch::ServerEntry;
use fulmargate_names::ModelName;
use fulmargate_names::ServiceName;
use fulmargate_names::WeightsVersion;
use tokio::time::Instant;

use crate::state::boot_now;
use crate::telemetry::count_send;
use crate::traffic::call_run::CallRun;
use crate::traffic::call_run::ResumePoint;
use crate::traffic::open_send::OpenSend;
use crate::traffic::send_attempt::SendPlan;

/// Requests go to engines with older weights until this long before the bound. A request may wait
/// at the engine before it begins, and the bound is on its beginning.
const WEIGHTS_MARGIN: Duration = Duration::from_millis(1_500);
/// An idempotent call that has not been answered in this share of its target latency is sent to
/// another server: nearly all answers of a sound server have come by then.
const HEDGE_SHARE: f64 = 0.6;
/// A silent server is asked whether it is still there each time so many target latencies have
/// passed.
const PROBE_SHARE: f64 = 1.0;

impl CallRun {
    /// Chooses a server; those already tried only if there is no other.
    pub(super) fn plan(&mut self, point: &ResumePoint) -> Option<SendPlan> {
        let service = self.service()?;
        let is_engine = self.call.table.service(&service).is_some_and(|rule| rule.engine.is_some());
        let model = self.facts().model.clone().filter(|_| is_engine);
        let choose = |run: &CallRun| match &model {
            Some(model) => run.plan_prompt(&service, model, point),
            None => run.plan_plain(&service),
        };
        let plan = choose(self);
        if plan.is_some() || self.excluded.is_empty() {
            return plan;
        }
        self.excluded.clear();
        choose(self)
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

    fn plan_prompt(
        &self,
        service: &ServiceName,
        model: &ModelName,
        point: &ResumePoint,
    ) -> Option<SendPlan> {
        let now = Instant::now();
        let weights = self.state.weights.load_full();
        let request = EngineRequest {
            call: self.facts(),
            service,
            model,
            table: &self.call.table,
            weights: &weights,
            weights_bound: self.state.settings.bounds.weights().saturating_sub(WEIGHTS_MARGIN),
            zone: &self.state.settings.zone,
            only_weights: point.weights,
            excluded: &self.excluded,
            now,
            boot_now: boot_now(),
        };
        let mut book = self.state.book();
        let choice = book.choose_engine(&request)?;
        let ticket = book.begin_prompt(self.facts(), &choice, now);
        drop(book);
        let reason = reason_name(choice.reason);
        count_send(reason);
        self.tell_prompt(&choice, reason);
        let begin_by = self.begin_by(model, choice.weights);
        let mut head = self.send_head(&choice.server);
        head.weights = Some(choice.weights);
        head.salt = Some(choice.salt);
        head.fetch_from = choice.fetch.map(|fetch| fetch.from);
        head.save_to = choice.save_to;
        head.priority = Some(choice.urgency.level());
        head.last_event.clone_from(&point.last_event);
        Some(SendPlan {
            server: choice.server,
            head,
            weights: Some(choice.weights),
            until: self.attempt_deadline().min(begin_by),
            probe_pace: self.probe_pace(),
            open: OpenSend::new(self.state.clone(), ticket),
        })
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
    fn probe_pace(&self) -> Duration {
        let route = &self.facts().route;
        match self.progress.may_go_elsewhere(route) {
            true => route.target_latency.mul_f64(PROBE_SHARE),
            false => route.timeout,
        }
    }
}

fn reason_name(reason: ChoiceReason) -> &'static str {
    match reason {
        ChoiceReason::Home => "home",
        ChoiceReason::Cheaper => "cheaper",
        ChoiceReason::LastResort => "last_resort",
    }
}
