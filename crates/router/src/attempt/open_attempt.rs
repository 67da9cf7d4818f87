//! An attempt whose answer has begun.

use std::pin::Pin;
use std::sync::Arc;

use awc::error::PayloadError;
use bytes::Bytes;
use fulmargate_names::Incarnation;
use fulmargate_names::WeightsVersion;
use futures_util::Stream;

use crate::state::ServerRoute;

/// The body of a server's answer. Dropping it unread closes the connection, so that an answer that
/// comes late can never be taken for another request's.
pub(crate) type ServerBody = Pin<Box<dyn Stream<Item = Result<Bytes, PayloadError>>>>;

/// An attempt whose answer has begun and is the one that was asked for.
pub(crate) struct OpenAttempt {
    pub(crate) attempt_id: String,
    pub(crate) server: Arc<ServerRoute>,
    pub(crate) incarnation: Incarnation,
    pub(crate) weights: WeightsVersion,
    pub(crate) facts: ReplyFacts,
    pub(crate) body: ServerBody,
}

/// What the answer's headers tell of the engine.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct ReplyFacts {
    pub(crate) prompt_tokens: Option<u64>,
    pub(crate) cached_tokens: Option<u64>,
    pub(crate) queue_tokens: Option<u64>,
    pub(crate) running: Option<u64>,
}
