//! The callers' HTTP client.
//!
//! On `hyper`, not on `awc`: `awc` ends a chunked body that is cut between two chunks as if it were
//! whole, so that a killed router would look like one that truncates in silence.

use std::time::Duration;

use awc::http::StatusCode;
use awc::http::header::HeaderMap;
use awc::http::header::HeaderName;
use awc::http::header::HeaderValue;
use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::Collected;
use http_body_util::Full;
use http_body_util::Limited;
use hyper::Request;
use hyper::body::Incoming;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;

/// The callers' HTTP client; keeps connections.
pub(super) struct CallClient {
    client: Client<HttpConnector, Full<Bytes>>,
}

/// What a caller sends.
pub(super) struct CallRequest {
    pub(super) method: &'static str,
    pub(super) url: String,
    pub(super) headers: Vec<(&'static str, String)>,
    pub(super) body: Bytes,
}

/// The head of an answer, with its body to come.
pub(super) struct CallAnswer {
    pub(super) status: StatusCode,
    pub(super) headers: HeaderMap,
    body: Incoming,
}

/// The connection broke.
#[derive(Debug)]
pub(super) struct CallBroken;

impl CallClient {
    pub(super) fn new(connect_timeout: Duration) -> CallClient {
        let mut connector = HttpConnector::new();
        connector.set_connect_timeout(Some(connect_timeout));
        connector.set_nodelay(true);
        CallClient { client: Client::builder(TokioExecutor::new()).build(connector) }
    }

    pub(super) async fn send(&self, call: CallRequest) -> Result<CallAnswer, CallBroken> {
        let mut request = Request::builder().method(call.method).uri(call.url);
        for (name, value) in &call.headers {
            request = request.header(*name, value);
        }
        let request = request.body(Full::new(call.body)).map_err(|_| CallBroken)?;
        let answer = self.client.request(request).await.map_err(|_| CallBroken)?;
        let status = StatusCode::from_u16(answer.status().as_u16()).map_err(|_| CallBroken)?;
        let mut headers = HeaderMap::new();
        for (name, value) in answer.headers() {
            let name = HeaderName::from_bytes(name.as_str().as_bytes());
            if let (Ok(name), Ok(value)) = (name, HeaderValue::from_bytes(value.as_bytes())) {
                headers.append(name, value);
            }
        }
        Ok(CallAnswer { status, headers, body: answer.into_body() })
    }
}

impl CallAnswer {
    /// The next bytes of the body; `None` at an end in good form.
    pub(super) async fn next_bytes(&mut self) -> Option<Result<Bytes, CallBroken>> {
        loop {
            let frame = match self.body.frame().await? {
                Ok(frame) => frame,
                Err(_) => return Some(Err(CallBroken)),
            };
            if let Ok(bytes) = frame.into_data() {
                return Some(Ok(bytes));
            }
        }
    }

    /// The whole body.
    pub(super) async fn read_body(self, limit: usize) -> Result<Bytes, CallBroken> {
        let body = Limited::new(self.body, limit).collect().await;
        body.map(Collected::to_bytes).map_err(|_| CallBroken)
    }
}
