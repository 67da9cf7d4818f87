//! One model request.

use actix_web::http::Uri;
use bytes::Bytes;
use fulmargate_names::ClassName;
use fulmargate_names::ModelName;
use fulmargate_names::RequestId;
use fulmargate_names::TeamName;
use fulmargate_relay::TokenBinding;
use fulmargate_relay::UsageChunk;
use tokio::time::Instant;

/// One model request, from its arrival to its end.
pub(crate) struct EngineCall {
    pub(crate) request_id: RequestId,
    pub(crate) team: TeamName,
    pub(crate) model: ModelName,
    pub(crate) class: ClassName,
    pub(crate) priority: u8,
    pub(crate) path: Uri,
    pub(crate) body: Bytes,
    pub(crate) streams: bool,
    pub(crate) usage: UsageChunk,
    pub(crate) binding: TokenBinding,
    pub(crate) arrived: Instant,
    /// When the first token must be there.
    pub(crate) deadline: Instant,
}

impl EngineCall {
    /// What cached blocks belong to; the engine adds its weights version.
    pub(crate) fn cache_scope(&self) -> String {
        format!("{}/{}/", self.team, self.model)
    }
}
