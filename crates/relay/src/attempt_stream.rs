//! The stream of one attempt on its way to the caller.

use std::num::NonZeroUsize;

use bytes::Bytes;
use bytes::BytesMut;

use crate::ChunkWriter;
use crate::EventReader;
use crate::PassedEvent;
use crate::StreamFault;
use crate::StreamGuard;
use crate::StreamPlace;
use crate::StreamRest;
use crate::StreamState;
use crate::UsageChunk;

/// Reads, checks and writes the stream of one attempt. After a break a new one is made for the
/// next attempt, beginning with this one's place and usage.
pub struct AttemptStream {
    reader: EventReader,
    guard: StreamGuard,
    writer: ChunkWriter,
    /// The preface, until the first token comes: were it sent at once and the stream then begun
    /// again, the caller would get a second one.
    preface: BytesMut,
}

impl AttemptStream {
    /// `max_event_bytes` bounds one event, and with it the memory that a part of one takes.
    pub fn new(
        max_event_bytes: NonZeroUsize,
        attempt_id: &str,
        place: StreamPlace,
        usage: UsageChunk,
        writer: ChunkWriter,
    ) -> AttemptStream {
        AttemptStream {
            reader: EventReader::new(max_event_bytes),
            guard: StreamGuard::new(attempt_id, place, usage),
            writer,
            preface: BytesMut::new(),
        }
    }

    /// Takes a chunk of the engine's body and appends what the caller is to get. On a fault, `out`
    /// holds what came before it in good order: that is sent, and the connection closed. A fault
    /// after the end leaves the caller's stream whole.
    pub fn feed(
        &mut self,
        mut chunk: Bytes,
        out: &mut BytesMut,
    ) -> Result<StreamState, StreamFault> {
        while let Some(event) = self.reader.next_event(&mut chunk)? {
            match self.guard.pass(&event)? {
                PassedEvent::Preface { id_span } => {
                    self.preface.clear();
                    self.writer.write_extra(&event.data, id_span, &mut self.preface);
                }
                PassedEvent::Token { id_span } | PassedEvent::Closing { id_span } => {
                    out.extend_from_slice(&self.preface);
                    self.preface.clear();
                    self.writer.write_token(&event.data, id_span, self.guard.place(), out);
                }
                PassedEvent::Extra { id_span } => {
                    self.writer.write_extra(&event.data, id_span, out);
                }
                PassedEvent::Skipped => {}
                PassedEvent::Done => self.writer.write_done(out),
            }
        }
        Ok(self.guard.state())
    }

    /// Judges the end of the body, in good form or not: without the end of the stream it is a cut.
    pub fn end_of_body(&self) -> Result<(), StreamFault> {
        self.guard.end_of_body()
    }

    /// How far the stream has come.
    pub fn place(&self) -> StreamPlace {
        self.guard.place()
    }

    /// Whether the usage has passed.
    pub fn usage(&self) -> UsageChunk {
        self.guard.usage()
    }

    /// What remains to be sent to the caller.
    pub fn rest(&self) -> StreamRest {
        self.guard.rest()
    }

    /// Whether the end has come.
    pub fn state(&self) -> StreamState {
        self.guard.state()
    }
}
