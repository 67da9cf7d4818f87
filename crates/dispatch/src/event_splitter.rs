//! Whole events out of a stream's bytes.

/// An event may take so many bytes; a stream that exceeds it is passed on as it comes.
const MOST_EVENT_BYTES: usize = 256 * 1024;

/// Holds back the beginning of an event until its end has come.
///
/// A server that crashes may cut its stream within an event. If the caller already had that
/// beginning, the event that another server sends instead could not follow it.
#[derive(Debug, Default)]
pub struct EventSplitter {
    rest: Vec<u8>,
    last_id: Option<String>,
    events: u64,
}

impl EventSplitter {
    /// Takes in bytes and returns those of all events that are whole now.
    pub fn push(&mut self, bytes: &[u8]) -> Vec<u8> {
        self.rest.extend_from_slice(bytes);
        let Some(end) = whole_end(&self.rest) else {
            if MOST_EVENT_BYTES < self.rest.len() {
                return std::mem::take(&mut self.rest);
            }
            return Vec::new();
        };
        let rest = self.rest.split_off(end);
        let whole = std::mem::replace(&mut self.rest, rest);
        self.note(&whole);
        whole
    }

    /// The stream has ended properly: what is left belongs to it, too.
    pub fn finish(&mut self) -> Vec<u8> {
        std::mem::take(&mut self.rest)
    }

    /// The stream broke: what is left of it is not passed on.
    pub fn drop_rest(&mut self) {
        self.rest.clear();
    }

    /// Id of the last whole event.
    pub fn last_id(&self) -> Option<&str> {
        self.last_id.as_deref()
    }

    /// Whole events so far.
    pub fn events(&self) -> u64 {
        self.events
    }

    fn note(&mut self, whole: &[u8]) {
        for line in whole.split(|byte| *byte == b'\n') {
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

/// Length of the whole events at the beginning; an event ends with an empty line.
fn whole_end(bytes: &[u8]) -> Option<usize> {
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
