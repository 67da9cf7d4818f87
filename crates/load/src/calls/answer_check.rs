//! Checks a streamed answer token by token.

use std::ops::RangeInclusive;

use fulmargate_stand::token::token_text;
use serde::Deserialize;

use super::call_record::AnswerFault;
use super::sse_reader::SseEvent;

const END_OF_STREAM: &str = "[DONE]";

/// What an answer must be.
#[derive(Clone, Debug)]
pub struct ExpectedAnswer {
    /// The caller's request id.
    pub request_id: String,
    /// Hash of model and prompt, from which the tokens follow.
    pub prompt_hash: u64,
    /// Tokens of the whole answer.
    pub tokens: usize,
    /// Weights versions that may answer.
    pub weights: RangeInclusive<u64>,
}

impl ExpectedAnswer {
    /// Whether an answer's id is that of this request or of one of its attempts.
    pub fn is_own_id(&self, id: &str) -> bool {
        match id.strip_prefix(self.request_id.as_str()) {
            Some("") => true,
            Some(attempt) => {
                attempt.strip_prefix('.').is_some_and(|number| number.parse::<u32>().is_ok())
            }
            None => false,
        }
    }
}

#[derive(Deserialize)]
struct ChunkBody {
    id: Option<String>,
    #[serde(default)]
    choices: Vec<ChunkChoice>,
    usage: Option<UsageBody>,
}

#[derive(Deserialize)]
struct ChunkChoice {
    #[serde(default)]
    delta: DeltaBody,
    text: Option<String>,
    finish_reason: Option<String>,
}

#[derive(Default, Deserialize)]
struct DeltaBody {
    content: Option<String>,
}

#[derive(Deserialize)]
struct UsageBody {
    prompt_tokens: usize,
    completion_tokens: usize,
    prompt_tokens_details: Option<UsageDetails>,
}

#[derive(Deserialize)]
struct UsageDetails {
    cached_tokens: usize,
}

/// The state of a check; it lives on when the stream is resumed at another router.
#[derive(Debug)]
pub struct AnswerCheck {
    expected: ExpectedAnswer,
    weights: Option<u64>,
    tokens: usize,
    finished: bool,
    done: bool,
    prompt_tokens: usize,
    cached_tokens: usize,
    last_id: Option<String>,
}

impl AnswerCheck {
    /// A check before the first event.
    pub fn new(expected: ExpectedAnswer) -> AnswerCheck {
        AnswerCheck {
            expected,
            weights: None,
            tokens: 0,
            finished: false,
            done: false,
            prompt_tokens: 0,
            cached_tokens: 0,
            last_id: None,
        }
    }

    /// Tokens seen so far.
    pub fn tokens(&self) -> usize {
        self.tokens
    }

    /// Whether `[DONE]` was seen.
    pub fn is_done(&self) -> bool {
        self.done
    }

    /// Prompt tokens and cached ones of them, as the usage chunk says.
    pub fn usage(&self) -> (usize, usize) {
        (self.prompt_tokens, self.cached_tokens)
    }

    /// Id of the last token event, from which the stream can be resumed.
    pub fn last_id(&self) -> Option<&str> {
        self.last_id.as_deref()
    }

    /// What the answer must be.
    pub fn expected(&self) -> &ExpectedAnswer {
        &self.expected
    }

    /// Takes one event in.
    pub fn take(&mut self, event: &SseEvent) -> Result<(), AnswerFault> {
        if self.done {
            return Err(AnswerFault::Malformed);
        }
        if event.data == END_OF_STREAM {
            return self.take_end();
        }
        let chunk: ChunkBody =
            serde_json::from_str(&event.data).map_err(|_| AnswerFault::Malformed)?;
        if !chunk.id.as_deref().is_some_and(|id| self.expected.is_own_id(id)) {
            return Err(AnswerFault::Crossed);
        }
        let before = self.tokens;
        for choice in &chunk.choices {
            let text = choice.delta.content.as_deref().or(choice.text.as_deref());
            self.take_text(text.unwrap_or_default())?;
            self.finished |= choice.finish_reason.is_some();
        }
        if before < self.tokens {
            self.last_id.clone_from(&event.id);
        }
        chunk.usage.map_or(Ok(()), |usage| self.take_usage(&usage))
    }

    fn take_end(&mut self) -> Result<(), AnswerFault> {
        self.done = true;
        if self.tokens < self.expected.tokens {
            return Err(AnswerFault::Gap);
        }
        match self.finished && 0 < self.prompt_tokens {
            true => Ok(()),
            false => Err(AnswerFault::Malformed),
        }
    }

    fn take_usage(&mut self, usage: &UsageBody) -> Result<(), AnswerFault> {
        let cached =
            usage.prompt_tokens_details.as_ref().map_or(0, |details| details.cached_tokens);
        let is_sound =
            usage.completion_tokens == self.expected.tokens && cached <= usage.prompt_tokens;
        self.prompt_tokens = usage.prompt_tokens;
        self.cached_tokens = cached;
        is_sound.then_some(()).ok_or(AnswerFault::Malformed)
    }

    fn take_text(&mut self, mut text: &str) -> Result<(), AnswerFault> {
        while !text.is_empty() {
            let index = self.tokens;
            if self.weights.is_none() {
                self.weights = Some(self.weights_of(text)?);
            }
            let Some(rest) = text.strip_prefix(self.token(index).as_str()) else {
                return Err(self.fault_of(text, index));
            };
            self.tokens += 1;
            text = rest;
        }
        Ok(())
    }

    fn token(&self, index: usize) -> String {
        token_text(self.weights.unwrap_or_default(), self.expected.prompt_hash, index)
    }

    /// The weights version whose first token this is.
    fn weights_of(&self, text: &str) -> Result<u64, AnswerFault> {
        let made_by =
            |weights: &u64| text.starts_with(&token_text(*weights, self.expected.prompt_hash, 0));
        if let Some(weights) = self.expected.weights.clone().find(made_by) {
            return Ok(weights);
        }
        let oldest = *self.expected.weights.start();
        match (0..oldest).any(|weights| made_by(&weights)) {
            true => Err(AnswerFault::Stale),
            false => Err(self.fault_of_other_index(text).unwrap_or(AnswerFault::Foreign)),
        }
    }

    /// Why this text is not the token of this index.
    fn fault_of(&self, text: &str, index: usize) -> AnswerFault {
        let newest = *self.expected.weights.end();
        let is_of_other_weights = (0..=newest).any(|weights| {
            text.starts_with(&token_text(weights, self.expected.prompt_hash, index))
        });
        if is_of_other_weights {
            return AnswerFault::Stale;
        }
        let earlier = (0..index).any(|earlier| text.starts_with(&self.token(earlier)));
        if earlier {
            return AnswerFault::Repeated;
        }
        let later =
            (index + 1..self.expected.tokens).any(|later| text.starts_with(&self.token(later)));
        if later { AnswerFault::Gap } else { AnswerFault::Foreign }
    }

    fn fault_of_other_index(&self, text: &str) -> Option<AnswerFault> {
        let ExpectedAnswer { prompt_hash, tokens, weights, .. } = &self.expected;
        weights
            .clone()
            .flat_map(|weights| {
                (1..*tokens).map(move |index| token_text(weights, *prompt_hash, index))
            })
            .any(|token| text.starts_with(&token))
            .then_some(AnswerFault::Gap)
    }
}
