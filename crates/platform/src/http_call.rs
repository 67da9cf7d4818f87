//! One call over HTTP with a JSON answer.

use std::time::Duration;

use awc::Client;
use awc::Connector;
use awc::SendClientRequest;
use awc::error::ConnectError;
use awc::error::SendRequestError;
use awc::http::StatusCode;
use serde::de::DeserializeOwned;
use tokio::time::timeout;

use crate::LogError;

/// The largest answer that is read.
const BODY_LIMIT: usize = 64 << 20;

/// A client that follows no redirects, since a redirected append would be a second one.
pub(crate) fn http_client(connect: Duration) -> Client {
    Client::builder()
        .connector(Connector::new().timeout(connect))
        .disable_redirects()
        .disable_timeout()
        .finish()
}

/// A call that is given up after `limit`; its connection is closed, not used again.
pub(crate) async fn within<T>(
    limit: Duration,
    call: impl Future<Output = Result<T, LogError>>,
) -> Result<T, LogError> {
    timeout(limit, call).await.unwrap_or(Err(LogError::Lost))
}

/// Awaits the answer to a request and reads the JSON of its answer.
pub(crate) async fn json_call<T: DeserializeOwned>(sent: SendClientRequest) -> Result<T, LogError> {
    let mut answer = sent.await.map_err(|error| send_error(&error))?;
    match answer.status() {
        StatusCode::OK | StatusCode::CREATED => (),
        StatusCode::SERVICE_UNAVAILABLE => return Err(LogError::Out),
        StatusCode::TOO_MANY_REQUESTS => return Err(LogError::Throttled),
        status => return Err(LogError::Unreadable { status: status.as_u16() }),
    }
    let status = answer.status().as_u16();
    let body = answer.body().limit(BODY_LIMIT).await.map_err(|_| LogError::Lost)?;
    serde_json::from_slice(&body).map_err(|_| LogError::Unreadable { status })
}

/// Tells a failed connection from a lost answer. `awc` also says `Connect(Disconnected)` when a connection closes after the
/// request was written: taken for "not sent", a landed append would be denied, so only the errors from before the first byte
/// count as that.
fn send_error(error: &SendRequestError) -> LogError {
    match error {
        SendRequestError::Connect(
            ConnectError::Timeout
            | ConnectError::Resolver(_)
            | ConnectError::NoRecords
            | ConnectError::Unresolved
            | ConnectError::Io(_),
        ) => LogError::NotSent,
        _ => LogError::Lost,
    }
}
