//! Sends samples to routers in turn, as a balancer would.

use std::time::Duration;

use awc::Client;
use awc::http::Method;
use fulmargate_names as names;
use serde_json::Value;
use uuid::Uuid;

use super::sample_answer::SampleAnswer;
use crate::RunningDeployment;

const ANSWER_WITHIN: Duration = Duration::from_secs(10);

/// One request.
#[derive(Debug, Clone)]
pub(super) struct SampleRequest {
    pub(super) method: Method,
    pub(super) path: String,
    pub(super) key: String,
    pub(super) headers: Vec<(&'static str, String)>,
    pub(super) body: String,
}

impl SampleRequest {
    pub(super) fn post(path: &str, key: &str, body: &Value) -> SampleRequest {
        SampleRequest {
            method: Method::POST,
            path: path.to_owned(),
            key: key.to_owned(),
            headers: Vec::new(),
            body: body.to_string(),
        }
    }

    pub(super) fn with(mut self, name: &'static str, value: &str) -> SampleRequest {
        self.headers.push((name, value.to_owned()));
        self
    }
}

/// Sends samples to the routers in turn.
pub(super) struct SampleClient {
    client: Client,
    routers: Vec<String>,
    turn: usize,
}

impl SampleClient {
    pub(super) fn new(running: &RunningDeployment) -> SampleClient {
        let ports = running.addresses.routers.values();
        SampleClient {
            client: Client::builder().timeout(ANSWER_WITHIN).finish(),
            routers: ports.map(|ports| ports.callers.to_string()).collect(),
            turn: 0,
        }
    }

    /// Sends a request to the next router and reads the whole answer.
    pub(super) async fn send(&mut self, request: &SampleRequest) -> Result<SampleAnswer, String> {
        let sent_id = Uuid::new_v4().to_string();
        self.send_as(sent_id, request).await
    }

    /// The same under a given request id.
    pub(super) async fn send_as(
        &mut self,
        sent_id: String,
        request: &SampleRequest,
    ) -> Result<SampleAnswer, String> {
        let router = &self.routers[self.turn % self.routers.len()];
        self.turn += 1;
        let url = format!("http://{router}{}", request.path);
        let mut call = self
            .client
            .request(request.method.clone(), url)
            .content_type("application/json")
            .insert_header((names::REQUEST_ID, sent_id.as_str()));
        if !request.key.is_empty() {
            call = call.bearer_auth(&request.key);
        }
        for (name, value) in &request.headers {
            call = call.insert_header((*name, value.as_str()));
        }
        let sent = call.send_body(request.body.clone()).await;
        let mut answer = sent.map_err(|error| error.to_string())?;
        let body = answer.body().await.map_err(|error| format!("cut: {error}"))?;
        let header = |name| {
            let value = answer.headers().get(name).and_then(|value| value.to_str().ok());
            value.unwrap_or_default().to_owned()
        };
        Ok(SampleAnswer {
            status: answer.status().as_u16(),
            request_id: header(names::REQUEST_ID),
            sent_id,
            disposition: header(names::DISPOSITION),
            server: header(names::SERVER),
            error: header(names::ERROR),
            body: String::from_utf8_lossy(&body).into_owned(),
        })
    }
}
