//! Sends one attempt to a replica of a plain service.

use actix_web::http::StatusCode;
use actix_web::http::header;
use actix_web::http::header::HeaderMap;
use actix_web::http::header::HeaderName;
use awc::Client;
use bytes::Bytes;
use fulmargate_names::NOT_RUN;
use fulmargate_names::REQUEST_ID;
use fulmargate_names::ServerName;
use fulmargate_relay::ExpectedReply;
use fulmargate_relay::ExpectedWeights;
use tokio::time::timeout;

use crate::attempt::AttemptFailure;
use crate::attempt::ServiceCall;
use crate::attempt::engine_attempt::reply_identity;
use crate::attempt::engine_attempt::send_failure;
use crate::state::ServerRoute;

const ANSWER_LIMIT: usize = 16 * 1024 * 1024;

/// Headers that concern one connection, or the router alone.
const DROPPED: [HeaderName; 9] = [
    header::CONNECTION,
    header::HOST,
    header::CONTENT_LENGTH,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
    header::TE,
    header::TRAILER,
    header::AUTHORIZATION,
    header::EXPECT,
];

/// A whole answer of a replica.
pub(crate) struct ServiceAnswer {
    pub(crate) server: ServerName,
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
}

impl ServiceAnswer {
    /// The answer's content type, if it has one.
    pub(crate) fn content_type(&self) -> &str {
        let value = self.headers.get(header::CONTENT_TYPE);
        value.and_then(|value| value.to_str().ok()).unwrap_or("application/octet-stream")
    }
}

/// Sends the call to one replica and reads the whole answer.
pub(crate) async fn send_call(
    client: &Client,
    call: &ServiceCall,
    server: &ServerRoute,
    attempt_id: &str,
) -> Result<ServiceAnswer, AttemptFailure> {
    let exchange = exchange(client, call, server, attempt_id);
    timeout(call.timeout, exchange).await.unwrap_or(Err(AttemptFailure::Late))
}

async fn exchange(
    client: &Client,
    call: &ServiceCall,
    server: &ServerRoute,
    attempt_id: &str,
) -> Result<ServiceAnswer, AttemptFailure> {
    let url = format!("http://{}{}", server.address, call.path);
    let mut request = client.request(call.method.clone(), url).no_decompress();
    for (name, value) in &call.headers {
        if !DROPPED.contains(name) {
            request = request.append_header((name.clone(), value.clone()));
        }
    }
    let request = request.insert_header((REQUEST_ID, attempt_id));
    let mut response =
        request.send_body(call.body.clone()).await.map_err(|err| send_failure(&err))?;
    let headers = response.headers().clone();
    let status = response.status();
    let not_run = headers.get(NOT_RUN).is_some_and(|value| value == "true");
    let expected = ExpectedReply {
        attempt_id,
        server: server.name.as_str(),
        incarnation: server.incarnation(),
        weights: ExpectedWeights::Absent,
    };
    expected.check(&reply_identity(&headers)).map_err(AttemptFailure::Foreign)?;
    let body = response.body().limit(ANSWER_LIMIT).await.map_err(|_| AttemptFailure::Broken)?;
    if not_run && status == StatusCode::SERVICE_UNAVAILABLE {
        return Err(AttemptFailure::Refused { code: "refused".to_owned() });
    }
    Ok(ServiceAnswer { server: server.name.clone(), status, headers, body })
}

/// Whether a header of an answer is passed on to the caller.
pub(crate) fn is_passed_on(name: &HeaderName) -> bool {
    !DROPPED.contains(name) && name.as_str() != REQUEST_ID
}
