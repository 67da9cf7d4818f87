//! The first answer of a call, given again to a re-send.

use actix_web::HttpResponse;
use actix_web::http::StatusCode;
use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use fulmargate_ledger::RanOutcome;
use fulmargate_names::DISPOSITION;
use fulmargate_names::Disposition;
use fulmargate_names::REQUEST_ID;
use fulmargate_names::RequestId;
use serde_json::json;

/// Marks an answer that was kept from an earlier call of the same key.
const REPLAYED: &str = "x-fulmargate-replayed";

/// The first call's answer. A body that was too large to keep is named as such; the status and the
/// fact that the call ran are what matters to who asks again.
pub(crate) fn replay(request_id: &RequestId, outcome: &RanOutcome) -> HttpResponse {
    let status = StatusCode::from_u16(outcome.status).unwrap_or(StatusCode::OK);
    let mut builder = HttpResponse::build(status);
    builder
        .insert_header((REQUEST_ID, request_id.as_str()))
        .insert_header((DISPOSITION, Disposition::Ran.as_str()))
        .insert_header((REPLAYED, "true"));
    let kept = outcome.body.as_ref();
    let body = kept.and_then(|kept| STANDARD.decode(kept.base64.as_bytes()).ok());
    match (kept, body) {
        (Some(kept), Some(body)) => builder.content_type(&*kept.content_type).body(body),
        _ => builder.json(json!({"replayed": true, "body": null})),
    }
}
