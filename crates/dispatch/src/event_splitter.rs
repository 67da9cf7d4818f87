//! Splits a byte stream into complete server-sent events.

use crate::ContentEnd;

/// Upper bound on buffered bytes. Data of larger events is passed on unsplit.
const MAX_EVENT_BYTES: usize = 256 * 1024;
/// Upper bound on the bytes of a line that are kept to parse it. An id that does not fit is not used.
const MAX_PARSED_LINE_BYTES: usize = 1024;
/// UTF-8 byte order mark, which is allowed at the beginning of a stream only.
const BYTE_ORDER_MARK: &[u8] = &[0xef, 0xbb, 0xbf];

/// Buffers an event until it is complete, by the event stream format of the HTML standard: a line ends with a line
/// feed, a carriage return, or both, and an event with an empty line.
///
/// A server that crashes may cut its stream within an event. If the caller had already received that partial
/// event, another server could not resume the stream with a complete one.
#[derive(Debug, Default)]
pub struct EventSplitter {
    /// Bytes that were not returned yet.
    buffer: Vec<u8>,
    line: OpenLine,
    event: OpenEvent,
    /// The last byte was a carriage return, and a line feed would belong to the same line end.
    follows_cr: bool,
    part: StreamPart,
    last_id: Option<String>,
    events: u64,
    /// Complete events of this response alone.
    part_events: u64,
    /// A complete event without an id followed the last id.
    has_unnumbered: bool,
}

/// The line that has not ended yet.
#[derive(Debug, Default)]
struct OpenLine {
    /// Its first bytes.
    start: Vec<u8>,
    length: usize,
}

/// The event that is not complete yet.
#[derive(Debug, Default)]
struct OpenEvent {
    has_field: bool,
    has_data: bool,
    id: Option<String>,
    /// A part of it was returned, as it exceeds the buffer.
    is_returned: bool,
}

/// The response that is being read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct StreamPart {
    /// Bytes of a byte order mark read at its beginning; none once other bytes were read.
    order_mark: Option<usize>,
    /// It resumes a stream that has begun.
    is_resumed: bool,
}

impl Default for StreamPart {
    fn default() -> StreamPart {
        StreamPart { order_mark: Some(0), is_resumed: false }
    }
}

impl EventSplitter {
    /// Begins with a response that resumes a stream after the event with this id.
    pub fn resuming(last_id: Option<String>) -> EventSplitter {
        let mut splitter = EventSplitter { last_id, ..EventSplitter::default() };
        if splitter.last_id.is_some() {
            splitter.begin_resumed();
        }
        splitter
    }

    /// Adds received bytes and returns all complete events.
    pub fn push(&mut self, bytes: &[u8]) -> Vec<u8> {
        let mut complete_len = 0;
        for byte in bytes {
            self.push_byte(*byte);
            if self.is_between_events() {
                complete_len = self.buffer.len();
            }
        }
        if complete_len == 0 && MAX_EVENT_BYTES < self.buffer.len() {
            return self.release();
        }
        let partial = self.buffer.split_off(complete_len);
        std::mem::replace(&mut self.buffer, partial)
    }

    /// Returns the buffered bytes of the open event, if any. No other response can go on in its middle.
    pub fn release(&mut self) -> Vec<u8> {
        self.event.is_returned |= !self.buffer.is_empty();
        std::mem::take(&mut self.buffer)
    }

    /// Memory of the buffered bytes.
    pub fn held_bytes(&self) -> usize {
        self.buffer.capacity()
    }

    /// Returns the buffered bytes after the stream turned out to be complete.
    pub fn finish(&mut self) -> Vec<u8> {
        std::mem::take(&mut self.buffer)
    }

    /// Discards the buffered bytes after the stream was cut off, and begins with a response that resumes it.
    pub fn begin_resumed(&mut self) {
        self.buffer.clear();
        self.line = OpenLine::default();
        self.event = OpenEvent::default();
        self.follows_cr = false;
        self.part_events = 0;
        self.part = StreamPart { is_resumed: true, ..StreamPart::default() };
    }

    /// Where the bytes so far would end the stream.
    pub fn content_end(&self) -> ContentEnd {
        let is_comment = self.line.start.first() == Some(&b':');
        match self.line.length {
            _ if self.event.is_open() => ContentEnd::InsideEvent,
            0 if self.part_events == 0 => ContentEnd::NoEvent,
            0 => ContentEnd::BetweenEvents,
            _ if is_comment => ContentEnd::InsideComment,
            _ => ContentEnd::InsideEvent,
        }
    }

    /// Whether another response can go on exactly where the returned bytes end.
    pub fn can_resume(&self) -> bool {
        !self.event.is_returned && !self.has_unnumbered
    }

    /// Number of buffered bytes.
    pub fn partial_bytes(&self) -> usize {
        self.buffer.len()
    }

    /// Id of the last complete event that has one.
    pub fn last_id(&self) -> Option<&str> {
        self.last_id.as_deref()
    }

    /// Number of complete events so far.
    pub fn events(&self) -> u64 {
        self.events
    }

    fn push_byte(&mut self, byte: u8) {
        if self.skips_order_mark(byte) {
            return;
        }
        self.buffer.push(byte);
        let follows_cr = std::mem::replace(&mut self.follows_cr, byte == b'\r');
        match byte {
            b'\n' if follows_cr => {}
            b'\n' | b'\r' => self.end_line(),
            _ => self.line.push(byte),
        }
    }

    /// Takes a byte of a byte order mark. That of a resumed response is left out, as it would stand in the middle
    /// of the caller's stream.
    fn skips_order_mark(&mut self, byte: u8) -> bool {
        let Some(matched) = self.part.order_mark else { return false };
        if BYTE_ORDER_MARK.get(matched) == Some(&byte) {
            self.part.order_mark = Some(matched + 1);
            if !self.part.is_resumed {
                self.buffer.push(byte);
            }
            return true;
        }
        self.part.order_mark = None;
        if matched < BYTE_ORDER_MARK.len() {
            let other = &BYTE_ORDER_MARK[..matched];
            other.iter().for_each(|byte| self.line.push(*byte));
            if self.part.is_resumed {
                self.buffer.extend_from_slice(other);
            }
        }
        false
    }

    fn is_between_events(&self) -> bool {
        let is_in_order_mark = matches!(self.part.order_mark, Some(1 | 2));
        self.line.length == 0 && !self.event.is_open() && !is_in_order_mark
    }

    fn end_line(&mut self) {
        let line = std::mem::take(&mut self.line);
        match line.start.first() {
            None => self.end_event(),
            Some(b':') => {}
            Some(_) => self.event.add_field(&line),
        }
    }

    fn end_event(&mut self) {
        let event = std::mem::take(&mut self.event);
        if event.has_data || event.id.is_some() {
            self.events += 1;
            self.part_events += 1;
        }
        if event.id.is_some() {
            self.last_id = event.id;
            self.has_unnumbered = false;
        } else if event.has_data {
            self.has_unnumbered = true;
        }
    }
}

impl OpenLine {
    fn push(&mut self, byte: u8) {
        self.length += 1;
        if self.start.len() < MAX_PARSED_LINE_BYTES {
            self.start.push(byte);
        }
    }
}

impl OpenEvent {
    fn is_open(&self) -> bool {
        self.has_field || self.is_returned
    }

    fn add_field(&mut self, line: &OpenLine) {
        self.has_field = true;
        let mut parts = line.start.splitn(2, |byte| *byte == b':');
        let name = parts.next().unwrap_or_default();
        let value = parts.next().unwrap_or_default();
        let value = value.strip_prefix(b" ").unwrap_or(value);
        let is_parsed = line.start.len() == line.length;
        match name {
            b"data" => self.has_data = true,
            b"id" if is_parsed && !value.contains(&0) => {
                self.id = Some(String::from_utf8_lossy(value).into_owned());
            }
            _ => {}
        }
    }
}
