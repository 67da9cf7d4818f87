//! Requests to models, from their arrival to the head of their answer.

use std::time::Duration;

use actix_web::HttpRequest;
use actix_web::HttpResponse;
use actix_web::HttpResponseBuilder;
use actix_web::web;
use bytes::Bytes;
use fulmargate_admission::Fingerprint;
use fulmargate_admission::RequestClass;
use fulmargate_names::CACHED_TOKENS;
use fulmargate_names::DEADLINE_MS;
use fulmargate_names::DISPOSITION;
use fulmargate_names::Disposition;
use fulmargate_names::ErrorKind;
use fulmargate_names::PROMPT_TOKENS;
use fulmargate_names::REQUEST_ID;
use fulmargate_names::RequestId;
use fulmargate_names::SERVER;
use fulmargate_names::WEIGHTS_VERSION;
use fulmargate_placement::PromptChain;
use fulmargate_placement::PromptScope;
use fulmargate_relay::ResumeToken;
use fulmargate_relay::StreamRest;
use fulmargate_relay::TokenBinding;
use fulmargate_relay::UsageChunk;
use tokio::time::Instant;

use crate::attempt::EngineCall;
use crate::attempt::EngineRunner;
use crate::attempt::OpenAttempt;
use crate::attempt::read_whole;
use crate::attempt::start_stream;
use crate::caller::CallerContext;
use crate::caller::PromptBody;
use crate::caller::RequestError;
use crate::caller::caller_identity::CallerIdentity;
use crate::caller::caller_identity::request_id;
use crate::caller::read_body;
use crate::caller::team_gate::admit_team;
use crate::caller::team_gate::count_answer;
use crate::state::OpenGuard;
use crate::state::RouteTable;
use crate::telemetry::RequestMetrics;

/// Where a caller says how far it has come with a stream.
const LAST_EVENT_ID: &str = "last-event-id";

/// `POST /v1/chat/completions` and `POST /v1/completions`.
pub(crate) async fn handle(
    request: HttpRequest,
    payload: web::Payload,
    context: web::Data<CallerContext>,
) -> HttpResponse {
    let id = request_id(&request);
    let guard = context.state.open.enter();
    let (bounds, memory) = (context.body_bounds(), &context.state.body_memory);
    let served = match read_body(request.headers(), payload, bounds, memory).await {
        Ok(body) => serve(&request, body, &context, id.clone(), guard).await,
        Err(err) => Err(err),
    };
    served.unwrap_or_else(|err| err.respond(&id))
}

async fn serve(
    request: &HttpRequest,
    body: Bytes,
    context: &CallerContext,
    id: RequestId,
    guard: OpenGuard,
) -> Result<HttpResponse, RequestError> {
    let table = context.state.table_soon().await;
    let table = table.ok_or_else(|| RequestError::new(ErrorKind::NotReady))?;
    let mut call = read_call(request, body, context, &table, id)?;
    let resumed = read_token(request, context, &call)?;
    if let Some(token) = &resumed {
        call.request_id = token.request_id.clone();
        call.streams = true;
    }
    if let Some(token) = &resumed
        && StreamRest::at(token.place, call.usage) == StreamRest::End
    {
        return Ok(finished_stream(&call.request_id, token));
    }
    let tokens = call.chain.tokens();
    admit_team(&context.state, &call.team, &call.entry, tokens)?;
    let mut runner = EngineRunner::new(context.state.clone(), context.client.clone(), call);
    let opened = match &resumed {
        Some(token) => runner.open_resumed(token).await,
        None => runner.open_first().await,
    };
    count_answer(&context.state, &runner.call.team, opened.as_ref().err());
    let open = opened.inspect_err(|err| {
        count_error(&runner, err);
        if err.disposition == Disposition::NotRun {
            context.state.limiter.refund(&runner.call.team, tokens);
        }
    })?;
    count_first_token(&runner, &open);
    if runner.call.streams {
        let place = resumed.map(|token| token.place).unwrap_or_default();
        let mut head = answer_head(&runner.call.request_id, &open);
        head.content_type("text/event-stream").insert_header(("cache-control", "no-cache"));
        return Ok(head.body(start_stream(runner, open, place, guard)));
    }
    whole(runner, open).await
}

/// Only the end of the stream is missing, so no server is needed.
fn finished_stream(request_id: &RequestId, token: &ResumeToken) -> HttpResponse {
    HttpResponse::Ok()
        .insert_header((REQUEST_ID, request_id.as_str()))
        .insert_header((SERVER, token.server.as_str()))
        .insert_header((DISPOSITION, Disposition::Ran.as_str()))
        .insert_header((WEIGHTS_VERSION, token.weights.to_string()))
        .content_type("text/event-stream")
        .body("data: [DONE]\n\n")
}

/// The token of a caller that comes back for the rest of a stream.
fn read_token(
    request: &HttpRequest,
    context: &CallerContext,
    call: &EngineCall,
) -> Result<Option<ResumeToken>, RequestError> {
    let Some(value) = request.headers().get(LAST_EVENT_ID) else {
        return Ok(None);
    };
    let refused = |detail: String| RequestError::new(ErrorKind::ResumeRefused).detail(detail);
    let text = value.to_str().map_err(|err| refused(err.to_string()))?;
    let token = ResumeToken::verify(&context.state.secrets, &call.binding, text);
    token.map(Some).map_err(|err| refused(err.to_string()))
}

fn request_metrics(runner: &EngineRunner) -> RequestMetrics<'_> {
    RequestMetrics { team: &runner.call.team, class: &runner.call.class.conf.name }
}

fn count_first_token(runner: &EngineRunner, open: &OpenAttempt) {
    let ttft = runner.call.arrived.elapsed();
    request_metrics(runner).first_token(ttft, open.facts.prompt_tokens, open.facts.cached_tokens);
}

fn count_error(runner: &EngineRunner, err: &RequestError) {
    request_metrics(runner).refused(err.kind.row().code, err.disposition);
}

/// Reads an answer that is not streamed. The caller has had nothing of one that breaks, so it is
/// asked for again, as long as attempts and budget last.
async fn whole(
    mut runner: EngineRunner,
    mut open: OpenAttempt,
) -> Result<HttpResponse, RequestError> {
    loop {
        let failure = match read_whole(&mut open.body, &open.server).await {
            Ok(body) => {
                open.ended_well();
                let mut head = answer_head(&runner.call.request_id, &open);
                return Ok(head.content_type("application/json").body(body));
            }
            Err(failure) => failure,
        };
        open.broke();
        open.cancel();
        runner.note_broken(&failure, &open)?;
        open = runner.open_again().await?;
    }
}

fn read_call(
    request: &HttpRequest,
    body: Bytes,
    context: &CallerContext,
    table: &RouteTable,
    request_id: RequestId,
) -> Result<EngineCall, RequestError> {
    let arrived = Instant::now();
    let caller = CallerIdentity::identify(request, &table.document)?;
    let prompt = PromptBody::parse(&body)
        .map_err(|err| RequestError::new(ErrorKind::BadRequest).detail(err.to_string()))?;
    if !table.document.models.contains_key(&prompt.model) {
        return Err(RequestError::new(ErrorKind::UnknownModel));
    }
    if !caller.entry.may_use_model(&prompt.model) {
        return Err(RequestError::new(ErrorKind::Forbidden));
    }
    let (_, class) = table
        .class_of(&caller.team, Some(&prompt.model), request.path())
        .ok_or_else(|| RequestError::new(ErrorKind::Internal))?;
    let model = table.models.get(&prompt.model);
    let weights = model.map(|route| route.weights).unwrap_or_default();
    let scope = PromptScope::new(&caller.team, &prompt.model, None, weights);
    let segments: Vec<&str> = prompt.segments.iter().map(String::as_str).collect();
    let asked = deadline_header(request)?.map(|asked| asked.min(class.conf.deadline));
    Ok(EngineCall {
        request_id,
        binding: TokenBinding::new(&caller.team, request.path(), &body),
        print: Fingerprint::of(
            context.state.print_seed,
            &caller.team,
            prompt.model.as_str(),
            &body,
        ),
        chain: PromptChain::new(&scope, &segments),
        cache_scope: scope.as_str().to_owned(),
        team: caller.team,
        entry: caller.entry,
        model: prompt.model,
        class: RequestClass::begin(&class.conf, arrived, asked),
        weights: class.weights,
        path: request.uri().clone(),
        body,
        streams: prompt.streams,
        usage: if prompt.wants_usage { UsageChunk::Due } else { UsageChunk::NotAsked },
        arrived,
    })
}

/// The caller's own deadline, which can only shorten that of the class.
fn deadline_header(request: &HttpRequest) -> Result<Option<Duration>, RequestError> {
    let Some(value) = request.headers().get(DEADLINE_MS) else {
        return Ok(None);
    };
    let millis: Option<u64> = value.to_str().ok().and_then(|text| text.parse().ok());
    let millis = millis.filter(|millis| 0 < *millis).ok_or_else(|| {
        RequestError::new(ErrorKind::BadRequest)
            .detail(format!("{DEADLINE_MS} takes milliseconds above 0."))
    })?;
    Ok(Some(Duration::from_millis(millis)))
}

fn answer_head(request_id: &RequestId, open: &OpenAttempt) -> HttpResponseBuilder {
    let mut head = HttpResponse::Ok();
    head.insert_header((REQUEST_ID, request_id.as_str()))
        .insert_header((SERVER, open.server.name.as_str()))
        .insert_header((DISPOSITION, Disposition::Ran.as_str()))
        .insert_header((WEIGHTS_VERSION, open.weights.to_string()));
    head.insert_header((PROMPT_TOKENS, open.facts.prompt_tokens.to_string()))
        .insert_header((CACHED_TOKENS, open.facts.cached_tokens.to_string()));
    head
}
