//! What became of one call.

use std::time::Duration;

use fulmargate_names::Disposition;
use fulmargate_stand::deployment::TeamClass;
use serde::Serialize;

use crate::workload::CallKind;
use crate::workload::PlannedCall;

/// What was wrong with an answer, or with what a refusal said. All of them are to be 0.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum AnswerFault {
    /// The stream ended as if whole, without `[DONE]` and without an error event.
    Truncated,
    /// No answer and no typed error, after all tries.
    Lost,
    /// A token is missing.
    Gap,
    /// A token came twice.
    Repeated,
    /// The answer names another request.
    Crossed,
    /// The answer was made by weights that were no longer in force.
    Stale,
    /// The tokens belong to no answer of this prompt, or the engine used cached tokens that this
    /// team had not sent.
    Foreign,
    /// The answer could not be read, or lacks what each answer must carry.
    Malformed,
    /// One key had more than one effect.
    Doubled,
    /// The answer said `ran`, and there is no effect.
    NoEffect,
    /// The answer said `not-run`, and there is an effect.
    FalseNotRun,
    /// A server that had been leaving for more than the grace was given the call.
    LateWork,
}

/// How a call ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Verdict {
    /// Answered whole.
    Whole,
    /// A typed error that says that nothing ran.
    Refused,
    /// Another typed error.
    Failed,
    /// Something that must never happen.
    Faulty(AnswerFault),
}

/// One send of a key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct KeySend {
    /// When it was sent, from the start of the run.
    pub began: Duration,
    /// When its answer had come.
    pub ended: Duration,
    /// What the answer said.
    pub disposition: Option<Disposition>,
}

/// All sends of one idempotency key.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct KeyHistory {
    /// The key.
    pub key: String,
    /// Its sends.
    pub sends: Vec<KeySend>,
}

impl KeyHistory {
    /// Judges what was said of the key by the number of its effects.
    ///
    /// `not-run` is false if it was said of all sends and there is an effect, or if it was said of
    /// a send that began after another one's `ran` had come. A first `not-run` before a second
    /// send that ran is true.
    pub fn fault(&self, effects: u64) -> Option<AnswerFault> {
        if 1 < effects {
            return Some(AnswerFault::Doubled);
        }
        let said = |disposition| {
            self.sends.iter().filter(move |send| send.disposition == Some(disposition))
        };
        let first_ran = said(Disposition::Ran).map(|send| send.ended).min();
        if first_ran.is_some() && effects == 0 {
            return Some(AnswerFault::NoEffect);
        }
        let only_not_run =
            !self.sends.is_empty() && said(Disposition::NotRun).count() == self.sends.len();
        let denied =
            said(Disposition::NotRun).any(|send| first_ran.is_some_and(|ran| ran < send.began));
        (denied || (only_not_run && 0 < effects)).then_some(AnswerFault::FalseNotRun)
    }
}

/// What is kept of one call.
#[derive(Clone, Debug)]
pub struct CallRecord {
    /// Number within the plan.
    pub number: u32,
    /// Index of the team.
    pub team: usize,
    /// Class of the team.
    pub class: TeamClass,
    /// When it was to be sent, from the start of the run.
    pub at: Duration,
    /// How much later than planned the tool sent it.
    pub sent_late: Duration,
    /// Whether a model was called, and not the plain service.
    pub is_prompt: bool,
    /// How it ended.
    pub verdict: Verdict,
    /// What the last answer said of the call.
    pub disposition: Option<Disposition>,
    /// Code of the typed error.
    pub error: Option<String>,
    /// The backend server named by the last answer.
    pub server: Option<String>,
    /// From the planned time to the first token, so that a late sender hides no wait.
    pub first_token: Option<Duration>,
    /// The same to the first token of the server that ended the stream: a router that moves a
    /// stream passes on the token counts of the last one.
    pub last_server_token: Option<Duration>,
    /// Times between tokens.
    pub token_gaps: Vec<Duration>,
    /// From the planned time to the end.
    pub took: Duration,
    /// Tokens of the prompt, as the answer says.
    pub prompt_tokens: usize,
    /// Those of them that the engine had cached.
    pub cached_tokens: usize,
    /// How many times the caller sent again or resumed after a broken connection.
    pub tries_again: u32,
    /// The sends of a call that may not be repeated.
    pub key: Option<KeyHistory>,
}

impl CallRecord {
    /// The record of a call that has not been answered.
    pub fn new(call: &PlannedCall) -> CallRecord {
        CallRecord {
            number: call.number,
            team: call.team(),
            class: call.class,
            at: call.at,
            sent_late: Duration::ZERO,
            is_prompt: matches!(call.kind, CallKind::Prompt(_)),
            verdict: Verdict::Faulty(AnswerFault::Lost),
            disposition: None,
            error: None,
            server: None,
            first_token: None,
            last_server_token: None,
            token_gaps: Vec::new(),
            took: Duration::ZERO,
            prompt_tokens: 0,
            cached_tokens: 0,
            tries_again: 0,
            key: None,
        }
    }
}
