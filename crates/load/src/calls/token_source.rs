//! Which life of a backend server a token came from.

use fulmargate_names::Incarnation;
use fulmargate_names::ServerName;
use fulmargate_relay::ResumeToken;

/// A backend server between two of its starts: what it has cached in one is gone in the next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct TokenSource {
    server: ServerName,
    incarnation: Incarnation,
}

impl TokenSource {
    /// What a router's event id says; `None` for an engine's own event, whose id is a number.
    pub(super) fn of(event_id: &str) -> Option<TokenSource> {
        let ResumeToken { server, incarnation, .. } = ResumeToken::peek(event_id)?;
        Some(TokenSource { server, incarnation })
    }
}
