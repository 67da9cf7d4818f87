//! One call of a plain service.

use actix_web::http::Method;
use actix_web::http::header::HeaderMap;
use bytes::Bytes;
use fulmargate_admission::RequestClass;
use fulmargate_names::RequestId;
use fulmargate_names::ServiceName;
use fulmargate_names::TeamName;
use std::sync::Arc;
use std::time::Duration;

use fulmargate_config::TeamEntry;

/// One call of a plain service, from its arrival to its end.
pub(crate) struct ServiceCall {
    pub(crate) request_id: RequestId,
    pub(crate) team: TeamName,
    pub(crate) entry: Arc<TeamEntry>,
    pub(crate) service: ServiceName,
    pub(crate) class: RequestClass,
    pub(crate) method: Method,
    /// Path and query within the service, from its first `/`.
    pub(crate) path: String,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
    /// How long the server may take.
    pub(crate) timeout: Duration,
}
