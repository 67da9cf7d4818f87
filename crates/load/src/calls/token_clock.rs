//! When the tokens of one send came, and from which life of a server.

use tokio::time::Instant;

use super::call_record::CallRecord;
use super::sse_reader::SseEvent;
use super::token_source::TokenSource;

/// Notes the times of a stream's tokens in the record of its call.
#[derive(Debug)]
pub(super) struct TokenClock {
    planned: Instant,
    last: Option<Instant>,
    source: Option<TokenSource>,
}

impl TokenClock {
    /// A clock before the first token of a send; the call was planned for this time.
    pub(super) fn new(planned: Instant) -> TokenClock {
        TokenClock { planned, last: None, source: None }
    }

    /// Notes that the token of an event has come.
    pub(super) fn note(&mut self, event: &SseEvent, record: &mut CallRecord) {
        let now = Instant::now();
        let since_planned = now.saturating_duration_since(self.planned);
        let last = self.last.replace(now);
        if self.has_moved(event) || last.is_none() {
            record.last_server_token = Some(since_planned);
        }
        match last {
            Some(last) => record.token_gaps.push(now - last),
            None => {
                record.first_token.get_or_insert(since_planned);
            }
        }
    }

    /// Whether the token is of another life than the one before; an event that names none is of
    /// the same.
    fn has_moved(&mut self, event: &SseEvent) -> bool {
        let Some(source) = event.id.as_deref().and_then(TokenSource::of) else { return false };
        let last = self.source.replace(source);
        last.is_some() && last != self.source
    }
}
