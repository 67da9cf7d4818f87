//! What the head of an answer says, and whether it says all it must.

use awc::http::StatusCode;
use awc::http::header::HeaderMap;
use fulmargate_names as names;
use fulmargate_names::Disposition;
use serde_json::Value;

use super::answer_check::ExpectedAnswer;
use super::call_record::AnswerFault;
use super::call_record::CallRecord;
use super::call_record::Verdict;
use super::caller::CallTarget;

/// The headers that the checks look at.
pub(super) struct AnswerHead {
    status: StatusCode,
    request_id: String,
    server: Option<String>,
    disposition: Option<Disposition>,
    error: Option<String>,
    not_run: bool,
}

impl AnswerHead {
    pub(super) fn read(status: StatusCode, headers: &HeaderMap) -> AnswerHead {
        let text = |name: &str| Some(headers.get(name)?.to_str().ok()?.to_owned());
        AnswerHead {
            status,
            request_id: text(names::REQUEST_ID).unwrap_or_default(),
            server: text(names::SERVER),
            disposition: text(names::DISPOSITION).as_deref().and_then(Disposition::parse),
            error: text(names::ERROR),
            not_run: text(names::NOT_RUN).as_deref() == Some("true"),
        }
    }

    /// Keeps what the answer says; a later answer to the same call replaces it.
    pub(super) fn note_in(&self, record: &mut CallRecord) {
        record.server.clone_from(&self.server);
        record.error.clone_from(&self.error);
        record.disposition = self.disposition;
    }

    /// What is wrong with the head of an answer to a prompt.
    pub(super) fn fault(
        &self,
        expected: &ExpectedAnswer,
        target: CallTarget,
    ) -> Option<AnswerFault> {
        if !expected.is_own_id(&self.request_id) {
            return Some(AnswerFault::Crossed);
        }
        let lacks = self.server.is_none() || self.disposition.is_none();
        (target == CallTarget::Routers && lacks).then_some(AnswerFault::Malformed)
    }

    /// What is wrong with the head of an answer of the plain service.
    pub(super) fn service_fault(&self, request_id: &str) -> Option<AnswerFault> {
        if self.request_id != request_id {
            return Some(AnswerFault::Crossed);
        }
        (self.disposition != Some(Disposition::Ran)).then_some(AnswerFault::Malformed)
    }

    /// The verdict on an answer that is an error: a router's must be typed, in head and body alike.
    pub(super) fn refusal(&self, body: &[u8], target: CallTarget) -> Verdict {
        let body: Value = serde_json::from_slice(body).unwrap_or_default();
        if target == CallTarget::Engines {
            return if self.not_run { Verdict::Refused } else { Verdict::Failed };
        }
        let code = body["error"]["code"].as_str();
        if code.is_none() || code != self.error.as_deref() || self.status.is_success() {
            return Verdict::Faulty(AnswerFault::Malformed);
        }
        match self.disposition {
            Some(Disposition::NotRun) => Verdict::Refused,
            Some(_) => Verdict::Failed,
            None => Verdict::Faulty(AnswerFault::Malformed),
        }
    }

    /// The verdict on an error event within a stream.
    pub(super) fn stream_error(data: &str, record: &mut CallRecord) -> Verdict {
        let body: Value = serde_json::from_str(data).unwrap_or_default();
        let Some(code) = body["error"]["code"].as_str() else {
            return Verdict::Faulty(AnswerFault::Malformed);
        };
        record.error = Some(code.to_owned());
        Verdict::Failed
    }
}
