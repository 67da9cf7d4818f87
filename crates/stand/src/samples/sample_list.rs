//! The samples.

use awc::http::Method;
use fulmargate_names as names;
use serde_json::Value;
use serde_json::json;
use uuid::Uuid;

use super::sample_answer::SampleAnswer;
use super::sample_answer::chunk_text;
use super::sample_answer::expect;
use super::sample_client::SampleClient;
use super::sample_client::SampleRequest;
use super::sample_row::SampleRow;
use crate::CompletionBody;
use crate::RunningDeployment;
use crate::deployment::TeamClass;
use crate::token;

const CHAT_PATH: &str = "/v1/chat/completions";
const MAX_TOKENS: usize = 8;
/// The stream that is resumed was cut after so many events.
const CUT_AFTER: usize = 3;

/// What the samples are made of.
struct SampleSet {
    client: SampleClient,
    model: String,
    urgent_key: String,
    batch_key: String,
    service: String,
    /// A call that may not be repeated, and one that may.
    charge_path: String,
    quote_path: String,
}

/// Sends the samples one after the other, each to the next router.
pub async fn run_samples(running: &RunningDeployment) -> Vec<SampleRow> {
    let mut set = SampleSet::new(running);
    let mut rows = set.model_rows().await;
    rows.push(set.resume_row().await);
    rows.extend(set.service_rows().await);
    for refusal in refusals(&set) {
        let answer = set.client.send(&refusal.request).await;
        rows.push(SampleRow::new(refusal.name, answer, |answer| refusal.check(answer)));
    }
    rows
}

impl SampleSet {
    fn new(running: &RunningDeployment) -> SampleSet {
        let deployment = &running.deployment;
        let key = |class: TeamClass| {
            let team = deployment.teams.iter().find(|team| team.class == class);
            team.map_or(String::new(), |team| team.key.clone())
        };
        let path = |repeatable: bool| {
            let call = deployment.calls.iter().find(|call| call.repeatable == repeatable);
            let path = call.map_or("", |call| call.path);
            format!("/services/{}{path}", deployment.service)
        };
        SampleSet {
            client: SampleClient::new(running),
            model: deployment.model.to_string(),
            urgent_key: key(TeamClass::Urgent),
            batch_key: key(TeamClass::Batch),
            service: deployment.service.to_string(),
            charge_path: path(false),
            quote_path: path(true),
        }
    }

    fn chat_body(&self) -> Value {
        json!({
            "model": self.model,
            "stream": true,
            "stream_options": { "include_usage": true },
            "max_tokens": MAX_TOKENS,
            "messages": [
                { "role": "system", "content": "You answer for this tenant. ".repeat(200) },
                { "role": "user", "content": "What is open today?" },
            ],
        })
    }

    async fn model_rows(&mut self) -> Vec<SampleRow> {
        let chat = self.chat_body();
        let request = SampleRequest::post(CHAT_PATH, &self.urgent_key, &chat);
        let first = self.client.send(&request).await;
        let second = self.client.send(&request).await;
        let is_whole = |answer: &SampleAnswer| {
            expect("disposition", &*answer.disposition, "ran")?;
            expect("text", &answer.stream_text()?, &expected_text(&chat))
        };
        let is_warm = |answer: &SampleAnswer| {
            is_whole(answer)?;
            match answer.cached_tokens() {
                0 => Err("nothing was cached".to_owned()),
                _ => Ok(()),
            }
        };
        let body =
            json!({ "model": self.model, "prompt": "Tag this record.", "max_tokens": MAX_TOKENS });
        let request = SampleRequest::post("/v1/completions", &self.batch_key, &body);
        let completion = self.client.send(&request).await;
        let request = SampleRequest {
            method: Method::GET,
            body: String::new(),
            ..SampleRequest::post("/v1/models", &self.urgent_key, &Value::Null)
        };
        let models = self.client.send(&request).await;
        let model = &self.model;
        vec![
            SampleRow::new("chat, streamed", first, is_whole),
            SampleRow::new("the same at another router", second, is_warm),
            SampleRow::new("completion of a batch team", completion, |answer| {
                let text = answer.json()["choices"][0]["text"].as_str().map(str::to_owned);
                expect("text", &text, &Some(expected_text(&body)))
            }),
            SampleRow::new("list of models", models, |answer| {
                let id = answer.json()["data"][0]["id"].as_str().map(str::to_owned);
                expect("model", &id, &Some(model.clone()))
            }),
        ]
    }

    /// A caller that was cut goes on with its request at another router, from the last event that
    /// it saw.
    async fn resume_row(&mut self) -> SampleRow {
        let chat = self.chat_body();
        let request = SampleRequest::post(CHAT_PATH, &self.urgent_key, &chat);
        let whole = self.client.send(&request).await.unwrap_or_default();
        let events = whole.events();
        let seen = &events[..CUT_AFTER.min(events.len())];
        let start: String = seen.iter().map(|event| chunk_text(&event.data)).collect();
        let last = seen.last().and_then(|event| event.id.clone()).unwrap_or_default();
        let request = request.with("last-event-id", &last);
        let rest = self.client.send_as(whole.sent_id, &request).await;
        SampleRow::new("a cut stream, resumed elsewhere", rest, |answer| {
            expect("text", &(start + &answer.stream_text()?), &expected_text(&chat))
        })
    }

    /// A call that may not be repeated, sent twice with the same key to two routers.
    async fn service_rows(&mut self) -> Vec<SampleRow> {
        let body = json!({ "amount": 1250 });
        let key = Uuid::now_v7().to_string();
        let charge = SampleRequest::post(&self.charge_path, &self.urgent_key, &body)
            .with(names::IDEMPOTENCY_KEY, &key);
        let first = self.client.send(&charge).await;
        let second = self.client.send(&charge).await;
        let quote = SampleRequest::post(&self.quote_path, &self.urgent_key, &body);
        let quote = self.client.send(&quote).await;
        let call = self.charge_path.trim_start_matches(&format!("/services/{}", self.service));
        let signature =
            token::signature(&key, &format!("POST {call}"), body.to_string().as_bytes());
        let is_charged = |answer: &SampleAnswer| {
            expect("status", &answer.status, &200)?;
            expect("disposition", &*answer.disposition, "ran")?;
            let found = answer.json()["signature"].as_str().map(str::to_owned);
            expect("signature", &found, &Some(signature.clone()))
        };
        let body_of = |answer: &Result<SampleAnswer, String>| {
            answer.as_ref().map(|answer| answer.body.clone()).unwrap_or_default()
        };
        let first_body = body_of(&first);
        vec![
            SampleRow::new("a call that may not be repeated", first, is_charged),
            SampleRow::new("the same key at another router", second, |answer| {
                is_charged(answer)?;
                expect("body", &answer.body, &first_body)
            }),
            SampleRow::new("a call that may be repeated", quote, |answer| {
                expect("status", &answer.status, &200)
            }),
        ]
    }
}

/// A request that must be refused before it runs.
struct SampleRefusal {
    name: &'static str,
    request: SampleRequest,
    status: u16,
    code: &'static str,
}

impl SampleRefusal {
    fn check(&self, answer: &SampleAnswer) -> Result<(), String> {
        expect("status", &answer.status, &self.status)?;
        expect("code", &*answer.error, self.code)?;
        expect("code in the body", &answer.json()["error"]["code"], &json!(self.code))?;
        expect("disposition", &*answer.disposition, "not-run")
    }
}

fn refusals(set: &SampleSet) -> Vec<SampleRefusal> {
    let chat = set.chat_body();
    let mut unknown = chat.clone();
    unknown["model"] = json!("no-such-model");
    let key = &set.urgent_key;
    let with_key = |key: &str| SampleRequest::post(CHAT_PATH, key, &chat);
    let post = |path: &str| SampleRequest::post(path, key, &chat);
    let refusal = |name, request, status, code| SampleRefusal { name, request, status, code };
    let broken = SampleRequest { body: "{\"model\":".to_owned(), ..with_key(key) };
    vec![
        refusal("no key", with_key(""), 401, "unauthorized"),
        refusal("a wrong key", with_key("fk-nobody"), 401, "unauthorized"),
        refusal(
            "an unknown model",
            SampleRequest::post(CHAT_PATH, key, &unknown),
            404,
            "unknown_model",
        ),
        refusal("an unknown service", post("/services/nothing/x"), 404, "unknown_service"),
        refusal("an unknown path", post("/v1/nothing"), 404, "unknown_path"),
        refusal("broken JSON", broken, 400, "bad_request"),
        refusal("no idempotency key", post(&set.charge_path), 400, "key_missing"),
    ]
}

fn expected_text(body: &Value) -> String {
    CompletionBody::parse(body.to_string().as_bytes())
        .map_or(String::new(), |body| body.expected_answer(1))
}
