//! Makes attempts at engines until one answers.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use awc::Client;
use fulmargate_names::Disposition;
use fulmargate_names::ErrorKind;
use fulmargate_names::EventKind;
use fulmargate_names::ServerName;
use fulmargate_names::WeightsVersion;
use fulmargate_relay::ExpectedWeights;
use fulmargate_relay::StreamPlace;
use tokio::time::Instant;

use crate::attempt::AttemptFailure;
use crate::attempt::EngineCall;
use crate::attempt::OpenAttempt;
use crate::attempt::engine_attempt::EngineAttempt;
use crate::caller::RequestError;
use crate::state::RouteTable;
use crate::state::RouterState;
use crate::state::ServerRoute;

const MAX_ATTEMPTS: u32 = 4;
const LEAST_PATIENCE: Duration = Duration::from_millis(50);

/// Makes attempts for one request and remembers which servers failed it.
pub(crate) struct EngineRunner {
    pub(crate) state: Arc<RouterState>,
    pub(crate) client: Client,
    pub(crate) call: EngineCall,
    pub(crate) attempts_left: u32,
    failed: Vec<ServerName>,
}

impl EngineRunner {
    pub(crate) fn new(state: Arc<RouterState>, client: Client, call: EngineCall) -> EngineRunner {
        EngineRunner { state, client, call, attempts_left: MAX_ATTEMPTS, failed: Vec::new() }
    }

    /// The first answer: any server, any weights that are at least those configured.
    pub(crate) async fn open_first(&mut self) -> Result<OpenAttempt, RequestError> {
        let mut last = None;
        while 0 < self.attempts_left {
            let table = self.table()?;
            let Some(server) = self.pick(&table) else {
                break;
            };
            let patience = self.call.deadline.saturating_duration_since(Instant::now());
            if patience < LEAST_PATIENCE {
                return Err(self.give_up(ErrorKind::DeadlineUnmet, last.as_ref(), &server));
            }
            let oldest = table.document.models.get(&self.call.model).map(|model| model.weights);
            let weights = ExpectedWeights::AtLeast(oldest.unwrap_or_default());
            match self.attempt(&server, weights, 0, patience).await {
                Ok(open) => return Ok(open),
                Err(AttemptFailure::Answered { status, body }) => {
                    return Err(engine_answer(status, &body, &server));
                }
                Err(failure) => last = Some(self.note_failure(failure, &server)),
            }
        }
        match last {
            Some(failure) => Err(self.all_failed(&failure)),
            None => Err(RequestError::new(ErrorKind::NoServer)),
        }
    }

    /// The rest of a stream that has begun, at a server with the same weights.
    pub(crate) async fn open_rest(
        &mut self,
        server: &Arc<ServerRoute>,
        weights: WeightsVersion,
        place: StreamPlace,
        patience: Duration,
    ) -> Result<OpenAttempt, AttemptFailure> {
        let expected = ExpectedWeights::Exactly(weights);
        self.attempt(server, expected, place.next_index(), patience).await
    }

    async fn attempt(
        &mut self,
        server: &Arc<ServerRoute>,
        weights: ExpectedWeights,
        resume_from: u32,
        patience: Duration,
    ) -> Result<OpenAttempt, AttemptFailure> {
        self.attempts_left = self.attempts_left.saturating_sub(1);
        let attempt_id = self.state.attempt_id(&self.call.request_id);
        let attempt =
            EngineAttempt { call: &self.call, server, attempt_id, weights, resume_from, patience };
        attempt.send(&self.client).await
    }

    /// Another server of the model, for a stream that has to move.
    pub(crate) fn pick_other(&self) -> Option<Arc<ServerRoute>> {
        let table = self.table().ok()?;
        self.pick(&table)
    }

    /// Remembers that a server failed this request.
    pub(crate) fn note_failure(
        &mut self,
        failure: AttemptFailure,
        server: &ServerRoute,
    ) -> AttemptFailure {
        self.failed.push(server.name.clone());
        let kind = EventKind::AttemptRetried;
        tracing::info!(
            event = kind.number(),
            name = kind.name(),
            request = %self.call.request_id,
            server = %server.name,
            "{failure}"
        );
        failure
    }

    fn table(&self) -> Result<Arc<RouteTable>, RequestError> {
        self.state.routes.load_full().ok_or_else(|| RequestError::new(ErrorKind::NotReady))
    }

    fn pick(&self, table: &RouteTable) -> Option<Arc<ServerRoute>> {
        let servers = table.models.get(&self.call.model)?;
        servers
            .iter()
            .filter(|server| !self.failed.contains(&server.name))
            .min_by_key(|server| server.open.load(Ordering::Relaxed))
            .cloned()
    }

    fn give_up(
        &self,
        kind: ErrorKind,
        last: Option<&AttemptFailure>,
        server: &ServerRoute,
    ) -> RequestError {
        match last {
            Some(failure) if !failure.is_not_run() => {
                RequestError::new(kind).disposition(Disposition::Unknown).server(&server.name)
            }
            _ => RequestError::new(kind),
        }
    }

    fn all_failed(&self, failure: &AttemptFailure) -> RequestError {
        let error = match failure {
            AttemptFailure::Late => RequestError::new(ErrorKind::ServerTimeout),
            AttemptFailure::NotSent | AttemptFailure::Refused { .. } => {
                RequestError::new(ErrorKind::ServersFailed)
            }
            _ => RequestError::new(ErrorKind::ServersFailed).disposition(Disposition::Unknown),
        };
        error.detail(format!("The last one: {failure}."))
    }
}

fn engine_answer(
    status: actix_web::http::StatusCode,
    body: &[u8],
    server: &ServerRoute,
) -> RequestError {
    let text = String::from_utf8_lossy(body).into_owned();
    RequestError::new(ErrorKind::BadRequest)
        .disposition(Disposition::Ran)
        .server(&server.name)
        .detail(format!("The engine answered {status}: {text}"))
}
