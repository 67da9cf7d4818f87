//! An attempt whose answer has begun.

use std::pin::Pin;
use std::sync::Arc;

use awc::error::PayloadError;
use bytes::Bytes;
use fulmargate_names::Incarnation;
use fulmargate_names::WeightsVersion;
use fulmargate_placement::ReplyStats;
use futures_util::Stream;
use futures_util::StreamExt;

use crate::attempt::AttemptHold;
use crate::attempt::engine_attempt::EngineHead;
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
    pub(crate) facts: ReplyStats,
    pub(crate) body: ServerBody,
    hold: Option<AttemptHold>,
}

impl OpenAttempt {
    pub(crate) fn new(
        attempt_id: String,
        server: Arc<ServerRoute>,
        head: EngineHead,
        hold: AttemptHold,
    ) -> OpenAttempt {
        OpenAttempt {
            attempt_id,
            server,
            incarnation: head.facts.incarnation,
            weights: head.weights,
            facts: head.facts,
            body: head.body,
            hold: Some(hold),
        }
    }

    /// The whole answer came.
    pub(crate) fn ended_well(&mut self) {
        if let Some(hold) = self.hold.take() {
            hold.ended_well();
        }
    }

    /// The connection broke before the whole answer came.
    pub(crate) fn broke(&mut self) {
        if let Some(hold) = self.hold.take() {
            hold.broke();
        }
    }

    /// The answer is not wanted any more: closes the connection, so that the server stops.
    pub(crate) fn cancel(&mut self) {
        self.body = futures_util::stream::empty().boxed_local();
        self.hold = None;
    }
}
