//! One model request.

use std::sync::Arc;

use actix_web::http::Uri;
use bytes::Bytes;
use fulmargate_admission::Fingerprint;
use fulmargate_admission::RequestClass;
use fulmargate_config::TeamEntry;
use fulmargate_names::ModelName;
use fulmargate_names::RequestId;
use fulmargate_names::TeamName;
use fulmargate_placement::ClassWeights;
use fulmargate_placement::PromptChain;
use fulmargate_relay::TokenBinding;
use fulmargate_relay::UsageChunk;
use tokio::time::Instant;

/// One model request, from its arrival to its end.
pub(crate) struct EngineCall {
    pub(crate) request_id: RequestId,
    pub(crate) team: TeamName,
    pub(crate) entry: Arc<TeamEntry>,
    pub(crate) model: ModelName,
    pub(crate) class: RequestClass,
    pub(crate) weights: ClassWeights,
    pub(crate) path: Uri,
    pub(crate) body: Bytes,
    pub(crate) streams: bool,
    pub(crate) usage: UsageChunk,
    pub(crate) binding: TokenBinding,
    pub(crate) print: Fingerprint,
    pub(crate) cache_scope: String,
    pub(crate) chain: PromptChain,
    pub(crate) arrived: Instant,
}

impl EngineCall {
    /// When the first token must be there.
    pub(crate) fn deadline(&self) -> Instant {
        self.class.deadline
    }
}
