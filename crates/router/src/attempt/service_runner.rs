//! Makes attempts at replicas of a plain service.

use std::sync::Arc;

use fulmargate_admission::GateEntry;
use fulmargate_admission::GateOutcome;
use fulmargate_admission::GateRequest;
use fulmargate_admission::GateTicket;
use fulmargate_admission::RetryGrant;
use fulmargate_admission::ServerResult;
use fulmargate_ledger::ClaimTicket;
use fulmargate_ledger::NotRunProof;
use fulmargate_ledger::SentTicket;
use fulmargate_names::Disposition;
use fulmargate_names::ErrorKind;
use fulmargate_names::EventKind;
use fulmargate_names::ServerName;
use tokio::time::Instant;

use crate::attempt::AttemptFailure;
use crate::attempt::ServiceAnswer;
use crate::attempt::ServiceCall;
use crate::attempt::service_attempt::send_call;
use crate::caller::RequestError;
use crate::state::RouterState;
use crate::state::ServerRoute;

const MAX_ATTEMPTS: u32 = 3;

/// Makes attempts for one call of a plain service.
pub(crate) struct ServiceRunner {
    pub(crate) state: Arc<RouterState>,
    pub(crate) call: ServiceCall,
}

impl ServiceRunner {
    /// A call that may be repeated: goes to another replica when one fails, as the budget allows.
    pub(crate) async fn run_repeatable(&self) -> Result<ServiceAnswer, RequestError> {
        let priority = self.call.class.conf.priority;
        self.state.budget.first_attempt(priority, Instant::now());
        let mut failed = Vec::new();
        let mut is_run = false;
        for attempt in 1..=MAX_ATTEMPTS {
            let (server, _ticket) = self.place(&failed).await.map_err(|err| honest(err, is_run))?;
            let failure = match self.send(&server).await {
                Ok(answer) => return Ok(answer),
                Err(failure) => failure,
            };
            is_run |= !failure.is_not_run();
            failed.push(server.name.clone());
            let may_go_on = failure.is_not_run()
                || self.state.budget.try_retry(priority, Instant::now()) == RetryGrant::Allowed;
            if attempt == MAX_ATTEMPTS || !may_go_on {
                return Err(honest(service_failed(&failure, &server), is_run));
            }
        }
        Err(RequestError::new(ErrorKind::NoServer))
    }

    /// A claimed call: sent once. Only where it has provably not run is another replica tried.
    pub(crate) async fn run_claimed(
        &self,
        ticket: ClaimTicket,
    ) -> Result<ServiceAnswer, RequestError> {
        let mut ticket = ticket;
        let mut failed = Vec::new();
        let mut last = None;
        for _ in 1..=MAX_ATTEMPTS {
            // An error here drops the ticket, which releases the claim: `not-run` is then true.
            let (server, _place) = match self.place(&failed).await {
                Ok(placed) => placed,
                Err(err) => return Err(last.unwrap_or(err)),
            };
            let sent = match ticket.begin_send(Instant::now()) {
                Ok(sent) => sent,
                Err(expired) => {
                    expired.release();
                    return Err(RequestError::new(ErrorKind::DeadlineUnmet));
                }
            };
            match self.send(&server).await {
                Ok(answer) => {
                    sent.answered(answer.status.as_u16(), answer.content_type(), &answer.body);
                    return Ok(answer);
                }
                Err(failure) => {
                    failed.push(server.name.clone());
                    last = Some(service_failed(&failure, &server));
                    ticket = take_back(sent, &failure, &server)?;
                }
            }
        }
        ticket.release();
        Err(last.unwrap_or_else(|| RequestError::new(ErrorKind::NoServer)))
    }

    async fn send(&self, server: &ServerRoute) -> Result<ServiceAnswer, AttemptFailure> {
        let attempt_id = self.state.attempt_id(&self.call.request_id);
        let result = send_call(&self.call, server, &attempt_id).await;
        let told = match &result {
            Ok(_) => Some(ServerResult::Answered),
            Err(failure) => failure.server_result(),
        };
        if let Some(told) = told {
            self.state.note_result(server, told);
        }
        if let Err(failure) = &result {
            let kind = match failure {
                AttemptFailure::Foreign(fault) => fault.event_kind(),
                _ => EventKind::AttemptRetried,
            };
            tracing::info!(
                event = kind.number(),
                name = kind.name(),
                request = %self.call.request_id,
                server = %server.name,
                "{failure}"
            );
            if !matches!(failure, AttemptFailure::Refused { .. }) {
                self.state.tell_trouble(&server.name);
            }
        }
        result
    }

    /// A replica and the place at its gate; replicas of the own zone come first.
    async fn place(
        &self,
        failed: &[ServerName],
    ) -> Result<(Arc<ServerRoute>, GateTicket), RequestError> {
        let table = self.state.routes.load_full();
        let table = table.ok_or_else(|| RequestError::new(ErrorKind::NotReady))?;
        let mut servers: Vec<&Arc<ServerRoute>> = table
            .services
            .get(&self.call.service)
            .into_iter()
            .flatten()
            .filter(|server| {
                !failed.contains(&server.name) && self.call.entry.may_reach(&server.name)
            })
            .collect();
        servers.sort_by_key(|server| {
            let snapshot = server.gate.snapshot();
            (snapshot.closed.is_some(), server.zone != self.state.zone, snapshot.in_flight)
        });
        let mut refusal = RequestError::new(ErrorKind::NoServer);
        for server in servers {
            match self.pass_gate(server).await {
                GateOutcome::Admitted(ticket) => return Ok((Arc::clone(server), ticket)),
                GateOutcome::Refused(refused) => {
                    let millis = refused.retry_after.as_millis() as u64;
                    refusal = RequestError::new(refused.kind).retry_after_ms(millis);
                }
                GateOutcome::Moved(_) => {}
            }
        }
        Err(refusal)
    }

    async fn pass_gate(&self, server: &Arc<ServerRoute>) -> GateOutcome {
        let request = GateRequest {
            team: self.call.team.clone(),
            class: self.call.class.clone(),
            prefill_tokens: 0,
        };
        match server.gate.enter(&request, Instant::now()) {
            GateEntry::Decided(outcome) => outcome,
            GateEntry::Queued(waiter) => waiter.wait().await,
        }
    }
}

/// The ticket again where the call has provably not run; else the outcome is unknown for good.
fn take_back(
    sent: SentTicket,
    failure: &AttemptFailure,
    server: &ServerRoute,
) -> Result<ClaimTicket, RequestError> {
    match failure {
        AttemptFailure::NotSent | AttemptFailure::NotReached => {
            Ok(sent.not_run(NotRunProof::NoByteLeft))
        }
        AttemptFailure::Refused { .. } => Ok(sent.not_run(NotRunProof::ServerRefusal)),
        _ => {
            sent.unknown();
            Err(RequestError::new(ErrorKind::OutcomeUnknown).server(&server.name))
        }
    }
}

fn service_failed(failure: &AttemptFailure, server: &ServerRoute) -> RequestError {
    let kind = match failure {
        AttemptFailure::Late => ErrorKind::ServerTimeout,
        failure if failure.is_not_run() => ErrorKind::ServersFailed,
        _ => ErrorKind::OutcomeUnknown,
    };
    RequestError::new(kind).server(&server.name).detail(format!("The last one: {failure}."))
}

/// `not-run` is false once an attempt may have run.
fn honest(err: RequestError, is_run: bool) -> RequestError {
    if is_run && err.disposition == Disposition::NotRun {
        return err.disposition(Disposition::Unknown);
    }
    err
}
