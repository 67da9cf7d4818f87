//! Sends one attempt to an engine and judges the head of its answer.

use std::str::FromStr;

use actix_web::http::StatusCode;
use awc::Client;
use awc::ClientRequest;
use awc::error::ConnectError;
use awc::error::SendRequestError;
use awc::http::header::HeaderMap;
use bytes::Bytes;
use fulmargate_names::CACHE_SCOPE;
use fulmargate_names::CACHED_TOKENS;
use fulmargate_names::INCARNATION;
use fulmargate_names::KV_SOURCE;
use fulmargate_names::LEAVING;
use fulmargate_names::NOT_RUN;
use fulmargate_names::PRIORITY;
use fulmargate_names::PROMPT_TOKENS;
use fulmargate_names::QUEUE_TOKENS;
use fulmargate_names::REQUEST_ID;
use fulmargate_names::RESUME_FROM;
use fulmargate_names::RUNNING;
use fulmargate_names::SERVER;
use fulmargate_names::WEIGHTS_VERSION;
use fulmargate_placement::KvSource;
use fulmargate_placement::ReplyStats;
use fulmargate_relay::ExpectedReply;
use fulmargate_relay::ExpectedWeights;
use fulmargate_relay::ReplyIdentity;
use fulmargate_relay::ReplyNews;
use futures_util::StreamExt;
use tokio::time::Instant;

use crate::attempt::AttemptFailure;
use crate::attempt::EngineCall;
use crate::attempt::ServerBody;
use crate::state::ServerRoute;

const ERROR_BODY_LIMIT: usize = 64 * 1024;

/// What one attempt asks for.
pub(crate) struct EngineAttempt<'a> {
    pub(crate) call: &'a EngineCall,
    pub(crate) server: &'a ServerRoute,
    pub(crate) attempt_id: &'a str,
    pub(crate) weights: ExpectedWeights,
    /// Index of the first token wanted.
    pub(crate) resume_from: u32,
    pub(crate) kv_source: Option<&'a KvSource>,
}

/// The head of an answer that is the one asked for.
pub(crate) struct EngineHead {
    pub(crate) facts: ReplyStats,
    pub(crate) weights: fulmargate_names::WeightsVersion,
    pub(crate) news: ReplyNews,
    pub(crate) is_leaving: bool,
    pub(crate) body: ServerBody,
}

impl EngineAttempt<'_> {
    /// Sends it and waits for the answer's head, which comes with the first token.
    pub(crate) async fn send(self, client: &Client) -> Result<EngineHead, AttemptFailure> {
        let sent = Instant::now();
        let sending = self.request(client).send_body(self.call.body.clone());
        let mut response = sending.await.map_err(|err| send_failure(&err))?;
        if response.status() != StatusCode::OK {
            let status = response.status();
            let not_run = response.headers().get(NOT_RUN).is_some_and(|value| value == "true");
            let body = response.body().limit(ERROR_BODY_LIMIT).await.unwrap_or_default();
            return Err(refusal(status, not_run, body));
        }
        let headers = response.headers();
        let identity = reply_identity(headers);
        let expected = ExpectedReply {
            attempt_id: self.attempt_id,
            server: self.server.name.as_str(),
            incarnation: self.server.incarnation(),
            weights: self.weights,
        };
        let news = expected.check(&identity).map_err(AttemptFailure::Foreign)?;
        let ttft_ms = sent.elapsed().as_secs_f64() * 1_000.0;
        Ok(EngineHead {
            facts: reply_facts(headers, identity.incarnation.unwrap_or_default(), ttft_ms),
            weights: identity.weights.unwrap_or_default(),
            news,
            is_leaving: headers.get(LEAVING).is_some_and(|value| value == "true"),
            body: response.boxed_local(),
        })
    }

    fn request(&self, client: &Client) -> ClientRequest {
        let url = format!("http://{}{}", self.server.address, self.call.path.path());
        let mut request = client
            .post(url)
            .content_type("application/json")
            .insert_header((REQUEST_ID, self.attempt_id))
            .insert_header((CACHE_SCOPE, self.call.cache_scope.as_str()))
            .insert_header((PRIORITY, self.call.weights.priority.to_string()));
        if let ExpectedWeights::Exactly(weights) = self.weights {
            request = request.insert_header((WEIGHTS_VERSION, weights.to_string()));
        }
        if 0 < self.resume_from {
            request = request.insert_header((RESUME_FROM, self.resume_from.to_string()));
        }
        if let Some(source) = self.kv_source {
            request = request.insert_header((KV_SOURCE, source.as_str()));
        }
        request
    }
}

pub(crate) fn reply_identity(headers: &HeaderMap) -> ReplyIdentity<'_> {
    ReplyIdentity {
        attempt_id: header_text(headers, REQUEST_ID),
        server: header_text(headers, SERVER),
        incarnation: header_number(headers, INCARNATION),
        weights: header_number(headers, WEIGHTS_VERSION),
    }
}

fn reply_facts(
    headers: &HeaderMap,
    incarnation: fulmargate_names::Incarnation,
    ttft_ms: f64,
) -> ReplyStats {
    let number = |name: &str| header_number(headers, name).unwrap_or(0);
    ReplyStats {
        incarnation,
        prompt_tokens: number(PROMPT_TOKENS),
        cached_tokens: number(CACHED_TOKENS),
        queue_tokens: number(QUEUE_TOKENS),
        running: number(RUNNING),
        ttft_ms,
    }
}

fn header_text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

fn header_number<T: FromStr>(headers: &HeaderMap, name: &str) -> Option<T> {
    header_text(headers, name)?.parse().ok()
}

/// Only a connection that could not be made proves that nothing was sent. `Disconnected` stands
/// under `Connect` too, but says that an open connection ended before an answer came: the server
/// may have had the request and run it. Taking that for `not sent` would run calls twice.
pub(crate) fn send_failure(err: &SendRequestError) -> AttemptFailure {
    match err {
        SendRequestError::Connect(ConnectError::Timeout) => AttemptFailure::NotReached,
        SendRequestError::Connect(
            ConnectError::Io(_)
            | ConnectError::Resolver(_)
            | ConnectError::NoRecords
            | ConnectError::Unresolved,
        )
        | SendRequestError::Url(_) => AttemptFailure::NotSent,
        SendRequestError::Timeout => AttemptFailure::Late,
        _ => AttemptFailure::Broken,
    }
}

fn refusal(status: StatusCode, not_run: bool, body: Bytes) -> AttemptFailure {
    if not_run {
        return AttemptFailure::Refused { code: error_code(&body) };
    }
    if status.is_server_error() {
        return AttemptFailure::ServerError(status);
    }
    AttemptFailure::Answered { status, body }
}

fn error_code(body: &[u8]) -> String {
    let value: serde_json::Value = serde_json::from_slice(body).unwrap_or_default();
    let code = value.pointer("/error/code").or_else(|| value.get("code"));
    code.and_then(|code| code.as_str()).unwrap_or("none").to_owned()
}
