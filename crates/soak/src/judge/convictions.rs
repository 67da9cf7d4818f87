//! Requests that are refused as crashing servers.

use crate::judge::SoakJudge;
use crate::promise::Promise;
use crate::request_record::RequestEnd;
use crate::request_record::RequestRecord;

/// Error of a request that crashes servers, in the body of its rejection.
const CRASHING_CODE: &str = "crashing_request";

impl SoakJudge<'_> {
    /// Prompts that share parts with those that crash engines are not refused for it.
    pub(super) fn judge_refused_sound(&mut self) {
        let refused = self.evidence.refused_sound.clone();
        if let Some(first) = refused.first() {
            let detail =
                format!("{} prompts without a crashing part, first {first}", refused.len());
            self.note(Promise::InnocentRefused, detail);
        }
    }

    /// None of these requests crashes a server; those that do have callers of their own.
    pub(super) fn judge_conviction(&mut self, record: &RequestRecord) {
        let RequestEnd::Answered(response) = &record.end else { return };
        if response.body.contains(CRASHING_CODE) {
            let detail = format!("{} {:?} at router {}", record.id, record.kind, record.router);
            self.note(Promise::InnocentRefused, detail);
        }
    }
}
