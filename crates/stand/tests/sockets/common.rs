//! A stand-in under test, served by the test's own process.

use std::net::SocketAddr;

use awc::Client;
use awc::ClientResponse;
use awc::error::SendRequestError;
use bytes::Bytes;
use fulmargate_stand::EngineSettings;
use fulmargate_stand::FaultOrder;
use fulmargate_stand::StandServer;
use fulmargate_stand::deployment::Deployment;
use fulmargate_stand::engine_server;
use fulmargate_stand::token;
use indexmap::IndexMap;
use serde_json::Value;
use serde_json::json;
use tokio_util::sync::CancellationToken;

pub(crate) const MODEL: &str = "m";
pub(crate) const SCOPE: &str = "team/m/";

/// A stand-in that serves until it is dropped.
pub(crate) struct StandRun {
    pub(crate) address: SocketAddr,
    pub(crate) client: Client,
    cancellation: CancellationToken,
}

impl Drop for StandRun {
    fn drop(&mut self) {
        self.cancellation.cancel();
    }
}

impl StandRun {
    pub(crate) fn start(server: StandServer) -> StandRun {
        let address = server.address().unwrap();
        let cancellation = CancellationToken::new();
        actix_rt::spawn(server.serve(cancellation.clone()));
        StandRun { address, client: Client::default(), cancellation }
    }

    pub(crate) fn url(&self, path: &str) -> String {
        format!("http://{}{path}", self.address)
    }

    /// The JSON at a path; tried again while the stand-in is down.
    pub(crate) async fn get(&self, path: &str) -> Value {
        loop {
            if let Ok(mut answer) = self.client.get(self.url(path)).send().await
                && let Ok(json) = answer.json().await
            {
                return json;
            }
            tokio::time::sleep(std::time::Duration::from_millis(5)).await;
        }
    }

    pub(crate) async fn post(
        &self,
        path: &str,
        body: &Value,
    ) -> Result<(u16, Value), SendRequestError> {
        let mut answer = self.client.post(self.url(path)).send_json(body).await?;
        let status = answer.status().as_u16();
        Ok((status, answer.json().await.unwrap_or(Value::Null)))
    }

    pub(crate) async fn fault(&self, order: &FaultOrder) {
        self.post("/faults", &serde_json::to_value(order).unwrap()).await.unwrap();
    }

    /// Crashes the stand-in and waits for its next life. The crash may come before the answer to
    /// the order that asked for it.
    pub(crate) async fn crash(&self) {
        let before = self.get("/faults").await["incarnation"].as_u64();
        let _ = self.post("/faults", &json!({ "crash_ms": 5 })).await;
        while self.get("/faults").await["incarnation"].as_u64() <= before {}
    }
}

pub(crate) fn engine_settings(name: &str) -> EngineSettings {
    EngineSettings {
        name: name.into(),
        zone: "z".into(),
        listen: "127.0.0.1:0".parse().unwrap(),
        models: IndexMap::from([(MODEL.into(), 1)]),
        fenced: true,
        rates: Deployment::shop().rates,
        event_delay_ms: 0.0,
        report_ms: 5,
        weight_store: None,
        kv_store: None,
        neighbours: IndexMap::new(),
    }
}

pub(crate) fn start_engine() -> StandRun {
    StandRun::start(engine_server(engine_settings("e1")).unwrap())
}

/// One request to an engine.
pub(crate) struct EngineCall {
    pub(crate) prompt: String,
    pub(crate) max_tokens: usize,
    pub(crate) headers: Vec<(&'static str, String)>,
}

impl EngineCall {
    pub(crate) fn new(prompt: &str) -> EngineCall {
        let headers = vec![("x-request-id", "r.1".to_owned()), ("x-cache-scope", SCOPE.to_owned())];
        EngineCall { prompt: prompt.to_owned(), max_tokens: 5, headers }
    }

    pub(crate) fn with(mut self, name: &'static str, value: &str) -> EngineCall {
        self.headers.retain(|(known, _)| *known != name);
        self.headers.push((name, value.to_owned()));
        self
    }

    pub(crate) async fn send(
        &self,
        engine: &StandRun,
    ) -> Result<
        ClientResponse<
            impl futures_util::Stream<Item = Result<Bytes, awc::error::PayloadError>> + use<>,
        >,
        SendRequestError,
    > {
        let mut request = engine.client.post(engine.url("/v1/completions"));
        for (name, value) in &self.headers {
            request = request.insert_header((*name, value.as_str()));
        }
        let body = json!({
            "model": MODEL, "prompt": self.prompt, "max_tokens": self.max_tokens, "stream": true,
        });
        request.send_json(&body).await
    }

    /// The SSE events of the answer from the index on, as they must be.
    pub(crate) fn expected(&self, id: &str, from: usize) -> Vec<String> {
        let hash = token::prompt_hash(MODEL, &self.prompt);
        (from..self.max_tokens)
            .map(|index| format!("{index} {id} {}", token::token_text(1, hash, index)))
            .chain(["length".to_owned(), "[DONE]".to_owned()])
            .collect()
    }
}

/// Events of a stream in short: index, chunk id and text; the finish reason; the end.
pub(crate) fn events(body: &[u8]) -> Vec<String> {
    let text = std::str::from_utf8(body).unwrap();
    text.split_terminator("\n\n").map(event).collect()
}

fn event(text: &str) -> String {
    let data = text.lines().find_map(|line| line.strip_prefix("data: ")).unwrap();
    let Ok(chunk) = serde_json::from_str::<Value>(data) else {
        return data.to_owned();
    };
    let choice = &chunk["choices"][0];
    if let Some(reason) = choice["finish_reason"].as_str() {
        return reason.to_owned();
    }
    let index = text.lines().find_map(|line| line.strip_prefix("id: ")).unwrap();
    format!("{index} {} {}", chunk["id"].as_str().unwrap(), choice["text"].as_str().unwrap())
}

pub(crate) fn header<S>(answer: &ClientResponse<S>, name: &str) -> String {
    answer.headers().get(name).map_or("", |value| value.to_str().unwrap()).to_owned()
}
