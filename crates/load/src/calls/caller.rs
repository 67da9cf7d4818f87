//! Sends calls as callers do: to one address after the other, again when a connection breaks.

use std::cell::Cell;
use std::ops::RangeInclusive;
use std::rc::Rc;
use std::time::Duration;
use std::time::SystemTime;

use bytes::Bytes;
use fulmargate_names as names;
use fulmargate_stand::CompletionBody;
use fulmargate_stand::deployment::Deployment;
use fulmargate_stand::token;
use tokio::time::Instant;
use tokio::time::sleep;
use tokio::time::timeout;

use super::answer_check::AnswerCheck;
use super::answer_check::ExpectedAnswer;
use super::answer_head::AnswerHead;
use super::call_client::CallAnswer;
use super::call_client::CallClient;
use super::call_client::CallRequest;
use super::call_record::AnswerFault;
use super::call_record::CallRecord;
use super::call_record::KeyHistory;
use super::call_record::KeySend;
use super::call_record::Verdict;
use super::sse_reader::SseReader;
use super::token_clock::TokenClock;
use crate::workload::CallKind;
use crate::workload::PlannedCall;
use crate::workload::PromptCall;
use crate::workload::PromptLibrary;
use crate::workload::ServiceUse;

const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
/// How often a caller tries again after a broken connection.
const TRIES_AGAIN: u32 = 4;
const PAUSE_BEFORE_TRY: Duration = Duration::from_millis(100);
const ERROR_BODY_LIMIT: usize = 64 << 10;
const LAST_EVENT_ID: &str = "last-event-id";

/// Who is called.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallTarget {
    /// Routers, as callers see them.
    Routers,
    /// Engines themselves, to know what a router adds.
    Engines,
}

/// How one send of a prompt ended.
enum SendOutcome {
    Final(Verdict),
    /// The connection broke; the caller may go on elsewhere.
    Broken,
}

/// A population of callers.
pub struct Caller {
    client: CallClient,
    target: CallTarget,
    addresses: Vec<String>,
    next: Cell<usize>,
    deployment: Rc<Deployment>,
    library: PromptLibrary,
    run: String,
    start: Instant,
    start_unix_ms: u64,
    patience: Duration,
    weights: RangeInclusive<u64>,
}

impl Caller {
    /// Callers of these addresses; `start` is the beginning of the run.
    pub fn new(
        target: CallTarget,
        addresses: Vec<String>,
        deployment: Rc<Deployment>,
        library: PromptLibrary,
        patience: Duration,
    ) -> Caller {
        let start_unix_ms =
            SystemTime::UNIX_EPOCH.elapsed().map_or(0, |since| since.as_millis() as u64);
        Caller {
            client: CallClient::new(CONNECT_TIMEOUT),
            target,
            addresses,
            next: Cell::new(0),
            deployment,
            library,
            run: format!("load-{start_unix_ms:x}"),
            start: Instant::now(),
            start_unix_ms,
            patience,
            weights: 1..=1,
        }
    }

    /// Callers that take answers of these weights; else of version 1 only.
    pub fn expect_weights(mut self, weights: RangeInclusive<u64>) -> Caller {
        self.weights = weights;
        self
    }

    /// The beginning of the run.
    pub fn start(&self) -> Instant {
        self.start
    }

    /// Makes one call and returns what became of it.
    pub async fn call(&self, call: &PlannedCall) -> CallRecord {
        let mut record = CallRecord::new(call);
        record.sent_late = self.start.elapsed().saturating_sub(call.at);
        match &call.kind {
            CallKind::Prompt(prompt) => {
                let answered = self.call_model(call, prompt, &mut record);
                let _ = timeout(self.patience, answered).await;
            }
            CallKind::Service(service_use) => {
                self.call_service(call, service_use, &mut record).await;
            }
        }
        record.took = self.start.elapsed().saturating_sub(call.at);
        record
    }

    async fn call_model(&self, call: &PlannedCall, prompt: &PromptCall, record: &mut CallRecord) {
        let body = Bytes::from(self.library.body(prompt, call.number).to_string());
        let mut check = AnswerCheck::new(self.expected(call, &body));
        for _ in 0..=TRIES_AGAIN {
            match self.send_prompt(call, &body, &mut check, record).await {
                SendOutcome::Final(verdict) => {
                    record.verdict = verdict;
                    (record.prompt_tokens, record.cached_tokens) = check.usage();
                    return;
                }
                SendOutcome::Broken => {
                    record.tries_again += 1;
                    sleep(PAUSE_BEFORE_TRY).await;
                }
            }
        }
    }

    fn expected(&self, call: &PlannedCall, body: &[u8]) -> ExpectedAnswer {
        let body = CompletionBody::parse(body).expect("the library's bodies are well formed");
        ExpectedAnswer {
            request_id: self.request_id(call),
            prompt_hash: token::prompt_hash(&body.model, &body.prompt_text()),
            tokens: body.answer_tokens(),
            weights: self.weights.clone(),
        }
    }

    async fn send_prompt(
        &self,
        call: &PlannedCall,
        body: &Bytes,
        check: &mut AnswerCheck,
        record: &mut CallRecord,
    ) -> SendOutcome {
        let mut request = self.request(call, "POST", "/v1/chat/completions");
        request.body = body.clone();
        if let Some(id) = check.last_id() {
            request.headers.push((LAST_EVENT_ID, id.to_string()));
        }
        if self.target == CallTarget::Engines {
            let scope =
                format!("{}/{}/", self.deployment.teams[call.team()].name, self.deployment.model);
            request.headers.push((names::CACHE_SCOPE, scope));
        }
        let Ok(response) = self.client.send(request).await else {
            return SendOutcome::Broken;
        };
        let head = AnswerHead::read(response.status, &response.headers);
        head.note_in(record);
        if !response.status.is_success() {
            let body = response.read_body(ERROR_BODY_LIMIT).await;
            return body.map_or(SendOutcome::Broken, |body| {
                SendOutcome::Final(head.refusal(&body, self.target))
            });
        }
        if let Some(fault) = head.fault(check.expected(), self.target) {
            return SendOutcome::Final(Verdict::Faulty(fault));
        }
        self.read_stream(call, response, check, record).await
    }

    /// Reads a stream to its end, checking each event as it comes.
    async fn read_stream(
        &self,
        call: &PlannedCall,
        mut response: CallAnswer,
        check: &mut AnswerCheck,
        record: &mut CallRecord,
    ) -> SendOutcome {
        let mut reader = SseReader::default();
        let mut clock = TokenClock::new(self.start + call.at);
        while let Some(bytes) = response.next_bytes().await {
            let Ok(bytes) = bytes else { return SendOutcome::Broken };
            for event in reader.read(&bytes) {
                if event.name.as_deref() == Some("error") {
                    return SendOutcome::Final(AnswerHead::stream_error(&event.data, record));
                }
                let before = check.tokens();
                if let Err(fault) = check.take(&event) {
                    return SendOutcome::Final(Verdict::Faulty(fault));
                }
                if before < check.tokens() {
                    clock.note(&event, record);
                }
            }
        }
        match check.is_done() && !reader.is_within_event() {
            true => SendOutcome::Final(Verdict::Whole),
            false => SendOutcome::Final(Verdict::Faulty(AnswerFault::Truncated)),
        }
    }

    /// Calls the plain service, and with the plan's share sends the key once more meanwhile.
    async fn call_service(
        &self,
        call: &PlannedCall,
        service_use: &ServiceUse,
        record: &mut CallRecord,
    ) {
        let service_call = self.deployment.calls[usize::from(service_use.call)];
        let unix_ms = self.start_unix_ms + call.at.as_millis() as u64;
        let key = service_use.idempotency_key(unix_ms).to_string();
        let mut second = CallRecord::new(call);
        let mut history = KeyHistory { key, sends: Vec::new() };
        let first = self.send_key(call, &history.key, Duration::ZERO, record);
        match service_use.sent_again_after.filter(|_| !service_call.repeatable) {
            None => history.sends = first.await,
            Some(after) => {
                let again = self.send_key(call, &history.key, after, &mut second);
                let (mut sends, more) = tokio::join!(first, again);
                sends.extend(more);
                history.sends = sends;
            }
        }
        if second.verdict == Verdict::Whole {
            record.verdict = Verdict::Whole;
        }
        record.key = (!service_call.repeatable).then_some(history);
    }

    /// Sends the call until a whole answer comes; each send is kept, for the judge.
    async fn send_key(
        &self,
        call: &PlannedCall,
        key: &str,
        after: Duration,
        record: &mut CallRecord,
    ) -> Vec<KeySend> {
        sleep(after).await;
        let mut sends = Vec::new();
        for _ in 0..=TRIES_AGAIN {
            let began = self.start.elapsed();
            record.disposition = None;
            let sent = timeout(self.patience, self.send_service_call(call, key, record)).await;
            let ended = self.start.elapsed();
            sends.push(KeySend { began, ended, disposition: record.disposition });
            match sent {
                Ok(SendOutcome::Final(verdict)) => {
                    record.verdict = verdict;
                    return sends;
                }
                Ok(SendOutcome::Broken) | Err(_) => {
                    record.tries_again += 1;
                    sleep(PAUSE_BEFORE_TRY).await;
                }
            }
        }
        sends
    }

    async fn send_service_call(
        &self,
        call: &PlannedCall,
        key: &str,
        record: &mut CallRecord,
    ) -> SendOutcome {
        let CallKind::Service(service_use) = &call.kind else { return SendOutcome::Broken };
        let service_call = self.deployment.calls[usize::from(service_use.call)];
        let path = format!("/services/{}{}", self.deployment.service, service_call.path);
        let mut request = self.request(call, service_call.method, &path);
        if !service_call.repeatable {
            request.headers.push((names::IDEMPOTENCY_KEY, key.to_owned()));
        }
        request.body = Bytes::from(format!("{{\"order\":{}}}", call.number));
        let Ok(response) = self.client.send(request).await else {
            return SendOutcome::Broken;
        };
        let head = AnswerHead::read(response.status, &response.headers);
        let is_success = response.status.is_success();
        let Ok(body) = response.read_body(ERROR_BODY_LIMIT).await else {
            return SendOutcome::Broken;
        };
        head.note_in(record);
        if !is_success {
            return SendOutcome::Final(head.refusal(&body, self.target));
        }
        let fault = head.service_fault(&self.request_id(call));
        SendOutcome::Final(fault.map_or(Verdict::Whole, Verdict::Faulty))
    }

    fn request(&self, call: &PlannedCall, method: &'static str, path: &str) -> CallRequest {
        let turn = self.next.get();
        self.next.set((turn + 1) % self.addresses.len());
        let key = &self.deployment.teams[call.team()].key;
        CallRequest {
            method,
            url: format!("http://{}{path}", self.addresses[turn]),
            headers: vec![
                ("authorization", format!("Bearer {key}")),
                (names::REQUEST_ID, self.request_id(call)),
                ("content-type", "application/json".to_owned()),
            ],
            body: Bytes::new(),
        }
    }

    fn request_id(&self, call: &PlannedCall) -> String {
        format!("{}-{}", self.run, call.number)
    }
}
