//! Splits a byte stream into complete server-sent events.

/// Upper bound on buffered bytes. Data of larger events is passed on unsplit.
const MAX_EVENT_BYTES: usize = 256 * 1024;

/// Buffers an event until it is complete.
///
/// A server that crashes may cut its stream within an event. If the caller had already received that partial
/// event, another server could not resume the stream with a complete one.
#[derive(Debug, Default)]
pub struct EventSplitter {
    partial: Vec<u8>,
    last_id: Option<String>,
    events: u64,
}

impl EventSplitter {
    /// Adds received bytes and returns all complete events.
    pub fn push(&mut self, bytes: &[u8]) -> Vec<u8> {
        self.partial.extend_from_slice(bytes);
        let Some(end) = complete_len(&self.partial) else {
            if MAX_EVENT_BYTES < self.partial.len() {
                return std::mem::take(&mut self.partial);
            }
            return Vec::new();
        };
        let partial = self.partial.split_off(end);
        let complete = std::mem::replace(&mut self.partial, partial);
        self.record_ids(&complete);
        complete
    }

    /// Returns the buffered bytes after the stream ended without an error.
    pub fn finish(&mut self) -> Vec<u8> {
        std::mem::take(&mut self.partial)
    }

    /// Discards the buffered bytes after the stream was cut off.
    pub fn discard_partial(&mut self) {
        self.partial.clear();
    }

    /// Number of buffered bytes.
    pub fn partial_bytes(&self) -> usize {
        self.partial.len()
    }

    /// Id of the last complete event that has one.
    pub fn last_id(&self) -> Option<&str> {
        self.last_id.as_deref()
    }

    /// Number of complete events with an id so far.
    pub fn events(&self) -> u64 {
        self.events
    }

    fn record_ids(&mut self, complete: &[u8]) {
        for line in complete.split(|byte| *byte == b'\n') {
            let line = line.strip_suffix(b"\r").unwrap_or(line);
            if line.is_empty() {
                continue;
            }
            let Some(id) = line.strip_prefix(b"id:") else { continue };
            self.events += 1;
            self.last_id = Some(String::from_utf8_lossy(id).trim().to_owned());
        }
    }
}

/// Length of the complete events at the beginning of `bytes`. An event ends with an empty line.
fn complete_len(bytes: &[u8]) -> Option<usize> {
    let mut end = None;
    for (index, byte) in bytes.iter().enumerate() {
        if *byte != b'\n' {
            continue;
        }
        let before = &bytes[..index];
        let before = before.strip_suffix(b"\r").unwrap_or(before);
        if before.ends_with(b"\n") {
            end = Some(index + 1);
        }
    }
    end
}
