//! Judges what a caller got, for tests and load clients.

use std::num::NonZeroUsize;

use bytes::Bytes;
use derive_more::Display;
use serde::Deserialize;

use crate::EventReader;
use crate::ResumeToken;
use crate::StreamEvent;
use crate::stream_guard::DONE;

const MAX_EVENT_BYTES: NonZeroUsize = NonZeroUsize::new(1 << 20).expect("not zero");
const ERROR_EVENT: &str = "error";

/// What became of a caller's stream.
#[derive(Clone, Debug, PartialEq, Eq, Display)]
pub enum StreamVerdict {
    /// Every token once and in order, finished, and ended.
    #[display("whole")]
    Whole,
    /// In order so far, and ended by an error event with this code.
    #[display("ended by {code}")]
    Ended {
        /// The error's code.
        code: String,
    },
    /// In order so far, and neither ended nor explained.
    #[display("cut")]
    Cut,
    /// Not what a caller may ever see.
    #[display("broken: {flaw}")]
    Broken {
        /// The first thing wrong.
        flaw: StreamFlaw,
    },
}

/// What a caller must never see.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
pub enum StreamFlaw {
    /// An event that cannot be read.
    #[display("an event cannot be read")]
    Unreadable,
    /// A token event whose id is no resume token.
    #[display("a token has no resume token")]
    Unnumbered,
    /// A chunk or token of another request.
    #[display("a chunk of another request")]
    OtherRequest,
    /// Another weights version than the first token's.
    #[display("the weights changed")]
    WeightsChanged,
    /// A token that was not due: one is missing or came again.
    #[display("token {found} came, {wanted} was due")]
    Disordered {
        /// The index that was due.
        wanted: u32,
        /// The index that came.
        found: u32,
    },
    /// The end without a reason for finishing.
    #[display("ended without being finished")]
    Unfinished,
    /// An event after the end.
    #[display("an event came after the end")]
    AfterEnd,
}

/// Reads a caller's stream, over all the connections it took, and judges it.
#[derive(Debug)]
pub struct StreamTranscript {
    reader: EventReader,
    request_id: Option<String>,
    last_token: Option<String>,
    last_claims: Option<ResumeToken>,
    text: String,
    /// The verdict if nothing more comes.
    verdict: StreamVerdict,
}

impl Default for StreamTranscript {
    fn default() -> StreamTranscript {
        StreamTranscript::new()
    }
}

impl StreamTranscript {
    /// Nothing has come yet.
    pub fn new() -> StreamTranscript {
        StreamTranscript {
            reader: EventReader::new(MAX_EVENT_BYTES),
            request_id: None,
            last_token: None,
            last_claims: None,
            text: String::new(),
            verdict: StreamVerdict::Cut,
        }
    }

    /// The caller comes again with [`StreamTranscript::last_token`]: a part of an event is
    /// forgotten, and an error event is no longer the end.
    pub fn reconnect(&mut self) {
        self.reader = EventReader::new(MAX_EVENT_BYTES);
        if matches!(self.verdict, StreamVerdict::Ended { .. }) {
            self.verdict = StreamVerdict::Cut;
        }
    }

    /// Takes bytes of the answer's body.
    pub fn feed(&mut self, bytes: &[u8]) {
        let mut chunk = Bytes::copy_from_slice(bytes);
        loop {
            match self.reader.next_event(&mut chunk) {
                Ok(Some(event)) => self.judge(&event),
                Ok(None) => return,
                Err(_) => return self.mark(StreamFlaw::Unreadable),
            }
        }
    }

    /// The verdict if nothing more comes.
    pub fn verdict(&self) -> &StreamVerdict {
        &self.verdict
    }

    /// The event id to resume with.
    pub fn last_token(&self) -> Option<&str> {
        self.last_token.as_deref()
    }

    /// What the last event id says.
    pub fn last_claims(&self) -> Option<&ResumeToken> {
        self.last_claims.as_ref()
    }

    /// The answer's text so far.
    pub fn text(&self) -> &str {
        &self.text
    }

    fn judge(&mut self, event: &StreamEvent) {
        let judged = match self.verdict {
            StreamVerdict::Broken { .. } => return,
            StreamVerdict::Whole | StreamVerdict::Ended { .. } => Err(StreamFlaw::AfterEnd),
            StreamVerdict::Cut => self.judge_open(event),
        };
        if let Err(flaw) = judged {
            self.mark(flaw);
        }
    }

    fn judge_open(&mut self, event: &StreamEvent) -> Result<(), StreamFlaw> {
        if event.data == DONE {
            let claims = self.last_claims.as_ref().ok_or(StreamFlaw::Unfinished)?;
            if !claims.place.is_finished() {
                return Err(StreamFlaw::Unfinished);
            }
            self.verdict = StreamVerdict::Whole;
            return Ok(());
        }
        if event.name == ERROR_EVENT {
            let body: ErrorEnvelope = parse(&event.data)?;
            self.verdict = StreamVerdict::Ended { code: body.error.code };
            return Ok(());
        }
        let chunk: CallerChunk = parse(&event.data)?;
        self.check_request(&chunk.id)?;
        if !chunk.choices.is_empty() && !self.is_preface(event, &chunk) {
            self.check_token(event, &chunk)?;
            self.text.extend(chunk.choices.iter().map(ChunkChoice::text));
        }
        Ok(())
    }

    fn check_request(&mut self, id: &str) -> Result<(), StreamFlaw> {
        let first = self.request_id.get_or_insert_with(|| id.to_owned());
        if first == id { Ok(()) } else { Err(StreamFlaw::OtherRequest) }
    }

    /// A chunk that gives only the role, and has no event id of its own.
    fn is_preface(&self, event: &StreamEvent, chunk: &CallerChunk) -> bool {
        chunk.is_empty() && !chunk.finishes() && event.id.as_deref() == self.last_token()
    }

    fn check_token(&mut self, event: &StreamEvent, chunk: &CallerChunk) -> Result<(), StreamFlaw> {
        let token = event.id.as_deref().ok_or(StreamFlaw::Unnumbered)?;
        let claims = ResumeToken::peek(token).ok_or(StreamFlaw::Unnumbered)?;
        let wanted = self.last_claims.as_ref().map_or(0, |last| last.place.next_index());
        let found = claims.place.next_index();
        let finishes = chunk.finishes();
        // An event id stands after its token, so the first one says 1; a closing chunk brings none.
        let is_closing = finishes && chunk.is_empty() && found == wanted;
        if !is_closing && found != wanted + 1 {
            return Err(StreamFlaw::Disordered { wanted, found: found.saturating_sub(1) });
        }
        if claims.request_id.as_str() != chunk.id {
            return Err(StreamFlaw::OtherRequest);
        }
        if self.last_claims.as_ref().is_some_and(|last| last.weights != claims.weights) {
            return Err(StreamFlaw::WeightsChanged);
        }
        if finishes != claims.place.is_finished() {
            return Err(StreamFlaw::Unfinished);
        }
        self.last_token = Some(token.to_owned());
        self.last_claims = Some(claims);
        Ok(())
    }

    /// The first flaw stays.
    fn mark(&mut self, flaw: StreamFlaw) {
        if !matches!(self.verdict, StreamVerdict::Broken { .. }) {
            self.verdict = StreamVerdict::Broken { flaw };
        }
    }
}

fn parse<'a, T: Deserialize<'a>>(data: &'a str) -> Result<T, StreamFlaw> {
    serde_json::from_str(data).map_err(|_| StreamFlaw::Unreadable)
}

#[derive(Deserialize)]
struct CallerChunk {
    id: String,
    #[serde(default)]
    choices: Vec<ChunkChoice>,
}

#[derive(Deserialize)]
struct ChunkChoice {
    text: Option<String>,
    delta: Option<ChunkDelta>,
    finish_reason: Option<String>,
}

impl CallerChunk {
    fn is_empty(&self) -> bool {
        self.choices.iter().all(|choice| choice.text().is_empty())
    }

    fn finishes(&self) -> bool {
        self.choices.iter().any(|choice| choice.finish_reason.is_some())
    }
}

impl ChunkChoice {
    fn text(&self) -> &str {
        let content = || self.delta.as_ref()?.content.as_deref();
        self.text.as_deref().or_else(content).unwrap_or_default()
    }
}

#[derive(Deserialize)]
struct ChunkDelta {
    content: Option<String>,
}

#[derive(Deserialize)]
struct ErrorEnvelope {
    error: ErrorCode,
}

#[derive(Deserialize)]
struct ErrorCode {
    code: String,
}
