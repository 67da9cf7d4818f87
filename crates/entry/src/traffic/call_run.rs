//! A call from its first send to its answer.

mod learn;
mod log;
mod plan;
mod stream_pace;
mod successor;

use std::cell::Cell;
use std::sync::Arc;
use std::time::Duration;

use fulmargate_consortium::AnswerHead;
use fulmargate_dispatch::CallFacts;
use fulmargate_dispatch::CallProgress;
use fulmargate_dispatch::NextStep;
use fulmargate_dispatch::RouteKind;
use fulmargate_dispatch::SendEnd;
use fulmargate_dispatch::ServerEntry;
use fulmargate_dispatch::ServerKey;
use fulmargate_names::ErrorKind;
use fulmargate_names::EventKind;
use fulmargate_names::ServiceName;
use fulmargate_names::WeightsVersion;
use http::Response;
use http::StatusCode;
use http::response::Parts;
use tokio::time::Instant;
use tokio::time::sleep;
use xxhash_rust::xxh3::xxh3_64;

pub(crate) use self::successor::Successor;

use crate::state::SharedState;
use crate::traffic::answer::CallFailure;
use crate::traffic::call_decoder::DecodedCall;
use crate::traffic::call_decoder::UNPROVEN;
use crate::traffic::call_decoder::admit;
use crate::traffic::call_run::stream_pace::StreamPace;
use crate::traffic::caller_body::CallerBody;
use crate::traffic::send_attempt::OpenAnswer;
use crate::traffic::send_attempt::ReadySend;
use crate::traffic::send_attempt::SendFault;
use crate::traffic::stream_relay::relay_stream;

/// Pause before a call that was turned away is sent again, longer each time.
const TURNED_AWAY_PAUSE: Duration = Duration::from_millis(15);

/// Pause before a stream that has begun tries another server after one that did not run it.
const UNSENT_PAUSE: Duration = Duration::from_millis(100);

/// The state of one call.
pub(crate) struct CallRun {
    pub(crate) state: Arc<SharedState>,
    pub(crate) call: DecodedCall,
    progress: CallProgress,
    excluded: Vec<ServerKey>,
    /// A server's own failure, for the caller if no other server does better.
    failed: Option<Response<CallerBody>>,
    /// When a stream's events came.
    pub(crate) pace: StreamPace,
    /// Its end was told. A run that is dropped before has lost its caller.
    is_told: Cell<bool>,
}

impl Drop for CallRun {
    fn drop(&mut self) {
        if !self.is_told.get() {
            self.tell_caller_gone();
        }
    }
}

/// Where a stream goes on.
#[derive(Clone, Debug, Default)]
pub(crate) struct ResumePoint {
    /// The last event that the caller has.
    pub(crate) last_event: Option<String>,
    /// The weights of the stream so far.
    pub(crate) weights: Option<WeightsVersion>,
}

impl CallRun {
    /// A call that was sent nowhere yet.
    pub(crate) fn new(state: Arc<SharedState>, call: DecodedCall) -> CallRun {
        let progress = CallProgress::default();
        CallRun {
            state,
            call,
            progress,
            excluded: Vec::new(),
            failed: None,
            pace: StreamPace::default(),
            is_told: Cell::new(false),
        }
    }

    /// What the call is.
    pub(crate) fn facts(&self) -> &CallFacts {
        &self.call.facts
    }

    /// Sends until there is an answer or nothing more may be done.
    pub(crate) async fn answer(mut self) -> Result<Response<CallerBody>, CallFailure> {
        match self.next_answer(&ResumePoint::default()).await {
            Ok(answer) if is_relayed(&answer, self.facts()) => Ok(relay_stream(self, answer)),
            Ok(answer) => self.pass_whole(answer).await,
            Err(failure) => self.fail(failure),
        }
    }

    /// The next answer whose head may go to the caller.
    pub(crate) async fn next_answer(
        &mut self,
        point: &ResumePoint,
    ) -> Result<OpenAnswer, CallFailure> {
        loop {
            if self.facts().deadline <= Instant::now() {
                return Err(self.failure(self.progress.timeout()));
            }
            self.refuse_convicted()?;
            self.readmit()?;
            self.check_budget()?;
            let plan = self.plan(point).await?;
            let plan = plan.ok_or_else(|| self.failure(self.progress.failure()))?;
            let (server, weights) = (plan.server.clone(), plan.weights);
            let ready = match ReadySend::connect(plan).await {
                Ok(ready) => ready,
                Err(fault) => {
                    self.after(&fault, &server, weights).await?;
                    continue;
                }
            };
            if !self.take_repeat() {
                return Err(self.spent());
            }
            if let Some(answer) = self.answer_of(ready).await? {
                return Ok(answer);
            }
        }
    }

    /// Sends where a connection stands. Without an answer for the caller another send may follow, unless
    /// nothing more may be done.
    pub(crate) async fn answer_of(
        &mut self,
        ready: ReadySend,
    ) -> Result<Option<OpenAnswer>, CallFailure> {
        let (server, weights) = (ready.server().clone(), ready.weights());
        if let Some(charge) = &mut self.call.charge {
            charge.sent();
        }
        let fault = match ready.send(&self.call).await {
            Ok(answer) => match self.judge(answer).await {
                Ok(answer) => return Ok(Some(answer)),
                Err(fault) => fault,
            },
            Err(fault) => fault,
        };
        if let Some(charge) = self.call.charge.as_mut().filter(|_| !fault.end.may_have_run()) {
            charge.not_run();
        }
        self.after(&fault, &server, weights).await?;
        Ok(None)
    }

    /// A request that crashes what runs it is sent nowhere any more, also not by a call that has just
    /// lost a server to it.
    fn refuse_convicted(&self) -> Result<(), CallFailure> {
        let is_convicted = self.state.crashes().is_convicted(self.facts().print);
        match (is_convicted, self.progress.may_have_run()) {
            (false, _) => Ok(()),
            (true, false) => Err(self.failure(ErrorKind::CrashingRequest)),
            (true, true) => Err(self.failure(ErrorKind::OutcomeUnknown)),
        }
    }

    /// The configuration may have changed while the body was read or another server was tried; a
    /// route that moved or a key that was taken counts from now on.
    pub(super) fn readmit(&mut self) -> Result<(), CallFailure> {
        let current = self.state.table.load().as_ref().map(|table| table.version());
        if current == Some(self.call.table.version()) {
            let needs_key = self.call.table.needs_key(&self.facts().route);
            if needs_key && !self.state.admits_keys() {
                return Err(self.failure(self.unproven()).saying(UNPROVEN.to_owned()).closing());
            }
            return Ok(());
        }
        let admitted = admit(&self.state, &self.call.parts).map_err(|mut failure| {
            // Of a call that may have run, nothing but that can be said.
            if self.progress.may_have_run() {
                failure.kind = ErrorKind::OutcomeUnknown;
            }
            failure
        })?;
        self.call.facts.team = admitted.team.as_ref().map(|team| team.name.clone());
        self.call.facts.route = admitted.route;
        self.call.table = admitted.table;
        Ok(())
    }

    fn unproven(&self) -> ErrorKind {
        if self.progress.may_have_run() { ErrorKind::OutcomeUnknown } else { ErrorKind::NotReady }
    }

    /// Whether one more send is allowed, before an engine is taken for it.
    fn check_budget(&mut self) -> Result<(), CallFailure> {
        let Some(service) = self.service() else {
            return Err(self.failure(ErrorKind::NoServer));
        };
        let now = Instant::now();
        if self.progress.sends() == 0 {
            self.state.budget().first(&service, now);
        }
        if self.progress.arrivals() == 0 || self.state.budget().has_repeat(&service, now) {
            return Ok(());
        }
        Err(self.spent())
    }

    /// Takes a repeat from the budget for a send whose connection stands; false if there is none.
    ///
    /// A send that finds no connection reaches nobody, so that it and the one after it repeat nothing.
    /// When engines crashed, half of the budget went on such sends and requests were refused for it.
    fn take_repeat(&self) -> bool {
        self.progress.arrivals() == 0 || self.try_repeat()
    }

    fn try_repeat(&self) -> bool {
        let take = |service| self.state.budget().try_repeat(&service, Instant::now());
        self.service().is_some_and(take)
    }

    fn spent(&self) -> CallFailure {
        let failure = self.failure(self.progress.failure());
        failure.saying("the budget of repeats is spent".to_owned())
    }

    /// Whether the server that has the call now may be given up for another one.
    pub(crate) fn may_go_elsewhere(&self) -> bool {
        let has_repeat = |service| self.state.budget().has_repeat(&service, Instant::now());
        self.progress.may_go_elsewhere(&self.facts().route)
            && self.service().is_some_and(has_repeat)
    }

    fn service(&self) -> Option<ServiceName> {
        let draw = xxh3_64(self.facts().id.as_str().as_bytes());
        self.facts().route.service_for(draw).cloned()
    }

    /// Whether the answer is one for the caller.
    async fn judge(&mut self, answer: OpenAnswer) -> Result<OpenAnswer, SendFault> {
        let fault = |end, reason: &str| Err(SendFault { end, reason: reason.to_owned() });
        let status = answer.parts.status;
        if answer.head.is_misdirected {
            return Err(misdirection(&answer));
        }
        if answer.head.is_not_run {
            return fault(SendEnd::Refused, status.as_str());
        }
        if let (Some(model), Some(seen)) = (&self.facts().model, answer.head.weights) {
            self.state.book().learn_weights(answer.server.key(), model, seen);
        }
        if status.is_success() && !answer.head.is_signed {
            return fault(SendEnd::Broken, "a success without the server's signature");
        }
        if status.is_server_error() || status == StatusCode::TOO_MANY_REQUESTS {
            return self.keep_failure(answer).await;
        }
        Ok(answer)
    }

    /// A server failed the request. Its answer is kept in case no other server does better.
    async fn keep_failure(&mut self, answer: OpenAnswer) -> Result<OpenAnswer, SendFault> {
        self.state.book().failed(answer.server.key(), Instant::now());
        let status = answer.parts.status;
        let parts = copy_head(&answer.parts);
        let body = answer.read_body(self.facts().deadline).await?;
        // These promise that nothing ran, which the server has not said.
        let is_false_promise =
            matches!(status, StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS);
        if !is_false_promise {
            self.failed = Some(whole_answer(&parts, body));
        }
        Err(SendFault { end: SendEnd::Broken, reason: format!("the server answered {status}") })
    }

    async fn after(
        &mut self,
        fault: &SendFault,
        server: &Arc<ServerEntry>,
        weights: Option<WeightsVersion>,
    ) -> Result<(), CallFailure> {
        self.learn(fault, server, weights);
        self.tell_fault(fault, server);
        self.exclude(server);
        if self.pace.first_event.is_some() && !fault.end.may_have_run() {
            // The caller of a stream that has begun can be told nothing but that it broke, while its time
            // is not over. With four sends at most, a host whose link was full for half a second, or
            // engines that were full for a moment, broke off streams that could go on. Sends that arrive
            // are bounded by the budget of repeats; all end with the request's time and its caller.
            sleep(UNSENT_PAUSE).await;
            return Ok(());
        }
        let route = self.call.facts.route.clone();
        let step = self.progress.after(fault.end, &route);
        match step {
            NextStep::GiveUp(kind) => Err(self.failure(kind).saying(fault.reason.clone())),
            NextStep::SendAgain => {
                if fault.end == SendEnd::Refused {
                    sleep(TURNED_AWAY_PAUSE * self.progress.sends()).await;
                }
                Ok(())
            }
        }
    }

    async fn pass_whole(self, answer: OpenAnswer) -> Result<Response<CallerBody>, CallFailure> {
        let parts = copy_head(&answer.parts);
        let server = answer.server.clone();
        let until = self.facts().deadline;
        let mut run = self;
        match answer.read_body(until).await {
            Ok(body) => {
                run.state.crashes().acquit(run.facts().print);
                run.tell_ended(EventKind::RequestEnded, parts.status, None);
                Ok(whole_answer(&parts, body))
            }
            Err(fault) => match run.after(&fault, &server, None).await {
                Ok(()) => Box::pin(run.answer()).await,
                Err(failure) => run.fail(failure),
            },
        }
    }

    fn fail(&mut self, failure: CallFailure) -> Result<Response<CallerBody>, CallFailure> {
        if let Some(answer) = self.failed.take() {
            self.tell_ended(EventKind::RequestEnded, answer.status(), None);
            return Ok(answer);
        }
        self.tell_ended(EventKind::RequestFailed, failure.status(), Some(&failure));
        Err(failure)
    }

    pub(crate) fn failure(&self, kind: ErrorKind) -> CallFailure {
        let deadline = self.facts().deadline;
        CallFailure::new(kind, deadline.saturating_duration_since(Instant::now()))
    }

    /// A stream's attempt broke: whether another may follow.
    pub(crate) async fn after_break(
        &mut self,
        reason: &str,
        server: &Arc<ServerEntry>,
    ) -> Result<(), CallFailure> {
        let fault = SendFault { end: SendEnd::Broken, reason: reason.to_owned() };
        self.after(&fault, server, None).await
    }
}

/// A server that names itself as the one expected has other weights.
fn misdirection(answer: &OpenAnswer) -> SendFault {
    let is_expected = answer.head.server.as_ref().is_none_or(|name| *name == answer.server.name);
    let (end, reason) = match is_expected && answer.weights.is_some() {
        true => (SendEnd::OtherWeights, "other weights are in use"),
        false => (SendEnd::OtherServer, "another server is at the address"),
    };
    SendFault { end, reason: reason.to_owned() }
}

fn is_relayed(answer: &OpenAnswer, facts: &CallFacts) -> bool {
    answer.parts.status.is_success() && matches!(facts.route.kind, RouteKind::Stream(_))
}

fn copy_head(parts: &Parts) -> Parts {
    let mut copy = Response::new(()).into_parts().0;
    copy.status = parts.status;
    copy.headers = parts.headers.clone();
    copy
}

fn whole_answer(parts: &Parts, body: bytes::Bytes) -> Response<CallerBody> {
    let mut answer = Response::new(CallerBody::whole(body));
    *answer.status_mut() = parts.status;
    *answer.headers_mut() = AnswerHead::passed_on(parts);
    answer
}
