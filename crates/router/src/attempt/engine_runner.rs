//! Makes attempts at engines until one answers.

use std::sync::Arc;
use std::time::Duration;

use awc::Client;
use fulmargate_admission::RetryGrant;
use fulmargate_admission::ServerResult;
use fulmargate_names::Disposition;
use fulmargate_names::ErrorKind;
use fulmargate_names::EventKind;
use fulmargate_names::ServerName;
use fulmargate_names::WeightsVersion;
use fulmargate_relay::ExpectedWeights;
use fulmargate_relay::ReplyNews;
use fulmargate_relay::ResumeToken;
use fulmargate_relay::StreamPlace;
use tokio::time::Instant;
use tokio::time::timeout;
use tokio::time::timeout_at;

use crate::attempt::AttemptFailure;
use crate::attempt::AttemptHold;
use crate::attempt::EngineCall;
use crate::attempt::OpenAttempt;
use crate::attempt::PlacedAttempt;
use crate::attempt::engine_attempt::EngineAttempt;
use crate::attempt::engine_attempt::EngineHead;
use crate::caller::RequestError;
use crate::state::RouteTable;
use crate::state::RouterState;

/// Attempts for one request, besides those that a stream earns by moving on.
pub(crate) const MAX_ATTEMPTS: u32 = 4;
/// A first token that is late by so much more than expected means trouble at the server.
const PATIENCE_FACTOR: f64 = 4.0;
/// How long an answer in one piece may take.
pub(crate) const WHOLE_PATIENCE: Duration = Duration::from_secs(300);
/// How often it is asked meanwhile whether its server is still in use.
pub(crate) const WHOLE_LOOK: Duration = Duration::from_millis(250);
/// How long a second whole answer may take to begin when the first one broke off late.
const SECOND_PATIENCE: Duration = Duration::from_secs(1);
/// An engine's refusal when it has other weights than asked for.
const WEIGHTS_MISMATCH: &str = "weights_mismatch";
/// An engine's refusal while it loads weights.
const LOADING: &str = "loading";
const LEAST_PATIENCE: Duration = Duration::from_millis(500);

/// Makes attempts for one request and remembers which servers failed it.
pub(crate) struct EngineRunner {
    pub(crate) state: Arc<RouterState>,
    pub(crate) client: Client,
    pub(crate) call: EngineCall,
    pub(crate) attempts_left: u32,
    /// Servers that failed this request.
    pub(crate) failed: Vec<ServerName>,
    /// Whether a failed attempt may have been run.
    may_have_run: bool,
}

impl EngineRunner {
    pub(crate) fn new(state: Arc<RouterState>, client: Client, call: EngineCall) -> EngineRunner {
        EngineRunner {
            state,
            client,
            call,
            attempts_left: MAX_ATTEMPTS,
            failed: Vec::new(),
            may_have_run: false,
        }
    }

    /// The first answer: any server, any weights that are not older than those confirmed.
    pub(crate) async fn open_first(&mut self) -> Result<OpenAttempt, RequestError> {
        let priority = self.call.weights.priority;
        self.state.budget.first_attempt(priority, Instant::now());
        self.open_again().await
    }

    /// An answer broke off before the caller had any of it; tells whether it may be asked for again.
    pub(crate) fn note_broken(
        &mut self,
        failure: &AttemptFailure,
        open: &OpenAttempt,
    ) -> Result<(), RequestError> {
        if let Some(result) = failure.server_result() {
            self.state.note_result(&open.server, result);
        }
        self.note_failure(failure, &open.server.name);
        self.may_retry(failure, &open.server.name)?;
        self.call.class.deadline = self.call.class.deadline.max(Instant::now() + SECOND_PATIENCE);
        Ok(())
    }

    /// An answer from the beginning, after those that failed.
    pub(crate) async fn open_again(&mut self) -> Result<OpenAttempt, RequestError> {
        loop {
            let placed = self.place().await.map_err(|err| self.honest(err))?;
            let oldest = self.oldest_weights()?;
            let server = placed.server.name.clone();
            let failure = match self
                .send(placed, ExpectedWeights::AtLeast(oldest), StreamPlace::default())
                .await
            {
                Ok(open) => return Ok(open),
                Err(failure) => failure,
            };
            if let AttemptFailure::Answered { status, body } = &failure {
                return Err(engine_answer(*status, body, &server));
            }
            self.may_retry(&failure, &server)?;
        }
    }

    /// The rest of a stream that the caller comes back for, at any router: first at the server that
    /// ran it, then at another one with the same weights.
    pub(crate) async fn open_resumed(
        &mut self,
        token: &ResumeToken,
    ) -> Result<OpenAttempt, RequestError> {
        let mut at_owner = self.is_alive(token);
        loop {
            let placed = match at_owner {
                true => self.place_at(&token.server).await,
                false => self.place().await,
            };
            let placed = match placed {
                Ok(placed) => placed,
                Err(_) if at_owner => {
                    at_owner = false;
                    continue;
                }
                Err(err) => return Err(err.disposition(Disposition::Unknown)),
            };
            at_owner = false;
            let server = placed.server.name.clone();
            let failure = match self.open_rest(placed, token.weights, token.place).await {
                Ok(open) => return Ok(open),
                Err(failure) => failure,
            };
            if self.attempts_left == 0 || self.call.deadline() <= Instant::now() {
                let kind = match &failure {
                    AttemptFailure::Refused { code } if code == WEIGHTS_MISMATCH => {
                        ErrorKind::WeightsChanged
                    }
                    _ => ErrorKind::StreamBroken,
                };
                return Err(RequestError::new(kind).server(&server));
            }
        }
    }

    /// Whether the process that ran the stream may still have it.
    fn is_alive(&self, token: &ResumeToken) -> bool {
        let Ok(table) = self.table() else { return false };
        let Some(route) = table.servers.get(&token.server) else { return false };
        let known = route.incarnation();
        known == token.incarnation || known.0 == 0
    }

    /// The rest of a stream that has begun, at a server with the same weights.
    pub(crate) async fn open_rest(
        &mut self,
        placed: PlacedAttempt,
        weights: WeightsVersion,
        place: StreamPlace,
    ) -> Result<OpenAttempt, AttemptFailure> {
        self.send(placed, ExpectedWeights::Exactly(weights), place).await
    }

    async fn send(
        &mut self,
        placed: PlacedAttempt,
        weights: ExpectedWeights,
        place: StreamPlace,
    ) -> Result<OpenAttempt, AttemptFailure> {
        self.attempts_left = self.attempts_left.saturating_sub(1);
        let PlacedAttempt { server, choice, hold } = placed;
        let attempt_id = self.state.attempt_id(&self.call.request_id);
        let attempt = EngineAttempt {
            call: &self.call,
            server: &server,
            attempt_id: &attempt_id,
            weights,
            resume_from: place.next_index(),
            kv_source: choice.kv_source.as_ref(),
        };
        let patience = LEAST_PATIENCE
            + Duration::from_secs_f64(
                PATIENCE_FACTOR * choice.predicted_ttft_ms.clamp(0.0, 600_000.0) / 1_000.0,
            );
        let mut hold = hold;
        let awaited = match self.call.streams {
            true => self.await_head(attempt, patience).await,
            false => self.await_whole(attempt, &mut hold, patience).await,
        };
        match awaited {
            Ok(head) => {
                if let Ok(table) = self.table()
                    && let Some(route) = table.models.get(&self.call.model)
                {
                    let now_ms = self.state.now_ms();
                    match self.call.streams {
                        true => hold.first_token(&route.placer, &head.facts, now_ms),
                        false => hold.whole_head(&route.placer, &head.facts, now_ms),
                    }
                }
                if head.is_leaving || head.news != ReplyNews::AsKnown {
                    self.state.tell_life(&server.name, head.facts.incarnation, head.is_leaving);
                }
                server.note_incarnation(head.facts.incarnation);
                self.state.note_result(&server, ServerResult::Answered);
                Ok(OpenAttempt::new(attempt_id, server, head, hold))
            }
            Err(failure) => {
                match &failure {
                    AttemptFailure::Broken => hold.broke(),
                    AttemptFailure::Refused { code } if code == "overloaded" => hold.overloaded(),
                    _ => drop(hold),
                }
                if let Some(result) = failure.server_result() {
                    self.state.note_result(&server, result);
                }
                self.note_failure(&failure, &server.name);
                // In a rollout half of the engines may load at once, and four that do would use all
                // attempts up: the caller would be refused. None of them ran anything, and each is
                // asked once only, so that not counting them keeps the attempts bounded.
                if matches!(&failure, AttemptFailure::Refused { code } if code == LOADING) {
                    self.attempts_left += 1;
                }
                Err(failure)
            }
        }
    }

    /// A server that is late is given up for another one only if the budget pays for it: with
    /// all servers slow, trying elsewhere would only add to the load.
    async fn await_head(
        &self,
        attempt: EngineAttempt<'_>,
        patience: Duration,
    ) -> Result<EngineHead, AttemptFailure> {
        let deadline = self.call.deadline().max(Instant::now() + LEAST_PATIENCE);
        let mut sending = std::pin::pin!(attempt.send(&self.client));
        let first = Instant::now() + patience;
        if first < deadline && 0 < self.attempts_left {
            if let Ok(head) = timeout_at(first, &mut sending).await {
                return head;
            }
            let priority = self.call.weights.priority;
            if self.state.budget.try_retry(priority, Instant::now()) == RetryGrant::Allowed {
                return Err(AttemptFailure::Late);
            }
        }
        timeout_at(deadline, &mut sending).await.unwrap_or(Err(AttemptFailure::Late))
    }

    /// An engine may send the head of an answer in one piece only when all of it is there, long
    /// after the first token. So it is waited for as long as the server is in use.
    async fn await_whole(
        &self,
        attempt: EngineAttempt<'_>,
        hold: &mut AttemptHold,
        patience: Duration,
    ) -> Result<EngineHead, AttemptFailure> {
        let server = attempt.server;
        let sent = Instant::now();
        let mut sending = std::pin::pin!(attempt.send(&self.client));
        loop {
            if let Ok(head) = timeout(WHOLE_LOOK, &mut sending).await {
                return head;
            }
            if server.is_out_of_use() || WHOLE_PATIENCE <= sent.elapsed() {
                return Err(AttemptFailure::Late);
            }
            if patience <= sent.elapsed() + WHOLE_LOOK {
                hold.load.mark_first_token(self.state.now_ms());
            }
        }
    }

    /// Whether another attempt may follow; else the final answer.
    fn may_retry(
        &mut self,
        failure: &AttemptFailure,
        server: &ServerName,
    ) -> Result<(), RequestError> {
        let now = Instant::now();
        if self.attempts_left == 0 {
            return Err(self.all_failed(failure, server));
        }
        // What ran nothing cost nothing; what was late has been paid for.
        if failure.is_not_run() || matches!(failure, AttemptFailure::Late) {
            return Ok(());
        }
        match self.state.budget.try_retry(self.call.weights.priority, now) {
            RetryGrant::Allowed => Ok(()),
            RetryGrant::Exhausted { retry_after } => {
                Err(self.all_failed(failure, server).retry_after_ms(retry_after.as_millis() as u64))
            }
        }
    }

    /// Remembers that a server failed this request, and tells control.
    fn note_failure(&mut self, failure: &AttemptFailure, server: &ServerName) {
        self.failed.push(server.clone());
        self.may_have_run |= !failure.is_not_run();
        let kind = match failure {
            AttemptFailure::Foreign(fault) => fault.event_kind(),
            _ => EventKind::AttemptRetried,
        };
        metrics::counter!("fulmargate_attempt_failures_total", "server" => server.to_string())
            .increment(1);
        tracing::info!(
            event = kind.number(),
            name = kind.name(),
            request = %self.call.request_id,
            server = %server,
            "{failure}"
        );
        match failure {
            AttemptFailure::Answered { .. } => {}
            AttemptFailure::Refused { code } if code == "leaving" => {
                self.state.tell_life(server, fulmargate_names::Incarnation(0), true);
            }
            AttemptFailure::Refused { .. } => {}
            _ => self.state.tell_trouble(server),
        }
    }

    /// The table in force now.
    pub(crate) fn table(&self) -> Result<Arc<RouteTable>, RequestError> {
        self.state.routes.load_full().ok_or_else(|| RequestError::new(ErrorKind::NotReady))
    }

    fn oldest_weights(&self) -> Result<WeightsVersion, RequestError> {
        let table = self.table()?;
        Ok(table.models.get(&self.call.model).map(|route| route.oldest_weights).unwrap_or_default())
    }

    /// A refusal speaks of the whole request: `not-run` is false once an attempt may have run.
    fn honest(&self, err: RequestError) -> RequestError {
        if self.may_have_run && err.disposition == Disposition::NotRun {
            return err.disposition(Disposition::Unknown);
        }
        err
    }

    fn all_failed(&self, failure: &AttemptFailure, server: &ServerName) -> RequestError {
        let kind = match failure {
            AttemptFailure::Late => ErrorKind::ServerTimeout,
            _ => ErrorKind::ServersFailed,
        };
        let err =
            RequestError::new(kind).server(server).detail(format!("The last one: {failure}."));
        self.honest(err)
    }
}

fn engine_answer(
    status: actix_web::http::StatusCode,
    body: &[u8],
    server: &ServerName,
) -> RequestError {
    let text = String::from_utf8_lossy(body).into_owned();
    RequestError::new(ErrorKind::BadRequest)
        .disposition(Disposition::Ran)
        .server(server)
        .detail(format!("The engine answered {status}: {text}"))
}
