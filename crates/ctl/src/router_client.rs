//! Calls on a router's operators' listener.

use std::time::Duration;

use awc::Client;
use awc::ClientRequest;
use awc::Connector;
use awc::error::SendRequestError;
use awc::http::Method;
use awc::http::header;
use fulmargate_config::RefusalAnswer;
use fulmargate_config::RefusalBody;
use fulmargate_names::ConfigVersion;
use fulmargate_names::DISPOSITION;
use fulmargate_names::Disposition;
use serde::de::DeserializeOwned;
use serde_json::Value;

use crate::CtlError;

const CONNECT_TIMEOUT: Duration = Duration::from_secs(3);
/// Longer than a router waits for the log's verdict on a patch.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(15);
/// Documents grow with the teams: about 4 MB at the size that the system has to grow to.
const BODY_LIMIT: usize = 256 << 20;
/// The patch's own id; the same patch sent again under it is accepted once.
const PATCH_ID: &str = "x-patch-id";
/// Who made a patch, for the history.
const AUTHOR: &str = "x-author";

/// Calls one router.
pub(crate) struct RouterClient {
    client: Client,
    router: String,
}

/// A patch to submit.
pub(crate) struct PatchCall<'a> {
    pub(crate) id: &'a str,
    pub(crate) base: ConfigVersion,
    pub(crate) author: &'a str,
    pub(crate) patch: &'a Value,
}

impl RouterClient {
    /// A client of the router at `router`, as `10.0.0.1:8081`, with the operators' key.
    pub(crate) fn new(router: &str, key: &str) -> RouterClient {
        let client = Client::builder()
            .connector(Connector::new().timeout(CONNECT_TIMEOUT))
            .timeout(ANSWER_TIMEOUT)
            .bearer_auth(key)
            .finish();
        RouterClient { client, router: router.to_owned() }
    }

    /// `GET` of a path.
    pub(crate) async fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T, CtlError> {
        self.send(self.request(Method::GET, path), None).await
    }

    /// `POST` of a path, without a body.
    pub(crate) async fn post<T: DeserializeOwned>(&self, path: &str) -> Result<T, CtlError> {
        self.send(self.request(Method::POST, path), None).await
    }

    /// `PATCH /config`.
    pub(crate) async fn patch<T: DeserializeOwned>(
        &self,
        call: &PatchCall<'_>,
    ) -> Result<T, CtlError> {
        let media = match call.patch {
            Value::Array(_) => "application/json-patch+json",
            _ => "application/merge-patch+json",
        };
        let request = self
            .request(Method::PATCH, "/config")
            .insert_header((header::IF_MATCH, format!("\"{}\"", call.base)))
            .insert_header((header::CONTENT_TYPE, media))
            .insert_header((PATCH_ID, call.id))
            .insert_header((AUTHOR, call.author));
        self.send(request, Some(call.patch.to_string())).await
    }

    fn request(&self, method: Method, path: &str) -> ClientRequest {
        self.client.request(method, format!("http://{}{path}", self.router))
    }

    async fn send<T: DeserializeOwned>(
        &self,
        request: ClientRequest,
        body: Option<String>,
    ) -> Result<T, CtlError> {
        let sent = match body {
            Some(body) => request.send_body(body).await,
            None => request.send().await,
        };
        let mut response = sent.map_err(|error| self.no_answer(&error))?;
        let status = response.status();
        let disposition = response
            .headers()
            .get(DISPOSITION)
            .and_then(|value| Disposition::parse(value.to_str().ok()?))
            .unwrap_or(Disposition::Unknown);
        let body = response.body().limit(BODY_LIMIT).await;
        let body = body.map_err(|error| unreadable(status.as_u16(), &error.to_string()))?;
        if status.is_success() {
            return serde_json::from_slice(&body)
                .map_err(|error| unreadable(status.as_u16(), &error.to_string()));
        }
        let answer =
            serde_json::from_slice(&body).unwrap_or_else(|_| plain_refusal(status.as_u16()));
        Err(CtlError::Refused { status: status.as_u16(), answer: Box::new(answer), disposition })
    }

    /// Only a failure to connect proves that the router has seen nothing.
    fn no_answer(&self, error: &SendRequestError) -> CtlError {
        let was_sent = !matches!(error, SendRequestError::Connect(_) | SendRequestError::Url(_));
        CtlError::NoAnswer { router: self.router.clone(), reason: error.to_string(), was_sent }
    }
}

fn unreadable(status: u16, reason: &str) -> CtlError {
    CtlError::Unreadable { status, reason: reason.to_owned() }
}

/// An error status whose body is not a router's.
fn plain_refusal(status: u16) -> RefusalAnswer {
    let message = format!("the answer has status {status} and is not a router's");
    let error = RefusalBody { message, kind: String::new(), code: String::new(), param: None };
    RefusalAnswer { error, current: None, fault: None }
}
