//! Requests to models, from their arrival to the head of their answer.

use std::time::Duration;

use actix_web::HttpRequest;
use actix_web::HttpResponse;
use actix_web::HttpResponseBuilder;
use actix_web::web;
use bytes::Bytes;
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
use fulmargate_relay::StreamPlace;
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
use crate::state::OpenGuard;

/// An engine that sends nothing for so long is taken for frozen.
const WHOLE_STALL: Duration = Duration::from_secs(5);

/// `POST /v1/chat/completions` and `POST /v1/completions`.
pub(crate) async fn handle(
    request: HttpRequest,
    body: Bytes,
    context: web::Data<CallerContext>,
) -> HttpResponse {
    let id = request_id(&request);
    let guard = context.state.open.enter();
    match serve(&request, body, &context, id.clone(), guard).await {
        Ok(response) => response,
        Err(err) => err.respond(&id),
    }
}

async fn serve(
    request: &HttpRequest,
    body: Bytes,
    context: &CallerContext,
    id: RequestId,
    guard: OpenGuard,
) -> Result<HttpResponse, RequestError> {
    let call = read_call(request, body, context, id)?;
    let mut runner = EngineRunner::new(context.state.clone(), context.client.clone(), call);
    let open = runner.open_first().await?;
    if runner.call.streams {
        let mut head = answer_head(&runner.call.request_id, &open);
        head.content_type("text/event-stream").insert_header(("cache-control", "no-cache"));
        return Ok(head.body(start_stream(runner, open, StreamPlace::default(), guard)));
    }
    whole(runner, open).await
}

async fn whole(runner: EngineRunner, mut open: OpenAttempt) -> Result<HttpResponse, RequestError> {
    let body = read_whole(&mut open.body, WHOLE_STALL).await.map_err(|failure| {
        RequestError::new(ErrorKind::StreamBroken)
            .server(&open.server.name)
            .detail(failure.to_string())
    })?;
    let mut head = answer_head(&runner.call.request_id, &open);
    Ok(head.content_type("application/json").body(body))
}

fn read_call(
    request: &HttpRequest,
    body: Bytes,
    context: &CallerContext,
    request_id: RequestId,
) -> Result<EngineCall, RequestError> {
    let arrived = Instant::now();
    let table = context.state.routes.load_full();
    let table = table.ok_or_else(|| RequestError::new(ErrorKind::NotReady))?;
    let caller = CallerIdentity::identify(request, &table.document)?;
    let prompt = PromptBody::parse(&body)
        .map_err(|err| RequestError::new(ErrorKind::BadRequest).detail(err.to_string()))?;
    if !table.document.models.contains_key(&prompt.model) {
        return Err(RequestError::new(ErrorKind::UnknownModel));
    }
    if !caller.entry.may_use_model(&prompt.model) {
        return Err(RequestError::new(ErrorKind::Forbidden));
    }
    let (class, entry) = table
        .document
        .class_of(&caller.team, Some(&prompt.model), request.path())
        .ok_or_else(|| RequestError::new(ErrorKind::Internal))?;
    let patience =
        deadline_header(request)?.map_or(entry.deadline(), |asked| asked.min(entry.deadline()));
    Ok(EngineCall {
        request_id,
        binding: TokenBinding::new(&caller.team, request.path(), &body),
        team: caller.team,
        model: prompt.model,
        class: class.clone(),
        priority: entry.priority,
        path: request.uri().clone(),
        body,
        streams: prompt.streams,
        usage: if prompt.wants_usage { UsageChunk::Due } else { UsageChunk::NotAsked },
        arrived,
        deadline: arrived + patience,
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
    if let Some(tokens) = open.facts.prompt_tokens {
        head.insert_header((PROMPT_TOKENS, tokens.to_string()));
    }
    if let Some(tokens) = open.facts.cached_tokens {
        head.insert_header((CACHED_TOKENS, tokens.to_string()));
    }
    head
}
