//! Checks that a stream is the attempt's own, in order and whole.

use std::ops::Range;

use crate::StreamEvent;
use crate::StreamFault;
use crate::StreamPlace;
use crate::StreamRest;
use crate::UsageChunk;
use crate::chunk_content::is_empty_chunk;
use crate::chunk_head::ChoiceState;
use crate::chunk_head::ChunkHead;
use crate::chunk_head::ErrorState;
use crate::event_reader::UNNAMED;

/// Data of the event that ends a stream.
pub(crate) const DONE: &str = "[DONE]";
const ERROR_EVENT: &str = "error";
const MAX_SHOWN_ID: usize = 80;

/// What an event that passed is.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PassedEvent {
    /// A chunk before the first token, such as one that gives only the role.
    Preface {
        /// Where the chunk's id stands in the data, with its quotes.
        id_span: Range<usize>,
    },
    /// The token that was due.
    Token {
        /// Where the chunk's id stands in the data, with its quotes.
        id_span: Range<usize>,
    },
    /// The chunk that finishes the answer, when it brings no token.
    Closing {
        /// Where the chunk's id stands in the data, with its quotes.
        id_span: Range<usize>,
    },
    /// A chunk without a token, such as the usage.
    Extra {
        /// Where the chunk's id stands in the data, with its quotes.
        id_span: Range<usize>,
    },
    /// Nothing that the caller has not had already.
    Skipped,
    /// The end.
    Done,
}

/// Whether the end has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StreamState {
    /// More is due.
    Open,
    /// The end has come.
    Done,
}

/// Checks one stream of one attempt, from the first token wanted on.
#[derive(Debug)]
pub struct StreamGuard {
    attempt_id: String,
    quoted_id: String,
    start: StreamPlace,
    place: StreamPlace,
    usage: UsageChunk,
    state: StreamState,
}

impl StreamGuard {
    /// `place` is where the stream has to begin: the default for a new one.
    pub fn new(attempt_id: &str, place: StreamPlace, usage: UsageChunk) -> StreamGuard {
        StreamGuard {
            attempt_id: attempt_id.to_owned(),
            quoted_id: quote(attempt_id),
            start: place,
            place,
            usage,
            state: StreamState::Open,
        }
    }

    /// How far the stream has come.
    pub fn place(&self) -> StreamPlace {
        self.place
    }

    /// Whether the usage has passed.
    pub fn usage(&self) -> UsageChunk {
        self.usage
    }

    /// What remains to be sent to the caller.
    pub fn rest(&self) -> StreamRest {
        StreamRest::at(self.place, self.usage)
    }

    /// Whether the end has come.
    pub fn state(&self) -> StreamState {
        self.state
    }

    /// Judges the next event.
    pub fn pass(&mut self, event: &StreamEvent) -> Result<PassedEvent, StreamFault> {
        if self.state == StreamState::Done {
            return Err(StreamFault::AfterDone);
        }
        match &*event.name {
            UNNAMED => {}
            ERROR_EVENT => return Err(StreamFault::ServerError),
            _ => return Err(StreamFault::Unreadable),
        }
        if event.data == DONE {
            return self.pass_done();
        }
        let head = ChunkHead::parse(&event.data).map_err(|_| StreamFault::Unreadable)?;
        if head.error == ErrorState::Present {
            return Err(StreamFault::ServerError);
        }
        let id_span = self.check_id(&event.data, &head)?;
        if head.choices == ChoiceState::Absent {
            self.pass_extra();
            return Ok(PassedEvent::Extra { id_span });
        }
        match self.check_index(event) {
            Ok(place) => {
                self.place = place;
                if head.choices == ChoiceState::Finished {
                    self.place = place.finished();
                }
                Ok(PassedEvent::Token { id_span })
            }
            Err(_) if self.adds_no_token(event) && is_empty_chunk(&event.data) => {
                Ok(self.pass_empty(head.choices, id_span))
            }
            Err(fault) => Err(fault),
        }
    }

    /// Judges the end of the body: without the end of the stream it is a cut.
    pub fn end_of_body(&self) -> Result<(), StreamFault> {
        match self.state {
            StreamState::Open => Err(StreamFault::Cut),
            StreamState::Done => Ok(()),
        }
    }

    fn pass_extra(&mut self) {
        if self.place.is_finished() && self.usage == UsageChunk::Due {
            self.usage = UsageChunk::Passed;
        }
    }

    /// Some engines begin with a chunk that gives only the role and end with one that gives only the
    /// reason for finishing. A resumed stream would bring them a second time.
    fn pass_empty(&mut self, choices: ChoiceState, id_span: Range<usize>) -> PassedEvent {
        if choices == ChoiceState::Finished && !self.start.is_finished() {
            self.place = self.place.finished();
            return PassedEvent::Closing { id_span };
        }
        if choices == ChoiceState::Going && self.place.next_index() == 0 {
            return PassedEvent::Preface { id_span };
        }
        PassedEvent::Skipped
    }

    /// An engine that fails in the middle may still close its stream properly. The caller
    /// would take a part for the whole, so the end counts only after a reason for finishing.
    fn pass_done(&mut self) -> Result<PassedEvent, StreamFault> {
        if !self.place.is_finished() {
            return Err(StreamFault::Unfinished);
        }
        self.state = StreamState::Done;
        Ok(PassedEvent::Done)
    }

    /// A late or crossed answer brings chunks of another attempt on this attempt's connection; the
    /// caller would read another request's text. Attempt ids are never used twice, so the id tells.
    fn check_id(&self, data: &str, head: &ChunkHead<'_>) -> Result<Range<usize>, StreamFault> {
        let raw = head.id.ok_or(StreamFault::Unreadable)?.get();
        if raw != self.quoted_id && !self.is_escaped_id(raw) {
            let found = raw.trim_matches('"').chars().take(MAX_SHOWN_ID).collect();
            return Err(StreamFault::Crossed { found });
        }
        // The id borrows from the data, so the distance of the two is its position.
        let start = raw.as_ptr() as usize - data.as_ptr() as usize;
        Ok(start..start + raw.len())
    }

    /// The same id can be written with escapes.
    fn is_escaped_id(&self, raw: &str) -> bool {
        raw.contains('\\')
            && serde_json::from_str(raw).is_ok_and(|id: String| id == self.attempt_id)
    }

    /// A chunk without an id of its own shows that of the last token, or none before the first.
    fn adds_no_token(&self, event: &StreamEvent) -> bool {
        let Some(id) = event.id.as_deref() else {
            return true;
        };
        id.parse().is_ok_and(|found: u32| found.checked_add(1) == Some(self.place.next_index()))
    }

    /// An event without an id keeps the id before it, so an unnumbered token shows as a repeat, or
    /// as unnumbered when it is the first.
    fn check_index(&self, event: &StreamEvent) -> Result<StreamPlace, StreamFault> {
        let id = event.id.as_deref().ok_or(StreamFault::Unnumbered)?;
        let found: u32 = id.parse().map_err(|_| StreamFault::Unnumbered)?;
        let wanted = self.place.next_index();
        if found < wanted {
            return Err(StreamFault::Repeat { wanted, found });
        }
        if wanted < found {
            return Err(StreamFault::Gap { wanted, found });
        }
        StreamPlace::before(found + 1).ok_or(StreamFault::TooLong)
    }
}

/// The text as JSON writes it, with quotes.
pub(crate) fn quote(text: &str) -> String {
    serde_json::Value::from(text).to_string()
}
