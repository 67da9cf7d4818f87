//! A small reader of server-sent events, apart from the router's own so that it can judge it.

/// One event.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct SseEvent {
    /// The `id:` field.
    pub id: Option<String>,
    /// The `event:` field.
    pub name: Option<String>,
    /// The `data:` fields, joined by line breaks.
    pub data: String,
}

/// Cuts bytes into events.
#[derive(Debug, Default)]
pub struct SseReader {
    rest: Vec<u8>,
    event: SseEvent,
    has_data: bool,
}

impl SseReader {
    /// Takes bytes in and returns the events that they complete.
    pub fn read(&mut self, bytes: &[u8]) -> Vec<SseEvent> {
        self.rest.extend_from_slice(bytes);
        let mut events = Vec::new();
        let mut start = 0;
        while let Some(length) = self.rest[start..].iter().position(|byte| *byte == b'\n') {
            let line = String::from_utf8_lossy(&self.rest[start..start + length]).into_owned();
            start += length + 1;
            events.extend(self.read_line(line.trim_end_matches('\r')));
        }
        self.rest.drain(..start);
        events
    }

    /// Whether an event was begun and not ended.
    pub fn is_within_event(&self) -> bool {
        self.has_data || !self.rest.is_empty()
    }

    fn read_line(&mut self, line: &str) -> Option<SseEvent> {
        if line.is_empty() {
            let event = std::mem::take(&mut self.event);
            return std::mem::take(&mut self.has_data).then_some(event);
        }
        let (field, value) = line.split_once(':').unwrap_or((line, ""));
        let value = value.strip_prefix(' ').unwrap_or(value);
        match field {
            "id" => self.event.id = Some(value.to_owned()),
            "event" => self.event.name = Some(value.to_owned()),
            "data" => {
                if self.has_data {
                    self.event.data.push('\n');
                }
                self.event.data.push_str(value);
                self.has_data = true;
            }
            _ => {}
        }
        None
    }
}
