//! Calls of plain services.

use actix_web::HttpRequest;
use actix_web::HttpResponse;
use actix_web::web;
use bytes::Bytes;
use fulmargate_admission::RequestClass;
use fulmargate_ledger::ClaimKey;
use fulmargate_ledger::ClaimVerdict;
use fulmargate_ledger::RequestPrint;
use fulmargate_names::DISPOSITION;
use fulmargate_names::Disposition;
use fulmargate_names::ErrorKind;
use fulmargate_names::IDEMPOTENCY_KEY;
use fulmargate_names::REQUEST_ID;
use fulmargate_names::RequestId;
use fulmargate_names::SERVER;
use fulmargate_names::ServiceName;
use tokio::time::Instant;

use crate::attempt::ServiceAnswer;
use crate::attempt::ServiceCall;
use crate::attempt::ServiceRunner;
use crate::attempt::is_passed_on;
use crate::caller::CallerContext;
use crate::caller::RequestError;
use crate::caller::caller_identity::CallerIdentity;
use crate::caller::caller_identity::request_id;
use crate::caller::claim_replay::replay;
use crate::caller::read_body;
use crate::caller::team_gate::admit_team;
use crate::caller::team_gate::count_answer;
use crate::state::RouteTable;

const MAX_KEY: usize = 256;

/// Any method on `/services/NAME/...`.
pub(crate) async fn handle(
    request: HttpRequest,
    payload: web::Payload,
    context: web::Data<CallerContext>,
) -> HttpResponse {
    let id = request_id(&request);
    let _guard = context.state.open.enter();
    let (bounds, memory) = (context.body_bounds(), &context.state.body_memory);
    let served = match read_body(request.headers(), payload, bounds, memory).await {
        Ok(body) => serve(&request, body, &context, &id).await,
        Err(err) => Err(err),
    };
    served.unwrap_or_else(|err| err.respond(&id))
}

async fn serve(
    request: &HttpRequest,
    body: Bytes,
    context: &CallerContext,
    id: &RequestId,
) -> Result<HttpResponse, RequestError> {
    let table = context.state.table_soon().await.ok_or_else(|| not_ready(request))?;
    let (runner, is_repeatable) = read_call(request, body, context, &table, id)?;
    if is_repeatable {
        admit_team(&context.state, &runner.call.team, &runner.call.entry, 0)?;
        let answered = runner.run_repeatable().await;
        count_answer(&context.state, &runner.call.team, answered.as_ref().err());
        return Ok(pass_on(id, answered?));
    }
    let key = claim_key(request, &runner.call)?;
    run_once(&runner, key, id).await
}

/// A call that may not run twice. It is claimed before anything else can refuse it, so that
/// `not-run` is said of the key only by who holds its claim and gives it back.
async fn run_once(
    runner: &ServiceRunner,
    key: ClaimKey,
    id: &RequestId,
) -> Result<HttpResponse, RequestError> {
    let call = &runner.call;
    let print =
        RequestPrint::of(&[call.method.as_str().as_bytes(), call.path.as_bytes(), &call.body]);
    let verdict = runner.state.claims.claim(key, print, call.class.deadline).await;
    if let Some((kind, disposition)) = verdict.error() {
        return Err(RequestError::new(kind).disposition(disposition));
    }
    match verdict {
        ClaimVerdict::Done(outcome) => Ok(replay(id, &outcome)),
        ClaimVerdict::Won(ticket) => {
            // A refusal here drops the ticket, which gives the key back.
            admit_team(&runner.state, &call.team, &call.entry, 0)?;
            let answered = runner.run_claimed(ticket).await;
            count_answer(&runner.state, &call.team, answered.as_ref().err());
            Ok(pass_on(id, answered?))
        }
        _ => Err(RequestError::new(ErrorKind::Internal)),
    }
}

fn read_call(
    request: &HttpRequest,
    body: Bytes,
    context: &CallerContext,
    table: &RouteTable,
    id: &RequestId,
) -> Result<(ServiceRunner, bool), RequestError> {
    let caller = CallerIdentity::identify(request, &table.document)?;
    let name = request.match_info().get("name").unwrap_or_default();
    let service = ServiceName::new(name);
    let entry = table.document.services.get(&service);
    let entry = entry.ok_or_else(|| RequestError::new(ErrorKind::UnknownService))?;
    if !caller.entry.may_use_service(&service) {
        return Err(RequestError::new(ErrorKind::Forbidden));
    }
    let inner = format!("/{}", request.match_info().get("path").unwrap_or_default());
    let is_repeatable = entry.is_repeatable(request.method().as_str(), &inner);
    let (_, class) = table
        .class_of(&caller.team, None, request.path())
        .ok_or_else(|| RequestError::new(ErrorKind::Internal))?;
    let path = match request.uri().query() {
        Some(query) => format!("{inner}?{query}"),
        None => inner,
    };
    let call = ServiceCall {
        request_id: id.clone(),
        team: caller.team,
        entry: caller.entry,
        service,
        class: RequestClass::begin(&class.conf, Instant::now(), Some(entry.timeout())),
        method: request.method().clone(),
        path,
        headers: request.headers().clone(),
        body,
        timeout: entry.timeout(),
    };
    let runner = ServiceRunner { state: context.state.clone(), call };
    Ok((runner, is_repeatable))
}

/// A router without a configuration knows no ledger either: of a key that may have run before,
/// `not-run` would be a guess.
fn not_ready(request: &HttpRequest) -> RequestError {
    let err = RequestError::new(ErrorKind::NotReady);
    match request.headers().contains_key(IDEMPOTENCY_KEY) {
        true => err.disposition(Disposition::Unknown),
        false => err,
    }
}

fn claim_key(request: &HttpRequest, call: &ServiceCall) -> Result<ClaimKey, RequestError> {
    let value = request.headers().get(IDEMPOTENCY_KEY);
    let value = value.ok_or_else(|| RequestError::new(ErrorKind::KeyMissing))?;
    match value.to_str() {
        Ok(text) if !text.is_empty() && text.len() <= MAX_KEY => {
            Ok(ClaimKey::new(&call.team, text))
        }
        _ => {
            let detail =
                format!("{IDEMPOTENCY_KEY} takes 1 to {MAX_KEY} visible ASCII characters.");
            Err(RequestError::new(ErrorKind::BadRequest).detail(detail))
        }
    }
}

fn pass_on(id: &RequestId, answer: ServiceAnswer) -> HttpResponse {
    let mut builder = HttpResponse::build(answer.status);
    for (name, value) in &answer.headers {
        if is_passed_on(name) {
            builder.append_header((name.clone(), value.clone()));
        }
    }
    builder
        .insert_header((REQUEST_ID, id.as_str()))
        .insert_header((SERVER, answer.server.as_str()))
        .insert_header((DISPOSITION, Disposition::Ran.as_str()));
    builder.body(answer.body)
}
