//! Sends one attempt to an engine and judges the head of its answer.

use std::str::FromStr;
use std::sync::Arc;
use std::time::Duration;

use actix_web::http::StatusCode;
use awc::Client;
use awc::ClientRequest;
use awc::error::SendRequestError;
use awc::http::header::HeaderMap;
use fulmargate_names::CACHE_SCOPE;
use fulmargate_names::CACHED_TOKENS;
use fulmargate_names::INCARNATION;
use fulmargate_names::NOT_RUN;
use fulmargate_names::PRIORITY;
use fulmargate_names::PROMPT_TOKENS;
use fulmargate_names::QUEUE_TOKENS;
use fulmargate_names::REQUEST_ID;
use fulmargate_names::RESUME_FROM;
use fulmargate_names::RUNNING;
use fulmargate_names::SERVER;
use fulmargate_names::WEIGHTS_VERSION;
use fulmargate_relay::ExpectedReply;
use fulmargate_relay::ExpectedWeights;
use fulmargate_relay::ReplyIdentity;
use futures_util::StreamExt;
use tokio::time::timeout;

use crate::attempt::AttemptFailure;
use crate::attempt::EngineCall;
use crate::attempt::OpenAttempt;
use crate::attempt::open_attempt::ReplyFacts;
use crate::state::ServerRoute;

const ERROR_BODY_LIMIT: usize = 64 * 1024;

/// What one attempt asks for.
pub(crate) struct EngineAttempt<'a> {
    pub(crate) call: &'a EngineCall,
    pub(crate) server: &'a Arc<ServerRoute>,
    pub(crate) attempt_id: String,
    pub(crate) weights: ExpectedWeights,
    /// Index of the first token wanted.
    pub(crate) resume_from: u32,
    /// How long the first token may take.
    pub(crate) patience: Duration,
}

impl EngineAttempt<'_> {
    /// Sends it and waits for the answer's head, which comes with the first token.
    pub(crate) async fn send(self, client: &Client) -> Result<OpenAttempt, AttemptFailure> {
        let sending = self.request(client).send_body(self.call.body.clone());
        let response = match timeout(self.patience, sending).await {
            Ok(Ok(response)) => response,
            Ok(Err(err)) => return Err(send_failure(&err)),
            Err(_) => return Err(AttemptFailure::Late),
        };
        if response.status() != StatusCode::OK {
            let status = response.status();
            let not_run = response.headers().get(NOT_RUN).is_some_and(|value| value == "true");
            let mut response = response;
            let body = response.body().limit(ERROR_BODY_LIMIT).await.unwrap_or_default();
            return Err(refusal(status, not_run, body));
        }
        let headers = response.headers();
        let identity = reply_identity(headers);
        let expected = ExpectedReply {
            attempt_id: &self.attempt_id,
            server: self.server.name.as_str(),
            incarnation: self.server.incarnation(),
            weights: self.weights,
        };
        expected.check(&identity).map_err(AttemptFailure::Foreign)?;
        let incarnation = identity.incarnation.unwrap_or_default();
        let weights = identity.weights.unwrap_or_default();
        self.server.note_incarnation(incarnation);
        let facts = reply_facts(headers);
        Ok(OpenAttempt {
            server: Arc::clone(self.server),
            incarnation,
            weights,
            facts,
            body: response.boxed_local(),
            attempt_id: self.attempt_id,
        })
    }

    fn request(&self, client: &Client) -> ClientRequest {
        let url = format!("http://{}{}", self.server.address, self.call.path.path());
        let mut request = client
            .post(url)
            .content_type("application/json")
            .insert_header((REQUEST_ID, self.attempt_id.as_str()))
            .insert_header((CACHE_SCOPE, self.call.cache_scope()))
            .insert_header((PRIORITY, self.call.priority.to_string()));
        if let ExpectedWeights::Exactly(weights) = self.weights {
            request = request.insert_header((WEIGHTS_VERSION, weights.to_string()));
        }
        if 0 < self.resume_from {
            request = request.insert_header((RESUME_FROM, self.resume_from.to_string()));
        }
        request
    }
}

fn reply_identity(headers: &HeaderMap) -> ReplyIdentity<'_> {
    ReplyIdentity {
        attempt_id: header_text(headers, REQUEST_ID),
        server: header_text(headers, SERVER),
        incarnation: header_number(headers, INCARNATION),
        weights: header_number(headers, WEIGHTS_VERSION),
    }
}

fn reply_facts(headers: &HeaderMap) -> ReplyFacts {
    ReplyFacts {
        prompt_tokens: header_number(headers, PROMPT_TOKENS),
        cached_tokens: header_number(headers, CACHED_TOKENS),
        queue_tokens: header_number(headers, QUEUE_TOKENS),
        running: header_number(headers, RUNNING),
    }
}

fn header_text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

fn header_number<T: FromStr>(headers: &HeaderMap, name: &str) -> Option<T> {
    header_text(headers, name)?.parse().ok()
}

/// Only a failure to connect proves that nothing was sent: a reused connection that breaks may
/// have carried the request to the server first.
pub(crate) fn send_failure(err: &SendRequestError) -> AttemptFailure {
    match err {
        SendRequestError::Connect(_) | SendRequestError::Url(_) => AttemptFailure::NotSent,
        SendRequestError::Timeout => AttemptFailure::Late,
        _ => AttemptFailure::Broken,
    }
}

fn refusal(status: StatusCode, not_run: bool, body: bytes::Bytes) -> AttemptFailure {
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
