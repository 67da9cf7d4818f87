//! Reads server-sent events from the chunks of a body.

use std::borrow::Cow;
use std::num::NonZeroUsize;
use std::sync::Arc;

use bytes::Bytes;
use sse_core::SseDecoder;
use sse_core::SseEvent;

use crate::StreamFault;

/// Name of an event that gives none.
pub(crate) const UNNAMED: &str = "message";

/// One event of a stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StreamEvent {
    /// The last id given so far: as the standard has it, an event without an id keeps the one before.
    pub id: Option<Arc<str>>,
    /// The event's name, `message` when it gives none.
    pub name: Cow<'static, str>,
    /// The data lines, joined by line feeds.
    pub data: String,
}

/// Splits a body into events. Comments and reconnection times are left out.
#[derive(Debug)]
pub struct EventReader {
    decoder: SseDecoder,
}

impl EventReader {
    /// `max_bytes` bounds the id, the name and the data of one event, each by itself.
    pub fn new(max_bytes: NonZeroUsize) -> EventReader {
        EventReader { decoder: SseDecoder::with_limit(max_bytes) }
    }

    /// The next whole event, or `None` when `chunk` is used up; a part of an event is kept for the
    /// next chunk.
    pub fn next_event(&mut self, chunk: &mut Bytes) -> Result<Option<StreamEvent>, StreamFault> {
        while let Some(decoded) = self.decoder.next(chunk) {
            // The decoder drops an event over the bound and goes on with the next one, which would
            // show as a gap at best. The stream ends here instead.
            match decoded.map_err(|_| StreamFault::TooLong)? {
                SseEvent::Message(message) => {
                    let event = StreamEvent {
                        id: message.last_event_id,
                        name: message.event,
                        data: message.data,
                    };
                    return Ok(Some(event));
                }
                SseEvent::Retry(_) => continue,
            }
        }
        Ok(None)
    }
}
